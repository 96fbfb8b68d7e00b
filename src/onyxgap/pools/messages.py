"""What is known of VMs, what shards report, and what the fleet's holder orders."""

import enum
import typing as t

import attrs
import orjson

from ..exceptions import MALFORMED_ERRORS
from ..exceptions import DocumentError
from ..exceptions import Fault


class VmState(enum.Enum):
    """State of a VM as the platform lists it."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@attrs.frozen(slots=True)
class Vm:
    """A VM as the platform lists it.

    :param name: its name, the same for all its lives.
    :param pool: service that it belongs to.
    :param state: whether it is up.
    :param zone: availability zone.
    :param rack: rack, or empty.
    :param cpu: thousandths of a core.
    :param memory_mb: memory in MB.
    :param worker_id: this life of its worker, or empty.
    """

    name: str
    pool: str
    state: VmState
    zone: str = ""
    rack: str = ""
    cpu: int = 0
    memory_mb: int = 0
    worker_id: str = ""


@attrs.frozen(slots=True)
class Wave:
    """VMs that are due for maintenance.

    :param number: its number.
    :param vms: names of the VMs.
    :param duration_s: time in which all of them should begin.
    :param cap: most of them that may be down for it at once.
    """

    number: int
    vms: tuple[str, ...]
    duration_s: float
    cap: int


@attrs.frozen(slots=True)
class WorkerLoad:
    """What a shard reports of one of its workers.

    :param runs: runs that may be there.
    :param serving: those of them that serve until their job is cancelled.
    :param cpu_used: thousandths of a core that they asked for.
    """

    runs: int
    serving: int
    cpu_used: int


@attrs.frozen(slots=True)
class PoolReport:
    """What a shard's owner reports to the holder of the fleet duty.

    :param shard: the shard.
    :param workers: load by worker.
    :param emptied: cordons under which nothing runs any more, by worker.
    :param queued: VMs that ready tasks would fill which must start soon to be in time.
    :param batch: VMs that running tasks fill which end by themselves.
    :param serving: VMs that tasks fill which serve until their job is cancelled.
    :param arrived_jobs: jobs taken in since the owner began.
    :param offered: work of their tasks that end by themselves, in VM seconds.
    :param epoch: fencing token of the owner; the counters begin anew with it.
    """

    shard: str
    workers: t.Mapping[str, WorkerLoad] = attrs.field(factory=dict)
    emptied: t.Mapping[str, str] = attrs.field(factory=dict)
    queued: float = 0.0
    batch: float = 0.0
    serving: float = 0.0
    arrived_jobs: int = 0
    offered: float = 0.0
    epoch: int = 0


def encode_report(report: PoolReport) -> bytes:
    """Encode a report for its row."""
    value = attrs.asdict(report, recurse=False)
    value["workers"] = {
        worker_id: [load.runs, load.serving, load.cpu_used]
        for worker_id, load in report.workers.items()
    }
    value["emptied"] = dict(report.emptied)
    return orjson.dumps(value)


def decode_report(value: bytes) -> PoolReport:
    """Read a report from its row.

    :raises DocumentError: when the row is foreign or damaged.
    """
    try:
        raw = orjson.loads(value)
        raw["workers"] = {
            key: WorkerLoad(*item) for key, item in raw["workers"].items()
        }
        return PoolReport(**raw)
    except MALFORMED_ERRORS as error:
        raise DocumentError([Fault("$", f"no report: {error!r}")]) from None


class VmActionKind(enum.Enum):
    """What the platform is asked to do with a VM."""

    UPKEEP = "upkeep"
    MOVE = "move"


@attrs.frozen(slots=True)
class VmOrder:
    """An order about a VM.

    :param vm: its name.
    :param kind: what is to be done.
    :param wave: number of the wave, for maintenance.
    :param pool: pool to join, for a move.
    """

    vm: str
    kind: VmActionKind
    wave: int = 0
    pool: str = ""


class VmReply(enum.Enum):
    """What the platform did with an order about a VM."""

    DONE = "done"
    STALE_HOLDER = "stale-holder"
    BUSY = "busy"
    NOT_DUE = "not-due"
    INVALID = "invalid"
    RETRY = "retry"
    UNKNOWN = "unknown"


@attrs.frozen(slots=True)
class FleetRow:
    """What the holder of the fleet duty stores for shards and successors.

    :param cordons: workers to be emptied, each with a name that is used once.
    :param done: VMs that have begun their maintenance, by wave.
    :param due: workers of VMs that have not.
    :param base: VMs of each pool when the first holder began.
    :param ordered: VMs about which an order may still be under way.
    """

    cordons: t.Mapping[str, str] = attrs.field(factory=dict)
    done: t.Mapping[int, frozenset[str]] = attrs.field(factory=dict)
    due: frozenset[str] = frozenset()
    base: t.Mapping[str, int] = attrs.field(factory=dict)
    ordered: frozenset[str] = frozenset()


def encode_fleet_row(row: FleetRow) -> bytes:
    """Encode the holder's row."""
    done = {str(number): sorted(names) for number, names in row.done.items()}
    value = {
        "cordons": dict(sorted(row.cordons.items())),
        "done": done,
        "due": sorted(row.due),
        "base": dict(row.base),
        "ordered": sorted(row.ordered),
    }
    return orjson.dumps(value)


def decode_fleet_row(value: bytes) -> FleetRow:
    """Read the holder's row.

    :raises DocumentError: when the row is foreign or damaged.
    """
    try:
        raw = orjson.loads(value)
        done = {int(key): frozenset(names) for key, names in raw["done"].items()}
        return FleetRow(
            dict(raw["cordons"]),
            done,
            frozenset(raw["due"]),
            dict(raw["base"]),
            frozenset(raw["ordered"]),
        )
    except MALFORMED_ERRORS as error:
        raise DocumentError([Fault("$", f"no fleet row: {error!r}")]) from None


class Cloud(t.Protocol):
    """The platform's interface to VMs."""

    async def list_vms(self) -> tuple[Vm, ...]:
        """List all VMs.

        :raises PlatformUnavailableError: when no answer came.
        """

    async def send(self, order: VmOrder, holder: str, token: int) -> VmReply:
        """Send an order; repeating one that was done does nothing more."""
