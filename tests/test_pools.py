"""Burst forecast, pool sizes, maintenance waves and moves of VMs."""

import typing as t

import attrs
import orjson
import pytest
import structlog.testing

from onyxgap.exceptions import DocumentError
from onyxgap.pools.bursts import BurstForecast
from onyxgap.pools.messages import FleetRow
from onyxgap.pools.messages import PoolReport
from onyxgap.pools.messages import Vm
from onyxgap.pools.messages import VmActionKind
from onyxgap.pools.messages import VmOrder
from onyxgap.pools.messages import VmReply
from onyxgap.pools.messages import VmState
from onyxgap.pools.messages import Wave
from onyxgap.pools.messages import WorkerLoad
from onyxgap.pools.messages import decode_fleet_row
from onyxgap.pools.messages import decode_report
from onyxgap.pools.messages import encode_fleet_row
from onyxgap.pools.messages import encode_report
from onyxgap.pools.offered import WINDOW_S
from onyxgap.pools.offered import OfferedLoad
from onyxgap.pools.planner import REGISTRATION_RETURN_S
from onyxgap.pools.planner import STARTUP_TIMEOUT_S
from onyxgap.pools.planner import FleetPlanner
from onyxgap.pools.sizing import SCALE_DOWN_WINDOW_S
from onyxgap.pools.sizing import PoolSizer

TICK_S = 0.25
TOTAL = 24
"""VMs of a small fleet: two pools of eight, and eight spare VMs."""


def observe_bursts(
    forecast: BurstForecast, bursts: t.Sequence[tuple[str, float]], per_tick: int = 2
) -> float:
    """Record the arrivals of consecutive bursts; return the time of the last tick."""
    now = 0.0
    shards = sorted({shard for shard, _ in bursts})
    for busy, length in bursts:
        for _ in range(int(length / TICK_S)):
            now += TICK_S
            for shard in shards:
                forecast.observe(shard, now, per_tick if shard == busy else 0)
    return now


def test_burst_starts_and_ends_with_its_arrivals() -> None:
    forecast = BurstForecast()
    observe_bursts(forecast, [("a", 6.0)])
    assert forecast.list_busy() == {"a"}
    observe_bursts(forecast, [("a", 6.0), ("b", 3.0)])
    assert forecast.list_busy() == {"b"}
    assert forecast.shards["a"].lengths == [pytest.approx(6.0, abs=0.3)]


def test_single_jobs_start_no_burst() -> None:
    forecast = BurstForecast()
    for second in range(20):
        forecast.observe("a", float(second), 1)
    assert forecast.list_busy() == frozenset()


def test_next_burst_is_expected_early_rather_than_late() -> None:
    forecast = BurstForecast()
    observe_bursts(forecast, [("a", 6.0), ("b", 6.0), ("c", 0.25)])
    start = forecast.get_next_start("a")
    assert start is not None
    assert 12.0 < start <= 18.0
    assert forecast.get_next_start("c") is None


def test_period_is_measured_once_a_burst_recurs() -> None:
    forecast = BurstForecast()
    now = observe_bursts(forecast, [("a", 5.0), ("b", 5.0), ("a", 5.0), ("b", 5.0)])
    start = forecast.get_next_start("a")
    assert start == pytest.approx(20.0, abs=0.6)
    assert start > now - 1


def report(shard: str, **changes: t.Any) -> PoolReport:
    return attrs.evolve(PoolReport(shard, epoch=1), **changes)


def test_pool_without_history_keeps_its_vms_and_grows_with_demand() -> None:
    sizer = PoolSizer()
    assert sizer.choose_sizes({"a": report("a")}, {"a": 8}, TOTAL, 1.0) == {"a": 8}
    busy = {"a": report("a", batch=7.0, queued=4.0)}
    assert sizer.choose_sizes(busy, {"a": 8}, TOTAL, 2.0) == {"a": 10}
    busy = {"a": report("a", batch=7.0, queued=40.0)}
    assert sizer.choose_sizes(busy, {"a": 8}, 40, 3.0) == {"a": 30}
    assert sizer.choose_sizes(busy, {"a": 8}, TOTAL, 3.0) == {"a": TOTAL}


