"""Finds why nothing of a job runs although one of its tasks could.

The job may wait for a worker, for its start order to be stored, sent or confirmed, or
for the end of a lease. Each of these looks the same to its caller.
"""

import collections
import enum
import typing as t

import attrs

from .amounts import get_task_amount
from .job import Job
from .job import Task
from .job import TaskPhase
from .messages import Step
from .messages import TaskId
from .obstacles import find_general_obstacle
from .obstacles import find_obstacle
from .placing import WorkerRecord
from .placing import get_reserved_amount
from .shard import Shard
from .shard_jobs import get_step_key

FREE = "free"
"""Obstacle of a worker that could run a task at once."""
PASS_OVERDUE_S = 0.5
"""Age of the last scheduling pass from which the next one is late; passes are 0.2 s
apart at most while the owner keeps up."""


class StandstillReason(enum.Enum):
    """Why nothing of a job runs; those of waiting tasks first."""

    NO_WORKERS = "no workers"
    UNREGISTERED = "unregistered"
    NOT_HELD = "not held"
    SILENT = "silent"
    DRAINING = "draining"
    CORDONED = "cordoned"
    BLOCKED = "blocked"
    EJECTED = "ejected"
    CAPACITY_OUTDATED = "capacity outdated"
    RESERVED = "reserved"
    PLACEMENT = "placement constraint"
    FULL = "full"
    ISOLATION = "isolation"
    TENANT_CAP = "tenant's cap"
    NO_TICKET = "no ticket"
    GANG_TOO_LARGE = "gang does not fit"
    RETRY_DELAY = "retry delay"
    OTHER_WORKER = "waits for another worker"
    NO_PASS = "not placed yet"
    """A worker is free, and no scheduling pass has placed the task."""
    WRITE_REFUSED = "write refused"
    ORDER_NOT_STORED = "start order not stored"
    ORDER_NOT_SENT = "start order not sent"
    ORDER_UNCONFIRMED = "start order unconfirmed"
    STOP_UNCONFIRMED = "stop order unconfirmed"
    IN_DOUBT = "run in doubt"
    OTHER = "other"


_REASONS: t.Mapping[str, StandstillReason] = {
    reason.value: reason for reason in StandstillReason
}


@attrs.frozen(slots=True)
class OwnerProgress:
    """How far the owner of a shard is with what it has to do.

    :param pass_age_s: seconds since the last scheduling pass began, ``None`` before the
        first.
    :param write_s: seconds for which the present write to the store takes, ``None`` if
        none is in progress.
    :param storing: tasks whose start orders wait to be stored.
    :param refused: jobs whose progress the store refuses.
    """

    pass_age_s: float | None = None
    write_s: float | None = None
    storing: t.Collection[TaskId] = ()
    refused: t.Collection[str] = ()


@attrs.frozen(slots=True)
class StandstillCause:
    """Why nothing of a job runs.

    :param reason: the reason.
    :param task: the task that is nearest to running, ``None`` if no task of the
        occurrence that is due exists yet.
    """

    reason: StandstillReason
    task: Task | None = None


