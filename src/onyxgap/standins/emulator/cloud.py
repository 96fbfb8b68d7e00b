"""VMs with pools, moves and maintenance; each life of a worker is registered."""

import enum
import functools
import random
import typing as t

import anyio
import anyio.abc
import attrs
import orjson

from ...exceptions import PlatformUnavailableError
from ...jobs.messages import WorkerEntry
from ...jobs.messages import WorkerState
from ...jobs.store import RowId
from ...pools.messages import Vm
from ...pools.messages import VmActionKind
from ...pools.messages import VmOrder
from ...pools.messages import VmReply
from ...pools.messages import VmState
from .callers import WALL_START_S
from .gate import NodeGate
from .gate import carry_out_elsewhere
from .gate import run_late
from .nature import FindNature
from .policy import EmulatedPolicy
from .store import EmulatedStore
from .vm_list import ANSWER_TIMEOUT_S
from .vm_list import VmList
from .vm_orders import OrderHandling
from .vm_orders import VmOrderFaults
from .workers import EmulatedWorker
from .workers import EmulatedWorkers

FOREIGN_SERVICE = "printers"
"""Service of entries of other writers; no configuration names it."""
MOVE_S = 1.5
UPKEEP_S = 2.0
BEAT_S = 1.5
"""Time between two writes of a worker's registration."""
LAPSE_S = 4.5
"""Time after which the registration of a silent worker is gone."""
CRASH_DELAY_S = 0.01
"""Time from the start of a task that crashes its worker to the crash, as recorded."""
CRASH_RETURN_S = 2.0
"""Time after which a worker that a task crashed is back, as recorded."""
WORKER_TABLE = "workers"
ORDER_DELAY_S = 0.005
WHOLE_CLOUD = "cloud"
LIST_ONLY = "list"
ORDERS_ONLY = "vm-orders"


class OrderEffect(enum.Enum):
    """Effect of an order about a VM at the time of its record."""

    AT_ONCE = "at once"
    NONE = "none"
    """It was refused, is carried out later, or had been carried out before."""
    DISOWNED = "disowned"
    """The platform answered that the VM is not due for maintenance."""
    LATE = "late"
    """An order that was recorded before is carried out now."""


@attrs.frozen(slots=True)
class OrderRecord:
    """An order about a VM, for the checks.

    :param at: monotonic seconds.
    :param order: the order.
    :param holder: who gave it.
    :param token: fencing token.
    :param node: node that sent it.
    :param effect: what it did.
    :param down_s: seconds for which the VM is down if it is maintained.
    """

    at: float
    order: VmOrder
    holder: str
    token: int
    node: str
    effect: OrderEffect = OrderEffect.AT_ONCE
    down_s: float = UPKEEP_S


