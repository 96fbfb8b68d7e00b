"""Where the product keeps its rows, and what the owner rows hold."""

import typing as t
import zlib

import attrs
import orjson

from ..documents import decode_document
from .store import RowId

JOB_TABLES = 32
"""Tables that the shards share; a shard's owner follows only its own."""
JOB_PARTS = 32
"""Partitions of a shard's submissions, so that a busy service goes on accepting while
the store is slow and does a few transactions a second in each. A claim reads them all,
at the same time."""
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
"""Partitions of the rows of tenants; a store writes a few hundred a second in each."""
FLEET_SHARD = "~fleet"
"""Shard of the fleet duty; no service has such a name."""
CANCEL_SUFFIX = ".cancel"


def get_job_table(shard: str) -> str:
    """Give the table that holds the submissions of a shard."""
    return f"onyxgap-jobs-{zlib.crc32(shard.encode()) % JOB_TABLES}"


def get_job_part(shard: str, job_id: str) -> str:
    """Give the partition of a submission.

    Submissions are spread, so that many of them neither wait for each other nor
    for the owner's writes, even when the store is slow.
    """
    return f"{shard}/{zlib.crc32(job_id.encode()) % JOB_PARTS}"


def list_job_parts(shard: str) -> tuple[str, ...]:
    """List the partitions that hold the submissions of a shard."""
    return tuple(f"{shard}/{number}" for number in range(JOB_PARTS))


def get_job_row(shard: str, job_id: str) -> RowId:
    """Give the row of a submission."""
    return RowId(get_job_table(shard), get_job_part(shard, job_id), job_id)


def get_cancel_row(shard: str, job_id: str) -> RowId:
    """Give the row that says that a job is cancelled."""
    row = get_job_row(shard, job_id)
    return RowId(row.table, row.part, job_id + CANCEL_SUFFIX)


def get_progress_row(shard: str, job_id: str) -> RowId:
    """Give the row of a job's progress."""
    return RowId(PROGRESS_TABLE, shard, job_id)


def list_share_parts() -> tuple[str, ...]:
    """List the partitions that hold the shares of tenants' caps."""
    return tuple(f"~shares/{number}" for number in range(SHARE_PARTS))


def get_share_row(tenant: str) -> RowId:
    """Give the row that tells how shards share a tenant's cap."""
    part = f"~shares/{zlib.crc32(tenant.encode()) % SHARE_PARTS}"
    return RowId(SHARE_TABLE, part, tenant)


def get_owner_row(shard: str) -> RowId:
    """Give the row that tells who owns a shard."""
    return RowId(OWNER_TABLE, shard, "owner")


def get_fence_row(shard: str) -> RowId:
    """Give the row whose version every write of an owner expects."""
    return RowId(FENCE_TABLE, shard, "fence")


def get_report_row(shard: str) -> RowId:
    """Give the row in which a shard's owner reports its load."""
    return RowId(REPORT_TABLE, shard, "report")


def get_fleet_row() -> RowId:
    """Give the row in which the holder of the fleet duty keeps its state."""
    return RowId(FLEET_TABLE, FLEET_SHARD, "state")


def get_turns_row() -> RowId:
    """Give the row in which the holder keeps what it learned of demand."""
    return RowId(TURNS_TABLE, FLEET_SHARD, "turns")


def get_member_row(node: str) -> RowId:
    """Give the row that tells under which address a node takes notices."""
    return RowId(MEMBER_TABLE, MEMBER_PART, node)


@attrs.frozen(slots=True)
class OwnerRow:
    """Who owns a shard, renewed as a heartbeat.

    :param node: name of the node.
    :param boot: unique id of its process.
    :param epoch: fencing token.
    :param beat: rises with each renewal.
    :param released: whether the owner gave the shard up.
    :param waiting: number of jobs that have not started, by queue; ``None`` until the
        owner has counted them.
    :param outlook: how long its line is; see :mod:`.admission`.
    """

    node: str
    boot: str
    epoch: int
    beat: int = 0
    released: bool = False
    waiting: t.Mapping[str, int] | None = None
    outlook: t.Mapping[str, t.Any] = attrs.field(factory=dict)

    def get_waiting_count(self, queue: str) -> int:
        """Return the number of waiting jobs of a queue, 0 if none is reported."""
        return (self.waiting or {}).get(queue, 0)


def encode_owner(row: OwnerRow) -> bytes:
    """Encode an owner row."""
    return orjson.dumps(attrs.asdict(row))


def decode_owner(value: bytes) -> OwnerRow:
    """Read an owner row.

    :raises DocumentError: when the row is foreign or damaged.
    """
    return decode_document(value, OwnerRow)
