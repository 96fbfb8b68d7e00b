"""The platform's interface for VMs that is away, refuses or is late in the soak."""

import logging
import pathlib
import types
import typing as t

import anyio
import orjson
import pytest

from bench.soak.__main__ import DAY
from bench.soak.day import SoakDay
from bench.soak.day import play_soak
from bench.soak.platform import REFUSALS
from bench.soak.processes import RunningNode
from onyxgap.exceptions import PlatformUnavailableError
from onyxgap.jobs import tables
from onyxgap.jobs.store import RowId
from onyxgap.jobs.store import StoredRow
from onyxgap.platform.cloud import PlatformCloudClient
from onyxgap.platform.http import HttpClient
from onyxgap.pools.messages import VmActionKind
from onyxgap.pools.messages import VmOrder
from onyxgap.pools.messages import VmReply
from onyxgap.pools.messages import VmState
from onyxgap.standins.emulator.fault_draws import draw_faults
from onyxgap.standins.emulator.fault_draws import draw_interface_faults
from onyxgap.standins.emulator.gate import NodeGate
from onyxgap.standins.emulator.script import INTERFACE_FAULTS
from onyxgap.standins.emulator.script import load_script
from onyxgap.standins.emulator.script import parse_script
from onyxgap.standins.emulator.vm_orders import OrderHandling
from onyxgap.standins.emulator.vm_orders import VmOrderFault
from onyxgap.standins.emulator.vm_orders import VmOrderFaults
from tests.soak_platform import VM_NAME
from tests.soak_platform import Platform
from tests.soak_platform import run_with_platform

ORDER = VmOrder(VM_NAME, VmActionKind.UPKEEP, wave=1)
HEADERS = [("Lease-Holder", "node-0"), ("Fencing-Token", "1")]
LATE_S = 1.2
"""Longer than a node waits for the answer to an order."""
CORDONS_DAY = DAY.with_name("cordons.day")
FAULTS = """
at 5 down vm-orders for 9
"""


def disturb(platform: Platform, handling: OrderHandling) -> None:
    platform.cloud.vm_orders.present.append(VmOrderFault(handling, 1.0))


async def send(platform: Platform) -> VmReply:
    """Send an order as a node does."""
    client = PlatformCloudClient(HttpClient(str(platform.address)))
    return await client.send(ORDER, "node-0", 1)


@pytest.mark.parametrize(
    ("handling", "reply"),
    [
        (OrderHandling.SILENT, VmReply.UNKNOWN),
        (OrderHandling.REFUSED, VmReply.RETRY),
        (OrderHandling.LATE, VmReply.UNKNOWN),
        (OrderHandling.DISOWNED, VmReply.NOT_DUE),
    ],
)
def test_node_does_not_take_an_order_that_was_not_carried_out_for_done(
    handling: OrderHandling, reply: VmReply
) -> None:
    async def play(platform: Platform) -> None:
        disturb(platform, handling)
        assert await send(platform) is reply
        assert platform.cloud.vms[VM_NAME].state is VmState.UP

    run_with_platform(play)


def test_refused_orders_are_answered_with_503_and_429_in_turn() -> None:
    async def play(platform: Platform) -> None:
        disturb(platform, OrderHandling.REFUSED)
        body = {"machine": VM_NAME, "wave": 1}
        for status in REFUSALS:
            answer = await platform.call("POST", "/machine-upkeep", body, HEADERS)
            assert answer.status == status

    run_with_platform(play)


def test_late_order_is_carried_out_after_the_node_gave_up_its_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(VmOrderFaults, "draw_delay", lambda _: LATE_S)

    async def play(platform: Platform) -> None:
        disturb(platform, OrderHandling.LATE)
        assert await send(platform) is VmReply.UNKNOWN
        await anyio.sleep(LATE_S)
        assert platform.cloud.vms[VM_NAME].state is VmState.UPKEEP

    run_with_platform(play)


@pytest.mark.parametrize(
    ("part", "lists", "reply"),
    [
        ("cloud", False, VmReply.UNKNOWN),
        ("list", False, VmReply.DONE),
        ("vm-orders", True, VmReply.UNKNOWN),
    ],
)
def test_node_that_is_cut_off_gets_no_answer_from_that_part_of_the_interface(
    part: str, lists: bool, reply: VmReply
) -> None:
    async def play(platform: Platform) -> None:
        platform.gate.cut_from.add(part)
        client = PlatformCloudClient(HttpClient(str(platform.address)))
        if lists:
            assert await client.list_vms()
        else:
            with pytest.raises(PlatformUnavailableError):
                await client.list_vms()
        assert await send(platform) is reply
        read = await platform.call("GET", "/rows-get?table=workers&part=")
        assert len(orjson.loads(read.content)["rows"]) == 1

    run_with_platform(play)


def build_day() -> SoakDay:
    """Build a day of which node-1 owns ring and is the fleet controller."""
    rows = {}
    for shard in (tables.FLEET_SHARD, "ring"):
        row_id = RowId(tables.OWNER_TABLE, shard, "owner")
        value = tables.encode_owner(tables.OwnerRow("node-1", "boot", 1))
        rows[row_id] = StoredRow(row_id, value, 1)
    day: t.Any = SoakDay(load_script(DAY), 1)
    day.store = types.SimpleNamespace(rows=rows, deaf_nodes=set())
    day.tenancy = types.SimpleNamespace(deaf=[])
    for number in range(3):
        slot: t.Any = types.SimpleNamespace(name=f"node-{number}", day=day)
        slot.gate = NodeGate(slot.name)
        slot.node = RunningNode(slot)
        day.slots.append(slot)
    return t.cast(SoakDay, day)


def list_affected_nodes(day: SoakDay) -> set[str]:
    cut = {slot.name for slot in day.slots if slot.gate.cut_from}
    return cut | day.store.deaf_nodes


@pytest.mark.parametrize("fault", ["cut holder", "deaf holder", "deaf owner ring"])
def test_interface_fault_hits_no_node_but_the_process_with_the_role(fault: str) -> None:
    async def play() -> None:
        day = build_day()
        async with anyio.create_task_group() as group:
            (line,) = parse_script("day", f"at 0 {fault} for 0.1").faults
            group.start_soon(day._play_fault, line)
            await anyio.sleep(0.05)
            assert list_affected_nodes(day) == {"node-1"}
        assert list_affected_nodes(day) == set()

    anyio.run(play)


def test_interface_faults_leave_the_other_faults_of_a_seed_as_they_are() -> None:
    script = draw_faults(load_script(CORDONS_DAY), 9100, 6, include_scripted=True)
    assert draw_interface_faults(script, 9100, 0) == script
    both = draw_interface_faults(script, 9100, 3)
    assert both.faults[:-3] == script.faults
    assert not any(
        (item.verb, item.target) in INTERFACE_FAULTS for item in script.faults
    )
    assert all(
        (item.verb, item.target) in INTERFACE_FAULTS for item in both.faults[-3:]
    )


def test_jobs_of_processes_do_not_wait_beside_vms_whose_orders_get_no_answer(
    tmp_path: pathlib.Path,
) -> None:
    # what servers say of calls that the end of the day cuts off
    logging.disable(logging.CRITICAL)
    script = parse_script("cordons", CORDONS_DAY.read_text() + FAULTS)
    result = play_soak(script, 1, tmp_path)
    assert result.breaches == []
    assert result.account.in_time
