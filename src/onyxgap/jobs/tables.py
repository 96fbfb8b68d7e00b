"""Layout of the store: tables, partitions and row keys, and the owner row format."""

import typing as t
import zlib

import attrs
import orjson

from ..documents import decode_document
from .store import RowId

JOB_TABLES = 32
"""Number of tables for submissions. Each shard is assigned to one of them, and its
owner follows only that table."""
JOB_PARTS = 32
"""Number of partitions for the submissions of a shard. A slow store completes only a
few transactions per second in each; with this many, a busy service still accepts jobs.
A claim reads all of them concurrently."""
PROGRESS_TABLE = "onyxgap-progress"
OWNER_TABLE = "onyxgap-owners"
FENCE_TABLE = "onyxgap-fences"
REPORT_TABLE = "onyxgap-reports"
MEMBER_TABLE = "onyxgap-members"
MEMBER_PART = "~members"
FLEET_TABLE = "onyxgap-fleet"
TURNS_TABLE = "onyxgap-turns"
SHARE_TABLE = "onyxgap-shares"
SHARE_PARTS = 16
"""Number of partitions for the rows of tenants. The store handles a few hundred writes
per second in each."""
QUEUE_MOVES_TABLE = "onyxgap-queue-moves"
FLEET_SHARD = "~fleet"
"""Reserved shard of the fleet controller role; no service can have this name."""
CANCEL_SUFFIX = ".cancel"
TOMBSTONE_SUFFIX = ".tombstone"


def get_job_table(shard: str) -> str:
    """Return the table that contains the submissions of a shard."""
    return f"onyxgap-jobs-{zlib.crc32(shard.encode()) % JOB_TABLES}"


def get_job_part(shard: str, job_id: str) -> str:
    """Return the partition of a submission.

    Submissions are distributed, so that many of them wait neither for each other nor
    for the owner's writes, even when the store is slow.
    """
    return f"{shard}/{zlib.crc32(job_id.encode()) % JOB_PARTS}"


def list_job_parts(shard: str) -> tuple[str, ...]:
    """Return the partitions that contain the submissions of a shard."""
    return tuple(f"{shard}/{number}" for number in range(JOB_PARTS))


def get_job_row(shard: str, job_id: str) -> RowId:
    """Return the row of a submission."""
    return RowId(get_job_table(shard), get_job_part(shard, job_id), job_id)


def get_cancel_row(shard: str, job_id: str) -> RowId:
    """Return the row that marks a job as cancelled."""
    row = get_job_row(shard, job_id)
    return RowId(row.table, row.part, job_id + CANCEL_SUFFIX)


def get_tombstone_row(shard: str, job_id: str) -> RowId:
    """Return the row that keeps a cancelled job from being stored later."""
    row = get_job_row(shard, job_id)
    return RowId(row.table, row.part, job_id + TOMBSTONE_SUFFIX)


def is_tombstone(row: RowId) -> bool:
    """Return whether a row of a job table is a tombstone."""
    return row.key.endswith(TOMBSTONE_SUFFIX)


def get_progress_row(shard: str, key: str) -> RowId:
    """Return a row of a job's progress.

    :param shard: the shard of the job.
    :param key: ID of the job for the first row; see :mod:`.progress_rows`.
    """
    return RowId(PROGRESS_TABLE, shard, key)


def list_share_parts() -> tuple[str, ...]:
    """Return the partitions that contain the shares of the tenants' caps."""
    return tuple(f"~shares/{number}" for number in range(SHARE_PARTS))


def get_share_row(tenant: str) -> RowId:
    """Return the row that divides a tenant's cap among shards."""
    part = f"~shares/{zlib.crc32(tenant.encode()) % SHARE_PARTS}"
    return RowId(SHARE_TABLE, part, tenant)


def get_owner_row(shard: str) -> RowId:
    """Return the row that names the owner of a shard."""
    return RowId(OWNER_TABLE, shard, "owner")


def get_fence_row(shard: str) -> RowId:
    """Return the fence row, whose version is a condition of every write of an owner."""
    return RowId(FENCE_TABLE, shard, "fence")


def get_report_row(shard: str) -> RowId:
    """Return the row in which the owner of a shard reports the shard's load."""
    return RowId(REPORT_TABLE, shard, "report")


def get_fleet_row() -> RowId:
    """Return the row with the state of the fleet controller."""
    return RowId(FLEET_TABLE, FLEET_SHARD, "state")


def get_turns_row() -> RowId:
    """Return the row with the demand history of the fleet controller."""
    return RowId(TURNS_TABLE, FLEET_SHARD, "turns")


def get_queue_moves_row() -> RowId:
    """Return the row with the services of queues that moved between services."""
    return RowId(QUEUE_MOVES_TABLE, "~queues", "moves")


def get_member_row(node: str) -> RowId:
    """Return the row in which a node registers its addresses and VM size."""
    return RowId(MEMBER_TABLE, MEMBER_PART, node)


@attrs.frozen(slots=True)
class ShardLoad:
    """Load of a shard, as its owner reports it in the owner row.

    :param waiting: number of jobs that have not started, by queue; ``None`` if it is
        not reported.
    :param outlook: encoded delay estimate of the shard; see :mod:`.admission`.
    :param counted_at_ms: lower bound of the store's clock in milliseconds when these
        were determined, ``None`` if it is not known.
    """

    waiting: t.Mapping[str, int] | None
    outlook: t.Mapping[str, t.Any] = attrs.field(factory=dict)
    counted_at_ms: int | None = None


NO_LOAD = ShardLoad({})
UNKNOWN_LOAD = ShardLoad(None)


@attrs.frozen(slots=True)
class OwnerRow:
    """Ownership record of a shard, renewed by the owner as a heartbeat.

    :param node: name of the owning node.
    :param boot: unique id of its process.
    :param epoch: fencing token.
    :param beat: sequence number that increases with each renewal.
    :param released: whether the owner released the shard.
    :param waiting: as in :class:`ShardLoad`; ``None`` until the owner has counted.
    :param outlook: as in :class:`ShardLoad`.
    :param counted_at_ms: as in :class:`ShardLoad`.
    :param former_grants_end_ms: upper bound of the store's clock in milliseconds until
        which former owners may have granted leases; ``None`` if the owner does not
        know, or does not end its own grants in time.
    """

    node: str
    boot: str
    epoch: int
    beat: int = 0
    released: bool = False
    waiting: t.Mapping[str, int] | None = None
    outlook: t.Mapping[str, t.Any] = attrs.field(factory=dict)
    counted_at_ms: int | None = None
    former_grants_end_ms: int | None = None

    def renew(self, load: ShardLoad) -> "OwnerRow":
        """Return the row of the next heartbeat.

        :param load: the load that it reports.
        """
        return attrs.evolve(
            self,
            beat=self.beat + 1,
            waiting=load.waiting,
            outlook=load.outlook,
            counted_at_ms=load.counted_at_ms,
        )

    def get_waiting_count(self, queue: str) -> int:
        """Return the number of waiting jobs of a queue, 0 if none is reported."""
        return (self.waiting or {}).get(queue, 0)


def encode_owner(row: OwnerRow) -> bytes:
    """Encode an owner row."""
    return orjson.dumps(attrs.asdict(row))


def decode_owner(value: bytes) -> OwnerRow:
    """Decode an owner row.

    :raises DocumentError: if the row is malformed or has another format.
    """
    return decode_document(value, OwnerRow)
