"""Accepted jobs that stand still although a task could run, and the check for them."""

import random
import typing as t

import anyio
import pytest

from onyxgap.jobs.messages import QueuePolicy
from onyxgap.jobs.messages import Step
from onyxgap.jobs.messages import Submission
from onyxgap.jobs.messages import TaskId
from onyxgap.jobs.messages import WorkerEntry
from onyxgap.jobs.messages import WorkerState
from onyxgap.standins.emulator.disturbances import ALL_NODES
from onyxgap.standins.emulator.disturbances import DisturbanceLog
from onyxgap.standins.emulator.job_notes import JobNotes
from onyxgap.standins.emulator.runs import RunRecord
from onyxgap.standins.emulator.script import parse_script
from onyxgap.standins.emulator.serving_checks import check_absences
from onyxgap.standins.emulator.serving_checks import check_serving
from onyxgap.standins.emulator.standstill_checks import check_standstills
from onyxgap.standins.emulator.workers import EmulatedWorker
from tests.emulated import load_day
from tests.emulated import play

NOTHING: t.Any = None
JOB = "a" * 16
SERVICES = {JOB: "s"}
WIDE = """
nodes 3
pool ring vms 4
spare 1
load ring every 3.0 from 3 to 13 width 60 work 1.0 cpu 6
at 5.5 fail vm ring for 6
end 20
"""


def build_worker() -> EmulatedWorker:
    entry = WorkerEntry(
        "w1", "s", "w1:1", "z", WorkerState.READY, 8000, 8000, 0, (), 0.0
    )
    return EmulatedWorker(entry, NOTHING, random.Random(1), [], born_at=0.0)


def count_breaches(
    *steps: Step,
    log: DisturbanceLog | None = None,
) -> int:
    """Count the breaches of a job that was accepted at 10 s and never ran in 30 s."""
    submission = Submission(JOB, QueuePolicy("q", "s"), "spec", steps)
    notes = JobNotes(submission, NOTHING, 10.0, 5.0, accepted_at=10.0)
    workers = [build_worker()]
    log = log or DisturbanceLog()
    return len(
        list(check_standstills({JOB: notes}, SERVICES, [], workers, NOTHING, log, 30.0))
    )


def test_standstill_on_a_calm_day_is_found() -> None:
    assert count_breaches(Step(1, cpu=1000)) == 1


def test_standstill_that_begins_soon_after_a_disturbance_is_found() -> None:
    """The day is calm from 8 s on; the job stands still from 10 s to 30 s."""
    log = DisturbanceLog()
    log.record(ALL_NODES, 7.0, 8.0)
    assert count_breaches(Step(1, cpu=1000), log=log) == 1


def test_standstill_of_a_step_beside_one_that_does_not_fit_is_found() -> None:
    large, small = Step(1, cpu=9000), Step(1, cpu=1000)
    assert count_breaches(large, small) == 1


def test_standstill_before_the_fault_of_a_worker_is_found() -> None:
    """A worker that a fault affects at the end of the day had room for 20 s before."""

    async def main() -> int:
        now = anyio.current_time()
        worker = build_worker()
        worker.born_at = now - 30.0
        worker.resize(0.5)
        submission = Submission(
            JOB, QueuePolicy("q", "s"), "spec", (Step(1, cpu=1000),)
        )
        notes = JobNotes(submission, NOTHING, 0.0, 5.0, accepted_at=now - 20.0)
        log = DisturbanceLog()
        found = check_standstills(
            {JOB: notes}, SERVICES, [], [worker], NOTHING, log, now
        )
        return len(list(found))

    assert anyio.run(main) == 1


def test_absent_serving_task_is_found_once_the_day_is_calm_again() -> None:
    """One of two serving tasks is away from 12 s to 29 s; all is calm from 13 s on."""
    step = Step(2, cpu=1000, long_running=True)
    submission = Submission(JOB, QueuePolicy("q", "s"), "spec", (step,))
    notes = {JOB: JobNotes(submission, NOTHING, 9.0, 5.0, accepted_at=10.0)}
    first, second = (TaskId(JOB, 0, 0, position) for position in (0, 1))
    records = [
        RunRecord(first, 1, "w1", "node", 1, 11.0),
        RunRecord(second, 1, "w0", "node", 1, 11.0, 12.0, "gone"),
        RunRecord(second, 2, "w1", "node", 2, 29.0),
    ]
    log = DisturbanceLog()
    log.record("other node", 12.0, 13.0)
    found = [
        *check_standstills(
            notes, SERVICES, records, [build_worker()], NOTHING, log, 30.0
        ),
        *check_absences(notes, records, log),
        *check_serving(notes, records, 30.0),
    ]
    assert len(found) == 1


def test_jobs_run_beside_a_job_whose_tasks_fail_by_themselves() -> None:
    # the pool has two workers left, and the failing job has tasks on both
    assert play(load_day("short"), 7).breaches == []


def test_one_faulty_worker_of_four_fails_no_wide_job() -> None:
    assert play(parse_script("wide", WIDE), 3).breaches == []


@pytest.mark.parametrize("seed", [5033, 5038])
def test_jobs_do_not_fail_on_faulty_workers_of_a_small_pool(seed: int) -> None:
    # a worker fails all tasks for some seconds, and the others are full or moved
    assert play(load_day("short"), seed, 5).breaches == []
