"""Places tasks on a pool's workers: urgent first, by preemption if need be."""

import collections
import typing as t

import attrs

from .. import defaults
from ..manifest import Priority
from ..manifest import Task
from ..manifest import Team
from ..ports import ListedTask
from ..ports import StartTask
from ..ports import TaskStatus
from ..shared import events as ev
from ..shared.records import Attempt
from ..shared.records import TaskHistory
from ..shared.records import VmState
from ..shared.state import FleetState
from .diagnosis import find_unrunnable
from .learning import Size
from .learning import estimate_size
from .messages import Finding
from .messages import Step
from .messages import StopOrder

LEAVING_STATES = (VmState.DRAINING, VmState.QUARANTINED)
_ENDED = {
    TaskStatus.DONE: "done",
    TaskStatus.FAILED: "failed",
    TaskStatus.STOPPED: "stopped",
    TaskStatus.LOST: "lost",
}


@attrs.define(slots=True)
class Worker:
    """Room on one VM.

    :param cores: free cores.
    :param memory_gb: free memory.
    :param attempts: what runs there.
    """

    vm: str
    zone: str
    rack: str
    cores: float
    memory_gb: float
    attempts: list[Attempt] = attrs.field(factory=list)

    def fits(self, size: Size) -> bool:
        """Tell whether there is room.

        :param size: what is needed.
        """
        return self.cores >= size.cores and self.memory_gb >= size.memory_gb

    def change(self, cores: float, memory_gb: float) -> None:
        """Add to the free room; negative numbers take from it.

        :param cores: processor cores.
        :param memory_gb: memory in GB.
        """
        self.cores += cores
        self.memory_gb += memory_gb


@attrs.define
class TeamCores:
    """Cores that each team's tasks hold, counted once a pass and kept up.

    :param state: the agreed state.
    """

    state: FleetState
    _used: dict[str, float] | None = None

    def _read(self) -> dict[str, float]:
        if self._used is None:
            self._used = collections.defaultdict(float)
            for attempt in self.state.attempts.values():
                task = self.state.find_chunk(f"tasks/{attempt.task}")
                if task is not None and task.team is not None:
                    self._used[task.team] += attempt.cores
        return self._used

    def count(self, team: str) -> float:
        """Count the cores of one team.

        :param team: the team.
        """
        return self._read().get(team, 0.0)

    def add(self, team: str | None, cores: float) -> None:
        """Count cores that a team has just been given.

        :param team: the team, or ``None``.
        :param cores: how many.
        """
        if team is not None:
            self._read()[team] += cores


@attrs.define
class _Pass:
    state: FleetState
    step: Step
    tasks: dict[str, Task]
    workers: list[Worker]
    running: dict[str, list[Attempt]]
    team_cores: TeamCores


def settle_attempts(
    state: FleetState,
    attempts: t.Iterable[Attempt],
    listed: t.Mapping[str, ListedTask],
    step: Step,
) -> None:
    """End the attempts that the platform shows as ended; repeat open orders.

    :param state: the agreed state.
    :param attempts: attempts of the pool.
    :param listed: what the platform reports, by attempt.
    :param step: collects the outcome.
    """
    for attempt in attempts:
        seen = listed.get(attempt.attempt)
        if seen is not None and seen.status in _ENDED:
            step.events.append(
                ev.TaskEnded(
                    attempt=attempt.attempt,
                    outcome=_ENDED[seen.status],
                    cores=seen.cores,
                    memory_gb=seen.memory_gb,
                    run_time_s=seen.run_time_s,
                )
            )
        elif attempt.stopping:
            step.orders.append(StopOrder(attempt.attempt))
        elif seen is None:
            step.orders.append(_build_order(state, attempt))


def _build_order(state: FleetState, attempt: Attempt) -> StartTask:
    task = state.find_chunk(f"tasks/{attempt.task}")
    return StartTask(
        attempt=attempt.attempt,
        vm=attempt.vm,
        cores=attempt.cores,
        memory_gb=attempt.memory_gb,
        run_time_s=float(task.run_time_s) if task else 0.0,
    )


