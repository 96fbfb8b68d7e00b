"""The check of the cap of maintenance waves."""

import random
import typing as t

import pytest

from onyxgap.pools.messages import VmActionKind
from onyxgap.pools.messages import VmOrder
from onyxgap.pools.messages import Wave
from onyxgap.standins.emulator.callers import Callers
from onyxgap.standins.emulator.checks import Evidence
from onyxgap.standins.emulator.checks import check_waves
from onyxgap.standins.emulator.cloud import OrderEffect
from onyxgap.standins.emulator.cloud import OrderRecord
from onyxgap.standins.emulator.tenancy import Tenancy

WAVE = Wave(1, ("ring-0", "ring-1"), 12.0, 1)
Orders = t.Sequence[tuple[float, str]]


def list_rules(orders: Orders) -> list[str]:
    """Check a wave with a cap of one; return the broken rules.

    :param orders: second and VM of each order of maintenance.
    """
    rng = random.Random(1)
    tenancy = Tenancy([], rng)
    records = [
        OrderRecord(at, VmOrder(vm, VmActionKind.UPKEEP, wave=1), "node-0", 1, "node-0")
        for at, vm in orders
    ]
    maintained = {vm: {1} for vm in WAVE.vms}
    callers = Callers(list, rng, tenancy)
    evidence = Evidence(callers, [], records, (WAVE,), maintained, tenancy)
    return [breach.rule for breach in check_waves(evidence)]


@pytest.mark.parametrize(
    "orders",
    [
        [(1.0, "ring-0"), (2.9, "ring-1")],
        [(1.0, "ring-0"), (1.5, "ring-0"), (2.5, "ring-1")],
        [(1.0, "ring-0"), (1.0, "ring-1")],
    ],
)
def test_more_vms_down_than_the_cap_allows_is_a_breach(orders: Orders) -> None:
    assert set(list_rules(orders)) == {"limit"}


@pytest.mark.parametrize(
    "orders",
    [
        [(1.0, "ring-0"), (1.6, "ring-0"), (3.7, "ring-1")],
        [(1.0, "ring-0"), (3.1, "ring-1"), (3.6, "ring-1")],
    ],
)
def test_order_that_is_repeated_for_one_vm_counts_once(orders: Orders) -> None:
    assert list_rules(orders) == []


def check_unmaintained(
    down_since: t.Mapping[str, float], *orders: OrderRecord
) -> list[str]:
    """Check a wave asked for at 10 s, of which no VM was maintained.

    :param down_since: second of the crash of each VM that is down at the end.
    :param orders: records of orders.
    """
    rng = random.Random(1)
    tenancy = Tenancy([], rng)
    evidence = Evidence(
        Callers(list, rng, tenancy),
        [],
        list(orders),
        (WAVE,),
        {},
        tenancy,
        asked_at={1: 10.0},
        down_since=down_since,
    )
    return [breach.detail for breach in check_waves(evidence)]


def test_vm_that_is_never_maintained_is_a_breach() -> None:
    assert len(check_unmaintained({})) == 2


@pytest.mark.parametrize("at", [5.0, 10.0, 21.9])
def test_vm_that_went_down_for_good_before_the_deadline_is_no_breach(at: float) -> None:
    assert check_unmaintained({"ring-0": at}) == ["ring-1 was not maintained"]


def test_vm_that_went_down_for_good_after_the_deadline_is_a_breach() -> None:
    assert len(check_unmaintained({"ring-0": 22.1})) == 2


def test_vm_that_the_platform_calls_not_due_is_no_breach() -> None:
    order = VmOrder("ring-1", VmActionKind.UPKEEP, wave=1)
    record = OrderRecord(11.0, order, "node-0", 1, "node-0", OrderEffect.DISOWNED)
    assert check_unmaintained({}, record) == ["ring-0 was not maintained"]


def test_vm_that_hangs_in_maintenance_counts_toward_the_cap() -> None:
    records = [
        OrderRecord(
            at,
            VmOrder(vm, VmActionKind.UPKEEP, wave=1),
            "node-0",
            1,
            "node-0",
            down_s=9,
        )
        for at, vm in ((11.0, "ring-0"), (15.0, "ring-1"))
    ]
    assert "2 VMs down, cap 1" in check_unmaintained({}, *records)


def test_late_order_counts_toward_the_cap_when_it_is_carried_out() -> None:
    effects = [OrderEffect.NONE, OrderEffect.AT_ONCE, OrderEffect.LATE]
    records = [
        OrderRecord(
            at, VmOrder(vm, VmActionKind.UPKEEP, wave=1), "node-0", 1, "node-0", effect
        )
        for at, vm, effect in zip(
            (11.0, 16.0, 17.0), ("ring-0", "ring-1", "ring-0"), effects, strict=True
        )
    ]
    assert "2 VMs down, cap 1" in check_unmaintained({}, *records)
