"""Keeps the jobs of one shard, from their arrival to the end of their retention."""

import math
import typing as t

import attrs
import structlog

from ..pools.cordons import ReceivedCordons
from .advice import TicketCache
from .crashes import CrashLog
from .job import Job
from .job import Task
from .job import TaskPhase
from .lives import compute_token
from .messages import JobState
from .messages import JobStatus
from .messages import QueueRef
from .messages import TaskId
from .messages import WorkerEntry
from .messages import WorkerState
from .placing import StepKey
from .placing import WorkerRecord
from .priorities import DECLARED_FORECAST
from .priorities import Forecast
from .priorities import get_slo_deadline
from .rates import TenantRates
from .run_times import RunTimes
from .undrained import UndrainedCordons
from .workers import MS_PER_S
from .workers import StopOrder

_LOG = structlog.get_logger()


def is_serving(task: Task) -> bool:
    """Tell whether a task was reported as serving and is not being stopped."""
    return task.phase is TaskPhase.RUNNING and task.percent >= 100 and not task.stopping


def get_step_key(task: Task) -> StepKey:
    """Return the job id, occurrence and step number of a task."""
    task_id = task.task_id
    return (task_id.job_id, task_id.occurrence, task_id.step)


def _build_status(job: Job, state: JobState) -> JobStatus:
    submission = job.submission
    return JobStatus(
        state,
        submission.tenant,
        submission.configuration,
        submission.policy.queue,
        submission.endpoint,
    )