@attrs.define(eq=False)
class ShardSurvey:
    """The workers of a shard at one moment, as far as its jobs need them to run.

    :param shard: the shard.
    :param progress: progress of its owner.
    :param now: monotonic seconds.
    :param wall_ms: Unix milliseconds.
    :param placed_jobs: IDs of the jobs with runs that may be on a worker.
    """

    shard: Shard
    progress: OwnerProgress
    now: float
    wall_ms: float
    placed_jobs: set[str] = attrs.field(init=False)
    _answering: set[str] = attrs.field(init=False)
    _open: list[WorkerRecord] = attrs.field(init=False)
    _general: StandstillReason = attrs.field(init=False)
    _most_free: tuple[int, int, int] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        workers = self.shard.workers
        self._answering = {
            worker_id for worker_id, item in workers.items() if item.is_answering()
        }
        self.placed_jobs = {key[0] for item in workers.values() for key in item.present}
        obstacles: collections.Counter[str] = collections.Counter()
        self._open = []
        for record in workers.values():
            obstacle = find_general_obstacle(record, self.now)
            if obstacle is None:
                self._open.append(record)
            elif record.registered:
                obstacles[obstacle] += 1
        self._general = _choose_most_frequent(obstacles)
        self._most_free = self._measure_most_free()

    def _measure_most_free(self) -> tuple[int, int, int]:
        """Return the largest free CPU, memory and accelerators of an open worker."""
        free = [
            (
                item.entry.cpu - item.cpu_used,
                item.entry.memory_mb - item.memory_used,
                item.entry.accelerators - item.accelerators_used,
            )
            for item in self._open
        ]
        cpu, memory_mb, accelerators = zip(*free, strict=True) if free else ((0,),) * 3
        return max(cpu), max(memory_mb), max(accelerators)

    def stands_still(self, job: Job) -> bool:
        """Return whether nothing of a job runs although a task of it is due.

        A run counts once it is confirmed, and while its worker answers.

        :param job: a job of the shard.
        """
        # each occurrence that is open has a step that is not done and may start
        if not job.occurrences and not self._has_due(job):
            return False
        if job.state.final:
            return False
        if job.submission.job_id not in self.placed_jobs:
            return True
        return not any(
            task.phase is TaskPhase.RUNNING and task.worker_id in self._answering
            for task in job.list_placed()
        )

    def _has_due(self, job: Job) -> bool:
        """Return whether an occurrence is due that no pass has opened."""
        if not job.may_open():
            return False
        return not job.submission.times or self.wall_ms >= job.get_due_ms()

    def find_cause(self, job: Job) -> StandstillCause:
        """Find why a job stands still.

        :param job: a job that stands still.
        """
        if job.submission.job_id in self.placed_jobs:
            placed = list(job.list_placed())
            if placed:
                task = max(placed, key=lambda item: item.started_at)
                return StandstillCause(self._find_run_reason(task), task)
        for occurrence, number in job.list_ready():
            waiting = [
                task
                for task in occurrence.steps[number]
                if task.phase is TaskPhase.WAITING
            ]
            if waiting:
                return self._find_waiting_cause(job, waiting)
        return StandstillCause(StandstillReason.NO_PASS)

    def _find_run_reason(self, task: Task) -> StandstillReason:
        if task.started_at and not task.sent:
            if task.task_id in self.progress.storing:
                return StandstillReason.ORDER_NOT_STORED
            return StandstillReason.ORDER_NOT_SENT
        if task.worker_id not in self._answering:
            return StandstillReason.IN_DOUBT
        if task.stopping:
            return StandstillReason.STOP_UNCONFIRMED
        return StandstillReason.ORDER_UNCONFIRMED

    def _find_waiting_cause(self, job: Job, waiting: list[Task]) -> StandstillCause:
        step = job.get_step(waiting[0])
        # a gang starts with its last task, other steps with their first
        choose = max if step.gang else min
        task = choose(waiting, key=lambda item: item.not_before)
        return StandstillCause(self._find_waiting_reason(job, step, task), task)

    def _find_waiting_reason(
        self, job: Job, step: Step, task: Task
    ) -> StandstillReason:
        if job.submission.job_id in self.progress.refused:
            return StandstillReason.WRITE_REFUSED
        if self.now < task.not_before:
            return StandstillReason.RETRY_DELAY
        if self._exceeds_cap(job, step):
            return StandstillReason.TENANT_CAP
        if not self._open:
            return self._general
        if self._exceeds_free(step):
            return StandstillReason.FULL
        return self._find_open_reason(job, step, task)

    def _exceeds_cap(self, job: Job, step: Step) -> bool:
        tenant, shares = job.submission.tenant, self.shard.shares
        if shares is None or not tenant:
            return False
        together = step.count if step.gang else 1
        return not shares.admits(tenant, get_task_amount(step) * together)

    def _exceeds_free(self, step: Step) -> bool:
        """Return whether a task of a step exceeds what is free on any open worker."""
        amount = get_reserved_amount(step)
        cpu, memory_mb, accelerators = self._most_free
        return (
            amount.cpu > cpu
            or amount.memory_mb > memory_mb
            or amount.accelerators > accelerators
        )

    def _find_open_reason(self, job: Job, step: Step, task: Task) -> StandstillReason:
        """Find why no open worker runs a task."""
        step_key, isolation = get_step_key(task), task.loss_history.isolation
        obstacles: collections.Counter[str] = collections.Counter()
        free = []
        for record in self._open:
            obstacle = find_obstacle(record, step, step_key, self.now, isolation)
            obstacles[obstacle] += 1
            if obstacle == FREE:
                free.append(record.entry.worker_id)
        if not free:
            return _choose_most_frequent(obstacles)
        if step.gang:
            return StandstillReason.GANG_TOO_LARGE
        if job.submission.policy.advised:
            return StandstillReason.NO_TICKET
        if all(task.waits_for_another_worker(item, self.now) for item in free):
            return StandstillReason.OTHER_WORKER
        if len(obstacles) > 1 and self._is_pass_recent():
            # what has become free since then goes to jobs ahead of this one
            del obstacles[FREE]
            return _choose_most_frequent(obstacles)
        return StandstillReason.NO_PASS

    def _is_pass_recent(self) -> bool:
        age_s = self.progress.pass_age_s
        return age_s is not None and age_s < PASS_OVERDUE_S


def _choose_most_frequent(obstacles: collections.Counter[str]) -> StandstillReason:
    if not obstacles:
        return StandstillReason.NO_WORKERS
    ((name, _),) = obstacles.most_common(1)
    return _REASONS.get(name, StandstillReason.OTHER)
