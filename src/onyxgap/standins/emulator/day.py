"""Plays a day: nodes, workers, VMs, callers and faults in virtual time."""

import random
import typing as t

import anyio
import anyio.abc
import attrs
import orjson

from ...clocks import Clocks
from ...daemons.node import Decoders
from ...daemons.node import Node
from ...jobs import tables
from ...jobs.desk import SubmitOutcome
from ...jobs.desk import Unavailable
from ...jobs.health import StoreHealth
from ...jobs.health import WatchedStore
from ...jobs.messages import Submission
from ...jobs.messages import WorkerEntry
from ...jobs.messages import WorkerState
from ...jobs.routing import Configuration
from ...jobs.routing import Route
from ...jobs.routing import Service
from ...jobs.settings import NodeSettings
from ...jobs.store import RowId
from ...pools.messages import Vm
from ...pools.messages import VmState
from ...pools.messages import Wave
from ...pools.sizing import PoolSizer
from ...pools.sizing import Sizer
from ...settings import Address
from .callers import Callers
from .callers import build_policy
from .checks import Account
from .checks import Breach
from .checks import Evidence
from .checks import list_breaches
from .checks import settle_account
from .cloud import WORKER_TABLE
from .cloud import EmulatedCloud
from .cloud import EmulatedCloudClient
from .gate import NodeGate
from .script import FaultLine
from .script import Script
from .store import EmulatedStore
from .store import EmulatedStoreClient
from .workers import EmulatedWorkers
from .workers import EmulatedWorkersClient
from .workers import Mood

OPERATOR_TABLE = "operator"
STATUS_TABLE = "waves"
HOST = "emulator"
SPARE_POOL = "spare"
BUSY_FACTOR = 4.0
QUIET_FACTOR = 0.05
FINISH_S = 25.0
"""Time after the end in which accepted jobs must end."""


class EmulatedClocks:
    """Clocks of the virtual time."""

    def read_monotonic(self) -> float:
        """Read the virtual clock."""
        return anyio.current_time()

    def read_wall(self) -> float:
        """Read the wall clock that goes with it."""
        return 1_800_000_000.0 + anyio.current_time()

    def read_boot(self) -> float:
        """Read the virtual clock."""
        return anyio.current_time()


def _decode_worker(key: str, value: bytes) -> WorkerEntry:
    raw = orjson.loads(value)
    raw["state"] = WorkerState(raw["state"])
    raw["labels"] = tuple(raw["labels"])
    return WorkerEntry(**raw)


def _decode_configuration(value: bytes) -> Configuration:
    raw = orjson.loads(value)
    routes = tuple(
        Route(HOST, f"/{pool}/", build_policy(pool)) for pool in raw["pools"]
    )
    services = {pool: Service(pool) for pool in raw["pools"]}
    services[SPARE_POOL] = Service(SPARE_POOL, spare=True)
    return Configuration(raw["version"], routes, services)


def _decode_wave(key: str, value: bytes) -> Wave:
    raw = orjson.loads(value)
    return Wave(raw["number"], tuple(raw["vms"]), raw["duration_s"], raw["cap"])


def _encode_wave_status(number: int, complete: bool) -> tuple[RowId, bytes]:
    return RowId(STATUS_TABLE, "", str(number)), b"done" if complete else b"running"


DECODERS = Decoders(
    WORKER_TABLE,
    OPERATOR_TABLE,
    "configuration",
    "wave/",
    _decode_worker,
    _decode_configuration,
    _decode_wave,
    _encode_wave_status,
)


