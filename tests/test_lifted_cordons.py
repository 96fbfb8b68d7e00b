"""Cordons of the fleet controller come to an end, whatever the platform answers."""

import typing as t

import attrs
import pytest

from onyxgap.pools.messages import PoolReport
from onyxgap.pools.messages import Vm
from onyxgap.pools.messages import VmOrder
from onyxgap.pools.messages import VmReply
from onyxgap.pools.messages import VmState
from onyxgap.pools.messages import Wave
from onyxgap.pools.messages import WorkerLoad
from onyxgap.pools.order_outcomes import LATE_ORDER_S
from onyxgap.pools.planner import FleetPlanner

TICK_S = 0.25
POOL = "a"
NAMES = tuple(f"a{n}" for n in range(4))
Answer = t.Callable[[VmOrder, float], VmReply]


def build_vms(states: t.Mapping[str, VmState]) -> list[Vm]:
    return [
        Vm(name, POOL, states[name])
        if name in states
        else Vm(name, POOL, VmState.UP, worker_id=f"w-{name}")
        for name in NAMES
    ]


class Fleet:
    """Four VMs of one pool, whose owner reports cordoned workers as drained at once.

    :param answer: reply of the platform to an order at a time.
    :param latency_s: time after which the replies come.
    """

    def __init__(self, answer: Answer, latency_s: float = 0.0) -> None:
        self.answer = answer
        self.latency_s = latency_s
        self.replies: list[tuple[float, VmOrder, VmReply]] = []
        self.planner = FleetPlanner(
            2.0, epoch=1, spare_pool="spare", shards=frozenset({POOL})
        )
        self.planner.sizes = {POOL: 4}
        self.states: dict[str, VmState] = {}
        self.spare: list[Vm] = []
        self.moved: dict[str, str] = {}
        self.drain_s = 0.0
        self.never_drained: set[str] = set()
        self.seen_cordons: dict[str, float] = {}
        self.orders: list[tuple[float, VmOrder]] = []
        self.lists_away_from = float("inf")
        self.report: dict[str, t.Any] = {}
        self.now = 0.0

    def play(self, seconds: float) -> None:
        """Plan for some seconds; lists and reports are never older than a tick."""
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_S
            if self.now < self.lists_away_from:
                self.planner.apply_vm_list([*self.build_vms(), *self.spare], self.now)
            self.planner.reports[POOL] = self.build_report()
            for order in self.planner.plan(self.now):
                self.orders.append((self.now, order))
                reply = self.answer(order, self.now)
                self.replies.append((self.now + self.latency_s, order, reply))
            self.deliver_replies()

    def deliver_replies(self) -> None:
        for item in [item for item in self.replies if item[0] <= self.now]:
            self.replies.remove(item)
            self.planner.apply_reply(item[1], item[2], self.now)

    def build_vms(self) -> list[Vm]:
        return [
            attrs.evolve(vm, pool=self.moved[vm.name], worker_id="")
            if vm.name in self.moved
            else vm
            for vm in build_vms(self.states)
        ]

    def build_report(self) -> PoolReport:
        cordons = self.planner.get_row().cordons
        self.seen_cordons = {
            cordon_id: self.seen_cordons.get(cordon_id, self.now)
            for cordon_id in cordons.values()
        }
        drained = {
            worker_id: cordon_id
            for worker_id, cordon_id in cordons.items()
            if self.now - self.seen_cordons[cordon_id] >= self.drain_s
            and worker_id not in self.never_drained
        }
        workers = {f"w-{name}": WorkerLoad(0, 0, 0) for name in NAMES}
        return PoolReport(POOL, workers, drained, epoch=1, **self.report)

    def list_cordoned(self) -> list[str]:
        return sorted(self.planner.cordons)


def build_fleet(reply: VmReply, latency_s: float = 0.0) -> Fleet:
    return Fleet(lambda order, now: reply, latency_s)


def test_cordons_of_vms_that_are_not_due_are_lifted() -> None:
    fleet = build_fleet(VmReply.NOT_DUE)
    fleet.planner.add_wave(Wave(1, NAMES[:3], 8.0, 3), 0.0)
    fleet.play(20)
    assert fleet.orders
    assert fleet.list_cordoned() == []


def test_wave_does_not_keep_vms_closed_behind_others_whose_upkeep_hangs() -> None:
    fleet = build_fleet(VmReply.DONE)

    def hang(order: VmOrder, now: float) -> VmReply:
        fleet.states[order.vm] = VmState.UPKEEP
        return VmReply.DONE

    fleet.answer = hang
    fleet.planner.add_wave(Wave(1, NAMES, 8.0, 2), 0.0)
    fleet.play(20)
    assert len(fleet.states) == 2
    assert not [name for name in NAMES if f"w-{name}" in fleet.planner.cordons]


