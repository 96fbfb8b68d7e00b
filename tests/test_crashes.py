"""Blame for worker crashes, and isolation of the tasks that may be the cause."""

import typing as t

import attrs
import pytest

from onyxgap.jobs.crashes import CRASH_RETENTION_S
from onyxgap.jobs.crashes import CRASH_WINDOW_MS
from onyxgap.jobs.crashes import LATE_CRASH_BLAME
from onyxgap.jobs.crashes import MAX_EXTRA_CRASHES
from onyxgap.jobs.crashes import NO_LOSSES
from onyxgap.jobs.crashes import START_CRASH_BLAME
from onyxgap.jobs.crashes import START_CRASH_WINDOW_MS
from onyxgap.jobs.crashes import UNRELATED_CRASHES_PER_EXTRA
from onyxgap.jobs.crashes import CrashLog
from onyxgap.jobs.crashes import IsolationLevel
from onyxgap.jobs.crashes import LostRun
from onyxgap.jobs.crashes import assign_blame
from onyxgap.jobs.encoding import encode_progress
from onyxgap.jobs.encoding import restore_job
from onyxgap.jobs.messages import EndKind
from onyxgap.jobs.messages import JobState
from onyxgap.jobs.messages import Step
from onyxgap.jobs.messages import TaskId
from onyxgap.jobs.messages import WorkerState
from onyxgap.jobs.shard import Shard
from onyxgap.jobs.workers import Reply
from onyxgap.jobs.workers import ReplyKind
from onyxgap.jobs.workers import StartOrder
from tests.test_shard import ShardHarness

JUST_STARTED = 0.0
PAST_START = START_CRASH_WINDOW_MS
SETTLED = CRASH_WINDOW_MS


@pytest.mark.parametrize(
    ("runs", "blames"),
    [
        ([("a", True, JUST_STARTED)], [START_CRASH_BLAME]),
        # all runs of one job are blamed, since it is given up as a whole
        (
            [("a", True, JUST_STARTED), ("a", True, JUST_STARTED)],
            [START_CRASH_BLAME, START_CRASH_BLAME],
        ),
        ([("a", True, JUST_STARTED), ("b", True, JUST_STARTED)], [0, 0]),
        # a run past its start-crash window does not keep others from being blamed
        ([("a", True, JUST_STARTED), ("b", True, PAST_START)], [START_CRASH_BLAME, 0]),
        # an unconfirmed run may be the cause, or may never have reached the worker
        ([("a", True, JUST_STARTED), ("b", False, JUST_STARTED)], [0, 0]),
        ([("a", False, JUST_STARTED)], [0]),
        ([("a", True, PAST_START)], [LATE_CRASH_BLAME]),
        ([("a", True, PAST_START), ("b", True, PAST_START)], [0, 0]),
        ([("a", True, PAST_START), ("b", True, SETTLED)], [LATE_CRASH_BLAME, 0]),
        ([("a", True, SETTLED)], [0]),
        ([], []),
    ],
)
def test_blame(runs: list[tuple[str, bool, float]], blames: list[int]) -> None:
    assert assign_blame([LostRun(*run) for run in runs]) == blames


def test_task_is_given_up_after_two_crashes_as_the_only_suspect() -> None:
    history = NO_LOSSES.add_loss(True).add_loss(True, START_CRASH_BLAME)
    assert not history.causes_crashes()
    assert history.add_loss(True, START_CRASH_BLAME).causes_crashes()


def test_task_is_given_up_by_its_fifth_start_if_confirmations_get_lost() -> None:
    # two crashes with other suspects, then two as the only one, one unconfirmed
    history = NO_LOSSES.add_loss(True).add_loss(True).add_loss(True, START_CRASH_BLAME)
    assert not history.causes_crashes()
    assert history.add_loss(True).causes_crashes()


def test_task_is_not_started_a_sixth_time_if_no_start_is_confirmed() -> None:
    history = NO_LOSSES
    for _ in range(5):
        assert not history.causes_crashes(MAX_EXTRA_CRASHES)
        history = history.add_loss(True)
    assert history.causes_crashes(MAX_EXTRA_CRASHES)
    assert not history.causes_crashes(serving=True)