def test_pool_shrinks_between_bursts_and_grows_before_the_next() -> None:
    sizer = PoolSizer()
    now = observe_bursts(sizer.forecast, [("a", 6.0), ("b", 3.0), ("c", 0.5)])
    reports = {"a": report("a", serving=0.4)}
    assert sizer.choose_sizes(reports, {"a": 8}, TOTAL, now) == {"a": 2}
    start = sizer.forecast.get_next_start("a")
    assert start is not None
    assert sizer.choose_sizes(reports, {"a": 8}, TOTAL, start - 2.0) == {"a": 8}


def test_pool_between_bursts_keeps_vms_for_serving_tasks_that_need_them() -> None:
    sizer = PoolSizer()
    now = observe_bursts(sizer.forecast, [("a", 6.0), ("b", 3.0), ("c", 0.5)])
    reports = {"a": report("a", serving=0.4, serving_vms=5)}
    assert sizer.choose_sizes(reports, {"a": 8}, TOTAL, now) == {"a": 5}


def test_size_is_kept_for_the_scale_down_window() -> None:
    sizer = PoolSizer()
    now = observe_bursts(sizer.forecast, [("a", 6.0), ("b", 3.0), ("c", 0.5)])
    high = {"a": report("a", batch=5.0)}
    low = {"a": report("a")}
    assert sizer.choose_sizes(high, {"a": 8}, TOTAL, now) == {"a": 6}
    assert sizer.choose_sizes(low, {"a": 8}, TOTAL, now + SCALE_DOWN_WINDOW_S / 2) == {
        "a": 6
    }
    assert sizer.choose_sizes(
        low, {"a": 8}, TOTAL, now + SCALE_DOWN_WINDOW_S + 0.1
    ) == {"a": 2}


def test_vms_for_late_tasks_are_kept_for_the_scale_down_window() -> None:
    sizer = PoolSizer()
    sizes = [
        sizer.choose_sizes(
            {"a": report("a", serving=3.7, late_vms=late_vms)}, {"a": 4}, TOTAL, now
        )["a"]
        for late_vms, now in (
            (7, 1.0),
            (0, 1.0 + SCALE_DOWN_WINDOW_S / 2),
            (0, 1.1 + SCALE_DOWN_WINDOW_S),
        )
    ]
    assert sizes == [7, 7, 5]


def test_encoding_of_rows_round_trips() -> None:
    sent = report("a", workers={"w": WorkerLoad(2, 1, 900)}, emptied={"w": "move#1"})
    assert decode_report(encode_report(sent)) == sent
    row = FleetRow(
        {"w": "upkeep#2"},
        {1: frozenset({"m"})},
        frozenset({"x"}),
        {"a": 8},
        frozenset({"m"}),
        startup_over=True,
    )
    assert decode_fleet_row(encode_fleet_row(row)) == row
    for value in (b"", b"[]", b'{"cordons":1}'):
        with pytest.raises(DocumentError):
            decode_fleet_row(value)
        with pytest.raises(DocumentError):
            decode_report(value)


def test_fleet_row_of_an_earlier_version_is_read() -> None:
    value = orjson.loads(encode_fleet_row(FleetRow({"w": "move#1"}, startup_over=True)))
    del value["startup_over"]
    assert decode_fleet_row(orjson.dumps(value)) == FleetRow({"w": "move#1"})


@pytest.mark.parametrize("name", ["serving_vms", "late_vms", "redundant_vms"])
def test_reports_are_read_by_nodes_of_other_versions(name: str) -> None:
    sent = attrs.evolve(report("a", workers={"w": WorkerLoad(2, 1, 900)}), **{name: 3})
    value = orjson.loads(encode_report(sent))
    assert decode_report(orjson.dumps({**value, "later": 1})) == sent
    del value[name]
    assert getattr(decode_report(orjson.dumps(value)), name) == 0
    without = attrs.evolve(sent, **{name: 0})
    assert value == orjson.loads(encode_report(without))


