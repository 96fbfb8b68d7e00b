"""Which of the tasks on a crashed worker is to blame, and what it may share."""

import attrs
import pytest

from onyxgap.jobs.crashes import DOUBT_S
from onyxgap.jobs.crashes import LATE_BLAME
from onyxgap.jobs.crashes import MOST_DOUBT
from onyxgap.jobs.crashes import NO_SUSPICION
from onyxgap.jobs.crashes import PROOF_MS
from onyxgap.jobs.crashes import SETTLED_MS
from onyxgap.jobs.crashes import YOUNG_BLAME
from onyxgap.jobs.crashes import Care
from onyxgap.jobs.crashes import CrashLog
from onyxgap.jobs.crashes import LostRun
from onyxgap.jobs.crashes import weigh_blame
from onyxgap.jobs.encoding import encode_progress
from onyxgap.jobs.encoding import restore_job
from onyxgap.jobs.messages import EndKind
from onyxgap.jobs.messages import JobState
from onyxgap.jobs.messages import Step
from onyxgap.jobs.messages import WorkerState
from onyxgap.jobs.shard import Shard
from onyxgap.jobs.workers import Reply
from onyxgap.jobs.workers import ReplyKind
from onyxgap.jobs.workers import StartOrder
from tests.test_shard import Bench

YOUNG = 0.0
PROVED = PROOF_MS
SETTLED = SETTLED_MS


@pytest.mark.parametrize(
    ("runs", "blames"),
    [
        ([("a", True, YOUNG)], [YOUNG_BLAME]),
        # all of one job are blamed, since it is given up whole
        ([("a", True, YOUNG), ("a", True, YOUNG)], [YOUNG_BLAME, YOUNG_BLAME]),
        ([("a", True, YOUNG), ("b", True, YOUNG)], [0, 0]),
        # what has proved itself keeps nobody from being blamed
        ([("a", True, YOUNG), ("b", True, PROVED)], [YOUNG_BLAME, 0]),
        # a start without an answer may be the cause, or may never have arrived
        ([("a", True, YOUNG), ("b", False, YOUNG)], [0, 0]),
        ([("a", False, YOUNG)], [0]),
        ([("a", True, PROVED)], [LATE_BLAME]),
        ([("a", True, PROVED), ("b", True, PROVED)], [0, 0]),
        ([("a", True, PROVED), ("b", True, SETTLED)], [LATE_BLAME, 0]),
        ([("a", True, SETTLED)], [0]),
        ([], []),
    ],
)
def test_blame(runs: list[tuple[str, bool, float]], blames: list[int]) -> None:
    assert weigh_blame([LostRun(*run) for run in runs]) == blames


def test_task_is_given_up_after_two_crashes_with_nobody_else_to_blame() -> None:
    once = NO_SUSPICION.add_loss(True).add_loss(True, YOUNG_BLAME)
    assert not once.is_proved()
    assert once.add_loss(True, YOUNG_BLAME).is_proved()


def test_task_is_given_up_by_its_fifth_start_if_confirmations_get_lost() -> None:
    # others to blame, then two crashes of which one start had no answer
    suspicion = NO_SUSPICION.add_loss(True).add_loss(True).add_loss(True, YOUNG_BLAME)
    assert not suspicion.is_proved()
    assert suspicion.add_loss(True).is_proved()


def test_task_that_crashes_its_workers_late_is_given_up_by_its_seventh_start() -> None:
    # three workers crash with others to blame; from then on it is alone
    suspicion = NO_SUSPICION.add_loss(False).add_loss(False).add_loss(False)
    assert suspicion.care is Care.ALONE
    for _ in range(4):
        assert not suspicion.is_proved()
        suspicion = suspicion.add_loss(False, LATE_BLAME)
    assert suspicion.is_proved()


def test_bystander_is_never_given_up() -> None:
    suspicion = NO_SUSPICION
    for _ in range(20):
        suspicion = suspicion.add_loss(False)
    # not even if a worker crashes by itself just after its start
    assert not suspicion.add_loss(True, YOUNG_BLAME).is_proved()


@pytest.fixture
def bench() -> Bench:
    made = Bench(Shard("s", epoch=3, claimed_at=50.0))
    for name in ("w1", "w2", "w3"):
        made.add_worker(name)
    return made


def crash(bench: Bench, worker_id: str) -> None:
    bench.now += 0.05
    bench.shard.apply_failure(worker_id, Reply(ReplyKind.NO_ANSWER), bench.now)
    live = bench.shard.workers.keys() - {worker_id}
    bench.shard.apply_live_workers(live, bench.now + 0.01)
    bench.now += 0.05


def start_one(bench: Bench, job_id: str) -> StartOrder:
    (order,) = [item for item in bench.start_all() if item.task.job_id == job_id]
    return order


def test_tasks_of_a_crashed_worker_start_apart(bench: Bench) -> None:
    names = ["a" * 16, "b" * 16, "c" * 16]
    for name in names:
        bench.add_job(Step(1, cpu=1000), job_id=name)
    first = bench.start_all()
    assert len({order.worker_id for order in first}) == 1
    crash(bench, first[0].worker_id)
    again = bench.start_all()
    # two workers are left, and neither takes two suspects at once
    assert len({order.worker_id for order in again}) == len(again) == 2
    bench.add_job(Step(1, cpu=1000), job_id="d" * 16)
    assert bench.plan() == []
    # once they have proved themselves, the third follows, and others beside it
    bench.now += 0.2
    for order in again:
        bench.report(order.worker_id)
    bench.now += 0.2
    for order in again:
        bench.report(order.worker_id)
    last = bench.start_all()
    assert {order.task.job_id for order in last} == {*names, "d" * 16} - {
        order.task.job_id for order in again
    }