@attrs.define
class ShardJobs:
    """Jobs of one shard, and the state that its subclasses share.

    :param service: pool whose workers run the tasks.
    :param epoch: fencing token of the owner.
    :param claimed_at: monotonic seconds when the owner claimed the shard.
    :param capacity_valid_s: seconds for which the capacity that a worker reports may be
        relied on; infinite where workers refuse tasks that don't fit.
    :param max_lease_s: longest lease that a worker grants.
    :param rates: tells which jobs are within their tenants' rates; ``None`` where there
        are no tenants.
    :param run_times: learns how long tasks run; ``None`` where declared run times are
        used.
    :param forecast: predicts whether jobs can still end in time or be of use.
    :param restarts: restarts of workers under their ids that this owner knows.
    :param received_cordons: what the latest row of the fleet controller tells about
        cordons, for the log.
    :param undrained_cordons: cordons that this owner may still refuse.
    :param get_queue_name: returns the present name of a queue of jobs.
    """

    service: str
    epoch: int
    claimed_at: float
    capacity_valid_s: float = math.inf
    max_lease_s: float = 10.0
    jobs: dict[str, Job] = attrs.field(factory=dict)
    final: dict[str, JobStatus] = attrs.field(factory=dict)
    ended_at: dict[str, float] = attrs.field(factory=dict)
    workers: dict[str, WorkerRecord] = attrs.field(factory=dict)
    dirty: set[str] = attrs.field(factory=set)
    stopping: dict[TaskId, Task] = attrs.field(factory=dict)
    restarts: dict[str, int] = attrs.field(factory=dict)
    early_cancels: set[str] = attrs.field(factory=set)
    cordons: t.Mapping[str, str] = attrs.field(factory=dict)
    received_cordons: ReceivedCordons | None = None
    undrained_cordons: UndrainedCordons = attrs.field(factory=UndrainedCordons)
    due: frozenset[str] = frozenset()
    arrived_jobs: int = 0
    unmeasured_jobs: list[Job] = attrs.field(factory=list)
    offered: float = 0.0
    ticket_cache: TicketCache = attrs.field(factory=TicketCache)
    rates: TenantRates | None = None
    run_times: RunTimes | None = None
    forecast: Forecast = DECLARED_FORECAST
    crashes: CrashLog = attrs.field(factory=CrashLog)
    unlogged_done: dict[str, list[str]] = attrs.field(factory=dict)
    get_queue_name: t.Callable[[QueueRef], str] = lambda queue: queue.name
    unexpected_runs: dict[tuple[str, TaskId, int], StopOrder] = attrs.field(
        factory=dict
    )

    def add_job(self, job: Job, now: float, wall_ms: float) -> None:
        """Add a job that was stored.

        :param job: the job, restored or new.
        :param now: monotonic seconds.
        :param wall_ms: wall-clock milliseconds since 1970.
        """
        job_id = job.submission.job_id
        if job_id in self.jobs or job_id in self.final:
            return
        if job.state.final:
            self._move_to_final(job, job.state, now)
            return
        age_s = max(0.0, (wall_ms - job.submission.accepted_ms) / MS_PER_S)
        job.accepted_at = now - min(age_s, now)
        if self.rates is not None:
            accepted_s = job.submission.accepted_ms / MS_PER_S
            within = self.rates.is_within(job.submission.tenant, accepted_s)
            job.beyond = not within
        self.jobs[job_id] = job
        if job.stored_state is None:
            self.dirty.add(job_id)
            self.arrived_jobs += 1
            self.unmeasured_jobs.append(job)
        for task in job.list_placed():
            record = self._get_or_add_worker(task.worker_id)
            record.reserve(job.get_step(task), get_step_key(task))
            record.note_start(task.task_id, task.loss_history.isolation)
        if job_id in self.early_cancels:
            self.cancel(job_id)

    def cancel(self, job_id: str) -> None:
        """Cancel a job, also one that is not known here yet.

        :param job_id: id of the job.
        """
        job = self.jobs.get(job_id)
        if job is None:
            if job_id not in self.final:
                self.early_cancels.add(job_id)
            return
        self.early_cancels.discard(job_id)
        if not job.state.final:
            self._end_job(job, JobState.CANCELLED)

    def _end_job(self, job: Job, state: JobState) -> None:
        job.state = state
        self.dirty.add(job.submission.job_id)
        for task in job.list_placed():
            self._mark_stopping(task)

    def _mark_stopping(self, task: Task) -> None:
        task.stopping = True
        self.stopping[task.task_id] = task

    def _move_to_final(self, job: Job, state: JobState, now: float) -> None:
        job_id = job.submission.job_id
        self.final[job_id] = _build_status(job, state)
        self.ended_at[job_id] = now
        self.jobs.pop(job_id, None)
        for record in self.workers.values():
            # an end reported while the final state was being stored
            record.unstored_jobs.discard(job_id)
        self.ticket_cache.forget_job(job_id)

    def mark_stored(self, job_id: str, state: JobState, now: float) -> None:
        """Record that a job's progress was stored.

        :param job_id: id of the job.
        :param state: the state that was stored.
        :param now: monotonic seconds.
        """
        job = self.jobs.get(job_id)
        if job is None:
            return
        if state.final and job.stored_state is not state:
            self._log_end(job, state, now)
        job.stored_state = state
        if state.final and not any(job.list_placed()):
            self._move_to_final(job, state, now)

    @staticmethod
    def _log_end(job: Job, state: JobState, now: float) -> None:
        submission = job.submission
        waited_s = None if job.placed_at is None else job.placed_at - job.accepted_at
        timed = submission.times or any(step.long_running for step in submission.steps)
        objective_s = None if timed else get_slo_deadline(job) - job.accepted_at
        _LOG.info(
            "job ended",
            job=submission.job_id,
            queue=submission.policy.queue,
            service=submission.policy.service,
            state=state.value,
            took_s=round(now - job.accepted_at, 3),
            waited_s=None if waited_s is None else round(waited_s, 3),
            objective_s=None if objective_s is None else round(objective_s, 3),
        )

    def get_status(self, job_id: str) -> JobStatus | None:
        """Return the stored state of a job, ``None`` if it is not known here."""
        if job_id in self.final:
            return self.final[job_id]
        job = self.jobs.get(job_id)
        if job is None:
            return None
        return _build_status(job, job.stored_state or JobState.QUEUED)

    def knows(self, job_id: str, cancelled: bool = False) -> bool:
        """Tell whether a job, or its cancellation, is known here.

        :param job_id: id of the job.
        :param cancelled: whether to ask for its cancellation, not for the job.
        """
        if job_id in self.final:
            return True
        job = self.jobs.get(job_id)
        if job is None:
            return False
        return not cancelled or job.state.final

    def count_waiting(self) -> dict[str, int]:
        """Count the jobs of which no task has started, by present name of queue."""
        counts: dict[str, int] = {}
        for job in self.jobs.values():
            if not job.started and not job.state.final:
                queue = self.get_queue_name(job.submission.get_queue())
                counts[queue] = counts.get(queue, 0) + 1
        return counts

    def list_expired(self, now: float, retention_s: float) -> list[str]:
        """List jobs whose final state was kept for the retention period."""
        expired = []
        for job_id, ended in self.ended_at.items():
            if now - ended < retention_s:
                break
            expired.append(job_id)
        return expired

    def forget_jobs(self, job_ids: t.Iterable[str]) -> None:
        """Drop jobs whose rows were removed from the store."""
        for job_id in job_ids:
            self.final.pop(job_id, None)
            self.ended_at.pop(job_id, None)
            self.early_cancels.discard(job_id)

    def get_next_due_wait_ms(self, wall_ms: float) -> float:
        """Return the milliseconds until the next occurrence is due.

        One hour if no occurrence is left to open.
        """
        waits = [
            job.get_due_ms() - wall_ms
            for job in self.jobs.values()
            if job.submission.times and job.may_open()
        ]
        return min(waits, default=3_600_000.0)

    def _get_or_add_worker(self, worker_id: str) -> WorkerRecord:
        record = self.workers.get(worker_id)
        if record is None:
            # A run may be on a worker that is no longer registered. If that worker
            # crashed, the crash counts against the run, which it would not do for a
            # draining worker: hence the state READY.
            entry = WorkerEntry(
                worker_id, self.service, "", "", WorkerState.READY, 0, 0, 0, (), 0
            )
            record = WorkerRecord(entry, registered=False)
            self.workers[worker_id] = record
        return record

    def _release(self, job: Job, task: Task) -> None:
        record = self.workers.get(task.worker_id)
        if record is not None:
            record.free(job.get_step(task), get_step_key(task))
            record.end_crash_window(task.task_id)
        task.release()
        self.dirty.add(job.submission.job_id)

    def _build_stop_order(
        self, record: WorkerRecord, task: TaskId, run: int
    ) -> StopOrder:
        entry = record.entry
        token = self.get_token(record)
        return StopOrder(entry.worker_id, entry.address, task, run, token, record.born)

    def get_token(self, record: WorkerRecord) -> int:
        """Return the fencing token of calls to the known incarnation of a worker."""
        return self.get_worker_token(record.entry.worker_id)

    def get_worker_token(self, worker_id: str) -> int:
        """Return the fencing token of calls to a worker of which nothing is known."""
        return compute_token(self.epoch, self.restarts.get(worker_id, 0))
