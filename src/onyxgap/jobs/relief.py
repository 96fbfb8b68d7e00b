"""Decides when an owner offers its shards to nodes on larger VMs.

An owner on a small VM, or whose process lags, schedules from reports that are seconds
old and delays its whole queue. It sends hand-over notices to nodes on larger VMs, which
may then claim the shard. A claim is always safe because its fencing token invalidates
writes of the previous owner, and tasks that run on workers keep running.
"""

import attrs

MIN_OWNED_S = 1.5
"""Minimum time for which an owner keeps a shard before it offers it. The hold reports
of all workers must have arrived by then, or its successor would wait for them again."""
OFFER_DURATION_S = 2.0
"""Time for which a shard is offered. A claim takes 0.5 s if a node accepts it."""
OFFER_PAUSE_S = 12.0
"""Pause after an offer that no node accepted, so that shards do not move back and
forth."""
LAG_THRESHOLD_S = 0.4
"""Event loop lag from which a process counts as slow: most of the time for which a
start order is valid."""
LAG_DURATION_S = 1.0
"""Time for which the lag must last."""


@attrs.define
class ShardOfferPolicy:
    """Decides when a node offers the shards that it owns.

    :param small_vm: whether its VM is much smaller than the largest one.
    """

    small_vm: bool = False
    _lagging_since: float | None = None
    _offered_at: dict[tuple[str, int], float] = attrs.field(factory=dict)

    def observe_lag(self, lag_s: float, now: float) -> None:
        """Record the event loop lag of the process.

        :param lag_s: lag in seconds.
        :param now: monotonic seconds.
        """
        if lag_s < LAG_THRESHOLD_S:
            self._lagging_since = None
        elif self._lagging_since is None:
            self._lagging_since = now

    def is_lagging(self, now: float) -> bool:
        """Return whether the process has lagged for :data:`LAG_DURATION_S`."""
        since = self._lagging_since
        return since is not None and now - since >= LAG_DURATION_S

    def should_offer(self, shard: str, epoch: int, owned_s: float, now: float) -> bool:
        """Return whether to offer a shard now.

        :param shard: the shard.
        :param epoch: fencing token of this ownership.
        :param owned_s: seconds since this node loaded the shard.
        :param now: monotonic seconds.
        """
        if owned_s < MIN_OWNED_S or not (self.small_vm or self.is_lagging(now)):
            return False
        key = (shard, epoch)
        offered_at = self._offered_at.get(key)
        if offered_at is None or now - offered_at > OFFER_DURATION_S + OFFER_PAUSE_S:
            # remove offers from previous ownerships of the shard
            self._offered_at = {
                other: at for other, at in self._offered_at.items() if other[0] != shard
            }
            self._offered_at[key] = offered_at = now
        return now - offered_at <= OFFER_DURATION_S
