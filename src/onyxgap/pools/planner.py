"""Plans maintenance and moves of VMs from VM lists and pool reports, without I/O.

An order about a VM is sent only when nothing runs on it: its worker is cordoned, and
the order follows once the shard's owner reports the worker drained. VMs of the spare
pool run nothing and need no cordon.
"""

import typing as t

import attrs
import structlog

from .cordon_review import has_waiting_work
from .cordons import CordonReason
from .cordons import Moment
from .messages import Vm
from .messages import VmActionKind
from .messages import VmOrder
from .messages import VmState
from .waves import WavePlanner

REGISTRATION_RETURN_S = 2.0
"""Time within which registrations that expired with the store down are back."""
JOIN_TIMEOUT_S = 4.0
"""Time within which a worker of a VM that is listed as up has registered and is in the
report of its shard."""
STARTUP_TIMEOUT_S = 8.0
"""All VMs start within seconds of each other. One that is not up by then is down."""
MAX_UPKEEP_CORDON_S = 5.0
"""Age from which a cordon for maintenance no longer counts as a VM that returns soon:
it takes 2.5 s to drain a worker, and 2 s to maintain its VM."""

_LOG = structlog.get_logger()


@attrs.define(slots=True)
class Shortfall:
    """VMs that a pool lacks.

    :param vms: number of VMs, negative if the pool has a surplus.
    :param serving: number of them that its serving tasks lack.
    """

    vms: int
    serving: int = 0

    def note_move(self) -> None:
        """Record that a VM is moved to the pool."""
        self.vms -= 1
        self.serving = max(0, self.serving - 1)


