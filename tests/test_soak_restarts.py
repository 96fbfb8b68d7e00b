"""Workers of the soak that start again under their IDs amid calls."""

import logging
import pathlib

import anyio
import httpcore
import orjson
import pytest

from bench.soak.day import play_soak
from onyxgap.standins.emulator.script import parse_script
from tests.soak_platform import VM_NAME
from tests.soak_platform import Platform
from tests.soak_platform import run_with_platform

BROKEN = (httpcore.NetworkError, httpcore.ProtocolError)
DARK_S = 0.3
FINISH_S = 10.0
DAY = """
nodes 3
pool ring vms 4
load ring every 0.7 from 4 to 9 width 6 work 7 cpu 6 memory 20
load ring every 0.1 from 3 to 12 width 5 work 0.3 cpu 0.1 memory 0.1
at 9 restart vm ring-0 for 0.6
at 9 restart vm ring-1 for 0.6
at 11.6 cut vm ring-0 for 9
at 11.6 cut vm ring-1 for 9
end 30
"""


@pytest.fixture(autouse=True)
def quiet_servers() -> None:
    """Keep what servers say of calls that the end of the day cuts off out of sight."""
    logging.disable(logging.CRITICAL)


async def restart(platform: Platform) -> int:
    """Have the worker start again; return when it did so before, in Unix ms."""
    worker = platform.cloud.get_worker(VM_NAME)
    assert worker is not None
    platform.cloud.restart(VM_NAME, DARK_S)
    return worker.entry.born


def read_born(response: httpcore.Response) -> int:
    assert response.status == 200
    return int(orjson.loads(response.content)["born"])


def test_call_on_a_connection_made_in_the_dark_reaches_the_next_incarnation() -> None:
    async def play(platform: Platform) -> None:
        former = await restart(platform)
        assert read_born(await platform.hold()) > former

    run_with_platform(play)


def test_connection_of_a_former_incarnation_does_not_reach_the_next_one() -> None:
    async def play(platform: Platform) -> None:
        await platform.hold()
        former = await restart(platform)
        with pytest.raises(BROKEN):
            await platform.hold()
        assert read_born(await platform.hold()) > former

    run_with_platform(play)


def test_call_in_progress_at_a_restart_is_not_answered() -> None:
    async def play(platform: Platform) -> None:
        async def restart_soon() -> None:
            await anyio.sleep(0.1)
            await restart(platform)

        async with anyio.create_task_group() as group:
            group.start_soon(restart_soon)
            with pytest.raises((*BROKEN, httpcore.TimeoutException)):
                await platform.hold(wait_ms=1000)

    run_with_platform(play)


def test_call_that_was_given_up_in_the_dark_does_not_reach_the_next_incarnation() -> (
    None
):
    async def play(platform: Platform) -> None:
        await restart(platform)
        with anyio.move_on_after(DARK_S / 2):
            await platform.hold()
        await anyio.sleep(DARK_S)
        worker = platform.cloud.get_worker(VM_NAME)
        assert worker is not None and worker.alive
        assert worker.fence == 0

    run_with_platform(play)


def test_tasks_of_processes_run_once_on_workers_that_restart_and_are_cut_off(
    tmp_path: pathlib.Path,
) -> None:
    result = play_soak(parse_script("restarts", DAY), 1, tmp_path, finish_s=FINISH_S)
    assert result.breaches == []
    assert result.account.in_time
