"""Targets of one service: their limits, ejection and the choice among them."""

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
    """The part of :class:`random.Random` that decisions use."""

    def random(self) -> float:
        """Return a float in [0, 1)."""

    def getrandbits(self, k: int, /) -> int:
        """Return k random bits."""


@attrs.define(slots=True)
class Target:
    """A worker as its service's scheduler sees it.

    :param slots: requests it runs at once.
    :param limit: how many it is given at present.
    :param in_use: granted slots.
    :param mean_s: smoothed time it takes for a request, in seconds.
    """

    vm: str
    zone: str
    rack: str
    slots: int
    limit: float
    in_use: int = 0
    mean_s: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = float("-inf")
    serving: bool = True

    def is_open(self, now: float) -> bool:
        """Tell whether it may be given one more request.

        :param now: monotonic seconds.
        """
        return (
            self.serving and now >= self.ejected_until and self.in_use < int(self.limit)
        )


@attrs.define
class TargetSet:
    """The targets of one service.

    :param rng: seeded generator that breaks ties.
    :param eject_share: greatest share of targets ejected at once.
    """

    rng: Random
    eject_share: float = defaults.EJECT_SHARE_CAP
    by_vm: dict[str, Target] = attrs.field(factory=dict)

    def replace(self, wanted: t.Iterable[tuple[str, str, str, int]]) -> None:
        """Set the serving targets; others stay only while they are in use.

        :param wanted: VM, zone, rack and slots of each serving target.
        """
        serving = set()
        for vm, zone, rack, slots in wanted:
            serving.add(vm)
            target = self.by_vm.get(vm)
            if target is None or target.slots != slots:
                in_use = target.in_use if target else 0
                target = Target(vm, zone, rack, slots, float(slots), in_use)
                self.by_vm[vm] = target
            target.serving = True
        for vm in set(self.by_vm) - serving:
            self.by_vm[vm].serving = False
            self._forget_idle(self.by_vm[vm])

    def _forget_idle(self, target: Target) -> None:
        if not target.serving and target.in_use <= 0:
            self.by_vm.pop(target.vm, None)

    def choose(self, now: float, avoid: t.Collection[str] = ()) -> Target | None:
        """Choose the least loaded open target, away from the avoided ones.

        :param now: monotonic seconds.
        :param avoid: VMs and zones that an earlier attempt failed in.
        """
        best: Target | None = None
        best_rank = (True, 2.0, 2.0)
        for target in self.by_vm.values():
            if not target.is_open(now):
                continue
            avoided = target.vm in avoid or target.zone in avoid
            rank = (avoided, target.in_use / target.limit, self.rng.random())
            if rank < best_rank:
                best, best_rank = target, rank
        if best is not None and best.vm in avoid:
            return None
        return best

    def count_slots(self, now: float) -> tuple[int, int]:
        """Count the slots of serving targets, and those that are free.

        :param now: monotonic seconds.
        """
        total = free = 0
        for target in self.by_vm.values():
            if target.serving and now >= target.ejected_until:
                total += int(target.limit)
                free += max(0, int(target.limit) - target.in_use)
        return total, free

    def take(self, vm: str) -> None:
        """Count one more slot of a target as used.

        :param vm: the target.
        """
        if vm in self.by_vm:
            self.by_vm[vm].in_use += 1

    def give_back(self, vm: str, outcome: Outcome, took_s: float, now: float) -> None:
        """Free a slot and learn from how it was used.

        :param vm: the target.
        :param outcome: how the attempt ended.
        :param took_s: how long it took, in seconds.
        :param now: monotonic seconds.
        """
        target = self.by_vm.get(vm)
        if target is None:
            return
        target.in_use = max(0, target.in_use - 1)
        _LEARN[outcome](self, target, took_s, now)
        self._forget_idle(target)

    def _learn_served(self, target: Target, took_s: float, now: float) -> None:
        target.failures = 0
        target.ejections = 0
        if not target.mean_s:
            target.mean_s = took_s
        target.mean_s += SMOOTHING * (took_s - target.mean_s)
        ceiling = self._find_ceiling(target)
        target.limit = min(ceiling, target.limit + 1 / target.limit)

    def _find_ceiling(self, target: Target) -> float:
        means = [item.mean_s for item in self.by_vm.values() if item.mean_s]
        usual = statistics.median_low(means)
        if target.mean_s <= SLOW_RATIO * usual:
            return float(target.slots)
        share = SLOW_RATIO * usual / target.mean_s
        return max(MIN_LIMIT, target.slots * share)

    def _learn_overloaded(self, target: Target, took_s: float, now: float) -> None:
        target.limit = max(MIN_LIMIT, target.limit * SHRINK_FACTOR)

    def _learn_failed(self, target: Target, took_s: float, now: float) -> None:
        target.failures += 1
        if target.failures >= defaults.EJECT_AFTER_FAILURES:
            self._eject(target, now)

    def _eject(self, target: Target, now: float) -> None:
        others = [item for item in self.by_vm.values() if item is not target]
        ejected = sum(item.ejected_until > now for item in others)
        if ejected + 1 > self.eject_share * len(self.by_vm):
            return
        pause = defaults.EJECT_BASE_S * 2**target.ejections
        target.ejected_until = now + min(pause, defaults.EJECT_MAX_S)
        target.ejections += 1
        # one more failure after the pause ejects it again at once
        target.failures = defaults.EJECT_AFTER_FAILURES - 1

    def _learn_nothing(self, target: Target, took_s: float, now: float) -> None:
        return None


_LEARN: dict[Outcome, t.Callable[[TargetSet, Target, float, float], None]] = {
    Outcome.SERVED: TargetSet._learn_served,
    Outcome.FAILED: TargetSet._learn_failed,
    Outcome.OVERLOADED: TargetSet._learn_overloaded,
    Outcome.UNREACHABLE: TargetSet._learn_failed,
    Outcome.UNUSED: TargetSet._learn_nothing,
}
