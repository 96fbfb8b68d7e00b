"""How soon tasks start again after all nodes were killed and started at once."""

import typing as t

import pytest

from onyxgap.standins.emulator.faults import FaultyDay
from onyxgap.standins.emulator.script import parse_script
from onyxgap.standins.emulator.slots import NodeSlot
from onyxgap.standins.emulator.start_delays import StartDelay
from onyxgap.standins.emulator.start_delays import measure_start_delays
from onyxgap.standins.virtual import run_virtually

CONTACT_S = 4.0
"""Time from the start of its process until a node counts as in touch."""
STANDSTILL_S = 3.0
"""Time for which a job may have nothing running beside nodes in touch."""
START_COST_S = 0.9
"""Processor time of a start: with the bytecode of a build, processes need less."""
FINISH_S = 8.0
KILLED_S = 14.0
AWAY_S = 1.0

DAY = f"""
pool ring vms 6 cores 16 memory 32
pool herd vms 6 cores 16 memory 32
spare 4
serve ring tasks 4 cpu 5 memory 20 per-vm 1 may-miss 1
serve herd tasks 4 cpu 5 memory 20 per-vm 1 may-miss 1
load ring every 0.6 from 8 to 24 width 3 work 0.5 cpu 3 memory 4
load herd every 0.6 from 8 to 24 width 3 work 0.5 cpu 3 memory 4
schedule ring times 20 every 1 from 6 width 3 work 0.4 cpu 2 memory 2
schedule herd times 20 every 1 from 6 width 3 work 0.4 cpu 2 memory 2
turns 5
start-cost {START_COST_S}
at {KILLED_S} kill all for {AWAY_S}
end 26
"""


class LostOwnerDay(FaultyDay):
    """A day on which the node of an owner does not start again."""

    async def restart(self, slots: t.Iterable[NodeSlot], after_s: float) -> None:
        lost = self.find_slot("owner", "ring")
        self.record_disturbance(lost.name, after_s)
        lost.kill()
        await super().restart([slot for slot in slots if slot is not lost], after_s)


def list_late_starts(
    day_type: type[FaultyDay], nodes: int, cores: int, seed: int
) -> list[StartDelay]:
    """Play a day, and list the waits that end too late after the start of all nodes."""
    text = f"nodes {nodes}\nhost-cores {cores}\n{DAY}"
    script = parse_script("starts", text)
    started_s = KILLED_S + AWAY_S
    in_touch_s = started_s + CONTACT_S

    async def main() -> list[StartDelay]:
        day = day_type(script, seed, finish_s=FINISH_S)
        await day.play()
        evidence = day.collect_evidence()
        return measure_start_delays(evidence, started_s, script.end_s + FINISH_S)

    delays = [item for item in run_virtually(main) if item.since <= in_touch_s]
    assert delays
    latest_s = in_touch_s + STANDSTILL_S
    return [item for item in delays if item.since + item.seconds >= latest_s]


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("day_type", [FaultyDay, LostOwnerDay])
@pytest.mark.parametrize(("nodes", "cores"), [(4, 1), (9, 2), (43, 8)])
def test_jobs_run_again_soon_after_all_nodes_were_killed_and_started_at_once(
    nodes: int, cores: int, day_type: type[FaultyDay], seed: int
) -> None:
    assert list_late_starts(day_type, nodes, cores, seed) == []
