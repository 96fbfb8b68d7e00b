"""Allocates the VMs of a fleet to pools when they request more than there are.

Pools are not sized one by one: a pool may be late for lack of VMs that another pool
only keeps in reserve. VMs for current work are therefore allocated before reserves,
and before all others those for serving tasks that have no worker: such a task can't
make up for the time in which it is away. Late tasks get the VMs that nobody claims, and
what they leave is kept for the loss of a VM.
"""

import math
import typing as t

import attrs


@attrs.frozen(slots=True)
class PoolClaim:
    """Number of VMs that a pool requests.

    :param needed: VMs for its current work.
    :param wanted: VMs including its reserve; at least ``needed``.
    :param serving: VMs for its serving tasks if some of these have no worker, at most
        ``needed``; else 0.
    :param late: VMs with which its late tasks go on, including all others; 0 if none of
        these tasks waits for a VM.
    :param redundant: VMs with which the loss of one leaves room for its serving tasks,
        including all others; 0 if that is so anyway.
    """

    needed: int
    wanted: int
    serving: int = 0
    late: int = 0
    redundant: int = 0


def allocate_vms(claims: t.Mapping[str, PoolClaim], total: int) -> dict[str, int]:
    """Choose the size of each pool; the sum is at most ``total``.

    :param claims: claim by pool.
    :param total: VMs of the fleet, including those of the spare pool.
    """
    needed = {pool: claim.needed for pool, claim in claims.items()}
    if sum(needed.values()) >= total:
        return _allocate_needed(claims, total)
    reserves = {pool: claim.wanted - claim.needed for pool, claim in claims.items()}
    allocated = _allocate_proportionally(reserves, total - sum(needed.values()))
    sizes = {pool: needed[pool] + allocated[pool] for pool in claims}
    for requested in (
        {pool: claim.late for pool, claim in claims.items()},
        {pool: claim.redundant for pool, claim in claims.items()},
    ):
        sizes = _allocate_unclaimed(sizes, requested, total)
    return sizes


def _allocate_unclaimed(
    sizes: t.Mapping[str, int], requested: t.Mapping[str, int], total: int
) -> dict[str, int]:
    """Enlarge pools up to the requested sizes by VMs that no other pool claims."""
    lacking = {pool: max(0, requested[pool] - size) for pool, size in sizes.items()}
    allocated = _allocate_proportionally(lacking, total - sum(sizes.values()))
    return {pool: size + allocated[pool] for pool, size in sizes.items()}


def _allocate_needed(claims: t.Mapping[str, PoolClaim], total: int) -> dict[str, int]:
    """Allocate fewer VMs than the pools need for their current work.

    VMs for serving tasks go first. One is left for each pool with other work: without
    any, none of its jobs would ever run.
    """
    others = {pool: claim.needed - claim.serving for pool, claim in claims.items()}
    left = sum(count > 0 for count in others.values())
    serving = _allocate_proportionally(
        {pool: claim.serving for pool, claim in claims.items()}, max(0, total - left)
    )
    rest = _allocate_proportionally(others, total - sum(serving.values()))
    return {pool: serving[pool] + rest[pool] for pool in claims}


def _allocate_proportionally(
    requested: t.Mapping[str, int], total: int
) -> dict[str, int]:
    """Allocate each pool the same fraction of its request, in whole VMs."""
    if sum(requested.values()) <= total:
        return dict(requested)
    share = total / sum(requested.values())
    allocated = {pool: math.floor(count * share) for pool, count in requested.items()}
    by_remainder = sorted(
        requested, key=lambda pool: (allocated[pool] - requested[pool] * share, pool)
    )
    for pool in by_remainder[: total - sum(allocated.values())]:
        allocated[pool] += 1
    return allocated
