"""Ejection of workers that seem faulty or slow."""

import itertools
import typing as t

import pytest

from onyxgap.jobs import shard_reports
from onyxgap.jobs.messages import EndKind
from onyxgap.jobs.messages import JobState
from onyxgap.jobs.messages import Step
from onyxgap.jobs.outliers import PROBE_INTERVAL_S
from onyxgap.jobs.outliers import PROBE_PATIENCE_S
from onyxgap.jobs.outliers import readmit_excess
from onyxgap.jobs.shard import Shard
from onyxgap.jobs.shard_reports import REFUSAL_BLOCK_S
from onyxgap.jobs.stragglers import MAX_EJECTION_S
from onyxgap.jobs.stragglers import SpeedClass
from onyxgap.jobs.workers import Reply
from onyxgap.jobs.workers import ReplyKind
from onyxgap.jobs.workers import StartOrder
from tests.test_shard import ShardHarness


@pytest.fixture
def harness() -> ShardHarness:
    return ShardHarness(Shard("s", epoch=3, claimed_at=50.0))


def list_ejected(harness: ShardHarness) -> list[str]:
    return [
        worker_id
        for worker_id, record in harness.shard.workers.items()
        if record.is_ejected(harness.now)
    ]


def fail_all(harness: ShardHarness) -> None:
    for order in harness.start_all():
        harness.report(order.worker_id, (order, EndKind.FAILED))


def test_failures_of_one_job_eject_no_worker(harness: ShardHarness) -> None:
    harness.add_worker("w1")
    harness.add_worker("w2")
    harness.add_job(Step(4, cpu=1000))
    fail_all(harness)
    assert list_ejected(harness) == []


def test_tasks_of_a_job_avoid_a_worker_that_failed_one(harness: ShardHarness) -> None:
    harness.add_worker("w1")
    job = harness.add_job(Step(2, cpu=1000))
    fail_all(harness)
    harness.add_worker("w2")
    harness.now += 0.1
    assert {order.worker_id for order in harness.start_all()} == {"w2"}
    assert job.state is JobState.RUNNING


def test_worker_that_fails_tasks_of_two_jobs_is_ejected(harness: ShardHarness) -> None:
    harness.add_worker("w1")
    for job_id in ("a" * 16, "b" * 16):
        harness.add_job(Step(1, cpu=1000), job_id=job_id)
    fail_all(harness)
    assert harness.shard.workers["w1"].ejected_until > harness.now


@pytest.mark.parametrize(
    ("count", "ejected"), [(1, []), (2, ["w2"]), (5, ["w4", "w5"])]
)
def test_at_most_half_of_the_usable_workers_stay_ejected(
    harness: ShardHarness, count: int, ejected: t.Sequence[str]
) -> None:
    for number in range(1, count + 1):
        harness.add_worker(f"w{number}")
        harness.shard.workers[f"w{number}"].ejected_until = harness.now + number
    readmit_excess(harness.shard.workers.values(), harness.now)
    assert list_ejected(harness) == ejected


def test_cordoned_workers_are_not_counted_as_usable(harness: ShardHarness) -> None:
    for worker_id in ("w1", "w2", "w3"):
        harness.add_worker(worker_id)
    harness.shard.set_cordons({"w1": "move#1", "w2": "move#2"})
    harness.shard.workers["w3"].ejected_until = harness.now + 1
    readmit_excess(harness.shard.workers.values(), harness.now)
    assert list_ejected(harness) == []


def test_ejection_leaves_a_worker_to_steps_with_a_label(harness: ShardHarness) -> None:
    """Two jobs that fail by themselves hold a third off the only worker it may use."""
    harness.add_worker("w1", labels=("gpu", "r1"))
    for worker_id in ("w2", "w3"):
        harness.add_worker(worker_id, labels=("plain", "r1"))
    for job_id in ("a" * 16, "b" * 16):
        harness.add_job(Step(1, cpu=1000, requires="gpu"), job_id=job_id)
    for order in harness.start_all():
        harness.report(order.worker_id, (order, EndKind.FAILED))
    harness.add_job(Step(1, cpu=1000, requires="gpu"), job_id="c" * 16)
    harness.now += 3.0
    placed = {order.task.job_id for order in harness.plan()}
    assert "c" * 16 in placed


