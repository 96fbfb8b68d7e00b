"""Records of the replicated state: VMs, running attempts and task histories."""

import enum

import attrs

from . import events as ev


class VmState(enum.Enum):
    """Lifecycle state of a VM in a pool."""

    SERVING = "serving"
    DRAINING = "draining"
    DOWN = "down"
    FAILED = "failed"
    QUARANTINED = "quarantined"
    RETIRED = "retired"


@attrs.define(slots=True)
class VmRecord:
    """A VM that belongs to a pool.

    :param since: sequence number of the entry that set the current state.
    :param at: wall-clock time at which its author wrote that entry, in seconds.
    :param repairs: power actions since it was last in service.
    :param maintained_at: wall-clock time at which it joined or was last maintained,
        in seconds.
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
    """Statistics of a task's attempts.

    :param started: attempts started so far.
    :param done: attempts that succeeded.
    :param lost: attempts of which it is unknown whether they ran.
    :param failed_on: VMs on which it failed and that have not been restored since.
    :param sizes: latest measured ``(cores, memory_gb, run_time_s)``, oldest first.
    :param lost_in_a_row: attempts lost since the last success.
    :param lost_on: VM of the last lost attempt, or empty.
    """

    started: int = 0
    done: int = 0
    lost: int = 0
    failed_on: list[str] = attrs.field(factory=list)
    sizes: list[tuple[float, float, float]] = attrs.field(factory=list)
    lost_in_a_row: int = 0
    lost_on: str = ""
