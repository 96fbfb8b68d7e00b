"""How many jobs a tenant hands in; answers tenants that send more than their share.

A tenant's weight is also the number of jobs a second that it may count on. What it
sends beyond that stands behind the jobs of others while there is no room for all, and
runs at once where there is.
"""

import typing as t

import attrs

BURST_S = 5.0
"""Seconds of its rate that a tenant may hand in at once; more is a flood."""


@attrs.define(slots=True)
class Bucket:
    """Jobs that a tenant may hand in just now.

    :param tokens: their number.
    :param filled_at: seconds when that was so.
    """

    tokens: float
    filled_at: float

    def take(self, rate: float, at: float) -> bool:
        """Take one, if there is one.

        :param rate: jobs a second.
        :param at: seconds, on the clock by which jobs are accepted.
        """
        most = max(1.0, rate * BURST_S)
        passed_s = max(0.0, at - self.filled_at)
        self.tokens = min(most, self.tokens + passed_s * rate)
        self.filled_at = max(self.filled_at, at)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@attrs.define(eq=False)
class TenantRates:
    """Tells which jobs of one shard are within the rates of their tenants.

    :param find_weight: gives a tenant's weight.
    """

    find_weight: t.Callable[[str], float]
    _buckets: dict[str, Bucket] = attrs.field(factory=dict)

    def is_within(self, tenant: str, accepted_s: float) -> bool:
        """Count a job, and tell whether it is within its tenant's rate.

        :param tenant: the tenant; one without a name has no rate.
        :param accepted_s: when it was accepted.
        """
        if not tenant:
            return True
        rate = self.find_weight(tenant)
        bucket = self._buckets.get(tenant)
        if bucket is None:
            bucket = Bucket(max(1.0, rate * BURST_S), accepted_s)
            self._buckets[tenant] = bucket
        return bucket.take(rate, accepted_s)
