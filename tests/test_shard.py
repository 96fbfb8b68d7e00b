"""Placement, ends of runs, leases, cancellation and eviction in one shard."""

import math
import typing as t

import attrs
import pytest
import structlog
import structlog.testing

from onyxgap.jobs.advice import Advice
from onyxgap.jobs.encoding import encode_progress
from onyxgap.jobs.encoding import restore_job
from onyxgap.jobs.holds import BUSY_WAIT_S
from onyxgap.jobs.holds import IDLE_WAIT_S
from onyxgap.jobs.holds import choose_hold_wait
from onyxgap.jobs.job import Job
from onyxgap.jobs.job import TaskPhase
from onyxgap.jobs.messages import EndedTask
from onyxgap.jobs.messages import EndKind
from onyxgap.jobs.messages import JobState
from onyxgap.jobs.messages import QueuePolicy
from onyxgap.jobs.messages import RunningTask
from onyxgap.jobs.messages import Step
from onyxgap.jobs.messages import Submission
from onyxgap.jobs.messages import WorkerEntry
from onyxgap.jobs.messages import WorkerState
from onyxgap.jobs.shard import START_WINDOW_MS
from onyxgap.jobs.shard import Shard
from onyxgap.jobs.shard_ends import RETRY_ELSEWHERE_S
from onyxgap.jobs.shard_ends import RETRY_PAUSE_S
from onyxgap.jobs.shard_leases import LEASE_S
from onyxgap.jobs.shard_reports import MAX_REPORTED_ENDS
from onyxgap.jobs.workers import HoldReport
from onyxgap.jobs.workers import Reply
from onyxgap.jobs.workers import ReplyKind
from onyxgap.jobs.workers import StartOrder
from onyxgap.jobs.workers import WorkerClock

ENTRY = WorkerEntry(
    "w1", "s", "w1:1", "z", WorkerState.READY, 64_000, 256_000, 0, ("a", "r1"), 1000.0
)
POLICY = QueuePolicy("q", "s", max_attempts=2, stretch=1.6, slo_ms=600)
WALL_MS = 1.8e12


@attrs.define
class ShardHarness:
    """A shard with a manual clock, and workers that report what it started there."""

    shard: Shard
    now: float = 100.0
    sequences: dict[str, int] = attrs.field(factory=dict)

    def add_worker(self, worker_id: str, **changes: t.Any) -> None:
        entry = attrs.evolve(ENTRY, worker_id=worker_id, **changes)
        self.shard.observe_worker(entry, self.now)
        self.report(worker_id)

    def add_job(self, *steps: Step, job_id: str = "a" * 16) -> Job:
        job = Job(Submission(job_id, POLICY, "spec", steps, accepted_ms=int(WALL_MS)))
        self.shard.add_job(job, self.now, WALL_MS)
        return job

    def plan(self) -> list[StartOrder]:
        return self.shard.plan(self.now, WALL_MS)

    def start_all(self) -> list[StartOrder]:
        orders = self.plan()
        for order in orders:
            prepared = self.shard.prepare_start(order, self.now)
            assert prepared is not None
            self.shard.apply_start_reply(prepared, Reply(ReplyKind.DONE), self.now)
        return orders

    def report(self, worker_id: str, *ends: tuple[StartOrder, EndKind]) -> None:
        ended = []
        for order, kind in ends:
            sequence = self.sequences.get(worker_id, 0) + 1
            self.sequences[worker_id] = sequence
            ended.append(EndedTask(sequence, order.task, order.run, kind, ""))
        ended_tasks = {order.task for order, _ in ends}
        running = tuple(
            RunningTask(task.task_id, task.run, "", 100)
            for job in self.shard.jobs.values()
            for task in job.list_placed()
            if task.worker_id == worker_id
            and task.task_id not in ended_tasks
            and task.confirmed_at is not None
        )
        self.now += 0.01
        clock_ms = 1000.0 + (self.now - 100.0) * 1000
        report = HoldReport(clock_ms, running, tuple(ended))
        self.shard.apply_report(worker_id, report, self.now, self.now)


@pytest.fixture
def harness() -> ShardHarness:
    return ShardHarness(Shard("s", epoch=3, claimed_at=50.0))


def test_nothing_is_placed_before_the_first_report(harness: ShardHarness) -> None:
    harness.shard.observe_worker(ENTRY, harness.now)
    harness.add_job(Step(1, cpu=1000))
    assert harness.plan() == []
    harness.report("w1")
    assert len(harness.plan()) == 1


