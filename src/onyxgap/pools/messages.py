"""VMs, pool reports of shards, orders to the platform, and their stored forms."""

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

    :param name: its name, which stays the same when it restarts.
    :param pool: service that it belongs to.
    :param state: its state.
    :param zone: availability zone.
    :param rack: rack, or empty.
    :param cpu: thousandths of a core.
    :param memory_mb: memory in MB.
    :param worker_id: ID of the current incarnation of its worker, or empty.
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
    """Maintenance wave: VMs that are due for maintenance.

    :param number: its number.
    :param vms: names of the VMs.
    :param duration_s: seconds within which maintenance of all VMs should start.
    :param cap: most VMs that may be down for maintenance at once.
    """

    number: int
    vms: tuple[str, ...]
    duration_s: float
    cap: int


@attrs.frozen(slots=True)
class WorkerLoad:
    """Load of a worker, as its shard reports it.

    :param runs: runs that may be on the worker.
    :param serving: how many of them serve until their job is cancelled.
    :param cpu_used: thousandths of a core that the runs request.
    """

    runs: int
    serving: int
    cpu_used: int


@attrs.frozen(slots=True)
class PoolReport:
    """Report of a shard's owner to the fleet controller.

    :param shard: the shard.
    :param workers: load by worker.
    :param emptied: cordon ID by worker, for cordoned workers that are drained.
    :param queued: VMs needed by waiting tasks that justify more VMs; see
        :meth:`onyxgap.jobs.priorities.Forecast.justifies_more_vms`.
    :param batch: VMs filled by running tasks that end by themselves.
    :param serving: VMs filled by tasks that serve until their job is cancelled.
    :param serving_vms: VMs that these tasks and gangs need side by side, 0 if each task
        has a worker to run on; see
        :func:`onyxgap.jobs.shortage.count_needed_workers`.
    :param late_vms: VMs that the pool needs so that its late tasks go on, including
        those that it has, 0 if none of these tasks lacks room; see
        :class:`onyxgap.jobs.late_demand.LateDemand`.
    :param redundant_vms: VMs with which the loss of one leaves room for its serving
        tasks, 0 if those on which tasks serve have it; see
        :func:`onyxgap.jobs.redundancy.count_redundant_workers`. While a worker is out
        of reach, also the VMs that its tasks need if it stays so.
    :param arrived_jobs: jobs accepted since the owner claimed the shard.
    :param offered: work of the tasks of these jobs that end by themselves, in VM
        seconds.
    :param epoch: fencing token of the owner; the counters restart with it.
    """

    shard: str
    workers: t.Mapping[str, WorkerLoad] = attrs.field(factory=dict)
    emptied: t.Mapping[str, str] = attrs.field(factory=dict)
    queued: float = 0.0
    batch: float = 0.0
    serving: float = 0.0
    serving_vms: int = 0
    late_vms: int = 0
    redundant_vms: int = 0
    arrived_jobs: int = 0
    offered: float = 0.0
    epoch: int = 0


LATER_FIELDS = ("serving_vms", "late_vms", "redundant_vms")
"""Fields of reports that earlier versions do not know."""
_REPORT_FIELDS = frozenset(field.name for field in attrs.fields(PoolReport))


def encode_report(report: PoolReport) -> bytes:
    """Encode a report for the store.

    Nodes of different versions share a deployment. A version that does not know one of
    :data:`LATER_FIELDS` skips reports that have it, so it is left out where it is 0.
    """
    value = attrs.asdict(report, recurse=False)
    for name in LATER_FIELDS:
        if not value[name]:
            del value[name]
    value["workers"] = {
        worker_id: [load.runs, load.serving, load.cpu_used]
        for worker_id, load in report.workers.items()
    }
    value["emptied"] = dict(report.emptied)
    return orjson.dumps(value)


def decode_report(value: bytes) -> PoolReport:
    """Decode a report from the store; fields of later versions are ignored.

    :raises DocumentError: when the value is not a report or is corrupt.
    """
    try:
        raw = orjson.loads(value)
        raw["workers"] = {
            key: WorkerLoad(*item) for key, item in raw["workers"].items()
        }
        return PoolReport(**{key: raw[key] for key in raw.keys() & _REPORT_FIELDS})
    except MALFORMED_ERRORS as error:
        raise DocumentError([Fault("$", f"invalid pool report: {error!r}")]) from None


class VmActionKind(enum.Enum):
    """Action that the platform is ordered to take on a VM."""

    UPKEEP = "upkeep"
    MOVE = "move"


@attrs.frozen(slots=True)
class VmOrder:
    """Order to the platform about a VM.

    :param vm: name of the VM.
    :param kind: the action.
    :param wave: number of the maintenance wave, for maintenance.
    :param pool: target pool, for a move.
    """

    vm: str
    kind: VmActionKind
    wave: int = 0
    pool: str = ""


