"""Chooses a worker for a task; answers a load of tasks that compete for room.

Tasks are packed: a worker that already runs something is taken before an idle
one, so that whole VMs come free for other pools. Serving tasks with a target for
their response times are the exception, they suffer from what runs beside them.
"""

import math
import typing as t

import attrs

from .crashes import Care
from .job import Task
from .messages import Step
from .messages import TaskId
from .messages import WorkerEntry
from .messages import WorkerState
from .workers import WorkerClock

Group = tuple[str, int, int]
"""Job, occurrence and number of a step."""
Rank = tuple[bool, bool, int, bool, float, str]
"""Sort key of a worker for a task, unique by its last item; see :func:`rank_worker`."""


@attrs.define(slots=True, eq=False)
class WorkerRecord:
    """What the owner of a shard knows of a worker.

    :param entry: its newest registration.
    :param registered: whether the registration still stands.
    :param clock: its clock, or ``None`` before the first report.
    :param held: whether it answered a hold under the owner's epoch.
    :param lease_ms: latest end of a lease that was sent, on its clock.
    :param failing_since: monotonic seconds of the first call that failed since
        the last answer, or ``None``.
    :param cpu_used: thousandths of a core of the runs that may be there.
    :param memory_used: MB of them.
    :param accelerators_used: accelerators of them.
    :param ending: how many of these runs end by themselves.
    :param present: number of runs that may be there, by step of a job.
    :param unproved: tasks that may yet turn out to crash it at their start.
    :param unsettled: tasks that may yet turn out to crash it at all.
    :param isolated: tasks beside which nothing of another job is started.
    :param seen: sequence of the newest end that was taken in.
    :param acknowledged: sequence of the newest end that is stored.
    :param findings: times in a row that it was found slow.
    :param leaving: tasks to be moved, since the worker is slow or stands still.
    :param strikes: first failures of tasks there since the last success.
    :param blocked_until: monotonic seconds before which nothing is placed there.
    :param room_until: monotonic seconds until which its capacity may be relied on.
    :param cordoned: whether it is to be emptied.
    :param due: whether its VM is due for maintenance.
    :param reserved: whether its room is kept for a serving task in this plan.
    :param heard_ms: latest reading of its clock that it told in any answer.
    :param gone: whether this life of the worker is known to be over.
    :param born: Unix milliseconds of its start, 0 until it was told.
    """

    entry: WorkerEntry
    registered: bool = True
    clock: WorkerClock | None = None
    held: bool = False
    lease_ms: float = 0.0
    failing_since: float | None = None
    cpu_used: int = 0
    memory_used: int = 0
    accelerators_used: int = 0
    ending: int = 0
    present: dict[Group, int] = attrs.field(factory=dict)
    unproved: set[TaskId] = attrs.field(factory=set)
    unsettled: set[TaskId] = attrs.field(factory=set)
    isolated: set[TaskId] = attrs.field(factory=set)
    seen: int = 0
    acknowledged: int = 0
    findings: int = 0
    leaving: list[Task] = attrs.field(factory=list)
    strikes: int = 0
    blocked_until: float = 0.0
    room_until: float = math.inf
    cordoned: bool = False
    due: bool = False
    reserved: bool = False
    heard_ms: float = 0.0
    gone: bool = False
    born: int = 0

    def is_open(self, now: float) -> bool:
        """Tell whether new tasks may be placed there at all."""
        return (
            self.held
            and self.registered
            and not self.cordoned
            and not self.reserved
            and not self.gone
            and self.failing_since is None
            and self.entry.state is WorkerState.READY
            and self.blocked_until <= now < self.room_until
        )

    def has_room(self, step: Step) -> bool:
        """Tell whether a task of a step fits beside what is there."""
        entry = self.entry
        cpu = 0 if step.fills else step.cpu
        return (
            self.cpu_used + cpu <= entry.cpu
            and self.memory_used + step.memory_mb <= entry.memory_mb
            and self.accelerators_used + step.accelerators <= entry.accelerators
        )

    def reserve(self, step: Step, group: Group) -> None:
        """Count a run as present.

        :param step: its step.
        :param group: job, occurrence and number of the step.
        """
        self.cpu_used += 0 if step.fills else step.cpu
        self.memory_used += step.memory_mb
        self.accelerators_used += step.accelerators
        self.ending += not step.long_running
        self.present[group] = self.present.get(group, 0) + 1

    def free(self, step: Step, group: Group) -> None:
        """Count a run as gone; the reverse of :meth:`reserve`."""
        self.cpu_used -= 0 if step.fills else step.cpu
        self.memory_used -= step.memory_mb
        self.accelerators_used -= step.accelerators
        self.ending -= not step.long_running
        self.present[group] -= 1
        if not self.present[group]:
            del self.present[group]

    def note_start(self, task: TaskId, care: Care) -> None:
        """Note a run that has yet to prove that it does not crash the worker.

        :param task: the task.
        :param care: what it may share the worker with.
        """
        self.unproved.add(task)
        self.unsettled.add(task)
        if care is not Care.NONE:
            self.isolated.add(task)

    def prove(self, task: TaskId, care: Care) -> None:
        """Note that a run did not crash the worker at its start."""
        self.unproved.discard(task)
        if care is not Care.ALONE:
            self.isolated.discard(task)

    def settle(self, task: TaskId) -> None:
        """Note that a run is gone, or no cause of a crash any more."""
        self.unproved.discard(task)
        self.unsettled.discard(task)
        self.isolated.discard(task)

    def admits(self, job_id: str, care: Care) -> bool:
        """Tell whether a task may be started beside what is there.

        :param job_id: its job.
        :param care: what it may share its worker with.
        """
        if any(task.job_id != job_id for task in self.isolated):
            return False
        if care is Care.APART:
            return all(task.job_id == job_id for task in self.unproved)
        if care is Care.ALONE:
            return all(task.job_id == job_id for task in self.unsettled)
        return True

    def count_present(self) -> int:
        """Count the runs that may be there."""
        return sum(self.present.values())

    def get_rack(self) -> str:
        """Give the label of the rack, the last of the labels."""
        return self.entry.labels[-1] if self.entry.labels else ""