def test_later_step_waits_for_every_task_of_an_earlier_one(
    harness: ShardHarness,
) -> None:
    harness.add_worker("w1")
    harness.add_job(Step(2, cpu=1000), Step(1, cpu=1000, after=(0,)))
    first, second = harness.start_all()
    harness.report("w1", (first, EndKind.DONE))
    assert harness.plan() == []
    harness.report("w1", (second, EndKind.DONE))
    assert [order.task.step for order in harness.plan()] == [1]


def test_capacity_is_free_only_once_the_end_is_reported(harness: ShardHarness) -> None:
    harness.add_worker("w1", cpu=2000)
    harness.add_job(Step(2, cpu=2000))
    (first,) = harness.start_all()
    assert harness.plan() == []
    harness.report("w1", (first, EndKind.DONE))
    assert len(harness.plan()) == 1


def test_failed_task_is_retried_elsewhere_until_max_attempts(
    harness: ShardHarness,
) -> None:
    harness.add_worker("w1")
    harness.add_worker("w2")
    job = harness.add_job(Step(1, cpu=1000))
    (first,) = harness.start_all()
    harness.report(first.worker_id, (first, EndKind.FAILED))
    harness.now += 1
    (second,) = harness.start_all()
    assert second.worker_id != first.worker_id
    assert second.run == first.run + 1
    harness.report(second.worker_id, (second, EndKind.FAILED))
    assert job.state is JobState.FAILED
    assert harness.plan() == []


def fail_beside_a_full_worker(harness: ShardHarness) -> tuple[StartOrder, StartOrder]:
    """Fill ``w1`` with one job and have the task of another fail on ``w2``."""
    harness.add_worker("w1")
    harness.add_job(Step(1, cpu=64_000), job_id="b" * 16)
    (filling,) = harness.start_all()
    harness.add_worker("w2")
    harness.add_job(Step(1, cpu=1000))
    (failed,) = harness.start_all()
    harness.report("w2", (failed, EndKind.FAILED))
    harness.now += RETRY_PAUSE_S
    return filling, failed


def test_failed_task_does_not_use_up_its_attempts_on_a_faulty_worker(
    harness: ShardHarness,
) -> None:
    filling, failed = fail_beside_a_full_worker(harness)
    assert harness.plan() == []
    harness.report("w1", (filling, EndKind.DONE))
    (again,) = harness.plan()
    assert (again.task, again.worker_id) == (failed.task, "w1")


def test_failed_task_does_not_wait_long_for_another_worker(
    harness: ShardHarness,
) -> None:
    _, failed = fail_beside_a_full_worker(harness)
    harness.now += RETRY_ELSEWHERE_S
    (again,) = harness.plan()
    assert (again.task, again.worker_id) == (failed.task, "w2")


def test_faulty_worker_does_not_fail_a_job_at_once_if_there_is_no_other(
    harness: ShardHarness,
) -> None:
    harness.add_worker("w1")
    job = harness.add_job(Step(1, cpu=1000))
    (first,) = harness.start_all()
    harness.report("w1", (first, EndKind.FAILED))
    harness.now += RETRY_ELSEWHERE_S - 0.1
    assert harness.plan() == []
    harness.now += 0.1
    (second,) = harness.start_all()
    harness.report("w1", (second, EndKind.FAILED))
    assert job.state is JobState.FAILED


def test_unanswered_start_is_retried_after_its_deadline(harness: ShardHarness) -> None:
    harness.add_worker("w1")
    harness.add_job(Step(1, cpu=1000))
    (order,) = harness.plan()
    prepared = harness.shard.prepare_start(order, harness.now)
    assert prepared is not None
    lost = Reply(ReplyKind.NO_ANSWER)
    harness.shard.apply_start_reply(prepared, lost, harness.now)
    harness.report("w1")
    assert harness.plan() == []
    harness.now += START_WINDOW_MS / 1000 * 1.05
    harness.report("w1")
    (again,) = harness.plan()
    assert again.run == order.run + 1