def build_vms(pool: str, count: int) -> list[Vm]:
    return [
        Vm(f"{pool}{n}", pool, VmState.UP, worker_id=f"w-{pool}{n}")
        for n in range(count)
    ]


@pytest.fixture
def planner() -> FleetPlanner:
    planner = FleetPlanner(2.0, epoch=1, spare_pool="spare", shards=frozenset("ab"))
    spare = [Vm(f"z{n}", "spare", VmState.UP) for n in range(2)]
    planner.apply_vm_list([*build_vms("a", 4), *build_vms("b", 4), *spare], 0.0)
    for pool in "ab":
        planner.reports[pool] = build_report(planner, pool)
    planner.sizes = {"a": 4, "b": 4}
    return planner


def build_report(planner: FleetPlanner, pool: str, **changes: t.Any) -> PoolReport:
    workers = {
        vm.worker_id: WorkerLoad(0, 0, 0)
        for vm in planner.vms.values()
        if vm.pool == pool
    }
    return report(pool, workers=workers, **changes)


def report_drained(planner: FleetPlanner) -> None:
    for pool in "ab":
        planner.reports[pool] = build_report(
            planner, pool, emptied=dict(planner.get_row().cordons)
        )


def test_vm_is_maintained_only_once_its_shard_reports_it_drained(
    planner: FleetPlanner,
) -> None:
    planner.add_wave(Wave(1, ("a0", "z0"), 20.0, 2), 1.0)
    assert [order.vm for order in planner.plan(1.0)] == ["z0"]
    assert set(planner.cordons) == {"w-a0"}
    assert planner.plan(1.1) == []
    report_drained(planner)
    assert [order.vm for order in planner.plan(1.2)] == ["a0"]


def test_report_of_an_earlier_cordon_does_not_count(planner: FleetPlanner) -> None:
    planner.add_wave(Wave(1, ("a0",), 20.0, 2), 1.0)
    planner.plan(1.0)
    planner.reports["a"] = build_report(planner, "a", emptied={"w-a0": "upkeep#1.0"})
    assert planner.plan(1.2) == []


def test_wave_keeps_its_cap_until_a_later_list_shows_the_vm_up(
    planner: FleetPlanner,
) -> None:
    planner.add_wave(Wave(1, ("z0", "z1"), 20.0, 1), 1.0)
    (first,) = planner.plan(1.0)
    assert planner.plan(1.1) == []
    planner.apply_reply(first, VmReply.DONE, 1.2)
    assert planner.plan(1.3) == []
    planner.apply_vm_list(planner.vms.values(), 3.6)
    assert [order.vm for order in planner.plan(3.7)] == ["z1"]
    assert planner.list_complete_waves() == []


def test_wave_is_complete_when_each_vm_has_started_or_is_gone(
    planner: FleetPlanner,
) -> None:
    planner.add_wave(Wave(1, ("z0", "a3"), 20.0, 2), 1.0)
    (order,) = planner.plan(1.0)
    planner.apply_reply(order, VmReply.DONE, 1.2)
    assert planner.list_complete_waves() == []
    planner.apply_vm_list([vm for vm in planner.vms.values() if vm.name != "a3"], 2.0)
    assert planner.list_complete_waves() == [1]


def test_wave_is_not_complete_by_a_list_that_is_older_than_its_vm(
    planner: FleetPlanner,
) -> None:
    known = list(planner.vms.values())
    planner.apply_vm_list(known, 1.0)
    planner.add_wave(Wave(1, ("added",), 20.0, 1), 2.0)
    assert planner.list_complete_waves() == []
    # it was requested before the wave was read
    planner.apply_vm_list(known, 1.9)
    assert planner.list_complete_waves() == []
    added = attrs.evolve(known[0], name="added", worker_id="w-added")
    planner.apply_vm_list([*known, added], 2.4)
    assert planner.list_complete_waves() == []
    planner.apply_vm_list(known, 3.0)
    assert planner.list_complete_waves() == [1]


