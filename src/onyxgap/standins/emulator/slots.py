"""Places where the real node runs in the emulator, is killed and starts again."""

import random
import typing as t

import anyio
import anyio.abc
import attrs

from ...clocks import Clocks
from ...daemons.node import Node
from ...jobs.desk import JobApi
from ...jobs.desk import SubmitOutcome
from ...jobs.desk import Unavailable
from ...jobs.health import MonitoredStore
from ...jobs.health import StoreHealth
from ...jobs.messages import Submission
from ...jobs.routing import Route
from ...jobs.settings import NodeSettings
from ...jobs.settings import TimeLimits
from ...jobs.store import StoreLimits
from ...jobs.tenants import Caller
from ...jobs.tenants import KeyRejection
from ...jobs.workers import MS_PER_S
from ...pools.sizing import Sizer
from ...settings import Address
from .callers import WALL_START_S
from .cloud import EmulatedCloud
from .cloud import EmulatedCloudClient
from .gate import NodeGate
from .job_notes import NoQueue
from .job_notes import SubmitAnswer
from .peers import EmulatedCallLink
from .peers import EmulatedNetwork
from .peers import EmulatedPeers
from .policy import EmulatedPolicy
from .policy import EmulatedPolicyClient
from .processor import Processor
from .route_history import RouteHistory
from .rows import DECODERS
from .script import Script
from .starting import StartHost
from .store import EmulatedStore
from .store import EmulatedStoreClient
from .workers import MAX_LEASE_MS
from .workers import EmulatedWorkers
from .workers import EmulatedWorkersClient

SMALL_MB = 200
LARGE_MB = 552


class SlotDay(t.Protocol):
    """What a slot needs of its day."""

    script: Script
    rng: random.Random
    store: EmulatedStore
    workers: EmulatedWorkers
    cloud: EmulatedCloud
    network: EmulatedNetwork
    routes: RouteHistory
    policy: EmulatedPolicy | None
    host: StartHost
    build_sizer: t.Callable[[], Sizer]


class EmulatedClocks:
    """Clocks of the virtual time."""

    def read_monotonic(self) -> float:
        """Read the virtual clock."""
        return anyio.current_time()

    def read_wall(self) -> float:
        """Read the wall clock that goes with it."""
        return WALL_START_S + anyio.current_time()

    def read_boot(self) -> float:
        """Read the virtual clock."""
        return anyio.current_time()


