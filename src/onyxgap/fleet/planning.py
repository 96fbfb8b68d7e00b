"""Plans repair, sizes by zone and maintenance of one pool within its budget."""

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
from .pricing import MaintenanceOption
from .pricing import list_options

_REMOVAL_PURPOSES = (ev.Purpose.SURPLUS, ev.Purpose.MOVE, ev.Purpose.PLATFORM)


@attrs.define
class FreeVms:
    """VMs that belong to no pool, shared by the pools of one pass.

    They are collected when a pool needs one for the first time.

    :param view: input of the reconciliation pass.
    """

    view: View
    _by_zone: dict[str, list[ListedVm]] | None = None

    def collect(self) -> dict[str, list[ListedVm]]:
        """Return the live VMs without a pool, by availability zone."""
        if self._by_zone is None:
            self._by_zone = collections.defaultdict(list)
            free = self.view.observation.listed.keys() - self.view.state.vms.keys()
            for name in sorted(free):
                if self.view.observation.is_live(name):
                    vm = self.view.observation.listed[name]
                    self._by_zone[vm.zone].append(vm)
        return self._by_zone

    def take(self, zone: str, pool: Pool) -> ListedVm | None:
        """Remove and return the smallest free VM of a zone that fits the pool's shape.

        :param zone: the availability zone.
        :param pool: the pool.
        :returns: the VM, or ``None`` if no free VM fits.
        """
        free_in_zone = self.collect().get(zone, [])
        fitting = [vm for vm in free_in_zone if pool.shape.fits(vm)]
        if not fitting:
            return None
        best = min(fitting, key=lambda vm: (vm.cores, vm.memory_gb, vm.name))
        free_in_zone.remove(best)
        return best


def plan_pool(name: str, view: View, free: FreeVms) -> Step:
    """Plan the next step of one pool.

    :param name: name of the pool.
    :param view: input of the reconciliation pass.
    :param free: free VMs, shared by all pools of the pass.
    """
    step = Step(name)
    pool = find_wanted(view.state, name)
    records = view.state.list_pool(name)
    for record in records:
        advance_vm(record, view, step)
    changed_vms = {getattr(event, "vm", "") for event in step.events}
    budget = _build_budget(pool, records, changed_vms, view)
    _plan_sizes(pool, records, changed_vms, budget, view, free, step)
    _plan_maintenance(pool, records, changed_vms, budget, view, step)
    return step


def _build_budget(
    pool: Pool, records: t.Sequence[VmRecord], changed_vms: set[str], view: View
) -> Budget:
    # VMs that an event of this pass already changes count as out of service.
    unchanged = [record for record in records if record.name not in changed_vms]
    remaining = count_headroom(pool, unchanged)
    blocked_reason = ""
    if view.observation.is_stale:
        blocked_reason = f"the list of VMs is {view.observation.age_s:.0f} s old"
    elif view.cautious:
        blocked_reason = "too few entries or no store: nothing voluntary starts"
    return Budget(min(remaining, defaults.MAX_VOLUNTARY_PER_PASS), blocked_reason)


def _counts_toward_size(record: VmRecord) -> bool:
    if record.state is VmState.RETIRED:
        return False
    return (
        record.state is not VmState.DRAINING or record.purpose not in _REMOVAL_PURPOSES
    )


def _plan_sizes(
    pool: Pool,
    records: t.Sequence[VmRecord],
    changed_vms: set[str],
    budget: Budget,
    view: View,
    free: FreeVms,
    step: Step,
) -> None:
    counted: dict[str, list[VmRecord]] = collections.defaultdict(list)
    for record in records:
        if _counts_toward_size(record):
            counted[record.zone].append(record)
    for zone in sorted({*pool.zones, *counted}):
        difference = pool.zones.get(zone, 0) - len(counted[zone])
        if difference > 0:
            _add_vms(pool, zone, difference, budget, free, step)
        elif difference < 0:
            drainable = [
                record for record in counted[zone] if record.name not in changed_vms
            ]
            _drain_surplus(pool, drainable, -difference, budget, view.state, step)


def _add_vms(
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
        if not budget.try_take():
            step.report(Finding.NO_BUDGET, pool.name, budget.explain_refusal(pool))
            return
        step.events.append(ev.VmDraining(record.name, ev.Purpose.SURPLUS))


def list_pool_options(
    pool: Pool, view: View, wave: t.Sequence[VmRecord], headroom: int
) -> list[MaintenanceOption]:
    """List the options for maintaining a wave of VMs, cheapest first.

    :param pool: the pool.
    :param view: input of the reconciliation pass.
    :param wave: VMs that are due for maintenance, in order.
    :param headroom: maximum number of VMs out of service at once.
    """
    manifest = view.state.manifest
    if manifest is None:
        return []
    tasks = view.state.count_attempts(pool.name)
    loads = [tasks(record.name) for record in wave]
    return list_options(loads, max(0, headroom), manifest.weights)


def _plan_maintenance(
    pool: Pool,
    records: t.Sequence[VmRecord],
    changed_vms: set[str],
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
    wave = [record for record in wave if record.name not in changed_vms]
    if not wave:
        return
    halt = find_halt(records)
    if halt:
        budget.blocked_reason = budget.blocked_reason or halt
        step.report(Finding.HALTED, pool.name, halt)
    options = list_pool_options(pool, view, wave, pool.max_out)
    parallel = options[0].parallel if options else 0
    in_maintenance = sum(record.purpose is ev.Purpose.MAINTENANCE for record in records)
    for record in wave[: max(0, parallel - in_maintenance)]:
        if not budget.try_take():
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
    overdue = [record.name for record in records if is_overdue(record, days, view.wall)]
    if overdue:
        reason = f"{len(overdue)} VMs past {days} days: {budget.explain_refusal(pool)}"
        step.report(Finding.OVERDUE, pool.name, reason)
