"""Workers that answer hold requests while start orders do not reach them."""

import pytest

from onyxgap.standins.emulator.faults import FaultyDay
from onyxgap.standins.emulator.script import parse_script
from onyxgap.standins.virtual import run_virtually
from tests.emulated import play

SERVING_DAY = """
nodes 3
pool ring vms 3
spare 3
serve ring tasks 3 cpu 40 memory 20 per-vm 1 may-miss 1
at 0.9 refuse vm ring for 60
end 10
"""
FULL_DAY = """
nodes 3
pool ring vms 3
spare 3
serve ring tasks 2 cpu 60 memory 20 per-vm 1 may-miss 1
load ring every 2.0 from 7 to 20 width 1 work 0.6 cpu 8
at 6 refuse vm ring for 14
end 24
"""
MAX_WAIT_S = 4.0
"""Time in which a pool gets another VM and a job starts there."""


async def measure_longest_wait(seed: int) -> float:
    """Play a day; return the most seconds from an acceptance to the first run."""
    day = FaultyDay(parse_script("undelivered-starts", FULL_DAY), seed)
    await day.play()
    began: dict[str, float] = {}
    for record in day.workers.records:
        job_id = record.task.job_id
        began[job_id] = min(record.began, began.get(job_id, record.began))
    return max(
        began[job_id] - notes.accepted_at
        for job_id, notes in day.callers.jobs.items()
        if notes.accepted_at is not None
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_serving_task_gets_another_vm_if_starts_do_not_reach_a_worker(
    seed: int,
) -> None:
    script = parse_script("undelivered-starts", SERVING_DAY)
    assert [item.detail for item in play(script, seed).breaches] == []


@pytest.mark.parametrize("seed", [5, 11, 12])
def test_jobs_get_another_vm_if_starts_do_not_reach_the_only_free_worker(
    seed: int,
) -> None:
    assert run_virtually(measure_longest_wait, seed) <= MAX_WAIT_S
