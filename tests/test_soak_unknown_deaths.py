"""Lists of VMs, dead workers and refused writes as the soak's platform answers them."""

import random
import typing as t

import anyio
import anyio.abc
import httpcore
import orjson
import pytest

from bench.soak.connections import PlatformConnections
from bench.soak.platform import PlatformApp
from onyxgap.adapters.http_server import HttpServer
from onyxgap.pools.messages import Vm
from onyxgap.pools.messages import VmState
from onyxgap.settings import Address
from onyxgap.standins.emulator.cloud import EmulatedCloud
from onyxgap.standins.emulator.cloud import EmulatedCloudClient
from onyxgap.standins.emulator.gate import NodeGate
from onyxgap.standins.emulator.store import EmulatedStore
from onyxgap.standins.emulator.store import EmulatedStoreClient
from onyxgap.standins.emulator.vm_list import ListState
from onyxgap.standins.emulator.workers import EmulatedWorkers
from onyxgap.standins.emulator.workers import EmulatedWorkersClient

ANSWER_S = 1.5
"""Time for which a call waits: longer than the emulator's own time-outs."""
VM_NAME = "ring-0"
HOLD = {"fencing_token": 1, "acked_upto": 0}


class Platform:
    """The soak's platform with one VM, and one caller."""

    def __init__(self, group: anyio.abc.TaskGroup) -> None:
        rng, gate = random.Random(1), NodeGate("node-0")
        find_nature: t.Any = None
        self.store = EmulatedStore(rng, group)
        workers = EmulatedWorkers(rng, group)
        self.cloud = EmulatedCloud(
            self.store, workers, group, find_nature, rng, "spare"
        )
        self.cloud.add(Vm(VM_NAME, "ring", VmState.UP, "zone", "rack", 64_000, 256_000))
        self.worker_id = self.cloud.vms[VM_NAME].worker_id
        self._app = PlatformApp(
            EmulatedStoreClient(self.store, gate),
            EmulatedCloudClient(self.cloud, gate),
            EmulatedWorkersClient(workers, gate),
            workers,
            "",
            PlatformConnections(rng),
        )
        self._pool = httpcore.AsyncConnectionPool()
        self._address = Address("127.0.0.1", 0)

    async def start(self, group: anyio.abc.TaskGroup) -> None:
        self._address = await group.start(
            HttpServer(self._app, Address("127.0.0.1", 0)).run
        )

    async def call(
        self, method: str, path: str, body: t.Any = None, worker_id: str = ""
    ) -> httpcore.Response:
        timeout = dict.fromkeys(("connect", "read", "write", "pool"), ANSWER_S)
        return await self._pool.request(
            method,
            f"http://{self._address}{path}",
            headers=[("Expected-Instance", worker_id)] if worker_id else [],
            content=None if body is None else orjson.dumps(body),
            extensions={"timeout": timeout},
        )

    async def list_vm_names(self) -> list[str]:
        response = await self.call("GET", "/machines")
        assert response.status == 200
        return [item["machine"] for item in orjson.loads(response.content)["machines"]]

    async def hold(self, wait_ms: int = 0) -> httpcore.Response:
        order = {**HOLD, "wait_ms": wait_ms}
        return await self.call("POST", "/hold", order, self.worker_id)


Play = t.Callable[[Platform], t.Awaitable[None]]


def run_with_platform(play: Play) -> None:
    async def run() -> None:
        async with anyio.create_task_group() as group:
            platform = Platform(group)
            await platform.start(group)
            await play(platform)
            group.cancel_scope.cancel()

    anyio.run(run)


def test_refused_vm_list_is_answered_with_503() -> None:
    async def play(platform: Platform) -> None:
        platform.cloud.vm_list.set_state(ListState.REFUSED)
        assert (await platform.call("GET", "/machines")).status == 503

    run_with_platform(play)


def test_silent_vm_list_is_held_open_without_an_answer() -> None:
    async def play(platform: Platform) -> None:
        platform.cloud.vm_list.set_state(ListState.SILENT)
        with pytest.raises(httpcore.ReadTimeout):
            await platform.call("GET", "/machines")

    run_with_platform(play)


def test_old_vm_list_shows_what_it_showed_when_the_fault_began() -> None:
    async def play(platform: Platform) -> None:
        platform.cloud.vm_list.set_state(ListState.OLD)
        platform.cloud.vms["ring-1"] = platform.cloud.vms[VM_NAME]
        assert await platform.list_vm_names() == [VM_NAME]
        platform.cloud.vm_list.set_state(ListState.TRUE)
        assert len(await platform.list_vm_names()) == 2

    run_with_platform(play)


def test_call_to_a_worker_without_power_is_held_open() -> None:
    async def play(platform: Platform) -> None:
        assert (await platform.hold()).status == 200
        platform.cloud.halt(VM_NAME, 60.0)
        with pytest.raises(httpcore.ReadTimeout):
            await platform.hold()

    run_with_platform(play)


def test_call_in_progress_is_held_open_once_its_worker_has_no_power() -> None:
    async def play(platform: Platform) -> None:
        async with anyio.create_task_group() as group:

            async def halt() -> None:
                await anyio.sleep(0.2)
                platform.cloud.halt(VM_NAME, 60.0)

            group.start_soon(halt)
            with pytest.raises(httpcore.ReadTimeout):
                await platform.hold(wait_ms=1000)

    run_with_platform(play)


def end_worker(cloud: EmulatedCloud) -> None:
    cloud.end_worker(VM_NAME, 60.0)


def crash_vm(cloud: EmulatedCloud) -> None:
    cloud.crash(VM_NAME, 60.0)


@pytest.mark.parametrize("end", [end_worker, crash_vm])
def test_call_to_a_worker_whose_process_has_ended_is_reset(
    end: t.Callable[[EmulatedCloud], None],
) -> None:
    async def play(platform: Platform) -> None:
        end(platform.cloud)
        with pytest.raises((httpcore.NetworkError, httpcore.RemoteProtocolError)):
            await platform.hold()

    run_with_platform(play)


def test_ended_worker_is_listed_on_a_vm_that_is_up() -> None:
    async def play(platform: Platform) -> None:
        end_worker(platform.cloud)
        response = await platform.call("GET", "/machines")
        listed = orjson.loads(response.content)["machines"][0]
        assert (listed["state"], listed["id"]) == ("up", platform.worker_id)

    run_with_platform(play)


def test_refused_write_is_answered_with_503_and_reads_go_on() -> None:
    async def play(platform: Platform) -> None:
        platform.store.refusing_writes.add("node-0")
        refused = await platform.call("POST", "/rows-tx", {"puts": []})
        assert refused.status == 503
        read = await platform.call("GET", "/rows-get?table=workers&part=")
        assert read.status == 200

    run_with_platform(play)
