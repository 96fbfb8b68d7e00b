"""Random faults of workers, after which each task of a shard must run or have ended.

The shard runs without I/O: fakes of its workers, its store and its daemon share a
manual clock. Faults come from a seeded sequence.
"""

import collections
import functools
import heapq
import itertools
import math
import random
import typing as t

import attrs
import pytest

from onyxgap.jobs.amounts import ZERO_AMOUNT
from onyxgap.jobs.amounts import Amount
from onyxgap.jobs.call_timeouts import LATE_S
from onyxgap.jobs.job import Job
from onyxgap.jobs.messages import EndedTask
from onyxgap.jobs.messages import EndKind
from onyxgap.jobs.messages import QueuePolicy
from onyxgap.jobs.messages import RunningTask
from onyxgap.jobs.messages import Step
from onyxgap.jobs.messages import Submission
from onyxgap.jobs.messages import TaskId
from onyxgap.jobs.messages import WorkerEntry
from onyxgap.jobs.messages import WorkerState
from onyxgap.jobs.placing import WorkerRecord
from onyxgap.jobs.shard import Shard
from onyxgap.jobs.shard_leases import LATE_CALL_S
from onyxgap.jobs.shard_leases import LEASE_S
from onyxgap.jobs.workers import MAX_CLOCK_DRIFT
from onyxgap.jobs.workers import HoldOrder
from onyxgap.jobs.workers import HoldReport
from onyxgap.jobs.workers import Reply
from onyxgap.jobs.workers import ReplyKind
from onyxgap.jobs.workers import StartOrder
from onyxgap.jobs.workers import StopOrder

SEEDS = range(60)
FAULTS_S = 15.0
"""Time in which jobs and faults arrive."""
RECOVERY_S = 6.0
"""Time after the faults, besides a lease, within which each task must run."""
REGISTRATION_S = 4.5
"""Time without heartbeats after which a registration is removed."""
CALL_TIMEOUT_S = 0.8
STOP_S = 0.2
GANG_WAIT_S = 3.0
MAX_LEASE_MS = 10_000.0
FORMER_CALLS_S = LATE_CALL_S + MAX_LEASE_MS / 1000 / (1 - MAX_CLOCK_DRIFT)
PASS_INTERVAL_S = 0.05
VM_LIST_INTERVAL_S = 0.4
WALL_MS = 1.8e12
CPU, MEMORY_MB = 8000, 16_000
POLICY = QueuePolicy("q", "s", max_attempts=8, stretch=1.6, slo_ms=600)


@attrs.define(eq=False)
class FakeRun:
    """A run on a fake worker."""

    run: int
    step: Step
    began: float
    ends_at: float = math.inf
    end_kind: EndKind = EndKind.DONE
    stops_at: float = math.inf


