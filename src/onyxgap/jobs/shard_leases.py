"""Bounds of the leases of a shard's workers, and the runs that they keep."""

import math

import attrs

from .call_timeouts import CallTimeouts
from .doubts import DoubtfulRuns
from .doubts import DoubtReporter
from .doubts import LeaseSource
from .job import Job
from .job import Task
from .leases import GRANT_WITHOUT_STORE_S
from .leases import FormerGrants
from .placing import WorkerRecord
from .shard_jobs import ShardJobs
from .workers import MAX_CLOCK_DRIFT
from .workers import MS_PER_S

LEASE_S = 5.0
"""Length of a lease. It covers a change of the owner: the owner time-out of 2.2 s, the
claim and the first hold request."""
LATE_RENEWAL_S = 2.0
"""Time for which a late owner extends the lease of a worker that it takes for silent.
The end of the lease of a worker that is dark moves by this and by the time until it
counts as silent."""
MAX_GRANT_READING_AGE_S = 15.0
"""Age of the reading of a worker's clock from which no lease is granted by it."""
FORMER_LEASE_S = LEASE_S + 0.3
"""Longest lease of the previous owner that may be left when a worker first answers this
one, which fences off the previous owner. That owner's estimate of a clock that is 2%
slow runs ahead by less than 0.3 s, as it uses no reading for longer than 15 s; see
:data:`MAX_GRANT_READING_AGE_S`."""
UNHEARD_LEASE_S = FORMER_LEASE_S / (1 - MAX_CLOCK_DRIFT)
"""Longest time for which a worker that this owner has not heard of keeps a lease after
the last grant, on a clock that is 2% slow."""
LATE_CALL_S = 12.0
"""Longest time after which a worker carries out a call that got no answer, also one
that was sent to its former incarnation."""


