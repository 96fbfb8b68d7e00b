"""What the platform gives: its table, object store and list of VMs."""

import enum
import typing as t

import attrs

from .sentinels import Missing

ABSENT = 0
"""Expected version of a row that must not exist yet."""


@attrs.frozen(slots=True)
class Row:
    """A row of the table.

    :param key: unique key.
    :param value: JSON value.
    :param version: rises by one with each write; 1 for a new row.
    """

    key: str
    value: t.Any
    version: int


@attrs.frozen(slots=True)
class Put:
    """A conditional write.

    :param key: row to write.
    :param value: new JSON value.
    :param expect: version the row must have, 0 for absent, ``None`` for any.
    """

    key: str
    value: t.Any
    expect: int | None = None


class WriteOutcome(enum.Enum):
    """What became of a transaction."""

    APPLIED = "applied"
    NOT_APPLIED = "not-applied"
    UNKNOWN = "unknown"


@attrs.frozen(slots=True)
class WriteResult:
    """Answer to a transaction.

    :param outcome: what became of it.
    :param conflicts: keys whose condition failed, when not applied by conflict.
    """

    outcome: WriteOutcome
    conflicts: tuple[str, ...] = ()


class VmStatus(enum.Enum):
    """Status of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"
    DOWN = "down"


@attrs.frozen(slots=True)
class ListedVm:
    """A VM in the platform's list.

    :param name: unique name.
    :param status: status when the list was made.
    :param zone: availability zone.
    :param rack: rack within the zone.
    :param address: ``host:port`` of its worker.
    :param boots: how often it has been started.
    :param cores: processor cores.
    :param memory_gb: memory in GB.
    :param accelerators: number of accelerators.
    """

    name: str
    status: VmStatus
    zone: str
    rack: str
    address: str
    boots: int = 1
    cores: int = 64
    memory_gb: int = 256
    accelerators: int = 0


@attrs.frozen(slots=True)
class VmList:
    """The platform's lagging list of VMs.

    :param age_s: how long ago it was made, in seconds.
    :param vms: the VMs.
    """

    age_s: float
    vms: tuple[ListedVm, ...]


class TaskStatus(enum.Enum):
    """Status of a started task on the platform."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LOST = "lost"


@attrs.frozen(slots=True)
class ListedTask:
    """An attempt at a task as the platform reports it, with a lag.

    :param attempt: unique id of the attempt.
    :param vm: the VM it was started on.
    :param status: status when reported.
    :param memory_gb: highest memory seen.
    :param cores: mean processor use seen.
    :param run_time_s: seconds it has run.
    """

    attempt: str
    vm: str
    status: TaskStatus
    memory_gb: float = 0.0
    cores: float = 0.0
    run_time_s: float = 0.0


class VmAction(enum.Enum):
    """A power action on a VM."""

    REBOOT = "reboot"
    REPLACE = "replace"


@attrs.frozen(slots=True)
class StartTask:
    """An order to run a task; repeating an attempt id starts nothing twice.

    :param attempt: unique id of the attempt.
    :param vm: the VM to run it on.
    :param cores: processor share.
    :param memory_gb: memory share.
    :param run_time_s: declared run time in seconds.
    """

    attempt: str
    vm: str
    cores: float
    memory_gb: float
    run_time_s: float


class Table(t.Protocol):
    """A transactional table."""

    async def get(self, key: str) -> Row | Missing:
        """Read one row.

        :raises PlatformUnavailableError: when no answer came.
        """

    async def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Read rows in key order.

        :param prefix: common prefix of the keys.
        :param after: only keys greater than this one.
        :param limit: most rows to return.
        :raises PlatformUnavailableError: when no answer came.
        """

    async def transact(self, puts: t.Sequence[Put]) -> WriteResult:
        """Apply all writes or none of them; never raises for a lost answer."""


class ObjectStore(t.Protocol):
    """A store of immutable objects, named by their SHA-256 hash."""

    async def put_object(self, body: bytes) -> str:
        """Store an object and return its hash.

        :raises PlatformUnavailableError: when no answer came; repeat it.
        """

    async def get_object(self, digest: str) -> bytes:
        """Read an object and check it against its hash.

        :raises PlatformUnavailableError: when no answer came or it is damaged.
        """


class Machines(t.Protocol):
    """The platform's VMs and the tasks on them."""

    async def list_vms(self) -> VmList:
        """Read the lagging list.

        :raises PlatformUnavailableError: when no answer came.
        """

    async def act_on_vm(self, vm: str, action: VmAction, action_id: str) -> None:
        """Start a power action; repeating an action id does nothing more.

        :raises PlatformUnavailableError: when no answer came; repeat it.
        """

    async def list_tasks(self) -> tuple[ListedTask, ...]:
        """Read the attempts the platform knows.

        :raises PlatformUnavailableError: when no answer came.
        """

    async def start_task(self, order: StartTask) -> None:
        """Start an attempt; repeating its id does nothing more.

        :raises PlatformUnavailableError: when no answer came; repeat it.
        """

    async def stop_task(self, attempt: str) -> None:
        """Stop an attempt, with a checkpoint where it can.

        :raises PlatformUnavailableError: when no answer came; repeat it.
        """


class Platform(Table, ObjectStore, Machines, t.Protocol):
    """Everything the platform gives, behind one adapter."""
