"""Connections to the platform that break in the soak."""

import random
import types
import typing as t

import anyio
import anyio.abc
import httpcore
import pytest

from bench.soak.__main__ import DAY
from bench.soak.connection_faults import KINDS
from bench.soak.connection_faults import ConnectionFaults
from bench.soak.connection_faults import draw_connection_faults
from bench.soak.connections import Break
from bench.soak.connections import PlatformConnections
from bench.soak.platform import PlatformApp
from onyxgap.adapters.http_server import HttpServer
from onyxgap.jobs.store import Applied
from onyxgap.jobs.store import Batch
from onyxgap.settings import Address
from onyxgap.standins.emulator.disturbances import DisturbanceLog
from onyxgap.standins.emulator.fault_draws import draw_faults
from onyxgap.standins.emulator.script import FaultLine
from onyxgap.standins.emulator.script import load_script

BROKEN = (httpcore.NetworkError, httpcore.RemoteProtocolError)


class SlowStore:
    """A store that counts its writes and answers late."""

    def __init__(self, answer_s: float) -> None:
        self.answer_s = answer_s
        self.writes = 0

    async def write(self, batch: Batch) -> Applied:
        self.writes += 1
        await anyio.sleep(self.answer_s)
        return Applied(self.writes)


class Platform:
    """A platform with one caller that keeps its connection open."""

    def __init__(self, answer_s: float = 0.0) -> None:
        self.store = SlowStore(answer_s)
        self.connections = PlatformConnections(random.Random(1))
        self._pool = httpcore.AsyncConnectionPool(max_connections=1)
        self._address = Address("127.0.0.1", 0)

    async def start(self, group: anyio.abc.TaskGroup) -> None:
        unused: t.Any = types.SimpleNamespace()
        store: t.Any = self.store
        app = PlatformApp(store, unused, unused, unused, "", self.connections)
        self._address = await group.start(HttpServer(app, Address("127.0.0.1", 0)).run)

    async def write(self) -> int:
        response = await self._pool.request(
            "POST", f"http://{self._address}/rows-tx", content=b'{"puts": []}'
        )
        return response.status


@pytest.mark.parametrize(
    ("kind", "writes"),
    [(Break.RESET_ANSWER, 2), (Break.CUT_ANSWER, 2), (Break.CLOSE_IDLE, 1)],
)
def test_call_on_a_connection_that_breaks_is_carried_out_as_its_kind_says(
    kind: Break, writes: int
) -> None:
    async def play() -> None:
        async with anyio.create_task_group() as group:
            platform = Platform()
            await platform.start(group)
            assert await platform.write() == 200
            platform.connections.shares[kind] = 1.0
            with pytest.raises(BROKEN):
                await platform.write()
            assert platform.store.writes == writes
            platform.connections.shares.clear()
            assert await platform.write() == 200
            group.cancel_scope.cancel()

    anyio.run(play)


@pytest.mark.parametrize("target", ["node", "all"])
def test_abort_resets_a_call_in_progress(target: str) -> None:
    async def play() -> None:
        async with anyio.create_task_group() as group:
            platform = Platform(answer_s=2.0)
            await platform.start(group)
            log = DisturbanceLog()
            faults = ConnectionFaults([platform.connections], log, random.Random(1))

            async def abort() -> None:
                await anyio.sleep(0.2)
                await faults.play(FaultLine(0.0, "abort", target))

            group.start_soon(abort)
            began = anyio.current_time()
            with pytest.raises(BROKEN):
                await platform.write()
            assert anyio.current_time() - began < 1.0
            assert platform.store.writes == 1
            # an abort excuses no breach
            assert log.spans == []
            group.cancel_scope.cancel()

    anyio.run(play)


def test_breaking_calls_are_logged_as_a_disturbance_and_end() -> None:
    async def play() -> None:
        connections, log = PlatformConnections(random.Random(1)), DisturbanceLog()
        faults = ConnectionFaults([connections], log, random.Random(1))
        await faults.play(FaultLine(0.0, "cut", "answers", "", 0.05))
        assert len(log.spans) == 1
        assert connections.shares == {}

    anyio.run(play)


def test_connection_faults_leave_the_other_faults_of_a_seed_as_they_are() -> None:
    script = draw_faults(load_script(DAY), 9100, 6, include_scripted=True)
    both = draw_connection_faults(script, 9100, 3)
    assert both.faults[:-3] == script.faults
    assert not any((item.verb, item.target) in KINDS for item in script.faults)
    assert all((item.verb, item.target) in KINDS for item in both.faults[-3:])
    assert both == draw_connection_faults(script, 9100, 3)
