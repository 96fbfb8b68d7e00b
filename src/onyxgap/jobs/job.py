"""A job as its owner sees it: occurrences, tasks and runs."""

import enum
import typing as t

import attrs

from .crashes import NO_SUSPICION
from .crashes import Suspicion
from .messages import EndedTask
from .messages import EndKind
from .messages import JobState
from .messages import Step
from .messages import Submission
from .messages import TaskId
from .progress import Progress


class TaskPhase(enum.IntEnum):
    """Phase of a task; the numbers are those of the stored form."""

    WAITING = 0
    DONE = 1
    STARTING = 2
    RUNNING = 3


@attrs.define(slots=True)
class Task:
    """A task and its current run.

    :param task_id: its identity.
    :param phase: where it stands.
    :param run: number of the newest run, 0 before the first.
    :param worker_id: worker of the current run, or empty.
    :param failures: runs that ended as failed.
    :param checkpoint: newest checkpoint, or empty.
    :param percent: share of the work done as last reported.
    :param figure: figure of the last report; see :class:`RunningTask`.
    :param started_at: monotonic seconds of the order to start.
    :param sent: whether the order to start was sent; it is stored before.
    :param start_deadline_ms: deadline of the order, on the worker's clock.
    :param confirmed_at: monotonic seconds when the run was known to be there.
    :param confirmed_ms: the worker's clock then, ``None`` where it was not told.
    :param listed_ms: how much later on that clock a report last listed the run.
    :param stopping: whether an order to stop stands.
    :param stop_sent_at: monotonic seconds when it was last sent.
    :param failed_on: workers on which it failed, newest last.
    :param not_before: monotonic seconds before which it is not tried again.
    :param pace: percent of its speed that it was last told to keep.
    :param progress: progress of the current run as reported.
    :param barred_at: monotonic seconds when the present life of its worker said that it
        will not start the run, which was ordered from a former one; infinite before,
        ``None`` for any other run.
    :param moves: times that it was taken off a worker that stood still.
    :param suspicion: what crashes of its workers tell of it.
    """

    task_id: TaskId
    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    worker_id: str = ""
    failures: int = 0
    checkpoint: str = ""
    percent: int = 0
    figure: float = 0.0
    started_at: float = 0.0
    sent: bool = False
    start_deadline_ms: float = 0.0
    confirmed_at: float | None = None
    confirmed_ms: float | None = None
    listed_ms: float = 0.0
    stopping: bool = False
    stop_sent_at: float = -1e9
    failed_on: tuple[str, ...] = ()
    not_before: float = 0.0
    pace: int = 100
    progress: Progress | None = None
    moves: int = 0
    barred_at: float | None = None
    suspicion: Suspicion = NO_SUSPICION

    @property
    def placed(self) -> bool:
        """Whether a run may be on a worker."""
        return self.phase in (TaskPhase.STARTING, TaskPhase.RUNNING)

    def place(self, worker_id: str, now: float, deadline_ms: float, run: int) -> None:
        """Record the intent to start a run.

        :param worker_id: the worker.
        :param now: monotonic seconds.
        :param deadline_ms: deadline of the start on the worker's clock.
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
        self.percent = 0
        self.figure = 0.0
        self.stopping = False
        self.stop_sent_at = -1e9
        self.pace = 100
        self.progress = None

    def confirm(self, now: float, clock_ms: float | None) -> None:
        """Record that the run is on its worker.

        :param now: monotonic seconds.
        :param clock_ms: the worker's clock, if it told.
        """
        if self.phase is TaskPhase.STARTING:
            self.phase = TaskPhase.RUNNING
        if self.confirmed_at is None:
            self.confirmed_at = now
        if self.confirmed_ms is None:
            self.confirmed_ms = clock_ms

    def list_again(self, now: float, clock_ms: float) -> None:
        """Record that a report lists the run.

        :param now: monotonic seconds.
        :param clock_ms: the worker's clock when it wrote the report.
        """
        self.confirm(now, clock_ms)
        assert self.confirmed_ms is not None
        self.listed_ms = max(self.listed_ms, clock_ms - self.confirmed_ms)

    def measure_stand_ms(self, heard_ms: float) -> float:
        """Measure for how long the run surely did not crash its worker.

        :param heard_ms: latest reading of the worker's clock.
        """
        if self.confirmed_ms is None:
            return self.listed_ms
        return max(self.listed_ms, heard_ms - self.confirmed_ms)

    def release(self) -> None:
        """Record that no run is on a worker any more."""
        self.phase = TaskPhase.WAITING
        self.worker_id = ""
        self.stopping = False
        self.barred_at = None
        self.percent = 0


@attrs.define(slots=True)
class Occurrence:
    """One run through the steps of a job.

    :param number: counted from 0.
    :param steps: tasks by step.
    :param remaining: tasks not done, by step.
    """

    number: int
    steps: list[list[Task]]
    remaining: list[int]

    @property
    def done(self) -> bool:
        """Whether each task has ended as done."""
        return not any(self.remaining)


def build_occurrence(submission: Submission, number: int) -> Occurrence:
    """Build an occurrence of which nothing has started.

    :param submission: the job.
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

    :param submission: what the caller asked for.
    :param state: its state, not yet stored perhaps.
    :param stored_state: its state as the store has it.
    :param occurrences: those that are open, by number.
    :param finished: occurrences that are done, below :attr:`next_occurrence`.
    :param next_occurrence: number of the next one to open.
    :param started: whether a worker has confirmed, listed or ended a run of any of its
        tasks; a placed or sent order may never reach its worker.
    :param seen_at: monotonic seconds when the owner learned of the job.
    :param placed_at: monotonic seconds when its first task was placed by this owner,
        ``None`` before.
    :param beyond: whether its tenant had handed in more than its rate just then.
    :param capped_at: monotonic seconds since when a step waits for its tenant's cap,
        ``None`` where none does.
    :param chain_ms: longest chain of estimated run times.
    """

    submission: Submission
    state: JobState = JobState.QUEUED
    stored_state: JobState | None = None
    occurrences: dict[int, Occurrence] = attrs.field(factory=dict)
    finished: int = 0
    next_occurrence: int = 0
    started: bool = False
    seen_at: float = 0.0
    placed_at: float | None = None
    beyond: bool = False
    capped_at: float | None = None
    chain_ms: float = 0.0
    tails_ms: tuple[float, ...] = ()

    def __attrs_post_init__(self) -> None:
        self.tails_ms = measure_tails(self.submission.steps)
        self.chain_ms = max(self.tails_ms, default=0.0)

    @property
    def wanted_occurrences(self) -> int:
        """How often the steps run in all."""
        return max(1, self.submission.times)

    def find_task(self, task_id: TaskId) -> Task | None:
        """Find a task of an open occurrence."""
        occurrence = self.occurrences.get(task_id.occurrence)
        if occurrence is None:
            return None
        try:
            return occurrence.steps[task_id.step][task_id.position]
        except IndexError:
            return None

    def get_step(self, task: Task) -> Step:
        """Give the step of a task."""
        return self.submission.steps[task.task_id.step]

    def list_siblings(self, task: Task) -> list[Task]:
        """List the tasks of a task's step, itself among them."""
        return self.occurrences[task.task_id.occurrence].steps[task.task_id.step]

    def list_placed(self) -> t.Iterator[Task]:
        """Yield the tasks that may be on a worker."""
        for occurrence in self.occurrences.values():
            for tasks in occurrence.steps:
                for task in tasks:
                    if task.placed:
                        yield task

    def open_due(self, wall_ms: float) -> bool:
        """Open each occurrence whose time has come.

        :param wall_ms: wall-clock milliseconds since 1970.
        :returns: whether any was opened.
        """
        opened = False
        while self.next_occurrence < self.wanted_occurrences:
            if self.submission.times and wall_ms < self.get_due_ms():
                break
            number = self.next_occurrence
            self.occurrences[number] = build_occurrence(self.submission, number)
            self.next_occurrence += 1
            opened = True
        return opened

    def get_due_ms(self) -> float:
        """Give the due time of the next occurrence, in ms since 1970."""
        submission = self.submission
        return submission.start_at_ms + self.next_occurrence * submission.interval_ms

    def list_ready(self) -> t.Iterator[tuple[Occurrence, int]]:
        """Yield occurrence and step wherever tasks may start."""
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
        :param end: the end of its current run.
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
        if self.finished == self.wanted_occurrences:
            self.state = JobState.SUCCEEDED

    def _finish_gang(self, task: Task) -> None:
        occurrence = self.occurrences[task.task_id.occurrence]
        for member in occurrence.steps[task.task_id.step]:
            self._finish(member)


def measure_tails(steps: t.Sequence[Step]) -> tuple[float, ...]:
    """Estimate the chain of run times from each step to the end of the job.

    :param steps: the steps; each comes after earlier ones only.
    :returns: milliseconds by step.
    """
    tails = [float(step.estimate_ms) for step in steps]
    for number in range(len(steps) - 1, -1, -1):
        for earlier in steps[number].after:
            own = float(steps[earlier].estimate_ms)
            tails[earlier] = max(tails[earlier], own + tails[number])
    return tuple(tails)
