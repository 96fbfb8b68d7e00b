"""Sizes of pools while a burst begins, before its load is measured."""

import attrs
import pytest

from onyxgap.pools.messages import PoolReport
from onyxgap.pools.sizing import BURST_RISE_S
from onyxgap.pools.sizing import SCALE_DOWN_WINDOW_S
from onyxgap.pools.sizing import PoolSizer

BASE = {"ring": 30, "herd": 30}
FLEET_VMS = 90
STARTED_AT = 10.0


def report(shard: str, **changes: float) -> PoolReport:
    return attrs.evolve(PoolReport(shard, epoch=1), **changes)


@pytest.fixture
def sizer() -> PoolSizer:
    """Return a sizer that has just seen a burst of ring begin."""
    sizer = PoolSizer()
    sizer.choose_sizes({}, BASE, FLEET_VMS, 0.0)
    sizer.observe(report("ring"), STARTED_AT - 0.5)
    sizer.observe(report("ring", arrived_jobs=14, offered=20.0), STARTED_AT)
    assert sizer.list_busy() == {"ring"}
    return sizer


def test_pool_outgrows_its_base_as_soon_as_its_burst_begins(sizer: PoolSizer) -> None:
    reports = {"ring": report("ring"), "herd": report("herd")}
    sizes = sizer.choose_sizes(reports, BASE, FLEET_VMS, STARTED_AT)
    assert sizes["ring"] > 1.5 * BASE["ring"]
    assert sum(sizes.values()) <= FLEET_VMS


def test_growth_of_a_small_burst_ends_with_its_rise(sizer: PoolSizer) -> None:
    reports = {"ring": report("ring"), "herd": report("herd")}
    over_at = STARTED_AT + BURST_RISE_S + SCALE_DOWN_WINDOW_S
    sizes = sizer.choose_sizes(reports, BASE, FLEET_VMS, over_at)
    assert sizes["ring"] <= BASE["ring"]


def test_burst_that_begins_takes_no_vms_that_others_need(sizer: PoolSizer) -> None:
    busy = report("herd", batch=60.0)
    reports = {"ring": report("ring"), "herd": busy}
    sizes = sizer.choose_sizes(reports, BASE, FLEET_VMS, STARTED_AT)
    assert sizes["herd"] >= 66
