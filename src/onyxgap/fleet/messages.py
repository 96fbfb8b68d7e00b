"""Typed messages that flow through the fleet pipe."""

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
    """Why something cannot be brought in line."""

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
    """One thing that cannot be brought in line.

    :param finding: its kind.
    :param subject: pool, VM or task concerned.
    :param reason: what prevents it, in a phrase.
    """

    finding: Finding
    subject: str
    reason: str


@attrs.frozen(slots=True)
class PowerOrder:
    """A power action that is due on the platform; repeated until it shows."""

    vm: str
    action: VmAction
    action_id: str


@attrs.frozen(slots=True)
class StopOrder:
    """A task attempt that is to be stopped on the platform."""

    attempt: str


Order = PowerOrder | StartTask | StopOrder


@attrs.frozen
class View:
    """Everything one planning pass looks at.

    :param state: the agreed state.
    :param observation: what is known of the VMs.
    :param wall: wall clock in seconds, for maintenance cycles and graces.
    :param acknowledged: least journal sequence folded by a live entry.
    :param in_flight: requests in flight by leaving VM, over live entries.
    :param cautious: nothing voluntary may start.
    :param drain_grace_s: seconds that a leaving VM may drain.
    """

    state: FleetState
    observation: Observation
    wall: float
    acknowledged: int
    in_flight: t.Mapping[str, int]
    cautious: bool = False
    drain_grace_s: float = 30.0


@attrs.define
class Step:
    """What a pass over one pool decides.

    :param pool: name of the pool.
    :param events: events to append.
    :param orders: orders to the platform, due on the state as it stands.
    :param reports: what cannot be brought in line.
    """

    pool: str
    events: list[Event] = attrs.field(factory=list)
    orders: list[Order] = attrs.field(factory=list)
    reports: list[Report] = attrs.field(factory=list)

    def report(self, finding: Finding, subject: str, reason: str) -> None:
        """Add a report.

        :param finding: its kind.
        :param subject: what it concerns.
        :param reason: what prevents it.
        """
        self.reports.append(Report(finding, subject, reason))


def find_wanted(state: FleetState, name: str) -> Pool:
    """Find the declaration of a pool; an undeclared one is wanted empty.

    :param state: the agreed state.
    :param name: name of the pool.
    """
    return state.find_pool(name) or Pool(name=name, zones={}, max_out=0)
