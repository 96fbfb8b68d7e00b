"""Tests that empty workers that join a crowded pool get urgent work immediately.

Guards against placement that keeps packing tasks onto the old, loaded workers.
"""

import statistics
import typing as t

import anyio
import anyio.abc
import attrs

from onyxgap.standins.emulator.faults import FaultyDay
from onyxgap.standins.emulator.policies import FixedSizer
from onyxgap.standins.emulator.runs import RunRecord
from onyxgap.standins.emulator.script import parse_script
from onyxgap.standins.virtual import run_virtually

JOIN_AT_S = 8.0
NEW_VMS = 6
CORES = 64.0
MEMORY_GB = 256.0
COMPARISON_S = 2.0
"""Time after the new workers joined at which the comparison with the old ones starts,
and for which it lasts."""
CROWDED = """
nodes 3
pool ring vms 6
pool herd vms 2
spare 0
serve ring tasks 12 cpu 9.6 memory 8 may-miss 2
load ring every 0.03 from 4 to 14 width 6 work 0.64 cpu 4.6
end 18
"""


@attrs.define(eq=False)
class GrowingDay(FaultyDay):
    """An emulated day on which a pool gets new VMs."""

    def _start_faults(self, group: anyio.abc.TaskGroup) -> None:
        group.start_soon(self._add_vms)

    async def _add_vms(self) -> None:
        await anyio.sleep(JOIN_AT_S)
        for number in range(100, 100 + NEW_VMS):
            self._add_vm("ring", number, CORES, MEMORY_GB)


async def play_growing_day() -> tuple[list[str], list[RunRecord], t.Any]:
    day = GrowingDay(parse_script("crowded", CROWDED), 5, FixedSizer)
    result = await day.play()
    new = [key for key, life in day.workers.lives.items() if "ring-10" in key]
    return new, day.workers.records, result


def test_new_workers_get_urgent_work_within_a_second() -> None:
    """New workers start a run soon, and then at least as many runs as old ones.

    Reference values from when the test was written: the first run on a new VM after
    14 ms of emulated time, then 35 runs on each new VM and 24 on each old one.
    """
    new, records, result = run_virtually(play_growing_day)
    assert result.breaches == []
    assert len(new) == NEW_VMS
    first_start_s = {
        worker: min(run.began for run in records if run.worker_id == worker) - JOIN_AT_S
        for worker in new
    }
    compared = [
        run
        for run in records
        if JOIN_AT_S + COMPARISON_S <= run.began < JOIN_AT_S + 2 * COMPARISON_S
    ]
    on_new = sum(run.worker_id in new for run in compared) / NEW_VMS
    old = {run.worker_id for run in compared} - set(new)
    on_old = sum(run.worker_id in old for run in compared) / len(old)
    assert max(first_start_s.values()) < 0.5
    assert statistics.median(first_start_s.values()) < 0.3
    assert on_new >= on_old
