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
    :param slowness: smoothed ratio of its run times to the usual ones.
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
        """Tell whether it may be given one more request.

        :param now: monotonic seconds.
        """
        return (
            self.serving and now >= self.ejected_until and self.in_use < int(self.limit)
        )


@attrs.define
class TargetSet:
    """The targets of one service.

    Targets stand in levels by the slots in use, so that the least loaded one
    is found without looking at all of them.

    :param rng: seeded generator that spreads the order of new targets.
    :param eject_share: greatest share of targets ejected at once.
    """

    rng: Random
    eject_share: float = defaults.EJECT_SHARE_CAP
    by_vm: dict[str, Target] = attrs.field(factory=dict)
    _levels: list[dict[str, Target]] = attrs.field(factory=list)
    _total: int = 0
    _free: int = 0
    _recount_at: float = float("-inf")
    _usual: float = 1.0
    _usual_left: int = 0

    def replace(self, wanted: t.Iterable[tuple[str, str, str, int]]) -> None:
        """Set the serving targets; others stay only while they are in use.

        :param wanted: VM, zone, rack and slots of each serving target.
        """
        serving = set()
        for vm, zone, rack, slots in sorted(wanted, key=self._shuffle):
            serving.add(vm)
            target = self.by_vm.get(vm)
            if target is None or target.slots != slots:
                in_use = self._drop(vm)
                target = Target(vm, zone, rack, slots, float(slots), in_use)
                self.by_vm[vm] = target
                self._level(in_use)[vm] = target
            target.serving = True
        for vm in set(self.by_vm) - serving:
            self.by_vm[vm].serving = False
            self._forget_idle(self.by_vm[vm])
        self._recount_soon()

    def _shuffle(self, item: object) -> float:
        return self.rng.random()

    def _drop(self, vm: str) -> int:
        target = self.by_vm.pop(vm, None)
        if target is None:
            return 0
        self._level(target.in_use).pop(vm, None)
        return target.in_use

    def _level(self, in_use: int) -> dict[str, Target]:
        while len(self._levels) <= in_use:
            self._levels.append({})
        return self._levels[in_use]

    def _forget_idle(self, target: Target) -> None:
        if not target.serving and target.in_use <= 0:
            self._drop(target.vm)

    def choose(self, now: float, avoid: t.Collection[str] = ()) -> Target | None:
        """Choose the least loaded open target, away from the avoided ones.

        :param now: monotonic seconds.
        :param avoid: VMs and zones that an earlier attempt failed in.
        """
        second: Target | None = None
        for level in self._levels:
            for target in level.values():
                if not target.is_open(now) or target.vm in avoid:
                    continue
                if target.zone not in avoid:
                    return target
                second = second or target
        return second

    def count_slots(self, now: float) -> tuple[int, int]:
        """Count the slots of serving targets, and those that are free.

        :param now: monotonic seconds.
        """
        if now >= self._recount_at:
            self._recount(now)
        return self._total, self._free

    def _recount_soon(self) -> None:
        self._recount_at = float("-inf")

    def _recount(self, now: float) -> None:
        self._total = self._free = 0
        self._recount_at = float("inf")
        for target in self.by_vm.values():
            if target.ejected_until > now:
                self._recount_at = min(self._recount_at, target.ejected_until)
            elif target.serving:
                self._total += int(target.limit)
                self._free += max(0, int(target.limit) - target.in_use)

    def take(self, vm: str) -> None:
        """Count one more slot of a target as used.

        :param vm: the target.
        """
        target = self.by_vm.get(vm)
        if target is not None:
            if target.in_use < int(target.limit):
                self._free -= 1
            else:
                self._recount_soon()
            self._move(target, target.in_use + 1)

    def _move(self, target: Target, in_use: int) -> None:
        self._levels[target.in_use].pop(target.vm, None)
        target.in_use = in_use
        # the one used last goes to the end of its level
        self._level(in_use)[target.vm] = target

    def give_back(self, vm: str, outcome: Outcome, slowness: float, now: float) -> None:
        """Free a slot and learn from how it was used.

        :param vm: the target.
        :param outcome: how the attempt ended.
        :param slowness: its run time as a multiple of the usual one.
        :param now: monotonic seconds.
        """
        target = self.by_vm.get(vm)
        if target is None or target.in_use <= 0:
            return
        limit = int(target.limit)
        plain = target.serving and target.in_use <= limit
        plain = plain and now >= target.ejected_until
        self._move(target, target.in_use - 1)
        _LEARN[outcome](self, target, slowness, now)
        if plain and int(target.limit) == limit and now >= target.ejected_until:
            self._free += 1
        else:
            self._recount_soon()
        self._forget_idle(target)

    def _learn_served(self, target: Target, slowness: float, now: float) -> None:
        target.failures = 0
        target.ejections = 0
        target.slowness += SMOOTHING * (slowness - target.slowness)
        ceiling = self._find_ceiling(target)
        target.limit = min(ceiling, target.limit + 1 / target.limit)

    def _find_ceiling(self, target: Target) -> float:
        usual = self._find_usual()
        if target.slowness <= SLOW_RATIO * usual:
            return float(target.slots)
        share = SLOW_RATIO * usual / target.slowness
        return max(MIN_LIMIT, target.slots * share)

    def _find_usual(self) -> float:
        # the median moves slowly: it is taken anew once a round
        if self._usual_left <= 0:
            rates = [item.slowness for item in self.by_vm.values()]
            self._usual = statistics.median_low(rates)
            self._usual_left = len(rates)
        self._usual_left -= 1
        return self._usual

    def _learn_overloaded(self, target: Target, slowness: float, now: float) -> None:
        target.limit = max(MIN_LIMIT, target.limit * SHRINK_FACTOR)

    def _learn_failed(self, target: Target, slowness: float, now: float) -> None:
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

    def _learn_nothing(self, target: Target, slowness: float, now: float) -> None:
        return None


_LEARN: dict[Outcome, t.Callable[[TargetSet, Target, float, float], None]] = {
    Outcome.SERVED: TargetSet._learn_served,
    Outcome.FAILED: TargetSet._learn_failed,
    Outcome.OVERLOADED: TargetSet._learn_overloaded,
    Outcome.UNREACHABLE: TargetSet._learn_failed,
    Outcome.UNUSED: TargetSet._learn_nothing,
}
