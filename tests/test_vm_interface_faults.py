"""Faults of the platform's interface for VMs: each does what it says, and no more."""

import typing as t

import anyio
import attrs
import pytest

from onyxgap.exceptions import PlatformUnavailableError
from onyxgap.pools.messages import VmActionKind
from onyxgap.pools.messages import VmOrder
from onyxgap.pools.messages import VmReply
from onyxgap.pools.messages import VmState
from onyxgap.standins.emulator.cloud import UPKEEP_S
from onyxgap.standins.emulator.cloud import EmulatedCloudClient
from onyxgap.standins.emulator.cloud import OrderEffect
from onyxgap.standins.emulator.day import Day
from onyxgap.standins.emulator.fault_draws import draw_faults
from onyxgap.standins.emulator.fault_draws import draw_interface_faults
from onyxgap.standins.emulator.faults import FaultyDay
from onyxgap.standins.emulator.gate import NodeGate
from onyxgap.standins.emulator.script import INTERFACE_FAULTS
from onyxgap.standins.emulator.script import parse_script
from onyxgap.standins.emulator.vm_list import ANSWER_TIMEOUT_S
from onyxgap.standins.virtual import run_virtually
from tests.emulated import load_day

DAY = """
nodes 0
pool ring vms 40
spare 2
end 60
"""
NODES_DAY = """
nodes 3
pool ring vms 3
end 30
"""
AT_S = 5.0
FOR_S = 10.0
ANSWERED_S = 0.5
LATEST_S = 12.0
"""Longest time after which a late order is carried out."""
UPKEEP = VmOrder("ring-0", VmActionKind.UPKEEP, wave=1)
MOVE = VmOrder("ring-1", VmActionKind.MOVE, pool="spare")
EXCUSING = frozenset({("deaf", "holder"), ("deaf", "owner")})


@attrs.define
class Caller:
    """One node that calls the platform on a day whose own nodes are few or none."""

    day: Day
    client: EmulatedCloudClient

    async def send(self, order: VmOrder) -> tuple[VmReply, float]:
        """Send an order; return the reply and after how many seconds it came."""
        sent_at = anyio.current_time()
        reply = await self.client.send(order, "boot", 1)
        return reply, anyio.current_time() - sent_at

    async def list_vms(self) -> str:
        """Request the list; return why there is none, or an empty string."""
        try:
            await self.client.list_vms()
        except PlatformUnavailableError as error:
            return str(error)
        return ""

    def get_state(self, name: str) -> VmState:
        return self.day.cloud.vms[name].state


Probe = t.Callable[[Caller], t.Awaitable[None]]


async def _probe_at(script: str, at: float, probe: Probe) -> None:
    day = FaultyDay(parse_script("probed", script), 1)
    async with anyio.create_task_group() as group:
        group.start_soon(day.play)
        await anyio.sleep(at)
        gate = NodeGate("prober")
        await probe(Caller(day, EmulatedCloudClient(day.cloud, gate)))
        group.cancel_scope.cancel()


def probe_day(statement: str, probe: Probe, day: str = DAY, at: float = 6.0) -> None:
    """Play a day with a fault, and look at it once the fault has begun."""
    run_virtually(_probe_at, f"{day}{statement}", at, probe)


def build_statement(verb: str, target: str) -> str:
    name = " ring" if target == "owner" else ""
    return f"at {AT_S} {verb} {target}{name} for {FOR_S}"


@pytest.mark.parametrize(
    ("verb", "list_failure", "reply"),
    [("down", "no answer", VmReply.UNKNOWN), ("refuse", "refused", VmReply.RETRY)],
)
def test_cloud_that_is_away_lists_no_vms_and_carries_out_no_order(
    verb: str, list_failure: str, reply: VmReply
) -> None:
    async def probe(caller: Caller) -> None:
        assert await caller.list_vms() == list_failure
        assert (await caller.send(UPKEEP))[0] is reply
        assert (await caller.send(MOVE))[0] is reply
        await anyio.sleep_until(AT_S + FOR_S + LATEST_S)
        assert caller.day.cloud.maintained == {}
        assert caller.day.cloud.vms[MOVE.vm].pool == "ring"
        assert await caller.list_vms() == ""
        assert (await caller.send(UPKEEP))[0] is VmReply.DONE

    probe_day(build_statement(verb, "cloud"), probe)