@attrs.define(eq=False)
class FakeWorker:
    """One incarnation of a worker."""

    entry: WorkerEntry
    started_at: float
    drift: float
    fails: bool = False
    alive: bool = True
    restarts: bool = False
    cut: bool = False
    lease_ms: float = 0.0
    runs: dict[TaskId, FakeRun] = attrs.field(factory=dict)
    ended: list[EndedTask] = attrs.field(factory=list)
    highest: dict[TaskId, int] = attrs.field(factory=dict)
    sequence: int = 0

    def read_clock(self, now: float) -> float:
        return self.entry.clock_ms + (now - self.started_at) * 1000 * (1 - self.drift)

    def end(self, task: TaskId, kind: EndKind) -> None:
        run = self.runs.pop(task)
        self.sequence += 1
        self.ended.append(EndedTask(self.sequence, task, run.run, kind, ""))

    def advance(self, now: float) -> None:
        lapsed = self.read_clock(now) > self.lease_ms
        for task, run in list(self.runs.items()):
            if lapsed:
                self.end(task, EndKind.LAPSED)
            elif run.stops_at <= now:
                self.end(task, EndKind.STOPPED)
            elif run.ends_at <= now:
                self.end(task, run.end_kind)

    def extend_lease(self, deadline_ms: float, now: float) -> None:
        limit_ms = self.read_clock(now) + MAX_LEASE_MS
        self.lease_ms = max(self.lease_ms, min(deadline_ms, limit_ms))

    def start(self, order: StartOrder, step: Step, now: float) -> ReplyKind:
        self.advance(now)
        present = self.runs.get(order.task)
        if present is not None and present.run == order.run:
            return ReplyKind.DONE
        if order.run <= self.highest.get(order.task, 0):
            return ReplyKind.STALE_RUN
        if self.read_clock(now) > order.deadline_ms:
            return ReplyKind.TOO_LATE
        if sum(run.step.cpu for run in self.runs.values()) + step.cpu > CPU:
            return ReplyKind.NO_ROOM
        self.extend_lease(order.deadline_ms, now)
        self.highest[order.task] = order.run
        run = FakeRun(order.run, step, now)
        if self.fails:
            run.ends_at, run.end_kind = now + 0.05, EndKind.FAILED
        elif not step.long_running and not step.gang:
            run.ends_at = now + step.estimate_ms / 1000
        self.runs[order.task] = run
        return ReplyKind.DONE

    def stop(self, order: StopOrder, now: float) -> ReplyKind:
        self.advance(now)
        self.highest[order.task] = max(self.highest.get(order.task, 0), order.run)
        run = self.runs.get(order.task)
        if run is not None and run.run <= order.run:
            run.stops_at = min(run.stops_at, now + STOP_S)
        return ReplyKind.DONE

    def hold(self, order: HoldOrder, now: float) -> None:
        self.advance(now)
        if order.deadline_ms is not None:
            self.extend_lease(order.deadline_ms, now)
        self.ended = [end for end in self.ended if end.sequence > order.acknowledged]

    def build_report(self, now: float) -> HoldReport:
        self.advance(now)
        running = tuple(
            RunningTask(task, run.run, "", 100 if run.step.long_running else 50)
            for task, run in self.runs.items()
        )
        born = self.entry.born
        return HoldReport(self.read_clock(now), running, tuple(self.ended), born)


