"""Number of VMs that a pool needs for serving tasks that have no worker to run on."""

import math
import typing as t

import attrs
import pytest

from onyxgap.jobs.job import Task
from onyxgap.jobs.messages import Step
from onyxgap.jobs.messages import TaskId
from onyxgap.jobs.placing import WorkerRecord
from onyxgap.jobs.shard import Shard
from onyxgap.jobs.shortage import UNREACHED_S
from onyxgap.jobs.shortage import WideStep
from onyxgap.jobs.shortage import count_needed_workers
from onyxgap.jobs.shortage import list_unreached_workers
from onyxgap.jobs.workers import Reply
from onyxgap.jobs.workers import ReplyKind
from tests.test_shard import ENTRY
from tests.test_shard import ShardHarness

JOB_ID = "a" * 16
APART = Step(4, cpu=1000, memory_mb=1000, long_running=True, anti_affinity=1)
LARGE = Step(4, cpu=1000, memory_mb=150_000, long_running=True)
HALF = Step(3, cpu=1000, memory_mb=ENTRY.memory_mb // 2, long_running=True)
FINITE = Step(1, cpu=64_000, memory_mb=1000)


@pytest.fixture
def records() -> list[WorkerRecord]:
    return [
        WorkerRecord(attrs.evolve(ENTRY, worker_id=f"w{number}"), held=True)
        for number in range(3)
    ]


def place_tasks(
    step: Step, records: t.Iterable[WorkerRecord], job_id: str = JOB_ID
) -> WideStep:
    """Place a task on each of the workers; the other tasks wait."""
    step_key = (job_id, 0, 0)
    tasks = [Task(TaskId(job_id, 0, 0, number)) for number in range(step.count)]
    for task, record in zip(tasks, records, strict=False):
        task.place(record.entry.worker_id, 1.0, 0.0, 1)
        record.reserve(step, step_key)
    return WideStep(step, step_key, tasks)


@pytest.mark.parametrize("step", [APART, LARGE])
def test_task_that_fits_beside_no_other_needs_one_more_worker(
    step: Step, records: list[WorkerRecord]
) -> None:
    assert count_needed_workers([place_tasks(step, records)], records) == 4


def test_no_worker_is_needed_while_one_present_has_a_place(
    records: list[WorkerRecord],
) -> None:
    serving = place_tasks(attrs.evolve(APART, count=3), records[:2])
    assert count_needed_workers([serving], records) == 0
    records[2].reserve(FINITE, ("b" * 16, 0, 0))
    assert count_needed_workers([serving], records) == 0


@pytest.mark.parametrize(
    "changes",
    [
        {"failing_since": 1.0},
        {"held": False, "failing_since": 1.0},
        {"takes_starts": False},
        {"cordoned": True},
    ],
)
def test_worker_that_takes_no_tasks_gives_no_place(
    records: list[WorkerRecord], changes: dict[str, t.Any]
) -> None:
    serving = place_tasks(attrs.evolve(APART, count=3), records[:2])
    records[2] = attrs.evolve(records[2], **changes)
    present = 2 if "cordoned" in changes else 3
    assert count_needed_workers([serving], records) == present + 1


def test_new_worker_does_not_count_as_lacking_until_a_call_to_it_fails() -> None:
    harness = ShardHarness(Shard("s", epoch=3, claimed_at=50.0))
    for worker_id in ("w1", "w2", "w3"):
        harness.add_worker(worker_id)
    harness.add_job(APART)
    assert len(harness.start_all()) == 3
    assert harness.shard.build_report(harness.now).serving_vms == 4
    entry = attrs.evolve(ENTRY, worker_id="w4")
    harness.shard.observe_worker(entry, harness.now)
    assert harness.shard.build_report(harness.now).serving_vms == 0
    harness.shard.apply_failure("w4", Reply(ReplyKind.NO_ANSWER), harness.now)
    assert harness.shard.build_report(harness.now).serving_vms == 5


def test_new_owner_counts_on_workers_that_have_not_answered_it_yet() -> None:
    harness = ShardHarness(Shard("s", epoch=3, claimed_at=50.0))
    for worker_id in ("w1", "w2", "w3", "w4"):
        entry = attrs.evolve(ENTRY, worker_id=worker_id)
        harness.shard.observe_worker(entry, harness.now)
    harness.add_job(APART)
    assert harness.plan() == []
    assert harness.shard.build_report(harness.now).serving_vms == 0


def test_tasks_of_a_cordoned_worker_need_another_one(
    records: list[WorkerRecord],
) -> None:
    serving = place_tasks(attrs.evolve(APART, count=3), records)
    records[0].cordoned = True
    assert count_needed_workers([serving], records) == 3


def test_pool_whose_workers_are_all_cordoned_needs_workers_for_its_serving_tasks(
    records: list[WorkerRecord],
) -> None:
    waiting = place_tasks(attrs.evolve(APART, count=2), ())
    serving = place_tasks(attrs.evolve(APART, count=3, may_miss=2), records)
    for record in records:
        record.cordoned = True
    assert count_needed_workers([waiting], records) == 2
    assert count_needed_workers([serving], records) == 2


def test_serving_jobs_that_each_fit_alone_need_workers_for_all_their_tasks(
    records: list[WorkerRecord],
) -> None:
    jobs = [
        place_tasks(attrs.evolve(HALF, anti_affinity=1), (), job_id)
        for job_id in ("a" * 16, "b" * 16, "c" * 16)
    ]
    assert count_needed_workers(jobs[:2], records) == 0
    assert count_needed_workers(jobs, records) == 6


def test_serving_tasks_share_the_workers_that_they_lack(
    records: list[WorkerRecord],
) -> None:
    third = attrs.evolve(HALF, memory_mb=ENTRY.memory_mb // 3)
    for record in records:
        record.reserve(HALF, ("d" * 16, 0, 0))
        record.reserve(third, ("e" * 16, 0, 0))
    jobs = [
        place_tasks(attrs.evolve(third, count=2), (), "a" * 16),
        place_tasks(attrs.evolve(HALF, count=1), (), "b" * 16),
        place_tasks(attrs.evolve(HALF, count=1), (), "c" * 16),
    ]
    assert count_needed_workers(jobs[:1], records) == 4
    assert count_needed_workers(jobs, records) == 5


@pytest.mark.parametrize("gang", [True, False])
def test_finite_steps_that_can_take_turns_share_one_place(
    records: list[WorkerRecord], gang: bool
) -> None:
    whole = Step(1, memory_mb=ENTRY.memory_mb, gang=gang)
    waiting = [place_tasks(whole, (), job_id) for job_id in ("a" * 16, "b" * 16)]
    assert count_needed_workers(waiting, records[:1]) == 0
    serving = place_tasks(attrs.evolve(HALF, count=1), (), "c" * 16)
    assert count_needed_workers([serving, *waiting], records[:1]) == 2


def test_gang_and_serving_tasks_need_workers_side_by_side(
    records: list[WorkerRecord],
) -> None:
    gang = place_tasks(Step(3, memory_mb=ENTRY.memory_mb, gang=True), (), "a" * 16)
    serving = place_tasks(attrs.evolve(HALF, count=2), (), "b" * 16)
    assert count_needed_workers([serving, gang], records) == 4


def test_no_more_workers_are_needed_for_a_label_that_none_has(
    records: list[WorkerRecord],
) -> None:
    serving = place_tasks(attrs.evolve(APART, requires="other"), ())
    assert count_needed_workers([serving], records) == 0


def test_workers_without_the_label_of_a_step_are_not_counted(
    records: list[WorkerRecord],
) -> None:
    entry = attrs.evolve(ENTRY, worker_id="labelled", labels=("other", "r1"))
    labelled = WorkerRecord(entry, held=True)
    serving = place_tasks(attrs.evolve(APART, count=2, requires="other"), [labelled])
    assert count_needed_workers([serving], [*records, labelled]) == 2


def test_report_of_a_shard_names_the_workers_needed_by_its_serving_tasks() -> None:
    harness = ShardHarness(Shard("s", epoch=3, claimed_at=50.0))
    harness.add_worker("w1")
    harness.add_job(APART)
    assert len(harness.start_all()) == 1
    assert harness.shard.build_report(harness.now).serving_vms == 4


def test_gang_that_is_wider_than_its_pool_gets_more_vms() -> None:
    harness = ShardHarness(Shard("s", epoch=3, claimed_at=50.0))
    harness.add_worker("w1")
    harness.add_worker("w2")
    harness.add_job(Step(4, cpu=1000, gang=True, anti_affinity=1))
    assert harness.start_all() == []
    assert harness.shard.build_report(harness.now).serving_vms == 4


@pytest.mark.parametrize(
    ("changes", "needed"), [({}, 3), ({"fills": True}, 0), ({"cpu": 1000}, 0)]
)
def test_job_whose_only_place_is_on_a_worker_without_starts_gets_another_vm(
    changes: dict[str, t.Any], needed: int
) -> None:
    harness = ShardHarness(Shard("s", epoch=3, claimed_at=50.0))
    harness.add_worker("w1")
    harness.add_job(Step(1, cpu=60_000, long_running=True), job_id="b" * 16)
    assert len(harness.start_all()) == 1
    harness.add_worker("w2")
    harness.add_job(attrs.evolve(Step(1, cpu=8000, memory_mb=1000), **changes))
    unreached = harness.shard.workers["w2"]
    unreached.blocked_until = math.inf
    harness.plan()
    assert harness.shard.build_report(harness.now).serving_vms == 0
    unreached.takes_starts = False
    assert harness.shard.build_report(harness.now).serving_vms == needed


def test_tasks_of_a_worker_that_is_out_of_reach_need_another_one(
    records: list[WorkerRecord],
) -> None:
    serving = place_tasks(attrs.evolve(APART, count=3), records)
    records[0].failing_since = 10.0
    unreached = list_unreached_workers(records, 10.1 + UNREACHED_S)
    assert unreached == {"w0"}
    assert count_needed_workers([serving], records, unreached) == 4
    fitting = place_tasks(attrs.evolve(APART, count=2), records[:2])
    records[2].present.clear()
    assert count_needed_workers([fitting], records, unreached) == 0


def test_worker_counts_as_out_of_reach_after_some_time_if_others_answer(
    records: list[WorkerRecord],
) -> None:
    records[0].failing_since = 10.0
    assert list_unreached_workers(records, 9.9 + UNREACHED_S) == frozenset()
    later = 10.1 + UNREACHED_S
    assert list_unreached_workers(records, later) == {"w0"}
    for record in records:
        record.failing_since = 10.0
    assert list_unreached_workers(records, later) == frozenset()
