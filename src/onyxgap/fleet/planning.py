"""Plans one pool: repair, sizes by zone, maintenance; guarded by its budget."""

import collections
import typing as t

import attrs

from .. import defaults
from ..manifest import Pool
from ..ports import ListedVm
from ..shared import events as ev
from ..shared.records import VmRecord
from ..shared.records import VmState
from ..shared.state import FleetState
from .budget import Budget
from .budget import count_headroom
from .lifecycle import advance_vm
from .maintenance import find_halt
from .maintenance import is_overdue
from .maintenance import order_wave
from .messages import Finding
from .messages import Step
from .messages import View
from .messages import find_wanted
from .pricing import Option
from .pricing import list_options

_GOING = (ev.Purpose.SURPLUS, ev.Purpose.MOVE, ev.Purpose.PLATFORM)


@attrs.define
class FreeVms:
    """VMs that belong to no pool, shared by the pools of one pass.

    They are collected only once a pool asks for one.

    :param view: what the pass looks at.
    """

    view: View
    _by_zone: dict[str, list[ListedVm]] | None = None

    def collect(self) -> dict[str, list[ListedVm]]:
        """Collect the free VMs by zone."""
        if self._by_zone is None:
            self._by_zone = collections.defaultdict(list)
            free = self.view.observation.listed.keys() - self.view.state.vms.keys()
            for name in sorted(free):
                if self.view.observation.is_live(name):
                    vm = self.view.observation.listed[name]
                    self._by_zone[vm.zone].append(vm)
        return self._by_zone

    def take(self, zone: str, pool: Pool) -> ListedVm | None:
        """Take the smallest free VM of a zone that the pool accepts.

        :param zone: the availability zone.
        :param pool: the pool.
        """
        in_zone = self.collect().get(zone, [])
        fitting = [vm for vm in in_zone if pool.shape.fits(vm)]
        if not fitting:
            return None
        best = min(fitting, key=lambda vm: (vm.cores, vm.memory_gb, vm.name))
        in_zone.remove(best)
        return best


def plan_pool(name: str, view: View, free: FreeVms) -> Step:
    """Plan the next step of one pool.

    :param name: the pool.
    :param view: what the pass looks at.
    :param free: free VMs, shared by the pools of the pass.
    """
    step = Step(name)
    pool = find_wanted(view.state, name)
    records = view.state.list_pool(name)
    for record in records:
        advance_vm(record, view, step)
    touched = {getattr(event, "vm", "") for event in step.events}
    budget = _open_budget(pool, records, touched, view)
    _plan_sizes(pool, records, touched, budget, view, free, step)
    _plan_maintenance(pool, records, touched, budget, view, step)
    return step


def _open_budget(
    pool: Pool, records: t.Sequence[VmRecord], touched: set[str], view: View
) -> Budget:
    # a VM that this very pass takes out is out already
    untouched = [record for record in records if record.name not in touched]
    left = count_headroom(pool, untouched)
    barred = ""
    if view.observation.is_stale:
        barred = f"the list of VMs is {view.observation.age_s:.0f} s old"
    elif view.cautious:
        barred = "too few entries or no store: nothing voluntary starts"
    return Budget(min(left, defaults.MAX_VOLUNTARY_PER_PASS), barred)


def _is_staying(record: VmRecord) -> bool:
    if record.state is VmState.RETIRED:
        return False
    return record.state is not VmState.DRAINING or record.purpose not in _GOING


def _plan_sizes(
    pool: Pool,
    records: t.Sequence[VmRecord],
    touched: set[str],
    budget: Budget,
    view: View,
    free: FreeVms,
    step: Step,
) -> None:
    staying: dict[str, list[VmRecord]] = collections.defaultdict(list)
    for record in records:
        if _is_staying(record):
            staying[record.zone].append(record)
    for zone in sorted({*pool.zones, *staying}):
        difference = pool.zones.get(zone, 0) - len(staying[zone])
        if difference > 0:
            _join_vms(pool, zone, difference, budget, free, step)
        elif difference < 0:
            idle = [record for record in staying[zone] if record.name not in touched]
            _drain_surplus(pool, idle, -difference, budget, view.state, step)


def _join_vms(
    pool: Pool, zone: str, count: int, budget: Budget, free: FreeVms, step: Step
) -> None:
    for missing in range(count, 0, -1):
        vm = free.take(zone, pool)
        if vm is None:
            reason = f"{missing} VMs short in {zone}: no free VM of its shape"
            step.report(Finding.SHORT_OF_VMS, pool.name, reason)
            return
        step.events.append(
            ev.VmJoined(
                vm=vm.name,
                pool=pool.name,
                zone=vm.zone,
                rack=vm.rack,
                address=vm.address,
                boots=vm.boots,
                cores=vm.cores,
                memory_gb=vm.memory_gb,
                accelerators=vm.accelerators,
            )
        )


def _drain_surplus(
    pool: Pool,
    records: t.Sequence[VmRecord],
    count: int,
    budget: Budget,
    state: FleetState,
    step: Step,
) -> None:
    tasks = state.count_attempts(pool.name)
    serving = [record for record in records if record.state is VmState.SERVING]
    for record in sorted(serving, key=lambda item: (tasks(item.name), item.name))[
        :count
    ]:
        if not budget.grant():
            step.report(Finding.NO_BUDGET, pool.name, budget.explain(pool))
            return
        step.events.append(ev.VmDraining(record.name, ev.Purpose.SURPLUS))


def list_pool_options(
    pool: Pool, view: View, wave: t.Sequence[VmRecord], left: int
) -> list[Option]:
    """List the ways to maintain a wave, cheapest first.

    :param pool: the pool.
    :param view: what the pass looks at.
    :param wave: VMs that are due.
    :param left: disruptions left in the budget.
    """
    manifest = view.state.manifest
    if manifest is None:
        return []
    tasks = view.state.count_attempts(pool.name)
    loads = [tasks(record.name) for record in wave]
    return list_options(loads, max(0, left), manifest.weights)


def _plan_maintenance(
    pool: Pool,
    records: t.Sequence[VmRecord],
    touched: set[str],
    budget: Budget,
    view: View,
    step: Step,
) -> None:
    manifest = view.state.manifest
    if manifest is None:
        return
    days = manifest.maintenance_days
    tasks = view.state.count_attempts(pool.name)
    wave = order_wave(records, pool, days, view.wall, tasks)
    wave = [record for record in wave if record.name not in touched]
    if not wave:
        return
    halt = find_halt(records)
    if halt:
        budget.barred = budget.barred or halt
        step.report(Finding.HALTED, pool.name, halt)
    options = list_pool_options(pool, view, wave, pool.max_out)
    parallel = options[0].parallel if options else 0
    out = sum(record.purpose is ev.Purpose.MAINTENANCE for record in records)
    for record in wave[: max(0, parallel - out)]:
        if not budget.grant():
            break
        step.events.append(ev.VmDraining(record.name, ev.Purpose.MAINTENANCE))
    _report_overdue(pool, records, days, budget, view, step)


def _report_overdue(
    pool: Pool,
    records: t.Sequence[VmRecord],
    days: int,
    budget: Budget,
    view: View,
    step: Step,
) -> None:
    late = [record.name for record in records if is_overdue(record, days, view.wall)]
    if late:
        reason = f"{len(late)} VMs past {days} days: {budget.explain(pool)}"
        step.report(Finding.OVERDUE, pool.name, reason)