@attrs.define
class FleetPlanner(WavePlanner):
    """Plans maintenance and moves of VMs."""

    def plan(self, now: float, store_ms: int | None = None) -> list[VmOrder]:
        """Return the orders to send now, and cordon workers to be drained.

        :param now: monotonic seconds.
        :param store_ms: milliseconds of the store's clock, if known.
        """
        self._pass_moment = Moment(now, store_ms)
        self._remove_void_orders(now)
        self._lift_idle_cordons(now)
        orders = self._list_resends(now)
        for progress in self.waves.values():
            orders += self._plan_wave(progress, now)
        orders += self._plan_moves(now)
        for order in orders:
            self._last_ordered_at[order.vm] = now
            self.pending_orders[order.vm].sent_at = now
        return orders

    def _plan_moves(self, now: float) -> t.Iterator[VmOrder]:
        if not self.sizes or not self.spare_pool or not self._is_startup_complete(now):
            return
        self._note_reported_workers(now)
        shortfalls = self._count_shortfalls(now)
        self._cordon_surplus(shortfalls, now)
        for vm in self._list_movable(now):
            pool = self._choose_pool(vm, shortfalls)
            if pool == vm.pool or not self._may_order(vm, now):
                continue
            if pool in shortfalls:
                shortfalls[pool].note_move()
            order = VmOrder(vm.name, VmActionKind.MOVE, pool=pool)
            _LOG.info(
                "VM moves",
                vm=vm.name,
                source=vm.pool,
                pool=pool,
                wanted=self.sizes.get(pool, 0),
                open=self._count_schedulable(pool),
                vm_list_age_s=self._get_list_age_in_pass_s(),
            )
            yield self._add_pending(vm, order)

    def _note_reported_workers(self, now: float) -> None:
        live = {vm.worker_id for vm in self.vms.values()}
        for worker_id in self._reported_at.keys() - live:
            del self._reported_at[worker_id]
        joined_by = now + JOIN_TIMEOUT_S
        self._reported_at = dict.fromkeys(live, joined_by) | self._reported_at
        for report in self.reports.values():
            self._reported_at |= dict.fromkeys(report.workers.keys() & live, now)

    def _is_startup_complete(self, now: float) -> bool:
        """Tell whether the start-up of the deployment is over.

        Before that, VMs that are still starting would be counted as a shortfall.
        """
        if not self._startup_complete and self.vms:
            if self._first_plan_at is None:
                self._first_plan_at = now
            all_up = all(vm.state is VmState.UP for vm in self.vms.values())
            reported = self.shards <= self.reports.keys()
            timed_out = now - self._first_plan_at > STARTUP_TIMEOUT_S
            known_over = all_up or self.startup_over
            self._startup_complete = (reported and known_over) or timed_out
        return self._startup_complete

    def _count_shortfalls(self, now: float) -> dict[str, Shortfall]:
        return {
            pool: self._count_shortfall(pool, wanted, now)
            for pool, wanted in self.sizes.items()
        }

    def _count_shortfall(self, pool: str, wanted: int, now: float) -> Shortfall:
        usable = self._count_schedulable(pool) + self._count_incoming(pool)
        # VMs in maintenance return only once their tasks have found other workers
        needed = min(wanted, self._get_serving_vms(pool))
        serving = needed - usable + self._count_out_of_reach(pool, now)
        returning = self._list_returning(pool, now)
        lacking = wanted - usable - len(returning)
        if lacking < 0 and has_waiting_work(self.reports.get(pool)):
            # VMs that return from maintenance later make no VM in use a surplus
            maintained = sum(vm.state is not VmState.MOVING for vm in returning)
            lacking = min(0, lacking + maintained)
        return Shortfall(max(lacking, serving), max(0, serving))

    def _count_incoming(self, pool: str) -> int:
        return sum(
            pending.order.kind is VmActionKind.MOVE and pending.order.pool == pool
            for pending in self.pending_orders.values()
        )

    def _list_returning(self, pool: str, now: float) -> list[Vm]:
        """List VMs that are about to be in use again without a new order."""
        return [
            vm
            for vm in self.vms.values()
            if vm.pool == pool
            and self._is_returning(vm, now)
            and not self._has_pending_move(vm)
        ]

    def _is_returning(self, vm: Vm, now: float) -> bool:
        if vm.state in (VmState.UPKEEP, VmState.MOVING):
            return not self._hangs(vm.name, now)
        if not self._is_cordoned(vm, CordonReason.UPKEEP):
            return False
        age_s = self.cordons[vm.worker_id].get_age_s(now)
        return age_s is not None and age_s < MAX_UPKEEP_CORDON_S

    def _get_serving_vms(self, pool: str) -> int:
        report = self.reports.get(pool)
        return report.serving_vms if report is not None else 0

    def _count_out_of_reach(self, pool: str, now: float) -> int:
        """Count schedulable VMs whose workers are not registered.

        The shard does not count them among the VMs that its serving tasks need. The
        worker of a VM that is new to this controller is about to register, or ended
        before the controller took its role.
        """
        return sum(
            now - self._reported_at.get(vm.worker_id, now) > REGISTRATION_RETURN_S
            and self._is_schedulable(vm, pool)
            for vm in self.vms.values()
        )

    def _has_pending_move(self, vm: Vm) -> bool:
        pending = self.pending_orders.get(vm.name)
        return pending is not None and pending.order.kind is VmActionKind.MOVE

    def _cordon_surplus(
        self, shortfalls: t.Mapping[str, Shortfall], now: float
    ) -> None:
        for pool, shortfall in shortfalls.items():
            cordoned = [
                vm
                for vm in self.vms.values()
                if vm.pool == pool
                and self._is_cordoned(vm, CordonReason.MOVE)
                and not self._may_be_carried_out(vm.name)
            ]
            if shortfall.vms > 0:
                self._lift_cordons(pool, cordoned[: shortfall.vms])
            elif shortfall.vms < 0:
                self._cordon_least_loaded(pool, -shortfall.vms, now)

    def _lift_cordons(self, pool: str, vms: t.Sequence[Vm]) -> None:
        for vm in vms:
            del self.cordons[vm.worker_id]
        if vms:
            workers = [vm.worker_id for vm in vms]
            _LOG.info(
                "cordons of surplus VMs lifted",
                pool=pool,
                workers=workers,
                vm_list_age_s=self._get_list_age_in_pass_s(),
            )

    def _cordon_least_loaded(self, pool: str, count: int, now: float) -> None:
        report = self.reports.get(pool)
        if report is None:
            return
        candidates = []
        for vm in self.vms.values():
            load = report.workers.get(vm.worker_id)
            if vm.pool != pool or vm.state is not VmState.UP or load is None:
                continue
            if vm.worker_id in self.cordons or self._may_be_carried_out(vm.name):
                continue
            if now < self._paused_until.get(vm.name, 0.0):
                continue
            if not load.serving:
                candidates.append((load.runs, load.cpu_used, vm.name, vm))
        candidates.sort(key=lambda item: item[:3])
        surplus = []
        for *_, vm in candidates[:count]:
            if self._may_cordon(now):
                self._cordon(vm, CordonReason.MOVE)
                surplus.append(vm)
        if surplus:
            workers = [vm.worker_id for vm in surplus]
            _LOG.info(
                "surplus VMs cordoned",
                pool=pool,
                workers=workers,
                vm_list_age_s=self._get_list_age_in_pass_s(),
            )

    def _list_movable(self, now: float) -> list[Vm]:
        """List VMs that can be moved now, VMs of the spare pool first."""
        movable = [
            vm
            for vm in self.vms.values()
            if self._is_available(vm.name, now)
            and not self._may_be_carried_out(vm.name)
            and self._is_drained(vm)
            and (vm.pool == self.spare_pool or self._is_cordoned(vm, CordonReason.MOVE))
        ]
        return sorted(movable, key=lambda vm: (vm.pool != self.spare_pool, vm.name))

    def _choose_pool(self, vm: Vm, shortfalls: t.Mapping[str, Shortfall]) -> str:
        """Choose the pool that lacks VMs most, else the spare pool.

        Pools whose serving tasks lack VMs go first; these tasks can't make up for the
        time in which they are away.
        """
        candidates = [
            (shortfall.serving == 0, -shortfall.vms, pool)
            for pool, shortfall in shortfalls.items()
            if shortfall.vms > 0
            and pool != vm.pool
            and (vm.name, pool) not in self._refused_moves
        ]
        return min(candidates)[-1] if candidates else self.spare_pool