def test_serving_tasks_that_wait_leave_workers_to_other_jobs(
    harness: ShardHarness,
) -> None:
    """Each waiting serving step reserves a worker: two close a pool of two."""
    harness.add_worker("w1")
    harness.add_worker("w2")
    harness.add_job(Step(2, cpu=1000, anti_affinity=1), job_id="a" * 16)
    assert len(harness.start_all()) == 2
    for job_id in ("b" * 16, "c" * 16):
        harness.add_job(Step(1, cpu=64_000, long_running=True), job_id=job_id)
    assert harness.plan() == []
    harness.add_job(Step(1, cpu=1000), job_id="d" * 16)
    harness.now += 3.0
    placed = [order.task.job_id for order in harness.plan()]
    assert placed == ["d" * 16]


def test_faulty_worker_does_not_use_up_the_attempts_of_a_single_job(
    harness: ShardHarness,
) -> None:
    """A worker that fails all it starts, while the other one of the pool is full."""
    harness.add_worker("w1", cpu=4000)
    harness.add_worker("w2", cpu=4000)
    full = harness.add_job(Step(1, cpu=4000), job_id="b" * 16)
    (order,) = harness.start_all()
    faulty = "w2" if order.worker_id == "w1" else "w1"
    job = harness.add_job(Step(2, cpu=1000))
    for _ in range(20):
        for order in harness.start_all():
            assert order.worker_id == faulty
            harness.report(order.worker_id, (order, EndKind.FAILED))
        harness.now += 0.1
    assert full.state is JobState.RUNNING
    assert job.state is not JobState.FAILED


def test_refusals_of_one_half_and_ejection_of_the_other_close_a_pool(
    harness: ShardHarness,
) -> None:
    """Two of four workers are ejected, two refuse: the ejected ones could run it."""
    for number in range(4):
        harness.add_worker(f"w{number}")
    for number in range(2):
        harness.shard.workers[f"w{number}"].ejected_until = harness.now + 4.0
    harness.add_job(Step(1, cpu=1000))
    started_at = harness.now
    refused = 0
    while harness.now < started_at + 3.0:
        for order in harness.plan():
            ready = harness.shard.prepare_start(order, harness.now)
            assert ready is not None
            if order.worker_id in ("w0", "w1"):
                return
            reply = Reply(ReplyKind.UNHEALTHY)
            harness.shard.apply_start_reply(ready, reply, harness.now)
            refused += 1
        harness.now += 0.05
    pytest.fail(f"stood still for 3 s, {refused} refused starts")


def refuse_starts(harness: ShardHarness, for_s: float) -> list[float]:
    """Have no start order reach a worker; return when one was placed, in seconds."""
    began = harness.now
    placed_at = []
    while harness.now < began + for_s:
        for order in harness.plan():
            ready = harness.shard.prepare_start(order, harness.now)
            assert ready is not None
            reply = Reply(ReplyKind.NOT_SENT)
            harness.shard.apply_start_reply(ready, reply, harness.now)
            placed_at.append(harness.now - began)
        harness.now += 0.05
    return placed_at


def test_starts_are_not_sent_three_times_a_second_to_a_worker_that_none_reaches(
    harness: ShardHarness,
) -> None:
    """A full worker is beside it, so that its ejection does not close the pool."""
    harness.add_worker("w1", cpu=4000)
    harness.add_worker("w2", cpu=2000)
    harness.add_job(Step(1, cpu=4000, long_running=True), job_id="b" * 16)
    assert [order.worker_id for order in harness.start_all()] == ["w1"]
    harness.add_job(Step(1, cpu=1000))
    placed_at = [at for at in refuse_starts(harness, 6.0) if at >= PROBE_PATIENCE_S]
    gaps = [later - at for at, later in itertools.pairwise(placed_at)]
    assert min(gaps) >= PROBE_INTERVAL_S