def place_tasks(
    pool: str,
    state: FleetState,
    listed: t.Mapping[str, ListedTask],
    team_cores: TeamCores,
    step: Step,
) -> None:
    """Bring the tasks of one pool in line with the manifest.

    :param pool: the pool.
    :param state: the agreed state.
    :param listed: attempts as the platform reports them.
    :param team_cores: cores in use by team, shared by the pools of the pass.
    :param step: what the pass has decided for the pool so far; extended.
    """
    touched = {getattr(event, "vm", "") for event in step.events}
    attempts = list(state.attempts_in.get(pool, {}).values())
    if not attempts and not state.tasks_in.get(pool):
        return
    settle_attempts(state, attempts, listed, step)
    ended = {e.attempt for e in step.events if isinstance(e, ev.TaskEnded)}
    live = [attempt for attempt in attempts if attempt.attempt not in ended]
    # what these attempts teach is known only in the next pass
    unsettled = {attempt.task for attempt in attempts if attempt.attempt in ended}
    work = _open_pass(pool, state, live, touched, team_cores, step)
    _stop_unwanted(work)
    for task in _order_tasks(work):
        if task.name not in unsettled:
            _place_task(work, task)


def _open_pass(
    pool: str,
    state: FleetState,
    attempts: list[Attempt],
    touched: set[str],
    team_cores: TeamCores,
    step: Step,
) -> _Pass:
    tasks = state.tasks_in.get(pool, {})
    running: dict[str, list[Attempt]] = collections.defaultdict(list)
    by_vm: dict[str, list[Attempt]] = collections.defaultdict(list)
    for attempt in attempts:
        running[attempt.task].append(attempt)
        by_vm[attempt.vm].append(attempt)
    workers = []
    for record in state.list_pool(pool):
        if record.state is VmState.SERVING and record.name not in touched:
            worker = Worker(
                record.name,
                record.zone,
                record.rack,
                float(record.cores),
                float(record.memory_gb),
                by_vm[record.name],
            )
            for attempt in worker.attempts:
                worker.change(-attempt.cores, -attempt.memory_gb)
            workers.append(worker)
    return _Pass(state, step, tasks, workers, running, team_cores)


def _stop_unwanted(work: _Pass) -> None:
    serving = {worker.vm for worker in work.workers}
    for name, attempts in work.running.items():
        task = work.tasks.get(name)
        wanted = task.count if task else 0
        for index, attempt in enumerate(attempts):
            if attempt.stopping:
                continue
            if index >= wanted:
                _stop(work, attempt, "no longer wanted")
            elif attempt.vm not in serving and _may_leave(work.state, attempt, task):
                _stop(work, attempt, "its worker drains")


def _may_leave(state: FleetState, attempt: Attempt, task: Task | None) -> bool:
    record = state.vms.get(attempt.vm)
    if record is None or record.state not in LEAVING_STATES:
        return False
    # what may run only once is given the whole grace to end by itself
    return task is None or task.idempotent


def _stop(work: _Pass, attempt: Attempt, reason: str) -> None:
    work.step.events.append(ev.TaskStopping(attempt.attempt, reason))


def _order_tasks(work: _Pass) -> list[Task]:
    return sorted(work.tasks.values(), key=lambda t: (t.priority.rank, t.name))


def _count_open(work: _Pass, task: Task) -> int:
    history = work.state.tasks.get(task.name, TaskHistory())
    running = len(work.running.get(task.name, ()))
    if task.idempotent:
        return task.count - history.done - running
    # each start may have run: none of them is ever repeated
    return task.count - history.started


def _place_task(work: _Pass, task: Task) -> None:
    history = work.state.tasks.get(task.name)
    if history is not None and task.name in find_unrunnable({task.name: history}):
        reason = _explain_unrunnable(history)
        work.step.report(Finding.UNRUNNABLE, task.name, reason)
        return
    if history is not None and history.lost and not task.idempotent:
        reason = f"{history.lost} attempts lost; they may have run"
        work.step.report(Finding.LOST_TASK, task.name, reason)
    size = estimate_size(task, history)
    started = history.started if history else 0
    for number in range(_count_open(work, task)):
        if not _start_one(work, task, size, f"{task.name}#{started + number + 1}"):
            return


