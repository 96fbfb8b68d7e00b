"""Reads the statuses of jobs from their stored progress and submissions."""

import typing as t

import attrs

from ..jobs import tables
from ..jobs.messages import JobState
from ..jobs.messages import JobStatus
from ..jobs.store import RowId
from ..jobs.store import Store
from .submission_store import SubmissionStore


@attrs.define
class StoredStatuses:
    """Finds the statuses of jobs in the store.

    They are not cached: once a job is removed, a new one may be stored under its ID.

    :param store: the store.
    :param submissions: stored submissions.
    """

    store: Store
    submissions: SubmissionStore

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