@attrs.define(eq=False)
class Simulation:
    """A shard, its workers and its daemon on a manual clock.

    :param workers: the present incarnation of each VM, by number of the VM.
    :param rows: registrations that are in force.
    :param late_share: share of orders that are carried out seconds late.
    :param lost_share: share of calls whose replies are lost.
    :param store_s: duration of a write to the store.
    """

    rng: random.Random
    shard: Shard = attrs.field(factory=lambda: Shard("s", epoch=1, claimed_at=50.0))
    now: float = 100.0
    workers: dict[int, FakeWorker] = attrs.field(factory=dict)
    rows: dict[str, WorkerEntry] = attrs.field(factory=dict)
    submissions: dict[str, Submission] = attrs.field(factory=dict)
    late_share: float = 0.0
    lost_share: float = 0.0
    store_s: float = 0.005
    _events: list[tuple[float, int, t.Callable[[], None]]] = attrs.field(factory=list)
    _numbers: t.Iterator[int] = attrs.field(factory=itertools.count)
    _incarnations: t.Iterator[int] = attrs.field(factory=lambda: itertools.count(1))
    _hold_loops: set[str] = attrs.field(factory=set)

    def call_later(
        self, delay_s: float, call: t.Callable[..., None], *args: t.Any
    ) -> None:
        bound = functools.partial(call, *args)
        heapq.heappush(self._events, (self.now + delay_s, next(self._numbers), bound))

    def run_until(self, end: float) -> None:
        while self._events and self._events[0][0] <= end:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = end

    # workers

    def find_worker(self, worker_id: str) -> FakeWorker | None:
        for worker in self.workers.values():
            if worker.alive and worker.entry.worker_id == worker_id:
                return worker
        return None

    def boot(self, vm: int, worker_id: str = "") -> None:
        number = next(self._incarnations)
        entry = WorkerEntry(
            worker_id or f"w{vm}-{number}",
            "s",
            f"vm{vm}:1",
            "z",
            WorkerState.READY,
            CPU,
            MEMORY_MB,
            0,
            ("a", f"r{vm % 2}"),
            self.rng.choice([10.0, 5e4, 9e5]),
            born=int(WALL_MS + self.now * 1000),
        )
        self.workers[vm] = FakeWorker(entry, self.now, self.rng.uniform(0, 0.02))
        self.register(self.workers[vm])

    def register(self, worker: FakeWorker) -> None:
        if not worker.alive or worker.cut:
            return
        clock_ms = worker.read_clock(self.now)
        entry = attrs.evolve(worker.entry, clock_ms=clock_ms)
        self.rows[entry.worker_id] = entry
        self.call_later(self.rng.uniform(0.005, 0.3), self._observe, entry)

    def _observe(self, entry: WorkerEntry) -> None:
        if self.rows.get(entry.worker_id) is not entry:
            return
        self.shard.observe_worker(entry, self.now)
        if entry.worker_id not in self._hold_loops:
            self._hold_loops.add(entry.worker_id)
            self._hold(entry.worker_id)

    def _remove_row(self, entry: WorkerEntry | None) -> None:
        if entry is not None and self.rows.get(entry.worker_id) is entry:
            del self.rows[entry.worker_id]
            self.shard.mark_unregistered(entry.worker_id)

    def _stop_heartbeats(self, worker: FakeWorker) -> None:
        row = self.rows.get(worker.entry.worker_id)
        self.call_later(REGISTRATION_S, self._remove_row, row)

    def crash(self, vm: int, down_s: float, keeps_id: bool) -> None:
        worker = self.workers[vm]
        if not worker.alive:
            return
        worker.advance(self.now)
        worker.alive = False
        worker.restarts = keeps_id
        worker.runs.clear()
        self._stop_heartbeats(worker)
        worker_id = worker.entry.worker_id if keeps_id else ""
        self.call_later(down_s, self._restart, vm, worker, worker_id)

    def _restart(self, vm: int, worker: FakeWorker, worker_id: str) -> None:
        if self.workers[vm] is worker:
            self.boot(vm, worker_id)

    def cut(self, vm: int, for_s: float, keeps_row: bool = False) -> None:
        worker = self.workers[vm]
        if worker.cut or not worker.alive:
            return
        worker.cut = True
        if not keeps_row:
            self._stop_heartbeats(worker)
        self.call_later(for_s, self._heal, worker)

    def _heal(self, worker: FakeWorker) -> None:
        worker.cut = False
        self.register(worker)

    # calls to workers

    def _call(
        self,
        order: StartOrder | StopOrder,
        carry_out: t.Callable[[FakeWorker], ReplyKind],
        apply: t.Callable[[Reply], None],
    ) -> None:
        worker = self.find_worker(order.worker_id)
        lost = Reply(ReplyKind.NO_ANSWER)
        if worker is None:
            self.call_later(0.002, apply, Reply(ReplyKind.NOT_SENT))
        elif worker.cut:
            self.call_later(CALL_TIMEOUT_S, apply, lost)
        elif self.rng.random() < self.late_share:
            late_s = self.rng.uniform(2.0, 4.0)
            self.call_later(late_s, self._carry_out_late, worker, carry_out)
            self.call_later(CALL_TIMEOUT_S, apply, lost)
        else:
            reply = Reply(carry_out(worker), worker.read_clock(self.now))
            if self.rng.random() < self.lost_share:
                self.call_later(CALL_TIMEOUT_S, apply, lost)
            else:
                self.call_later(0.002, apply, reply)

    def _carry_out_late(
        self, worker: FakeWorker, carry_out: t.Callable[[FakeWorker], ReplyKind]
    ) -> None:
        # an order that was not carried out is lost with its incarnation
        if worker.alive:
            carry_out(worker)

    def _send_start(self, order: StartOrder) -> None:
        ready = self.shard.prepare_start(order, self.now)
        if ready is None:
            return
        step = self.submissions[order.task.job_id].steps[order.task.step]

        def carry_out(worker: FakeWorker) -> ReplyKind:
            return worker.start(ready, step, self.now)

        def apply(reply: Reply) -> None:
            self.shard.apply_start_reply(ready, reply, self.now)

        self._call(ready, carry_out, apply)

    def _send_stop(self, order: StopOrder) -> None:
        def carry_out(worker: FakeWorker) -> ReplyKind:
            return worker.stop(order, self.now)

        def apply(reply: Reply) -> None:
            self.shard.apply_stop_reply(order, reply, self.now)

        self._call(order, carry_out, apply)

    def _hold(self, worker_id: str) -> None:
        record = self.shard.workers.get(worker_id)
        if record is None:
            self._hold_loops.discard(worker_id)
            return
        deadline_ms = self.shard.grant_lease(record, LEASE_S, self.now)
        order = HoldOrder(worker_id, "", 1, record.acknowledged, deadline_ms, 100)
        worker = self.find_worker(worker_id)
        if worker is None:
            self.call_later(0.002, self._fail_hold, worker_id, ReplyKind.NOT_SENT)
        elif worker.cut or self.rng.random() < self.lost_share:
            self.call_later(
                CALL_TIMEOUT_S, self._fail_hold, worker_id, ReplyKind.NO_ANSWER
            )
        else:
            worker.hold(order, self.now)
            self.call_later(0.1, self._answer_hold, worker, self.now)

    def _answer_hold(self, worker: FakeWorker, sent_at: float) -> None:
        worker_id = worker.entry.worker_id
        if worker.cut or not worker.alive:
            self._fail_hold(worker_id, ReplyKind.NO_ANSWER)
            return
        report = worker.build_report(self.now)
        self.shard.apply_report(worker_id, report, sent_at, self.now)
        self.call_later(0.01, self._hold, worker_id)

    def _fail_hold(self, worker_id: str, kind: ReplyKind) -> None:
        overdue_s = 0.0 if kind is ReplyKind.NO_ANSWER else None
        reply = Reply(kind, overdue_s=overdue_s)
        self.shard.apply_failure(worker_id, reply, self.now)
        self.call_later(0.2, self._hold, worker_id)

    # the daemon

    def run_pass(self) -> None:
        self.check_bookkeeping()
        self.check_runs()
        self.shard.expire_workers(self.now)
        orders = self.shard.plan(self.now, WALL_MS + self.now * 1000)
        for stop in self.shard.list_stops(self.now):
            self._send_stop(stop)
        states = {
            job_id: self.shard.jobs[job_id].state
            for job_id in self.shard.dirty
            if job_id in self.shard.jobs
        }
        self.shard.dirty.clear()
        processed = [
            (item, item.processed_sequence) for item in self.shard.workers.values()
        ]
        self.call_later(self.store_s, self._commit, states, orders, processed)

    def _commit(
        self,
        states: dict[str, t.Any],
        orders: list[StartOrder],
        processed: list[tuple[WorkerRecord, int]],
    ) -> None:
        for job_id, state in states.items():
            self.shard.mark_stored(job_id, state, self.now)
        for record, sequence in processed:
            record.acknowledged = max(record.acknowledged, sequence)
        for order in orders:
            self.call_later(self.rng.uniform(0, 0.05), self._send_start, order)
        self.call_later(PASS_INTERVAL_S, self.run_pass)

    def list_vms(self) -> None:
        if self.shard.list_silent():
            live = {
                worker.entry.worker_id
                for worker in self.workers.values()
                if worker.alive or worker.restarts
            }
            self.call_later(0.02, self.shard.apply_live_workers, live, self.now)
        self.call_later(VM_LIST_INTERVAL_S, self.list_vms)

    def advance_gangs(self) -> None:
        members: dict[tuple[t.Any, ...], list[tuple[FakeWorker, TaskId, FakeRun]]] = (
            collections.defaultdict(list)
        )
        for worker in self.workers.values():
            worker.advance(self.now)
            for task, run in worker.runs.items():
                if run.step.gang:
                    members[task[:3]].append((worker, task, run))
        for present in members.values():
            self._advance_gang(present)
        self.call_later(0.05, self.advance_gangs)

    def _advance_gang(self, present: list[tuple[FakeWorker, TaskId, FakeRun]]) -> None:
        step = present[0][2].step
        complete_at = max(run.began for _, _, run in present)
        for worker, task, _ in present:
            if len(present) == step.count:
                if self.now >= complete_at + step.estimate_ms / 1000:
                    worker.end(task, EndKind.DONE)
            elif self.now >= complete_at + GANG_WAIT_S:
                worker.end(task, EndKind.ALONE)

    def submit(self, number: int) -> None:
        job_id = f"{number:016x}"
        steps = draw_steps(self.rng)
        submission = Submission(
            job_id, POLICY, "", steps, accepted_ms=int(WALL_MS + self.now * 1000)
        )
        self.submissions[job_id] = submission
        self.shard.add_job(Job(submission), self.now, WALL_MS + self.now * 1000)
        if self.rng.random() < 0.15:
            self.call_later(self.rng.uniform(0, 6), self.shard.cancel, job_id)

    # checks

    def check_bookkeeping(self) -> None:
        """Check that each record is what the placed tasks imply."""
        placed: dict[str, list[tuple[Step, TaskId]]] = collections.defaultdict(list)
        for job in self.shard.jobs.values():
            for task in job.list_placed():
                placed[task.worker_id].append((job.get_step(task), task.task_id))
        assert placed.keys() <= self.shard.workers.keys()
        for worker_id, record in self.shard.workers.items():
            runs = placed[worker_id]
            tasks = {task for _, task in runs}
            assert record.cpu_used == sum(step.cpu for step, _ in runs)
            assert record.memory_used == sum(step.memory_mb for step, _ in runs)
            serving = [step for step, _ in runs if step.long_running]
            total = ZERO_AMOUNT
            for step in serving:
                total += Amount(step.cpu, step.memory_mb, step.accelerators)
            assert record.serving == total
            assert record.finite_runs == len(runs) - len(serving)
            assert record.present == collections.Counter(task[:3] for task in tasks)
            assert record.in_start_crash_window <= record.in_crash_window <= tasks
            assert record.isolated <= record.in_crash_window

    def check_runs(self) -> None:
        """Check that no task runs twice at the same time."""
        running: set[TaskId] = set()
        for worker in self.workers.values():
            worker.advance(self.now)
            assert not running & worker.runs.keys(), "a task runs twice"
            running |= worker.runs.keys()

    def list_missing(self) -> list[str]:
        """List what does not run although it could, and runs the shard lacks."""
        running = {
            (worker.entry.worker_id, task, run.run)
            for worker in self.workers.values()
            for task, run in worker.runs.items()
        }
        placed = {
            (task.worker_id, task.task_id, task.run)
            for job in self.shard.jobs.values()
            for task in job.list_placed()
        }
        missing = [f"{item} is not known" for item in sorted(running - placed)]
        missing += [f"{item} is not running" for item in sorted(placed - running)]
        for job in self.shard.jobs.values():
            if job.state.final:
                missing.append(f"{job.submission.job_id} is still kept")
            missing += [
                f"{task.task_id} is {task.phase.name}"
                for occurrence, number in job.list_ready()
                for task in occurrence.steps[number]
                if not job.state.final and not task.placed
            ]
        return missing


