"""Detection of stalled and slow workers, whose tasks move to other workers."""

import pytest

from onyxgap.jobs.job import Task
from onyxgap.jobs.messages import EndKind
from onyxgap.jobs.messages import RunningTask
from onyxgap.jobs.messages import Step
from onyxgap.jobs.messages import TaskId
from onyxgap.jobs.progress import MIN_INTERVAL_S
from onyxgap.jobs.progress import Progress
from onyxgap.jobs.shard import Shard
from onyxgap.jobs.stragglers import INITIAL_EJECTION_S
from onyxgap.jobs.stragglers import MAX_EJECTION_S
from onyxgap.jobs.stragglers import MAX_MOVES
from onyxgap.jobs.stragglers import SpeedClass
from onyxgap.jobs.stragglers import classify_speed
from onyxgap.jobs.stragglers import get_ejection_time
from onyxgap.jobs.stragglers import get_relative_speed
from onyxgap.jobs.workers import HoldReport
from onyxgap.jobs.workers import StartOrder
from tests.test_shard import ShardHarness

STEP = Step(1, cpu=1000, estimate_ms=2000)


@pytest.fixture
def harness() -> ShardHarness:
    harness = ShardHarness(Shard("s", epoch=3, claimed_at=50.0))
    harness.add_worker("w1")
    harness.add_worker("w2")
    return harness


def report_progress(harness: ShardHarness, order: StartOrder, percent: int) -> None:
    harness.now += MIN_INTERVAL_S + 0.1
    clock_ms = 1000.0 + (harness.now - 100.0) * 1000
    item = RunningTask(order.task, order.run, "", percent)
    report = HoldReport(clock_ms, (item,), ())
    harness.shard.apply_report(order.worker_id, report, harness.now, harness.now)


def report_late(
    harness: ShardHarness, order: StartOrder, percent: int, clock_ms: float
) -> None:
    item = RunningTask(order.task, order.run, "", percent)
    report = HoldReport(clock_ms, (item,), ())
    harness.shard.apply_report(order.worker_id, report, harness.now, harness.now)


@pytest.fixture
def order(harness: ShardHarness) -> StartOrder:
    """Start a run whose worker reports 30 and then 60 percent, 0.7 s apart."""
    harness.add_job(STEP)
    (order,) = harness.start_all()
    report_progress(harness, order, 30)
    report_progress(harness, order, 60)
    return order


def test_pause_of_the_owner_does_not_make_a_worker_look_stalled(
    harness: ShardHarness, order: StartOrder
) -> None:
    generated_ms = 1000.0 + (harness.now - 100.0) * 1000 + 10.0
    harness.now += 5.0
    report_late(harness, order, 60, generated_ms)
    harness.plan()
    assert harness.shard.list_stops(harness.now) == []
    assert harness.shard.workers[order.worker_id].ejected_until <= harness.now


def test_report_processed_out_of_order_does_not_make_a_worker_look_stalled(
    harness: ShardHarness, order: StartOrder
) -> None:
    latest_ms = 1000.0 + (harness.now - 100.0) * 1000
    harness.now += 1.0
    report_late(harness, order, 55, latest_ms - 50.0)
    harness.plan()
    assert harness.shard.list_stops(harness.now) == []


def test_speed_is_declared_run_time_per_second() -> None:
    progress = Progress(10.0, 20)
    progress.observe(30, 2000, 10.3)
    assert progress.speed is None
    progress.observe(70, 2000, 11.0)
    assert progress.speed == pytest.approx(1.0)
    progress.observe(70, 2000, 12.0)
    assert progress.speed == 0.0


def build_task(worker_id: str, speed: float | None) -> Task:
    task = Task(TaskId("a", 0, 0, 0), worker_id=worker_id)
    task.progress = Progress(0.0, speed=speed)
    return task


def test_task_is_compared_with_its_step_on_other_workers() -> None:
    task = build_task("w1", 0.3)
    same_worker = build_task("w1", 3.0)
    others = [build_task("w2", 1.0), build_task("w3", 2.0), build_task("w3", None)]
    assert get_relative_speed(task, [task, same_worker]) is None
    assert get_relative_speed(task, [task, same_worker, *others]) == pytest.approx(0.2)
    assert get_relative_speed(build_task("w1", None), others) is None


@pytest.mark.parametrize(
    ("speeds", "ratios", "pace"),
    [
        ([], [], SpeedClass.UNKNOWN),
        ([0.0], [], SpeedClass.STALLED),
        ([0.0, 0.0], [0.0, 0.0], SpeedClass.STALLED),
        ([0.2, 0.2], [0.2, 0.25], SpeedClass.SLOW),
        # a job with a far too short declared run time doesn't make the worker slow
        ([0.2, 0.2], [], SpeedClass.NORMAL),
        ([0.2, 0.2], [0.2], SpeedClass.NORMAL),
        ([0.2, 0.9], [0.2, 0.9, 1.1], SpeedClass.NORMAL),
    ],
)
def test_speed_class(
    speeds: list[float], ratios: list[float], pace: SpeedClass
) -> None:
    assert classify_speed(speeds, ratios) is pace


def test_stalled_task_is_started_on_another_worker(harness: ShardHarness) -> None:
    harness.add_job(STEP)
    (order,) = harness.start_all()
    report_progress(harness, order, 30)
    report_progress(harness, order, 60)
    assert harness.plan() == []
    assert harness.shard.list_stops(harness.now) == []
    report_progress(harness, order, 60)
    harness.plan()
    assert [stop.task for stop in harness.shard.list_stops(harness.now)] == [order.task]
    harness.report(order.worker_id, (order, EndKind.STOPPED))
    (again,) = harness.plan()
    assert again.worker_id != order.worker_id
    assert again.run == order.run + 1


def test_stalled_task_stays_if_no_other_worker_has_capacity(
    harness: ShardHarness,
) -> None:
    harness.add_job(Step(2, cpu=64_000, estimate_ms=2000))
    first, second = harness.start_all()
    report_progress(harness, second, 50)
    report_progress(harness, first, 60)
    report_progress(harness, first, 60)
    harness.plan()
    assert harness.shard.list_stops(harness.now) == []


def test_task_that_stalls_everywhere_is_moved_only_twice(harness: ShardHarness) -> None:
    harness.add_job(STEP)
    for _ in range(MAX_MOVES):
        (order,) = harness.start_all()
        report_progress(harness, order, 0)
        report_progress(harness, order, 0)
        harness.plan()
        assert len(harness.shard.list_stops(harness.now)) == 1
        harness.report(order.worker_id, (order, EndKind.STOPPED))
        harness.now += MAX_EJECTION_S
    (order,) = harness.start_all()
    report_progress(harness, order, 0)
    report_progress(harness, order, 0)
    harness.plan()
    assert harness.shard.list_stops(harness.now) == []


def test_block_time_of_a_slow_worker_doubles_up_to_its_bound() -> None:
    assert [get_ejection_time(number) for number in range(4)] == [
        INITIAL_EJECTION_S,
        2 * INITIAL_EJECTION_S,
        4 * INITIAL_EJECTION_S,
        MAX_EJECTION_S,
    ]