@pytest.mark.parametrize("latency_s", [0.0, 0.3, 1.0, 2.0])
@pytest.mark.parametrize("reply", [VmReply.UNKNOWN, VmReply.RETRY])
def test_upkeep_that_gets_no_answer_closes_one_vm_at_most(
    reply: VmReply, latency_s: float
) -> None:
    fleet = build_fleet(reply, latency_s)
    fleet.planner.add_wave(Wave(1, NAMES, 8.0, 3), 0.0)
    fleet.play(30)
    assert fleet.orders
    assert len(fleet.list_cordoned()) <= 1


@pytest.mark.parametrize("reply", [VmReply.UNKNOWN, VmReply.RETRY])
def test_surplus_that_is_not_moved_is_open_again_to_a_pool_that_needs_it(
    reply: VmReply,
) -> None:
    fleet = build_fleet(reply)
    fleet.planner.sizes = {POOL: 1}
    fleet.play(3)
    assert fleet.orders
    fleet.planner.sizes = {POOL: 4}
    fleet.play(LATE_ORDER_S + 2)
    assert len(fleet.list_cordoned()) <= 1


@pytest.mark.parametrize("after_unanswered", [VmReply.RETRY, VmReply.UNKNOWN])
def test_vm_with_an_unanswered_order_stays_closed_until_it_is_void(
    after_unanswered: VmReply,
) -> None:
    sent: list[float] = []

    def answer(order: VmOrder, now: float) -> VmReply:
        sent.append(now)
        return VmReply.UNKNOWN if len(sent) == 1 else after_unanswered

    fleet = Fleet(answer)
    fleet.planner.sizes = {POOL: 3}
    fleet.play(2)
    (worker_id,) = fleet.list_cordoned()
    fleet.planner.sizes = {POOL: 4}
    while fleet.now < sent[0] + LATE_ORDER_S - TICK_S:
        fleet.play(TICK_S)
        assert worker_id in fleet.planner.cordons


def test_successor_keeps_vms_closed_about_which_an_order_may_be_in_flight() -> None:
    fleet = build_fleet(VmReply.UNKNOWN)
    fleet.planner.sizes = {POOL: 3}
    fleet.play(2)
    (worker_id,) = fleet.list_cordoned()
    row = fleet.planner.get_row()
    successor = build_fleet(VmReply.UNKNOWN)
    successor.planner.epoch = 2
    successor.planner.restore(row, 0.0, 3.7)
    successor.planner.sizes = {POOL: 4}
    successor.play(LATE_ORDER_S - 1)
    assert worker_id in successor.planner.cordons
    assert not successor.orders or successor.orders[0][0] >= 3.7


def test_drained_vms_without_an_order_are_opened_while_lists_are_away() -> None:
    fleet = build_fleet(VmReply.RETRY)
    fleet.planner.sizes = {POOL: 1}
    fleet.play(0.5)
    assert fleet.list_cordoned()
    fleet.lists_away_from = fleet.now
    fleet.play(4)
    assert fleet.list_cordoned() == []


def test_maintenance_goes_on_once_orders_are_answered_again() -> None:
    fleet = build_fleet(VmReply.UNKNOWN)
    back_at = 20.0

    def answer(order: VmOrder, now: float) -> VmReply:
        if now < back_at:
            return VmReply.UNKNOWN
        return VmReply.DONE

    fleet.answer = answer
    fleet.planner.add_wave(Wave(1, NAMES, 30.0, 2), 0.0)
    fleet.play(back_at + 25)
    assert fleet.planner.list_complete_waves() == [1]


def test_vm_that_is_cordoned_for_long_does_not_stand_in_for_one_that_is_needed() -> (
    None
):
    fleet = build_fleet(VmReply.BUSY)
    fleet.spare = [Vm("z0", "spare", VmState.UP)]
    fleet.planner.add_wave(Wave(1, NAMES[:1], 8.0, 1), 0.0)
    fleet.play(20)
    moves = [order.vm for _, order in fleet.orders if order.pool == POOL]
    assert fleet.list_cordoned() == [] or "z0" in moves


def test_vm_with_a_move_in_flight_is_not_opened_by_a_move_back() -> None:
    sent: list[float] = []

    def answer(order: VmOrder, now: float) -> VmReply:
        sent.append(now)
        return VmReply.UNKNOWN if len(sent) == 1 else VmReply.DONE

    fleet = Fleet(answer)
    fleet.planner.sizes = {POOL: 3}
    fleet.play(3)
    (moved,) = {order.vm for _, order in fleet.orders}
    fleet.states[moved] = VmState.MOVING
    fleet.play(2)
    del fleet.states[moved]
    fleet.moved = {moved: "spare"}
    fleet.planner.sizes = {POOL: 4}
    while fleet.now < sent[0] + LATE_ORDER_S - TICK_S:
        fleet.play(TICK_S)
        assert [order for _, order in fleet.orders if order.pool == POOL] == []