@attrs.define
class ShardLeases(ShardJobs):
    """Leases of the workers of one shard.

    A call that was meant for the former incarnation of a worker has a deadline on that
    one's clock. On the next one's clock, which starts anew, it is far ahead: it grants
    the longest lease, which the worker never shortens again.

    :param former_grants: until when former owners may have granted leases, ``None`` if
        nothing but the claim is known.
    :param call_timeouts: timeouts of the calls to the workers.
    :param listed_at: monotonic seconds when the newest list of VMs that this owner has
        seen was requested, ``None`` if it has seen none.
    """

    former_grants: FormerGrants | None = None
    call_timeouts: CallTimeouts = attrs.field(factory=CallTimeouts)
    listed_at: float | None = None
    doubt_reporter: DoubtReporter = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.doubt_reporter = DoubtReporter(self.service, self.epoch)

    def grant_lease(
        self, record: WorkerRecord, lease_s: float, now: float
    ) -> float | None:
        """Return the lease deadline to send with a hold request.

        A deadline is absolute, and :attr:`WorkerRecord.lease_ms` covers each that was
        sent, also one that is carried out late. So the end of a lease stays certain as
        long as a worker that may be dark gets no more of them. A worker whose answers
        do not arrive in time may be well where this process is late itself.

        :param record: the worker.
        :param lease_s: length of the lease in seconds.
        :param now: monotonic seconds.
        :returns: milliseconds on the worker's clock, ``None`` to leave the lease as it
            is.
        """
        clock = record.clock
        if clock is None or now - clock.recent_at > MAX_GRANT_READING_AGE_S:
            return None
        if record.failing_since is not None and not self._may_be_late(record, now):
            return None
        deadline_ms = clock.estimate(now) + lease_s * MS_PER_S
        record.lease_ms = max(record.lease_ms, deadline_ms)
        return deadline_ms

    def _may_be_late(self, record: WorkerRecord, now: float) -> bool:
        """Tell whether a silent worker may be well, and only its answers late."""
        assert record.failing_since is not None
        return (
            record.timed_out
            and now - record.failing_since < LATE_RENEWAL_S
            and self.call_timeouts.is_late()
        )

    def list_silent(self) -> list[WorkerRecord]:
        """List the workers that do not answer, or are no longer registered."""
        return [record for record in self.workers.values() if record.is_silent()]

    def list_unanswered(self) -> list[WorkerRecord]:
        """List the silent workers, and those whose last call got no answer in time.

        The latter may be dead, too: the list of VMs tells before the calls do.
        """
        return [
            record
            for record in self.workers.values()
            if record.is_silent() or record.unanswered_since is not None
        ]

    def count_doubtful_runs(self) -> int:
        """Return the number of runs that are kept on silent workers."""
        return sum(record.count_present() for record in self.list_silent())

    def report_doubtful_runs(self, now: float) -> None:
        """Log the runs that are kept on workers that have been silent for some time.

        :param now: monotonic seconds.
        """
        silent = [record for record in self.list_silent() if record.present]
        reporter = self.doubt_reporter
        reporter.keep_only([record.entry.worker_id for record in silent])
        list_age_s = None if self.listed_at is None else now - self.listed_at
        for record in silent:
            silent_s = self.get_silent_s(record, now)
            if reporter.is_due(record.entry.worker_id, silent_s, now):
                doubt = self._describe_doubt(record, silent_s, now)
                reporter.report(doubt, list_age_s, now)

    def get_silent_s(self, record: WorkerRecord, now: float) -> float:
        """Return for how many seconds a silent worker has been so for this owner.

        :param record: the worker.
        :param now: monotonic seconds.
        """
        silent_since = record.failing_since or record.heard_at
        return now - max(silent_since, self.claimed_at)

    def _describe_doubt(
        self, record: WorkerRecord, silent_s: float, now: float
    ) -> DoubtfulRuns:
        return DoubtfulRuns(
            record.entry.worker_id,
            [task.task_id for _, task in self._list_runs_on(record)],
            silent_s,
            self.get_lease_left_s(record, now),
            self._get_lease_source(record, now),
            record.registered,
        )

    def _get_lease_source(self, record: WorkerRecord, now: float) -> LeaseSource:
        granted_left_s = self._get_granted_lease_left_s(record, now)
        if record.former_lease_until - now > granted_left_s:
            return LeaseSource.FORMER_INCARNATION
        return LeaseSource.OWN if record.held else LeaseSource.FORMER_OWNER

    def _list_runs_on(self, record: WorkerRecord) -> list[tuple[Job, Task]]:
        return [
            (job, task)
            for job in self.jobs.values()
            for task in job.list_placed()
            if task.worker_id == record.entry.worker_id
        ]

    def get_lease_left_s(self, record: WorkerRecord, now: float) -> float:
        """Return the seconds until a worker's lease has certainly expired.

        :param record: the worker.
        :param now: monotonic seconds.
        """
        granted_left_s = self._get_granted_lease_left_s(record, now)
        return max(granted_left_s, record.former_lease_until - now)

    def _get_granted_lease_left_s(self, record: WorkerRecord, now: float) -> float:
        """Return the seconds left of the leases granted to the known incarnation."""
        if not record.held:
            return self._get_former_leases_end() - now
        if record.clock is None:
            return 0.0
        return (record.lease_ms - record.clock.get_lower_bound(now)) / MS_PER_S

    @property
    def longest_lease_s(self) -> float:
        """Longest time that a lease lasts, on a clock that is 2% slow."""
        return self.max_lease_s / (1 - MAX_CLOCK_DRIFT)

    def _fence_off_former_calls(self, record: WorkerRecord, now: float) -> None:
        """Bound the leases by calls for a former incarnation of a worker.

        :param record: a worker that has answered a call with this owner's token, and
            rejects those calls from then on.
        :param now: monotonic seconds.
        """
        until = now + self.longest_lease_s
        record.former_lease_until = min(record.former_lease_until, until)

    def get_former_takeover(self) -> float:
        """Return when the former owner was the only one to call workers.

        :returns: monotonic seconds, minus infinity if not known, infinity if there was
            no former owner.
        """
        grants = self.former_grants
        if grants is None:
            return -math.inf
        return math.inf if grants.view.row is None else grants.inherited_until

    def get_former_grants_end(self) -> float:
        """Return until when former owners may have granted leases.

        :returns: monotonic seconds.
        """
        if self.former_grants is None:
            return self.claimed_at + GRANT_WITHOUT_STORE_S
        return self.former_grants.until

    def _get_former_leases_end(self) -> float:
        """Return the monotonic second at which all leases of former owners have ended.

        That holds for the workers that this owner has not heard of.
        """
        return self.get_former_grants_end() + UNHEARD_LEASE_S

    def _has_lease_expired(self, record: WorkerRecord, now: float) -> bool:
        if now < record.former_lease_until:
            return False
        if not record.held and now < self._get_former_leases_end():
            return False
        if record.clock is None:
            return True
        return record.clock.get_lower_bound(now) > record.lease_ms

    def _inherit_lease(self, record: WorkerRecord, clock_ms: float, now: float) -> None:
        """Take into account the lease that the previous owner may have granted.

        :param record: a worker that has answered its first hold request.
        :param clock_ms: reading of the worker's clock in the answer.
        :param now: monotonic seconds.
        """
        valid_s = self._get_former_leases_end() - now
        lease_s = min(FORMER_LEASE_S, self.max_lease_s, valid_s)
        record.lease_ms = max(record.lease_ms, clock_ms + lease_s * MS_PER_S)
