"""Input and result types of a reconciliation pass over the pools of the fleet."""

import enum
import typing as t

import attrs

from ..manifest import Pool
from ..ports import StartTask
from ..ports import VmAction
from ..shared.events import Event
from ..shared.state import FleetState
from .observation import Observation


class Finding(enum.Enum):
    """Kind of problem that keeps a pool, VM or task from being reconciled."""

    SHORT_OF_VMS = "short-of-vms"
    NO_BUDGET = "no-budget"
    OVERDUE = "overdue"
    HALTED = "halted"
    STALE_VIEW = "stale-view"
    DRAIN_FORCED = "drain-forced"
    GIVEN_UP = "given-up"
    CONTRADICTORY = "contradictory"
    UNRUNNABLE = "unrunnable"
    FAULTY_WORKER = "faulty-worker"
    OVER_QUOTA = "over-quota"
    NO_ROOM = "no-room"
    LOST_TASK = "lost-task"


@attrs.frozen(slots=True)
class Report:
    """A problem that keeps a pool, VM or task from being reconciled.

    :param finding: kind of problem.
    :param subject: name of the pool, VM or task.
    :param reason: short explanation for the operator.
    """

    finding: Finding
    subject: str
    reason: str


@attrs.frozen(slots=True)
class PowerOrder:
    """A power action on a VM, sent to the platform.

    It is repeated in every pass until the VM list shows its effect or it times out.

    :param vm: name of the VM.
    :param action: reboot or replace.
    :param action_id: identifies the action, so that a repeated order runs only once.
    """

    vm: str
    action: VmAction
    action_id: str


@attrs.frozen(slots=True)
class StopOrder:
    """An order to the platform to stop a task attempt."""

    attempt: str


Order = PowerOrder | StartTask | StopOrder


@attrs.frozen
class PassInput:
    """Input of a reconciliation pass.

    :param state: replicated state.
    :param observation: VMs as the platform lists them.
    :param wall: wall-clock time in seconds, for maintenance cycles and grace periods.
    :param min_applied_sequence: lowest of the journal sequences that the
        live entry processes have applied.
    :param in_flight: requests in flight by draining VM, summed over the live entry
        processes.
    :param safe_mode: whether no voluntary disruption, quarantine or repair of a failed
        VM may start.
    :param drain_grace_s: grace period of a draining VM in seconds.
    """

    state: FleetState
    observation: Observation
    wall: float
    min_applied_sequence: int
    in_flight: t.Mapping[str, int]
    safe_mode: bool = False
    drain_grace_s: float = 30.0


@attrs.define
class PoolPlan:
    """Result of a reconciliation pass for one pool.

    :param pool: name of the pool.
    :param events: events to append to the journal.
    :param orders: orders to the platform that the current replicated state calls
        for, without the events above.
    :param reports: problems that keep the pool from being reconciled.
    """

    pool: str
    events: list[Event] = attrs.field(factory=list)
    orders: list[Order] = attrs.field(factory=list)
    reports: list[Report] = attrs.field(factory=list)

    def report(self, finding: Finding, subject: str, reason: str) -> None:
        """Report a problem.

        :param finding: kind of problem.
        :param subject: name of the pool, VM or task.
        :param reason: short explanation for the operator.
        """
        self.reports.append(Report(finding, subject, reason))


def get_declared_pool(state: FleetState, name: str) -> Pool:
    """Find the declaration of a pool.

    A pool that is no longer declared gets a declaration without VMs, so that its
    remaining VMs are surplus.

    :param state: replicated state.
    :param name: name of the pool.
    """
    return state.find_pool(name) or Pool(name=name, zones={}, max_out=0)
