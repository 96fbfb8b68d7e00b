"""Divides the stored progress of a job among as many rows as it needs.

Progress that fits into one row is stored as :func:`~.encoding.encode_progress` gives
it. Larger progress is written more briefly and cut into pieces; the first row then has
all but the tasks, so that the state of the job is still read from one row.
"""

import typing as t

import attrs
import orjson

from .encoding import encode_first_row
from .encoding import encode_progress
from .job import Job
from .store import StoredRow
from .store import StoreLimits

PART_SEPARATOR = "."
"""Separates the ID of a job from the number of a further row in its key."""
ROW_OVERHEAD_BYTES = 1_000
"""Most that a call takes for a row beside its value: its names, with escapes."""
MAX_OWN_ROWS = 3
"""Rows of the owner itself in a call: its owner row, its report and the fence row."""


@attrs.frozen(slots=True)
class StoredProgress:
    """Progress of a job as it was read.

    :param value: the whole progress.
    :param parts: number of rows beside the first one.
    """

    value: bytes
    parts: int = 0


def build_part_key(job_id: str, part: int) -> str:
    """Build the key of a row with progress.

    :param job_id: ID of the job.
    :param part: 0 for the first row, from 1 on for the others.
    """
    return f"{job_id}{PART_SEPARATOR}{part}" if part else job_id


def measure_row(row_bytes: int) -> int:
    """Return the most bytes that a row takes in a call.

    :param row_bytes: size of its value, which is sent as base64.
    """
    return (row_bytes + 2) // 3 * 4 + ROW_OVERHEAD_BYTES


def get_job_bytes(limits: StoreLimits) -> int:
    """Return the bytes of a call that are left for the rows of jobs."""
    return limits.call_bytes - MAX_OWN_ROWS * measure_row(limits.row_bytes)


def _measure_parts(size: int, limits: StoreLimits) -> int:
    """Return the most bytes that progress takes in a call, cut into rows."""
    rows, rest = divmod(size, limits.row_bytes)
    return rows * measure_row(limits.row_bytes) + measure_row(rest)


def encode_progress_rows(job: Job, limits: StoreLimits) -> tuple[bytes, ...]:
    """Encode the progress of a job as the values of one or more rows.

    Checkpoints are left out if the rows would not fit into a call with them: they save
    only work.

    :param job: the job.
    :param limits: limits of the store.
    """
    value = encode_progress(job)
    if len(value) <= limits.row_bytes:
        return (value,)
    value = encode_progress(job, brief=True)
    first = measure_row(limits.row_bytes)
    if first + _measure_parts(len(value), limits) > get_job_bytes(limits):
        value = encode_progress(job, brief=True, checkpoints=False)
    pieces = [
        value[start : start + limits.row_bytes]
        for start in range(0, len(value), limits.row_bytes)
    ]
    return (encode_first_row(job, len(pieces)), *pieces)


def join_progress(rows: t.Iterable[StoredRow]) -> dict[str, StoredProgress]:
    """Join the rows with the progress of jobs.

    Progress of which a row is missing is left as its first row alone, which cannot be
    restored.

    :param rows: rows of the progress of a shard.
    :returns: progress by job.
    """
    first: dict[str, bytes] = {}
    parts: dict[str, dict[int, bytes]] = {}
    for row in rows:
        job_id, separator, number = row.row_id.key.partition(PART_SEPARATOR)
        if separator:
            parts.setdefault(job_id, {})[int(number)] = row.value
        else:
            first[job_id] = row.value
    joined = {job_id: StoredProgress(value) for job_id, value in first.items()}
    for job_id in parts.keys() & first.keys():
        joined[job_id] = _join(first[job_id], parts[job_id])
    return joined


def _join(first: bytes, parts: t.Mapping[int, bytes]) -> StoredProgress:
    try:
        count = orjson.loads(first).get("parts", 0)
        pieces = [parts[number] for number in range(1, count + 1)]
    except (ValueError, AttributeError, KeyError, TypeError):
        return StoredProgress(first, max(parts))
    return StoredProgress(b"".join(pieces) if count else first, max(parts))
