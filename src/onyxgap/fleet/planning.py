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
from .maintenance import get_halt_reason
from .maintenance import is_overdue
from .maintenance import select_maintenance_wave
from .messages import Finding
from .messages import PassInput
from .messages import PoolPlan
from .messages import get_declared_pool
from .pricing import MaintenanceOption
from .pricing import list_maintenance_options

_REMOVAL_PURPOSES = (ev.Purpose.SURPLUS, ev.Purpose.MOVE, ev.Purpose.PLATFORM)


@attrs.define
class FreeVms:
    """VMs that belong to no pool, shared by the pools of one pass.

    They are collected when a pool needs one for the first time.

    :param pass_input: input of the reconciliation pass.
    """

    pass_input: PassInput
    _by_zone: dict[str, list[ListedVm]] | None = None

    def collect(self) -> dict[str, list[ListedVm]]:
        """Return the live VMs without a pool, by availability zone."""
        if self._by_zone is None:
            self._by_zone = collections.defaultdict(list)
            free = (
                self.pass_input.observation.listed.keys()
                - self.pass_input.state.vms.keys()
            )
            for name in sorted(free):
                if self.pass_input.observation.is_live(name):
                    vm = self.pass_input.observation.listed[name]
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


def plan_pool(name: str, pass_input: PassInput, free: FreeVms) -> PoolPlan:
    """Plan the changes of one pool.

    :param name: name of the pool.
    :param pass_input: input of the reconciliation pass.
    :param free: free VMs, shared by all pools of the pass.
    """
    pool_plan = PoolPlan(name)
    pool = get_declared_pool(pass_input.state, name)
    records = pass_input.state.list_pool(name)
    for record in records:
        advance_vm(record, pass_input, pool_plan)
    changed_vms = {getattr(event, "vm", "") for event in pool_plan.events}
    budget = _build_budget(pool, records, changed_vms, pass_input)
    _plan_sizes(pool, records, changed_vms, budget, pass_input, free, pool_plan)
    _plan_maintenance(pool, records, changed_vms, budget, pass_input, pool_plan)
    return pool_plan


def _build_budget(
    pool: Pool,
    records: t.Sequence[VmRecord],
    changed_vms: set[str],
    pass_input: PassInput,
) -> Budget:
    # VMs that an event of this pass already changes count as out of service.
    unchanged = [record for record in records if record.name not in changed_vms]
    remaining = count_headroom(pool, unchanged)
    blocked_reason = ""
    if pass_input.observation.is_stale:
        blocked_reason = f"the list of VMs is {pass_input.observation.age_s:.0f} s old"
    elif pass_input.safe_mode:
        blocked_reason = "too few entries or no store: nothing voluntary starts"
    return Budget(
        min(remaining, defaults.MAX_VOLUNTARY_DISRUPTIONS_PER_PASS), blocked_reason
    )


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
    pass_input: PassInput,
    free: FreeVms,
    pool_plan: PoolPlan,
) -> None:
    counted: dict[str, list[VmRecord]] = collections.defaultdict(list)
    for record in records:
        if _counts_toward_size(record):
            counted[record.zone].append(record)
    for zone in sorted({*pool.zones, *counted}):
        difference = pool.zones.get(zone, 0) - len(counted[zone])
        if difference > 0:
            _add_vms(pool, zone, difference, budget, free, pool_plan)
        elif difference < 0:
            drainable = [
                record for record in counted[zone] if record.name not in changed_vms
            ]
            _drain_surplus(
                pool, drainable, -difference, budget, pass_input.state, pool_plan
            )


def _add_vms(
    pool: Pool,
    zone: str,
    count: int,
    budget: Budget,
    free: FreeVms,
    pool_plan: PoolPlan,
) -> None:
    for missing in range(count, 0, -1):
        vm = free.take(zone, pool)
        if vm is None:
            reason = f"{missing} VMs short in {zone}: no free VM of its shape"
            pool_plan.report(Finding.SHORT_OF_VMS, pool.name, reason)
            return
        pool_plan.events.append(
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
    pool_plan: PoolPlan,
) -> None:
    tasks = state.count_attempts(pool.name)
    serving = [record for record in records if record.state is VmState.SERVING]
    for record in sorted(serving, key=lambda item: (tasks(item.name), item.name))[
        :count
    ]:
        if not budget.try_take():
            pool_plan.report(Finding.NO_BUDGET, pool.name, budget.explain_refusal(pool))
            return
        pool_plan.events.append(ev.VmDraining(record.name, ev.Purpose.SURPLUS))


def list_pool_options(
    pool: Pool, pass_input: PassInput, wave: t.Sequence[VmRecord], headroom: int
) -> list[MaintenanceOption]:
    """List the options for maintaining a wave of VMs, cheapest first.

    :param pool: the pool.
    :param pass_input: input of the reconciliation pass.
    :param wave: VMs that are due for maintenance, in order.
    :param headroom: maximum number of VMs out of service at once.
    """
    manifest = pass_input.state.manifest
    if manifest is None:
        return []
    tasks = pass_input.state.count_attempts(pool.name)
    loads = [tasks(record.name) for record in wave]
    return list_maintenance_options(loads, max(0, headroom), manifest.weights)


def _plan_maintenance(
    pool: Pool,
    records: t.Sequence[VmRecord],
    changed_vms: set[str],
    budget: Budget,
    pass_input: PassInput,
    pool_plan: PoolPlan,
) -> None:
    manifest = pass_input.state.manifest
    if manifest is None:
        return
    days = manifest.maintenance_days
    tasks = pass_input.state.count_attempts(pool.name)
    wave = select_maintenance_wave(records, pool, days, pass_input.wall, tasks)
    wave = [record for record in wave if record.name not in changed_vms]
    if not wave:
        return
    halt = get_halt_reason(records)
    if halt:
        budget.blocked_reason = budget.blocked_reason or halt
        pool_plan.report(Finding.HALTED, pool.name, halt)
    options = list_pool_options(pool, pass_input, wave, pool.max_out)
    parallel = options[0].parallel if options else 0
    in_maintenance = sum(record.purpose is ev.Purpose.MAINTENANCE for record in records)
    for record in wave[: max(0, parallel - in_maintenance)]:
        if not budget.try_take():
            break
        pool_plan.events.append(ev.VmDraining(record.name, ev.Purpose.MAINTENANCE))
    limit = budget.explain_refusal(pool)
    if budget.remaining > 0 and not budget.blocked_reason:
        limit = f"{parallel} VMs are maintained at a time"
    _report_overdue(pool, records, days, limit, pass_input, pool_plan)


def _report_overdue(
    pool: Pool,
    records: t.Sequence[VmRecord],
    days: int,
    limit: str,
    pass_input: PassInput,
    pool_plan: PoolPlan,
) -> None:
    overdue = [
        record.name for record in records if is_overdue(record, days, pass_input.wall)
    ]
    if overdue:
        reason = f"{len(overdue)} VMs past {days} days: {limit}"
        pool_plan.report(Finding.OVERDUE, pool.name, reason)
