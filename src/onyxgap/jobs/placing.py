"""Chooses a worker for a task: bin packing under resource and placement constraints.

Tasks are packed: a worker that already runs tasks is preferred to an idle one, so that
whole VMs become free for other pools. Serving tasks with a target for their response
times are spread instead, since they suffer from the load of tasks beside them. So are
tasks that only fill free capacity and tasks that are suspected of crashing workers.
"""

import math
import typing as t

import attrs

from .amounts import NO_LIMIT
from .amounts import ZERO_AMOUNT
from .amounts import Amount
from .crashes import IsolationLevel
from .job import Task
from .lives import OrderedRun
from .messages import Step
from .messages import TaskId
from .messages import WorkerEntry
from .messages import WorkerState
from .workers import WorkerClock

StepKey = tuple[str, int, int]
"""Step key: job id, number of the occurrence and number of the step."""
Rank = tuple[bool, bool, int, bool, float, str]
"""Sort key of a worker for a task, unique by its last item; see :func:`rank_worker`."""


@attrs.frozen(slots=True)
class Lapse:
    """Loss of a run whose lease has expired.

    :param task: its task.
    :param young: whether the start of the run may have crashed the worker.
    """

    task: Task
    young: bool


@attrs.frozen(slots=True)
class RemovedLapses:
    """Lapses of a worker that was removed without proof that it had crashed.

    :param born: Unix milliseconds of the start of the worker, 0 if not known.
    :param lapses: the lapses.
    """

    born: int
    lapses: list[Lapse]


