"""A short soak whose nodes share two cores with busy processes."""

import logging
import pathlib
import socket
import types
import typing as t

import anyio
import pytest

from bench.soak.cores import choose_core_share
from bench.soak.day import play_soak
from bench.soak.processes import ProcessSlot
from onyxgap.standins.emulator.script import Script
from onyxgap.standins.emulator.script import parse_script

NODE_CORES = 2
BUSY = 2
DAY = """
nodes 5
pool ring vms 6
pool herd vms 6
spare 4
serve ring tasks 4 cpu 5 memory 35 per-vm 1 may-miss 1
serve herd tasks 4 cpu 5 memory 35 per-vm 1 may-miss 1
load ring every 0.4 from 10 to 20 width 6 work 0.64 cpu 3.5 memory 3
load herd every 0.8 from 10 to 20 width 8 work 1.2 cpu 7.7 memory 6
wave at 11 of 6 cap 3 within 12
at 14 stop owner ring for 1
end 21
"""


@pytest.fixture(autouse=True)
def quiet_servers() -> None:
    """Keep what servers say of calls that the end of the day cuts off out of sight."""
    logging.disable(logging.CRITICAL)


def test_jobs_do_not_stand_still_while_nodes_share_their_cores_with_busy_processes(
    tmp_path: pathlib.Path,
) -> None:
    cores = choose_core_share(NODE_CORES, BUSY)
    result = play_soak(parse_script("cores", DAY), 1, tmp_path, cores=cores)
    assert result.breaches == []
    assert result.account.in_time


def test_busy_processes_wait_for_nodes_that_do_not_listen_yet() -> None:
    async def wait(slot: ProcessSlot) -> bool:
        with anyio.move_on_after(0.5) as scope:
            await slot.wait_until_listening()
        return not scope.cancelled_caught

    day: t.Any = types.SimpleNamespace(script=Script("day"))
    slot = ProcessSlot("node-0", day, folder=pathlib.Path())
    assert not anyio.run(wait, slot)
    with socket.create_server(("127.0.0.1", slot._ports + 1)):
        assert anyio.run(wait, slot)
