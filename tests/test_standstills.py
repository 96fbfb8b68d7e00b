"""Accepted jobs that stand still although a task of them could run."""

import pytest

from tests.emulated import load_day
from tests.emulated import play


def test_jobs_run_beside_a_job_whose_tasks_fail_by_themselves() -> None:
    # the pool has two workers left, and the failing job has tasks on both
    assert play(load_day("short"), 7).breaches == []


@pytest.mark.parametrize("seed", [5033, 5038])
def test_jobs_do_not_fail_on_faulty_workers_of_a_small_pool(seed: int) -> None:
    # a worker fails all tasks for some seconds, and the others are full or moved
    assert play(load_day("short"), seed, 5).breaches == []
