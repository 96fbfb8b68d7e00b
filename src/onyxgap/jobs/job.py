"""State of a job at its owner: occurrences, tasks and runs."""

import enum
import typing as t

import attrs

from .crashes import NO_LOSSES
from .crashes import LossHistory
from .messages import EndedTask
from .messages import EndKind
from .messages import JobState
from .messages import Step
from .messages import Submission
from .messages import TaskId
from .progress import Progress
from .submissions import MAX_OPEN_TASKS


class TaskPhase(enum.IntEnum):
    """Phase of a task; the numbers are part of the stored format."""

    WAITING = 0
    DONE = 1
    STARTING = 2
    RUNNING = 3


@attrs.define(slots=True)
class Task:
    """A task and its current run.

    :param task_id: id of the task.
    :param phase: phase of the task.
    :param run: number of the newest run, 0 before the first.
    :param worker_id: worker of the current run, or empty.
    :param failures: number of runs that ended as failed.
    :param checkpoint: newest checkpoint, or empty.
    :param percent: share of the work that is done according to the last report.
    :param measurement: measurement of the last report; see
        :class:`~onyxgap.jobs.messages.RunningTask`.
    :param started_at: monotonic seconds when the start order was placed or sent, 0 for
        an order of a previous owner or to a previous incarnation of the worker.
    :param sent: whether the start order was sent; it is stored before that.
    :param start_deadline_ms: deadline of the start order, on the worker's clock.
    :param confirmed_at: monotonic seconds when the run was first known to be on its
        worker, or ``None``.
    :param confirmed_ms: the worker's clock at that time, or ``None`` if not known.
    :param listed_ms: milliseconds on that clock from the confirmation to the newest
        report that listed the run.
    :param listed_by: start time of the worker's incarnation that listed the run, Unix
        milliseconds, 0 if none did or its start time is not known.
    :param stopping: whether the run is to be stopped.
    :param stop_sent_at: monotonic seconds when the stop order was last sent.
    :param failed_on: ids of the workers on which the task failed, newest last.
    :param not_before: monotonic seconds before which the task is not tried again.
    :param retry_elsewhere_until: monotonic seconds before which the task waits for a
        worker on which it has not failed.
    :param pace: percent of full speed that the run was last told to keep.
    :param progress: progress of the current run according to the reports.
    :param start_ruled_out_at: for a run that a previous incarnation of its worker was
        ordered to start: monotonic seconds when the present incarnation confirmed that
        it will not start the run, or infinity before. ``None`` for any other run.
    :param moves: number of times that the task was moved off a stalled worker.
    :param loss_history: runs of the task that were lost with their workers.
    """

    task_id: TaskId
    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    worker_id: str = ""
    failures: int = 0
    checkpoint: str = ""
    percent: int = 0
    measurement: float = 0.0
    started_at: float = 0.0
    sent: bool = False
    start_deadline_ms: float = 0.0
    confirmed_at: float | None = None
    confirmed_ms: float | None = None
    listed_ms: float = 0.0
    listed_by: int = 0
    stopping: bool = False
    stop_sent_at: float = -1e9
    failed_on: tuple[str, ...] = ()
    not_before: float = 0.0
    retry_elsewhere_until: float = 0.0
    pace: int = 100
    progress: Progress | None = None
    moves: int = 0
    start_ruled_out_at: float | None = None
    loss_history: LossHistory = NO_LOSSES

    @property
    def placed(self) -> bool:
        """Whether a run of the task may be on a worker."""
        return self.phase in (TaskPhase.STARTING, TaskPhase.RUNNING)

    def place(self, worker_id: str, now: float, deadline_ms: float, run: int) -> None:
        """Record that a run is to be started on a worker.

        :param worker_id: id of the worker.
        :param now: monotonic seconds.
        :param deadline_ms: deadline of the start order, on the worker's clock.
        :param run: number of the run.
        """
        self.phase = TaskPhase.STARTING
        self.run = run
        self.worker_id = worker_id
        self.started_at = now
        self.sent = False
        self.start_deadline_ms = deadline_ms
        self.confirmed_at = None
        self.confirmed_ms = None
        self.listed_ms = 0.0
        self.listed_by = 0
        self.percent = 0
        self.measurement = 0.0
        self.stopping = False
        self.stop_sent_at = -1e9
        self.pace = 100
        self.progress = None

    def confirm(self, now: float, clock_ms: float | None) -> None:
        """Record that the run is on its worker.

        :param now: monotonic seconds.
        :param clock_ms: milliseconds on the worker's clock, if known.
        """
        if self.phase is TaskPhase.STARTING:
            self.phase = TaskPhase.RUNNING
        if self.confirmed_at is None:
            self.confirmed_at = now
        if self.confirmed_ms is None:
            self.confirmed_ms = clock_ms

    def note_listed(self, now: float, clock_ms: float, born: int = 0) -> None:
        """Record that a report lists the run.

        :param now: monotonic seconds.
        :param clock_ms: milliseconds on the worker's clock at the time of the report.
        :param born: start time in the report, Unix milliseconds, 0 if it has none.
        """
        self.listed_by = born
        self.confirm(now, clock_ms)
        assert self.confirmed_ms is not None
        self.listed_ms = max(self.listed_ms, clock_ms - self.confirmed_ms)

    def get_survived_ms(self, last_clock_ms: float) -> float:
        """Return for how long the run is known not to have crashed its worker.

        :param last_clock_ms: latest known reading of the worker's clock.
        :returns: milliseconds.
        """
        if self.confirmed_ms is None:
            return self.listed_ms
        return max(self.listed_ms, last_clock_ms - self.confirmed_ms)

    def waits_for_another_worker(self, worker_id: str, now: float) -> bool:
        """Return whether the task failed too recently to be tried again on a worker.

        :param worker_id: id of the worker.
        :param now: monotonic seconds.
        """
        return now < self.retry_elsewhere_until and worker_id in self.failed_on

    def release(self) -> None:
        """Record that no run of the task is on a worker any more."""
        self.phase = TaskPhase.WAITING
        self.worker_id = ""
        self.stopping = False
        self.start_ruled_out_at = None
        self.percent = 0