@attrs.define(eq=False)
class NodeSlot:
    """A place where a node runs, and is killed and started again.

    :param name: name of the node.
    :param day: the day that it belongs to.
    """

    name: str
    day: SlotDay
    gate: NodeGate = attrs.field(init=False)
    node: Node | None = None
    scope: anyio.CancelScope | None = None

    def __attrs_post_init__(self) -> None:
        self.gate = self._build_gate()

    def _build_gate(self) -> NodeGate:
        script = self.day.script
        processor = None
        if script.has_costs():
            processor = Processor(script.cores, script.pass_cost_s)
        return NodeGate(self.name, call_cost_s=script.call_cost_s, processor=processor)

    async def run(self) -> None:
        """Run one process of the node until it is killed; none beside another."""
        if self.scope is not None:
            return
        with anyio.CancelScope() as scope:
            self.scope = scope
            await self.day.host.start()
            self.gate = self._build_gate()
            self.node = self._build_node()
            self.day.routes.record_start(self.name)
            await self._run_node(self.node)
        if self.scope is scope:
            self.scope = self.node = None

    def _build_node(self) -> Node:
        day = self.day
        clocks: Clocks = EmulatedClocks()
        health = StoreHealth()
        client = EmulatedStoreClient(day.store, self.gate)
        address = Address()
        settings = NodeSettings(
            self.name,
            "zone",
            address,
            address,
            "-",
            keyed=bool(day.script.tenants),
            contended=day.script.contended,
            limits=TimeLimits(
                max_lease_s=MAX_LEASE_MS / MS_PER_S, status_s=day.script.retention_s
            ),
            store_limits=StoreLimits(row_bytes=day.script.row_bytes),
        )
        return Node(
            settings,
            MonitoredStore(client, health, clocks),
            health,
            EmulatedWorkersClient(day.workers, self.gate),
            EmulatedCloudClient(day.cloud, self.gate),
            DECODERS,
            clocks,
            random.Random(day.rng.random()),
            peers=EmulatedPeers(self.name, day.network, self.gate),
            policy_client=self._build_policy_client(),
            calls=EmulatedCallLink(self.name, day.network, self.gate),
            build_sizer=day.build_sizer,
            memory_mb=self._get_memory_mb(),
            boot=f"{day.rng.getrandbits(48):012x}",
        )

    def _build_policy_client(self) -> EmulatedPolicyClient | None:
        if self.day.policy is None:
            return None
        return EmulatedPolicyClient(self.day.policy, self.gate)

    async def _run_node(self, node: Node) -> None:
        if self.gate.processor is None:
            await node.run()
            return
        node.work_meter = self.gate.processor
        await self.gate.processor.host(node.run)

    def _get_memory_mb(self) -> int:
        """Give the memory of the VM, 0 on days whose VMs are all alike."""
        script = self.day.script
        if not script.small:
            return 0
        number = int(self.name.rpartition("-")[2])
        return SMALL_MB if number < script.small else LARGE_MB

    def kill(self) -> None:
        """End the process at once."""
        self.gate.freeze()
        if self.gate.processor is not None:
            self.gate.processor.end()
        if self.scope is not None:
            self.scope.cancel()
        self.scope = self.node = None

    async def submit(
        self, route: Route, submission: Submission, key: str
    ) -> SubmitAnswer:
        """Hand a job in; ``None`` when the connection broke."""
        with self.gate.occupy():
            return await self._submit(route, submission, key)

    async def _submit(
        self, route: Route, submission: Submission, key: str
    ) -> SubmitAnswer:
        node = self.node
        if node is None:
            return None
        if node.routes.configuration is None:
            return SubmitOutcome.REFUSED
        await self.gate.pass_through()
        job_id = submission.job_id
        found = await _find_route(node.served_api, route, job_id)
        if isinstance(found, Unavailable):
            return SubmitOutcome.REFUSED
        if found is None:
            return NoQueue.NOT_FOUND
        caller = await self._identify(node, found, job_id, key)
        if isinstance(caller, Unavailable):
            return SubmitOutcome.REFUSED
        if isinstance(caller, KeyRejection):
            return caller
        owned = attrs.evolve(
            submission,
            policy=found.policy,
            tenant=caller.tenant,
            endpoint=found.endpoint,
        )
        result = await node.served_api.submit(owned)
        return result.outcome if self.node is node else None

    @staticmethod
    async def _identify(
        node: Node, route: Route, job_id: str, key: str
    ) -> Caller | KeyRejection | Unavailable:
        keys = [key.encode()] if key else []
        return await node.job_api.identify(route, keys, job_id)

    async def get_state(self, route: Route, job_id: str, key: str) -> t.Any:
        """Ask for a job's state."""
        return await self._call(
            lambda api, found, caller: api.get_state(found, job_id, caller),
            route,
            job_id,
            key,
        )

    async def cancel(self, route: Route, job_id: str, key: str) -> t.Any:
        """Cancel a job."""
        return await self._call(
            lambda api, found, caller: api.cancel(found, job_id, caller),
            route,
            job_id,
            key,
        )

    async def _call(
        self,
        call: t.Callable[[JobApi, Route, Caller], t.Awaitable[t.Any]],
        route: Route,
        job_id: str,
        key: str,
    ) -> t.Any:
        with self.gate.occupy():
            return await self._call_node(call, route, job_id, key)

    async def _call_node(
        self,
        call: t.Callable[[JobApi, Route, Caller], t.Awaitable[t.Any]],
        route: Route,
        job_id: str,
        key: str,
    ) -> t.Any:
        node = self.node
        if node is None or node.routes.configuration is None:
            return Unavailable.STORE
        await self.gate.pass_through()
        found = await _find_route(node.served_api, route, job_id)
        if found is None:
            return NoQueue.NOT_FOUND
        if isinstance(found, Unavailable):
            return found
        caller = await self._identify(node, found, job_id, key)
        if not isinstance(caller, Caller):
            return caller
        answer = await call(node.served_api, found, caller)
        return answer if self.node is node else Unavailable.STORE

    async def count_waiting(self, route: Route, key: str) -> int | NoQueue | None:
        """Request the number of waiting jobs of a queue."""
        with self.gate.occupy():
            return await self._count_waiting(route, key)

    async def _count_waiting(self, route: Route, key: str) -> int | NoQueue | None:
        node = self.node
        if node is None or node.routes.configuration is None:
            return None
        await self.gate.pass_through()
        found = await _find_route(node.served_api, route, "")
        if found is None:
            return NoQueue.NOT_FOUND
        if isinstance(found, Unavailable):
            return None
        count = node.served_api.count_waiting(found)
        return count if isinstance(count, int) and self.node is node else None


async def _find_route(
    api: JobApi, route: Route, job_id: str
) -> Route | None | Unavailable:
    """Find a request's route in the configuration of a node."""
    found = await api.find_route(route.host, route.prefix + job_id)
    if isinstance(found, Route) and found.prefix != route.prefix:
        return None
    return found
