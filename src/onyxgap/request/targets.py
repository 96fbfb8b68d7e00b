"""Targets of one service: concurrency limits, outlier ejection, load balancing."""

import statistics
import typing as t

import attrs

from .. import defaults
from .messages import Outcome

SLOW_RATIO = 2.0
SMOOTHING = 0.1
SHRINK_FACTOR = 0.7
MIN_LIMIT = 1.0


class Random(t.Protocol):
    """The methods of :class:`random.Random` that the scheduler uses."""

    def random(self) -> float:
        """Return a float in [0, 1)."""

    def getrandbits(self, k: int, /) -> int:
        """Return k random bits."""


@attrs.define(slots=True)
class Target:
    """A worker as the scheduler of its service sees it.

    :param slots: requests that it can run at once.
    :param limit: adaptive concurrency limit, at most `slots`.
    :param in_use: granted slots.
    :param slowness: smoothed ratio of its run times to the mean of their priority.
    :param failures: failed requests since the last served one; an ejection sets it to
        one below the threshold.
    :param ejections: ejections since the last served request.
    :param ejected_until: monotonic seconds at which its ejection ends.
    :param serving: whether the replicated state lists it as serving.
    """

    vm: str
    zone: str
    rack: str
    slots: int
    limit: float
    in_use: int = 0
    slowness: float = 1.0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = float("-inf")
    serving: bool = True

    def is_open(self, now: float) -> bool:
        """Tell whether it can be given one more request.

        :param now: monotonic seconds.
        """
        return (
            self.serving and now >= self.ejected_until and self.in_use < int(self.limit)
        )