def is_eligible(
    worker: WorkerRecord, step: Step, group: Group, now: float, care: Care = Care.NONE
) -> bool:
    """Tell whether a task may be placed on a worker now.

    :param worker: the worker.
    :param step: the task's step.
    :param group: job, occurrence and number of the step.
    :param now: monotonic seconds.
    :param care: what it may share the worker with.
    """
    # room comes first: in a long queue it is what most workers lack
    return (
        worker.has_room(step)
        and worker.is_open(now)
        and worker.admits(group[0], care)
        and _is_allowed(worker, step, group)
    )


def may_ever_run(worker: WorkerRecord, step: Step, group: Group) -> bool:
    """Tell whether a task could run on a worker once other tasks have ended.

    :param worker: the worker.
    :param step: the task's step.
    :param group: job, occurrence and number of the step.
    """
    entry = worker.entry
    return (
        worker.held
        and worker.registered
        and not worker.cordoned
        and entry.state is WorkerState.READY
        and step.cpu <= entry.cpu
        and step.memory_mb <= entry.memory_mb
        and step.accelerators <= entry.accelerators
        and _is_allowed(worker, step, group)
    )


def _is_allowed(worker: WorkerRecord, step: Step, group: Group) -> bool:
    if step.requires and step.requires not in worker.entry.labels:
        return False
    return not step.anti_affinity or worker.present.get(group, 0) < step.anti_affinity


def rank_worker(
    worker: WorkerRecord,
    step: Step,
    avoid: t.Collection[str],
    care: Care = Care.NONE,
) -> Rank:
    """Rank an eligible worker; the lowest rank is taken.

    :param worker: the worker.
    :param step: the task's step.
    :param avoid: workers on which the task failed before.
    :param care: what it may share the worker with.
    """
    entry = worker.entry
    far = bool(step.affinity) and step.affinity not in entry.labels
    load = worker.cpu_used / entry.cpu if entry.cpu else 0.0
    # a suspect goes where a crash costs least
    spreads = step.target_ms or step.fills or care is not Care.NONE
    spread = load if spreads else -load
    # a serving task would have to leave a worker that is due
    due = step.long_running and worker.due
    return (entry.worker_id in avoid, far, worker.strikes, due, spread, entry.worker_id)


def choose_worker(
    workers: t.Iterable[WorkerRecord],
    step: Step,
    group: Group,
    now: float,
    avoid: t.Collection[str] = (),
    care: Care = Care.NONE,
) -> WorkerRecord | None:
    """Choose a worker for a task, or ``None`` when none has room.

    :param workers: the shard's workers.
    :param step: the task's step.
    :param group: job, occurrence and number of the step.
    :param now: monotonic seconds.
    :param avoid: workers on which the task failed before.
    :param care: what it may share its worker with.
    """
    eligible = [
        worker for worker in workers if is_eligible(worker, step, group, now, care)
    ]
    if not eligible:
        return None
    return min(eligible, key=lambda worker: rank_worker(worker, step, avoid, care))
