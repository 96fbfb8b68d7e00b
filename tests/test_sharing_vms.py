"""Allocation of VMs to pools that request more than there are."""

import typing as t

import attrs
from hypothesis import given
from hypothesis import strategies

from onyxgap.pools.allocation import PoolClaim
from onyxgap.pools.allocation import allocate_vms
from onyxgap.pools.messages import PoolReport
from onyxgap.pools.sizing import PoolSizer

FLEET_VMS = 272
"""VMs of a fleet of five pools, including the spare pool."""
BASE = {"a": 48, "b": 54, "c": 60, "d": 66}


@strategies.composite
def draw_claims(draw: t.Any) -> dict[str, PoolClaim]:
    """Draw the claims of some pools."""
    names = draw(strategies.sets(strategies.sampled_from("abcdefg"), min_size=1))
    return {
        name: PoolClaim(needed, needed + draw(strategies.integers(0, 80)))
        for name in names
        for needed in [draw(strategies.integers(0, 200))]
    }


@given(draw_claims(), strategies.integers(0, 600))
def test_allocation_does_not_exceed_the_total(
    claims: dict[str, PoolClaim], total: int
) -> None:
    sizes = allocate_vms(claims, total)
    assert sum(sizes.values()) == min(
        total, sum(claim.wanted for claim in claims.values())
    )
    for pool, claim in claims.items():
        assert 0 <= sizes[pool] <= claim.wanted


@given(draw_claims(), strategies.integers(0, 600))
def test_current_work_goes_before_reserves(
    claims: dict[str, PoolClaim], total: int
) -> None:
    sizes = allocate_vms(claims, total)
    reserve_allocated = any(
        sizes[pool] > claim.needed for pool, claim in claims.items()
    )
    all_needed = all(sizes[pool] >= claim.needed for pool, claim in claims.items())
    assert all_needed or not reserve_allocated


@given(draw_claims(), strategies.integers(0, 600), strategies.integers(1, 200))
def test_late_tasks_take_no_vm_that_a_pool_claims(
    claims: dict[str, PoolClaim], total: int, late: int
) -> None:
    sizes = allocate_vms(claims, total)
    late_claims = {
        pool: attrs.evolve(claim, late=late) for pool, claim in claims.items()
    }
    with_late = allocate_vms(late_claims, total)
    assert sum(with_late.values()) <= total
    for pool, claim in claims.items():
        assert sizes[pool] <= with_late[pool] <= max(claim.wanted, late)


def test_late_tasks_get_the_vms_that_no_pool_claims() -> None:
    claims = {"late": PoolClaim(3, 4, late=9), "other": PoolClaim(2, 6)}
    assert allocate_vms(claims, 20) == {"late": 9, "other": 6}
    assert allocate_vms(claims, 12) == {"late": 6, "other": 6}
    assert allocate_vms(claims, 10) == {"late": 4, "other": 6}


def test_pool_under_load_gets_the_reserves_of_other_pools() -> None:
    """Guards against a cap at twice the base size of the pool.

    With that cap, a demand for 172 VMs was given only 120.
    """
    sizer = PoolSizer()
    reports = {
        pool: PoolReport(pool, serving=9.0, epoch=1) for pool in BASE if pool != "c"
    }
    reports["c"] = PoolReport("c", serving=9.0, batch=60.0, queued=174.0, epoch=1)
    sizes = sizer.choose_sizes(reports, BASE, FLEET_VMS, 1.0)
    assert sizes["c"] == 172
    assert sum(sizes.values()) == FLEET_VMS


def test_serving_tasks_without_a_worker_go_before_the_backlog_of_a_burst() -> None:
    claims = {"burst": PoolClaim(100, 100), "quiet": PoolClaim(12, 12, serving=12)}
    assert allocate_vms(claims, 80) == {"burst": 68, "quiet": 12}


def test_serving_tasks_share_a_fleet_that_is_too_small_for_them() -> None:
    claims = {name: PoolClaim(12, 12, serving=12) for name in "ab"}
    assert allocate_vms(claims, 16) == {"a": 8, "b": 8}


def test_pool_keeps_a_vm_beside_serving_tasks_that_need_them_all() -> None:
    claims = {"quiet": PoolClaim(2, 2), "serving": PoolClaim(14, 14, serving=14)}
    assert allocate_vms(claims, 12) == {"quiet": 1, "serving": 11}