class VmReply(enum.Enum):
    """Reply of the platform to an order about a VM."""

    DONE = "done"
    STALE_HOLDER = "stale-holder"
    BUSY = "busy"
    NOT_DUE = "not-due"
    INVALID = "invalid"
    RETRY = "retry"
    UNKNOWN = "unknown"


@attrs.frozen(slots=True)
class FleetRow:
    """State that the fleet controller stores for shards and for its successor.

    :param cordons: workers to be drained, each with a cordon ID that is used once.
    :param done: VMs whose maintenance has started, by maintenance wave.
    :param due: workers of VMs whose maintenance is due but has not started.
    :param base: base size by pool: its VMs when the first fleet controller started.
    :param ordered: VMs that received an order lately.
    :param unanswered: those about which an order may still be carried out, as no answer
        has told its outcome; ``None`` in rows of earlier versions, where it may be any
        VM in ``ordered``.
    :param startup_over: whether the start-up of the deployment is over.
    :param cordon_set_ms: milliseconds of the store's clock when each cordon was set, by
        worker, if that is known.
    :param cordon_waves: maintenance wave by worker that is cordoned for one.
    :param ordered_workers: cordoned workers of the VMs in ``ordered``.
    :param epoch: fencing token of the fleet controller, 0 if it is not known.
    :param listed_at_ms: milliseconds of the store's clock when the VM list that the
        controller acted on was requested, ``None`` if that is not known.
    :param written_at_ms: milliseconds of the store's clock when the row was written,
        ``None`` if that is not known.
    """

    cordons: t.Mapping[str, str] = attrs.field(factory=dict)
    done: t.Mapping[int, frozenset[str]] = attrs.field(factory=dict)
    due: frozenset[str] = frozenset()
    base: t.Mapping[str, int] = attrs.field(factory=dict)
    ordered: frozenset[str] = frozenset()
    startup_over: bool = False
    cordon_set_ms: t.Mapping[str, int] = attrs.field(factory=dict)
    cordon_waves: t.Mapping[str, int] = attrs.field(factory=dict)
    ordered_workers: frozenset[str] = frozenset()
    epoch: int = 0
    listed_at_ms: int | None = None
    written_at_ms: int | None = None
    unanswered: frozenset[str] | None = None

    def omit_times(self) -> "FleetRow":
        """Return the row without the times that change although nothing else does."""
        return attrs.evolve(self, listed_at_ms=None, written_at_ms=None)

    def omit_answers(self) -> "FleetRow":
        """Return the row without what changes with each answer to an order."""
        return attrs.evolve(self, unanswered=None)

    def list_late_orders(self) -> frozenset[str]:
        """List the VMs about which an order may still be carried out."""
        return self.ordered if self.unanswered is None else self.unanswered


def encode_fleet_row(row: FleetRow) -> bytes:
    """Encode the state of the fleet controller for the store."""
    done = {str(number): sorted(names) for number, names in row.done.items()}
    value = {
        "cordons": dict(sorted(row.cordons.items())),
        "done": done,
        "due": sorted(row.due),
        "base": dict(row.base),
        "ordered": sorted(row.ordered),
        "startup_over": row.startup_over,
        "cordon_set_ms": dict(sorted(row.cordon_set_ms.items())),
        "cordon_waves": dict(sorted(row.cordon_waves.items())),
        "ordered_workers": sorted(row.ordered_workers),
        "epoch": row.epoch,
        "listed_at_ms": row.listed_at_ms,
        "written_at_ms": row.written_at_ms,
    }
    if row.unanswered is not None:
        value["unanswered"] = sorted(row.unanswered)
    return orjson.dumps(value)


def decode_fleet_row(value: bytes) -> FleetRow:
    """Decode the state of the fleet controller from the store.

    :raises DocumentError: when the value is not such a state or is corrupt.
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
            # rows of earlier versions don't have these
            bool(raw.get("startup_over", False)),
            dict(raw.get("cordon_set_ms", {})),
            dict(raw.get("cordon_waves", {})),
            frozenset(raw.get("ordered_workers", ())),
            raw.get("epoch", 0),
            raw.get("listed_at_ms"),
            raw.get("written_at_ms"),
            frozenset(raw["unanswered"]) if "unanswered" in raw else None,
        )
    except MALFORMED_ERRORS as error:
        raise DocumentError([Fault("$", f"invalid fleet row: {error!r}")]) from None


class CloudClient(t.Protocol):
    """Client of the platform's VM interface."""

    async def list_vms(self) -> tuple[Vm, ...]:
        """List all VMs.

        :raises PlatformUnavailableError: when the platform does not answer.
        """

    async def send(self, order: VmOrder, holder: str, token: int) -> VmReply:
        """Send an order; repeating one that was carried out has no further effect."""
