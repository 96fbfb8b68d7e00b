"""Reads and writes the submissions of jobs in the store."""

import enum
import typing as t

import anyio
import attrs
import structlog

from ..clocks import Clocks
from ..exceptions import DocumentError
from ..exceptions import PlatformUnavailableError
from ..jobs import tables
from ..jobs.desk import Denied
from ..jobs.desk import SubmitOutcome
from ..jobs.desk import SubmitResult
from ..jobs.desk import Unavailable
from ..jobs.messages import QueueRef
from ..jobs.messages import Submission
from ..jobs.routing import RouteTable
from ..jobs.store import ABSENT
from ..jobs.store import Applied
from ..jobs.store import Batch
from ..jobs.store import Conflict
from ..jobs.store import Invalid
from ..jobs.store import NotApplied
from ..jobs.store import RowId
from ..jobs.store import Store
from ..jobs.store import StoredRow
from ..jobs.store import WriteOutcome
from ..jobs.submissions import SubmissionPointer
from ..jobs.submissions import encode_pointer
from ..jobs.submissions import encode_submission
from ..jobs.submissions import is_same_request
from ..jobs.tenants import Caller
from ..jobs.tombstones import Tombstone
from ..jobs.tombstones import decode_tombstone
from ..jobs.tombstones import encode_tombstone
from .submission_decoder import SubmissionDecoder

WRITE_RETRY_LIMIT_S = 2.0
"""How long a write with unknown outcome is retried; callers time out after 3 s."""
WRITE_RETRY_PAUSE_S = 0.08
"""Pause between two attempts of such a write, in addition to the write's timeout."""

_USED_BY_OTHER_QUEUE = SubmitResult(
    SubmitOutcome.OTHER_REQUEST, "the id stands for a job of another queue"
)
_CANCELLED = SubmitResult(
    SubmitOutcome.CANCELLED, "the job was cancelled before it was stored"
)
_UNREADABLE_JOB = SubmitResult(SubmitOutcome.UNKNOWN, Unavailable.STORED_JOB.value)
_LOG = structlog.get_logger()


@attrs.frozen(slots=True)
class LocatedSubmission:
    """A stored submission and where it was found.

    :param shard: the shard that has the job.
    :param submission: the submission.
    :param version: version of its row.
    """

    shard: str
    submission: Submission
    version: int


class TombstoneOutcome(enum.Enum):
    """Outcome of storing the tombstone of a job."""

    INSERTED = "inserted"
    """There is one, and no job."""
    JOB_STORED = "job-stored"
    """The job was stored meanwhile."""
    UNKNOWN = "unknown"


