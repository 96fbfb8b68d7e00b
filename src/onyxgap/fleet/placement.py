"""Places tasks on a pool's workers by priority; urgent tasks may preempt others."""

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
from .diagnosis import find_unrunnable_tasks
from .learning import TaskSize
from .learning import estimate_size
from .messages import Finding
from .messages import PoolPlan
from .messages import StopOrder

EVACUATION_STATES = (VmState.DRAINING, VmState.QUARANTINED)
_OUTCOMES = {
    TaskStatus.DONE: "done",
    TaskStatus.FAILED: "failed",
    TaskStatus.STOPPED: "stopped",
    TaskStatus.LOST: "lost",
}


@attrs.define(slots=True)
class Worker:
    """Free capacity of one serving VM and the attempts that run on it.

    :param cores: free cores.
    :param memory_gb: free memory in GB.
    :param attempts: attempts that run on the VM.
    """

    vm: str
    zone: str
    rack: str
    cores: float
    memory_gb: float
    attempts: list[Attempt] = attrs.field(factory=list)

    def fits(self, size: TaskSize) -> bool:
        """Tell whether an attempt of a given size fits into the free capacity.

        :param size: size of the attempt.
        """
        return self.cores >= size.cores and self.memory_gb >= size.memory_gb

    def adjust_free(self, cores: float, memory_gb: float) -> None:
        """Change the free capacity by signed amounts.

        :param cores: processor cores to add.
        :param memory_gb: memory to add, in GB.
        """
        self.cores += cores
        self.memory_gb += memory_gb


@attrs.define
class TeamCores:
    """Cores in use by each team.

    They are counted once per reconciliation pass, on first use, and updated as
    attempts are started.

    :param state: the replicated state.
    """

    state: FleetState
    _cores_by_team: dict[str, float] | None = None

    def _load(self) -> dict[str, float]:
        if self._cores_by_team is None:
            self._cores_by_team = collections.defaultdict(float)
            for attempt in self.state.attempts.values():
                task = self.state.find_chunk(f"tasks/{attempt.task}")
                if task is not None and task.team is not None:
                    self._cores_by_team[task.team] += attempt.cores
        return self._cores_by_team

    def count(self, team: str) -> float:
        """Return the number of cores that a team uses.

        :param team: name of the team.
        """
        return self._load().get(team, 0.0)

    def add(self, team: str | None, cores: float) -> None:
        """Add the cores of a newly started attempt.

        :param team: name of the team, or ``None`` for a task without a team.
        :param cores: number of cores.
        """
        if team is not None:
            self._load()[team] += cores


@attrs.define
class _PlacementPass:
    state: FleetState
    pool_plan: PoolPlan
    tasks: dict[str, Task]
    workers: list[Worker]
    running: dict[str, list[Attempt]]
    team_cores: TeamCores


def reconcile_attempts(
    state: FleetState,
    attempts: t.Iterable[Attempt],
    listed: t.Mapping[str, ListedTask],
    pool_plan: PoolPlan,
) -> None:
    """Reconcile the recorded attempts of a pool with those that the platform reports.

    Attempts that have ended on the platform are recorded as ended. Stop orders are
    repeated until the attempt has ended, start orders until it is listed.

    :param state: the replicated state.
    :param attempts: attempts of the pool.
    :param listed: attempts reported by the platform, by attempt ID.
    :param pool_plan: result of the pass for this pool; events and orders are added to
        it.
    """
    for attempt in attempts:
        reported = listed.get(attempt.attempt)
        if reported is not None and reported.status in _OUTCOMES:
            pool_plan.events.append(
                ev.TaskEnded(
                    attempt=attempt.attempt,
                    outcome=_OUTCOMES[reported.status],
                    cores=reported.cores,
                    memory_gb=reported.memory_gb,
                    run_time_s=reported.run_time_s,
                )
            )
        elif attempt.stopping:
            pool_plan.orders.append(StopOrder(attempt.attempt))
        elif reported is None:
            pool_plan.orders.append(_build_start_order(state, attempt))


