"""Cancels jobs, also those whose submissions may still be on their way to the store."""

import typing as t

import attrs
import structlog

from ..exceptions import DocumentError
from ..exceptions import PlatformUnavailableError
from ..jobs.desk import Denied
from ..jobs.desk import Unavailable
from ..jobs.routing import Route
from ..jobs.routing import RouteTable
from ..jobs.tenants import Caller
from ..jobs.tombstones import Tombstone
from .submission_store import LocatedSubmission
from .submission_store import SubmissionStore
from .submission_store import TombstoneOutcome

ATTEMPTS = 3
"""Attempts to cancel a job that is stored, or removed, while it is cancelled."""

_LOG = structlog.get_logger()

CancelResult = bool | Unavailable | Denied
"""Whether a job was cancelled, false if there is none, or why that is not known."""


@attrs.frozen
class Cancellations:
    """Cancels stored jobs, and keeps cancelled ones from being stored later.

    :param submissions: stored submissions.
    :param routes: the configuration in force.
    """

    submissions: SubmissionStore
    routes: RouteTable

    async def cancel(
        self, route: Route, shards: t.Sequence[str], job_id: str, caller: Caller
    ) -> CancelResult:
        """Cancel a job; if there is none, no earlier submission is stored any more.

        :param route: route by which the caller reaches the job.
        :param shards: shards that may have the job, the most likely first.
        :param job_id: id of the job.
        :param caller: the caller.
        """
        try:
            for _ in range(ATTEMPTS):
                found = await self._find(route, shards, job_id)
                if found is not None:
                    return await self._cancel_stored(found, caller)
                outcome = await self._insert_tombstone(route, job_id, caller)
                if outcome is not TombstoneOutcome.JOB_STORED:
                    break
        except PlatformUnavailableError:
            return Unavailable.STORE
        except DocumentError:
            return Unavailable.STORED_JOB
        if outcome is TombstoneOutcome.UNKNOWN:
            return Unavailable.STORE
        return False

    async def _find(
        self, route: Route, shards: t.Sequence[str], job_id: str
    ) -> LocatedSubmission | None:
        for shard in shards:
            found = await self.submissions.find(shard, job_id)
            if found is not None and self.submissions.belongs_to(
                found, route.get_queue()
            ):
                return found
        return None

    async def _cancel_stored(
        self, found: LocatedSubmission, caller: Caller
    ) -> CancelResult:
        if not caller.may_access(found.submission.tenant):
            return Denied.OTHER_TENANT
        return await self.submissions.cancel(found)

    async def _insert_tombstone(
        self, route: Route, job_id: str, caller: Caller
    ) -> TombstoneOutcome:
        queue, service = route.get_queue(), route.policy.service
        services = (service, *self.routes.list_other_services(queue, service))
        tombstone = Tombstone(queue.name, caller.tenant, queue.endpoint)
        outcome = await self.submissions.insert_tombstone(job_id, tombstone, services)
        _LOG.info(
            "unknown job cancelled",
            job=job_id,
            queue=queue.name,
            services=services,
            outcome=outcome.value,
        )
        return outcome
