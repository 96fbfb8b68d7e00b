"""Accepted jobs that stand still although a task of them could run."""

from tests.emulated import load_day
from tests.emulated import play


def test_jobs_run_beside_a_job_whose_tasks_fail_by_themselves() -> None:
    # the pool has two workers left, and the failing job has tasks on both
    assert play(load_day("short"), 7).breaches == []
