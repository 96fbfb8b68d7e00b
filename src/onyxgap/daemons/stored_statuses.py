"""Reads the statuses of jobs from their stored progress and submissions."""

import typing as t

import attrs

from ..jobs import tables
from ..jobs.messages import JobState
from ..jobs.messages import JobStatus
from ..jobs.store import RowId
from ..jobs.store import Store
from .submission_store import SubmissionStore

MAX_CACHED_STATUSES = 4_000
"""Statuses of ended jobs cached in memory; about 100 bytes each."""


@attrs.define
class StoredStatuses:
    """Finds the statuses of jobs in the store, and caches those of ended jobs.

    :param store: the store.
    :param submissions: stored submissions.
    """

    store: Store
    submissions: SubmissionStore
    _final: dict[tuple[str, str], JobStatus] = attrs.field(factory=dict)

    def get_final(self, queue: str, job_id: str) -> JobStatus | None:
        """Return the cached status of an ended job, ``None`` if there is none."""
        return self._final.get((queue, job_id))

    async def find(
        self, shards: t.Iterable[str], queue: str, job_id: str
    ) -> JobStatus | None:
        """Read the status of a job, ``None`` if no shard has the job.

        :param shards: shards that may have the job, the most likely first.
        :param queue: queue of the job; jobs of other queues may have the same ID.
        :param job_id: ID of the job.
        :raises PlatformUnavailableError: if the store does not answer.
        :raises DocumentError: if a row of the job is malformed.
        """
        for shard in shards:
            status = await self._read(shard, job_id)
            if status is not None and status.queue == queue:
                self._cache(job_id, status)
                return status
        return None

    async def _read(self, shard: str, job_id: str) -> JobStatus | None:
        row = tables.get_progress_row(shard, job_id)
        page = await self.store.read(row.table, row.part, row.key)
        if page.rows:
            status = self.submissions.decoder.decode_status(page.rows[0])
            return status if status.queue else await self._add_queue(status, row)
        found = await self.submissions.find(shard, job_id)
        if found is None:
            return None
        if found.shard != shard:
            return await self._read(found.shard, job_id)
        submission = found.submission
        return JobStatus(
            JobState.QUEUED,
            submission.tenant,
            submission.configuration,
            submission.policy.queue,
        )

    async def _add_queue(self, status: JobStatus, row: RowId) -> JobStatus | None:
        """Add the queue to a status that was stored without it."""
        found = await self.submissions.find(row.part, row.key)
        if found is None:
            return None
        return attrs.evolve(status, queue=found.submission.policy.queue)

    def _cache(self, job_id: str, status: JobStatus) -> None:
        if not status.state.final:
            return
        self._final[status.queue, job_id] = status
        if len(self._final) > MAX_CACHED_STATUSES:
            del self._final[next(iter(self._final))]
