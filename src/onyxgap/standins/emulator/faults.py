"""Faults of a day: scripted ones, and random ones in any mixture."""

import random
import typing as t

import anyio
import anyio.abc
import attrs

from ...jobs import tables
from ...jobs.store import RowId
from ...pools.messages import VmState
from ...pools.sizing import PoolSizer
from ...pools.sizing import Sizer
from .cloud import LIST_ONLY
from .cloud import ORDERS_ONLY
from .cloud import WHOLE_CLOUD
from .cloud import WORKER_TABLE
from .day import Day
from .day import DayResult
from .disturbances import ALL_NODES
from .malformed import list_malformed_registrations
from .route_history import build_prefix
from .route_history import build_route
from .script import INTERFACE_FAULTS
from .script import RACK_FAULTS
from .script import ROUTE_FAULTS
from .script import FaultLine
from .script import LoadLine
from .script import Script
from .slots import NodeSlot
from .vm_list import ListState
from .vm_orders import OrderHandling
from .vm_orders import VmOrderFault
from .workers import Mood

WHOLE = 1.0
"""Strength from which all keys of a tenant are taken back at once."""
KEY_GAP_S = 0.1
ADDED_ROUTE_LOAD_S = 8.0
"""Time for which callers hand jobs in on an added route."""
NODE_START_S = 1.0
"""Time within which a node that runs as a process has started."""


class FaultedNode(t.Protocol):
    """What the faults of a day use of a running node."""

    @property
    def owners(self) -> t.Container[str]:
        """Shards that the node owns."""

    @property
    def fleet_controller(self) -> object:
        """True in a condition while the node has the fleet controller role."""

    async def release(self) -> None:
        """Stop the node as planned."""