def test_run_of_a_previous_owner_is_adopted_if_it_is_reported(
    harness: ShardHarness,
) -> None:
    job = Job(Submission("b" * 16, POLICY, "spec", (Step(2, cpu=1000),)))
    job.open_due_occurrences(WALL_MS)
    job.state = JobState.RUNNING
    for task in job.occurrences[0].steps[0]:
        task.place("w1", 0.0, 0.0, 4)
    restored = restore_job(job.submission, encode_progress(job))
    harness.shard.add_job(restored, harness.now, WALL_MS)
    harness.shard.observe_worker(ENTRY, harness.now)
    there, absent = restored.occurrences[0].steps[0]
    running = (RunningTask(there.task_id, 4, "", 10),)
    report = HoldReport(2000.0, running, ())
    harness.shard.apply_report("w1", report, harness.now, harness.now)
    assert there.phase is TaskPhase.RUNNING
    assert absent.phase is TaskPhase.WAITING
    (order,) = harness.plan()
    assert (order.task, order.run) == (absent.task_id, 5)


def adopt_running_task(harness: ShardHarness) -> None:
    """Load a run of a previous owner; its worker's clock is 4 s past the registered."""
    harness.shard.claimed_at = harness.now
    job = Job(Submission("b" * 16, POLICY, "spec", (Step(1, cpu=1000),)))
    job.open_due_occurrences(WALL_MS)
    job.state = JobState.RUNNING
    (task,) = job.occurrences[0].steps[0]
    task.place("w1", 0.0, 0.0, 4)
    restored = restore_job(job.submission, encode_progress(job))
    harness.shard.add_job(restored, harness.now, WALL_MS)
    harness.shard.observe_worker(ENTRY, harness.now)
    record = harness.shard.workers["w1"]
    record.lease_ms = ENTRY.clock_ms + LEASE_S * 1000
    running = (RunningTask(task.task_id, 4, "", 10),)
    report = HoldReport(ENTRY.clock_ms + 4000.0, running, ())
    harness.shard.apply_report("w1", report, harness.now, harness.now)


@pytest.mark.parametrize("registered", [True, False])
def test_run_is_not_released_within_a_lease_of_a_previous_owner(
    harness: ShardHarness, registered: bool
) -> None:
    adopt_running_task(harness)
    harness.add_worker("w2")
    harness.shard.apply_failure("w1", Reply(ReplyKind.NO_ANSWER), harness.now)
    if not registered:
        harness.shard.mark_unregistered("w1")
    harness.now += LEASE_S
    harness.shard.expire_workers(harness.now)
    assert harness.plan() == []
    harness.now += 0.5
    harness.shard.expire_workers(harness.now)
    assert [order.worker_id for order in harness.plan()] == ["w2"]


def test_lease_of_a_previous_owner_does_not_keep_runs_on_a_dead_vm(
    harness: ShardHarness,
) -> None:
    adopt_running_task(harness)
    harness.add_worker("w2")
    harness.shard.apply_failure("w1", Reply(ReplyKind.NO_ANSWER), harness.now)
    harness.shard.apply_live_workers({"w2"}, harness.now + 0.1)
    assert [order.worker_id for order in harness.plan()] == ["w2"]


def test_run_whose_end_did_not_fit_into_a_report_is_not_started_again(
    harness: ShardHarness,
) -> None:
    harness.add_worker("w1")
    job = harness.add_job(Step(MAX_REPORTED_ENDS + 2, cpu=1, estimate_ms=100))
    orders = harness.start_all()
    assert len(orders) == MAX_REPORTED_ENDS + 2
    ended = [
        EndedTask(sequence, order.task, order.run, EndKind.DONE, "")
        for sequence, order in enumerate(orders, 1)
    ]
    for first in (0, MAX_REPORTED_ENDS):
        harness.now += 0.1
        ends = tuple(ended[first : first + MAX_REPORTED_ENDS])
        report = HoldReport(1000.0 + first, (), ends)
        harness.shard.apply_report("w1", report, harness.now, harness.now)
        assert harness.plan() == []
    assert job.state is JobState.SUCCEEDED


def test_silent_worker_keeps_its_runs_until_the_lease_expires(
    harness: ShardHarness,
) -> None:
    harness.add_worker("w1")
    harness.add_worker("w2")
    harness.add_job(Step(1, cpu=1000))
    (order,) = harness.start_all()
    record = harness.shard.workers[order.worker_id]
    assert record.clock is not None
    record.lease_ms = record.clock.estimate(harness.now) + 5000
    silent = Reply(ReplyKind.NO_ANSWER)
    harness.shard.apply_failure(order.worker_id, silent, harness.now)
    harness.now += 5.0
    harness.shard.expire_workers(harness.now)
    assert harness.plan() == []
    # the worker's clock may be 2 % slow
    harness.now += 0.11
    harness.shard.expire_workers(harness.now)
    (again,) = harness.plan()
    assert again.worker_id != order.worker_id