def test_silent_orders_get_no_answer_and_have_no_effect_beside_true_lists() -> None:
    async def probe(caller: Caller) -> None:
        reply, after_s = await caller.send(UPKEEP)
        assert reply is VmReply.UNKNOWN
        assert after_s > ANSWER_TIMEOUT_S
        assert await caller.list_vms() == ""
        await anyio.sleep(LATEST_S)
        assert caller.day.cloud.maintained == {}

    probe_day(build_statement("down", "vm-orders"), probe)


def test_refused_orders_are_refused_at_once_beside_true_lists() -> None:
    async def probe(caller: Caller) -> None:
        reply, after_s = await caller.send(MOVE)
        assert reply is VmReply.RETRY
        assert after_s < ANSWERED_S
        assert await caller.list_vms() == ""
        await anyio.sleep(LATEST_S)
        assert caller.day.cloud.vms[MOVE.vm].pool == "ring"

    probe_day(build_statement("refuse", "vm-orders"), probe)


@pytest.mark.parametrize("verb", ["down", "refuse", "late"])
def test_fault_of_a_share_of_the_orders_leaves_the_others(verb: str) -> None:
    async def probe(caller: Caller) -> None:
        replies = [
            (await caller.send(VmOrder(f"ring-{n}", VmActionKind.UPKEEP, 1)))[0]
            for n in range(40)
        ]
        assert 10 <= sum(item is VmReply.DONE for item in replies) <= 30

    probe_day(f"at {AT_S} {verb} vm-orders for 50 by 0.5", probe)


def test_late_order_is_carried_out_within_seconds_and_ends_what_runs() -> None:
    async def probe(caller: Caller) -> None:
        worker = caller.day.cloud.get_worker(MOVE.vm)
        assert worker is not None
        assert (await caller.send(MOVE))[0] is VmReply.UNKNOWN
        assert caller.get_state(MOVE.vm) is VmState.UP
        await anyio.sleep(LATEST_S)
        assert caller.day.cloud.vms[MOVE.vm].pool == "spare"
        assert not worker.alive
        effects = [item.effect for item in caller.day.cloud.orders]
        assert effects == [OrderEffect.NONE, OrderEffect.LATE]

    probe_day(build_statement("late", "vm-orders"), probe)


def test_late_order_about_a_vm_that_is_down_by_then_does_nothing() -> None:
    async def probe(caller: Caller) -> None:
        assert (await caller.send(UPKEEP))[0] is VmReply.UNKNOWN
        caller.day.cloud.crash(UPKEEP.vm, LATEST_S)
        await anyio.sleep(LATEST_S + UPKEEP_S)
        assert caller.day.cloud.maintained == {}
        assert caller.get_state(UPKEEP.vm) is VmState.UP

    probe_day(build_statement("late", "vm-orders"), probe)


def test_hung_maintenance_lasts_until_the_fault_ends() -> None:
    async def probe(caller: Caller) -> None:
        assert (await caller.send(UPKEEP))[0] is VmReply.DONE
        await anyio.sleep_until(AT_S + FOR_S - 0.1)
        assert caller.get_state(UPKEEP.vm) is VmState.UPKEEP
        await anyio.sleep_until(AT_S + FOR_S + 0.1)
        assert caller.get_state(UPKEEP.vm) is VmState.UP
        later = attrs.evolve(UPKEEP, wave=2)
        assert (await caller.send(later))[0] is VmReply.DONE
        await anyio.sleep(UPKEEP_S)
        assert caller.get_state(UPKEEP.vm) is VmState.UP

    probe_day(build_statement("hang", "upkeep"), probe)


def test_maintenance_that_began_before_the_fault_does_not_hang() -> None:
    async def probe(caller: Caller) -> None:
        assert (await caller.send(UPKEEP))[0] is VmReply.DONE
        await anyio.sleep(UPKEEP_S)
        assert caller.get_state(UPKEEP.vm) is VmState.UP

    probe_day(build_statement("hang", "upkeep"), probe, at=AT_S - 1.0)


def test_disowned_maintenance_is_answered_as_not_due_and_moves_go_on() -> None:
    async def probe(caller: Caller) -> None:
        assert (await caller.send(UPKEEP))[0] is VmReply.NOT_DUE
        assert caller.day.cloud.maintained == {}
        assert (await caller.send(MOVE))[0] is VmReply.DONE

    probe_day(build_statement("disown", "upkeep"), probe)


