"""Plans maintenance waves: which VMs to drain, and when to start their maintenance."""

import math
import typing as t

import attrs
import structlog

from .cordon_review import CordonReview
from .cordon_review import has_waiting_work
from .cordons import CordonReason
from .fleet_state import WaveProgress
from .messages import Vm
from .messages import VmActionKind
from .messages import VmOrder
from .messages import VmState
from .sizing import count_needed_vms

WAVE_MARGIN_S = 4.0
"""Time before a wave's deadline by which maintenance of its last VM should start."""
IDLE_SHARE = 0.5
"""Fraction of an idle pool that stays schedulable while its VMs are maintained, which
takes 2 s."""
BUSY_SHARE = 0.5
"""Fraction of a pool that stays schedulable while work waits there, until the deadline
of its wave has passed: VMs of a pool that drain at once take nothing for seconds."""
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
        down = self._list_vms_down(progress)
        ready = [name for name in remaining if self._is_drained(self.vms[name])]
        for name in ready:
            vm = self.vms[name]
            if len(down | {name}) > wave.cap or not self._may_order(vm, now):
                continue
            # without replies, one VM of a pool is closed and not all
            if self._awaits_reply_in(vm.pool):
                continue
            down.add(name)
            order = VmOrder(name, VmActionKind.UPKEEP, wave=wave.number)
            yield self._add_pending(vm, order)
        self._cordon_wave(
            progress, [name for name in remaining if name not in ready], now
        )

    def _awaits_reply_in(self, pool: str) -> bool:
        return pool in self.shards and any(
            pending.answered_at is None
            and name in self.vms
            and self.vms[name].pool == pool
            for name, pending in self.pending_orders.items()
        )

    def _list_vms_down(self, progress: WaveProgress) -> set[str]:
        """List the VMs that are down for a wave, or may be."""
        wave = progress.wave
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
        unanswered = self._unanswered_at.keys() - progress.done
        down |= unanswered & set(wave.vms)
        return down

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
            overdue = now >= progress.seen_at + progress.wave.duration_s
            if not overdue and not self._may_drain_beside_work(vm.pool, now):
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

    def _may_drain_beside_work(self, pool: str, now: float) -> bool:
        """Tell whether a pool keeps enough VMs for its waiting work without another."""
        if not has_waiting_work(self.reports.get(pool)):
            return True
        vms = sum(
            vm.pool == pool
            and vm.state is not VmState.DOWN
            and not self._hangs(vm.name, now)
            for vm in self.vms.values()
        )
        # the only VM of a pool is maintained, too
        kept = min(math.ceil(vms * BUSY_SHARE), vms - 1)
        return self._count_schedulable(pool) > kept

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