@attrs.define(eq=False)
class FaultyDay(Day):
    """A day with the faults of its script.

    :param routes_rng: draws the routes to change; not shared, so that other draws stay
        the same.
    """

    routes_rng: random.Random = attrs.field(init=False)
    _added_routes: int = 0

    def __attrs_post_init__(self) -> None:
        super().__attrs_post_init__()
        self.routes_rng = random.Random(f"routes/{self.seed}")

    def _find_slot(self, target: str, name: str) -> NodeSlot:
        shard = tables.FLEET_SHARD if target == "holder" else name
        for slot in self.slots:
            node: FaultedNode | None = slot.node
            if node is None:
                continue
            if shard in node.owners or (target == "holder" and node.fleet_controller):
                return slot
        return self.rng.choice(self.slots)

    def _find_vm(self, pool: str) -> str | None:
        names = [
            name
            for name, vm in sorted(self.cloud.vms.items())
            if vm.state is VmState.UP and vm.worker_id and pool in ("", vm.pool)
        ]
        return self.rng.choice(names) if names else None

    def _start_faults(self, group: anyio.abc.TaskGroup) -> None:
        """Start the faults of the script."""
        for fault in self.script.faults:
            group.start_soon(self._run_fault, fault)

    async def _run_fault(self, fault: FaultLine) -> None:
        await anyio.sleep(fault.at)
        if fault.target == "store" or (fault.verb, fault.target) == ("refuse", "node"):
            self._record_disturbance(ALL_NODES, fault.seconds)
        now = anyio.current_time()
        if fault.target == "orders":
            self.disturbances.order_spans.append((now, now + fault.seconds))
        if fault.verb == "cut" and fault.target in ("vm", "rack"):
            # a run on a worker out of reach is given up once its lease has ended
            self.disturbances.cut_spans.append((now, now + fault.seconds))
        await self._play_fault(fault)

    async def _play_fault(self, fault: FaultLine) -> None:
        await _FAULTS[fault.verb, fault.target](self, fault)

    def _record_disturbance(self, node: str, for_s: float) -> None:
        now = anyio.current_time()
        self.disturbances.record(node, now, now + for_s)

    async def _restart(self, slots: t.Iterable[NodeSlot], after_s: float) -> None:
        slots = list(slots)
        for slot in slots:
            self._record_disturbance(slot.name, after_s + NODE_START_S)
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
        self._record_disturbance(slot.name, fault.seconds)
        gate.freeze()
        await anyio.sleep(fault.seconds)
        gate.thaw()

    async def stop_one(self, fault: FaultLine) -> None:
        """Stop a node as planned; it starts again later."""
        slot = self._find_slot(fault.target, fault.name)
        self._record_disturbance(slot.name, fault.seconds)
        if slot.node is not None:
            with anyio.move_on_after(2.0):
                await slot.node.release()
        await self._restart([slot], fault.seconds)

    async def cut_one(self, fault: FaultLine) -> None:
        """Cut a node off from the store."""
        slot = self._find_slot(fault.target, fault.name)
        gate = slot.gate
        self._record_disturbance(slot.name, fault.seconds)
        gate.cut_from.add("store")
        await anyio.sleep(fault.seconds)
        gate.cut_from.discard("store")

    async def crash_vm(self, fault: FaultLine) -> None:
        """Crash a VM of a pool."""
        name = self._find_vm(fault.name)
        if name is not None:
            self.cloud.crash(name, fault.seconds)

    async def halt_vm(self, fault: FaultLine) -> None:
        """Take the power from a VM of a pool."""
        name = self._find_vm(fault.name)
        if name is not None:
            self.cloud.halt(name, fault.seconds)

    def _find_rack(self, pool: str) -> list[str]:
        """Draw a rack with VMs of a pool, and list all of its VMs that are up."""
        up = {
            name: vm
            for name, vm in sorted(self.cloud.vms.items())
            if vm.state is VmState.UP
        }
        racks = sorted({vm.rack for vm in up.values() if pool in ("", vm.pool)})
        rack = self.rng.choice(racks) if racks else None
        return [name for name, vm in up.items() if vm.rack == rack]

    async def crash_rack(self, fault: FaultLine) -> None:
        """Crash all VMs of a rack."""
        for name in self._find_rack(fault.name):
            self.cloud.crash(name, fault.seconds)

    async def halt_rack(self, fault: FaultLine) -> None:
        """Take the power from all VMs of a rack."""
        for name in self._find_rack(fault.name):
            self.cloud.halt(name, fault.seconds)

    async def cut_rack(self, fault: FaultLine) -> None:
        """Cut all VMs of a rack off from everything; they run on."""
        for name in self._find_rack(fault.name):
            self.cloud.cut(name, fault.seconds)

    async def end_worker(self, fault: FaultLine) -> None:
        """End the process of a worker whose VM stays up."""
        name = self._find_vm(fault.name)
        if name is not None:
            self.cloud.end_worker(name, fault.seconds)

    async def refuse_orders(self, fault: FaultLine) -> None:
        """Have a worker refuse new connections; hold requests go over open ones."""
        name = self._find_vm(fault.name)
        worker = None if name is None else self.cloud.get_worker(name)
        if worker is not None:
            worker.note_fault()
            worker.refusing = True
            await anyio.sleep(fault.seconds)
            worker.refusing = False

    async def disturb_list(self, fault: FaultLine) -> None:
        """Have the platform answer requests for the list of VMs wrongly or not."""
        self.cloud.vm_list.set_state(_LIST_STATES[fault.verb])
        await anyio.sleep(fault.seconds)
        self.cloud.vm_list.set_state(ListState.TRUE)

    async def disturb_vm_orders(self, fault: FaultLine) -> None:
        """Have the platform not carry out orders about VMs, or late and unanswered."""
        item = VmOrderFault(_ORDER_HANDLINGS[fault.verb], fault.strength)
        self.cloud.vm_orders.present.append(item)
        await anyio.sleep(fault.seconds)
        self.cloud.vm_orders.present.remove(item)

    async def disturb_cloud(self, fault: FaultLine) -> None:
        """Have the platform answer neither requests for lists of VMs nor orders."""
        state = _LIST_STATES[fault.verb]
        self.cloud.vm_list.outages.append(state)
        await self.disturb_vm_orders(fault)
        self.cloud.vm_list.outages.remove(state)

    async def hang_upkeep(self, fault: FaultLine) -> None:
        """Have VMs that are maintained not return before the fault ends."""
        until = anyio.current_time() + fault.seconds
        self.cloud.upkeep_hangs_until = max(self.cloud.upkeep_hangs_until, until)

    async def cut_holder(self, fault: FaultLine) -> None:
        """Cut the fleet controller's node off from the interface for VMs only."""
        gate = self._find_slot(fault.target, fault.name).gate
        part = _CLOUD_PARTS[fault.name]
        gate.cut_from.add(part)
        await anyio.sleep(fault.seconds)
        gate.cut_from.discard(part)

    async def rebear_vm(self, fault: FaultLine) -> None:
        """Have a worker crash and start again under its id."""
        name = self._find_vm(fault.name)
        if name is not None:
            self.cloud.rebear(name, fault.seconds)

    async def cut_vm(self, fault: FaultLine) -> None:
        """Cut a VM off from everything; it runs on."""
        name = self._find_vm(fault.name)
        if name is not None:
            self.cloud.cut(name, fault.seconds)

    async def split_workers(self, fault: FaultLine) -> None:
        """Let the owner of a shard reach one worker, and the other nodes the others."""
        name = self._find_vm(fault.name)
        if name is None:
            return
        owner = self._find_slot("owner", fault.name)
        addresses = {f"{vm.name}:1" for vm in self.cloud.vms.values()}
        near = f"{name}:1"
        cuts = [
            (slot.gate, addresses - {near} if slot is owner else {near})
            for slot in self.slots
        ]
        for gate, cut in cuts:
            gate.cut_from |= cut
        await anyio.sleep(fault.seconds)
        for gate, cut in cuts:
            gate.cut_from -= cut

    async def refuse_writes(self, fault: FaultLine) -> None:
        """Have the store refuse the writes of the owner of a shard."""
        slot = self._find_slot("owner", fault.name)
        self._record_disturbance(slot.name, fault.seconds)
        self.store.refusing_writes.add(slot.name)
        await anyio.sleep(fault.seconds)
        self.store.refusing_writes.discard(slot.name)

    async def _set_mood(self, fault: FaultLine, mood: Mood) -> None:
        name = self._find_vm(fault.name)
        worker = None if name is None else self.cloud.get_worker(name)
        if worker is not None:
            worker.set_mood(mood)
            await anyio.sleep(fault.seconds)
            worker.set_mood(Mood.SOUND)

    async def fail_vm(self, fault: FaultLine) -> None:
        """Have a worker fail everything that it starts."""
        await self._set_mood(fault, Mood.FAILING)

    async def hang_vm(self, fault: FaultLine) -> None:
        """Have the tasks of a worker stand still."""
        await self._set_mood(fault, Mood.HANGING)

    async def shrink_vm(self, fault: FaultLine) -> None:
        """Have a worker offer a share of its capacity."""
        name = self._find_vm(fault.name)
        if name is not None:
            await self.cloud.shrink(name, fault.strength, fault.seconds)

    def _list_malformed_registrations(self, service: str) -> tuple[bytes, ...]:
        return list_malformed_registrations(service)

    async def malform_rows(self, fault: FaultLine) -> None:
        """Write malformed registrations, one of them over that of a running worker."""
        values = self._list_malformed_registrations(fault.name)
        rows = [RowId(WORKER_TABLE, "", f"other-{n}") for n in range(len(values))]
        for row, value in zip(rows, values, strict=True):
            self.store.put(row, value)
        name = self._find_vm(fault.name)
        worker = None if name is None else self.cloud.get_worker(name)
        if worker is not None:
            worker.note_fault()
            row = RowId(WORKER_TABLE, "", worker.entry.worker_id)
            self.store.put(row, values[-1])
        await anyio.sleep(fault.seconds)
        for row in rows:
            self.store.remove(row)
        if worker is not None and worker.alive:
            self.cloud.register(worker.entry)

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

    async def deafen_feeds(self, fault: FaultLine) -> None:
        """Have the store's feeds hear nothing, then drop its history."""
        now = anyio.current_time()
        self.tenancy.deaf.append((now, now + fault.seconds))
        await self.store.deafen(fault.seconds)

    async def deafen_nodes(self, fault: FaultLine) -> None:
        """Have the feeds of a share of the nodes hear nothing for a while."""
        await self._deafen(self._draw_nodes(fault.strength), fault)

    async def deafen_one(self, fault: FaultLine) -> None:
        """Have the feeds of the node with a role hear nothing for a while."""
        await self._deafen({self._find_slot(fault.target, fault.name).name}, fault)

    async def _deafen(self, names: set[str], fault: FaultLine) -> None:
        now = anyio.current_time()
        self.tenancy.deaf.append((now, now + fault.seconds))
        for name in names:
            self._record_disturbance(name, fault.seconds)
        self.store.deaf_nodes |= names
        await anyio.sleep(fault.seconds)
        self.store.deaf_nodes -= names

    def _draw_nodes(self, share: float) -> set[str]:
        count = max(1, int(share * len(self.slots)))
        return {slot.name for slot in self.rng.sample(self.slots, count)}

    async def refuse_node(self, fault: FaultLine) -> None:
        """Have the store turn a share of the nodes away."""
        names = self._draw_nodes(fault.strength)
        self.store.refusing |= names
        await anyio.sleep(fault.seconds)
        self.store.refusing -= names

    async def configure(self, fault: FaultLine) -> None:
        """Write new versions of the configuration in quick succession."""
        for _ in range(int(fault.seconds)):
            self._configure()
            await anyio.sleep(fault.strength)

    async def move_routes(self, fault: FaultLine) -> None:
        """Move a queue to other pools, one after the other."""
        for _ in range(int(fault.seconds)):
            pools = [line.name for line in self.script.pools]
            prefix = build_prefix(fault.name or self.routes_rng.choice(pools))
            present = self.routes.services[prefix]
            others = [pool for pool in pools if pool != present]
            self.routes.services[prefix] = self.routes_rng.choice(others)
            self._configure()
            await anyio.sleep(fault.strength)

    async def add_routes(self, fault: FaultLine) -> None:
        """Add queues, one after the other, with callers that hand jobs in."""
        for _ in range(int(fault.seconds)):
            pool = fault.name or self.routes_rng.choice(self.script.pools).name
            self._added_routes += 1
            # every other one is below the prefix of another queue
            parent = f"{pool}/" if self._added_routes % 2 else ""
            prefix = build_prefix(f"{parent}added-{self._added_routes}")
            self.routes.services[prefix] = pool
            self._configure()
            self._start_load(prefix, pool)
            await anyio.sleep(fault.strength)

    def _start_load(self, prefix: str, pool: str) -> None:
        stop_s = min(anyio.current_time() + ADDED_ROUTE_LOAD_S, self.script.end_s)
        load = LoadLine(prefix, 0.5, 0.0, stop_s, width=2.0, work=0.4)
        assert self._group is not None
        self._group.start_soon(
            self.callers.run_load, load, build_route(prefix, pool), lambda: 1.0
        )

    async def drop_routes(self, fault: FaultLine) -> None:
        """Drop added queues, one after the other."""
        for _ in range(int(fault.seconds)):
            pools = {build_prefix(line.name) for line in self.script.pools}
            added = sorted(self.routes.services.keys() - pools)
            if added:
                del self.routes.services[self.routes_rng.choice(added)]
                self._configure()
            await anyio.sleep(fault.strength)

    async def revoke_keys(self, fault: FaultLine) -> None:
        """Take keys back in quick succession; all of a tenant's where it is strong."""
        for _ in range(int(fault.seconds)):
            name = fault.name or self.rng.choice(self.script.tenants).name
            self.tenancy.replace_keys(name, fault.strength >= WHOLE)
            self._configure()
            await anyio.sleep(KEY_GAP_S)

    async def change_cap(self, fault: FaultLine) -> None:
        """Change a tenant's cap to a share of what it is, and later back."""
        name = fault.name or self.rng.choice(self.script.tenants).name
        former = self.tenancy.get_cap(name)
        lower = attrs.evolve(
            former,
            cpu=int(former.cpu * fault.strength),
            memory_mb=int(former.memory_mb * fault.strength),
        )
        self.tenancy.set_cap(name, lower)
        self._configure()
        await anyio.sleep(fault.seconds)
        self.tenancy.set_cap(name, former)
        self._configure()