def test_run_that_is_lost_with_two_incarnations_of_its_worker_counts_once() -> None:
    history = NO_LOSSES.add_loss(True, run=1).add_loss(True, run=1)
    assert history == NO_LOSSES.add_loss(True, run=1)
    assert history.add_loss(True, run=2).young_losses == 2


def test_task_that_crashes_its_workers_late_is_given_up_by_its_seventh_start() -> None:
    # three workers crash with other suspects; after that the task is fully isolated
    history = NO_LOSSES.add_loss(False).add_loss(False).add_loss(False)
    assert history.isolation is IsolationLevel.FULL
    for _ in range(4):
        assert not history.causes_crashes()
        history = history.add_loss(False, LATE_CRASH_BLAME)
    assert history.causes_crashes()


def test_task_that_loses_workers_to_others_is_not_given_up() -> None:
    history = NO_LOSSES
    for _ in range(20):
        history = history.add_loss(False)
    # not even if a worker then crashes by itself just after the start of the task
    assert not history.add_loss(True, START_CRASH_BLAME).causes_crashes()


@pytest.fixture
def harness() -> ShardHarness:
    made = ShardHarness(Shard("s", epoch=3, claimed_at=50.0))
    for name in ("w1", "w2", "w3"):
        made.add_worker(name)
    return made


def crash(harness: ShardHarness, worker_id: str) -> None:
    harness.now += 0.05
    harness.shard.apply_failure(worker_id, Reply(ReplyKind.NO_ANSWER), harness.now)
    live = harness.shard.workers.keys() - {worker_id}
    harness.shard.apply_live_workers(live, harness.now + 0.01)
    harness.now += 0.05


def start_one(harness: ShardHarness, job_id: str) -> StartOrder:
    (order,) = [item for item in harness.start_all() if item.task.job_id == job_id]
    return order


def test_tasks_of_a_crashed_worker_start_on_separate_workers(
    harness: ShardHarness,
) -> None:
    job_ids = ["a" * 16, "b" * 16, "c" * 16]
    for job_id in job_ids:
        harness.add_job(Step(1, cpu=1000), job_id=job_id)
    first = harness.start_all()
    assert len({order.worker_id for order in first}) == 1
    crash(harness, first[0].worker_id)
    restarted = harness.start_all()
    # two workers are left, and neither gets two suspected tasks at once
    assert len({order.worker_id for order in restarted}) == len(restarted) == 2
    harness.add_job(Step(1, cpu=1000), job_id="d" * 16)
    assert harness.plan() == []
    # after the first two are cleared, the third and other tasks are started
    harness.now += 0.2
    for order in restarted:
        harness.report(order.worker_id)
    harness.now += 0.2
    for order in restarted:
        harness.report(order.worker_id)
    last = harness.start_all()
    assert {order.task.job_id for order in last} == {*job_ids, "d" * 16} - {
        order.task.job_id for order in restarted
    }


def test_job_fails_after_two_crashes_as_the_only_suspect(harness: ShardHarness) -> None:
    job = harness.add_job(Step(1, cpu=1000))
    for _ in range(2):
        assert job.state in (JobState.QUEUED, JobState.RUNNING)
        crash(harness, start_one(harness, "a" * 16).worker_id)
    assert job.state is JobState.FAILED
    assert harness.plan() == []


def test_loss_of_an_unreachable_worker_blames_no_task(harness: ShardHarness) -> None:
    job = harness.add_job(Step(1, cpu=1000))
    for _ in range(3):
        order = start_one(harness, "a" * 16)
        harness.shard.apply_failure(
            order.worker_id, Reply(ReplyKind.NO_ANSWER), harness.now
        )
        harness.now += 20.0
        harness.shard.expire_workers(harness.now)
    assert job.state is JobState.RUNNING


