"""Weighted max-min fair sharing of a pool that can't serve all its tenants.

Capacity is divided by weight. A tenant's usage is that of its dominant resource
(dominant resource fairness), and what a tenant doesn't need goes to the others by
weight. Within the tenants' shares, steps are ordered by urgency, regardless of the
tenant. Steps over a share are ordered after these and use the capacity that is left. If
all jobs can be in time when ordered by urgency alone, shares are not applied.
"""

import typing as t

import attrs

from .amounts import ZERO_AMOUNT
from .amounts import Amount
from .amounts import get_task_amount
from .priorities import MS_PER_S
from .priorities import Timeliness
from .ready import ReadyStep
from .shares import compute_dominant_fraction

MIN_WEIGHT = 1e-3
"""Weight of a tenant without one: it gets what others leave, and little else."""


@attrs.frozen(slots=True)
class TenantDemand:
    """Weight and demand of a tenant.

    :param weight: its weight.
    :param fraction: what it uses in all pools and waits for in this one, as a fraction
        of the shared capacity.
    """

    weight: float
    fraction: float


def share_by_weight(demands: t.Mapping[str, TenantDemand]) -> dict[str, float]:
    """Divide a capacity of 1 by weighted max-min fairness.

    :param demands: demand by tenant.
    :returns: share by tenant, at most its demand.
    """
    left = 1.0
    weights = sum(demand.weight for demand in demands.values())
    shares = {}
    for tenant, demand in sorted(
        demands.items(), key=lambda item: item[1].fraction / item[1].weight
    ):
        share = min(demand.fraction, left * demand.weight / weights)
        shares[tenant] = share
        left -= share
        weights -= demand.weight
    return shares


@attrs.define
class PoolUsage:
    """Usage of one pool by tenant, as of a scheduling pass.

    :param capacity: total capacity of the pool's workers.
    :param used: usage of this pool by tenant.
    :param used_elsewhere: usage of other pools by tenant.
    """

    capacity: Amount
    used: t.Mapping[str, Amount]
    used_elsewhere: t.Mapping[str, Amount]
    _shared: Amount = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._shared = sum(self.used_elsewhere.values(), self.capacity)

    def measure(self, amount: Amount) -> float:
        """Give the fraction of the shared capacity that an amount takes.

        The shared capacity is that of this pool and what tenants use in other pools.
        """
        return compute_dominant_fraction(amount, self._shared)

    def compute_shares(
        self,
        waiting: t.Mapping[str, Amount],
        find_weight: t.Callable[[str], float],
    ) -> dict[str, float] | None:
        """Compute each tenant's fair share of the shared capacity.

        :param waiting: resources that waiting tasks need, by tenant.
        :param find_weight: gives a tenant's weight.
        :returns: share by tenant, or ``None`` if the pool has capacity for all.
        """
        total = sum([*self.used.values(), *waiting.values()], ZERO_AMOUNT)
        if total.fits(self.capacity):
            return None
        demands = {}
        for tenant in sorted({*self.used, *waiting}):
            elsewhere = self.used_elsewhere.get(tenant, ZERO_AMOUNT)
            here = self.used.get(tenant, ZERO_AMOUNT) + waiting.get(tenant, ZERO_AMOUNT)
            demands[tenant] = TenantDemand(
                max(find_weight(tenant), MIN_WEIGHT), self.measure(elsewhere + here)
            )
        return share_by_weight(demands)


def can_meet_all_objectives(
    ready: t.Sequence[ReadyStep], usage: PoolUsage, now: float
) -> bool:
    """Tell whether ordering by urgency alone keeps in time all steps that can be.

    A full pool turns over once per run time of its tasks. While that suffices, each job
    is in time even though it waits for the more urgent ones.

    :param ready: steps that may start, the most urgent first.
    :param usage: usage of the pool.
    :param now: monotonic seconds.
    """
    used = sum(usage.used.values(), ZERO_AMOUNT)
    free = max(0.0, 1.0 - compute_dominant_fraction(used, usage.capacity))
    work_s = 0.0
    for item in ready:
        step = item.job.submission.steps[item.step]
        if item.urgency.late or step.long_running:
            continue
        run_s = step.estimate_ms / MS_PER_S
        work_s += compute_dominant_fraction(_get_amount(item), usage.capacity) * run_s
        if work_s > max(0.0, item.urgency.latest_start - now) + free * run_s:
            return False
    return True


def mark_steps_over_share(
    ready: t.Sequence[ReadyStep],
    usage: PoolUsage,
    find_weight: t.Callable[[str], float],
) -> int:
    """Mark the steps that are over their tenants' shares.

    The step with which a tenant reaches its share counts as within it. Otherwise a
    small tenant with wide steps would be starved.

    :param ready: steps that may start, the most urgent first.
    :param usage: usage of the pool.
    :param find_weight: gives a tenant's weight.
    :returns: number of marked steps.
    """
    waiting: dict[str, Amount] = {}
    for item in ready:
        tenant = item.job.submission.tenant
        if tenant and item.urgency.standing is not Timeliness.NO_USE:
            waiting[tenant] = waiting.get(tenant, ZERO_AMOUNT) + _get_amount(item)
    shares = usage.compute_shares(waiting, find_weight)
    if shares is None:
        return 0
    taken = {
        tenant: usage.measure(
            usage.used_elsewhere.get(tenant, ZERO_AMOUNT)
            + usage.used.get(tenant, ZERO_AMOUNT)
        )
        for tenant in shares
    }
    marked = 0
    for item in ready:
        tenant = item.job.submission.tenant
        if tenant not in shares:
            continue
        item.beyond = taken[tenant] >= shares[tenant]
        taken[tenant] += usage.measure(_get_amount(item))
        marked += item.beyond
    return marked


def _get_amount(item: ReadyStep) -> Amount:
    return get_task_amount(item.job.submission.steps[item.step]) * len(item.tasks)
