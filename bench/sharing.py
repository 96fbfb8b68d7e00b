"""Weighs three ways for entries to share the slots of one service.

``free``: every entry sends when it likes, to the better of two targets by its
own counts; a full target refuses. ``share``: every entry holds an equal share
of the slots. ``owner``: one entry grants all slots (the real scheduler).
Events are played in virtual time; the entries do not see each other's
requests but through messages that take as long as in the users' regions.
"""

import argparse
import collections
import heapq
import itertools
import json
import random
import typing as t

import attrs

from onyxgap.request.messages import Outcome
from onyxgap.request.queue import SlotRequest
from onyxgap.request.scheduling import Granted
from onyxgap.request.scheduling import SlotScheduler
from onyxgap.request.targets import TargetSet

HOP_S = 0.0015
TARGETS = 8
SLOTS = 8
DEADLINE_S = 3.8
BACKOFF_S = 0.01
DURATION_S = 30.0
WARM_UP_S = 5.0
URGENT_SHARE = 0.2
URGENT_MEAN_S = 0.05
OTHER_MEANS_S = (0.4, 10.0)
MAX_BACKOFF_S = 0.16


@attrs.define
class Request:
    """One request of the bench."""

    number: int
    entry: int
    rank: int
    work_s: float
    arrived_at: float
    started_at: float = -1.0
    vm: str = ""
    refused: bool = False


@attrs.define
class Loop:
    """A queue of timed events."""

    now: float = 0.0
    _heap: list[t.Any] = attrs.field(factory=list)
    _count: t.Iterator[int] = attrs.field(factory=itertools.count)

    def at(self, delay_s: float, run: t.Callable[[], None]) -> None:
        """Run something after a delay.

        :param delay_s: the delay, in seconds.
        :param run: what to run.
        """
        item = (self.now + delay_s, next(self._count), run)
        heapq.heappush(self._heap, item)

    def play(self, until_s: float) -> None:
        """Run events in order.

        :param until_s: when to end.
        """
        while self._heap and self._heap[0][0] <= until_s:
            self.now, _, run = heapq.heappop(self._heap)
            run()


@attrs.define
class Fleet:
    """Targets that refuse when their slots are in use."""

    loop: Loop
    in_use: collections.Counter[str] = attrs.field(factory=collections.Counter)
    busy_s: float = 0.0
    sent: int = 0
    refused: int = 0

    def send(self, request: Request, vm: str, done: t.Callable[[bool], None]) -> None:
        """Send a request; ``done`` hears whether it ran.

        :param request: the request.
        :param vm: the target.
        :param done: called when the answer is back.
        """
        self.sent += 1
        self.loop.at(HOP_S, lambda: self._arrive(request, vm, done))

    def _arrive(
        self, request: Request, vm: str, done: t.Callable[[bool], None]
    ) -> None:
        if self.in_use[vm] >= SLOTS:
            self.refused += 1
            self.loop.at(HOP_S, lambda: done(False))
            return
        self.in_use[vm] += 1
        request.started_at = self.loop.now

        def finish() -> None:
            self.in_use[vm] -= 1
            if self.loop.now > WARM_UP_S:
                self.busy_s += request.work_s
            self.loop.at(HOP_S, lambda: done(True))

        self.loop.at(request.work_s, finish)


class Strategy(t.Protocol):
    """One way to share the slots."""

    def submit(self, request: Request) -> None:
        """Take in a request at its entry."""


VMS = [f"vm-{number}" for number in range(TARGETS)]


@attrs.define
class LocalQueues:
    """Entries that queue for themselves; base of ``free`` and ``share``."""

    loop: Loop
    fleet: Fleet
    rng: random.Random
    entries: int
    limit: int
    reserve: int
    backoff_s: float = BACKOFF_S
    queues: list[list[collections.deque[Request]]] = attrs.field(init=False)
    in_flight: list[collections.Counter[str]] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.queues = [
            [collections.deque(), collections.deque()] for _ in range(self.entries)
        ]
        self.in_flight = [collections.Counter() for _ in range(self.entries)]

    def submit(self, request: Request) -> None:
        """Take in a request at its entry."""
        self.queues[request.entry][request.rank].append(request)
        self._send_next(request.entry)

    def _send_next(self, entry: int) -> None:
        flying = self.in_flight[entry]
        for rank, queue in enumerate(self.queues[entry]):
            limit = self.limit - (self.reserve if rank else 0)
            while queue and flying.total() < limit:
                request = queue.popleft()
                if self.loop.now - request.arrived_at > DEADLINE_S:
                    request.refused = True
                    continue
                self._send(request)

    def _send(self, request: Request) -> None:
        flying = self.in_flight[request.entry]
        pair = self.rng.sample(VMS, 2)
        vm = min(pair, key=lambda name: flying[name])
        flying[vm] += 1

        def done(ran: bool) -> None:
            flying[vm] -= 1
            if not ran:
                self.queues[request.entry][request.rank].appendleft(request)
                self.backoff_s = min(MAX_BACKOFF_S, self.backoff_s * 2)
                self.loop.at(self.backoff_s, lambda: self._send_next(request.entry))
            else:
                self.backoff_s = BACKOFF_S
                self._send_next(request.entry)

        self.fleet.send(request, vm, done)