def test_crash_of_a_draining_worker_blames_no_task(harness: ShardHarness) -> None:
    job = harness.add_job(Step(1, cpu=1000))
    order = start_one(harness, "a" * 16)
    record = harness.shard.workers[order.worker_id]
    leaving = attrs.evolve(record.entry, state=WorkerState.DRAINING)
    harness.shard.observe_worker(leaving, harness.now)
    crash(harness, order.worker_id)
    assert next(job.list_ready())[0].steps[0][0].loss_history is NO_LOSSES


def test_loss_history_is_restored_by_the_next_owner(harness: ShardHarness) -> None:
    job = harness.add_job(Step(1, cpu=1000))
    crash(harness, start_one(harness, "a" * 16).worker_id)
    restored = restore_job(job.submission, encode_progress(job))
    (task,) = restored.occurrences[0].steps[0]
    assert task.loss_history == NO_LOSSES.add_loss(True, START_CRASH_BLAME, task.run)


def test_progress_without_loss_history_is_restored(harness: ShardHarness) -> None:
    """Earlier versions stored progress without a loss history."""
    job = harness.add_job(Step(1, cpu=1000))
    harness.start_all()
    restored = restore_job(job.submission, encode_progress(job))
    assert restored.occurrences[0].steps[0][0].loss_history is NO_LOSSES


def test_suspected_task_gets_a_worker_of_a_busy_pool(harness: ShardHarness) -> None:
    harness.add_job(Step(1, cpu=1000))
    crash(harness, start_one(harness, "a" * 16).worker_id)
    # the two workers that are left start other tasks before each scheduling pass
    harness.shard.jobs["a" * 16].accepted_at += 60.0
    running: list[StartOrder] = []
    for number in range(10):
        harness.add_job(Step(4, cpu=16_000, anti_affinity=2), job_id=f"{number:016x}")
        started = harness.start_all()
        if any(order.task.job_id == "a" * 16 for order in started):
            break
        harness.now += 0.05
        for worker_id in list(harness.shard.workers):
            ends = [order for order in running if order.worker_id == worker_id]
            harness.report(worker_id, *((order, EndKind.DONE) for order in ends))
        running = started
    assert number < 5


def test_task_that_lost_three_workers_starts_only_beside_tasks_past_crash_window(
    harness: ShardHarness,
) -> None:
    for name in ("w2", "w3"):
        harness.shard.remove_worker(name, "its VM is down", harness.now)
    harness.add_job(Step(1, cpu=1000, long_running=True), job_id="b" * 16)
    harness.start_all()
    job = harness.add_job(Step(1, cpu=1000))
    next(job.list_ready(), None)
    job.open_due_occurrences(0.0)
    (task,) = job.occurrences[0].steps[0]
    task.loss_history = NO_LOSSES.add_loss(False).add_loss(False).add_loss(False)
    harness.now += 1.0
    harness.report("w1")
    assert harness.plan() == []
    harness.now += CRASH_WINDOW_MS / 1000
    harness.report("w1")
    assert start_one(harness, "a" * 16).worker_id == "w1"


def test_serving_task_is_cleared_after_the_crash_window(harness: ShardHarness) -> None:
    job = harness.add_job(Step(1, cpu=1000, long_running=True))
    for _ in range(4):
        order = start_one(harness, "a" * 16)
        harness.report(order.worker_id)
        harness.now += CRASH_WINDOW_MS / 1000
        harness.report(order.worker_id)
        crash(harness, order.worker_id)
        harness.add_worker(f"{order.worker_id}x")
    assert job.state is JobState.RUNNING


def test_crashes_without_a_task_require_more_crashes_with_it() -> None:
    log = CrashLog()
    for moment in range(4):
        log.note(["other"], [], float(moment))
    log.note(["blamed"], [], 4.0)
    extra_crashes = log.get_extra_crashes("blamed")
    assert extra_crashes == MAX_EXTRA_CRASHES
    history = NO_LOSSES.add_loss(True, START_CRASH_BLAME).add_loss(
        True, START_CRASH_BLAME
    )
    assert history.causes_crashes()
    for _ in range(MAX_EXTRA_CRASHES):
        assert not history.causes_crashes(extra_crashes)
        history = history.add_loss(True, START_CRASH_BLAME)
    assert history.causes_crashes(extra_crashes)