@attrs.define(eq=False)
class NodeSlot:
    """A place where a node runs, and is killed and started again.

    :param name: name of the node.
    :param day: the day that it belongs to.
    """

    name: str
    day: "Day"
    gate: NodeGate = attrs.field(init=False)
    node: Node | None = None
    scope: anyio.CancelScope | None = None

    def __attrs_post_init__(self) -> None:
        self.gate = NodeGate(self.name)

    async def run(self) -> None:
        """Run one process of the node until it is killed; none beside another."""
        if self.node is not None:
            return
        self.gate = NodeGate(self.name)
        day = self.day
        clocks: Clocks = EmulatedClocks()
        health = StoreHealth()
        client = EmulatedStoreClient(day.store, self.gate)
        address = Address()
        settings = NodeSettings(self.name, "zone", address, address, "-")
        self.node = Node(
            settings,
            WatchedStore(client, health, clocks),
            health,
            EmulatedWorkersClient(day.workers, self.gate),
            EmulatedCloudClient(day.cloud, self.gate),
            DECODERS,
            clocks,
            random.Random(day.rng.random()),
            build_sizer=day.build_sizer,
            boot=f"{day.rng.getrandbits(48):012x}",
        )
        with anyio.CancelScope() as scope:
            self.scope = scope
            await self.node.run()
        self.node = None

    def kill(self) -> None:
        """End the process at once."""
        self.gate.freeze()
        if self.scope is not None:
            self.scope.cancel()
        self.node = None

    async def submit(self, submission: Submission) -> SubmitOutcome | None:
        """Hand a job in; ``None`` when the connection broke."""
        node = self.node
        if node is None:
            return None
        if node.routes.configuration is None:
            return SubmitOutcome.REFUSED
        await self.gate.pass_through()
        result = await node.desk.submit(submission)
        return result.outcome if self.node is node else None

    async def get_state(self, route: Route, job_id: str) -> t.Any:
        """Ask for a job's state."""
        node = self.node
        if node is None or node.routes.configuration is None:
            return Unavailable.STORE
        await self.gate.pass_through()
        state = await node.desk.get_state(route, job_id)
        return state if self.node is node else Unavailable.STORE

    async def cancel(self, route: Route, job_id: str) -> t.Any:
        """Cancel a job."""
        node = self.node
        if node is None or node.routes.configuration is None:
            return Unavailable.STORE
        await self.gate.pass_through()
        known = await node.desk.cancel(route, job_id)
        return known if self.node is node else Unavailable.STORE


@attrs.frozen
class DayResult:
    """How a day ended.

    :param breaches: broken rules.
    :param account: what callers got.
    """

    breaches: list[Breach]
    account: Account


