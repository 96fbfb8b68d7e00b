"""Cordons in the fleet controller's row and in the log."""

import typing as t

import attrs
import orjson
import pytest
import structlog.testing

from onyxgap.daemons.fleet_controller import FleetController
from onyxgap.jobs import tables
from onyxgap.jobs.messages import Step
from onyxgap.jobs.obstacles import REPORT_AFTER_S as STEP_REPORT_AFTER_S
from onyxgap.jobs.shard import Shard
from onyxgap.jobs.store import RowId
from onyxgap.jobs.store_clock import ClockReading
from onyxgap.pools.cordons import MAX_REPORTED_CORDONS
from onyxgap.pools.cordons import REPORT_AFTER_S
from onyxgap.pools.cordons import REPORT_INTERVAL_S
from onyxgap.pools.cordons import Cordon
from onyxgap.pools.cordons import CordonReason
from onyxgap.pools.cordons import Moment
from onyxgap.pools.cordons import parse_reason
from onyxgap.pools.cordons import receive_cordons
from onyxgap.pools.messages import FleetRow
from onyxgap.pools.messages import PoolReport
from onyxgap.pools.messages import Vm
from onyxgap.pools.messages import VmReply
from onyxgap.pools.messages import VmState
from onyxgap.pools.messages import Wave
from onyxgap.pools.messages import WorkerLoad
from onyxgap.pools.messages import decode_fleet_row
from onyxgap.pools.messages import encode_fleet_row
from onyxgap.pools.planner import FleetPlanner
from onyxgap.standins.emulator.store import EmulatedStore
from tests.test_node_parts import ScriptedStore
from tests.test_node_parts import build_fleet_controller
from tests.test_node_parts import run_with_store
from tests.test_shard import ShardHarness

STORE_MS = 5_000_000
NEW_FIELDS = (
    "cordon_set_ms",
    "cordon_waves",
    "ordered_workers",
    "epoch",
    "listed_at_ms",
    "written_at_ms",
    "unanswered",
)
ROW = FleetRow(
    {"w1": "upkeep#3.8", "w2": "move#3.7"},
    ordered=frozenset({"vm-1"}),
    cordon_set_ms={"w1": STORE_MS - 4000},
    cordon_waves={"w1": 2},
    ordered_workers=frozenset({"w1"}),
    epoch=3,
    listed_at_ms=STORE_MS - 1500,
    written_at_ms=STORE_MS - 1000,
    unanswered=frozenset({"vm-1"}),
)


@pytest.fixture
def planner() -> FleetPlanner:
    """Planner that has cordoned one of four workers for wave 6."""
    planner = FleetPlanner(2.0, epoch=3, spare_pool="spare", shards=frozenset("a"))
    vms = [Vm(f"a{n}", "a", VmState.UP, worker_id=f"w{n}") for n in range(4)]
    planner.apply_vm_list(vms, 9.5, STORE_MS - 500)
    loads = {vm.worker_id: WorkerLoad(0, 0, 0) for vm in vms}
    planner.reports["a"] = PoolReport("a", loads)
    planner.sizes = {"a": 4}
    planner.add_wave(Wave(6, ("a0",), 20.0, 2), 10.0)
    assert planner.plan(10.0, STORE_MS) == []
    return planner


@pytest.fixture
def harness() -> ShardHarness:
    harness = ShardHarness(Shard("s", epoch=3, claimed_at=50.0))
    harness.add_worker("w1")
    harness.add_worker("w2")
    return harness


def test_row_with_times_round_trips() -> None:
    assert decode_fleet_row(encode_fleet_row(ROW)) == ROW


def test_row_without_the_new_fields_is_read() -> None:
    value = orjson.loads(encode_fleet_row(ROW))
    for name in NEW_FIELDS:
        del value[name]
    row = decode_fleet_row(orjson.dumps(value))
    assert row == FleetRow(ROW.cordons, ordered=ROW.ordered)


def test_fields_that_other_versions_read_are_stored_as_before(
    planner: FleetPlanner,
) -> None:
    value = orjson.loads(encode_fleet_row(planner.get_row()))
    assert value["cordons"] == {"w0": "upkeep#3.1"}
    assert value.keys() - set(NEW_FIELDS) == {
        "cordons",
        "done",
        "due",
        "base",
        "ordered",
        "startup_over",
    }


