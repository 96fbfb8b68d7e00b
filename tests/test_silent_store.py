"""Guards against nodes that rely on connections to the store that never answer again.

The connections stay open and new ones work, so only a timeout shows that they are dead.
"""

import contextlib
import random
import types
import typing as t

import anyio
import anyio.abc
import attrs

from bench.soak.connections import PlatformConnections
from bench.soak.platform import PlatformApp
from onyxgap.adapters.http_server import HttpServer
from onyxgap.clocks import SystemClocks
from onyxgap.daemons.fence import RENEWAL_INTERVAL_S
from onyxgap.daemons.fence import FencedWriter
from onyxgap.daemons.follower import Follower
from onyxgap.daemons.node import OWNER_POLL_S
from onyxgap.daemons.node import Node
from onyxgap.exceptions import PlatformUnavailableError
from onyxgap.jobs import tables
from onyxgap.jobs.health import MonitoredStore
from onyxgap.jobs.health import StoreHealth
from onyxgap.jobs.leases import GrantPeriod
from onyxgap.jobs.messages import QueuePolicy
from onyxgap.jobs.ownership import LOAD_REPORT_VALID_S
from onyxgap.jobs.routing import Configuration
from onyxgap.jobs.routing import Route
from onyxgap.jobs.routing import Service
from onyxgap.jobs.settings import NodeSettings
from onyxgap.jobs.store import RowId
from onyxgap.jobs.tables import OwnerRow
from onyxgap.jobs.tables import ShardLoad
from onyxgap.platform.http import HttpClient
from onyxgap.platform.store import PlatformStore
from onyxgap.settings import Address
from onyxgap.standins.emulator.gate import NodeGate
from onyxgap.standins.emulator.rows import DECODERS
from onyxgap.standins.emulator.store import EmulatedStore
from onyxgap.standins.emulator.store import EmulatedStoreClient

SHARD = "ring"
ROUTE = Route("host", "/queue/", QueuePolicy("queue", SHARD))
CLOCKS = SystemClocks()
COUNTED_AGAIN_S = 5.0
"""Time after which a count may omit no job, and so has to be given again."""
COUNTS_PER_S = 100
ASK_INTERVAL_S = 0.05


class SilencingProxy:
    """Forwards connections; those that are silenced stay open and forward nothing."""

    def __init__(self, target: Address) -> None:
        self._target = target
        self._silenced = 0
        self._accepted = 0

    def silence_all(self) -> None:
        """Silence all present connections for good."""
        self._silenced = self._accepted

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[Address] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        task_status.started(Address("127.0.0.1", port))
        await listener.serve(self._forward)

    async def _forward(self, client: anyio.abc.SocketStream) -> None:
        self._accepted += 1
        number = self._accepted
        server = await anyio.connect_tcp(self._target.host, self._target.port)
        async with client, server, anyio.create_task_group() as group:
            group.start_soon(self._pump, number, client, server)
            await self._pump(number, server, client)
            group.cancel_scope.cancel()

    async def _pump(
        self,
        number: int,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
    ) -> None:
        try:
            async for data in source:
                if number <= self._silenced:
                    await anyio.sleep_forever()
                await sink.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return


@attrs.define(eq=False)
class Client:
    """One process's connection to the store.

    :param address: address of the store.
    """

    address: Address
    health: StoreHealth = attrs.field(factory=StoreHealth)
    store: MonitoredStore = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        store = PlatformStore(HttpClient(str(self.address)))
        self.store = MonitoredStore(store, self.health, CLOCKS)

    def build_node(self) -> Node:
        """Build a node that only reads owner rows and is asked for counts."""
        unused: t.Any = types.SimpleNamespace()
        settings = NodeSettings("node-2", "z", Address(), Address(), "-")
        node = Node(
            settings,
            self.store,
            self.health,
            unused,
            None,
            DECODERS,
            CLOCKS,
            random.Random(1),
        )
        node.routes.adopt(Configuration(1, (ROUTE,), {SHARD: Service(SHARD)}))
        return node

    async def renew(self, fence_version: int) -> None:
        """Renew the row of an owner whose count grows, until cancelled."""
        owner = OwnerRow("node-1", "boot", epoch=1)
        rng = random.Random(1)
        grants = GrantPeriod(CLOCKS.read_boot, 0.0)
        writer = FencedWriter(SHARD, owner, fence_version, "", self.store, rng, grants)
        while True:
            with contextlib.suppress(PlatformUnavailableError):
                await self.store.read(tables.OWNER_TABLE, SHARD)
            counted_at_ms = self.health.store_clock.get_earliest_ms(CLOCKS.read_boot())
            puts: dict[RowId, bytes] = {}
            now = CLOCKS.read_monotonic()
            waiting = {ROUTE.policy.queue: count_jobs(now)}
            writer.add_renewal(puts, now, ShardLoad(waiting, {}, counted_at_ms))
            await writer.write(puts)
            await anyio.sleep(RENEWAL_INTERVAL_S)


def count_jobs(now: float) -> int:
    """Return how many jobs wait at a time."""
    return int(now * COUNTS_PER_S)


async def ask(node: Node, seconds: float) -> bool:
    """Ask for the count until some time has passed; return whether it was known last.

    No count may omit jobs that were there when the oldest valid report was made.
    """
    end = anyio.current_time() + seconds
    known = False
    while anyio.current_time() < end:
        asked_at = anyio.current_time()
        count = node.job_api.count_waiting(ROUTE)
        known = isinstance(count, int)
        if isinstance(count, int):
            assert count >= count_jobs(asked_at - LOAD_REPORT_VALID_S)
        await anyio.sleep(ASK_INTERVAL_S)
    return known


async def play() -> tuple[bool, bool]:
    """Return whether a count was known before and after connections went silent."""
    unused: t.Any = types.SimpleNamespace()
    async with anyio.create_task_group() as group:
        store = EmulatedStore(random.Random(1), group)
        fence = tables.get_fence_row(SHARD)
        store.put(fence, b"")
        app = PlatformApp(
            EmulatedStoreClient(store, NodeGate("n")),
            unused,
            unused,
            unused,
            "",
            PlatformConnections(random.Random(1)),
        )
        server = await group.start(HttpServer(app, Address("127.0.0.1", 0)).run)
        proxy = SilencingProxy(server)
        address = await group.start(proxy.run)
        reader = Client(address)
        node = reader.build_node()
        follower = Follower(
            reader.store,
            tables.OWNER_TABLE,
            lambda: [SHARD],
            node._apply_owner_rows,
            random.Random(1),
            wait_s=0.0,
            pause_s=OWNER_POLL_S,
        )
        group.start_soon(Client(address).renew, store.version)
        group.start_soon(follower.run)
        before = await ask(node, COUNTED_AGAIN_S)
        proxy.silence_all()
        after = await ask(node, COUNTED_AGAIN_S)
        group.cancel_scope.cancel()
    return before, after


def test_counts_go_on_after_connections_to_the_store_went_silent() -> None:
    assert anyio.run(play) == (True, True)