def _build_start_order(state: FleetState, attempt: Attempt) -> StartTask:
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
    pool_plan: PoolPlan,
) -> None:
    """Reconcile the tasks of one pool with the manifest.

    :param pool: name of the pool.
    :param state: the replicated state.
    :param listed: attempts reported by the platform, by attempt ID.
    :param team_cores: cores in use by each team, shared by all pools of the pass.
    :param pool_plan: result of the pass for this pool so far; extended in place.
    """
    changed_vms = {getattr(event, "vm", "") for event in pool_plan.events}
    attempts = list(state.pool_attempts.get(pool, {}).values())
    if not attempts and not state.pool_tasks.get(pool):
        return
    reconcile_attempts(state, attempts, listed, pool_plan)
    ended_attempts = {
        e.attempt for e in pool_plan.events if isinstance(e, ev.TaskEnded)
    }
    running_attempts = [
        attempt for attempt in attempts if attempt.attempt not in ended_attempts
    ]
    # The history of these tasks includes the ended attempts only in the next pass.
    just_ended = {
        attempt.task for attempt in attempts if attempt.attempt in ended_attempts
    }
    placement = _begin_pass(
        pool, state, running_attempts, changed_vms, team_cores, pool_plan
    )
    _stop_attempts(placement)
    for task in _order_tasks(placement):
        if task.name not in just_ended:
            _place_task(placement, task)


def _begin_pass(
    pool: str,
    state: FleetState,
    attempts: list[Attempt],
    changed_vms: set[str],
    team_cores: TeamCores,
    pool_plan: PoolPlan,
) -> _PlacementPass:
    tasks = state.pool_tasks.get(pool, {})
    running: dict[str, list[Attempt]] = collections.defaultdict(list)
    by_vm: dict[str, list[Attempt]] = collections.defaultdict(list)
    for attempt in attempts:
        running[attempt.task].append(attempt)
        by_vm[attempt.vm].append(attempt)
    workers = []
    for record in state.list_pool(pool):
        if record.state is VmState.SERVING and record.name not in changed_vms:
            worker = Worker(
                record.name,
                record.zone,
                record.rack,
                float(record.cores),
                float(record.memory_gb),
                by_vm[record.name],
            )
            for attempt in worker.attempts:
                worker.adjust_free(-attempt.cores, -attempt.memory_gb)
            workers.append(worker)
    return _PlacementPass(state, pool_plan, tasks, workers, running, team_cores)


def _stop_attempts(placement: _PlacementPass) -> None:
    serving = {worker.vm for worker in placement.workers}
    for name, attempts in placement.running.items():
        task = placement.tasks.get(name)
        wanted = task.count if task else 0
        for index, attempt in enumerate(attempts):
            if attempt.stopping:
                continue
            if index >= wanted:
                _stop_attempt(placement, attempt, "no longer wanted")
            elif attempt.vm not in serving and _may_evacuate(
                placement.state, attempt, task
            ):
                _stop_attempt(placement, attempt, "its worker drains")


def _may_evacuate(state: FleetState, attempt: Attempt, task: Task | None) -> bool:
    record = state.vms.get(attempt.vm)
    if record is None or record.state not in EVACUATION_STATES:
        return False
    # A task that must not run twice gets the whole drain grace period to end by itself.
    return task is None or task.idempotent


def _stop_attempt(placement: _PlacementPass, attempt: Attempt, reason: str) -> None:
    placement.pool_plan.events.append(ev.TaskStopping(attempt.attempt, reason))


def _order_tasks(placement: _PlacementPass) -> list[Task]:
    return sorted(placement.tasks.values(), key=lambda t: (t.priority.rank, t.name))


def _count_missing(placement: _PlacementPass, task: Task) -> int:
    history = placement.state.tasks.get(task.name, TaskHistory())
    running = len(placement.running.get(task.name, ()))
    if task.idempotent:
        return task.count - history.done - running
    # Every started attempt may have run, so none of them is ever repeated.
    return task.count - history.started


def _place_task(placement: _PlacementPass, task: Task) -> None:
    history = placement.state.tasks.get(task.name)
    if history is not None and task.name in find_unrunnable_tasks({task.name: history}):
        reason = _explain_unrunnable(history)
        placement.pool_plan.report(Finding.UNRUNNABLE, task.name, reason)
        return
    if history is not None and history.lost and not task.idempotent:
        reason = f"{history.lost} attempts lost; they may have run"
        placement.pool_plan.report(Finding.LOST_TASK, task.name, reason)
    size = estimate_size(task, history)
    started = history.started if history else 0
    for number in range(_count_missing(placement, task)):
        if not _start_attempt(
            placement, task, size, f"{task.name}#{started + number + 1}"
        ):
            return