@attrs.define(slots=True)
class Occurrence:
    """One execution of all steps of a job.

    :param number: number of the occurrence, from 0.
    :param steps: tasks by step.
    :param remaining: number of tasks that are not done, by step.
    """

    number: int
    steps: list[list[Task]]
    remaining: list[int]

    @property
    def done(self) -> bool:
        """Whether all tasks are done."""
        return not any(self.remaining)


def build_occurrence(submission: Submission, number: int) -> Occurrence:
    """Build an occurrence whose tasks have not started.

    :param submission: submission of the job.
    :param number: number of the occurrence.
    """
    steps = [
        [
            Task(TaskId(submission.job_id, number, step_number, position))
            for position in range(step.count)
        ]
        for step_number, step in enumerate(submission.steps)
    ]
    return Occurrence(number, steps, [step.count for step in submission.steps])


@attrs.define(slots=True)
class Job:
    """A job with its progress.

    :param submission: the job as submitted.
    :param version: version of the submission's row.
    :param progress_parts: number of rows beside the first one in which its progress is
        stored.
    :param state: current state, which may not be stored yet.
    :param stored_state: state in the store, or ``None`` if none is stored yet.
    :param occurrences: open occurrences by number.
    :param finished: number of finished occurrences.
    :param next_occurrence: number of the next occurrence to open.
    :param started: whether a worker has confirmed, listed or ended a run of any of its
        tasks. An order that is only placed or sent may never reach its worker.
    :param accepted_at: monotonic seconds of the acceptance, by the owner's clock.
    :param active_at: monotonic seconds of the last report that listed a run of the job.
    :param ran_at: monotonic seconds when a run of the job was last known to be on its
        worker, or to have come to its end there.
    :param placed_at: monotonic seconds when this owner placed the first task of the
        job, or ``None``.
    :param beyond: whether the tenant was over its rate when the job was accepted.
    :param capped_at: monotonic seconds since when a step of the job waits for its
        tenant's cap, or ``None``.
    :param critical_path_ms: estimated run time of the critical path.
    :param remaining_path_ms: estimated run time of the critical path from the start of
        each step to the end of the job.
    """

    submission: Submission
    version: int = attrs.field(default=0, kw_only=True)
    progress_parts: int = attrs.field(default=0, kw_only=True)
    state: JobState = JobState.QUEUED
    stored_state: JobState | None = None
    occurrences: dict[int, Occurrence] = attrs.field(factory=dict)
    finished: int = 0
    next_occurrence: int = 0
    started: bool = False
    accepted_at: float = 0.0
    active_at: float = 0.0
    ran_at: float = 0.0
    placed_at: float | None = None
    beyond: bool = False
    capped_at: float | None = None
    critical_path_ms: float = 0.0
    remaining_path_ms: tuple[float, ...] = ()

    def __attrs_post_init__(self) -> None:
        self.remaining_path_ms = estimate_remaining_paths(self.submission.steps)
        self.critical_path_ms = max(self.remaining_path_ms, default=0.0)

    @property
    def total_occurrences(self) -> int:
        """Total number of occurrences."""
        return max(1, self.submission.times)

    def find_task(self, task_id: TaskId) -> Task | None:
        """Return a task of an open occurrence, or ``None`` if there is none."""
        occurrence = self.occurrences.get(task_id.occurrence)
        if occurrence is None:
            return None
        try:
            return occurrence.steps[task_id.step][task_id.position]
        except IndexError:
            return None

    def get_step(self, task: Task) -> Step:
        """Return the step of a task."""
        return self.submission.steps[task.task_id.step]

    def list_step_tasks(self, task: Task) -> list[Task]:
        """Return all tasks of the step of a task, including the task itself."""
        return self.occurrences[task.task_id.occurrence].steps[task.task_id.step]

    def list_placed(self) -> t.Iterator[Task]:
        """Yield the tasks of which a run may be on a worker."""
        for occurrence in self.occurrences.values():
            for tasks in occurrence.steps:
                for task in tasks:
                    if task.placed:
                        yield task

    def may_open(self) -> bool:
        """Return whether an occurrence is left and the stored progress has room for it.

        Occurrences that last until the job is cancelled always have room, since
        :func:`~onyxgap.jobs.submissions.check_submission` bounds their number.
        """
        if self.next_occurrence >= self.total_occurrences:
            return False
        steps = self.submission.steps
        if not self.occurrences or any(step.long_running for step in steps):
            return True
        tasks = sum(step.count for step in steps)
        return (len(self.occurrences) + 1) * tasks <= MAX_OPEN_TASKS

    def open_due_occurrences(self, wall_ms: float) -> bool:
        """Open the occurrences that are due and have room.

        :param wall_ms: Unix milliseconds.
        :returns: whether any occurrence was opened.
        """
        opened = False
        while self.may_open():
            if self.submission.times and wall_ms < self.get_due_ms():
                break
            number = self.next_occurrence
            self.occurrences[number] = build_occurrence(self.submission, number)
            self.next_occurrence += 1
            opened = True
        return opened

    def get_due_ms(self) -> float:
        """Return the due time of the next occurrence, in Unix milliseconds."""
        submission = self.submission
        return submission.start_at_ms + self.next_occurrence * submission.interval_ms

    def list_ready(self) -> t.Iterator[tuple[Occurrence, int]]:
        """Yield occurrence and step number of each unfinished step that may start."""
        for occurrence in self.occurrences.values():
            for number, step in enumerate(self.submission.steps):
                if not occurrence.remaining[number]:
                    continue
                if any(occurrence.remaining[earlier] for earlier in step.after):
                    continue
                yield occurrence, number

    def apply_end(self, task: Task, end: EndedTask) -> None:
        """Record how the current run of a task ended.

        :param task: the task.
        :param end: the report of the end.
        """
        self.started = True
        step = self.get_step(task)
        if end.checkpoint and step.checkpointing:
            task.checkpoint = end.checkpoint
        if end.kind is EndKind.DONE and not step.long_running:
            if step.gang:
                self._finish_gang(task)
            else:
                self._finish(task)
            return
        if end.kind is EndKind.FAILED:
            task.failures += 1
            task.failed_on = (*task.failed_on, task.worker_id)[-4:]
        task.release()
        exhausted = task.failures >= self.submission.policy.max_attempts
        if exhausted and not step.long_running:
            self.state = JobState.FAILED

    def _finish(self, task: Task) -> None:
        if task.phase is TaskPhase.DONE:
            return
        task.release()
        task.phase = TaskPhase.DONE
        occurrence = self.occurrences[task.task_id.occurrence]
        occurrence.remaining[task.task_id.step] -= 1
        if occurrence.done:
            del self.occurrences[occurrence.number]
            self.finished += 1
        if self.finished == self.total_occurrences:
            self.state = JobState.SUCCEEDED

    def _finish_gang(self, task: Task) -> None:
        occurrence = self.occurrences[task.task_id.occurrence]
        for member in occurrence.steps[task.task_id.step]:
            self._finish(member)


def estimate_remaining_paths(steps: t.Sequence[Step]) -> tuple[float, ...]:
    """Estimate the critical path from the start of each step to the end of the job.

    :param steps: steps in topological order: each depends only on earlier ones.
    :returns: milliseconds by step.
    """
    paths = [float(step.estimate_ms) for step in steps]
    for number in range(len(steps) - 1, -1, -1):
        for earlier in steps[number].after:
            own = float(steps[earlier].estimate_ms)
            paths[earlier] = max(paths[earlier], own + paths[number])
    return tuple(paths)