def test_worker_of_a_dead_vm_is_ended_at_once(harness: ShardHarness) -> None:
    harness.add_worker("w1")
    harness.add_worker("w2")
    harness.add_job(Step(1, cpu=1000))
    (order,) = harness.start_all()
    silent = Reply(ReplyKind.NO_ANSWER)
    harness.shard.apply_failure(order.worker_id, silent, harness.now)
    alive = {"w1", "w2"}
    harness.shard.apply_live_workers(alive, harness.now + 0.1)
    assert harness.plan() == []
    harness.shard.apply_live_workers(alive - {order.worker_id}, harness.now + 0.1)
    (again,) = harness.plan()
    assert again.worker_id != order.worker_id


def test_vm_list_requested_before_the_silence_is_ignored(harness: ShardHarness) -> None:
    harness.add_worker("w1")
    harness.shard.apply_failure("w1", Reply(ReplyKind.NO_ANSWER), harness.now)
    harness.shard.apply_live_workers(set(), harness.now - 0.1)
    assert "w1" in harness.shard.workers


def test_cancel_stops_running_tasks_and_starts_none(harness: ShardHarness) -> None:
    harness.add_worker("w1")
    job = harness.add_job(Step(2, cpu=40_000))
    (order,) = harness.start_all()
    harness.shard.cancel(job.submission.job_id)
    assert harness.plan() == []
    (stop,) = harness.shard.list_stops(harness.now)
    assert (stop.task, stop.run) == (order.task, order.run)
    assert harness.shard.list_stops(harness.now + 0.1) == []
    assert len(harness.shard.list_stops(harness.now + 1)) == 1


def test_cancel_before_the_job_arrives_takes_effect(harness: ShardHarness) -> None:
    harness.add_worker("w1")
    harness.shard.cancel("a" * 16)
    job = harness.add_job(Step(1, cpu=1000))
    assert job.state is JobState.CANCELLED
    assert harness.plan() == []


def test_start_order_of_a_cancelled_job_is_not_sent(harness: ShardHarness) -> None:
    harness.add_worker("w1")
    job = harness.add_job(Step(1, cpu=1000))
    (order,) = harness.plan()
    harness.shard.cancel(job.submission.job_id)
    assert harness.shard.prepare_start(order, harness.now) is None
    assert not harness.shard.workers["w1"].present


def test_unexpected_run_is_stopped(harness: ShardHarness) -> None:
    harness.add_worker("w1")
    job = harness.add_job(Step(1, cpu=1000))
    task = job.occurrences or None
    assert task is None
    (order,) = harness.plan()
    running = (RunningTask(order.task, order.run + 7, "", 10),)
    harness.shard.apply_report(
        "w1", HoldReport(9e3, running, ()), harness.now, harness.now
    )
    (stop,) = harness.shard.list_stops(harness.now)
    assert stop.run == order.run + 7


def test_cancelled_run_on_an_unregistered_worker_that_answers_is_stopped(
    harness: ShardHarness,
) -> None:
    # its lease was renewed without end
    harness.add_worker("w1")
    job = harness.add_job(Step(1, cpu=1000, long_running=True))
    (order,) = harness.start_all()
    harness.shard.mark_unregistered("w1")
    harness.report("w1")
    harness.shard.cancel(job.submission.job_id)
    (stop,) = harness.shard.list_stops(harness.now)
    assert (stop.worker_id, stop.task) == ("w1", order.task)


def test_worker_without_registration_that_is_silent_gets_no_stop_order(
    harness: ShardHarness,
) -> None:
    harness.add_worker("w1")
    job = harness.add_job(Step(1, cpu=1000, long_running=True))
    harness.start_all()
    harness.shard.mark_unregistered("w1")
    harness.shard.apply_failure("w1", Reply(ReplyKind.NO_ANSWER), harness.now)
    harness.shard.cancel(job.submission.job_id)
    assert harness.shard.list_stops(harness.now) == []