@attrs.define
class OneOwner:
    """The real scheduler at entry 0, asked by messages."""

    loop: Loop
    fleet: Fleet
    scheduler: SlotScheduler
    waiting: dict[int, Request] = attrs.field(factory=dict)

    def submit(self, request: Request) -> None:
        """Take in a request at its entry."""
        self.waiting[request.number] = request
        ask = SlotRequest(
            str(request.entry),
            request.number,
            request.rank,
            request.arrived_at + DEADLINE_S,
        )
        hop = HOP_S if request.entry else 0.0
        self.loop.at(hop, lambda: self._tell(self.scheduler.submit(ask, self.loop.now)))

    def _tell(self, decisions: t.Iterable[t.Any]) -> None:
        for decision in decisions:
            request = self.waiting.pop(decision.request.ask)
            hop = HOP_S if request.entry else 0.0
            if isinstance(decision, Granted):
                self.loop.at(hop, lambda r=request, d=decision: self._send(r, d.vm))
            else:
                request.refused = True

    def _send(self, request: Request, vm: str) -> None:
        sent_at = self.loop.now

        def done(ran: bool) -> None:
            outcome = Outcome.SERVED if ran else Outcome.OVERLOADED
            took = self.loop.now - sent_at
            hop = HOP_S if request.entry else 0.0
            self.loop.at(hop, lambda: self._release(request, outcome, took))
            if not ran:
                self.submit(request)

        self.fleet.send(request, vm, done)

    def _release(self, request: Request, outcome: Outcome, took: float) -> None:
        decisions = self.scheduler.release(
            str(request.entry), request.number, outcome, took, self.loop.now
        )
        self._tell(decisions)


def build_strategy(
    name: str, loop: Loop, fleet: Fleet, entries: int, reserve: float, seed: int
) -> Strategy:
    """Build one of the three.

    :param name: ``free``, ``share`` or ``owner``.
    :param reserve: share of slots kept for urgent requests.
    """
    rng = random.Random(f"{seed}/{name}")
    total = TARGETS * SLOTS
    if name == "free":
        return LocalQueues(loop, fleet, rng, entries, total, round(total * reserve))
    if name == "share":
        share = total // entries
        kept = max(1, round(share * reserve)) if reserve else 0
        return LocalQueues(loop, fleet, rng, entries, share, kept)
    targets = TargetSet(rng)
    targets.replace((vm, f"zone-{i % 4}", "rack", SLOTS) for i, vm in enumerate(VMS))
    return OneOwner(loop, fleet, SlotScheduler(targets, reserve_share=reserve))


def run_trial(
    name: str,
    entries: int,
    load: float,
    skew: float,
    reserve: float,
    other_mean_s: float,
    seed: int,
) -> dict[str, t.Any]:
    """Play one trial.

    :param name: the strategy.
    :param entries: number of entries.
    :param load: offered work as a multiple of the slots.
    :param skew: how much more the busiest entry gets than the idlest.
    :param reserve: share of slots kept for urgent requests.
    :param other_mean_s: mean run time of the other requests, in seconds.
    :param seed: seed.
    """
    loop = Loop()
    fleet = Fleet(loop)
    strategy = build_strategy(name, loop, fleet, entries, reserve, seed)
    rng = random.Random(seed)
    mean = URGENT_SHARE * URGENT_MEAN_S + (1 - URGENT_SHARE) * other_mean_s
    rate = load * TARGETS * SLOTS / mean
    weights = [1 + (skew - 1) * index / (entries - 1) for index in range(entries)]
    requests: list[Request] = []

    def arrive() -> None:
        rank = 0 if rng.random() < URGENT_SHARE else 1
        work = rng.expovariate(1 / (other_mean_s if rank else URGENT_MEAN_S))
        entry = rng.choices(range(entries), weights)[0]
        request = Request(len(requests), entry, rank, work, loop.now)
        requests.append(request)
        strategy.submit(request)
        loop.at(rng.expovariate(rate), arrive)

    loop.at(0.0, arrive)
    loop.play(DURATION_S)
    urgent = [r for r in requests if not r.rank and r.arrived_at > WARM_UP_S]
    delays = sorted(
        r.started_at + r.work_s - r.arrived_at for r in urgent if r.started_at >= 0
    )
    span = DURATION_S - WARM_UP_S
    return {
        "way": name,
        "load": load,
        "skew": skew,
        "other_mean_s": other_mean_s,
        "reserve": reserve,
        "urgent_p50_ms": round(1000 * delays[len(delays) // 2], 1),
        "urgent_p99_ms": round(1000 * delays[int(len(delays) * 0.99)], 1),
        "urgent_max_ms": round(1000 * delays[-1], 1),
        "urgent_refused": sum(r.refused for r in urgent),
        "slots_used": round(fleet.busy_s / span / (TARGETS * SLOTS), 3),
        "wasted_sends": round(fleet.refused / max(1, fleet.sent), 3),
    }


def main() -> None:
    """Print every trial as a JSON line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    for entries, other, (load, skew) in itertools.product(
        (9, 8), OTHER_MEANS_S, ((0.3, 1), (2.0, 1), (2.0, 4))
    ):
        for name, reserve in itertools.product(
            ("free", "share", "owner"), (0.0, 0.015, 0.04)
        ):
            row = run_trial(name, entries, load, skew, reserve, other, arguments.seed)
            print(json.dumps({"entries": entries, **row}), flush=True)


if __name__ == "__main__":
    main()
