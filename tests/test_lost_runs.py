"""The log line that lists the runs that were lost with a worker."""

import pytest
import structlog.testing

from onyxgap.jobs.crashes import START_CRASH_BLAME
from onyxgap.jobs.crashes import UNRELATED_CRASHES_PER_EXTRA
from onyxgap.jobs.messages import Step
from onyxgap.jobs.shard import Shard
from tests.test_shard import ShardHarness


@pytest.fixture
def harness() -> ShardHarness:
    harness = ShardHarness(Shard("s", epoch=3, claimed_at=50.0))
    harness.add_worker("w1")
    return harness


def test_lost_runs_are_logged_with_the_time_they_were_listed(
    harness: ShardHarness,
) -> None:
    harness.add_job(Step(1, cpu=1000), job_id="a" * 16)
    (old,) = harness.start_all()
    harness.report("w1")
    harness.now += 0.4
    harness.report("w1")
    harness.add_job(Step(1, cpu=1000), job_id="b" * 16)
    (young,) = harness.start_all()
    harness.add_job(Step(1, cpu=1000), job_id="c" * 16)
    (unsent,) = harness.plan()
    with structlog.testing.capture_logs() as lines:
        harness.shard.remove_worker("w1", "its VM is down", harness.now)
    (line,) = [line for line in lines if line["event"] == "runs lost"]
    assert (line["worker"], line["epoch"]) == ("w1", 3)
    assert line["runs"] == [
        (str(old.task), 1, True, 410),
        (str(young.task), 1, True, 0),
        (str(unsent.task), 1, False, 0),
    ]


def test_blame_for_lost_runs_is_logged(harness: ShardHarness) -> None:
    harness.add_job(Step(1, cpu=1000), job_id="a" * 16)
    (order,) = harness.start_all()
    with structlog.testing.capture_logs() as lines:
        harness.shard.remove_worker("w1", "its VM is down", harness.now)
    (line,) = [line for line in lines if line["event"] == "runs lost"]
    assert line["blames"] == {str(order.task): START_CRASH_BLAME}


def test_required_extra_crashes_are_logged(harness: ShardHarness) -> None:
    harness.add_job(Step(1, cpu=1000), job_id="a" * 16)
    for _ in range(UNRELATED_CRASHES_PER_EXTRA):
        harness.shard.crashes.note(["b" * 16], [], harness.now)
    with structlog.testing.capture_logs() as lines:
        for name in ("w1", "w2", "w3"):
            harness.add_worker(name)
            harness.start_all()
            harness.shard.remove_worker(name, "its VM is down", harness.now)
    required, failed = [line for line in lines if "extra_crashes" in line]
    assert required["event"] == "more crashes required"
    assert failed["event"] == "job failed"
    assert required["extra_crashes"] == failed["extra_crashes"] == 1