@attrs.define(slots=True, eq=False)
class WorkerRecord:
    """What the owner of a shard knows of a worker.

    :param entry: newest registration of the worker.
    :param registered: whether the registration is still in force.
    :param clock: estimate of the worker's clock, or ``None`` before the first reading.
    :param held: whether the worker has answered a hold request of the owner's epoch.
    :param lease_ms: latest lease deadline that was sent, on the worker's clock.
    :param former_lease_until: monotonic seconds until which a lease may last that a
        call for a former incarnation has granted.
    :param fenced_off: whether the worker has answered a call with the newest token, so
        that it rejects those for former incarnations.
    :param failing_since: monotonic seconds of the first failed call since the last
        answer, or ``None``.
    :param unanswered_since: monotonic seconds of the first call without an answer in
        time since the last answer, ``None`` without one or if it was refused.
    :param timed_out: whether the latest failed call was one without an answer in time.
    :param inconclusive: calls in a row without an answer that prove nothing about the
        worker.
    :param cpu_used: thousandths of a core of the runs that may be on the worker.
    :param memory_used: MB of these runs.
    :param accelerators_used: number of accelerators of these runs.
    :param serving: resources of the long-running ones of these runs.
    :param finite_runs: number of the other ones.
    :param present: number of these runs by step key.
    :param in_start_crash_window: tasks that may still crash the worker by their start.
    :param in_crash_window: tasks that may still be the cause of a crash of the worker.
    :param isolated: tasks beside which no task of another job is started.
    :param processed_sequence: sequence number of the newest ended run that was
        processed.
    :param acknowledged: sequence number of the newest ended run that is stored.
    :param unstored_jobs: jobs with ended runs that were processed and are not stored.
    :param slow_streak: number of times in a row that the worker was found slow.
    :param tasks_to_move: tasks to move, since the worker is slow or stalled.
    :param first_attempt_failures: first attempts of tasks that failed since the
        last success.
    :param failing_jobs: jobs of these tasks.
    :param blocked_until: monotonic seconds before which no task is placed there, since
        the worker has refused one.
    :param ejected_until: monotonic seconds before which no task is placed there, since
        the worker seems faulty or slow; see :mod:`.outliers`.
    :param undelivered_starts: start orders since the last one that reached the worker,
        those sent together counted as one.
    :param inconclusive_starts: start orders since the last one that reached the worker
        whose failure proves nothing about it.
    :param undelivered_until: monotonic seconds before which no task is placed there,
        since orders do not reach it; see :mod:`.deliveries`.
    :param takes_starts: whether start orders reach it, as far as known.
    :param readmitted: whether it is open all the same in this scheduling pass.
    :param probed_at: monotonic seconds of the last probe while it was ejected.
    :param capacity_valid_until: monotonic seconds until which the capacity told in the
        registration may be relied on.
    :param cordoned: whether the worker is to be drained.
    :param due: whether its VM is due for maintenance.
    :param reserved: whether its free capacity is kept for a serving or a suspected
        task in this scheduling pass.
    :param last_clock_ms: latest reading of the worker's clock in any of its answers.
    :param gone: whether this incarnation of the worker is known to have ended.
    :param born: Unix milliseconds of the start of the worker, 0 if not known.
    :param heard_at: monotonic seconds of the last registration or report of this
        incarnation.
    :param former_entry: last registration with an earlier start time, or ``None``.
    :param replaces_incarnation: whether this owner knew an earlier incarnation.
    :param answered_at: monotonic seconds when the last call that it answered was sent.
    :param missed_at: monotonic seconds when the first list of VMs that lacked it,
        although it answered, was requested.
    :param lapses: losses of runs whose lease has expired while it was silent.
    :param alive_at: monotonic seconds of the last sign that its process was running.
    :param unanswered_starts: monotonic seconds when it was known that a start order had
        got no answer, by its run.
    """

    entry: WorkerEntry
    registered: bool = True
    clock: WorkerClock | None = None
    held: bool = False
    lease_ms: float = 0.0
    former_lease_until: float = -math.inf
    fenced_off: bool = False
    failing_since: float | None = None
    unanswered_since: float | None = None
    timed_out: bool = False
    inconclusive: int = 0
    cpu_used: int = 0
    memory_used: int = 0
    accelerators_used: int = 0
    serving: Amount = ZERO_AMOUNT
    finite_runs: int = 0
    present: dict[StepKey, int] = attrs.field(factory=dict)
    in_start_crash_window: set[TaskId] = attrs.field(factory=set)
    in_crash_window: set[TaskId] = attrs.field(factory=set)
    isolated: set[TaskId] = attrs.field(factory=set)
    processed_sequence: int = 0
    acknowledged: int = 0
    unstored_jobs: set[str] = attrs.field(factory=set)
    slow_streak: int = 0
    tasks_to_move: list[Task] = attrs.field(factory=list)
    first_attempt_failures: int = 0
    failing_jobs: set[str] = attrs.field(factory=set)
    blocked_until: float = 0.0
    ejected_until: float = 0.0
    undelivered_starts: int = 0
    inconclusive_starts: int = 0
    undelivered_until: float = 0.0
    takes_starts: bool = True
    readmitted: bool = False
    probed_at: float = -math.inf
    capacity_valid_until: float = math.inf
    cordoned: bool = False
    due: bool = False
    reserved: bool = False
    last_clock_ms: float = 0.0
    gone: bool = False
    born: int = 0
    heard_at: float = 0.0
    former_entry: WorkerEntry | None = None
    replaces_incarnation: bool = False
    answered_at: float = -math.inf
    missed_at: float = math.inf
    lapses: list[Lapse] = attrs.field(factory=list)
    alive_at: float = -math.inf
    unanswered_starts: dict[OrderedRun, float] = attrs.field(factory=dict)

    def is_silent(self) -> bool:
        """Return whether the worker does not answer, or is no longer registered."""
        return self.failing_since is not None or not self.registered

    def is_usable(self, now: float) -> bool:
        """Return whether the worker is present, answers and is not to be drained.

        Refusals, ejections and reservations are left out.
        """
        return not self.cordoned and self.is_present(now)

    def is_present(self, now: float) -> bool:
        """Return whether the worker is present and answers, cordoned or not."""
        return (
            self.held
            and self.registered
            and not self.gone
            and self.failing_since is None
            and self.entry.state is WorkerState.READY
            and now < self.capacity_valid_until
        )

    def is_open(self, now: float) -> bool:
        """Return whether new tasks may be placed on the worker at all."""
        return not self.cordoned and self.takes_tasks(now)

    def takes_tasks(self, now: float) -> bool:
        """Return whether the worker takes new tasks, cordoned or not."""
        return (
            self.is_present(now)
            and not self.reserved
            and now >= self.blocked_until
            and not self.is_ejected(now)
        )

    def is_serving(self) -> bool:
        """Return whether runs that serve may be on the worker."""
        return self.serving != ZERO_AMOUNT

    def is_ejected(self, now: float) -> bool:
        """Return whether the worker gets no tasks since it is an outlier."""
        return now < self.get_ejection_end() and not self.readmitted

    def get_ejection_end(self) -> float:
        """Return the monotonic seconds until which the worker is an outlier."""
        return max(self.ejected_until, self.undelivered_until)

    def is_answering(self) -> bool:
        """Return whether the worker has answered the latest call, as far as known.

        A worker that cannot reach the store loses its registration, but may answer.
        """
        return self.held and self.failing_since is None

    def has_capacity(self, step: Step) -> bool:
        """Return whether the free capacity is enough for a task of a step."""
        entry = self.entry
        cpu = 0 if step.fills else step.cpu
        return (
            self.cpu_used + cpu <= entry.cpu
            and self.memory_used + step.memory_mb <= entry.memory_mb
            and self.accelerators_used + step.accelerators <= entry.accelerators
        )

    def reserve(self, step: Step, step_key: StepKey) -> None:
        """Reserve the resources of a run.

        :param step: step of the run.
        :param step_key: job, occurrence and number of the step.
        """
        amount = get_reserved_amount(step)
        self.cpu_used += amount.cpu
        self.memory_used += amount.memory_mb
        self.accelerators_used += amount.accelerators
        if step.long_running:
            self.serving += amount
        else:
            self.finite_runs += 1
        self.present[step_key] = self.present.get(step_key, 0) + 1

    def free(self, step: Step, step_key: StepKey) -> None:
        """Free the resources of a run; the reverse of :meth:`reserve`."""
        amount = get_reserved_amount(step)
        self.cpu_used -= amount.cpu
        self.memory_used -= amount.memory_mb
        self.accelerators_used -= amount.accelerators
        if step.long_running:
            self.serving -= amount
        else:
            self.finite_runs -= 1
        self.present[step_key] -= 1
        if not self.present[step_key]:
            del self.present[step_key]

    def note_start(self, task: TaskId, isolation: IsolationLevel) -> None:
        """Record the start of a run, which may crash the worker.

        :param task: the task.
        :param isolation: isolation that the task needs.
        """
        self.in_start_crash_window.add(task)
        self.in_crash_window.add(task)
        if isolation is not IsolationLevel.NONE:
            self.isolated.add(task)

    def end_start_crash_window(self, task: TaskId, isolation: IsolationLevel) -> None:
        """Record that the start of a run did not crash the worker."""
        self.in_start_crash_window.discard(task)
        if isolation is not IsolationLevel.FULL:
            self.isolated.discard(task)

    def end_crash_window(self, task: TaskId) -> None:
        """Record that a run has ended or can no longer be the cause of a crash."""
        self.in_start_crash_window.discard(task)
        self.in_crash_window.discard(task)
        self.isolated.discard(task)

    def meets_isolation(self, job_id: str, isolation: IsolationLevel) -> bool:
        """Return whether a task may share the worker with the runs that are there.

        :param job_id: job of the task.
        :param isolation: isolation that the task needs.
        """
        if any(task.job_id != job_id for task in self.isolated):
            return False
        if isolation is IsolationLevel.PARTIAL:
            return all(task.job_id == job_id for task in self.in_start_crash_window)
        if isolation is IsolationLevel.FULL:
            return all(task.job_id == job_id for task in self.in_crash_window)
        return True

    def count_present(self) -> int:
        """Return the number of runs that may be on the worker."""
        return sum(self.present.values())

    def get_rack(self) -> str:
        """Return the rack label, which is the last label, or an empty string."""
        return self.entry.labels[-1] if self.entry.labels else ""