def test_start_that_reaches_a_worker_ends_its_ejection(harness: ShardHarness) -> None:
    for worker_id in ("w1", "w2"):
        harness.add_worker(worker_id, cpu=2000)
    harness.add_job(Step(2, cpu=2000), job_id="b" * 16)
    refuse_starts(harness, 1.0)
    assert not all(item.takes_starts for item in harness.shard.workers.values())
    harness.now += 4.0
    assert len(harness.start_all()) == 2
    assert list_ejected(harness) == []
    assert all(item.takes_starts for item in harness.shard.workers.values())


def test_undelivered_starts_leave_half_of_a_pool_open(harness: ShardHarness) -> None:
    for number in range(4):
        harness.add_worker(f"w{number}", cpu=2000)
    harness.add_job(Step(8, cpu=2000), job_id="b" * 16)
    refuse_starts(harness, 0.4)
    assert len(list_ejected(harness)) == 4
    harness.now += REFUSAL_BLOCK_S
    readmit_excess(harness.shard.workers.values(), harness.now)
    assert len(list_ejected(harness)) == 2


def test_short_refusal_of_a_start_does_not_eject_a_worker(
    harness: ShardHarness,
) -> None:
    harness.add_worker("w1")
    harness.add_worker("w2")
    harness.add_job(Step(4, cpu=1000))
    assert len(refuse_starts(harness, 0.05)) == 4
    assert list_ejected(harness) == []
    assert all(item.takes_starts for item in harness.shard.workers.values())


def test_streak_of_a_readmitted_worker_does_not_grow_with_each_report(
    harness: ShardHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A slow worker that stays open since it is alone gets ejections of 8 s at once."""
    monkeypatch.setattr(shard_reports, "classify_speed", lambda *_: SpeedClass.SLOW)
    harness.add_worker("w1")
    for _ in range(5):
        harness.report("w1")
        harness.plan()
    assert harness.shard.workers["w1"].slow_streak <= 1


def test_wide_job_does_not_fail_by_one_faulty_worker(harness: ShardHarness) -> None:
    """Three of four workers are sound and full; the faulty one is always free."""
    for number in range(4):
        harness.add_worker(f"w{number}", cpu=4000)
    job = harness.add_job(Step(24, cpu=1000))
    started: list[tuple[float, StartOrder]] = []
    end = harness.now + 3.0
    while harness.now < end and not job.state.final:
        for order in harness.start_all():
            if order.worker_id == "w0":
                harness.report("w0", (order, EndKind.FAILED))
            else:
                started.append((harness.now + 1.0, order))
        due = [item for item in started if item[0] <= harness.now]
        for item in due:
            started.remove(item)
            harness.report(item[1].worker_id, (item[1], EndKind.DONE))
        harness.now += 0.05
    assert job.state is not JobState.FAILED


def test_serving_task_returns_within_six_seconds_to_the_only_worker_that_may_run_it(
    harness: ShardHarness,
) -> None:
    """One task a worker: the third one has only the worker that is ejected for 8 s."""
    for number in range(3):
        harness.add_worker(f"w{number}")
    harness.add_job(Step(3, cpu=1000, long_running=True, anti_affinity=1))
    harness.shard.workers["w0"].ejected_until = harness.now + MAX_EJECTION_S
    assert len(harness.start_all()) == 2
    harness.now += 6.0
    for worker_id in ("w0", "w1", "w2"):
        harness.report(worker_id)
    assert [order.worker_id for order in harness.plan()] == ["w0"]
