"""Measurement of the time from a loss to the next start."""

import random
import types
import typing as t

import pytest

from onyxgap.jobs.messages import QueuePolicy
from onyxgap.jobs.messages import Step
from onyxgap.jobs.messages import Submission
from onyxgap.jobs.messages import TaskId
from onyxgap.jobs.messages import WorkerEntry
from onyxgap.jobs.messages import WorkerState
from onyxgap.standins.emulator.checks import Evidence
from onyxgap.standins.emulator.job_notes import JobNotes
from onyxgap.standins.emulator.runs import RunRecord
from onyxgap.standins.emulator.start_delays import measure_start_delays
from onyxgap.standins.emulator.workers import EmulatedWorker

NOTHING: t.Any = None
JOB = "a" * 16
END_S = 30.0


def measure(
    loss_at: float, *records: RunRecord, died_at: float = 1e9, serving: bool = False
) -> list[float]:
    """Measure the waits of a job that was accepted at 10 s, beside one worker."""
    step = Step(1, cpu=1000, memory_mb=1, long_running=serving)
    submission = Submission(JOB, QueuePolicy("q", "s"), "spec", (step,))
    notes = JobNotes(submission, NOTHING, 10.0, 5.0, accepted_at=10.0)
    entry = WorkerEntry(
        "w1", "s", "w1:1", "z", WorkerState.READY, 8000, 8000, 0, (), 0.0
    )
    worker = EmulatedWorker(entry, NOTHING, random.Random(1), [], born_at=0.0)
    worker.died_at = died_at
    callers: t.Any = types.SimpleNamespace(jobs={JOB: notes})
    evidence = Evidence(callers, list(records), [], (), {}, NOTHING, workers=[worker])
    return [item.seconds for item in measure_start_delays(evidence, loss_at, END_S)]


def build_run(began: float, ended: float | None = None, run: int = 1) -> RunRecord:
    task = TaskId(JOB, 0, 0, 0)
    return RunRecord(task, run, "w1", "node", 1, began, ended, "gone" if ended else "")


def test_job_that_never_starts_waits_from_the_loss_to_the_end() -> None:
    assert measure(15.0) == [15.0]


def test_job_waits_from_the_end_of_its_runs_to_the_next_start() -> None:
    assert measure(12.0, build_run(11.0, 15.0), build_run(17.5, run=2)) == [2.5]


def test_wait_before_the_loss_does_not_count() -> None:
    assert measure(16.0, build_run(15.0)) == []


def test_time_without_room_in_the_pool_does_not_count_for_a_job() -> None:
    assert measure(15.0, died_at=18.0) == [3.0]


def test_serving_task_waits_whether_there_is_room_or_not() -> None:
    waits = measure(
        15.0, build_run(11.0, 15.0), build_run(19.0, run=2), died_at=15.0, serving=True
    )
    assert max(waits) == pytest.approx(4.0)


def test_serving_task_that_never_runs_again_waits_to_the_end() -> None:
    waits = measure(15.0, build_run(11.0, 15.0), died_at=15.0, serving=True)
    assert max(waits) == pytest.approx(15.0)
