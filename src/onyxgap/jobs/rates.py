"""Finds jobs that exceed their tenant's submission rate, with token buckets.

A tenant's weight is also its rate in jobs a second. Jobs over the rate are ordered
after the jobs of others while there is not enough capacity for all. They start at once
if there is free capacity.
"""

import typing as t

import attrs

BURST_S = 5.0
"""Bucket size in seconds of the rate; jobs beyond such a burst are over the rate."""


@attrs.define(slots=True)
class TokenBucket:
    """Token bucket of one tenant, with a token for each job within its rate.

    :param tokens: number of tokens left.
    :param refilled_at: time of the last refill in seconds.
    """

    tokens: float
    refilled_at: float

    def take(self, rate: float, now: float) -> bool:
        """Refill the bucket, then take a token if there is one.

        :param rate: tokens added per second.
        :param now: seconds, on the clock by which jobs are accepted.
        :returns: whether a token was taken.
        """
        size = max(1.0, rate * BURST_S)
        elapsed_s = max(0.0, now - self.refilled_at)
        self.tokens = min(size, self.tokens + elapsed_s * rate)
        self.refilled_at = max(self.refilled_at, now)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@attrs.define(eq=False)
class TenantRates:
    """Token buckets of all tenants in one shard.

    :param find_weight: returns a tenant's weight, which is its rate in jobs a second.
    """

    find_weight: t.Callable[[str], float]
    _buckets: dict[str, TokenBucket] = attrs.field(factory=dict)

    def is_within(self, tenant: str, accepted_s: float) -> bool:
        """Count a job and tell whether it is within its tenant's rate.

        :param tenant: the tenant; an empty name has no rate limit.
        :param accepted_s: time when the job was accepted, in seconds.
        """
        if not tenant:
            return True
        rate = self.find_weight(tenant)
        bucket = self._buckets.get(tenant)
        if bucket is None:
            bucket = TokenBucket(max(1.0, rate * BURST_S), accepted_s)
            self._buckets[tenant] = bucket
        return bucket.take(rate, accepted_s)
