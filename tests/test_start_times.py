"""How long a process takes from its start to its first decisions."""

import random
import time

import anyio
import pytest
import structlog

from onyxgap.clocks import SystemClocks
from onyxgap.clocks import read_process_start
from onyxgap.daemons.start_times import StartStep
from onyxgap.daemons.start_times import StartTimes
from onyxgap.standins.emulator.day import Day
from onyxgap.standins.emulator.script import parse_script
from onyxgap.standins.emulator.starting import SLICE_S
from onyxgap.standins.emulator.starting import SPREAD
from onyxgap.standins.emulator.starting import StartHost
from onyxgap.standins.virtual import run_virtually

DAY = """
nodes 2
pool ring vms 2
load ring every 1 from 2 to 3
end 4
"""


class FixedClocks(SystemClocks):
    """A boot clock that stands still."""

    def read_boot(self) -> float:
        return 107.5


@pytest.fixture
def times() -> StartTimes:
    return StartTimes(FixedClocks(), 100.0, read_processor=lambda: 1.25)


def test_start_step_is_logged_once_with_wall_and_processor_time(
    times: StartTimes,
) -> None:
    with structlog.testing.capture_logs() as lines:
        times.note(StartStep.CLAIM)
        times.note(StartStep.CLAIM)
    assert [(line["step"], line["since_start_s"]) for line in lines] == [
        ("first shard claimed", 7.5)
    ]
    assert lines[0]["processor_s"] == 1.25


def test_step_that_was_not_reached_has_no_time(times: StartTimes) -> None:
    times.note(StartStep.CLAIM)
    assert times.get_seconds(StartStep.CLAIM) == 7.5
    assert times.get_seconds(StartStep.TASK) == -1.0


def test_process_started_before_it_used_any_processor_time() -> None:
    age_s = SystemClocks().read_boot() - read_process_start()
    assert age_s + 0.02 >= time.process_time() > 0.0


def test_owner_notes_all_steps_that_it_reaches() -> None:
    day = Day(parse_script("starts", DAY), 1, finish_s=2.0)
    run_virtually(day.play)
    reached = {
        step
        for slot in day.slots
        if slot.node is not None
        for step in slot.node.start_times.reached
    }
    of_the_process = {StartStep.MODULES, StartStep.LISTENING}
    assert reached >= set(StartStep) - of_the_process - {StartStep.TASK}


def measure_starts(starts: int) -> float:
    async def main() -> float:
        host = StartHost(1.0, 2.0, random.Random(1))
        async with anyio.create_task_group() as group:
            for _ in range(starts):
                group.start_soon(host.start)
        return anyio.current_time()

    return run_virtually(main)


def test_starts_that_share_processors_take_longer_together() -> None:
    assert 1.0 - SPREAD <= measure_starts(1) <= 1.0 + SPREAD + SLICE_S
    assert 4.0 * (1.0 - SPREAD) <= measure_starts(8) <= 4.0 * (1.0 + SPREAD)


def test_nodes_of_a_day_start_as_late_as_their_processes_need() -> None:
    script = parse_script("starts", DAY + "start-cost 1\nhost-cores 1")
    day = Day(script, 1, finish_s=2.0)
    run_virtually(day.play)
    started_at = [
        slot.node.start_times.started_at for slot in day.slots if slot.node is not None
    ]
    assert len(started_at) == 2
    assert min(started_at) > 1.0
