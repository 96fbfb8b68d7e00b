"""Records of the agreed state: VMs, running attempts and task histories."""

import enum

import attrs

from . import events as ev


class VmState(enum.Enum):
    """Where a VM of a pool stands."""

    SERVING = "serving"
    DRAINING = "draining"
    DOWN = "down"
    FAILED = "failed"
    QUARANTINED = "quarantined"
    RETIRED = "retired"


@attrs.define(slots=True)
class VmRecord:
    """A VM that belongs to a pool.

    :param since: sequence of the entry that led to the present state.
    :param at: author's wall clock of that entry, in seconds.
    :param repairs: power actions since it last served.
    :param maintained_at: wall clock of the last maintenance, in seconds.
    """

    name: str
    pool: str
    zone: str
    rack: str
    address: str
    boots: int
    cores: int
    memory_gb: int
    accelerators: int
    state: VmState
    since: int
    at: float
    reason: str = ""
    action_id: str = ""
    action: str = ""
    repairs: int = 0
    maintained_at: float = 0.0
    purpose: ev.Purpose | None = None


@attrs.define(slots=True)
class Attempt:
    """A running attempt at a task."""

    attempt: str
    task: str
    vm: str
    pool: str
    cores: float
    memory_gb: float
    at: float
    stopping: str = ""


@attrs.define(slots=True)
class TaskHistory:
    """What is known of a task from its ended attempts.

    :param started: attempts started so far.
    :param done: attempts that ended well.
    :param lost: attempts of which nobody can say whether they ran.
    :param failed_on: VMs on which it failed.
    :param sizes: last measured ``(cores, memory_gb, run_time_s)``.
    :param lost_in_a_row: attempts lost since one ended well.
    :param lost_on: VM of the last of these, or empty.
    """

    started: int = 0
    done: int = 0
    lost: int = 0
    failed_on: list[str] = attrs.field(factory=list)
    sizes: list[tuple[float, float, float]] = attrs.field(factory=list)
    lost_in_a_row: int = 0
    lost_on: str = ""