def test_serving_tasks_leave_a_cordoned_worker_one_at_a_time(
    harness: ShardHarness,
) -> None:
    harness.add_worker("w1")
    harness.add_job(Step(3, cpu=1000, long_running=True, may_miss=1))
    orders = harness.start_all()
    harness.report("w1")
    harness.add_worker("w2")
    harness.shard.set_cordons({"w1": "upkeep#1"})
    assert harness.plan() == []
    (stop,) = harness.shard.list_stops(harness.now)
    harness.plan()
    assert harness.shard.list_stops(harness.now) == []
    stopped = next(order for order in orders if order.task == stop.task)
    harness.report("w1", (stopped, EndKind.STOPPED))
    (moved,) = harness.start_all()
    assert moved.worker_id == "w2"
    assert harness.shard.list_stops(harness.now) == []
    harness.report("w2")
    harness.plan()
    assert len(harness.shard.list_stops(harness.now)) == 1


def test_cordoned_worker_is_reported_empty_under_its_cordon(
    harness: ShardHarness,
) -> None:
    harness.add_worker("w1")
    harness.shard.set_cordons({"w1": "move#4"})
    assert harness.shard.build_report(harness.now).emptied == {"w1": "move#4"}
    harness.shard.set_cordons({})
    harness.add_job(Step(1, cpu=1000))
    harness.start_all()
    harness.shard.set_cordons({"w1": "move#5"})
    assert harness.shard.build_report(harness.now).emptied == {}


def test_small_tasks_do_not_starve_a_large_serving_task(
    harness: ShardHarness,
) -> None:
    harness.add_worker("w1", cpu=10_000)
    small = [
        harness.add_job(Step(1, cpu=2000), job_id=f"{number:016x}")
        for number in range(9)
    ]
    orders = harness.start_all()
    assert len(orders) == 5 < len(small)
    harness.add_job(Step(1, cpu=8000, long_running=True), job_id="f" * 16)
    for number, order in enumerate(orders[:4]):
        harness.report("w1", (order, EndKind.DONE))
        placed = harness.plan()
        if number < 3:
            assert placed == []
        else:
            assert [order.task.job_id for order in placed] == ["f" * 16]


def test_gang_starts_whole_or_not_at_all(harness: ShardHarness) -> None:
    harness.add_worker("w1", cpu=2000)
    harness.add_job(Step(3, cpu=1000, gang=True))
    assert harness.plan() == []
    harness.add_worker("w2", cpu=2000)
    orders = harness.start_all()
    assert len(orders) == 3
    assert {order.run for order in orders} == {1}
    harness.report(orders[0].worker_id, (orders[0], EndKind.DONE))
    job = harness.shard.jobs["a" * 16]
    assert job.state is JobState.SUCCEEDED


def test_worker_that_fails_every_task_is_blocked(harness: ShardHarness) -> None:
    harness.add_worker("w1")
    for number in range(2):
        harness.add_job(Step(1, cpu=1000), job_id=f"{number:016x}")
    for order in harness.start_all():
        harness.report("w1", (order, EndKind.FAILED))
    harness.add_worker("w2")
    harness.now += 0.2
    assert {order.worker_id for order in harness.plan()} == {"w2"}


def test_nothing_starts_on_a_draining_worker(harness: ShardHarness) -> None:
    harness.add_worker("w1")
    harness.add_worker("w2")
    draining = attrs.evolve(ENTRY, worker_id="w1", state=WorkerState.DRAINING)
    harness.shard.observe_worker(draining, harness.now)
    harness.add_job(Step(3, cpu=1000))
    assert {order.worker_id for order in harness.plan()} == {"w2"}


def test_required_label_and_anti_affinity_are_kept(harness: ShardHarness) -> None:
    harness.add_worker("w1")
    harness.add_worker("w2", labels=("b", "r1"))
    harness.add_worker("w3", labels=("b", "r2"))
    harness.add_job(Step(5, cpu=1000, requires="b", anti_affinity=2))
    placed = sorted(order.worker_id for order in harness.plan())
    assert placed == ["w2", "w2", "w3", "w3"]


def test_task_runs_near_its_data_where_capacity_is_free(harness: ShardHarness) -> None:
    harness.add_worker("w1")
    harness.add_worker("w2", labels=("a", "r2"), cpu=2000)
    harness.add_job(Step(3, cpu=1000, affinity="r2"))
    placed = sorted(order.worker_id for order in harness.plan())
    assert placed == ["w1", "w2", "w2"]


