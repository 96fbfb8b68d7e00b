"""Chooses the jobs whose progress is stored in the next transaction.

A transaction is bounded by the limits of the store on a call, as it is encoded. If the
store refuses one as invalid, its jobs are stored one by one, apart from the owner's own
rows. A job that is refused alone waits, and holds up neither the others nor the renewal
of the owner row.
"""

import typing as t

import attrs
import structlog

from ..jobs.progress_rows import get_job_bytes
from ..jobs.progress_rows import measure_row
from ..jobs.store import RowId
from ..jobs.store import StoreLimits

OWN_ENTRIES = 4
"""Entries of a call for the owner itself: its owner row, its report, the fence row and
the condition on that."""
REFUSED_RETRY_S = 5.0
"""Time after which a job whose progress the store has refused is tried again."""

_LOG = structlog.get_logger()


@attrs.frozen
class EncodedJob:
    """Rows of the progress of a job, as they are to be stored.

    :param puts: rows to write.
    :param removals: rows of earlier, larger progress.
    """

    puts: t.Mapping[RowId, bytes]
    removals: tuple[RowId, ...] = ()

    def count_entries(self) -> int:
        """Return the entries that the job takes in a call."""
        return len(self.puts) + len(self.removals)

    def measure(self) -> int:
        """Return the most bytes that the job takes in a call."""
        written = sum(measure_row(len(value)) for value in self.puts.values())
        return written + len(self.removals) * measure_row(0)


@attrs.define(eq=False)
class JobBatches:
    """Chooses jobs for transactions, and isolates those that the store refuses.

    :param shard: the shard, for the log.
    :param limits: limits of the store.
    """

    shard: str
    limits: StoreLimits
    _suspects: set[str] = attrs.field(factory=set)
    _refused_until: dict[str, float] = attrs.field(factory=dict)

    def has_suspects(self) -> bool:
        """Return whether a job was part of a refused transaction and is to be tried."""
        return bool(self._suspects)

    def is_refused(self, job_id: str, now: float) -> bool:
        """Return whether a job's progress was refused and is not tried again yet.

        :param job_id: the job.
        :param now: monotonic seconds.
        """
        return now < self._refused_until.get(job_id, now)

    def list_refused(self, now: float) -> list[str]:
        """List the jobs whose progress was refused and is not tried again yet.

        :param now: monotonic seconds.
        """
        return [
            job_id for job_id in self._refused_until if self.is_refused(job_id, now)
        ]

    def choose(
        self,
        job_ids: t.Iterable[str],
        encode: t.Callable[[str], EncodedJob],
        now: float,
        reserved_entries: int = 0,
    ) -> dict[str, EncodedJob]:
        """Choose jobs for the next transaction, at least one if any may be stored.

        :param job_ids: jobs to be stored, the most urgent first.
        :param encode: encodes the progress of a job.
        :param now: monotonic seconds.
        :param reserved_entries: entries of the call that are needed otherwise, beside
            those of the owner itself.
        """
        wanted = [job_id for job_id in job_ids if not self.is_refused(job_id, now)]
        self._suspects &= set(wanted)
        for job_id in self._suspects:
            return {job_id: encode(job_id)}
        entries = self.limits.call_entries - OWN_ENTRIES - reserved_entries
        size = get_job_bytes(self.limits)
        chosen: dict[str, EncodedJob] = {}
        for job_id in wanted:
            encoded = encode(job_id)
            entries -= encoded.count_entries()
            size -= encoded.measure()
            if chosen and (entries < 0 or size < 0):
                break
            chosen[job_id] = encoded
        return chosen

    def note_stored(self, job_ids: t.Iterable[str]) -> None:
        """Record jobs whose progress was stored."""
        for job_id in job_ids:
            self._suspects.discard(job_id)
            self._refused_until.pop(job_id, None)

    def note_refused(
        self, job_ids: t.Collection[str], alone: bool, now: float, reason: str
    ) -> None:
        """Record the jobs of a transaction that the store has refused as invalid.

        :param job_ids: the jobs.
        :param alone: whether the transaction had no other rows.
        :param now: monotonic seconds.
        :param reason: answer of the store.
        """
        found = alone and len(job_ids) == 1
        _LOG.error(
            "progress refused by the store",
            service=self.shard,
            jobs=list(job_ids),
            reason=reason,
            held=found,
        )
        for job_id in job_ids:
            if found:
                self._suspects.discard(job_id)
                self._refused_until[job_id] = now + REFUSED_RETRY_S
            else:
                self._suspects.add(job_id)