_LIST_STATES = {
    "down": ListState.SILENT,
    "refuse": ListState.REFUSED,
    "old": ListState.OLD,
}

_ORDER_HANDLINGS = {
    "down": OrderHandling.SILENT,
    "refuse": OrderHandling.REFUSED,
    "late": OrderHandling.LATE,
    "disown": OrderHandling.DISOWNED,
}
_CLOUD_PARTS = {"": WHOLE_CLOUD, "list": LIST_ONLY, "vm-orders": ORDERS_ONLY}

_FAULTS: t.Mapping[
    tuple[str, str], t.Callable[[FaultyDay, FaultLine], t.Coroutine[t.Any, t.Any, None]]
] = {
    ("kill", "owner"): FaultyDay.kill_one,
    ("kill", "holder"): FaultyDay.kill_one,
    ("kill", "node"): FaultyDay.kill_one,
    ("kill", "all"): FaultyDay.kill_all,
    ("freeze", "owner"): FaultyDay.freeze_one,
    ("freeze", "holder"): FaultyDay.freeze_one,
    ("stop", "owner"): FaultyDay.stop_one,
    ("stop", "holder"): FaultyDay.stop_one,
    ("cut", "owner"): FaultyDay.cut_one,
    ("cut", "vm"): FaultyDay.cut_vm,
    ("crash", "vm"): FaultyDay.crash_vm,
    ("fail", "vm"): FaultyDay.fail_vm,
    ("hang", "vm"): FaultyDay.hang_vm,
    ("shrink", "vm"): FaultyDay.shrink_vm,
    ("slow", "store"): FaultyDay.slow_store,
    ("down", "store"): FaultyDay.stop_store,
    ("lose", "store"): FaultyDay.lose_answers,
    ("late", "store"): FaultyDay.delay_calls,
    ("forget", "store"): FaultyDay.forget_history,
    ("deaf", "store"): FaultyDay.deafen_feeds,
    ("deaf", "node"): FaultyDay.deafen_nodes,
    ("refuse", "node"): FaultyDay.refuse_node,
    ("late", "orders"): FaultyDay.delay_calls,
    ("lose", "orders"): FaultyDay.lose_answers,
    ("configure", "routes"): FaultyDay.configure,
    ("rebear", "vm"): FaultyDay.rebear_vm,
    ("halt", "vm"): FaultyDay.halt_vm,
    ("crash", "rack"): FaultyDay.crash_rack,
    ("halt", "rack"): FaultyDay.halt_rack,
    ("cut", "rack"): FaultyDay.cut_rack,
    ("end", "worker"): FaultyDay.end_worker,
    ("refuse", "vm"): FaultyDay.refuse_orders,
    ("down", "list"): FaultyDay.disturb_list,
    ("refuse", "list"): FaultyDay.disturb_list,
    ("old", "list"): FaultyDay.disturb_list,
    ("down", "cloud"): FaultyDay.disturb_cloud,
    ("refuse", "cloud"): FaultyDay.disturb_cloud,
    ("down", "vm-orders"): FaultyDay.disturb_vm_orders,
    ("refuse", "vm-orders"): FaultyDay.disturb_vm_orders,
    ("late", "vm-orders"): FaultyDay.disturb_vm_orders,
    ("disown", "upkeep"): FaultyDay.disturb_vm_orders,
    ("hang", "upkeep"): FaultyDay.hang_upkeep,
    ("cut", "holder"): FaultyDay.cut_holder,
    ("deaf", "holder"): FaultyDay.deafen_one,
    ("deaf", "owner"): FaultyDay.deafen_one,
    ("split", "workers"): FaultyDay.split_workers,
    ("refuse", "writes"): FaultyDay.refuse_writes,
    ("malform", "rows"): FaultyDay.malform_rows,
    ("revoke", "keys"): FaultyDay.revoke_keys,
    ("cap", "tenant"): FaultyDay.change_cap,
    ("add", "route"): FaultyDay.add_routes,
    ("drop", "route"): FaultyDay.drop_routes,
    ("move", "route"): FaultyDay.move_routes,
}