@attrs.define(eq=False)
class SubmissionStore:
    """Stores submissions and cancellations, each job once.

    :param store: the store.
    :param clocks: the process's clocks.
    :param decoder: decodes stored submissions.
    :param routes: the configuration in force.
    :param on_stored: notifies the owner of a shard, given the shard and the key of the
        stored submission or cancellation.
    :param should_stop: returns whether a write with unknown outcome is retried no more.
    """

    store: Store
    clocks: Clocks
    decoder: SubmissionDecoder
    routes: RouteTable
    on_stored: t.Callable[[str, str], None]
    should_stop: t.Callable[[], bool]

    async def find(self, shard: str, job_id: str) -> LocatedSubmission | None:
        """Find a submission in a shard, or in the one that the shard points to.

        :raises DocumentError: if the stored submission is malformed.
        :raises PlatformUnavailableError: if the store does not answer.
        """
        stored = await self._read(shard, job_id)
        if isinstance(stored, SubmissionPointer):
            stored = await self._read(stored.service, job_id)
        return stored if isinstance(stored, LocatedSubmission) else None

    def belongs_to(self, found: LocatedSubmission, queue: QueueRef) -> bool:
        """Return whether a stored job belongs to a queue.

        :param found: the job.
        :param queue: the queue of the call.
        """
        return self.routes.is_same_queue(queue, found.submission.get_queue())

    async def _read(
        self, shard: str, job_id: str
    ) -> LocatedSubmission | SubmissionPointer | None:
        row = tables.get_job_row(shard, job_id)
        page = await self.store.read(row.table, row.part, row.key)
        if not page.rows:
            return None
        stored = self.decoder.decode_row(page.rows[0])
        if isinstance(stored, SubmissionPointer):
            return stored
        return LocatedSubmission(shard, stored, page.rows[0].version)

    async def find_result(
        self, submission: Submission, shards: t.Iterable[str]
    ) -> SubmitResult | None:
        """Return the result of a submission that is stored already, else ``None``.

        :param submission: the submission.
        :param shards: the shards that may have the job.
        """
        result = None
        try:
            for shard in shards:
                found = await self.find(shard, submission.job_id)
                if found is None:
                    continue
                result = self._compare(found, submission)
                if result is not _USED_BY_OTHER_QUEUE:
                    return result
        except PlatformUnavailableError as error:
            return SubmitResult(SubmitOutcome.UNKNOWN, str(error))
        except DocumentError:
            # the job may have been accepted, so it must not be called rejected
            return _UNREADABLE_JOB
        return result

    async def insert(
        self, submission: Submission, other_services: t.Collection[str]
    ) -> SubmitResult:
        """Store a submission unless the job is stored already.

        :param submission: the submission.
        :param other_services: other services in which the queue has had jobs.
        """
        service, job_id = submission.policy.service, submission.job_id
        row = tables.get_job_row(service, job_id)
        pointer = encode_pointer(SubmissionPointer(service))
        puts = {tables.get_job_row(other, job_id): pointer for other in other_services}
        puts[row] = encode_submission(submission)
        tombstones = _list_tombstone_rows(job_id, (service, *other_services))
        expected = dict.fromkeys([*puts, *tombstones], ABSENT)
        outcome = await self._insert_beside_tombstones(submission, expected, puts)
        if isinstance(outcome, Applied):
            self.on_stored(submission.policy.service, row.key)
            return SubmitResult(SubmitOutcome.ACCEPTED)
        if isinstance(outcome, NotApplied):
            return SubmitResult(SubmitOutcome.REFUSED, outcome.reason)
        if isinstance(outcome, Invalid):
            return SubmitResult(SubmitOutcome.TOO_LARGE, outcome.reason)
        if isinstance(outcome, Conflict):
            found = await self._find_conflicting(submission, outcome)
            if found is not None:
                return found
        return SubmitResult(SubmitOutcome.UNKNOWN, "the write was not confirmed")

    async def _insert_beside_tombstones(
        self,
        submission: Submission,
        expected: dict[RowId, int],
        puts: dict[RowId, bytes],
    ) -> WriteOutcome:
        """Write a submission, also beside tombstones that do not cover it.

        These are left: the submission itself keeps the other job from being stored.
        """
        while True:
            batch = Batch(expected, puts, across=len(puts) > 1)
            outcome = await self._write_until_certain(batch)
            if not isinstance(outcome, Conflict):
                return outcome
            others = [
                row
                for row in outcome.rows
                if tables.is_tombstone(row.row_id)
                and not self._is_covered(submission, row)
                and expected.get(row.row_id) != row.version
            ]
            if not others or len(others) < len(outcome.rows):
                return outcome
            expected = {**expected, **{row.row_id: row.version for row in others}}

    async def _find_conflicting(
        self, submission: Submission, conflict: Conflict
    ) -> SubmitResult | None:
        """Return the result of the stored submission that a write conflicts with."""
        result = None
        shards = []
        for row in conflict.rows:
            if tables.is_tombstone(row.row_id):
                if result is None and self._is_covered(submission, row):
                    result = _CANCELLED
                continue
            try:
                stored = self.decoder.decode_row(row)
            except DocumentError:
                return _UNREADABLE_JOB
            if isinstance(stored, SubmissionPointer):
                shards.append(stored.service)
                continue
            found = LocatedSubmission(stored.policy.service, stored, row.version)
            result = self._compare(found, submission)
            if result is not _USED_BY_OTHER_QUEUE:
                return result
        return await self.find_result(submission, shards) or result

    async def cancel(self, found: LocatedSubmission) -> bool | Unavailable:
        """Store the cancellation of a job.

        A write that is carried out late must not cancel a new job with the same ID, so
        the cancellation is stored only beside the submission that was found.

        :param found: the job.
        :returns: whether the job is cancelled; false if it was removed meanwhile.
        """
        job_id = found.submission.job_id
        submission = tables.get_job_row(found.shard, job_id)
        row = tables.get_cancel_row(found.shard, job_id)
        expected = {submission: found.version, row: ABSENT}
        outcome = await self._write_until_certain(Batch(expected, {row: b"1"}))
        if isinstance(outcome, Conflict) and outcome.find(row) is None:
            return False
        if not isinstance(outcome, Applied | Conflict):
            return Unavailable.STORE
        self.on_stored(found.shard, row.key)
        return True

    def _is_covered(self, submission: Submission, row: StoredRow) -> bool:
        """Return whether a tombstone covers a submission; a malformed one does."""
        try:
            tombstone = decode_tombstone(row.value)
        except DocumentError:
            return True
        if not self.routes.is_same_queue(submission.get_queue(), tombstone.get_queue()):
            return False
        return Caller(tombstone.tenant).may_access(submission.tenant)

    def _compare(
        self, found: LocatedSubmission, submission: Submission
    ) -> SubmitResult:
        stored = found.submission
        _LOG.info(
            "stored job found",
            job=stored.job_id,
            service=found.shard,
            wanted=submission.policy.service,
            stored_under=stored.configuration,
        )
        if not self.belongs_to(found, submission.get_queue()):
            return _USED_BY_OTHER_QUEUE
        if not Caller(submission.tenant).may_access(stored.tenant):
            return SubmitResult(SubmitOutcome.OTHER_TENANT, Denied.OTHER_TENANT.value)
        if is_same_request(stored, submission):
            return SubmitResult(SubmitOutcome.ACCEPTED, "known")
        return SubmitResult(
            SubmitOutcome.OTHER_REQUEST, "the id stands for another request"
        )

    async def insert_tombstone(
        self, job_id: str, tombstone: Tombstone, services: t.Sequence[str]
    ) -> TombstoneOutcome:
        """Keep a job that is not stored from being stored later, by tombstones.

        :param job_id: id of the job.
        :param tombstone: who cancels the job, and in which queue.
        :param services: all services that the queue is known to have had: a submission
            is written to, or has a pointer in, at least one of them.
        """
        value = encode_tombstone(tombstone)
        puts = dict.fromkeys(_list_tombstone_rows(job_id, services), value)
        jobs = [tables.get_job_row(service, job_id) for service in services]
        expected = dict.fromkeys([*jobs, *puts], ABSENT)
        batch = Batch(expected, puts, across=len(services) > 1)
        outcome = await self._write_until_certain(batch)
        if isinstance(outcome, Applied):
            return TombstoneOutcome.INSERTED
        if not isinstance(outcome, Conflict):
            return TombstoneOutcome.UNKNOWN
        if any(outcome.find(row) is not None for row in jobs):
            return TombstoneOutcome.JOB_STORED
        return TombstoneOutcome.INSERTED

    async def _write_until_certain(self, batch: Batch) -> WriteOutcome:
        """Retry a conditional insert until its outcome is certain or time is up.

        After an attempt with unknown outcome, a later ``NotApplied`` is not certain:
        the earlier attempt may still be applied.
        """
        deadline = self.clocks.read_monotonic() + WRITE_RETRY_LIMIT_S
        unknown: WriteOutcome | None = None
        while True:
            outcome = await self.store.write(batch)
            if isinstance(outcome, Applied | Conflict | Invalid):
                return outcome
            if isinstance(outcome, NotApplied):
                if unknown is None:
                    return outcome
            else:
                unknown = outcome
            if self.clocks.read_monotonic() >= deadline or self.should_stop():
                return unknown
            await anyio.sleep(WRITE_RETRY_PAUSE_S)


def _list_tombstone_rows(job_id: str, services: t.Iterable[str]) -> list[RowId]:
    return [tables.get_tombstone_row(service, job_id) for service in services]
