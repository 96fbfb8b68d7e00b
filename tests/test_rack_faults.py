"""Faults of whole racks."""

import typing as t

import anyio
import pytest

from onyxgap.pools.messages import VmState
from onyxgap.standins.emulator.fault_draws import draw_faults
from onyxgap.standins.emulator.fault_draws import draw_rack_faults
from onyxgap.standins.emulator.faults import FaultyDay
from onyxgap.standins.emulator.script import FaultLine
from onyxgap.standins.emulator.script import parse_script
from onyxgap.standins.virtual import run_virtually
from tests.emulated import load_day

DAY = parse_script("racks", "nodes 1\npool ring vms 8\npool herd vms 4\nend 10")


def play_fault(
    fault: FaultLine, at_s: float, look: t.Callable[[FaultyDay], t.Any]
) -> t.Any:
    """Have a fault hit a day without nodes, and look at it some time later.

    :param fault: the fault.
    :param at_s: seconds after which to look.
    :param look: returns what is looked at.
    """

    async def main() -> t.Any:
        async with anyio.create_task_group() as group:
            day = FaultyDay(DAY, 1)
            day._build(group)
            group.start_soon(day._play_fault, fault)
            await anyio.sleep(at_s)
            seen = look(day)
            group.cancel_scope.cancel()
        return seen

    return run_virtually(main)


def list_down_vms(day: FaultyDay) -> list[str]:
    vms = day.cloud.vms.values()
    return [vm.name for vm in vms if vm.state is not VmState.UP]


def list_dark_vms(day: FaultyDay) -> list[str]:
    return [
        worker.entry.address.partition(":")[0]
        for worker in day.workers.lives.values()
        if worker.dark
    ]


RACKS = (
    ["ring-0", "ring-1", "ring-2", "ring-3"],
    ["ring-4", "ring-5", "ring-6", "ring-7"],
)


@pytest.mark.parametrize("verb", ["crash", "halt"])
def test_all_vms_of_one_rack_are_down(verb: str) -> None:
    fault = FaultLine(1.0, verb, "rack", "ring", 3.0)
    assert play_fault(fault, 2.0, list_down_vms) in RACKS
    assert play_fault(fault, 4.0, list_down_vms) == []


def test_all_vms_of_one_rack_are_out_of_reach() -> None:
    fault = FaultLine(1.0, "cut", "rack", "ring", 3.0)
    assert play_fault(fault, 2.0, list_dark_vms) in RACKS
    assert play_fault(fault, 2.0, list_down_vms) == []
    assert play_fault(fault, 4.0, list_dark_vms) == []


def test_rack_faults_leave_the_other_faults_of_a_seed_as_they_are() -> None:
    script = draw_faults(load_day("short"), 9100, 6, include_scripted=True)
    assert draw_rack_faults(script, 9100, 0) == script
    both = draw_rack_faults(script, 9100, 2)
    assert both.faults[:-2] == script.faults
    assert {item.target for item in both.faults[-2:]} == {"rack"}
    assert not {item.target for item in script.faults} & {"rack"}
