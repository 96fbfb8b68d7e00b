"""Reports of runs that are kept on silent workers."""

import typing as t

import pytest
import structlog

from onyxgap.jobs.doubts import REPORT_AFTER_S
from onyxgap.jobs.doubts import REPORT_INTERVAL_S
from onyxgap.jobs.messages import Step
from onyxgap.jobs.shard import Shard
from onyxgap.jobs.workers import Reply
from onyxgap.jobs.workers import ReplyKind
from tests.test_shard import ShardHarness

SILENT = Reply(ReplyKind.NO_ANSWER)


@pytest.fixture
def harness() -> ShardHarness:
    harness = ShardHarness(Shard("s", epoch=3, claimed_at=50.0))
    harness.add_worker("w1")
    return harness


def report(harness: ShardHarness) -> list[t.Any]:
    with structlog.testing.capture_logs() as lines:
        harness.shard.report_doubtful_runs(harness.now)
    return [line for line in lines if line["event"] == "runs in doubt"]


def test_run_on_a_silent_worker_is_reported_with_its_lease(
    harness: ShardHarness,
) -> None:
    harness.add_job(Step(1, cpu=1000))
    (order,) = harness.start_all()
    record = harness.shard.workers["w1"]
    assert record.clock is not None
    record.lease_ms = record.clock.estimate(harness.now) + 5000
    harness.shard.apply_failure("w1", SILENT, harness.now)
    assert report(harness) == []
    harness.shard.apply_live_workers({"w1"}, harness.now + 0.2)
    harness.now += REPORT_AFTER_S
    (line,) = report(harness)
    assert line["runs"] == [str(order.task)]
    assert line["lease_source"] == "own"
    assert line["lease_left_s"] == pytest.approx(4.0, abs=0.05)
    assert line["list_age_s"] == pytest.approx(REPORT_AFTER_S - 0.2)
    assert report(harness) == []
    harness.now += REPORT_INTERVAL_S
    assert len(report(harness)) == 1


def test_silent_worker_without_runs_is_not_reported(harness: ShardHarness) -> None:
    harness.shard.apply_failure("w1", SILENT, harness.now)
    harness.now += REPORT_AFTER_S
    assert report(harness) == []
    assert harness.shard.count_doubtful_runs() == 0
