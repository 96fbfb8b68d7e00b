"""When an owner offers its shard to a better node; answers owners that fall behind.

An owner on a small VM, or on one that has turned slow, plans on reports that are
seconds old, and its whole queue is late with it. It tells nodes on larger VMs that they
may claim the shard; a claim is safe at any time, since it fences the earlier owner off,
and what runs on workers runs on.
"""

import attrs

STAY_S = 1.5
"""Time for which an owner keeps a shard before it offers it: holds of all workers must
have come, or the next owner would wait for them again."""
OFFER_S = 2.0
"""Time for which it offers it: a claim takes half a second where it finds a taker."""
PAUSE_S = 12.0
"""Time after which it offers again what nobody took, so that shards don't swing."""
BEHIND_S = 0.4
"""How late a process must be to count as one that has turned slow: most of the time for
which an order to start stays valid."""
BEHIND_FOR_S = 1.0
"""Time for which it must be so."""


@attrs.define
class Relief:
    """Decides when one node offers what it owns.

    :param weak: whether its VM is much smaller than that of other nodes.
    """

    weak: bool = False
    _behind_since: float | None = None
    _offered_at: dict[tuple[str, int], float] = attrs.field(factory=dict)

    def observe_lag(self, lag_s: float, now: float) -> None:
        """Take in how late the process is.

        :param lag_s: seconds.
        :param now: monotonic seconds.
        """
        if lag_s < BEHIND_S:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now

    def is_behind(self, now: float) -> bool:
        """Tell whether the process has been late for a while."""
        since = self._behind_since
        return since is not None and now - since >= BEHIND_FOR_S

    def offers(self, shard: str, epoch: int, owned_s: float, now: float) -> bool:
        """Tell whether to offer a shard now.

        :param shard: the shard.
        :param epoch: fencing token under which this node owns it.
        :param owned_s: seconds since it was loaded.
        :param now: monotonic seconds.
        """
        if owned_s < STAY_S or not (self.weak or self.is_behind(now)):
            return False
        key = (shard, epoch)
        began = self._offered_at.get(key)
        if began is None or now - began > OFFER_S + PAUSE_S:
            # earlier ownerships are over
            self._offered_at = {
                other: at for other, at in self._offered_at.items() if other[0] != shard
            }
            self._offered_at[key] = began = now
        return now - began <= OFFER_S
