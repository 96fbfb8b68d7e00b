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
from .messages import PowerOrder
from .messages import Step
from .messages import View


def advance_vm(record: VmRecord, view: View, step: Step) -> None:
    """Add the events and orders that one VM needs now.

    This covers only involuntary changes and disruptions that the budget has
    already granted.

    :param record: the VM.
    :param view: input of the reconciliation pass.
    :param step: plan to which events, orders and reports are added.
    """
    if record.name in view.observation.contradictory:
        reason = "the platform lists it twice with different facts"
        step.report(Finding.CONTRADICTORY, record.name, reason)
        return
    _ADVANCE[record.state](record, view, step)


def _advance_serving(record: VmRecord, view: View, step: Step) -> None:
    listed = view.observation.listed.get(record.name)
    if record.name in view.observation.missing:
        step.events.append(ev.VmFailed(record.name, "missing from the platform's list"))
    elif view.observation.is_leaving(record.name):
        step.events.append(ev.VmDraining(record.name, ev.Purpose.PLATFORM))
    elif listed is not None and _has_restarted(record, listed):
        step.events.append(ev.VmFailed(record.name, "restarted on its own"))


def _has_restarted(record: VmRecord, listed: ListedVm) -> bool:
    known = (record.boots, record.address)
    return listed.status is VmStatus.LIVE and (listed.boots, listed.address) != known


def _advance_draining(record: VmRecord, view: View, step: Step) -> None:
    if record.name in view.observation.missing:
        step.events.append(ev.VmFailed(record.name, "lost while it drained"))
    elif record.purpose is ev.Purpose.PLATFORM:
        _advance_platform_drain(record, view, step)
    elif is_drained(record, view, step):
        step.events.append(_finish_drain(record))


def _advance_platform_drain(record: VmRecord, view: View, step: Step) -> None:
    if not view.observation.is_live(record.name):
        return
    listed = view.observation.listed[record.name]
    step.events.append(ev.VmReturned(record.name, listed.boots, listed.address))


def is_drained(record: VmRecord, view: View, step: Step) -> bool:
    """Whether a draining or quarantined VM may be restarted or released.

    Every live entry process must have applied the event that took the VM out of
    service. Its requests and tasks must also have ended, or the grace period must
    have passed; a drain that the grace period ends is reported.

    :param record: the VM.
    :param view: input of the reconciliation pass.
    :param step: plan to which the report is added.
    """
    if view.acknowledged < record.since:
        return False
    requests = view.in_flight.get(record.name, 0)
    tasks = view.state.count_attempts(record.pool)(record.name)
    if not requests and not tasks:
        return True
    if view.wall - record.at < view.drain_grace_s:
        return False
    reason = (
        f"{requests} requests and {tasks} tasks outlasted the grace "
        f"of {view.drain_grace_s:.0f} s"
    )
    step.report(Finding.DRAIN_FORCED, record.name, reason)
    return True


def _finish_drain(record: VmRecord) -> ev.Event:
    if record.purpose is ev.Purpose.MAINTENANCE:
        return _request_restart(record, VmAction.REBOOT)
    return ev.VmReleased(record.name)


def _request_restart(record: VmRecord, action: VmAction) -> ev.VmRestarting:
    action_id = f"{record.name}/{record.since}"
    return ev.VmRestarting(record.name, action.value, action_id, record.boots)


def _advance_down(record: VmRecord, view: View, step: Step) -> None:
    listed = view.observation.listed.get(record.name)
    live = view.observation.is_live(record.name)
    if live and listed is not None and listed.boots > record.boots:
        maintained = record.purpose is ev.Purpose.MAINTENANCE
        step.events.append(
            ev.VmReturned(record.name, listed.boots, listed.address, maintained)
        )
        return
    if view.wall - record.at > defaults.REBOOT_TIMEOUT_S:
        step.events.append(ev.VmFailed(record.name, f"{record.action} took too long"))
        return
    order = PowerOrder(record.name, VmAction(record.action), record.action_id)
    step.orders.append(order)


def _advance_failed(record: VmRecord, view: View, step: Step) -> None:
    if view.observation.is_live(record.name):
        listed = view.observation.listed[record.name]
        step.events.append(ev.VmReturned(record.name, listed.boots, listed.address))
    elif view.cautious:
        return
    elif record.repairs == 0:
        step.events.append(_request_restart(record, VmAction.REBOOT))
    elif record.repairs < defaults.REPAIR_ATTEMPTS:
        step.events.append(_request_restart(record, VmAction.REPLACE))
    else:
        reason = f"still down after {record.repairs} power actions"
        step.events.append(ev.VmRetired(record.name, reason))


def _advance_quarantined(record: VmRecord, view: View, step: Step) -> None:
    if record.name in view.observation.missing:
        step.events.append(ev.VmFailed(record.name, "lost in quarantine"))
    elif is_drained(record, view, step):
        step.events.append(_request_restart(record, VmAction.REBOOT))


def _advance_retired(record: VmRecord, view: View, step: Step) -> None:
    listed = view.observation.listed.get(record.name)
    if listed is not None and view.observation.is_live(record.name):
        # The VM was repaired from outside, e.g. by an operator.
        step.events.append(ev.VmReleased(record.name))
    else:
        step.report(Finding.GIVEN_UP, record.name, record.reason)


_ADVANCE: dict[VmState, t.Callable[[VmRecord, View, Step], None]] = {
    VmState.SERVING: _advance_serving,
    VmState.DRAINING: _advance_draining,
    VmState.DOWN: _advance_down,
    VmState.FAILED: _advance_failed,
    VmState.QUARANTINED: _advance_quarantined,
    VmState.RETIRED: _advance_retired,
}