@pytest.mark.parametrize(
    ("cordon_id", "reason"),
    [
        ("upkeep#3.8", CordonReason.UPKEEP),
        ("move#3.7", CordonReason.MOVE),
        ("move", None),
        ("repair#3.7", None),
    ],
)
def test_reason_is_read_from_the_id(
    cordon_id: str, reason: CordonReason | None
) -> None:
    assert parse_reason(cordon_id) is reason


def test_row_tells_when_and_for_which_wave_a_worker_was_cordoned(
    planner: FleetPlanner,
) -> None:
    row = planner.get_row(STORE_MS + 100)
    assert (row.cordon_set_ms, row.cordon_waves) == ({"w0": STORE_MS}, {"w0": 6})
    assert (row.epoch, row.listed_at_ms) == (3, STORE_MS - 500)
    assert (row.written_at_ms, row.ordered_workers) == (STORE_MS + 100, frozenset())


def test_row_names_the_cordoned_worker_whose_vm_is_ordered_about(
    planner: FleetPlanner,
) -> None:
    planner.reports["a"] = attrs.evolve(
        planner.reports["a"], emptied={"w0": "upkeep#3.1"}
    )
    (order,) = planner.plan(10.2, STORE_MS + 200)
    assert order.vm == "a0"
    row = planner.get_row()
    assert (row.ordered, row.ordered_workers) == ({"a0"}, {"w0"})


def test_row_does_not_change_as_time_passes(planner: FleetPlanner) -> None:
    row = planner.get_row(STORE_MS)
    planner.apply_vm_list(planner.vms.values(), 10.5, STORE_MS + 500)
    planner.plan(10.6, STORE_MS + 600)
    later = planner.get_row(STORE_MS + 600)
    assert later.listed_at_ms != row.listed_at_ms
    assert later.omit_times() == row.omit_times()


def test_successor_takes_over_times_reasons_and_waves(planner: FleetPlanner) -> None:
    row = decode_fleet_row(encode_fleet_row(planner.get_row(STORE_MS)))
    successor = FleetPlanner(2.0, epoch=4)
    successor.restore(row, 100.0, 3.7, STORE_MS + 7000)
    assert successor.cordons == {
        "w0": Cordon("upkeep#3.1", CordonReason.UPKEEP, 6, 93.0, STORE_MS)
    }
    assert successor.get_row().cordon_set_ms == {"w0": STORE_MS}


def test_successor_does_not_guess_the_age_of_a_cordon() -> None:
    successor = FleetPlanner(2.0, epoch=4)
    successor.restore(FleetRow({"w0": "move#3.1"}), 100.0, 3.7, STORE_MS)
    assert successor.cordons == {"w0": Cordon("move#3.1", CordonReason.MOVE)}
    successor.restore(ROW, 100.0, 3.7)
    assert successor.cordons["w1"].get_age_s(101.0) is None


def log_waiting_step(harness: ShardHarness) -> t.Any:
    harness.add_job(Step(1, cpu=1000))
    with structlog.testing.capture_logs() as lines:
        harness.plan()
        harness.now += STEP_REPORT_AFTER_S
        harness.plan()
    (line,) = [line for line in lines if line["event"] == "step waits"]
    return line


def test_waiting_step_names_cordons_and_the_age_of_the_row(
    harness: ShardHarness,
) -> None:
    harness.shard.set_cordons(ROW.cordons)
    harness.shard.received_cordons = receive_cordons(ROW, Moment(harness.now, STORE_MS))
    line = log_waiting_step(harness)
    assert line["workers"] == {"cordoned": 2}
    assert list(line["cordons"]) == [
        {
            "worker": "w2",
            "id": "move#3.7",
            "since_s": None,
            "ordered": False,
            "drained": True,
        },
        {
            "worker": "w1",
            "id": "upkeep#3.8",
            "since_s": 4.0 + STEP_REPORT_AFTER_S,
            "ordered": True,
            "drained": True,
        },
    ]
    assert line["fleet_row_age_s"] == STEP_REPORT_AFTER_S
    assert (line["fleet_epoch"], line["vm_list_age_s"]) == (3, 0.5)


def test_waiting_step_names_a_limited_number_of_cordons(
    harness: ShardHarness,
) -> None:
    names = [f"w{number}" for number in range(1, MAX_REPORTED_CORDONS + 3)]
    for name in names[2:]:
        harness.add_worker(name)
    harness.shard.set_cordons(dict.fromkeys(names, "move#1.1"))
    line = log_waiting_step(harness)
    assert len(line["cordons"]) == MAX_REPORTED_CORDONS
    assert line["fleet_row_age_s"] is None