_DEATHS = (("crash", "vm"), ("end", "worker"), ("halt", "vm"))
_LIST_FAULTS = (("down", "list"), ("old", "list"), ("refuse", "list"))
_NOT_DRAWN = frozenset(
    {
        ("halt", "vm"),
        ("end", "worker"),
        ("refuse", "vm"),
        ("split", "workers"),
        ("refuse", "writes"),
        *_LIST_FAULTS,
        *INTERFACE_FAULTS,
        *RACK_FAULTS,
    }
)
"""Not drawn with the other faults, so that the draws of a seed stay the same."""
_TENANT_FAULTS = frozenset({("revoke", "keys"), ("cap", "tenant")})
"""Faults that require a day with tenants."""
_ONLY_SCRIPTED = (
    _TENANT_FAULTS
    | ROUTE_FAULTS
    | {
        ("deaf", "node"),
        ("shrink", "vm"),
        ("rebear", "vm"),
        ("malform", "rows"),
    }
)
"""Excluded from random draws by default, so that a seed keeps its faults."""


async def play_day(
    script: Script, seed: int, build_sizer: t.Callable[[], Sizer] = PoolSizer
) -> DayResult:
    """Play a day of a script.

    :param script: the day.
    :param seed: seed of everything that is drawn.
    :param build_sizer: builds what chooses the sizes of pools.
    """
    return await FaultyDay(script, seed, build_sizer).play()