def get_reserved_amount(step: Step) -> Amount:
    """Return the resources that a run of a step takes from its worker."""
    cpu = 0 if step.fills else step.cpu
    return Amount(cpu, step.memory_mb, step.accelerators)


def is_eligible(
    worker: WorkerRecord,
    step: Step,
    step_key: StepKey,
    now: float,
    isolation: IsolationLevel = IsolationLevel.NONE,
) -> bool:
    """Return whether a task may be placed on a worker now.

    :param worker: the worker.
    :param step: step of the task.
    :param step_key: job, occurrence and number of the step.
    :param now: monotonic seconds.
    :param isolation: isolation that the task needs.
    """
    # free capacity is checked first: with a long queue most workers have none
    return (
        worker.has_capacity(step)
        and worker.is_open(now)
        and worker.meets_isolation(step_key[0], isolation)
        and is_allowed(worker, step, step_key)
    )


def count_places(worker: WorkerRecord, step: Step, used: Amount, present: int) -> int:
    """Count the tasks of a step that a worker could take in addition.

    :param worker: the worker.
    :param step: the step.
    :param used: resources of the tasks that are to stay there.
    :param present: number of tasks of the step among these.
    """
    if step.requires and step.requires not in worker.entry.labels:
        return 0
    places = (step.anti_affinity or NO_LIMIT) - present
    if places <= 0:
        return 0
    # called for each worker and each serving step that waits: no objects are created
    entry = worker.entry
    if step.cpu and not step.fills:
        places = min(places, (entry.cpu - used.cpu) // step.cpu)
    if step.memory_mb:
        places = min(places, (entry.memory_mb - used.memory_mb) // step.memory_mb)
    if step.accelerators:
        free = entry.accelerators - used.accelerators
        places = min(places, free // step.accelerators)
    return max(0, places)


def may_ever_run(worker: WorkerRecord, step: Step, step_key: StepKey) -> bool:
    """Return whether a task fits on a worker once the finite tasks there have ended.

    Serving tasks stay until their jobs are cancelled.

    :param worker: the worker.
    :param step: step of the task.
    :param step_key: job, occurrence and number of the step.
    """
    present = worker.present.get(step_key, 0)
    return (
        worker.held
        and worker.registered
        and not worker.cordoned
        and worker.entry.state is WorkerState.READY
        and count_places(worker, step, worker.serving, present) > 0
    )


def is_allowed(worker: WorkerRecord, step: Step, step_key: StepKey) -> bool:
    """Return whether the placement constraints of a step allow a worker.

    :param worker: the worker.
    :param step: the step.
    :param step_key: job, occurrence and number of the step.
    """
    if step.requires and step.requires not in worker.entry.labels:
        return False
    return (
        not step.anti_affinity or worker.present.get(step_key, 0) < step.anti_affinity
    )


def rank_worker(
    worker: WorkerRecord,
    step: Step,
    avoid: t.Collection[str],
    isolation: IsolationLevel = IsolationLevel.NONE,
) -> Rank:
    """Return the rank of an eligible worker; the lowest rank is chosen.

    :param worker: the worker.
    :param step: step of the task.
    :param avoid: ids of the workers on which the task has failed.
    :param isolation: isolation that the task needs.
    """
    entry = worker.entry
    misses_affinity = bool(step.affinity) and step.affinity not in entry.labels
    load = worker.cpu_used / entry.cpu if entry.cpu else 0.0
    # a suspected task is placed where the fewest runs would be lost in a crash
    spreads = step.target_ms or step.fills or isolation is not IsolationLevel.NONE
    load_order = load if spreads else -load
    # a serving task would have to be moved before the maintenance of the VM
    due = step.long_running and worker.due
    return (
        entry.worker_id in avoid,
        misses_affinity,
        worker.first_attempt_failures,
        due,
        load_order,
        entry.worker_id,
    )


def choose_worker(
    workers: t.Iterable[WorkerRecord],
    step: Step,
    step_key: StepKey,
    now: float,
    avoid: t.Collection[str] = (),
    isolation: IsolationLevel = IsolationLevel.NONE,
) -> WorkerRecord | None:
    """Choose the best worker for a task.

    :param workers: workers of the shard.
    :param step: step of the task.
    :param step_key: job, occurrence and number of the step.
    :param now: monotonic seconds.
    :param avoid: ids of the workers on which the task has failed.
    :param isolation: isolation that the task needs.
    :returns: the worker, or ``None`` if no worker is eligible.
    """
    eligible = [
        worker
        for worker in workers
        if is_eligible(worker, step, step_key, now, isolation)
    ]
    if not eligible:
        return None
    return min(eligible, key=lambda worker: rank_worker(worker, step, avoid, isolation))
