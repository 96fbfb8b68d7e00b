"""Removes the rows of jobs whose retention period is over.

Submissions and progress are in different partitions, so no transaction removes both.
The submission is removed first: without progress, it would be a new job to the next
owner of the shard.
"""

import typing as t

import attrs
import structlog

from ..jobs import tables
from ..jobs.store import Applied
from ..jobs.store import Batch
from ..jobs.store import Store

MAX_REMOVED_JOBS = 2
"""Most jobs removed with one renewal of the owner row, which has to be quick."""
MAX_REMOVED_POINTERS = 4
"""Most pointers removed with one renewal of the owner row."""

_LOG = structlog.get_logger()


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
        due = [
            job_id
            for job_id in expired
            if job_id not in self._in_flight and job_id not in self._removed
        ][:MAX_REMOVED_JOBS]
        self._in_flight.update(due)
        return due

    async def remove_submission(self, job_id: str) -> None:
        """Remove the submission of a job; after a failure the job stays due.

        :param job_id: a job that :meth:`select_due` has chosen.
        """
        rows = (
            tables.get_job_row(self.shard, job_id),
            tables.get_cancel_row(self.shard, job_id),
        )
        outcome = await self.store.write(Batch({}, {}, rows))
        _LOG.info("submission removed", job=job_id, outcome=type(outcome).__name__)
        self._in_flight.discard(job_id)
        if isinstance(outcome, Applied):
            self.note_removed([job_id])

    def note_removed(self, job_ids: t.Iterable[str]) -> None:
        """Record jobs without submissions, whose progress may be removed."""
        self._removed.update(dict.fromkeys(job_ids))

    def list_removed(self) -> tuple[str, ...]:
        """List jobs whose progress is to be removed with the next renewal."""
        return tuple(self._removed)[:MAX_REMOVED_JOBS]

    def forget(self, job_ids: t.Iterable[str]) -> None:
        """Drop jobs whose progress was removed."""
        for job_id in job_ids:
            self._removed.pop(job_id, None)


@attrs.define(eq=False)
class PointerRemover:
    """Removes the pointers of a shard to jobs of other shards.

    A pointer is kept as long as the state of an ended job: writes that it has to make
    fail are carried out much earlier.

    :param shard: the shard that has the pointers.
    :param store: the store.
    """

    shard: str
    store: Store
    _noted_at: dict[str, float] = attrs.field(factory=dict)

    def note(self, job_id: str, now: float) -> None:
        """Record a pointer.

        :param job_id: job of the pointer.
        :param now: monotonic seconds.
        """
        self._noted_at.setdefault(job_id, now)

    def select_due(self, now: float, retention_s: float) -> list[str]:
        """Choose jobs whose pointers are to be removed now, the oldest first.

        :param now: monotonic seconds.
        :param retention_s: seconds for which a pointer is kept.
        """
        oldest = list(self._noted_at.items())[:MAX_REMOVED_POINTERS]
        due = [job_id for job_id, at in oldest if now - at > retention_s]
        for job_id in due:
            del self._noted_at[job_id]
        return due

    async def remove(self, job_id: str, now: float) -> None:
        """Remove a pointer; after a failure it is kept for a further retention period.

        :param job_id: a job that :meth:`select_due` has chosen.
        :param now: monotonic seconds.
        """
        row = tables.get_job_row(self.shard, job_id)
        outcome = await self.store.write(Batch({}, {}, (row,)))
        if not isinstance(outcome, Applied):
            self.note(job_id, now)