@attrs.define
class TargetSet:
    """The targets of one service.

    Targets are kept in buckets by their slots in use, so that the least loaded one is
    found without scanning all of them.

    :param rng: seeded generator that shuffles the order of new targets.
    :param eject_share: largest share of targets that may be ejected at once.
    """

    rng: Random
    eject_share: float = defaults.MAX_EJECTED_SHARE
    by_vm: dict[str, Target] = attrs.field(factory=dict)
    _buckets: list[dict[str, Target]] = attrs.field(factory=list)
    _total: int = 0
    _free: int = 0
    _counted_at: float = float("-inf")
    _recount_at: float = float("-inf")
    _median_slowness: float = 1.0
    _median_uses_left: int = 0

    def replace(self, wanted: t.Iterable[tuple[str, str, str, int]]) -> None:
        """Set the serving targets; others are kept only while they are in use.

        :param wanted: VM, zone, rack and slots of each serving target.
        """
        serving = set()
        for vm, zone, rack, slots in sorted(wanted, key=self._draw_sort_key):
            serving.add(vm)
            target = self.by_vm.get(vm)
            shape = (zone, rack, slots)
            if target is None or (target.zone, target.rack, target.slots) != shape:
                in_use = self._remove(vm)
                target = Target(vm, zone, rack, slots, float(slots), in_use)
                self.by_vm[vm] = target
                self._get_bucket(in_use)[vm] = target
            target.serving = True
        for vm in set(self.by_vm) - serving:
            self.by_vm[vm].serving = False
            self._remove_if_drained(self.by_vm[vm])
        self._invalidate_counts()

    def _draw_sort_key(self, item: object) -> float:
        return self.rng.random()

    def _remove(self, vm: str) -> int:
        target = self.by_vm.pop(vm, None)
        if target is None:
            return 0
        self._get_bucket(target.in_use).pop(vm, None)
        return target.in_use

    def _get_bucket(self, in_use: int) -> dict[str, Target]:
        while len(self._buckets) <= in_use:
            self._buckets.append({})
        return self._buckets[in_use]

    def _remove_if_drained(self, target: Target) -> None:
        if not target.serving and target.in_use <= 0:
            self._remove(target.vm)

    def choose(self, now: float, avoid: t.Collection[str] = ()) -> Target | None:
        """Choose the least loaded open target, preferably in a zone not to be avoided.

        :param now: monotonic seconds.
        :param avoid: VMs and zones in which earlier attempts failed. Such a VM is
            never chosen; such a zone only if no other has an open target.
        """
        fallback: Target | None = None
        for bucket in self._buckets:
            for target in bucket.values():
                if not target.is_open(now) or target.vm in avoid:
                    continue
                if target.zone not in avoid:
                    return target
                fallback = fallback or target
        return fallback

    def count_slots(self, now: float) -> tuple[int, int]:
        """Count all and free slots of the serving targets that are not ejected.

        :param now: monotonic seconds.
        :returns: all slots, by the present limits, and the free ones.
        """
        if now >= self._recount_at:
            self._recount(now)
        return self._total, self._free

    def _invalidate_counts(self) -> None:
        self._recount_at = float("-inf")

    def _recount(self, now: float) -> None:
        self._total = self._free = 0
        self._counted_at = now
        self._recount_at = float("inf")
        for target in self.by_vm.values():
            if target.ejected_until > now:
                self._recount_at = min(self._recount_at, target.ejected_until)
            elif target.serving:
                self._total += int(target.limit)
                self._free += max(0, int(target.limit) - target.in_use)

    def acquire_slot(self, vm: str) -> None:
        """Count one more slot of a target as in use.

        A VM that is not known yet becomes a target that is not serving.

        :param vm: VM of the target.
        """
        target = self.by_vm.get(vm) or self._add_unknown(vm)
        if self._is_counted(target) and target.in_use < int(target.limit):
            self._free -= 1
        else:
            self._invalidate_counts()
        self._set_in_use(target, target.in_use + 1)

    def _add_unknown(self, vm: str) -> Target:
        target = Target(vm, "", "", 1, MIN_LIMIT, serving=False)
        self.by_vm[vm] = target
        self._get_bucket(0)[vm] = target
        return target

    def _is_counted(self, target: Target) -> bool:
        """Tell whether the latest count includes the slots of a target."""
        return target.serving and target.ejected_until <= self._counted_at

    def _set_in_use(self, target: Target, in_use: int) -> None:
        self._buckets[target.in_use].pop(target.vm, None)
        target.in_use = in_use
        # the most recently used target goes to the end of its bucket
        self._get_bucket(in_use)[target.vm] = target

    def release_slot(
        self, vm: str, outcome: Outcome, slowness: float, now: float
    ) -> None:
        """Free a slot and adapt the limit or ejection of its target.

        :param vm: VM of the target.
        :param outcome: how the attempt ended.
        :param slowness: ratio of its run time to the mean of its priority.
        :param now: monotonic seconds.
        """
        target = self.by_vm.get(vm)
        if target is None or target.in_use <= 0:
            return
        limit = int(target.limit)
        counted = target.serving and target.in_use <= limit
        counted = counted and now >= target.ejected_until
        self._set_in_use(target, target.in_use - 1)
        _OUTCOME_HANDLERS[outcome](self, target, slowness, now)
        if counted and int(target.limit) == limit and now >= target.ejected_until:
            self._free += 1
        else:
            self._invalidate_counts()
        self._remove_if_drained(target)

    def _on_served(self, target: Target, slowness: float, now: float) -> None:
        target.failures = 0
        target.ejections = 0
        target.slowness += SMOOTHING * (slowness - target.slowness)
        max_limit = self._get_max_limit(target)
        target.limit = min(max_limit, target.limit + 1 / target.limit)

    def _get_max_limit(self, target: Target) -> float:
        median = self._get_median_slowness()
        if target.slowness <= SLOW_RATIO * median:
            return float(target.slots)
        share = SLOW_RATIO * median / target.slowness
        return max(MIN_LIMIT, target.slots * share)

    def _get_median_slowness(self) -> float:
        # the median changes slowly, so a computed value is used as many times as there
        # are targets
        if self._median_uses_left <= 0:
            ratios = [item.slowness for item in self.by_vm.values()]
            self._median_slowness = statistics.median_low(ratios)
            self._median_uses_left = len(ratios)
        self._median_uses_left -= 1
        return self._median_slowness

    def _on_overloaded(self, target: Target, slowness: float, now: float) -> None:
        target.limit = max(MIN_LIMIT, target.limit * SHRINK_FACTOR)

    def _on_failed(self, target: Target, slowness: float, now: float) -> None:
        target.failures += 1
        if target.failures >= defaults.EJECT_AFTER_FAILURES:
            self._eject(target, now)

    def _eject(self, target: Target, now: float) -> None:
        serving = [item for item in self.by_vm.values() if item.serving]
        others = [item for item in serving if item is not target]
        ejected = sum(item.ejected_until > now for item in others)
        if ejected + 1 > self.eject_share * len(serving):
            return
        duration_s = defaults.EJECT_BASE_S * 2**target.ejections
        target.ejected_until = now + min(duration_s, defaults.EJECT_MAX_S)
        target.ejections += 1
        # after the ejection a single failure ejects the target again
        target.failures = defaults.EJECT_AFTER_FAILURES - 1

    def _on_unused(self, target: Target, slowness: float, now: float) -> None:
        return None


_OUTCOME_HANDLERS: dict[
    Outcome, t.Callable[[TargetSet, Target, float, float], None]
] = {
    Outcome.SERVED: TargetSet._on_served,
    Outcome.FAILED: TargetSet._on_failed,
    Outcome.OVERLOADED: TargetSet._on_overloaded,
    Outcome.UNREACHABLE: TargetSet._on_failed,
    Outcome.UNUSED: TargetSet._on_unused,
}