def draw_steps(rng: random.Random) -> tuple[Step, ...]:
    kind = rng.choice(["serving", "finite", "finite", "gang"])
    if kind == "serving":
        limit = rng.choice([0, 1])
        count = rng.randint(1, 3)
        memory_mb = rng.choice([500, 1000])
        return (
            Step(
                count,
                cpu=500,
                memory_mb=memory_mb,
                long_running=True,
                anti_affinity=limit,
            ),
        )
    if kind == "gang":
        return (Step(3, cpu=1500, memory_mb=500, estimate_ms=800, gang=True),)
    steps = [Step(rng.randint(1, 5), cpu=2000, memory_mb=500, estimate_ms=600)]
    if rng.random() < 0.5:
        steps.append(Step(2, cpu=4000, memory_mb=500, estimate_ms=400, after=(0,)))
    return tuple(steps)


def draw_fault(simulation: Simulation) -> None:
    rng = simulation.rng
    vm = rng.choice(list(simulation.workers))
    kind = rng.choice(
        ["crash", "restart", "restart", "cut", "cut", "late", "lose", "cordon", "fail"]
        + ["store"]
    )
    for_s = rng.uniform(0.2, 7.0)
    later = functools.partial(simulation.call_later, for_s)
    if kind in ("crash", "restart"):
        simulation.crash(vm, for_s / 2, kind == "restart")
    elif kind == "cut":
        simulation.cut(vm, for_s)
    elif kind == "late":
        simulation.late_share = 0.3
        later(setattr, simulation, "late_share", 0.0)
    elif kind == "lose":
        simulation.lost_share = 0.3
        later(setattr, simulation, "lost_share", 0.0)
    elif kind == "cordon":
        worker_id = simulation.workers[vm].entry.worker_id
        simulation.shard.set_cordons({worker_id: "c"})
        later(simulation.shard.set_cordons, {})
    elif kind == "fail":
        worker = simulation.workers[vm]
        worker.fails = True
        later(setattr, worker, "fails", False)
    else:
        simulation.store_s = rng.uniform(0.1, 1.5)
        later(setattr, simulation, "store_s", 0.005)