def test_tasks_done_between_two_passes_are_logged_in_one_line(
    harness: ShardHarness,
) -> None:
    harness.add_worker("w1")
    harness.add_worker("w2")
    harness.add_job(Step(4, cpu=1000, anti_affinity=3))
    orders = harness.start_all()
    first, other = orders[0].worker_id, orders[3].worker_id
    ends = [(orders[0], EndKind.DONE), (orders[1], EndKind.DONE)]
    with structlog.testing.capture_logs() as lines:
        harness.report(first, *ends, (orders[2], EndKind.FAILED))
        harness.report(other, (orders[3], EndKind.DONE))
        harness.plan()
        harness.plan()
    done = [line for line in lines if line["event"] == "tasks done"]
    failed = [line for line in lines if line["event"] == "task ended"]
    ended = [str(orders[number].task) for number in (0, 1, 3)]
    assert [line["tasks"] for line in done] == [ended]
    assert done[0]["workers"] == [first, other]
    assert [line["task"] for line in failed] == [str(orders[2].task)]


def test_clock_bounds_allow_for_drift() -> None:
    clock = WorkerClock(1000.0, 10.0)
    assert clock.estimate(20.0) == 11_000.0
    assert clock.get_lower_bound(20.0) == pytest.approx(10_800.0)
    clock.observe(10_000.0, 20.0)
    assert clock.sample_ms == 1000.0
    clock.observe(10_900.0, 20.0)
    assert clock.sample_ms == 10_900.0


def test_report_sums_the_work_of_submitted_jobs(harness: ShardHarness) -> None:
    harness.add_job(Step(4, cpu=32_000, estimate_ms=500), Step(2, long_running=True))
    assert harness.shard.build_report(harness.now).offered == 0.0
    harness.add_worker("w1")
    assert harness.shard.build_report(harness.now).offered == 1.0
    harness.add_job(
        Step(1, cpu=1000, memory_mb=256_000, estimate_ms=250), job_id="b" * 16
    )
    assert harness.shard.build_report(harness.now).offered == 1.25
    assert harness.shard.build_report(harness.now).offered == 1.25


def test_hold_wait_is_shorter_where_runs_are_expected_to_end(
    harness: ShardHarness,
) -> None:
    harness.shard.observe_worker(ENTRY, harness.now)
    record = harness.shard.workers["w1"]
    assert choose_hold_wait(record) == 0.0
    harness.report("w1")
    assert choose_hold_wait(record) == IDLE_WAIT_S
    harness.add_job(Step(1, cpu=1000, long_running=True), job_id="b" * 16)
    harness.start_all()
    assert choose_hold_wait(record) == IDLE_WAIT_S
    harness.add_job(Step(1, cpu=1000))
    (order,) = harness.start_all()
    assert choose_hold_wait(record) == BUSY_WAIT_S
    lost = Reply(ReplyKind.NO_ANSWER)
    harness.shard.apply_failure("w1", lost, harness.now)
    assert choose_hold_wait(record) == 0.0
    harness.report("w1", (order, EndKind.DONE))
    assert choose_hold_wait(record) == IDLE_WAIT_S


def test_report_counts_only_waiting_tasks_that_need_more_vms(
    harness: ShardHarness,
) -> None:
    harness.add_worker("w1")
    harness.add_job(Step(1, cpu=64_000, estimate_ms=1000))
    harness.start_all()
    harness.add_job(Step(1, cpu=64_000, estimate_ms=5000), job_id="b" * 16)
    assert harness.plan() == []
    # the job has to end within 8.6 s and takes 5 s, so it can wait for 3.6 s
    assert harness.shard.build_report(harness.now).queued == 0.0
    assert harness.shard.build_report(harness.now + 1.5).queued == 1.0
    assert harness.shard.build_report(harness.now + 4.0).queued == 0.0


def test_start_order_still_being_stored_is_not_treated_as_lost(
    harness: ShardHarness,
) -> None:
    harness.add_worker("w1")
    harness.add_job(Step(1, cpu=1000))
    (order,) = harness.plan()
    harness.now += START_WINDOW_MS / 1000 * 3
    harness.report("w1")
    assert harness.plan() == []
    prepared = harness.shard.prepare_start(order, harness.now)
    assert prepared is not None
    assert prepared.run == order.run


