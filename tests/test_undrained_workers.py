"""Jobs that stand still beside cordoned workers that are not reported drained."""

import pytest

from onyxgap.jobs.messages import EndKind
from onyxgap.jobs.messages import Step
from onyxgap.jobs.shard import Shard
from onyxgap.jobs.undrained import STANDING_S
from onyxgap.jobs.workers import StartOrder
from tests.test_shard import ShardHarness

SURPLUS = {"w2": "move#1.7"}


@pytest.fixture
def harness() -> ShardHarness:
    return ShardHarness(Shard("s", epoch=3, claimed_at=50.0))


def fill_workers(harness: ShardHarness) -> list[StartOrder]:
    """Fill two workers; return the orders of the two tasks on w2."""
    harness.add_worker("w1", cpu=1000)
    if "w2" not in harness.shard.workers:
        harness.add_worker("w2", cpu=2000)
    harness.add_job(Step(3, cpu=1000), job_id="a" * 16)
    orders = harness.start_all()
    return [order for order in orders if order.worker_id == "w2"]


def list_starts_after_standing(harness: ShardHarness) -> list[str]:
    """Submit a job that finds no open worker; return where it starts once it stands."""
    harness.add_job(Step(1, cpu=1000), job_id="b" * 16)
    assert harness.plan() == []
    harness.now += STANDING_S
    return [order.worker_id for order in harness.plan()]


def test_job_does_not_stand_still_beside_a_surplus_worker_that_is_not_drained(
    harness: ShardHarness,
) -> None:
    harness.shard.set_cordons({})
    order, _ = fill_workers(harness)
    harness.shard.set_cordons(SURPLUS)
    harness.report("w2", (order, EndKind.DONE))
    assert list_starts_after_standing(harness) == ["w2"]
    assert harness.shard.build_report(harness.now).emptied == {}


def test_no_task_starts_on_a_surplus_worker_that_was_reported_drained(
    harness: ShardHarness,
) -> None:
    harness.shard.set_cordons({})
    orders = fill_workers(harness)
    harness.shard.set_cordons(SURPLUS)
    harness.report("w2", *((order, EndKind.DONE) for order in orders))
    harness.shard.mark_stored("a" * 16, harness.shard.jobs["a" * 16].state, harness.now)
    for record in harness.shard.workers.values():
        record.unstored_jobs.clear()
    assert harness.shard.build_report(harness.now).emptied == SURPLUS
    assert list_starts_after_standing(harness) == []


def test_no_task_starts_on_a_surplus_worker_that_a_former_owner_may_have_reported(
    harness: ShardHarness,
) -> None:
    order, _ = fill_workers(harness)
    harness.shard.set_cordons(SURPLUS)
    harness.report("w2", (order, EndKind.DONE))
    assert list_starts_after_standing(harness) == []


def test_no_task_starts_on_a_worker_cordoned_for_maintenance(
    harness: ShardHarness,
) -> None:
    harness.shard.set_cordons({})
    order, _ = fill_workers(harness)
    harness.shard.set_cordons({"w2": "upkeep#1.7"})
    harness.report("w2", (order, EndKind.DONE))
    assert list_starts_after_standing(harness) == []


def test_job_does_not_stand_still_beside_a_worker_that_serving_tasks_cannot_leave(
    harness: ShardHarness,
) -> None:
    harness.shard.set_cordons({})
    harness.add_worker("w2", cpu=3000)
    harness.add_job(Step(1, cpu=1000, long_running=True), job_id="c" * 16)
    harness.start_all()
    order, _ = fill_workers(harness)
    harness.shard.set_cordons({"w2": "upkeep#1.7"})
    harness.report("w2", (order, EndKind.DONE))
    assert list_starts_after_standing(harness) == ["w2"]


def test_job_that_has_a_task_running_does_not_use_a_surplus_worker(
    harness: ShardHarness,
) -> None:
    harness.shard.set_cordons({})
    order, _ = fill_workers(harness)
    harness.shard.set_cordons(SURPLUS)
    harness.report("w2", (order, EndKind.DONE))
    job = harness.add_job(Step(1, cpu=1000), job_id="b" * 16)
    harness.plan()
    harness.now += STANDING_S
    job.active_at = harness.now
    assert harness.plan() == []