def test_waiting_step_has_no_field_for_cordons_without_any(
    harness: ShardHarness,
) -> None:
    harness.shard.received_cordons = receive_cordons(ROW, Moment(harness.now, STORE_MS))
    harness.add_job(Step(1, cpu=10**9), job_id="b" * 16)
    with structlog.testing.capture_logs() as lines:
        harness.plan()
        harness.now += STEP_REPORT_AFTER_S
        harness.plan()
    (line,) = [line for line in lines if line["event"] == "step waits"]
    assert not line.keys() & {"cordons", "fleet_row_age_s", "fleet_epoch"}


def test_lines_about_cordons_tell_the_age_of_the_vm_list(
    planner: FleetPlanner,
) -> None:
    with structlog.testing.capture_logs() as lines:
        planner.sizes = {"a": 2}
        planner.plan(11.0)
        planner.sizes = {"a": 4}
        planner.plan(11.5)
    ages = {line["event"]: line["vm_list_age_s"] for line in lines}
    assert ages["surplus VMs cordoned"] == 1.5
    assert ages["cordons of surplus VMs lifted"] == 2.0


@attrs.frozen
class FixedClocks:
    """Clocks that all stand at one time."""

    now: float

    def read_monotonic(self) -> float:
        return self.now

    def read_wall(self) -> float:
        return self.now

    def read_boot(self) -> float:
        return self.now


def report_cordons(controller: FleetController, now: float) -> list[t.Any]:
    controller.clocks = FixedClocks(now)
    with structlog.testing.capture_logs() as lines:
        controller._report_cordons()
    return [line for line in lines if line["event"] == "cordons in force"]


def test_old_cordons_are_reported_once_per_interval(planner: FleetPlanner) -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        controller = build_fleet_controller(scripted, store)
        controller.planner = planner
        old_at = 10.0 + REPORT_AFTER_S + 0.5
        assert report_cordons(controller, old_at - 1.0) == []
        (line,) = report_cordons(controller, old_at)
        assert line["vm_list_age_s"] == old_at - 9.5
        assert line["cordons"] == [
            {
                "worker": "w0",
                "vm": "a0",
                "pool": "a",
                "id": "upkeep#3.1",
                "reason": "upkeep",
                "wave": 6,
                "since_s": REPORT_AFTER_S + 0.5,
                "order": None,
                "drained": False,
            }
        ]
        assert report_cordons(controller, old_at + REPORT_INTERVAL_S / 2) == []
        assert len(report_cordons(controller, old_at + REPORT_INTERVAL_S)) == 1

    run_with_store(test)


def test_reported_cordon_tells_its_order(planner: FleetPlanner) -> None:
    planner.reports["a"] = attrs.evolve(
        planner.reports["a"], emptied={"w0": "upkeep#3.1"}
    )
    (order,) = planner.plan(11.0)
    (cordon,) = planner.list_cordons_in_force(11.5)
    assert cordon.drained
    assert cordon.order is not None
    assert attrs.astuple(cordon.order) == ("upkeep", False, 0.5)
    planner.apply_reply(order, VmReply.DONE, 11.6)
    (cordon,) = planner.list_cordons_in_force(12.0)
    assert cordon.order is not None
    assert cordon.order.answered


def test_row_is_written_only_when_more_than_its_times_changed(
    planner: FleetPlanner, monkeypatch: pytest.MonkeyPatch
) -> None:
    written: list[FleetRow] = []

    async def write_rows(self: FleetController, puts: dict[RowId, bytes]) -> None:
        if tables.get_fleet_row() in puts:
            written.append(decode_fleet_row(puts[tables.get_fleet_row()]))

    monkeypatch.setattr(FleetController, "_write_rows", write_rows)

    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        controller = build_fleet_controller(scripted, store)
        controller.planner = planner
        controller._group = t.cast(t.Any, object())
        clock = controller.health.store_clock
        boot = controller.clocks.read_boot()
        for passed_ms in (0, 700):
            clock.reading = ClockReading(STORE_MS + passed_ms, boot, boot)
            planner.apply_vm_list(
                planner.vms.values(), 10.5, STORE_MS - 500 + passed_ms
            )
            await controller._store_and_send([])
        assert [row.listed_at_ms for row in written] == [STORE_MS - 500]
        assert [row.written_at_ms for row in written] == [STORE_MS]
        planner.cordons.clear()
        await controller._store_and_send([])
        assert [row.listed_at_ms for row in written[1:]] == [STORE_MS + 200]

    run_with_store(test)
