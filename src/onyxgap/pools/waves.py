"""Plans maintenance waves: which VMs to drain, and when to start their maintenance."""

import math
import typing as t

import attrs
import structlog

from .cordon_review import CordonReview
from .cordons import CordonReason
from .fleet_state import WaveProgress
from .messages import Vm
from .messages import VmActionKind
from .messages import VmOrder
from .messages import VmState
from .messages import Wave
from .sizing import count_needed_vms

WAVE_MARGIN_S = 4.0
"""Time before a wave's deadline by which maintenance of its last VM should start."""
IDLE_SHARE = 0.5
"""Fraction of an idle pool that stays schedulable while its VMs are maintained, which
takes 2 s."""
DRAIN_S = 2.5
"""Time that a cordoned worker takes to drain: most tasks end within 2 s."""

_LOG = structlog.get_logger()


@attrs.define
class WavePlanner(CordonReview):
    """Plans maintenance waves."""

    def _plan_wave(self, progress: WaveProgress, now: float) -> t.Iterator[VmOrder]:
        wave = progress.wave
        remaining = [
            name
            for name in self._list_remaining(progress)
            if self._is_available(name, now)
        ]
        slots = wave.cap - self._count_vms_down(wave)
        ready = [name for name in remaining if self._is_drained(self.vms[name])]
        for name in ready[: max(0, slots)]:
            if not self._may_order(self.vms[name], now):
                break
            order = VmOrder(name, VmActionKind.UPKEEP, wave=wave.number)
            yield self._add_pending(self.vms[name], order)
        self._cordon_wave(
            progress, [name for name in remaining if name not in ready], now
        )

    def _count_vms_down(self, wave: Wave) -> int:
        down = {
            name
            for name, pending in self.pending_orders.items()
            if pending.order.kind is VmActionKind.UPKEEP and name in wave.vms
        }
        down |= {
            name
            for name in wave.vms
            if name in self.vms and self.vms[name].state is VmState.UPKEEP
        }
        return len(down)

    def _cordon_wave(
        self, progress: WaveProgress, names: t.Sequence[str], now: float
    ) -> None:
        draining = sum(self.vms[name].worker_id in self.cordons for name in names)
        uncordoned = [
            self.vms[name]
            for name in names
            if self.vms[name].worker_id not in self.cordons
        ]
        uncordoned.sort(key=self._get_drain_key)
        room = self._count_wave_room(progress, now)
        forced = self._count_forced(progress, len(names), now)
        for vm in uncordoned:
            if draining >= room or not self._may_cordon(now):
                return
            if draining >= forced and self._count_drainable(vm.pool) < 1:
                continue
            self._cordon(vm, CordonReason.UPKEEP, progress.wave.number)
            draining += 1
            _LOG.info(
                "worker cordoned",
                worker=vm.worker_id,
                vm=vm.name,
                pool=vm.pool,
                wave=progress.wave.number,
                forced=draining <= forced,
                vm_list_age_s=self._get_list_age_in_pass_s(),
            )

    def _count_forced(self, progress: WaveProgress, remaining: int, now: float) -> int:
        """Count VMs that must be drained now for the wave to meet its deadline."""
        deadline = progress.seen_at + progress.wave.duration_s - WAVE_MARGIN_S
        rounds = math.floor((deadline - now) / (self.upkeep_s + DRAIN_S))
        return remaining - progress.wave.cap * max(0, rounds - 1)

    def _get_drain_key(self, vm: Vm) -> tuple[int, int, int, str]:
        report = self.reports.get(vm.pool)
        load = report.workers.get(vm.worker_id) if report else None
        drainable_first = -self._count_drainable(vm.pool)
        if load is None:
            return (drainable_first, 0, 0, vm.name)
        return (drainable_first, load.serving, load.cpu_used, vm.name)

    def _count_drainable(self, pool: str) -> int:
        """Count schedulable VMs of a pool that can be drained without being missed.

        An idle pool keeps half of its VMs in case a burst starts. A pool in a burst
        keeps its size, as its demand rises and falls within a second.
        """
        report = self.reports.get(pool)
        if report is None or pool not in self.sizes:
            # its demand is not known yet
            return 0
        needed = count_needed_vms(report)
        share = 1.0 if pool in self.busy else IDLE_SHARE
        kept = max(needed, math.ceil(self.sizes.get(pool, 0) * share))
        return self._count_schedulable(pool) - kept