def test_pool_in_a_burst_is_not_drained_until_the_wave_would_be_late(
    planner: FleetPlanner,
) -> None:
    planner.busy = frozenset("a")
    planner.add_wave(Wave(1, ("a0", "a1"), 20.0, 1), 0.0)
    planner.plan(0.0)
    assert planner.cordons == {}
    planner.apply_vm_list(planner.vms.values(), 10.0)
    planner.plan(10.0)
    assert len(planner.cordons) == 1


def test_order_without_reply_is_sent_again(planner: FleetPlanner) -> None:
    planner.add_wave(Wave(1, ("z0",), 20.0, 1), 1.0)
    (order,) = planner.plan(1.0)
    planner.apply_reply(order, VmReply.UNKNOWN, 1.1)
    assert planner.plan(1.2) == []
    assert planner.plan(1.7) == [order]
    planner.apply_reply(order, VmReply.DONE, 1.8)
    assert planner.waves[1].done == {"z0"}


def test_spare_vms_move_to_a_pool_with_a_shortfall(planner: FleetPlanner) -> None:
    planner.sizes = {"a": 5, "b": 4}
    (order,) = planner.plan(1.0)
    assert order == VmOrder("z0", VmActionKind.MOVE, pool="a")
    planner.apply_reply(order, VmReply.DONE, 1.1)
    assert planner.plan(1.2) == []


def test_surplus_vms_are_drained_and_moved_to_the_pool_with_a_shortfall(
    planner: FleetPlanner,
) -> None:
    planner.sizes = {"a": 7, "b": 2}
    moves = planner.plan(1.0)
    assert {order.vm for order in moves} == {"z0", "z1"}
    assert len(planner.cordons) == 2
    report_drained(planner)
    pools = sorted(order.pool for order in planner.plan(1.2))
    assert pools == ["a", "spare"]


def test_vm_with_serving_tasks_does_not_move(planner: FleetPlanner) -> None:
    loads = {f"w-b{n}": WorkerLoad(1, 1, 100) for n in range(4)}
    planner.reports["b"] = report("b", workers=loads)
    planner.sizes = {"a": 4, "b": 1}
    planner.plan(1.0)
    assert planner.cordons == {}


def test_cordon_is_removed_when_the_pool_needs_its_vm_again(
    planner: FleetPlanner,
) -> None:
    planner.sizes = {"a": 4, "b": 3}
    planner.plan(1.0)
    assert len(planner.cordons) == 1
    planner.sizes = {"a": 4, "b": 4}
    planner.plan(1.1)
    assert planner.cordons == {}


def test_nothing_moves_while_vms_are_still_starting() -> None:
    planner = FleetPlanner(2.0, spare_pool="spare", shards=frozenset("a"))
    vms = build_vms("a", 4)
    vms[3] = attrs.evolve(vms[3], state=VmState.DOWN, worker_id="")
    planner.apply_vm_list([*vms, Vm("z0", "spare", VmState.UP)], 0.0)
    planner.reports["a"] = build_report(planner, "a")
    planner.sizes = {"a": 4}
    assert planner.plan(1.0) == []
    assert [order.vm for order in planner.plan(10.0)] == ["z0"]


def restart_fleet_controller(planner: FleetPlanner, now: float) -> FleetPlanner:
    """Build the planner of a successor that knows the same VMs."""
    row = decode_fleet_row(encode_fleet_row(planner.get_row()))
    successor = FleetPlanner(2.0, spare_pool="spare", shards=planner.shards)
    successor.restore(row, now, 3.7)
    successor.apply_vm_list(planner.vms.values(), now)
    successor.reports = dict(planner.reports)
    successor.sizes = dict(planner.sizes)
    return successor