def draw_faults(
    script: Script, seed: int, count: int, include_scripted: bool = False
) -> Script:
    """Add random faults to a script, alone, in pairs and in a row.

    :param script: the day.
    :param seed: seed of the draw.
    :param count: number of faults.
    :param include_scripted: whether to also draw kinds otherwise only scripted.
    """
    rng = random.Random(f"faults/{seed}")
    excluded = _ONLY_SCRIPTED
    if include_scripted:
        excluded = ROUTE_FAULTS if script.tenants else ROUTE_FAULTS | _TENANT_FAULTS
    verbs = sorted(_FAULTS.keys() - excluded - _NOT_DRAWN)
    pools = [line.name for line in script.pools]
    faults = []
    for _ in range(count):
        verb, target = rng.choice(verbs)
        at = rng.uniform(4.0, script.end_s - 8.0)
        strength = {"store": 20.0}.get(target if verb == "slow" else "", 0.3)
        pool, seconds = rng.choice(pools), rng.uniform(1.0, 6.0)
        name = "" if (verb, target) in _TENANT_FAULTS else pool
        faults.append(FaultLine(at, verb, target, name, seconds, strength))
    return attrs.evolve(script, faults=[*script.faults, *faults])


def draw_worker_deaths(script: Script, seed: int, count: int) -> Script:
    """Add deaths of workers that the list of VMs does not tell of.

    They are drawn apart from the other faults, which stay the same. Each comes a short
    time after a list fault has begun, which lasts longer than a lease.

    :param script: the day.
    :param seed: seed of the draw.
    :param count: number of deaths.
    """
    rng = random.Random(f"deaths/{seed}")
    faults = []
    for _ in range(count):
        at = rng.uniform(4.0, script.end_s - 8.0)
        list_verb, list_target = rng.choice(_LIST_FAULTS)
        faults.append(FaultLine(at, list_verb, list_target, seconds=16.0))
        verb, target = rng.choice(_DEATHS)
        pool = rng.choice(script.pools).name
        at += rng.uniform(0.0, 1.0)
        faults.append(FaultLine(at, verb, target, pool, rng.uniform(4.0, 20.0)))
    return attrs.evolve(script, faults=[*script.faults, *faults])


