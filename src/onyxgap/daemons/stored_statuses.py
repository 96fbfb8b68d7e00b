"""Reads the statuses of jobs from their stored progress and submissions."""

import typing as t

import attrs
import structlog

from ..jobs import tables
from ..jobs.messages import JobState
from ..jobs.messages import JobStatus
from ..jobs.messages import QueueRef
from ..jobs.store import RowId
from ..jobs.store import Store
from .submission_store import SubmissionStore

_LOG = structlog.get_logger()


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
        self, shards: t.Iterable[str], queue: QueueRef, job_id: str
    ) -> JobStatus | None:
        """Read the status of a job, ``None`` if no shard has the job.

        :param shards: shards that may have the job, the most likely first.
        :param queue: queue by which the caller asks; jobs of other queues may have the
            same ID.
        :param job_id: ID of the job.
        :raises PlatformUnavailableError: if the store does not answer.
        :raises DocumentError: if a row of the job is malformed.
        """
        for shard in shards:
            status = await self._read(shard, job_id)
            if status is None:
                continue
            if self.submissions.routes.is_same_queue(queue, status.get_queue()):
                return status
            _log_other_queue(queue, status, shard, job_id)
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
            submission.endpoint,
        )

    async def _add_queue(self, status: JobStatus, row: RowId) -> JobStatus | None:
        """Add the queue to a status that was stored without it."""
        found = await self.submissions.find(row.part, row.key)
        if found is None:
            return None
        queue = found.submission.get_queue()
        return attrs.evolve(status, queue=queue.name, endpoint=queue.endpoint)


def _log_other_queue(
    queue: QueueRef, status: JobStatus, shard: str, job_id: str
) -> None:
    _LOG.info(
        "job of another queue found",
        job=job_id,
        queue=queue.name,
        endpoint=queue.endpoint,
        shard=shard,
        stored_queue=status.queue,
        stored_endpoint=status.endpoint,
    )
