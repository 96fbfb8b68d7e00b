"""Plans waves of maintenance: which VMs are emptied, and when each one begins."""

import math
import typing as t

import attrs
import structlog

from .fleet_state import UPKEEP_REASON
from .fleet_state import FleetState
from .fleet_state import WaveProgress
from .messages import Vm
from .messages import VmActionKind
from .messages import VmOrder
from .messages import VmState
from .messages import Wave
from .sizing import count_needed

WAVE_MARGIN_S = 4.0
"""A wave is planned to begin its last VM this long before it is due."""
IDLE_SHARE = 0.5
"""Share of an idle pool that stays open during maintenance, which takes 2 s."""
DRAIN_S = 2.5
"""Time that a cordoned worker takes to become empty: most tasks end within 2 s."""

_LOG = structlog.get_logger()


@attrs.define
class WavePlanner(FleetState):
    """Plans the maintenance of VMs."""

    def _plan_wave(self, progress: WaveProgress, now: float) -> t.Iterator[VmOrder]:
        wave = progress.wave
        left = [name for name in self._list_left(progress) if self._is_free(name, now)]
        slots = wave.cap - self._count_down(wave)
        ready = [name for name in left if self._is_empty(self.vms[name])]
        for name in ready[: max(0, slots)]:
            order = VmOrder(name, VmActionKind.UPKEEP, wave=wave.number)
            yield self._start(self.vms[name], order)
        self._cordon_wave(progress, [name for name in left if name not in ready], now)

    def _count_down(self, wave: Wave) -> int:
        down = {
            name
            for name, flight in self.flights.items()
            if flight.order.kind is VmActionKind.UPKEEP and name in wave.vms
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
        pending = sum(self.vms[name].worker_id in self.cordons for name in names)
        fresh = [
            self.vms[name]
            for name in names
            if self.vms[name].worker_id not in self.cordons
        ]
        fresh.sort(key=self._rate_load)
        forced = self._count_forced(progress, len(names), now)
        for vm in fresh:
            if pending >= progress.wave.cap:
                return
            if pending >= forced and self._count_slack(vm.pool) < 1:
                continue
            self._cordon(vm, UPKEEP_REASON)
            pending += 1
            _LOG.info(
                "worker cordoned",
                worker=vm.worker_id,
                vm=vm.name,
                pool=vm.pool,
                wave=progress.wave.number,
                forced=pending <= forced,
            )

    def _count_forced(self, progress: WaveProgress, left: int, now: float) -> int:
        """Count VMs that must be emptied at once for the wave to end in time."""
        due = progress.seen_at + progress.wave.duration_s - WAVE_MARGIN_S
        rounds = math.floor((due - now) / (self.upkeep_s + DRAIN_S))
        return left - progress.wave.cap * max(0, rounds - 1)

    def _rate_load(self, vm: Vm) -> tuple[int, int, int, str]:
        report = self.reports.get(vm.pool)
        load = report.workers.get(vm.worker_id) if report else None
        spare = -self._count_slack(vm.pool)
        if load is None:
            return (spare, 0, 0, vm.name)
        return (spare, load.serving, load.cpu_used, vm.name)

    def _count_slack(self, pool: str) -> int:
        """Count open VMs of a pool that could be maintained without being missed.

        An idle pool keeps half of its VMs, in case its turn comes; a busy one keeps
        its size, since its need rises and falls within a second.
        """
        report = self.reports.get(pool)
        if report is None or pool not in self.sizes:
            # nothing is known of its need yet
            return 0
        needed = count_needed(report)
        share = 1.0 if pool in self.busy else IDLE_SHARE
        kept = max(needed, math.ceil(self.sizes.get(pool, 0) * share))
        return self._count_open(pool) - kept