def _explain_unrunnable(history: TaskHistory) -> str:
    if history.lost_in_a_row >= defaults.UNRUNNABLE_CONSECUTIVE_LOSSES:
        return f"{history.lost_in_a_row} VMs were lost under it and it never ran"
    return f"failed on {', '.join(history.failed_on)} and never ran"


def _start_attempt(
    placement: _PlacementPass, task: Task, size: TaskSize, attempt: str
) -> bool:
    if not _is_within_quota(placement, task, size):
        reason = f"team {task.team} has its cores in use"
        placement.pool_plan.report(Finding.OVER_QUOTA, task.name, reason)
        return False
    worker = _choose_worker(placement, task, size)
    if worker is None:
        if task.priority is Priority.URGENT and _preempt(placement, task, size):
            return False
        placement.pool_plan.report(
            Finding.NO_ROOM, task.name, "no worker has room for it"
        )
        return False
    event = ev.TaskStarted(task.name, attempt, worker.vm, size.cores, size.memory_gb)
    placement.pool_plan.events.append(event)
    worker.adjust_free(-size.cores, -size.memory_gb)
    started_attempt = Attempt(
        attempt, task.name, worker.vm, task.pool, size.cores, size.memory_gb, 0.0
    )
    worker.attempts.append(started_attempt)
    placement.team_cores.add(task.team, size.cores)
    return True


def _is_within_quota(placement: _PlacementPass, task: Task, size: TaskSize) -> bool:
    team = placement.state.find_chunk(f"teams/{task.team}")
    if not isinstance(team, Team) or team.cores is None:
        return True
    return placement.team_cores.count(team.name) + size.cores <= team.cores


def _choose_worker(
    placement: _PlacementPass, task: Task, size: TaskSize
) -> Worker | None:
    history = placement.state.tasks.get(task.name, TaskHistory())
    fitting = [worker for worker in placement.workers if worker.fits(size)]
    candidates = [worker for worker in fitting if worker.vm not in history.failed_on]
    if not candidates:
        return None

    by_vm: collections.Counter[str] = collections.Counter()
    by_rack: collections.Counter[str] = collections.Counter()
    for worker in placement.workers:
        same_task = sum(item.task == task.name for item in worker.attempts)
        by_vm[worker.vm] += same_task
        by_rack[worker.rack] += same_task

    def sort_key(worker: Worker) -> tuple[bool, int, int, int, float, str]:
        memory_left_gb = worker.memory_gb - size.memory_gb
        # If both tasks have lost VMs, the next loss would not show which one caused it.
        suspected = (
            _count_suspected_attempts(placement, worker) if history.lost_in_a_row else 0
        )
        return (
            worker.vm == history.lost_on,
            suspected,
            by_vm[worker.vm],
            by_rack[worker.rack],
            memory_left_gb,
            worker.vm,
        )

    return min(candidates, key=sort_key)


def _count_suspected_attempts(placement: _PlacementPass, worker: Worker) -> int:
    tasks = placement.state.tasks
    return sum(
        item.task in tasks and tasks[item.task].lost_in_a_row > 0
        for item in worker.attempts
    )


def _preempt(placement: _PlacementPass, task: Task, size: TaskSize) -> bool:
    """Stop attempts below urgent priority on the worker where the fewest must go.

    Workers on which the task failed are left out: it would not be started there.
    """
    history = placement.state.tasks.get(task.name, TaskHistory())
    choices = []
    for worker in placement.workers:
        if worker.vm in history.failed_on:
            continue
        victims = _find_victims(placement, worker, size)
        if victims is not None:
            choices.append((len(victims), worker.vm, victims))
    if not choices:
        return False
    for victim in min(choices, key=lambda choice: choice[:2])[2]:
        if not victim.stopping:
            _stop_attempt(placement, victim, "makes room for urgent work")
    return True


def _find_victims(
    placement: _PlacementPass, worker: Worker, size: TaskSize
) -> list[Attempt] | None:
    cores, memory = worker.cores, worker.memory_gb
    victims = []
    for attempt in sorted(worker.attempts, key=lambda item: -item.memory_gb):
        if cores >= size.cores and memory >= size.memory_gb:
            break
        task = placement.state.find_chunk(f"tasks/{attempt.task}")
        if task is None or task.priority is Priority.URGENT or not task.idempotent:
            continue
        victims.append(attempt)
        cores += attempt.cores
        memory += attempt.memory_gb
    if cores < size.cores or memory < size.memory_gb:
        return None
    return victims
