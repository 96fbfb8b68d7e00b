"""What a fleet controller may do with the VMs that its predecessor ordered about."""

import typing as t

import attrs
import pytest

from onyxgap.daemons.fence import FencedWriter
from onyxgap.daemons.fleet_controller import FleetController
from onyxgap.jobs import tables
from onyxgap.jobs.store import RowId
from onyxgap.pools.messages import FleetRow
from onyxgap.pools.messages import Vm
from onyxgap.pools.messages import VmActionKind
from onyxgap.pools.messages import VmReply
from onyxgap.pools.messages import VmState
from onyxgap.pools.messages import decode_fleet_row
from onyxgap.pools.messages import encode_fleet_row
from onyxgap.pools.order_outcomes import LATE_ORDER_S
from onyxgap.pools.planner import FleetPlanner
from onyxgap.standins.emulator.store import EmulatedStore
from tests.test_node_parts import ScriptedStore
from tests.test_node_parts import build_fleet_controller
from tests.test_node_parts import run_with_store
from tests.test_pools import build_report

PAUSE_S = 3.7
CLAIMED_AT = 20.0
SPARE = Vm("z0", "spare", VmState.UP)


@pytest.fixture
def planner() -> FleetPlanner:
    """Planner of two pools that has ordered a spare VM to move to the first."""
    planner = FleetPlanner(2.0, epoch=1, spare_pool="spare", shards=frozenset("ab"))
    vms = [
        Vm(f"{pool}{number}", pool, VmState.UP, worker_id=f"w-{pool}{number}")
        for pool in "ab"
        for number in range(3)
    ]
    planner.apply_vm_list([*vms, SPARE], 0.0)
    planner.reports = {pool: build_report(planner, pool) for pool in "ab"}
    planner.sizes = {"a": 4, "b": 3}
    (order,) = planner.plan(1.0)
    assert (order.vm, order.kind) == ("z0", VmActionKind.MOVE)
    return planner


def take_over(planner: FleetPlanner, unanswered: bool = True) -> FleetPlanner:
    """Build the planner of a successor, which finds the VM in the first pool."""
    row = decode_fleet_row(encode_fleet_row(planner.get_row()))
    if not unanswered:
        row = attrs.evolve(row, unanswered=None)
    successor = FleetPlanner(2.0, epoch=2, spare_pool="spare", shards=frozenset("ab"))
    successor.restore(row, CLAIMED_AT, PAUSE_S)
    moved = attrs.evolve(SPARE, pool="a", worker_id="w-z0")
    vms = {**planner.vms, "z0": moved}
    successor.apply_vm_list(vms.values(), CLAIMED_AT)
    successor.reports = {pool: build_report(successor, pool) for pool in "ab"}
    successor.sizes = {"a": 0, "b": 3}
    return successor


def answer_order(planner: FleetPlanner, reply: VmReply) -> None:
    order = planner.pending_orders["z0"].order
    planner.apply_reply(order, reply, 1.1)


def find_cordon_time(successor: FleetPlanner) -> float:
    """Return the seconds after the claim until the moved VM is cordoned as surplus."""
    for tick in range(200):
        now = CLAIMED_AT + tick / 10
        successor.apply_vm_list(successor.vms.values(), now)
        successor.plan(now)
        if "w-z0" in successor.cordons:
            return now - CLAIMED_AT
    raise AssertionError("never cordoned")


def test_vm_whose_order_was_answered_is_not_closed_for_late_orders(
    planner: FleetPlanner,
) -> None:
    answer_order(planner, VmReply.DONE)
    waited_s = find_cordon_time(take_over(planner))
    assert waited_s == pytest.approx(PAUSE_S, abs=0.15)


@pytest.mark.parametrize("reply", [None, VmReply.UNKNOWN])
def test_vm_whose_order_was_not_answered_stays_as_it_is(
    planner: FleetPlanner, reply: VmReply | None
) -> None:
    if reply is not None:
        answer_order(planner, reply)
    waited_s = find_cordon_time(take_over(planner))
    assert waited_s == pytest.approx(LATE_ORDER_S, abs=0.15)


def test_each_ordered_vm_counts_as_unanswered_in_rows_of_earlier_versions(
    planner: FleetPlanner,
) -> None:
    answer_order(planner, VmReply.DONE)
    waited_s = find_cordon_time(take_over(planner, unanswered=False))
    assert waited_s == pytest.approx(LATE_ORDER_S, abs=0.15)


def test_answer_to_a_repeated_order_tells_nothing_of_the_first(
    planner: FleetPlanner,
) -> None:
    answer_order(planner, VmReply.UNKNOWN)
    answer_order(planner, VmReply.DONE)
    waited_s = find_cordon_time(take_over(planner))
    assert waited_s == pytest.approx(LATE_ORDER_S, abs=0.15)


def test_answers_alone_are_stored_with_the_next_renewal(
    planner: FleetPlanner, monkeypatch: pytest.MonkeyPatch
) -> None:
    written: list[FleetRow] = []
    due = False

    async def write_rows(self: FleetController, puts: dict[RowId, bytes]) -> None:
        if tables.get_fleet_row() in puts:
            written.append(decode_fleet_row(puts[tables.get_fleet_row()]))

    monkeypatch.setattr(FleetController, "_write_rows", write_rows)
    monkeypatch.setattr(FencedWriter, "is_renewal_due", lambda self, now: due)

    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        nonlocal due
        controller = build_fleet_controller(scripted, store)
        controller.planner = planner
        controller._group = t.cast(t.Any, object())
        await controller._store_and_send([])
        answer_order(planner, VmReply.DONE)
        await controller._store_and_send([])
        assert [row.unanswered for row in written] == [{"z0"}]
        due = True
        await controller._store_and_send([])
        await controller._store_and_send([])
        assert [row.unanswered for row in written] == [{"z0"}, frozenset()]

    run_with_store(test)
