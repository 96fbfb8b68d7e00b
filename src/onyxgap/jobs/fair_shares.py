"""Who is within its share of a pool; answers tenants that ask for more than there is.

The room is shared by weight, and a tenant counts by what it takes most of (dominant
resource fairness). What one leaves goes to the others by weight. Within their shares
tenants' jobs get room by urgency, as if there were one line; what is beyond a share
stands behind them and uses what they leave. Where all can be in time in one line,
nobody stands behind.
"""

import typing as t

import attrs

from .amounts import NOTHING
from .amounts import Amount
from .amounts import measure_task
from .priorities import MS
from .priorities import Standing
from .ready import Ready
from .shares import measure_fraction

LEAST_WEIGHT = 1e-3
"""A tenant without a weight gets what others leave, and little of what they don't."""


@attrs.frozen(slots=True)
class Claim:
    """What a tenant has and asks for, as parts of all the room that is shared.

    :param weight: its weight.
    :param wanted: part that it holds in all pools, or waits for in this one.
    """

    weight: float
    wanted: float


def share_by_weight(claims: t.Mapping[str, Claim]) -> dict[str, float]:
    """Share the room, which is 1, so that who asks for less leaves the rest to others.

    :param claims: what tenants ask for.
    :returns: the part of each, never more than it asks for.
    """
    left = 1.0
    weights = sum(claim.weight for claim in claims.values())
    parts = {}
    for tenant, claim in sorted(
        claims.items(), key=lambda item: item[1].wanted / item[1].weight
    ):
        part = min(claim.wanted, left * claim.weight / weights)
        parts[tenant] = part
        left -= part
        weights -= claim.weight
    return parts


@attrs.define
class PoolDemand:
    """What tenants have and want in one pool at a plan.

    :param capacity: all that the pool's workers offer.
    :param used: what tenants have running there.
    :param elsewhere: what they hold in other pools.
    """

    capacity: Amount
    used: t.Mapping[str, Amount]
    elsewhere: t.Mapping[str, Amount]
    _room: Amount = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._room = sum(self.elsewhere.values(), self.capacity)

    def measure(self, amount: Amount) -> float:
        """Measure an amount as a part of all the room that is shared."""
        return measure_fraction(amount, self._room)

    def find_shares(
        self,
        waiting: t.Mapping[str, Amount],
        find_weight: t.Callable[[str], float],
    ) -> dict[str, float] | None:
        """Find the part of each tenant, ``None`` where there is room for all.

        :param waiting: what waits, by tenant.
        :param find_weight: gives a tenant's weight.
        """
        total = sum([*self.used.values(), *waiting.values()], NOTHING)
        if total.fits(self.capacity):
            return None
        claims = {}
        for tenant in sorted({*self.used, *waiting}):
            held = self.elsewhere.get(tenant, NOTHING)
            here = self.used.get(tenant, NOTHING) + waiting.get(tenant, NOTHING)
            claims[tenant] = Claim(
                max(find_weight(tenant), LEAST_WEIGHT), self.measure(held + here)
            )
        return share_by_weight(claims)


def can_all_be_in_time(
    ready: t.Sequence[Ready], demand: PoolDemand, now: float
) -> bool:
    """Tell whether all that can be in time will be, the most urgent first.

    A full pool frees itself once in the run time of its tasks. While that suffices,
    each job that waits for those that are more urgent is in time nevertheless.

    :param ready: what may start, the most urgent first.
    :param demand: what tenants have and want.
    :param now: monotonic seconds.
    """
    used = sum(demand.used.values(), NOTHING)
    free = max(0.0, 1.0 - measure_fraction(used, demand.capacity))
    work_s = 0.0
    for item in ready:
        step = item.job.submission.steps[item.step]
        if item.urgency.late or step.long_running:
            continue
        run_s = step.estimate_ms / MS
        work_s += measure_fraction(_measure(item), demand.capacity) * run_s
        if work_s > max(0.0, item.urgency.latest_start - now) + free * run_s:
            return False
    return True


def mark_beyond(
    ready: t.Sequence[Ready],
    demand: PoolDemand,
    find_weight: t.Callable[[str], float],
) -> int:
    """Mark the steps that lie beyond their tenants' shares.

    The step with which a tenant reaches its share is still within it, so that a small
    tenant with wide steps is not left out.

    :param ready: what may start, the most urgent first.
    :param demand: what tenants have and want.
    :param find_weight: gives a tenant's weight.
    :returns: how many were marked.
    """
    waiting: dict[str, Amount] = {}
    for item in ready:
        tenant = item.job.submission.tenant
        if tenant and item.urgency.standing is not Standing.NO_USE:
            waiting[tenant] = waiting.get(tenant, NOTHING) + _measure(item)
    shares = demand.find_shares(waiting, find_weight)
    if shares is None:
        return 0
    taken = {
        tenant: demand.measure(
            demand.elsewhere.get(tenant, NOTHING) + demand.used.get(tenant, NOTHING)
        )
        for tenant in shares
    }
    marked = 0
    for item in ready:
        tenant = item.job.submission.tenant
        if tenant not in shares:
            continue
        item.beyond = taken[tenant] >= shares[tenant]
        taken[tenant] += demand.measure(_measure(item))
        marked += item.beyond
    return marked


def _measure(item: Ready) -> Amount:
    return measure_task(item.job.submission.steps[item.step]) * len(item.tasks)