def test_successor_sends_no_other_order_about_a_vm_whose_order_may_be_in_flight() -> (
    None
):
    fleet = build_fleet(VmReply.UNKNOWN)
    fleet.planner.sizes = {POOL: 3}
    fleet.play(0.75)
    row = fleet.planner.get_row()
    (name,) = row.ordered
    successor = build_fleet(VmReply.DONE)
    successor.planner.epoch = 2
    successor.planner.restore(row, 0.0, 3.7)
    successor.planner.sizes = {POOL: 3}
    successor.planner.add_wave(Wave(1, (name,), 8.0, 1), 0.0)
    successor.play(LATE_ORDER_S - 1)
    assert name not in {order.vm for _, order in successor.orders}


def test_wave_keeps_its_cap_beside_an_order_that_may_be_carried_out_late() -> None:
    sent: list[str] = []

    def answer(order: VmOrder, now: float) -> VmReply:
        sent.append(order.vm)
        if len(sent) == 1:
            return VmReply.UNKNOWN
        return VmReply.BUSY if order.vm == sent[0] else VmReply.DONE

    fleet = Fleet(answer)
    fleet.planner.add_wave(Wave(1, NAMES, 8.0, 1), 0.0)
    fleet.play(10)
    assert len({order.vm for _, order in fleet.orders}) == 1


@pytest.mark.parametrize("drain_s", [7.0, 10.0])
def test_wave_ends_beside_waiting_work_though_workers_take_long_to_drain(
    drain_s: float,
) -> None:
    fleet = build_fleet(VmReply.DONE)
    fleet.report = {"queued": 1.0}
    fleet.drain_s = drain_s
    fleet.planner.add_wave(Wave(1, NAMES, 20.0, 2), 0.0)
    fleet.play(60)
    assert fleet.planner.list_complete_waves() == [1]


def test_single_refusal_does_not_stop_maintenance_for_long() -> None:
    replies = iter([VmReply.RETRY])
    fleet = Fleet(lambda order, now: next(replies, VmReply.DONE))
    fleet.planner.sizes = {POOL: 3}
    fleet.play(1)
    fleet.planner.sizes = {POOL: 4}
    fleet.planner.add_wave(Wave(1, NAMES[1:2], 8.0, 1), 1.0)
    fleet.play(12)
    assert fleet.planner.list_complete_waves() == [1]


def test_successor_goes_on_with_maintenance_after_the_pause_between_controllers() -> (
    None
):
    fleet = build_fleet(VmReply.UNKNOWN)
    fleet.planner.add_wave(Wave(1, NAMES[:2], 8.0, 2), 0.0)
    fleet.play(1)
    row = fleet.planner.get_row()
    assert row.ordered
    successor = build_fleet(VmReply.DONE)
    successor.planner.epoch = 2
    successor.planner.restore(row, 0.0, 3.7)
    successor.planner.add_wave(Wave(1, NAMES[:2], 8.0, 2), 0.0)
    successor.play(5)
    assert successor.planner.list_complete_waves() == [1]


def test_late_wave_does_not_close_most_of_a_pool_beside_waiting_work() -> None:
    fleet = build_fleet(VmReply.DONE)
    fleet.drain_s = 2.0
    fleet.report = {"queued": 3.0}
    fleet.planner.add_wave(Wave(1, NAMES, 4.0, 4), 0.0)
    fleet.play(1)
    assert len(fleet.list_cordoned()) == 2


@pytest.mark.parametrize("report", [{}, {"queued": 3.0}])
def test_wave_maintains_every_vm_of_a_pool_whether_work_waits_or_not(
    report: dict[str, float],
) -> None:
    fleet = build_fleet(VmReply.DONE)
    fleet.report = report
    fleet.planner.add_wave(Wave(1, NAMES, 4.0, 4), 0.0)
    fleet.play(20)
    assert {order.vm for _, order in fleet.orders} == set(NAMES)


def test_vms_that_return_from_maintenance_later_make_no_other_vm_a_surplus() -> None:
    fleet = build_fleet(VmReply.DONE)
    fleet.planner.sizes = {POOL: 2}
    fleet.drain_s = 2.0
    fleet.report = {"queued": 3.0}
    fleet.planner.add_wave(Wave(1, NAMES[:2], 4.0, 2), 0.0)
    fleet.play(1)
    assert fleet.list_cordoned() == ["w-a0", "w-a1"]


def test_wave_ends_although_two_workers_of_a_busy_pool_never_drain() -> None:
    fleet = build_fleet(VmReply.DONE)
    fleet.report = {"queued": 3.0}
    fleet.never_drained = {"w-a0", "w-a1"}
    fleet.planner.add_wave(Wave(1, NAMES, 4.0, 4), 0.0)
    fleet.play(20)
    assert {order.vm for _, order in fleet.orders} >= {"a2", "a3"}