@pytest.fixture
def starting_planner() -> FleetPlanner:
    """Planner with a VM that is not up, so that the start-up has not ended."""
    planner = FleetPlanner(2.0, spare_pool="spare", shards=frozenset("a"))
    vms = build_vms("a", 4)
    vms[3] = attrs.evolve(vms[3], state=VmState.DOWN, worker_id="")
    planner.apply_vm_list([*vms, Vm("z0", "spare", VmState.UP)], 0.0)
    planner.reports["a"] = build_report(planner, "a")
    planner.sizes = {"a": 3}
    assert planner.plan(1.0) == []
    return planner


def test_successor_moves_vms_at_once_if_the_start_up_has_ended(
    starting_planner: FleetPlanner,
) -> None:
    assert starting_planner.plan(1.1 + STARTUP_TIMEOUT_S) == []
    successor = restart_fleet_controller(starting_planner, 20.0)
    successor.sizes = {"a": 4}
    assert [order.vm for order in successor.plan(20.0)] == ["z0"]


def test_successor_moves_no_vms_if_the_start_up_has_not_ended(
    starting_planner: FleetPlanner,
) -> None:
    successor = restart_fleet_controller(starting_planner, 2.0)
    successor.sizes = {"a": 4}
    assert successor.plan(2.0) == []


def test_service_without_a_report_does_not_stop_all_moves_for_long(
    starting_planner: FleetPlanner,
) -> None:
    assert starting_planner.plan(1.1 + STARTUP_TIMEOUT_S) == []
    successor = restart_fleet_controller(starting_planner, 20.0)
    successor.shards = frozenset("ab")
    successor.sizes = {"a": 4}
    assert successor.plan(20.0) == []
    moves = successor.plan(20.1 + STARTUP_TIMEOUT_S)
    assert [order.vm for order in moves] == ["z0"]


def test_successor_knows_which_vms_were_maintained(planner: FleetPlanner) -> None:
    planner.add_wave(Wave(1, ("z0", "z1"), 20.0, 2), 1.0)
    for order in planner.plan(1.0):
        planner.apply_reply(order, VmReply.DONE, 1.1)
    successor = FleetPlanner(2.0, epoch=2)
    successor.add_wave(Wave(1, ("z0", "z1"), 20.0, 2), 5.0)
    row = decode_fleet_row(encode_fleet_row(planner.get_row()))
    successor.restore(row, 5.0, 3.7)
    successor.apply_vm_list(planner.vms.values(), 5.0)
    assert successor.list_complete_waves() == [1]


def test_successor_pauses_orders_only_for_recently_ordered_vms(
    planner: FleetPlanner,
) -> None:
    planner.add_wave(Wave(1, ("z0",), 20.0, 1), 1.0)
    assert [order.vm for order in planner.plan(1.0)] == ["z0"]
    row = decode_fleet_row(encode_fleet_row(planner.get_row()))
    assert row.ordered == {"z0"}
    successor = FleetPlanner(2.0, epoch=2)
    successor.add_wave(Wave(1, ("z0", "z1"), 20.0, 2), 5.0)
    successor.restore(row, 5.0, 3.7)
    successor.apply_vm_list(planner.vms.values(), 5.0)
    assert [order.vm for order in successor.plan(5.0)] == ["z1"]
    successor.apply_vm_list(planner.vms.values(), 8.5)
    assert [order.vm for order in successor.plan(8.6)] == []
    assert [order.vm for order in successor.plan(8.8)] == ["z0"]


def test_order_is_forgotten_once_it_is_no_longer_pending(planner: FleetPlanner) -> None:
    planner.add_wave(Wave(1, ("z0",), 20.0, 1), 1.0)
    (order,) = planner.plan(1.0)
    planner.forget_orders(2.0)
    assert planner.get_row().ordered == {"z0"}
    planner.apply_reply(order, VmReply.BUSY, 2.0)
    planner.forget_orders(0.5)
    assert planner.get_row().ordered == {"z0"}
    planner.forget_orders(2.1)
    assert planner.get_row().ordered == frozenset()


