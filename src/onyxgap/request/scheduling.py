"""Scheduler of the slots of one service: admission, priorities, quotas, load shedding.

One entry owns the scheduler of a service; rendezvous hashing over the live entries
chooses it. The scheduler stores nothing durably: a new owner learns of the slots in
use from the entries that hold them.
"""

import math
import typing as t

import attrs

from .. import defaults
from .messages import Outcome
from .messages import Reason
from .queue import RANK_COUNT
from .queue import SlotRequest
from .queue import SlotRequestQueue
from .targets import TargetSet

URGENT_RANK = 0
MEAN_SMOOTHING = 0.05
INITIAL_MEAN_S = 0.05
MIN_MEAN_S = 0.001


@attrs.frozen(slots=True)
class Granted:
    """The slot request is granted one slot of the VM."""

    request: SlotRequest
    vm: str


@attrs.frozen(slots=True)
class Refused:
    """The slot request is refused and not queued any longer.

    :param retry_after_s: seconds after which the caller may retry; on overload, the
        predicted time until the backlog has drained.
    """

    request: SlotRequest
    reason: Reason
    retry_after_s: float


Decision = Granted | Refused


@attrs.define(slots=True)
class _HeldSlot:
    vm: str
    team: str | None
    rank: int | None


@attrs.define
class SlotScheduler:
    """Grants the slots of one service to the slot requests of all entries.

    :param targets: the targets of the service.
    :param quotas: maximum number of slots in use at once, by team.
    :param reserve_share: share of the slots that only urgent requests may use.
    :param queue_per_slot: maximum length of the queue, per slot.
    :param queue: the queued slot requests.
    :param mean_s: smoothed mean run time of served requests, in seconds.
    """

    targets: TargetSet
    quotas: dict[str, int] = attrs.field(factory=dict)
    reserve_share: float = defaults.URGENT_RESERVE_SHARE
    queue_per_slot: int = defaults.MAX_QUEUE_PER_SLOT
    queue: SlotRequestQueue = attrs.field(factory=SlotRequestQueue)
    mean_s: float = INITIAL_MEAN_S
    _held: dict[tuple[str, int], _HeldSlot] = attrs.field(factory=dict)
    _use_by_team: dict[str, int] = attrs.field(factory=dict)
    _mean_by_rank_s: dict[int, float] = attrs.field(factory=dict)
    _urgent_streak: int = 0

    def submit(self, request: SlotRequest, now: float) -> list[Decision]:
        """Grant, queue or refuse a slot request.

        :param request: the slot request.
        :param now: monotonic seconds.
        :returns: the decisions made now, also on requests queued before.
        """
        refusal = self._shed(request, now)
        if refusal is not None:
            return [refusal]
        self.queue.push(request)
        return self.grant_free_slots(now)

    def _shed(self, request: SlotRequest, now: float) -> Refused | None:
        total, free = self.targets.count_slots(now)
        if total == 0:
            retry_after = defaults.EJECT_BASE_S
            return Refused(request, Reason.NO_TARGET, retry_after)
        wait = self.predict_wait(request.rank, total, free)
        if now + wait > request.deadline:
            return Refused(request, Reason.OVERLOADED, wait)
        if self.queue.count_ahead(request.rank) >= self.queue_per_slot * total:
            return Refused(request, Reason.QUEUE_FULL, wait)
        return None

    def predict_wait(self, rank: int, total: int, free: int) -> float:
        """Predict the queueing delay of a new request from the mean run time.

        :param rank: its priority.
        :param total: number of slots.
        :param free: number of free slots.
        :returns: seconds.
        """
        usable = free - (0 if rank == URGENT_RANK else self.count_reserve(total))
        ahead = self.queue.count_ahead(rank)
        if ahead < usable:
            return 0.0
        return (ahead - max(0, usable) + 1) * self.mean_s / total

    def count_reserve(self, total: int) -> int:
        """Count the slots that only urgent requests may use.

        :param total: number of slots.
        """
        return math.ceil(total * self.reserve_share) if total > 1 else 0

    def grant_free_slots(self, now: float) -> list[Decision]:
        """Grant free slots to queued requests, in their order.

        :param now: monotonic seconds.
        """
        decisions: list[Decision] = []
        while self.queue.count_all():
            request = self._pop_next(now)
            if request is None:
                break
            decisions.append(self._grant_or_refuse(request, now))
        return decisions

    def _pop_next(self, now: float) -> SlotRequest | None:
        total, free = self.targets.count_slots(now)
        if free <= 0:
            return None
        reserve = self.count_reserve(total)
        for rank in self._order_ranks():
            if rank != URGENT_RANK and free <= reserve:
                continue
            request = self.queue.pop(rank, self._is_below_quota)
            if request is not None:
                self._update_urgent_streak(rank)
                return request
        return None

    def _order_ranks(self) -> tuple[int, ...]:
        if self._urgent_streak < defaults.MAX_CONSECUTIVE_URGENT:
            return tuple(range(RANK_COUNT))
        return (*range(1, RANK_COUNT), URGENT_RANK)

    def _update_urgent_streak(self, rank: int) -> None:
        others = self.queue.count_all() - self.queue.count_rank(URGENT_RANK)
        if rank == URGENT_RANK and others:
            self._urgent_streak += 1
        else:
            self._urgent_streak = 0

    def _is_below_quota(self, team: str | None) -> bool:
        if team is None or team not in self.quotas:
            return True
        return self._use_by_team.get(team, 0) < self.quotas[team]

    def _grant_or_refuse(self, request: SlotRequest, now: float) -> Decision:
        if now >= request.deadline:
            return Refused(request, Reason.DEADLINE, self.mean_s)
        target = self.targets.choose(now, request.avoid)
        if target is None:
            return Refused(request, Reason.NO_TARGET, defaults.EJECT_BASE_S)
        held = _HeldSlot(target.vm, request.team, request.rank)
        self._hold(request.member, request.ask, held)
        return Granted(request, target.vm)

    def _hold(self, member: str, ask_id: int, held: _HeldSlot) -> None:
        self._held[member, ask_id] = held
        self.targets.acquire_slot(held.vm)
        if held.team is not None:
            self._use_by_team[held.team] = self._use_by_team.get(held.team, 0) + 1

    def adopt(self, member: str, ask_id: int, vm: str, team: str | None) -> None:
        """Count a slot that a previous owner granted as in use.

        :param member: the entry that holds it.
        :param ask_id: ID of the slot request.
        :param vm: the VM.
        :param team: team whose quota is charged, or ``None``.
        """
        if (member, ask_id) not in self._held:
            self._hold(member, ask_id, _HeldSlot(vm, team, None))

    def release(
        self, member: str, ask_id: int, outcome: Outcome, took_s: float, now: float
    ) -> list[Decision]:
        """Free a slot and grant what is free, or cancel a queued request.

        :param member: the entry that holds the slot or sent the request.
        :param ask_id: ID of the slot request.
        :param outcome: how the slot was used.
        :param took_s: run time in seconds.
        :param now: monotonic seconds.
        """
        held = self._held.pop((member, ask_id), None)
        if held is None:
            self.queue.remove_unless(
                lambda item: (item.member, item.ask) != (member, ask_id)
            )
            return []
        self._free(held, outcome, took_s, now)
        return self.grant_free_slots(now)

    def _free(
        self, held: _HeldSlot, outcome: Outcome, took_s: float, now: float
    ) -> None:
        if outcome is Outcome.SERVED:
            self.mean_s += MEAN_SMOOTHING * (took_s - self.mean_s)
        slowness = self._compute_slowness(held.rank, outcome, took_s)
        self.targets.release_slot(held.vm, outcome, slowness, now)
        if held.team is not None:
            self._use_by_team[held.team] -= 1

    def _compute_slowness(
        self, rank: int | None, outcome: Outcome, took_s: float
    ) -> float:
        """Return the ratio of a run time to the smoothed mean of its priority.

        Requests of different priorities differ in length, and a long one is no sign
        of a slow target. Run times are therefore compared within one priority only.
        """
        if rank is None or outcome is not Outcome.SERVED:
            return 1.0
        mean = self._mean_by_rank_s.setdefault(rank, max(took_s, MIN_MEAN_S))
        self._mean_by_rank_s[rank] = mean + MEAN_SMOOTHING * (took_s - mean)
        return took_s / max(mean, MIN_MEAN_S)

    def remove_member(self, member: str, now: float) -> list[Decision]:
        """Free the slots of a timed-out entry and remove its queued requests.

        Requests that the entry sent may still be running on the targets. A target
        that is full rejects the next request with proof that it was not started.

        :param member: the entry.
        :param now: monotonic seconds.
        """
        self.queue.remove_unless(lambda item: item.member != member)
        for key in [key for key in self._held if key[0] == member]:
            self._free(self._held.pop(key), Outcome.UNUSED, 0.0, now)
        return self.grant_free_slots(now)

    def expire(self, now: float) -> list[Decision]:
        """Refuse the queued requests whose deadline has passed.

        :param now: monotonic seconds.
        """
        expired = self.queue.remove_unless(lambda item: item.deadline > now)
        refusals: list[Decision] = []
        for request in expired:
            refusals.append(Refused(request, Reason.DEADLINE, self.mean_s))
        return [*refusals, *self.grant_free_slots(now)]

    def close(self) -> list[SlotRequest]:
        """Remove all state and return the queued requests."""
        self._held.clear()
        self._use_by_team.clear()
        return self.queue.remove_unless(lambda item: False)

    def list_held(self) -> t.Iterable[str]:
        """List the VMs of the slots in use, one item for each slot."""
        return (held.vm for held in self._held.values())
