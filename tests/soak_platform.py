"""The soak's platform with one VM and one caller, for tests without processes."""

import random
import typing as t

import anyio
import anyio.abc
import httpcore
import orjson

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
from onyxgap.standins.emulator.workers import EmulatedWorkers
from onyxgap.standins.emulator.workers import EmulatedWorkersClient

ANSWER_S = 1.5
"""Time for which a call waits: longer than the emulator's own time-outs."""
VM_NAME = "ring-0"
HOLD = {"fencing_token": 1, "acked_upto": 0}


class Platform:
    """The soak's platform with one VM, and one caller."""

    def __init__(self, group: anyio.abc.TaskGroup) -> None:
        rng, self.gate = random.Random(1), NodeGate("node-0")
        find_nature: t.Any = None
        self.store = EmulatedStore(rng, group)
        workers = EmulatedWorkers(rng, group)
        self.cloud = EmulatedCloud(
            self.store, workers, group, find_nature, rng, "spare"
        )
        self.cloud.add(Vm(VM_NAME, "ring", VmState.UP, "zone", "rack", 64_000, 256_000))
        self.worker_id = self.cloud.vms[VM_NAME].worker_id
        self._app = PlatformApp(
            EmulatedStoreClient(self.store, self.gate),
            EmulatedCloudClient(self.cloud, self.gate),
            EmulatedWorkersClient(workers, self.gate),
            workers,
            "",
            PlatformConnections(rng),
        )
        self._pool = httpcore.AsyncConnectionPool()
        self.address = Address("127.0.0.1", 0)

    async def start(self, group: anyio.abc.TaskGroup) -> None:
        self.address = await group.start(
            HttpServer(self._app, Address("127.0.0.1", 0)).run
        )

    async def call(
        self,
        method: str,
        path: str,
        body: t.Any = None,
        headers: t.Sequence[tuple[str, str]] = (),
    ) -> httpcore.Response:
        timeout = dict.fromkeys(("connect", "read", "write", "pool"), ANSWER_S)
        return await self._pool.request(
            method,
            f"http://{self.address}{path}",
            headers=list(headers),
            content=None if body is None else orjson.dumps(body),
            extensions={"timeout": timeout},
        )

    async def list_vm_names(self) -> list[str]:
        response = await self.call("GET", "/machines")
        assert response.status == 200
        return [item["machine"] for item in orjson.loads(response.content)["machines"]]

    async def hold(self, wait_ms: int = 0) -> httpcore.Response:
        order = {**HOLD, "wait_ms": wait_ms}
        return await self.call(
            "POST", "/hold", order, [("Expected-Instance", self.worker_id)]
        )


Play = t.Callable[[Platform], t.Awaitable[None]]


def run_with_platform(play: Play) -> None:
    async def run() -> None:
        async with anyio.create_task_group() as group:
            platform = Platform(group)
            await platform.start(group)
            await play(platform)
            group.cancel_scope.cancel()

    anyio.run(run)
