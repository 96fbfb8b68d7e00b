"""Removes the rows of jobs whose retention period is over.

Submissions and progress are in different partitions, so no transaction removes both.
The submission is removed first: without progress, it would be a new job to the next
owner of the shard.

A removal may be applied seconds after it was sent, when a caller has stored a new job
under the same ID. So each removal has the version of what it removes as a condition.
"""

import itertools
import typing as t

import attrs
import structlog

from ..jobs import tables
from ..jobs.store import Applied
from ..jobs.store import Batch
from ..jobs.store import Conflict
from ..jobs.store import RowId
from ..jobs.store import Store

MAX_REMOVED_JOBS = 32
"""Most submissions that are being removed at a time, and most jobs whose progress is
removed with one renewal of the owner row. So more than 40 jobs a second may end."""
MAX_REMOVED_POINTERS = 4
"""Most pointers removed with one renewal of the owner row."""

MAX_REMOVED_TOMBSTONES = 32
"""Most tombstones removed with one renewal of the owner row: any caller can have one
stored with each call."""

_LOG = structlog.get_logger()


async def _remove(
    store: Store, row: RowId, version: int, others: tuple[RowId, ...] = ()
) -> bool:
    """Remove a row unless it has changed; return whether it is gone.

    :param store: the store.
    :param row: the row.
    :param version: version of the row.
    :param others: rows of the same partition that are removed with it.
    """
    outcome = await store.write(Batch({row: version}, {}, (row, *others)))
    if isinstance(outcome, Conflict):
        return outcome.find(row) is None
    return isinstance(outcome, Applied)


@attrs.define(eq=False)
class JobRemover:
    """Removes the submissions of expired jobs, and tells whose progress may go next.

    :param shard: the shard of the jobs.
    :param store: the store.
    """

    shard: str
    store: Store
    _in_flight: set[str] = attrs.field(factory=set)
    _removed: dict[str, None] = attrs.field(factory=dict)

    def select_due(self, expired: t.Iterable[str]) -> list[str]:
        """Choose jobs whose submissions are to be removed now.

        :param expired: jobs whose retention period is over, the oldest first.
        """
        waiting = (
            job_id
            for job_id in expired
            if job_id not in self._in_flight and job_id not in self._removed
        )
        free = MAX_REMOVED_JOBS - len(self._in_flight)
        due = list(itertools.islice(waiting, max(0, free)))
        self._in_flight.update(due)
        return due

    async def remove_submission(self, job_id: str, version: int) -> None:
        """Remove the submission of a job; after a failure the job stays due.

        :param job_id: a job that :meth:`select_due` has chosen.
        :param version: version of its submission.
        """
        row = tables.get_job_row(self.shard, job_id)
        cancellation = tables.get_cancel_row(self.shard, job_id)
        gone = await _remove(self.store, row, version, (cancellation,))
        _LOG.info("submission removed", job=job_id, version=version, gone=gone)
        if job_id not in self._in_flight:
            return
        self._in_flight.discard(job_id)
        if gone:
            self.note_removed([job_id])

    def note_removed(self, job_ids: t.Iterable[str]) -> None:
        """Record jobs without submissions, whose progress may be removed."""
        self._removed.update(dict.fromkeys(job_ids))

    def list_removed(self) -> tuple[str, ...]:
        """List jobs whose progress is to be removed with the next renewal."""
        return tuple(itertools.islice(self._removed, MAX_REMOVED_JOBS))

    def forget(self, job_ids: t.Iterable[str]) -> list[str]:
        """Drop jobs whose progress was removed.

        :returns: those of them under whose ID no new job was stored meanwhile.
        """
        forgotten = [job_id for job_id in job_ids if job_id in self._removed]
        for job_id in forgotten:
            del self._removed[job_id]
        return forgotten

    def keep(self, job_id: str) -> None:
        """Remove nothing more under the ID of a job, since a new job has it."""
        self._in_flight.discard(job_id)
        self._removed.pop(job_id, None)


@attrs.frozen(slots=True)
class NotedMarker:
    """A row of a shard that stands in for the submission of a job.

    :param job_id: the job.
    :param version: version of the row.
    :param noted_at: monotonic seconds when it was first seen.
    """

    job_id: str
    version: int
    noted_at: float


@attrs.define(eq=False)
class MarkerRemover:
    """Removes rows of a shard that make late writes of submissions fail.

    A row is kept as long as the state of an ended job: the writes that it has to make
    fail are carried out much earlier.

    :param shard: the shard.
    :param store: the store.
    :param get_row: returns the row of a shard and a job.
    :param limit: most rows removed with one renewal of the owner row.
    """

    shard: str
    store: Store
    get_row: t.Callable[[str, str], RowId]
    limit: int
    _noted: dict[str, NotedMarker] = attrs.field(factory=dict)

    def note(self, job_id: str, version: int, now: float) -> None:
        """Record a row.

        :param job_id: job of the row.
        :param version: version of the row.
        :param now: monotonic seconds.
        """
        known = self._noted.get(job_id)
        if known is None or known.version < version:
            self._noted.pop(job_id, None)
            self._noted[job_id] = NotedMarker(job_id, version, now)

    def select_due(self, now: float, retention_s: float) -> list[NotedMarker]:
        """Choose the rows to be removed now, the oldest first.

        :param now: monotonic seconds.
        :param retention_s: seconds for which a row is kept.
        """
        oldest = list(itertools.islice(self._noted.values(), self.limit))
        due = [marker for marker in oldest if now - marker.noted_at > retention_s]
        for marker in due:
            del self._noted[marker.job_id]
        return due

    async def remove(self, marker: NotedMarker, now: float) -> None:
        """Remove a row; after a failure it is kept for a further retention period.

        :param marker: a row that :meth:`select_due` has chosen.
        :param now: monotonic seconds.
        """
        row = self.get_row(self.shard, marker.job_id)
        if not await _remove(self.store, row, marker.version):
            self.note(marker.job_id, marker.version, now)


def build_pointer_remover(shard: str, store: Store) -> MarkerRemover:
    """Build what removes the pointers of a shard to jobs of other shards."""
    return MarkerRemover(shard, store, tables.get_job_row, MAX_REMOVED_POINTERS)


def build_tombstone_remover(shard: str, store: Store) -> MarkerRemover:
    """Build what removes the tombstones of a shard."""
    return MarkerRemover(shard, store, tables.get_tombstone_row, MAX_REMOVED_TOMBSTONES)