def test_old_crashes_require_no_extra_crashes() -> None:
    log = CrashLog()
    for moment in range(4):
        log.note(["other"], [], float(moment))
    log.note(["blamed"], [], 4.0 + CRASH_RETENTION_S)
    assert log.get_extra_crashes("blamed") == 0


def test_crashes_with_a_task_require_no_extra_crashes() -> None:
    log = CrashLog()
    for moment in range(6):
        log.note(["blamed", "other"], [], float(moment))
    assert log.get_extra_crashes("blamed") == 0


def test_crash_requires_extra_crashes_only_once_its_suspects_are_cleared() -> None:
    log = CrashLog()
    suspects = [TaskId("other", 0, 0, 0), TaskId("other", 0, 0, 1)]
    for moment in range(4):
        log.note(["other"], suspects, float(moment))
    assert log.get_extra_crashes("blamed") == 0
    log.clear_task(suspects[0])
    assert log.get_extra_crashes("blamed") == 0
    log.clear_task(suspects[1])
    assert log.get_extra_crashes("blamed") == MAX_EXTRA_CRASHES


def end_run(harness: ShardHarness, order: StartOrder) -> None:
    harness.report(order.worker_id, (order, EndKind.DONE))


def survive_crash_window(harness: ShardHarness, order: StartOrder) -> None:
    harness.report(order.worker_id)
    harness.now += CRASH_WINDOW_MS / 1000
    harness.report(order.worker_id)


@pytest.mark.parametrize("clear", [end_run, survive_crash_window])
def test_task_that_runs_after_a_crash_is_no_suspect_of_it(
    harness: ShardHarness, clear: t.Callable[[ShardHarness, StartOrder], None]
) -> None:
    for number in range(UNRELATED_CRASHES_PER_EXTRA):
        job_id = f"{number:016x}"
        harness.add_job(Step(1, cpu=1000), job_id=job_id)
        crash(harness, start_one(harness, job_id).worker_id)
        harness.add_worker(f"new-{number}")
        order = start_one(harness, job_id)
        assert harness.shard.crashes.get_extra_crashes("blamed") == 0
        clear(harness, order)
    assert harness.shard.crashes.get_extra_crashes("blamed") == 1


# Each job was started twice more, as the crashes of the others counted in its favour.
def test_crashes_of_other_crashing_tasks_delay_no_detection(
    harness: ShardHarness,
) -> None:
    jobs = [harness.add_job(Step(1, cpu=1000), job_id=letter * 16) for letter in "abc"]
    for number in range(3):
        workers = {order.worker_id for order in harness.start_all()}
        for worker_id in workers:
            crash(harness, worker_id)
            harness.add_worker(f"{worker_id}-{number}")
    assert {job.state for job in jobs} == {JobState.FAILED}


def test_workers_that_end_without_runs_require_no_extra_crashes(
    harness: ShardHarness,
) -> None:
    for number in range(8):
        harness.add_worker(f"moved-{number}")
        harness.shard.remove_worker(f"moved-{number}", "its VM is down", harness.now)
    assert harness.shard.crashes.get_extra_crashes("blamed") == 0


def test_serving_task_fails_only_at_its_third_crash(harness: ShardHarness) -> None:
    job = harness.add_job(Step(1, cpu=1000, long_running=True))
    states = []
    for number in range(3):
        crash(harness, start_one(harness, job.submission.job_id).worker_id)
        harness.add_worker(f"new-{number}")
        states.append(job.state)
    assert states == [JobState.RUNNING, JobState.RUNNING, JobState.FAILED]


def test_extra_crashes_allow_no_sixth_start_of_a_crashing_task() -> None:
    history = NO_LOSSES
    for blame in (0, 0, START_CRASH_BLAME, 0, START_CRASH_BLAME):
        assert not history.causes_crashes(MAX_EXTRA_CRASHES)
        history = history.add_loss(True, blame)
    assert history.causes_crashes(MAX_EXTRA_CRASHES)
