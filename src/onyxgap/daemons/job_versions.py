"""Versions of the submissions of a shard's jobs, by which outdated rows are recognised.

The pages of a snapshot, and single rows, are read while the owner goes on removing
jobs. A submission that was read before its removal, and is applied after it, would be a
new job.
"""

import typing as t

import attrs

from ..jobs import tables
from ..jobs.store import StoredRow


@attrs.define(eq=False)
class JobVersions:
    """Knows the version of each job's submission, and of removals until they are read.

    A removal is known until the change feed has passed its version: everything that is
    read from then on is newer. So the memory is bounded by the removals of one read.
    """

    _stored: dict[str, int] = attrs.field(factory=dict)
    _removed: dict[str, int] = attrs.field(factory=dict)

    def is_outdated(self, row: StoredRow) -> bool:
        """Return whether a submission or a cancellation says nothing new.

        :param row: the row, as it was read.
        """
        job_id = row.row_id.key.removesuffix(tables.CANCEL_SUFFIX)
        if row.version <= self._removed.get(job_id, 0):
            return True
        is_submission = row.row_id.key == job_id
        return is_submission and row.version <= self._stored.get(job_id, 0)

    def get_stored(self, job_id: str) -> int:
        """Return the version of a job's submission, 0 if it is not known."""
        return self._stored.get(job_id, 0)

    def note_stored(self, job_id: str, version: int) -> None:
        """Record the version of a submission that was applied."""
        self._stored[job_id] = version
        self._removed.pop(job_id, None)

    def note_removed(self, job_ids: t.Iterable[str], version: int) -> None:
        """Record the removal of jobs.

        :param job_ids: jobs of which all rows were removed.
        :param version: a version of the store at which they had been removed.
        """
        for job_id in job_ids:
            self._stored.pop(job_id, None)
            self._removed[job_id] = version

    def forget_removals(self, version: int) -> None:
        """Drop the removals that everything read from now on is newer than.

        :param version: version up to which the change feed has been read, 0 while a
            snapshot is read.
        """
        passed = [job_id for job_id, at in self._removed.items() if at <= version]
        for job_id in passed:
            del self._removed[job_id]