def draw_interface_faults(script: Script, seed: int, count: int) -> Script:
    """Add faults of the platform's interface for VMs.

    They are drawn apart from the other faults, which stay the same. Every other one
    begins about when a wave or a turn does, if the day has any; all end with the day,
    so that what they held up can be made up for.

    :param script: the day.
    :param seed: seed of the draw.
    :param count: number of faults.
    """
    rng = random.Random(f"interface/{seed}")
    kinds = sorted(INTERFACE_FAULTS)
    starts = _list_starts(script)
    last_s = script.end_s - 8.0
    faults = []
    for number in range(count):
        verb, target = rng.choice(kinds)
        at = rng.uniform(4.0, last_s)
        if starts and number % 2 == 0:
            at = rng.choice(starts) + rng.uniform(-1.0, 2.0)
        at = min(max(4.0, at), last_s)
        seconds = min(rng.uniform(4.0, 32.0), script.end_s - at)
        name = rng.choice(_list_names(script, verb, target))
        share = rng.choice((1.0, 0.5))
        faults.append(FaultLine(at, verb, target, name, seconds, share))
    return attrs.evolve(script, faults=[*script.faults, *faults])


def draw_rack_faults(script: Script, seed: int, count: int) -> Script:
    """Add faults of whole racks.

    They are drawn apart from the other faults, which stay the same, and end with the
    day.

    :param script: the day.
    :param seed: seed of the draw.
    :param count: number of faults.
    """
    rng = random.Random(f"racks/{seed}")
    kinds = sorted(RACK_FAULTS)
    faults = []
    for _ in range(count):
        verb, target = rng.choice(kinds)
        at = rng.uniform(4.0, script.end_s - 8.0)
        seconds = min(rng.uniform(2.0, 16.0), script.end_s - at)
        pool = rng.choice(script.pools).name
        faults.append(FaultLine(at, verb, target, pool, seconds))
    return attrs.evolve(script, faults=[*script.faults, *faults])


def _list_starts(script: Script) -> list[float]:
    """List when waves and turns begin."""
    turns = int(script.end_s // script.turn_s) if script.turn_s else 0
    starts = [script.turn_s * (number + 1) for number in range(turns)]
    starts += [wave.at for wave in script.waves]
    return [at for at in starts if at < script.end_s - 8.0]


def _list_names(script: Script, verb: str, target: str) -> list[str]:
    """List what the name of a fault may be."""
    names = {
        ("cut", "holder"): sorted(_CLOUD_PARTS),
        ("deaf", "owner"): [line.name for line in script.pools],
    }
    return names.get((verb, target), [""])
