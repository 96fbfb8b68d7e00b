"""Empty workers that join a crowded pool take their share of urgent work at once."""

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

JOINED_S = 8.0
NEW_VMS = 6
CORES = 64.0
MEMORY_MB = 256.0
LOOK_S = 2.0
"""Time after which old and new workers are compared."""
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
    """A day on which a pool gets new VMs."""

    def _start_faults(self, group: anyio.abc.TaskGroup) -> None:
        group.start_soon(self._grow)

    async def _grow(self) -> None:
        await anyio.sleep(JOINED_S)
        for number in range(100, 100 + NEW_VMS):
            self._add_vm("ring", number, CORES, MEMORY_MB)


async def play() -> tuple[list[str], list[RunRecord], t.Any]:
    day = GrowingDay(parse_script("crowded", CROWDED), 5, FixedSizer)
    result = await day.play()
    new = [key for key, life in day.workers.lives.items() if "ring-10" in key]
    return new, day.workers.records, result


def test_new_workers_take_urgent_work_from_their_first_second() -> None:
    """In 14 ms, emulated; 35 runs then begin on a new VM and 24 on an old one."""
    new, records, result = run_virtually(play)
    assert result.breaches == []
    assert len(new) == NEW_VMS
    first = {
        worker: min(run.began for run in records if run.worker_id == worker) - JOINED_S
        for worker in new
    }
    late = [
        run for run in records if JOINED_S + LOOK_S <= run.began < JOINED_S + 2 * LOOK_S
    ]
    on_new = sum(run.worker_id in new for run in late) / NEW_VMS
    old = {run.worker_id for run in late} - set(new)
    on_old = sum(run.worker_id in old for run in late) / len(old)
    assert max(first.values()) < 0.5
    assert statistics.median(first.values()) < 0.3
    assert on_new >= on_old