@attrs.define(eq=False)
class Day:
    """One day of a script with one seed.

    :param script: the day.
    :param seed: seed of everything that is drawn.
    :param build_sizer: builds what chooses the sizes of pools.
    """

    script: Script
    seed: int
    build_sizer: t.Callable[[], Sizer] = PoolSizer
    rng: random.Random = attrs.field(init=False)
    store: EmulatedStore = attrs.field(init=False)
    workers: EmulatedWorkers = attrs.field(init=False)
    cloud: EmulatedCloud = attrs.field(init=False)
    callers: Callers = attrs.field(init=False)
    slots: list[NodeSlot] = attrs.field(factory=list)
    waves: list[Wave] = attrs.field(factory=list)
    _version: int = 0
    _group: anyio.abc.TaskGroup | None = None

    def __attrs_post_init__(self) -> None:
        self.rng = random.Random(self.seed)

    async def play(self) -> DayResult:
        """Play the day."""
        async with anyio.create_task_group() as group:
            self._group = group
            self._build(group)
            for slot in self.slots:
                group.start_soon(slot.run)
            for line in self.script.serves:
                route = self._get_route(line.pool)
                group.start_soon(self.callers.run_service, line, route)
            for number, load in enumerate(self.script.loads):
                group.start_soon(self._run_load, number)
                assert load.stop <= self.script.end_s
            for wave in self.script.waves:
                group.start_soon(self._ask_for_wave, wave)
            for fault in self.script.faults:
                group.start_soon(self._run_fault, fault)
            await anyio.sleep(self.script.end_s + FINISH_S)
            await self._ask_for_all()
            self.cloud.settle_bill()
            result = self._judge()
            group.cancel_scope.cancel()
        return result

    def _build(self, group: anyio.abc.TaskGroup) -> None:
        self.store = EmulatedStore(self.rng, group)
        self.workers = EmulatedWorkers(self.rng, group)
        self.callers = Callers(self._list_nodes, self.rng, self.seed)
        self.cloud = EmulatedCloud(
            self.store,
            self.workers,
            group,
            self.callers.find_step,
            self.rng,
            SPARE_POOL,
        )
        for line in self.script.pools:
            for number in range(line.vms):
                self._add_vm(line.name, number, line.cores, line.memory)
        for number in range(self.script.spare):
            first = self.script.pools[0]
            self._add_vm(SPARE_POOL, number, first.cores, first.memory)
        self._configure()
        self.slots = [NodeSlot(f"node-{n}", self) for n in range(self.script.nodes)]

    def _add_vm(self, pool: str, number: int, cores: float, memory: float) -> None:
        self.cloud.add(
            Vm(
                f"{pool}-{number}",
                pool,
                VmState.UP,
                zone="zone",
                rack=f"{pool}-r{number // 4}",
                cpu=int(cores * 1000),
                memory_mb=int(memory * 1000),
            )
        )

    def _configure(self) -> None:
        self._version += 1
        pools = [line.name for line in self.script.pools]
        value = orjson.dumps({"version": self._version, "pools": pools})
        self.store.put(RowId(OPERATOR_TABLE, "", "configuration"), value)

    def _get_route(self, pool: str) -> Route:
        return Route(HOST, f"/{pool}/", build_policy(pool))

    def _list_nodes(self) -> list[t.Any]:
        return [slot for slot in self.slots if slot.node is not None]

    async def _run_load(self, number: int) -> None:
        load = self.script.loads[number]
        turn_s = self.script.turn_s

        def get_factor() -> float:
            if not turn_s:
                return 1.0
            turn = int(anyio.current_time() / turn_s) % len(self.script.loads)
            return BUSY_FACTOR if turn == number else QUIET_FACTOR

        await self.callers.run_load(load, self._get_route(load.pool), get_factor)

    async def _ask_for_wave(self, line: t.Any) -> None:
        await anyio.sleep(line.at)
        names = sorted(self.cloud.vms)
        vms = tuple(self.rng.sample(names, min(line.of, len(names))))
        wave = Wave(len(self.waves) + 1, vms, line.within, line.cap)
        self.waves.append(wave)
        value = orjson.dumps(attrs.asdict(wave))
        self.store.put(RowId(OPERATOR_TABLE, "", f"wave/{wave.number}"), value)

    async def _ask_for_all(self) -> None:
        for notes in self.callers.jobs.values():
            if notes.accepted_at is not None and notes.find_final_at() is None:
                await self.callers.ask(notes)

    def _judge(self) -> DayResult:
        evidence = Evidence(
            self.callers,
            self.workers.records,
            self.cloud.orders,
            tuple(self.waves),
            self.cloud.maintained,
        )
        breaches = list_breaches(evidence, anyio.current_time())
        account = settle_account(evidence, self.cloud.paid_s, self.store.calls)
        return DayResult(breaches, account)

    # faults

    def _find_slot(self, target: str, name: str) -> NodeSlot:
        shard = tables.FLEET_SHARD if target == "holder" else name
        for slot in self.slots:
            node = slot.node
            if node is None:
                continue
            if shard in node.owners or (target == "holder" and node.holder):
                return slot
        return self.rng.choice(self.slots)

    def _find_vm(self, pool: str) -> str:
        names = [
            name
            for name, vm in sorted(self.cloud.vms.items())
            if vm.state is VmState.UP and vm.worker_id and pool in ("", vm.pool)
        ]
        return self.rng.choice(names)

    async def _run_fault(self, fault: FaultLine) -> None:
        await anyio.sleep(fault.at)
        await _FAULTS[fault.verb, fault.target](self, fault)

    async def _restart(self, slots: t.Iterable[NodeSlot], after_s: float) -> None:
        slots = list(slots)
        for slot in slots:
            slot.kill()
        await anyio.sleep(after_s)
        assert self._group is not None
        for slot in slots:
            self._group.start_soon(slot.run)

    async def kill_one(self, fault: FaultLine) -> None:
        """Kill the node that owns a shard; it starts again later."""
        await self._restart([self._find_slot(fault.target, fault.name)], fault.seconds)

    async def kill_all(self, fault: FaultLine) -> None:
        """Kill every node at once; all start again later."""
        await self._restart(self.slots, fault.seconds)

    async def freeze_one(self, fault: FaultLine) -> None:
        """Have a node stand still at its calls."""
        slot = self._find_slot(fault.target, fault.name)
        gate = slot.gate
        gate.freeze()
        await anyio.sleep(fault.seconds)
        gate.thaw()

    async def stop_one(self, fault: FaultLine) -> None:
        """Stop a node as planned; it starts again later."""
        slot = self._find_slot(fault.target, fault.name)
        if slot.node is not None:
            with anyio.move_on_after(2.0):
                await slot.node.release()
        await self._restart([slot], fault.seconds)

    async def cut_one(self, fault: FaultLine) -> None:
        """Cut a node off from the store."""
        gate = self._find_slot(fault.target, fault.name).gate
        gate.cut_from.add("store")
        await anyio.sleep(fault.seconds)
        gate.cut_from.discard("store")

    async def crash_vm(self, fault: FaultLine) -> None:
        """Crash a VM of a pool."""
        self.cloud.crash(self._find_vm(fault.name), fault.seconds)

    async def cut_vm(self, fault: FaultLine) -> None:
        """Cut a VM off from everything; it runs on."""
        self.cloud.cut(self._find_vm(fault.name), fault.seconds)

    async def _set_mood(self, fault: FaultLine, mood: Mood) -> None:
        worker = self.cloud.get_worker(self._find_vm(fault.name))
        if worker is not None:
            worker.mood = mood
            await anyio.sleep(fault.seconds)
            worker.mood = Mood.SOUND

    async def fail_vm(self, fault: FaultLine) -> None:
        """Have a worker fail everything that it starts."""
        await self._set_mood(fault, Mood.FAILING)

    async def hang_vm(self, fault: FaultLine) -> None:
        """Have the tasks of a worker stand still."""
        await self._set_mood(fault, Mood.HANGING)

    async def slow_store(self, fault: FaultLine) -> None:
        """Make each call to the store slower."""
        self.store.slowness = fault.strength
        await anyio.sleep(fault.seconds)
        self.store.slowness = 1.0

    async def stop_store(self, fault: FaultLine) -> None:
        """Have the store give no answer."""
        self.store.down = True
        await anyio.sleep(fault.seconds)
        self.store.down = False

    async def lose_answers(self, fault: FaultLine) -> None:
        """Lose answers of the store or of workers."""
        link = self.store.link if fault.target == "store" else self.workers.link
        link.lose_share = fault.strength
        await anyio.sleep(fault.seconds)
        link.lose_share = 0.0

    async def delay_calls(self, fault: FaultLine) -> None:
        """Have writes or orders be carried out seconds late."""
        link = self.store.link if fault.target == "store" else self.workers.link
        link.late_share = fault.strength
        await anyio.sleep(fault.seconds)
        link.late_share = 0.0

    async def forget_history(self, fault: FaultLine) -> None:
        """Drop the store's history."""
        self.store.forget_history()

    async def refuse_node(self, fault: FaultLine) -> None:
        """Have the store turn a share of the nodes away."""
        count = max(1, int(fault.strength * len(self.slots)))
        names = {slot.name for slot in self.rng.sample(self.slots, count)}
        self.store.refusing |= names
        await anyio.sleep(fault.seconds)
        self.store.refusing -= names

    async def configure(self, fault: FaultLine) -> None:
        """Write new versions of the configuration in quick succession."""
        for _ in range(int(fault.seconds)):
            self._configure()
            await anyio.sleep(fault.strength)