def simulate(seed: int, lag_s: float = 0.0) -> Simulation:
    """Run a shard with random jobs and faults until all faults have ended.

    :param seed: seed of the jobs and faults.
    :param lag_s: lag of the owner's event loop until then, in seconds.
    """
    simulation = Simulation(random.Random(seed))
    simulation.shard.call_timeouts.read_lag = lambda: lag_s
    rng = simulation.rng
    for vm in range(rng.randint(4, 7)):
        simulation.boot(vm)
    simulation.run_pass()
    simulation.list_vms()
    simulation.advance_gangs()
    for number in range(12):
        at = rng.uniform(0.5, FAULTS_S)
        simulation.call_later(at, simulation.submit, number)
    for _ in range(rng.randint(1, 10)):
        at = rng.uniform(1.0, FAULTS_S - 7.0)
        simulation.call_later(at, draw_fault, simulation)
    simulation.run_until(simulation.now + FAULTS_S)
    simulation.shard.call_timeouts.read_lag = float
    return simulation


@pytest.mark.parametrize("seed", SEEDS)
def test_each_task_runs_after_the_last_fault(seed: int) -> None:
    simulation = simulate(seed)
    simulation.run_until(simulation.now + RECOVERY_S + LEASE_S)
    assert simulation.list_missing() == []


@pytest.mark.parametrize("seed", SEEDS)
def test_each_task_runs_elsewhere_if_a_worker_stays_cut_off(seed: int) -> None:
    simulation = simulate(seed)
    vm = simulation.rng.choice(list(simulation.workers))
    simulation.cut(vm, math.inf, keeps_row=simulation.rng.random() < 0.5)
    simulation.run_until(simulation.now + RECOVERY_S + FORMER_CALLS_S)
    assert simulation.list_missing() == []


@pytest.mark.parametrize("seed", SEEDS)
def test_each_task_of_a_late_owner_runs_once(seed: int) -> None:
    simulation = simulate(seed, LATE_S)
    simulation.run_until(simulation.now + RECOVERY_S + LEASE_S)
    assert simulation.list_missing() == []
