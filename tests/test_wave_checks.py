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
