"""Checks of tenants: keys as the configuration says, and caps on what runs."""

import collections
import typing as t

from ...jobs.amounts import ZERO_AMOUNT
from ...jobs.amounts import Amount
from .breach import Breach
from .runs import RunRecord
from .tenancy import Access
from .tenancy import KeyLife
from .tenancy import Tenancy

CONFIGURATION_S = 2.0
"""Time after which a version must be in force; that of the emulated nodes' settings."""
UNSTABLE_S = 5.0
"""Longer time while the store itself keeps changes back, and as long after it."""


def check_keys(tenancy: Tenancy) -> t.Iterator[Breach]:
    """Check that keys are served and refused as a version in force says."""
    for access in tenancy.accesses:
        life = tenancy.lives.get(access.key)
        if life is None:
            if access.served:
                yield Breach("route", access.sent_at, "served by a key of nobody")
            continue
        bound_s = get_configuration_bound(tenancy, access.sent_at)
        if access.served and access.sent_at > life.removed_at + bound_s:
            age_s = access.sent_at - life.removed_at
            detail = f"served {age_s:.2f} s after its key was taken back"
            yield Breach("config", access.sent_at, detail)
        if access.fault is not None and _is_surely_valid(access, life):
            detail = f"key of {life.tenant} refused: {access.fault.value}"
            yield Breach("config", access.sent_at, detail)


def get_configuration_bound(tenancy: Tenancy, at: float) -> float:
    """Return the seconds after which a version must be in force at a point in time."""
    near = any(begin <= at <= end + UNSTABLE_S for begin, end in tenancy.deaf)
    return CONFIGURATION_S + UNSTABLE_S if near else CONFIGURATION_S


def _is_surely_valid(access: Access, life: KeyLife) -> bool:
    known_at = life.added_at + CONFIGURATION_S if life.added_at else 0.0
    answered_at = access.answered_at or access.sent_at
    # a node that stood still may look at a call only after its key was taken back
    return known_at <= access.sent_at and answered_at < life.removed_at


def check_caps(
    tenancy: Tenancy,
    records: t.Sequence[RunRecord],
    find: t.Callable[[RunRecord], tuple[str, Amount]],
) -> t.Iterator[Breach]:
    """Check that no start brings what a tenant has running above its cap.

    Of caps that may be in force the highest counts.

    :param tenancy: all tenants.
    :param records: runs on workers.
    :param find: gives the tenant of a run, and what it has in use.
    """
    events: list[tuple[float, bool, RunRecord]] = []
    for record in records:
        events.append((record.began, True, record))
        if record.ended is not None:
            events.append((record.ended, False, record))
    # at one moment ends go first
    events.sort(key=lambda event: event[:2])
    used: dict[str, Amount] = collections.defaultdict(lambda: ZERO_AMOUNT)
    for at, starts, record in events:
        tenant, amount = find(record)
        if not tenant:
            continue
        if not starts:
            used[tenant] -= amount
            continue
        used[tenant] += amount
        cap = tenancy.find_highest_cap(tenant, at - CONFIGURATION_S, at)
        if not used[tenant].fits(cap):
            yield Breach("quota", at, f"{tenant} has {used[tenant]} of {cap}")
