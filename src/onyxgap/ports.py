"""Interfaces of the platform: its table, object store, VMs and tasks."""

import enum
import typing as t

import attrs

from .sentinels import Missing

ABSENT = 0
"""Expected version for a row that must not exist."""


@attrs.frozen(slots=True)
class Row:
    """A row of the table.

    :param key: unique key.
    :param value: JSON value.
    :param version: increases by one with each write; 1 for a new row.
    """

    key: str
    value: t.Any
    version: int


@attrs.frozen(slots=True)
class Put:
    """A conditional write.

    :param key: row to write.
    :param value: new JSON value; ``None`` deletes the row.
    :param expect: version that the row must have; 0 if it must not exist,
        ``None`` for an unconditional write.
    """

    key: str
    value: t.Any
    expect: int | None = None


class WriteOutcome(enum.Enum):
    """Outcome of a transaction."""

    APPLIED = "applied"
    NOT_APPLIED = "not-applied"
    UNKNOWN = "unknown"


@attrs.frozen(slots=True)
class WriteResult:
    """Answer to a transaction.

    :param outcome: whether it was applied.
    :param conflicts: keys whose condition failed, if that is why it was not applied.
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
    :param status: status at the time of the list.
    :param zone: availability zone.
    :param rack: rack within the zone.
    :param address: ``host:port`` of its worker.
    :param boots: number of times it was started.
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
    """The platform's list of VMs, which lags behind their actual state.

    :param age_s: age of the list in seconds.
    :param vms: the VMs.
    """

    age_s: float
    vms: tuple[ListedVm, ...]


class TaskStatus(enum.Enum):
    """Status of an attempt at a task on the platform."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LOST = "lost"


@attrs.frozen(slots=True)
class ListedTask:
    """An attempt at a task, as in the platform's lagging list.

    :param attempt: unique ID of the attempt.
    :param vm: the VM it was started on.
    :param status: status at the time of the report.
    :param memory_gb: peak memory use in GB.
    :param cores: mean processor use in cores.
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
    """A request to start an attempt at a task; idempotent by attempt ID.

    :param attempt: unique ID of the attempt.
    :param vm: the VM to run it on.
    :param cores: processor cores assigned to it.
    :param memory_gb: memory in GB assigned to it.
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

        :raises PlatformUnavailableError: if the platform does not answer.
        """

    async def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Read rows in key order.

        :param prefix: common prefix of the keys.
        :param after: return only keys greater than this one.
        :param limit: maximum number of rows to return.
        :raises PlatformUnavailableError: if the platform does not answer.
        """

    async def transact(self, puts: t.Sequence[Put]) -> WriteResult:
        """Apply all writes or none of them.

        A lost answer is not raised but returned as :attr:`WriteOutcome.UNKNOWN`.
        """


class ObjectStore(t.Protocol):
    """A store of immutable objects, addressed by their SHA-256 hash."""

    async def put_object(self, body: bytes) -> str:
        """Store an object and return its hash.

        :raises PlatformUnavailableError: if the platform does not answer; the call
            may be retried.
        """

    async def get_object(self, digest: str) -> bytes:
        """Read an object and verify its hash.

        :raises PlatformUnavailableError: if the platform does not answer or the
            object is corrupt.
        """


class VmService(t.Protocol):
    """The platform's VMs and the tasks on them."""

    async def list_vms(self) -> VmList:
        """Read the list of VMs, which may lag.

        :raises PlatformUnavailableError: if the platform does not answer.
        """

    async def act_on_vm(self, vm: str, action: VmAction, action_id: str) -> None:
        """Start a power action; idempotent by action ID.

        :raises PlatformUnavailableError: if the platform does not answer; the call
            may be retried.
        """

    async def list_tasks(self) -> tuple[ListedTask, ...]:
        """Read the list of attempts, which may lag.

        :raises PlatformUnavailableError: if the platform does not answer.
        """

    async def start_task(self, order: StartTask) -> None:
        """Start an attempt; idempotent by attempt ID.

        :raises PlatformUnavailableError: if the platform does not answer; the call
            may be retried.
        """

    async def stop_task(self, attempt: str) -> None:
        """Stop an attempt, with a checkpoint where possible.

        :raises PlatformUnavailableError: if the platform does not answer; the call
            may be retried.
        """


class Platform(Table, ObjectStore, VmService, t.Protocol):
    """All interfaces of the platform, implemented by one adapter."""
