"""Reads and writes the submissions of jobs in the store."""

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
from ..jobs.messages import Submission
from ..jobs.store import ABSENT
from ..jobs.store import Applied
from ..jobs.store import Batch
from ..jobs.store import Conflict
from ..jobs.store import NotApplied
from ..jobs.store import Store
from ..jobs.store import StoredRow
from ..jobs.store import WriteOutcome
from ..jobs.submissions import decode_submission
from ..jobs.submissions import encode_submission
from ..jobs.submissions import is_same_request
from ..jobs.tenants import Caller

WRITE_RETRY_LIMIT_S = 2.0
"""How long a write with unknown outcome is retried; callers time out after 3 s."""
WRITE_RETRY_PAUSE_S = 0.08
"""Pause between two attempts of such a write, in addition to the write's timeout."""

_UNREADABLE_JOB = SubmitResult(SubmitOutcome.UNKNOWN, Unavailable.STORED_JOB.value)
_LOG = structlog.get_logger()


@attrs.define(eq=False)
class SubmissionStore:
    """Stores submissions and cancellations, each job once.

    :param store: the store.
    :param clocks: the process's clocks.
    :param on_stored: notifies the owner of a shard, given the shard and the key of the
        stored submission or cancellation.
    :param should_stop: returns whether a write with unknown outcome is retried no more.
    """

    store: Store
    clocks: Clocks
    on_stored: t.Callable[[str, str], None]
    should_stop: t.Callable[[], bool]

    async def read(self, shard: str, job_id: str) -> Submission | None:
        """Read a submission, ``None`` if the shard has none.

        :raises DocumentError: if the stored submission is malformed.
        :raises PlatformUnavailableError: if the store does not answer.
        """
        row = tables.get_job_row(shard, job_id)
        page = await self.store.read(row.table, row.part, row.key)
        return _decode_row(page.rows[0]) if page.rows else None

    async def find_result(
        self, submission: Submission, shard: str
    ) -> SubmitResult | None:
        """Return the result of a submission that a shard has, else ``None``."""
        try:
            stored = await self.read(shard, submission.job_id)
        except PlatformUnavailableError as error:
            return SubmitResult(SubmitOutcome.UNKNOWN, str(error))
        except DocumentError:
            # the job may have been accepted, so it must not be called rejected
            return _UNREADABLE_JOB
        return None if stored is None else _compare(stored, submission)

    async def insert(self, submission: Submission) -> SubmitResult:
        """Store a submission unless the job is stored already."""
        row = tables.get_job_row(submission.policy.service, submission.job_id)
        batch = Batch({row: ABSENT}, {row: encode_submission(submission)})
        outcome = await self._write_until_certain(batch)
        if isinstance(outcome, Applied):
            self.on_stored(submission.policy.service, row.key)
            return SubmitResult(SubmitOutcome.ACCEPTED)
        if isinstance(outcome, NotApplied):
            return SubmitResult(SubmitOutcome.REFUSED, outcome.reason)
        if isinstance(outcome, Conflict):
            present = outcome.find(row)
            try:
                stored = _decode_row(present) if present else None
            except DocumentError:
                return _UNREADABLE_JOB
            if stored is not None:
                return _compare(stored, submission)
        return SubmitResult(SubmitOutcome.UNKNOWN, "the write was not confirmed")

    async def cancel(self, shard: str, job_id: str) -> bool:
        """Store the cancellation of a job; return whether it is certainly stored."""
        row = tables.get_cancel_row(shard, job_id)
        outcome = await self._write_until_certain(Batch({row: ABSENT}, {row: b"1"}))
        if not isinstance(outcome, Applied | Conflict):
            return False
        self.on_stored(shard, row.key)
        return True

    async def _write_until_certain(self, batch: Batch) -> WriteOutcome:
        """Retry a conditional insert until its outcome is certain or time is up.

        After an attempt with unknown outcome, a later ``NotApplied`` is not certain:
        the earlier attempt may still be applied.
        """
        deadline = self.clocks.read_monotonic() + WRITE_RETRY_LIMIT_S
        unknown: WriteOutcome | None = None
        while True:
            outcome = await self.store.write(batch)
            if isinstance(outcome, Applied | Conflict):
                return outcome
            if isinstance(outcome, NotApplied):
                if unknown is None:
                    return outcome
            else:
                unknown = outcome
            if self.clocks.read_monotonic() >= deadline or self.should_stop():
                return unknown
            await anyio.sleep(WRITE_RETRY_PAUSE_S)


def _decode_row(row: StoredRow) -> Submission:
    """Decode a stored submission; a malformed one is logged.

    :raises DocumentError: if the row is malformed.
    """
    try:
        return decode_submission(row.value)
    except DocumentError as error:
        _LOG.warning(
            "stored submission could not be decoded",
            row=row.row_id.key,
            reason=str(error),
        )
        raise


def _compare(stored: Submission, submission: Submission) -> SubmitResult:
    if not Caller(submission.tenant).may_access(stored.tenant):
        return SubmitResult(SubmitOutcome.OTHER_TENANT, Denied.OTHER_TENANT.value)
    if is_same_request(stored, submission):
        return SubmitResult(SubmitOutcome.ACCEPTED, "known")
    return SubmitResult(
        SubmitOutcome.OTHER_REQUEST, "the id stands for another request"
    )