def test_arriving_work_counts_before_it_queues() -> None:
    sizer = PoolSizer()
    sizer.observe(report("a"), 1.0)
    arrived = report("a", offered=10.0, arrived_jobs=9, batch=2.0)
    sizer.observe(arrived, 1.3)
    reports = {"a": arrived}
    assert sizer.choose_sizes(reports, {"a": 8}, TOTAL, 1.4) == {"a": 10}
    late = 1.3 + SCALE_DOWN_WINDOW_S + WINDOW_S + 0.1
    assert sizer.choose_sizes(reports, {"a": 8}, TOTAL, late) == {"a": 8}


def test_single_large_job_counts_half_of_its_work() -> None:
    load = OfferedLoad()
    load.observe(report("a"), 0.9)
    load.observe(report("a", offered=5.0, arrived_jobs=1), 1.0)
    assert load.get_load("a", 1.5) == pytest.approx(2.5)


def test_offered_load_survives_a_change_of_owner() -> None:
    load = OfferedLoad()
    load.observe(report("a"), 0.9)
    load.observe(report("a", offered=5.0, arrived_jobs=6), 1.0)
    load.observe(report("a", epoch=2), 1.2)
    load.observe(report("a", epoch=2, offered=1.5, arrived_jobs=3), 1.4)
    assert load.get_load("a", 1.5) == pytest.approx(6.5 * 9 / 10)
    assert load.get_load("a", 2.3) == pytest.approx(1.5 * 3 / 4)
    assert load.get_load("b", 1.0) == 0.0


def test_pool_keeps_part_of_its_vms_before_its_first_burst() -> None:
    sizer = PoolSizer()
    reports = {"a": report("a"), "b": report("b")}
    base = {"a": 8, "b": 8}
    assert sizer.choose_sizes(reports, base, TOTAL, 0.0) == base
    now = observe_bursts(sizer.forecast, [("a", 3.0)])
    assert sizer.choose_sizes(reports, base, TOTAL, now + SCALE_DOWN_WINDOW_S) == {
        "a": 8,
        "b": 5,
    }
    reports["b"] = report("b", queued=8.0, batch=4.0)
    assert sizer.choose_sizes(reports, base, TOTAL, now + SCALE_DOWN_WINDOW_S)["b"] == 9


def test_new_fleet_controller_does_not_count_past_work_as_arriving() -> None:
    sizer = PoolSizer()
    past = report("a", epoch=3, offered=80.0, arrived_jobs=90)
    sizer.observe(past, 1.0)
    assert sizer.choose_sizes({"a": past}, {"a": 8}, TOTAL, 1.1) == {"a": 8}
    assert sizer.load.get_load("a", 1.1) == 0.0


def test_lower_bound_for_few_large_jobs_is_below_their_load() -> None:
    load = OfferedLoad()
    load.observe(report("a"), 0.9)
    load.observe(report("a", offered=36.0, arrived_jobs=3), 1.0)
    assert load.get_load("a", 1.5) == pytest.approx(27.0)
    assert load.get_load_lower_bound("a", 1.5) == pytest.approx(36.0 * (1 - 3**-0.5))
    assert load.get_load_lower_bound("b", 1.5) == 0.0


def test_pool_grows_beyond_the_expected_limit_only_by_the_lower_bound() -> None:
    sizer = PoolSizer()
    sizer.observe(report("a"), 0.9)
    few = report("a", offered=36.0, arrived_jobs=3)
    sizer.observe(few, 1.0)
    assert sizer.choose_sizes({"a": few}, {"a": 8}, 60, 1.1) == {"a": 17}
    single = report("a", offered=54.0, arrived_jobs=4)
    sizer = PoolSizer()
    sizer.observe(few, 1.0)
    sizer.observe(single, 1.2)
    assert sizer.choose_sizes({"a": single}, {"a": 8}, 60, 1.3) == {"a": 10}
    sizer = PoolSizer()
    sizer.observe(report("a"), 0.9)
    many = report("a", offered=36.0, arrived_jobs=81)
    sizer.observe(many, 1.0)
    assert sizer.choose_sizes({"a": many}, {"a": 8}, 60, 1.1) == {"a": 36}