@attrs.define(eq=False)
class EmulatedCloud:
    """All VMs.

    :param store: where workers register.
    :param workers: incarnations of workers.
    :param group: runs moves and maintenance.
    :param find_nature: tells what a task does.
    :param rng: draws clocks.
    :param spare_pool: pool whose VMs are off.
    :param unguarded: pools whose workers start whatever they are told to.
    :param wall_start_s: wall-clock time at the start of the day.
    :param policy: issues the tickets that workers ask for, ``None`` if there are none.
    :param down_since: monotonic seconds of the crash of each VM that is down.
    :param upkeep_hangs_until: monotonic seconds until which no VM returns from
        maintenance that begins before.
    """

    store: EmulatedStore
    workers: EmulatedWorkers
    group: anyio.abc.TaskGroup
    find_nature: FindNature
    rng: random.Random
    spare_pool: str
    unguarded: frozenset[str] = frozenset()
    wall_start_s: float = WALL_START_S
    policy: EmulatedPolicy | None = None
    vms: dict[str, Vm] = attrs.field(factory=dict)
    orders: list[OrderRecord] = attrs.field(factory=list)
    maintained: dict[str, set[int]] = attrs.field(factory=dict)
    paid_s: float = 0.0
    down_since: dict[str, float] = attrs.field(factory=dict)
    upkeep_hangs_until: float = 0.0
    vm_list: VmList = attrs.field(init=False)
    vm_orders: VmOrderFaults = attrs.field(init=False)
    _paid_at: float = 0.0
    _lives: int = 0

    def __attrs_post_init__(self) -> None:
        self.vm_list = VmList(self.vms)
        self.vm_orders = VmOrderFaults(self.rng)

    def add(self, vm: Vm) -> None:
        """Add a VM that is up."""
        self.vms[vm.name] = vm
        self._boot(vm.name)

    def settle_bill(self) -> None:
        """Count the seconds of VMs in pools that are paid for."""
        now = anyio.current_time()
        paid = sum(vm.pool != self.spare_pool for vm in self.vms.values())
        self.paid_s += paid * (now - self._paid_at)
        self._paid_at = now

    def get_worker(self, name: str) -> EmulatedWorker | None:
        """Give the present worker of a VM."""
        return self.workers.lives.get(self.vms[name].worker_id)

    def _boot(self, name: str, worker_id: str = "", first_beat_s: float = 0.0) -> None:
        vm = self.vms[name]
        self.down_since.pop(name, None)
        if vm.pool != self.spare_pool:
            self._lives += 1
            worker_id = worker_id or f"w{self._lives}-{name}"
            entry = WorkerEntry(
                worker_id,
                vm.pool,
                f"{name}:1",
                vm.zone,
                WorkerState.READY,
                vm.cpu,
                vm.memory_mb,
                0,
                ("a", vm.rack),
                5e4,
                born=round((self.wall_start_s + anyio.current_time()) * 1000),
            )
            worker = EmulatedWorker(
                entry,
                self.find_nature,
                self.rng,
                self.workers.records,
                drift=self.rng.uniform(0, 0.02),
                guarded=vm.pool not in self.unguarded,
                on_crashing_run=functools.partial(self._crash_after_start, name),
            )
            if self.policy is not None:
                worker.admits = self.policy.admits
            self.workers.add(worker)
            self.workers.halted.discard(entry.address)
            if first_beat_s:
                self.group.start_soon(self._register_after, worker, first_beat_s)
            else:
                self.register(entry)
            if vm.pool in self.unguarded:
                self.group.start_soon(self._beat, worker)
        self.vms[name] = attrs.evolve(vm, state=VmState.UP, worker_id=worker_id)

    def register(self, entry: WorkerEntry) -> None:
        """Write the registration of a worker to the store."""
        value = attrs.asdict(entry)
        value["state"] = entry.state.value
        self.store.put(RowId(WORKER_TABLE, "", entry.worker_id), orjson.dumps(value))

    def build_foreign_entry(self, entry: WorkerEntry) -> WorkerEntry:
        """Build an entry of another writer, which has just started, under an ID.

        :param entry: registration of the worker that has the ID.
        """
        now_ms = round((self.wall_start_s + anyio.current_time()) * 1000)
        return attrs.evolve(entry, service=FOREIGN_SERVICE, born=now_ms)

    def crash(self, name: str, for_s: float) -> None:
        """Crash a VM; it comes back with another worker."""
        self._end_life(name, VmState.DOWN)
        self.down_since[name] = anyio.current_time()
        self.group.start_soon(self._return_after, name, for_s)

    def halt(self, name: str, for_s: float) -> None:
        """Take the power from a VM: its address does not even refuse connections."""
        self.workers.halted.add(f"{name}:1")
        self.crash(name, for_s)

    def end_worker(self, name: str, for_s: float) -> None:
        """End a worker's process; its VM stays up, and is listed under its id.

        :param name: the VM.
        :param for_s: seconds after which another worker starts there.
        """
        worker = self.get_worker(name)
        if worker is None or not worker.alive:
            return
        worker.crash()
        self.group.start_soon(self._unregister, worker.entry.worker_id)
        self.group.start_soon(self._replace_after, name, worker, for_s)

    async def _replace_after(
        self, name: str, worker: EmulatedWorker, for_s: float
    ) -> None:
        await anyio.sleep(for_s)
        if self.get_worker(name) is worker:
            self._boot(name)

    def _crash_after_start(self, name: str, worker_id: str) -> None:
        self.group.start_soon(self._crash_life_soon, name, worker_id)

    async def _crash_life_soon(self, name: str, worker_id: str) -> None:
        await anyio.sleep(CRASH_DELAY_S)
        if self.vms[name].worker_id == worker_id:
            self.crash(name, CRASH_RETURN_S)

    async def shrink(self, name: str, share: float, for_s: float) -> None:
        """Have the worker of a VM offer a share of its capacity for some seconds."""
        worker = self.get_worker(name)
        if worker is None:
            return
        for factor in (share, 1 / share):
            worker.resize(factor)
            await anyio.sleep(for_s)

    async def _beat(self, worker: EmulatedWorker) -> None:
        """Register a worker again and again, as far as the store answers.

        Those of other pools register once: what they tell of their room only saves
        orders that they would refuse.
        """
        while worker.alive:
            if not self.store.down and not worker.dark:
                self.register(worker.entry)
            await anyio.sleep(self.rng.uniform(0.9, 1.0) * BEAT_S)

    def cut(self, name: str, for_s: float) -> None:
        """Cut a VM off from everything; its worker runs on."""
        worker = self.get_worker(name)
        if worker is not None:
            worker.dark = True
            worker.note_fault()
            self.group.start_soon(self._heal_after, worker, for_s)

    async def _heal_after(self, worker: EmulatedWorker, for_s: float) -> None:
        row = RowId(WORKER_TABLE, "", worker.entry.worker_id)
        if for_s > LAPSE_S:
            await anyio.sleep(LAPSE_S)
            self.store.remove(row)
            await anyio.sleep(for_s - LAPSE_S)
        else:
            await anyio.sleep(for_s)
        worker.dark = False
        if worker.alive:
            self.register(worker.entry)

    def rebear(self, name: str, for_s: float) -> None:
        """Crash a worker behind a cut; it starts again under its id."""
        worker = self.get_worker(name)
        if worker is not None:
            worker.crash()
            self.group.start_soon(self._start_again, name, worker, for_s)

    def restart(self, name: str, for_s: float) -> None:
        """Take the power from a VM; its worker starts again under its id."""
        worker = self.get_worker(name)
        if worker is not None:
            self.workers.halted.add(worker.entry.address)
            self.rebear(name, for_s)

    def reboot(self, name: str, for_s: float, first_beat_s: float) -> None:
        """Restart a VM that is listed as down meanwhile; its worker keeps its id.

        :param name: the VM.
        :param for_s: seconds until its worker takes calls again.
        :param first_beat_s: seconds from then on until the worker registers.
        """
        worker = self.get_worker(name)
        if worker is None or not worker.alive:
            return
        worker.crash()
        self.vms[name] = attrs.evolve(self.vms[name], state=VmState.DOWN)
        self.down_since[name] = anyio.current_time()
        self.group.start_soon(self._start_again, name, worker, for_s, first_beat_s)

    async def _register_after(self, worker: EmulatedWorker, delay_s: float) -> None:
        await anyio.sleep(delay_s)
        if worker.alive:
            self.register(worker.entry)

    async def _start_again(
        self,
        name: str,
        worker: EmulatedWorker,
        for_s: float,
        first_beat_s: float = 0.0,
    ) -> None:
        await anyio.sleep(for_s)
        if self.get_worker(name) is worker:
            self._boot(name, worker.entry.worker_id, first_beat_s)

    def _end_life(self, name: str, state: VmState) -> None:
        vm = self.vms[name]
        worker = self.get_worker(name)
        if worker is not None and worker.alive:
            worker.crash()
            self.group.start_soon(self._unregister, vm.worker_id)
        self.vms[name] = attrs.evolve(vm, state=state, worker_id="")

    async def _unregister(self, worker_id: str) -> None:
        await anyio.sleep(LAPSE_S)
        self.store.remove(RowId(WORKER_TABLE, "", worker_id))

    async def _return_after(self, name: str, for_s: float) -> None:
        await anyio.sleep(for_s)
        self._boot(name)

    def receive(self, sent: OrderRecord) -> VmReply:
        """Handle an order as the present faults have it.

        :param sent: the order as it arrives.
        :returns: the reply, ``UNKNOWN`` for none.
        """
        return _HANDLERS[self.vm_orders.choose_handling(sent.order)](self, sent)

    def _ignore(self, sent: OrderRecord) -> VmReply:
        return VmReply.UNKNOWN

    def _refuse(self, sent: OrderRecord) -> VmReply:
        self._record(sent, OrderEffect.NONE)
        return VmReply.RETRY

    def _disown(self, sent: OrderRecord) -> VmReply:
        self._record(sent, OrderEffect.DISOWNED)
        return VmReply.NOT_DUE

    def _defer(self, sent: OrderRecord) -> VmReply:
        self._record(sent, OrderEffect.NONE)
        delay_s = self.vm_orders.draw_delay()
        self.group.start_soon(run_late, delay_s, self._carry_out_late, sent)
        return VmReply.UNKNOWN

    def _carry_out_late(self, sent: OrderRecord) -> None:
        repeated = self._is_repeated(sent.order)
        if self.carry_out(sent.order) is VmReply.DONE and not repeated:
            late = attrs.evolve(sent, at=anyio.current_time())
            self._record(late, OrderEffect.LATE, self._get_upkeep_s())

    def _carry_out_at_once(self, sent: OrderRecord) -> VmReply:
        repeated = self._is_repeated(sent.order)
        reply = self.carry_out(sent.order)
        begun = reply is VmReply.DONE and not repeated
        effect = OrderEffect.AT_ONCE if begun else OrderEffect.NONE
        self._record(sent, effect, self._get_upkeep_s() if begun else UPKEEP_S)
        return reply

    def _is_repeated(self, order: VmOrder) -> bool:
        return order.wave in self.maintained.get(order.vm, set())

    def _record(
        self, sent: OrderRecord, effect: OrderEffect, down_s: float = UPKEEP_S
    ) -> None:
        self.orders.append(attrs.evolve(sent, effect=effect, down_s=down_s))

    def _get_upkeep_s(self) -> float:
        return max(UPKEEP_S, self.upkeep_hangs_until - anyio.current_time())

    def carry_out(self, order: VmOrder) -> VmReply:
        """Carry out an order."""
        vm = self.vms.get(order.vm)
        if vm is None:
            return VmReply.INVALID
        if order.kind is VmActionKind.UPKEEP:
            if order.wave in self.maintained.get(order.vm, set()):
                return VmReply.DONE
        elif vm.pool == order.pool:
            return VmReply.DONE
        if vm.state is not VmState.UP:
            return VmReply.BUSY
        self.settle_bill()
        if order.kind is VmActionKind.UPKEEP:
            self.maintained.setdefault(order.vm, set()).add(order.wave)
            self._end_life(order.vm, VmState.UPKEEP)
            self.group.start_soon(self._return_after, order.vm, self._get_upkeep_s())
        else:
            self._end_life(order.vm, VmState.MOVING)
            moved = attrs.evolve(self.vms[order.vm], pool=order.pool)
            self.vms[order.vm] = moved
            self.group.start_soon(self._return_after, order.vm, MOVE_S)
        return VmReply.DONE


