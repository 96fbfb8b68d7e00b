"""State machine of a VM: plans the next transition or power action by its state."""

import typing as t

from .. import defaults
from ..ports import ListedVm
from ..ports import VmAction
from ..ports import VmStatus
from ..shared import events as ev
from ..shared.records import VmRecord
from ..shared.records import VmState
from .messages import Finding
from .messages import PassInput
from .messages import PoolPlan
from .messages import PowerOrder


def advance_vm(record: VmRecord, pass_input: PassInput, pool_plan: PoolPlan) -> None:
    """Add the events and orders that one VM needs now.

    This covers only involuntary changes and disruptions that the budget has
    already granted.

    :param record: the VM.
    :param pass_input: input of the reconciliation pass.
    :param pool_plan: plan to which events, orders and reports are added.
    """
    if record.name in pass_input.observation.contradictory:
        reason = "the platform lists it twice with different facts"
        pool_plan.report(Finding.CONTRADICTORY, record.name, reason)
        return
    _ADVANCE[record.state](record, pass_input, pool_plan)


def _advance_serving(
    record: VmRecord, pass_input: PassInput, pool_plan: PoolPlan
) -> None:
    listed = pass_input.observation.listed.get(record.name)
    if record.name in pass_input.observation.missing:
        pool_plan.events.append(
            ev.VmFailed(record.name, "missing from the platform's list")
        )
    elif pass_input.observation.is_leaving(record.name):
        pool_plan.events.append(ev.VmDraining(record.name, ev.Purpose.PLATFORM))
    elif listed is not None and _has_restarted(record, listed):
        pool_plan.events.append(ev.VmFailed(record.name, "restarted on its own"))


def _has_restarted(record: VmRecord, listed: ListedVm) -> bool:
    known = (record.boots, record.address)
    return listed.status is VmStatus.LIVE and (listed.boots, listed.address) != known


def _advance_draining(
    record: VmRecord, pass_input: PassInput, pool_plan: PoolPlan
) -> None:
    if record.name in pass_input.observation.missing:
        pool_plan.events.append(ev.VmFailed(record.name, "lost while it drained"))
    elif record.purpose is ev.Purpose.PLATFORM:
        _advance_platform_drain(record, pass_input, pool_plan)
    elif is_drained(record, pass_input, pool_plan):
        pool_plan.events.append(_finish_drain(record))


def _advance_platform_drain(
    record: VmRecord, pass_input: PassInput, pool_plan: PoolPlan
) -> None:
    if not pass_input.observation.is_live(record.name):
        return
    listed = pass_input.observation.listed[record.name]
    pool_plan.events.append(ev.VmReturned(record.name, listed.boots, listed.address))


def is_drained(record: VmRecord, pass_input: PassInput, pool_plan: PoolPlan) -> bool:
    """Whether a draining or quarantined VM may be restarted or released.

    Every live entry process must have applied the event that took the VM out of
    service. Its requests and tasks must also have ended, or the grace period must
    have passed; a drain that the grace period ends is reported.

    :param record: the VM.
    :param pass_input: input of the reconciliation pass.
    :param pool_plan: plan to which the report is added.
    """
    if pass_input.min_applied_sequence < record.since:
        return False
    requests = pass_input.in_flight.get(record.name, 0)
    tasks = pass_input.state.count_attempts(record.pool)(record.name)
    if not requests and not tasks:
        return True
    if pass_input.wall - record.at < pass_input.drain_grace_s:
        return False
    reason = (
        f"{requests} requests and {tasks} tasks outlasted the grace "
        f"of {pass_input.drain_grace_s:.0f} s"
    )
    pool_plan.report(Finding.DRAIN_FORCED, record.name, reason)
    return True


def _finish_drain(record: VmRecord) -> ev.Event:
    if record.purpose is ev.Purpose.MAINTENANCE:
        return _request_restart(record, VmAction.REBOOT)
    return ev.VmReleased(record.name)


def _request_restart(record: VmRecord, action: VmAction) -> ev.VmRestarting:
    action_id = f"{record.name}/{record.since}"
    return ev.VmRestarting(record.name, action.value, action_id, record.boots)


def _advance_down(record: VmRecord, pass_input: PassInput, pool_plan: PoolPlan) -> None:
    listed = pass_input.observation.listed.get(record.name)
    live = pass_input.observation.is_live(record.name)
    if live and listed is not None and listed.boots > record.boots:
        maintained = record.purpose is ev.Purpose.MAINTENANCE
        pool_plan.events.append(
            ev.VmReturned(record.name, listed.boots, listed.address, maintained)
        )
        return
    if pass_input.wall - record.at > defaults.REBOOT_TIMEOUT_S:
        pool_plan.events.append(
            ev.VmFailed(record.name, f"{record.action} took too long")
        )
        return
    order = PowerOrder(record.name, VmAction(record.action), record.action_id)
    pool_plan.orders.append(order)


def _advance_failed(
    record: VmRecord, pass_input: PassInput, pool_plan: PoolPlan
) -> None:
    if pass_input.observation.is_live(record.name):
        listed = pass_input.observation.listed[record.name]
        pool_plan.events.append(
            ev.VmReturned(record.name, listed.boots, listed.address)
        )
    elif pass_input.safe_mode:
        return
    elif record.repairs == 0:
        pool_plan.events.append(_request_restart(record, VmAction.REBOOT))
    elif record.repairs < defaults.REPAIR_ATTEMPTS:
        pool_plan.events.append(_request_restart(record, VmAction.REPLACE))
    else:
        reason = f"still down after {record.repairs} power actions"
        pool_plan.events.append(ev.VmRetired(record.name, reason))


def _advance_quarantined(
    record: VmRecord, pass_input: PassInput, pool_plan: PoolPlan
) -> None:
    if record.name in pass_input.observation.missing:
        pool_plan.events.append(ev.VmFailed(record.name, "lost in quarantine"))
    elif is_drained(record, pass_input, pool_plan):
        pool_plan.events.append(_request_restart(record, VmAction.REBOOT))


def _advance_retired(
    record: VmRecord, pass_input: PassInput, pool_plan: PoolPlan
) -> None:
    listed = pass_input.observation.listed.get(record.name)
    if listed is not None and pass_input.observation.is_live(record.name):
        # The VM was repaired from outside, e.g. by an operator.
        pool_plan.events.append(ev.VmReleased(record.name))
    else:
        pool_plan.report(Finding.GIVEN_UP, record.name, record.reason)


_ADVANCE: dict[VmState, t.Callable[[VmRecord, PassInput, PoolPlan], None]] = {
    VmState.SERVING: _advance_serving,
    VmState.DRAINING: _advance_draining,
    VmState.DOWN: _advance_down,
    VmState.FAILED: _advance_failed,
    VmState.QUARANTINED: _advance_quarantined,
    VmState.RETIRED: _advance_retired,
}