def list_cuts(day: Day) -> dict[str, set[str]]:
    """List the nodes that are cut off from something, with what that is."""
    return {slot.name: slot.gate.cut_from for slot in day.slots if slot.gate.cut_from}


def find_holder(day: Day) -> str:
    (name,) = (
        slot.name
        for slot in day.slots
        if slot.node is not None and slot.node.fleet_controller is not None
    )
    return name


@pytest.mark.parametrize(
    ("name", "part", "lists", "orders"),
    [
        ("", "cloud", False, False),
        ("list", "list", False, True),
        ("vm-orders", "vm-orders", True, False),
    ],
)
def test_only_the_node_of_the_fleet_controller_is_cut_off_from_the_cloud(
    name: str, part: str, lists: bool, orders: bool
) -> None:
    async def probe(caller: Caller) -> None:
        holder = find_holder(caller.day)
        assert list_cuts(caller.day) == {holder: {part}}
        assert await caller.list_vms() == ""
        (slot,) = (item for item in caller.day.slots if item.name == holder)
        cut_off = Caller(caller.day, EmulatedCloudClient(caller.day.cloud, slot.gate))
        assert (await cut_off.list_vms() == "") is lists
        assert ((await cut_off.send(UPKEEP))[0] is VmReply.DONE) is orders
        await anyio.sleep_until(AT_S + FOR_S + 0.1)
        assert list_cuts(caller.day) == {}

    probe_day(f"at {AT_S} cut holder {name} for {FOR_S}", probe, NODES_DAY)


@pytest.mark.parametrize("role", ["holder", "owner ring"])
def test_only_the_node_with_the_role_is_deaf_and_counts_as_disturbed(role: str) -> None:
    async def probe(caller: Caller) -> None:
        day = caller.day
        (owner,) = (slot.name for slot in day.slots if slot.node and slot.node.owners)
        deaf = find_holder(day) if role == "holder" else owner
        assert day.store.deaf_nodes == {deaf}
        assert day.disturbances.spans == [(deaf, AT_S, AT_S + FOR_S)]
        assert day.tenancy.deaf == [(AT_S, AT_S + FOR_S)]
        await anyio.sleep_until(AT_S + FOR_S + 0.1)
        assert day.store.deaf_nodes == set()

    probe_day(f"at {AT_S} deaf {role} for {FOR_S}", probe, NODES_DAY)


@pytest.mark.parametrize(("verb", "target"), sorted(INTERFACE_FAULTS - EXCUSING))
def test_fault_of_the_interface_for_vms_excuses_no_standstill(
    verb: str, target: str
) -> None:
    async def probe(caller: Caller) -> None:
        assert caller.day.disturbances.list_all() == []
        assert caller.day.tenancy.deaf == []

    probe_day(build_statement(verb, target), probe, NODES_DAY)


def test_faults_overlap_without_ending_each_other() -> None:
    async def probe(caller: Caller) -> None:
        assert await caller.list_vms() == "no answer"
        assert (await caller.send(UPKEEP))[0] is VmReply.UNKNOWN

    statements = ("down cloud for 20", "refuse vm-orders for 2", "down list for 2")
    probe_day("\n".join(f"at {AT_S} {item}" for item in statements), probe, at=9.0)


def test_interface_faults_are_drawn_apart_from_the_others() -> None:
    script = load_day("turns")
    for seed in range(50):
        others = draw_faults(script, seed, 20, include_scripted=True)
        drawn = {(item.verb, item.target) for item in others.faults}
        assert not drawn & INTERFACE_FAULTS
        assert draw_interface_faults(others, seed, 0) == others
        both = draw_interface_faults(others, seed, 3)
        assert both.faults[:-3] == others.faults


def test_interface_faults_of_all_kinds_are_drawn_within_the_day() -> None:
    script = load_day("turns")
    found = set()
    for seed in range(50):
        faults = draw_interface_faults(script, seed, 4).faults
        found |= {(item.verb, item.target) for item in faults}
        assert all(item.at + item.seconds <= script.end_s + 0.001 for item in faults)
        starts = [wave.at for wave in script.waves]
        starts += [script.turn_s * number for number in range(1, 6)]
        near = [
            item
            for item in faults
            if any(item.at <= at + 2 and at <= item.at + item.seconds for at in starts)
        ]
        assert len(near) >= 2
    assert found == INTERFACE_FAULTS