_HANDLERS: t.Mapping[
    OrderHandling, t.Callable[[EmulatedCloud, OrderRecord], VmReply]
] = {
    OrderHandling.SILENT: EmulatedCloud._ignore,
    OrderHandling.REFUSED: EmulatedCloud._refuse,
    OrderHandling.LATE: EmulatedCloud._defer,
    OrderHandling.DISOWNED: EmulatedCloud._disown,
    OrderHandling.AT_ONCE: EmulatedCloud._carry_out_at_once,
}


@attrs.define(eq=False)
class EmulatedCloudClient:
    """VMs as one node reaches them.

    :param cloud: all VMs.
    :param gate: freezes and cuts of the node.
    """

    cloud: EmulatedCloud
    gate: NodeGate

    @carry_out_elsewhere
    async def list_vms(self) -> tuple[Vm, ...]:
        """List all VMs."""
        await self.gate.pass_through()
        await anyio.sleep(ORDER_DELAY_S)
        if self._is_cut_from(LIST_ONLY):
            await anyio.sleep(ANSWER_TIMEOUT_S)
            raise PlatformUnavailableError("no answer")
        vms = await self.cloud.vm_list.answer()
        await self.gate.pass_through()
        return vms

    @carry_out_elsewhere
    async def send(self, order: VmOrder, holder: str, token: int) -> VmReply:
        """Send an order; repeating one that was done does nothing more."""
        await self.gate.pass_through()
        await anyio.sleep(ORDER_DELAY_S)
        reply = VmReply.UNKNOWN
        if not self._is_cut_from(ORDERS_ONLY):
            now = anyio.current_time()
            sent = OrderRecord(now, order, holder, token, self.gate.node)
            reply = self.cloud.receive(sent)
        if reply is VmReply.UNKNOWN:
            await anyio.sleep(ANSWER_TIMEOUT_S)
            return reply
        await anyio.sleep(ORDER_DELAY_S)
        await self.gate.pass_through()
        return reply

    def _is_cut_from(self, part: str) -> bool:
        return not self.gate.cut_from.isdisjoint((WHOLE_CLOUD, part))
