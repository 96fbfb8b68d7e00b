"""Decodes the stored rows of jobs, and learns of versions of the configuration by them.

All rows and messages with the version of a job are decoded here, so that a node can't
act on a job whose version it has not recorded.
"""

import contextlib
import typing as t

import attrs
import structlog

from ..exceptions import DocumentError
from ..jobs.encoding import decode_status
from ..jobs.messages import JobStatus
from ..jobs.messages import Submission
from ..jobs.store import StoredRow
from ..jobs.submissions import SubmissionPointer
from ..jobs.submissions import decode_row
from ..jobs.submissions import decode_submission
from .version_observer import VersionObserver
from .version_observer import VersionSource

_LOG = structlog.get_logger()


@contextlib.contextmanager
def _log_malformed(row: StoredRow, event: str) -> t.Iterator[None]:
    try:
        yield
    except DocumentError as error:
        _LOG.warning(event, row=row.row_id.key, reason=str(error))
        raise


@attrs.define(eq=False)
class SubmissionDecoder:
    """Decodes the submissions and statuses of jobs.

    :param versions: records the versions under which jobs were accepted.
    """

    versions: VersionObserver = attrs.field(factory=VersionObserver)

    def decode(self, value: bytes, source: VersionSource) -> Submission:
        """Decode a submission.

        :param value: the encoded submission.
        :param source: where it was found.
        :raises DocumentError: if it is malformed.
        """
        submission = decode_submission(value)
        self.versions.observe(submission.configuration, source)
        return submission

    def decode_row(self, row: StoredRow) -> Submission | SubmissionPointer:
        """Decode the row of a submission; a malformed one is logged.

        :raises DocumentError: if the row is malformed.
        """
        with _log_malformed(row, "stored submission could not be decoded"):
            stored = decode_row(row.value)
        if isinstance(stored, Submission):
            self.versions.observe(stored.configuration, VersionSource.STORED_JOB)
        return stored

    def decode_status(self, row: StoredRow) -> JobStatus:
        """Decode the status in a row of stored progress; a malformed one is logged.

        :raises DocumentError: if the row is malformed.
        """
        with _log_malformed(row, "stored progress could not be decoded"):
            status = decode_status(row.value)
        self.versions.observe(status.configuration, VersionSource.STORED_JOB)
        return status
