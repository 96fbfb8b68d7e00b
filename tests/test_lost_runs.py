"""The log line that lists the runs that were lost with a worker."""

import pytest
import structlog.testing

from onyxgap.jobs.call_timeouts import LATE_S
from onyxgap.jobs.crashes import MAX_YOUNG_LOSSES
from onyxgap.jobs.crashes import NO_LOSSES
from onyxgap.jobs.crashes import START_CRASH_BLAME
from onyxgap.jobs.crashes import UNRELATED_CRASHES_PER_EXTRA
from onyxgap.jobs.crashes import IsolationLevel
from onyxgap.jobs.messages import Step
from onyxgap.jobs.shard import Shard
from onyxgap.jobs.shard_leases import LEASE_S
from onyxgap.jobs.workers import Reply
from onyxgap.jobs.workers import ReplyKind
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


def lose_lease(harness: ShardHarness, worker_id: str = "w1") -> None:
    """Let the lease of a silent worker expire, so that its runs are given up."""
    harness.shard.apply_failure(worker_id, Reply(ReplyKind.NO_ANSWER), harness.now)
    harness.now += 2 * LEASE_S
    harness.shard.expire_workers(harness.now)


def test_task_of_a_worker_that_was_only_silent_is_no_suspect_of_a_crash(
    harness: ShardHarness,
) -> None:
    job = harness.add_job(Step(1, cpu=1000), job_id="a" * 16)
    for _ in range(MAX_YOUNG_LOSSES + 1):
        (order,) = harness.start_all()
        lose_lease(harness)
        task = job.find_task(order.task)
        assert task is not None
        assert task.loss_history.isolation is not IsolationLevel.NONE
        harness.report("w1")
        assert task.loss_history is NO_LOSSES
    assert not job.state.final


def test_each_of_two_silent_workers_takes_back_its_own_loss(
    harness: ShardHarness,
) -> None:
    harness.add_worker("w2")
    job = harness.add_job(Step(1, cpu=1000), job_id="a" * 16)
    silent = []
    for _ in range(2):
        (order,) = harness.start_all()
        silent.append(order.worker_id)
        lose_lease(harness, order.worker_id)
    task = job.find_task(order.task)
    assert task is not None
    assert task.loss_history.losses == len(set(silent)) == 2
    for worker_id in silent:
        harness.report(worker_id)
    assert task.loss_history is NO_LOSSES


def test_worker_that_was_unregistered_while_it_was_silent_takes_back_its_losses(
    harness: ShardHarness,
) -> None:
    harness.add_worker("w3", born=7)
    job = harness.add_job(Step(1, cpu=1000), job_id="a" * 16)
    (order,) = harness.start_all()
    harness.shard.mark_unregistered(order.worker_id)
    lose_lease(harness, order.worker_id)
    assert order.worker_id not in harness.shard.workers
    task = job.find_task(order.task)
    assert task is not None and task.loss_history is not NO_LOSSES
    born = 7 if order.worker_id == "w3" else 0
    harness.add_worker(order.worker_id, born=born)
    assert task.loss_history is NO_LOSSES


def test_list_of_vms_tells_of_a_dead_worker_before_a_late_owner_takes_it_for_silent(
    harness: ShardHarness,
) -> None:
    harness.shard.apply_live_workers(["w1"], harness.now)
    reply = Reply(ReplyKind.NO_ANSWER, overdue_s=LATE_S)
    assert harness.shard.apply_failure("w1", reply, harness.now)
    assert harness.shard.list_silent() == []
    harness.now += 0.1
    harness.shard.apply_live_workers([], harness.now)
    assert "w1" not in harness.shard.workers


def test_task_of_a_worker_that_crashed_after_its_lease_stays_suspected(
    harness: ShardHarness,
) -> None:
    job = harness.add_job(Step(1, cpu=1000), job_id="a" * 16)
    (order,) = harness.start_all()
    lose_lease(harness)
    harness.shard.remove_worker("w1", "its VM is down", harness.now)
    harness.add_worker("w1")
    task = job.find_task(order.task)
    assert task is not None
    assert task.loss_history.isolation is not IsolationLevel.NONE