_FAULTS: t.Mapping[
    tuple[str, str], t.Callable[[Day, FaultLine], t.Coroutine[t.Any, t.Any, None]]
] = {
    ("kill", "owner"): Day.kill_one,
    ("kill", "holder"): Day.kill_one,
    ("kill", "node"): Day.kill_one,
    ("kill", "all"): Day.kill_all,
    ("freeze", "owner"): Day.freeze_one,
    ("freeze", "holder"): Day.freeze_one,
    ("stop", "owner"): Day.stop_one,
    ("stop", "holder"): Day.stop_one,
    ("cut", "owner"): Day.cut_one,
    ("cut", "vm"): Day.cut_vm,
    ("crash", "vm"): Day.crash_vm,
    ("fail", "vm"): Day.fail_vm,
    ("hang", "vm"): Day.hang_vm,
    ("slow", "store"): Day.slow_store,
    ("down", "store"): Day.stop_store,
    ("lose", "store"): Day.lose_answers,
    ("late", "store"): Day.delay_calls,
    ("forget", "store"): Day.forget_history,
    ("refuse", "node"): Day.refuse_node,
    ("late", "orders"): Day.delay_calls,
    ("lose", "orders"): Day.lose_answers,
    ("configure", "routes"): Day.configure,
}


async def play_day(
    script: Script, seed: int, build_sizer: t.Callable[[], Sizer] = PoolSizer
) -> DayResult:
    """Play a day of a script.

    :param script: the day.
    :param seed: seed of everything that is drawn.
    :param build_sizer: builds what chooses the sizes of pools.
    """
    return await Day(script, seed, build_sizer).play()


def draw_faults(script: Script, seed: int, count: int) -> Script:
    """Add random faults to a script, alone, in pairs and in a row.

    :param script: the day.
    :param seed: seed of the draw.
    :param count: number of faults.
    """
    rng = random.Random(f"faults/{seed}")
    verbs = sorted(_FAULTS)
    pools = [line.name for line in script.pools]
    faults = []
    for _ in range(count):
        verb, target = rng.choice(verbs)
        at = rng.uniform(4.0, script.end_s - 8.0)
        strength = {"store": 20.0}.get(target if verb == "slow" else "", 0.3)
        faults.append(
            FaultLine(
                at, verb, target, rng.choice(pools), rng.uniform(1.0, 6.0), strength
            )
        )
    return attrs.evolve(script, faults=[*script.faults, *faults])
