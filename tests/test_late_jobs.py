"""Days on which jobs are late: they run once the others have what they need."""

import pytest

from onyxgap.standins.emulator.script import parse_script
from tests.emulated import play

SERVING_TASKS = "serve ring tasks 4 cpu 2 memory 5.8 per-vm 1 may-miss 1"
FULL_POOL_DAY = "\n".join(
    (
        "nodes 3",
        "pool ring vms 4 cores 16 memory 32",
        "pool herd vms 2 cores 16 memory 32",
        "spare 2",
        *[SERVING_TASKS] * 5,
        "load herd every 0.3 from 3 to 10 width 14 work 0.8 cpu 4 memory 4",
        "load ring every 1 from 5 to 9 width 4 work 0.8 cpu 4 memory 4",
        "end 24",
    )
)


@pytest.mark.parametrize("settings", ["contended", ""])
def test_late_jobs_run_on_spare_vms_although_serving_tasks_fill_their_pool(
    settings: str,
) -> None:
    script = parse_script("full-pool", f"{FULL_POOL_DAY}\n{settings}")
    result = play(script, seed=1)
    assert result.breaches == []
    assert result.account.late