def _explain_unrunnable(history: TaskHistory) -> str:
    if history.lost_in_a_row >= defaults.UNRUNNABLE_LOSSES_IN_A_ROW:
        return f"{history.lost_in_a_row} VMs were lost under it and it never ran"
    return f"failed on {', '.join(history.failed_on)} and never ran"


def _start_one(work: _Pass, task: Task, size: Size, attempt: str) -> bool:
    if not _is_within_quota(work, task, size):
        reason = f"team {task.team} has its cores in use"
        work.step.report(Finding.OVER_QUOTA, task.name, reason)
        return False
    worker = _choose_worker(work, task, size)
    if worker is None:
        if task.priority is Priority.URGENT and _preempt(work, size):
            return False
        work.step.report(Finding.NO_ROOM, task.name, "no worker has room for it")
        return False
    event = ev.TaskStarted(task.name, attempt, worker.vm, size.cores, size.memory_gb)
    work.step.events.append(event)
    worker.change(-size.cores, -size.memory_gb)
    placed = Attempt(
        attempt, task.name, worker.vm, task.pool, size.cores, size.memory_gb, 0.0
    )
    worker.attempts.append(placed)
    work.team_cores.add(task.team, size.cores)
    return True


def _is_within_quota(work: _Pass, task: Task, size: Size) -> bool:
    team = work.state.find_chunk(f"teams/{task.team}")
    if not isinstance(team, Team) or team.cores is None:
        return True
    return work.team_cores.count(team.name) + size.cores <= team.cores


def _choose_worker(work: _Pass, task: Task, size: Size) -> Worker | None:
    history = work.state.tasks.get(task.name, TaskHistory())
    fitting = [worker for worker in work.workers if worker.fits(size)]
    fresh = [worker for worker in fitting if worker.vm not in history.failed_on]
    if not fresh:
        return None

    by_vm: collections.Counter[str] = collections.Counter()
    by_rack: collections.Counter[str] = collections.Counter()
    for worker in work.workers:
        same = sum(item.task == task.name for item in worker.attempts)
        by_vm[worker.vm] += same
        by_rack[worker.rack] += same

    def rank(worker: Worker) -> tuple[bool, int, int, int, float, str]:
        spare = worker.memory_gb - size.memory_gb
        # where VMs were lost under both, the next loss would not tell which did it
        suspects = _count_suspects(work, worker) if history.lost_in_a_row else 0
        return (
            worker.vm == history.lost_on,
            suspects,
            by_vm[worker.vm],
            by_rack[worker.rack],
            spare,
            worker.vm,
        )

    return min(fresh, key=rank)


def _count_suspects(work: _Pass, worker: Worker) -> int:
    tasks = work.state.tasks
    return sum(
        item.task in tasks and tasks[item.task].lost_in_a_row > 0
        for item in worker.attempts
    )


def _preempt(work: _Pass, size: Size) -> bool:
    """Stop the fewest less urgent attempts that make room on one worker."""
    choices = []
    for worker in work.workers:
        victims = _find_victims(work, worker, size)
        if victims is not None:
            choices.append((len(victims), worker.vm, victims))
    if not choices:
        return False
    for victim in min(choices, key=lambda choice: choice[:2])[2]:
        if not victim.stopping:
            _stop(work, victim, "makes room for urgent work")
    return True


def _find_victims(work: _Pass, worker: Worker, size: Size) -> list[Attempt] | None:
    cores, memory = worker.cores, worker.memory_gb
    victims = []
    for attempt in sorted(worker.attempts, key=lambda item: -item.memory_gb):
        if cores >= size.cores and memory >= size.memory_gb:
            break
        task = work.state.find_chunk(f"tasks/{attempt.task}")
        if task is None or task.priority is Priority.URGENT or not task.idempotent:
            continue
        victims.append(attempt)
        cores += attempt.cores
        memory += attempt.memory_gb
    if cores < size.cores or memory < size.memory_gb:
        return None
    return victims