def test_serving_tasks_that_fit_on_no_worker_keep_no_others_from_it(
    harness: ShardHarness,
) -> None:
    large = Step(2, cpu=1000, memory_mb=150_000, long_running=True)
    for worker_id in ("w1", "w2"):
        harness.add_worker(worker_id)
    for name in "abc":
        harness.add_job(large, job_id=name * 16)
    assert len(harness.start_all()) == 2
    harness.report("w1")
    harness.report("w2")
    harness.add_job(Step(1, cpu=1000, memory_mb=100), job_id="d" * 16)
    assert [order.task.job_id for order in harness.plan()] == ["d" * 16]


def test_worker_is_reserved_for_a_serving_task_that_waits_for_finite_ones(
    harness: ShardHarness,
) -> None:
    harness.add_worker("w1")
    harness.add_job(Step(1, cpu=60_000))
    (busy,) = harness.start_all()
    harness.add_job(Step(1, cpu=60_000, long_running=True), job_id="b" * 16)
    harness.add_job(Step(1, cpu=1000), job_id="c" * 16)
    assert harness.plan() == []
    harness.report("w1", (busy, EndKind.DONE))
    assert {order.task.job_id for order in harness.plan()} == {"b" * 16, "c" * 16}


@pytest.mark.parametrize(
    "changes", [{"failing_since": 100.0}, {"blocked_until": math.inf}]
)
def test_no_worker_is_reserved_that_takes_no_tasks(
    harness: ShardHarness, changes: dict[str, float]
) -> None:
    harness.add_worker("w1", cpu=60_000)
    harness.add_worker("w2")
    harness.add_job(Step(2, cpu=40_000))
    assert len(harness.start_all()) == 2
    for name, value in changes.items():
        setattr(harness.shard.workers["w1"], name, value)
    harness.add_job(Step(1, cpu=60_000, long_running=True), job_id="b" * 16)
    harness.add_job(Step(1, cpu=10_000), job_id="c" * 16)
    assert harness.plan() == []


def test_no_worker_is_reserved_that_the_policy_does_not_allow(
    harness: ShardHarness,
) -> None:
    harness.add_worker("w1")
    harness.add_worker("w2")
    harness.add_job(Step(1, cpu=60_000))
    (busy,) = harness.start_all()
    step = Step(1, cpu=60_000, long_running=True)
    advised = attrs.evolve(POLICY, advised=True)
    job = Job(Submission("b" * 16, advised, "spec", (step,)))
    harness.shard.add_job(job, harness.now, WALL_MS)
    advice = Advice({busy.worker_id: "ticket"}, 60.0)
    harness.shard.ticket_cache.store_advice(("b" * 16, 0, 0), advice, harness.now)
    harness.add_job(Step(1, cpu=1000), job_id="c" * 16)
    (order,) = harness.plan()
    assert order.worker_id != busy.worker_id


def test_worker_is_reserved_for_a_serving_task_although_another_is_silent(
    harness: ShardHarness,
) -> None:
    # the silent worker was reserved, and smaller tasks took the other one for ever
    harness.add_worker("w1")
    harness.add_job(Step(2, cpu=30_000))
    first, second = harness.start_all()
    harness.add_worker("w2")
    silent = Reply(ReplyKind.NO_ANSWER)
    harness.shard.apply_failure("w2", silent, harness.now)
    harness.add_job(Step(1, cpu=60_000, long_running=True), job_id="b" * 16)
    harness.add_job(Step(1, cpu=30_000), job_id="c" * 16)
    harness.report("w1", (first, EndKind.DONE))
    assert harness.plan() == []
    harness.report("w1", (second, EndKind.DONE))
    assert [order.task.job_id for order in harness.plan()] == ["b" * 16]


def test_ended_gang_of_a_cancelled_job_leaves_no_run_behind(
    harness: ShardHarness,
) -> None:
    # freed on its worker but still placed, a member was freed again, or never ended
    harness.add_worker("w1", cpu=2000)
    harness.add_worker("w2", cpu=2000)
    job = harness.add_job(Step(2, cpu=2000, gang=True))
    first, second = harness.start_all()
    harness.shard.cancel(job.submission.job_id)
    harness.shard.mark_stored(job.submission.job_id, JobState.CANCELLED, harness.now)
    harness.report(first.worker_id, (first, EndKind.DONE))
    harness.report(second.worker_id, (second, EndKind.DONE))
    assert harness.shard.jobs == {}
    assert [item.cpu_used for item in harness.shard.workers.values()] == [0, 0]
    assert harness.shard.list_stops(harness.now) == []