def test_vm_in_maintenance_does_not_stand_in_for_one_that_its_tasks_need(
    planner: FleetPlanner,
) -> None:
    planner.add_wave(Wave(1, ("a0",), 20.0, 1), 1.0)
    planner.sizes = {"a": 4, "b": 4}
    planner.plan(1.0)
    assert set(planner.cordons) == {"w-a0"}
    assert planner.plan(1.1) == []
    loads = {f"w-a{n}": WorkerLoad(1, 1, 100) for n in range(4)}
    planner.reports["a"] = report("a", workers=loads, serving_vms=4)
    assert [order.pool for order in planner.plan(1.2)] == ["a"]
    assert planner.plan(1.3) == []


def test_cordoned_surplus_is_used_again_for_serving_tasks_that_need_it(
    planner: FleetPlanner,
) -> None:
    planner.sizes = {"a": 2, "b": 4}
    planner.plan(1.0)
    cordoned = set(planner.cordons)
    assert len(cordoned) == 2
    planner.reports["a"] = build_report(planner, "a", serving_vms=3)
    planner.sizes = {"a": 3, "b": 4}
    with structlog.testing.capture_logs() as lines:
        planner.plan(1.1)
    assert len(planner.cordons) == 1
    (lifted,) = [line["workers"] for line in lines if "lifted" in line["event"]]
    assert set(lifted) == cordoned - set(planner.cordons)


def test_serving_tasks_take_no_vms_that_were_allocated_to_another_pool(
    planner: FleetPlanner,
) -> None:
    planner.sizes = {"a": 5, "b": 5}
    planner.reports["b"] = build_report(planner, "b", serving_vms=9)
    assert sorted(order.pool for order in planner.plan(1.0)) == ["a", "b"]


def test_vm_out_of_reach_does_not_stand_in_for_one_that_serving_tasks_need(
    planner: FleetPlanner,
) -> None:
    planner.sizes = {"a": 4, "b": 4}
    assert planner.plan(1.0) == []
    loads = {f"w-a{n}": WorkerLoad(1, 1, 100) for n in range(3)}
    planner.reports["a"] = report("a", workers=loads, serving_vms=4)
    assert planner.plan(1.0 + REGISTRATION_RETURN_S) == []
    (order,) = planner.plan(1.1 + REGISTRATION_RETURN_S)
    assert order.pool == "a"
    planner.apply_reply(order, VmReply.DONE, 4.0)
    moved = attrs.evolve(planner.vms[order.vm], pool="a", worker_id="w-new")
    planner.apply_vm_list([*planner.vms.values(), moved], 6.0)
    assert planner.plan(6.1) == []
    assert planner.plan(9.0) == []


def test_vm_goes_to_serving_tasks_before_a_pool_with_a_larger_shortfall(
    planner: FleetPlanner,
) -> None:
    planner.sizes = {"a": 14, "b": 5}
    planner.reports["b"] = build_report(planner, "b", serving_vms=5)
    assert sorted(order.pool for order in planner.plan(1.0)) == ["a", "b"]


def test_log_tells_why_a_burst_was_assumed_and_which_period_follows() -> None:
    forecast = BurstForecast()
    with structlog.testing.capture_logs() as lines:
        observe_bursts(forecast, [("a", 5.0), ("b", 5.0), ("a", 0.5)])
    shown = [
        (line["event"], line["service"], line["jobs"], line["period_s"])
        for line in lines
    ]
    assert shown[0] == ("burst begun", "a", 4, None)
    assert [item[:2] for item in shown[1:]] == [
        ("burst begun", "b"),
        ("burst over", "a"),
        ("burst begun", "a"),
    ]
    assert shown[-1][3] == pytest.approx(9.5, abs=0.5)
    assert lines[-1]["began_s"][-1] < 1.0
