"""Plans maintenance and moves of VMs; pure state, fed with lists and reports.

A VM is touched only when nothing runs on it: its worker is cordoned, the shard's
owner reports it empty, and only then is the order given. VMs of the spare pool
run nothing and need no cordon.
"""

import typing as t

import attrs
import structlog

from .fleet_state import MOVE_REASON
from .fleet_state import UPKEEP_REASON
from .messages import Vm
from .messages import VmActionKind
from .messages import VmOrder
from .messages import VmState
from .waves import WavePlanner

SETTLE_S = 8.0
"""VMs start within seconds of each other; one that does not is down."""

_LOG = structlog.get_logger()


@attrs.define
class FleetPlanner(WavePlanner):
    """Plans maintenance and moves of VMs."""

    def plan(self, now: float) -> list[VmOrder]:
        """Choose orders, and which workers are to be emptied.

        :param now: monotonic seconds.
        """
        orders = [
            flight.order
            for flight in self.flights.values()
            if flight.resend_at is not None and now >= flight.resend_at
        ]
        for order in orders:
            self.flights[order.vm].resend_at = None
        for progress in self.waves.values():
            orders += self._plan_wave(progress, now)
        orders += self._plan_moves(now)
        for order in orders:
            self._ordered[order.vm] = now
        return orders

    def _plan_moves(self, now: float) -> t.Iterator[VmOrder]:
        if not self.sizes or not self.spare_pool or not self._is_settled(now):
            return
        lacks = self._count_lacks()
        self._cordon_surplus(lacks)
        for vm in self._list_movable(now):
            pool = self._choose_pool(vm, lacks)
            if pool == vm.pool:
                continue
            if pool in lacks:
                lacks[pool] -= 1
            order = VmOrder(vm.name, VmActionKind.MOVE, pool=pool)
            _LOG.info(
                "VM moves",
                vm=vm.name,
                source=vm.pool,
                pool=pool,
                wanted=self.sizes.get(pool, 0),
                open=self._count_open(pool),
            )
            yield self._start(vm, order)

    def _is_settled(self, now: float) -> bool:
        """Tell whether the deployment has started as far as it will.

        VMs that start one after the other would be taken for a lack of VMs.
        """
        if not self._settled and self.vms:
            if self._first_plan_at is None:
                self._first_plan_at = now
            all_up = all(vm.state is VmState.UP for vm in self.vms.values())
            reported = self.shards <= self.reports.keys()
            late = self.successor or now - self._first_plan_at > SETTLE_S
            self._settled = reported and (all_up or late)
        return self._settled

    def _count_lacks(self) -> dict[str, int]:
        """Count the VMs that each pool lacks; negative where it has too many."""
        lacks = {}
        for pool, wanted in self.sizes.items():
            coming = sum(
                flight.order.kind is VmActionKind.MOVE and flight.order.pool == pool
                for flight in self.flights.values()
            )
            mending = sum(
                vm.pool == pool
                and (
                    vm.state in (VmState.UPKEEP, VmState.MOVING)
                    or self._is_cordoned(vm, UPKEEP_REASON)
                )
                and not self._is_leaving(vm)
                for vm in self.vms.values()
            )
            lacks[pool] = wanted - self._count_open(pool) - coming - mending
        return lacks

    def _is_leaving(self, vm: Vm) -> bool:
        flight = self.flights.get(vm.name)
        return flight is not None and flight.order.kind is VmActionKind.MOVE

    def _cordon_surplus(self, lacks: t.Mapping[str, int]) -> None:
        for pool, lack in lacks.items():
            leaving = [
                vm
                for vm in self.vms.values()
                if vm.pool == pool
                and self._is_cordoned(vm, MOVE_REASON)
                and vm.name not in self.flights
            ]
            if lack > 0:
                for vm in leaving[:lack]:
                    del self.cordons[vm.worker_id]
            elif lack < 0:
                self._cordon_idle(pool, -lack)

    def _cordon_idle(self, pool: str, count: int) -> None:
        report = self.reports.get(pool)
        if report is None:
            return
        idle = []
        for vm in self.vms.values():
            load = report.workers.get(vm.worker_id)
            if vm.pool != pool or vm.state is not VmState.UP or load is None:
                continue
            if vm.worker_id in self.cordons or vm.name in self.flights:
                continue
            if not load.serving:
                idle.append((load.runs, load.cpu_used, vm.name, vm))
        for *_, vm in sorted(idle, key=lambda item: item[:3])[:count]:
            self._cordon(vm, MOVE_REASON)

    def _list_movable(self, now: float) -> list[Vm]:
        """List VMs that may move now, those that are off first."""
        movable = [
            vm
            for vm in self.vms.values()
            if self._is_free(vm.name, now)
            and self._is_empty(vm)
            and (vm.pool == self.spare_pool or self._is_cordoned(vm, MOVE_REASON))
        ]
        return sorted(movable, key=lambda vm: (vm.pool != self.spare_pool, vm.name))

    def _choose_pool(self, vm: Vm, lacks: t.Mapping[str, int]) -> str:
        """Choose the pool that lacks most, else the spare pool."""
        wanting = [
            (-lack, pool)
            for pool, lack in lacks.items()
            if lack > 0 and pool != vm.pool and (vm.name, pool) not in self._barred
        ]
        return min(wanting)[1] if wanting else self.spare_pool
