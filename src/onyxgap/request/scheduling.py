"""Grants the slots of one service to the asks of all entries.

One entry owns the scheduler of a service (rendezvous hashing over the live
entries). It keeps nothing that lasts: a new owner learns the slots in use
from the entries that hold them.
"""

import math
import typing as t

import attrs

from .. import defaults
from .messages import Outcome
from .messages import Reason
from .queue import RANKS
from .queue import Ask
from .queue import AskQueue
from .targets import TargetSet

URGENT_RANK = 0
MEAN_SMOOTHING = 0.05
INITIAL_MEAN_S = 0.05
MIN_USUAL_S = 0.001


@attrs.frozen(slots=True)
class Granted:
    """The ask may use one slot of the VM."""

    ask: Ask
    vm: str


@attrs.frozen(slots=True)
class Refused:
    """The ask is given up, at once.

    :param retry_after_s: predicted time until the backlog has drained.
    """

    ask: Ask
    reason: Reason
    retry_after_s: float


Decision = Granted | Refused


@attrs.define(slots=True)
class _Held:
    vm: str
    team: str | None
    rank: int | None


@attrs.define
class SlotScheduler:
    """Decides who gets the slots of one service.

    :param targets: the service's targets.
    :param quotas: most slots in use at once by team.
    :param reserve_share: share of slots that only urgent asks may use.
    :param queue_per_slot: longest queue, per slot.
    """

    targets: TargetSet
    quotas: dict[str, int] = attrs.field(factory=dict)
    reserve_share: float = defaults.URGENT_RESERVE_SHARE
    queue_per_slot: int = defaults.MAX_QUEUE_PER_SLOT
    queue: AskQueue = attrs.field(factory=AskQueue)
    mean_s: float = INITIAL_MEAN_S
    _held: dict[tuple[str, int], _Held] = attrs.field(factory=dict)
    _by_team: dict[str, int] = attrs.field(factory=dict)
    _usual_s: dict[int, float] = attrs.field(factory=dict)
    _urgent_run: int = 0

    def submit(self, ask: Ask, now: float) -> list[Decision]:
        """Take in an ask: grant, queue or refuse it.

        :param ask: the ask.
        :param now: monotonic seconds.
        """
        refusal = self._shed(ask, now)
        if refusal is not None:
            return [refusal]
        self.queue.push(ask)
        return self.grant_free(now)

    def _shed(self, ask: Ask, now: float) -> Refused | None:
        total, free = self.targets.count_slots(now)
        if total == 0:
            retry_after = defaults.EJECT_BASE_S
            return Refused(ask, Reason.NO_TARGET, retry_after)
        wait = self.predict_wait(ask.rank, total, free)
        if now + wait > ask.deadline:
            return Refused(ask, Reason.OVERLOADED, wait)
        if self.queue.count_ahead(ask.rank) >= self.queue_per_slot * total:
            return Refused(ask, Reason.QUEUE_FULL, wait)
        return None

    def predict_wait(self, rank: int, total: int, free: int) -> float:
        """Predict the wait of a new ask from the measured drain rate.

        :param rank: its priority.
        :param total: slots that exist.
        :param free: slots that are free.
        :returns: seconds.
        """
        usable = free - (0 if rank == URGENT_RANK else self.count_reserve(total))
        ahead = self.queue.count_ahead(rank)
        if ahead < usable:
            return 0.0
        return (ahead - max(0, usable) + 1) * self.mean_s / total

    def count_reserve(self, total: int) -> int:
        """Count the slots that only urgent asks may use.

        :param total: slots that exist.
        """
        return math.ceil(total * self.reserve_share) if total > 1 else 0

    def grant_free(self, now: float) -> list[Decision]:
        """Grant free slots to waiting asks, in order.

        :param now: monotonic seconds.
        """
        decisions: list[Decision] = []
        while self.queue.count_all():
            ask = self._pop_next(now)
            if ask is None:
                break
            decisions.append(self._decide(ask, now))
        return decisions

    def _pop_next(self, now: float) -> Ask | None:
        total, free = self.targets.count_slots(now)
        if free <= 0:
            return None
        reserve = self.count_reserve(total)
        for rank in self._order_ranks():
            if rank != URGENT_RANK and free <= reserve:
                continue
            ask = self.queue.pop(rank, self._is_below_quota)
            if ask is not None:
                self._count_run(rank)
                return ask
        return None

    def _order_ranks(self) -> tuple[int, ...]:
        if self._urgent_run < defaults.STARVATION_INTERVAL:
            return tuple(range(RANKS))
        return (*range(1, RANKS), URGENT_RANK)

    def _count_run(self, rank: int) -> None:
        others = self.queue.count_all() - self.queue.count_rank(URGENT_RANK)
        if rank == URGENT_RANK and others:
            self._urgent_run += 1
        else:
            self._urgent_run = 0

    def _is_below_quota(self, team: str | None) -> bool:
        if team is None or team not in self.quotas:
            return True
        return self._by_team.get(team, 0) < self.quotas[team]

    def _decide(self, ask: Ask, now: float) -> Decision:
        if now >= ask.deadline:
            return Refused(ask, Reason.DEADLINE, self.mean_s)
        target = self.targets.choose(now, ask.avoid)
        if target is None:
            return Refused(ask, Reason.NO_TARGET, defaults.EJECT_BASE_S)
        held = _Held(target.vm, ask.team, ask.rank)
        self._hold(ask.member, ask.ask, held)
        return Granted(ask, target.vm)

    def _hold(self, member: str, ask: int, held: _Held) -> None:
        self._held[member, ask] = held
        self.targets.take(held.vm)
        if held.team is not None:
            self._by_team[held.team] = self._by_team.get(held.team, 0) + 1

    def adopt(self, member: str, ask: int, vm: str, team: str | None) -> None:
        """Count a slot that an earlier owner granted.

        :param member: the entry that holds it.
        :param ask: id of its ask.
        :param vm: the VM.
        :param team: whose quota it uses.
        """
        if (member, ask) not in self._held:
            self._hold(member, ask, _Held(vm, team, None))

    def release(
        self, member: str, ask: int, outcome: Outcome, took_s: float, now: float
    ) -> list[Decision]:
        """Free a slot, or withdraw a waiting ask, and grant what is free.

        :param member: the entry.
        :param ask: id of its ask.
        :param outcome: how the slot was used.
        :param took_s: how long, in seconds.
        :param now: monotonic seconds.
        """
        held = self._held.pop((member, ask), None)
        if held is None:
            self.queue.remove(lambda item: (item.member, item.ask) != (member, ask))
            return []
        self._free(held, outcome, took_s, now)
        return self.grant_free(now)

    def _free(self, held: _Held, outcome: Outcome, took_s: float, now: float) -> None:
        if outcome is Outcome.SERVED:
            self.mean_s += MEAN_SMOOTHING * (took_s - self.mean_s)
        slowness = self._rate_slowness(held.rank, outcome, took_s)
        self.targets.give_back(held.vm, outcome, slowness, now)
        if held.team is not None:
            self._by_team[held.team] -= 1

    def _rate_slowness(
        self, rank: int | None, outcome: Outcome, took_s: float
    ) -> float:
        """Rate a run time against the usual one of the same priority.

        Long work is no sign of a slow target, so only like is compared.
        """
        if rank is None or outcome is not Outcome.SERVED:
            return 1.0
        usual = self._usual_s.setdefault(rank, max(took_s, MIN_USUAL_S))
        self._usual_s[rank] = usual + MEAN_SMOOTHING * (took_s - usual)
        return took_s / max(usual, MIN_USUAL_S)

    def drop_member(self, member: str, now: float) -> list[Decision]:
        """Free what a lapsed entry holds and forget what it asked.

        Its requests may still run; a target that is full then proves that it
        did not start the next one.

        :param member: the entry.
        :param now: monotonic seconds.
        """
        self.queue.remove(lambda ask: ask.member != member)
        for key in [key for key in self._held if key[0] == member]:
            self._free(self._held.pop(key), Outcome.UNUSED, 0.0, now)
        return self.grant_free(now)

    def expire(self, now: float) -> list[Decision]:
        """Refuse the waiting asks whose deadline has passed.

        :param now: monotonic seconds.
        """
        late = self.queue.remove(lambda ask: ask.deadline > now)
        refusals: list[Decision] = []
        for ask in late:
            refusals.append(Refused(ask, Reason.DEADLINE, self.mean_s))
        return [*refusals, *self.grant_free(now)]

    def close(self) -> list[Ask]:
        """Forget everything and return the waiting asks."""
        self._held.clear()
        self._by_team.clear()
        return self.queue.remove(lambda ask: False)

    def list_held(self) -> t.Iterable[str]:
        """List the VMs of granted slots, one item a slot."""
        return (held.vm for held in self._held.values())
