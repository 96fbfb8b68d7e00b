"""Log lines that explain why tasks wait although workers are free."""

import attrs
import pytest
import structlog.testing

from onyxgap.jobs.messages import Step
from onyxgap.jobs.obstacles import MAX_REPORTED_STEPS
from onyxgap.jobs.obstacles import REPORT_AFTER_S
from onyxgap.jobs.obstacles import REPORT_INTERVAL_S
from onyxgap.jobs.obstacles import find_obstacle
from onyxgap.jobs.placing import WorkerRecord
from onyxgap.jobs.shard import Shard
from onyxgap.jobs.workers import WorkerClock
from tests.test_shard import ENTRY
from tests.test_shard import ShardHarness

NOW = 100.0
STEP_KEY = ("a" * 16, 0, 0)
SERVING = Step(3, cpu=1000, memory_mb=100, long_running=True, anti_affinity=1)


@pytest.fixture
def harness() -> ShardHarness:
    harness = ShardHarness(Shard("s", epoch=3, claimed_at=50.0))
    harness.add_worker("w1")
    harness.add_worker("w2")
    return harness


@pytest.fixture
def record() -> WorkerRecord:
    return WorkerRecord(ENTRY, clock=WorkerClock(0.0, NOW), held=True)


@pytest.mark.parametrize(
    ("changes", "obstacle"),
    [
        ({}, "free"),
        ({"registered": False}, "unregistered"),
        ({"held": False}, "not held"),
        ({"failing_since": NOW}, "silent"),
        ({"cordoned": True}, "cordoned"),
        ({"blocked_until": NOW + 1}, "blocked"),
        ({"ejected_until": NOW + 1}, "ejected"),
        ({"capacity_valid_until": NOW}, "capacity outdated"),
        ({"reserved": True}, "reserved"),
        ({"present": {STEP_KEY: 1}}, "placement constraint"),
        ({"cpu_used": ENTRY.cpu}, "full"),
    ],
)
def test_obstacle_of_a_worker_is_named(
    record: WorkerRecord, changes: dict[str, object], obstacle: str
) -> None:
    changed = attrs.evolve(record, **changes)
    assert find_obstacle(changed, SERVING, STEP_KEY, NOW) == obstacle


def test_step_that_waits_is_logged_with_the_obstacles_of_its_workers(
    harness: ShardHarness,
) -> None:
    harness.add_job(SERVING)
    assert len(harness.start_all()) == 2
    with structlog.testing.capture_logs() as lines:
        for _ in range(3):
            harness.now += REPORT_AFTER_S / 2
            harness.plan()
    (line,) = [line for line in lines if line["event"] == "step waits"]
    assert (line["waiting"], line["of"]) == (1, 3)
    assert line["workers"] == {"placement constraint": 2}


def test_reports_of_waiting_steps_are_limited_and_name_serving_steps_first(
    harness: ShardHarness,
) -> None:
    too_large = Step(1, cpu=ENTRY.cpu + 1)
    for number in range(2 * MAX_REPORTED_STEPS):
        harness.add_job(too_large, job_id=f"{number:016x}")
    harness.plan()
    harness.add_job(SERVING)
    harness.start_all()
    with structlog.testing.capture_logs() as lines:
        harness.now += REPORT_AFTER_S
        harness.plan()
        harness.now += REPORT_INTERVAL_S / 2
        harness.plan()
    waits = [line for line in lines if line["event"] == "step waits"]
    assert len(waits) == MAX_REPORTED_STEPS
    assert waits[0]["serving"]