def test_job_is_given_up_and_stopped_after_two_crashes_apart(bench: Bench) -> None:
    job = bench.add_job(Step(1, cpu=1000))
    for _ in range(2):
        assert job.state in (JobState.QUEUED, JobState.RUNNING)
        crash(bench, start_one(bench, "a" * 16).worker_id)
    assert job.state is JobState.FAILED
    assert bench.plan() == []


def test_worker_that_is_only_cut_off_blames_nobody(bench: Bench) -> None:
    job = bench.add_job(Step(1, cpu=1000))
    for _ in range(3):
        order = start_one(bench, "a" * 16)
        bench.shard.apply_failure(
            order.worker_id, Reply(ReplyKind.NO_ANSWER), bench.now
        )
        bench.now += 20.0
        bench.shard.expire_workers(bench.now)
    assert job.state is JobState.RUNNING


def test_worker_that_drains_and_leaves_blames_nobody(bench: Bench) -> None:
    job = bench.add_job(Step(1, cpu=1000))
    order = start_one(bench, "a" * 16)
    record = bench.shard.workers[order.worker_id]
    leaving = attrs.evolve(record.entry, state=WorkerState.DRAINING)
    bench.shard.observe_worker(leaving, bench.now)
    crash(bench, order.worker_id)
    assert next(job.list_ready())[0].steps[0][0].suspicion is NO_SUSPICION


def test_suspicion_outlives_the_owner(bench: Bench) -> None:
    job = bench.add_job(Step(1, cpu=1000))
    crash(bench, start_one(bench, "a" * 16).worker_id)
    restored = restore_job(job.submission, encode_progress(job))
    (task,) = restored.occurrences[0].steps[0]
    assert task.suspicion == NO_SUSPICION.add_loss(True, YOUNG_BLAME)


def test_progress_of_an_earlier_version_is_read(bench: Bench) -> None:
    job = bench.add_job(Step(1, cpu=1000))
    bench.start_all()
    restored = restore_job(job.submission, encode_progress(job))
    assert restored.occurrences[0].steps[0][0].suspicion is NO_SUSPICION


def test_suspect_gets_a_worker_of_a_busy_pool(bench: Bench) -> None:
    bench.add_job(Step(1, cpu=1000))
    crash(bench, start_one(bench, "a" * 16).worker_id)
    # the two workers that are left start something before each plan
    bench.shard.jobs["a" * 16].seen_at += 60.0
    running: list[StartOrder] = []
    for number in range(10):
        bench.add_job(Step(4, cpu=16_000, anti_affinity=2), job_id=f"{number:016x}")
        started = bench.start_all()
        if any(order.task.job_id == "a" * 16 for order in started):
            break
        bench.now += 0.05
        for worker_id in list(bench.shard.workers):
            ends = [order for order in running if order.worker_id == worker_id]
            bench.report(worker_id, *((order, EndKind.DONE) for order in ends))
        running = started
    assert number < 5


def test_task_that_lost_three_workers_starts_beside_settled_tasks_only(
    bench: Bench,
) -> None:
    for name in ("w2", "w3"):
        bench.shard.end_worker(name, "its VM is down", bench.now)
    bench.add_job(Step(1, cpu=1000, long_running=True), job_id="b" * 16)
    bench.start_all()
    job = bench.add_job(Step(1, cpu=1000))
    next(job.list_ready(), None)
    job.open_due(0.0)
    (task,) = job.occurrences[0].steps[0]
    task.suspicion = NO_SUSPICION.add_loss(False).add_loss(False).add_loss(False)
    bench.now += 1.0
    bench.report("w1")
    assert bench.plan() == []
    bench.now += SETTLED_MS / 1000
    bench.report("w1")
    assert start_one(bench, "a" * 16).worker_id == "w1"


def test_serving_task_clears_itself_with_time(bench: Bench) -> None:
    job = bench.add_job(Step(1, cpu=1000, long_running=True))
    for _ in range(4):
        order = start_one(bench, "a" * 16)
        bench.report(order.worker_id)
        bench.now += SETTLED_MS / 1000
        bench.report(order.worker_id)
        crash(bench, order.worker_id)
        bench.add_worker(f"{order.worker_id}x")
    assert job.state is JobState.RUNNING


def test_crashes_without_a_task_ask_for_more_crashes_with_it() -> None:
    log = CrashLog()
    for moment in range(4):
        log.note(["other"], float(moment))
    log.note(["blamed"], 4.0)
    doubt = log.get_doubt("blamed")
    assert doubt == MOST_DOUBT
    suspicion = NO_SUSPICION.add_loss(True, YOUNG_BLAME).add_loss(True, YOUNG_BLAME)
    assert suspicion.is_proved()
    for _ in range(MOST_DOUBT):
        assert not suspicion.is_proved(doubt)
        suspicion = suspicion.add_loss(True, YOUNG_BLAME)
    assert suspicion.is_proved(doubt)


def test_crashes_of_long_ago_speak_for_nobody() -> None:
    log = CrashLog()
    for moment in range(4):
        log.note(["other"], float(moment))
    log.note(["blamed"], 4.0 + DOUBT_S)
    assert log.get_doubt("blamed") == 0


def test_crashes_with_the_task_speak_against_it() -> None:
    log = CrashLog()
    for moment in range(6):
        log.note(["blamed", "other"], float(moment))
    assert log.get_doubt("blamed") == 0


def test_workers_that_were_emptied_speak_for_nobody(bench: Bench) -> None:
    for number in range(8):
        bench.add_worker(f"moved-{number}")
        bench.shard.end_worker(f"moved-{number}", "its VM is down", bench.now)
    assert bench.shard.crashes.get_doubt("blamed") == 0
