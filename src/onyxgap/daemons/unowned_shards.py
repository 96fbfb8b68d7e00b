"""Reports shards without a live owner, and why this node does not claim them.

The jobs of such a shard have no owner that could tell why nothing of them runs.
"""

import enum
import math
import typing as t

import attrs
import structlog

from ..jobs.ownership import Claimant
from ..jobs.ownership import OwnerView
from ..jobs.ownership import get_claim_jitter
from ..jobs.ownership import get_claim_time

REPORT_AFTER_S = 2.0
"""Time without a change of the owner row before a shard is reported; owners renew their
rows every 0.7 s."""
REPORT_INTERVAL_S = 2.0
"""Least time between two lines about one shard."""
CHECK_INTERVAL_S = 1.0
"""Least time between two checks."""
MAX_REPORTED_SHARDS = 5
"""Most lines in a check."""

_LOG = structlog.get_logger()


class UnclaimedReason(enum.Enum):
    """Why a node does not claim a shard."""

    STOPPING = "node is stopping"
    STORE_UNREACHABLE = "store unreachable"
    OWNERS_UNKNOWN = "owner rows not read"
    NOT_REGISTERED = "not registered"
    CLAIMING = "claim in progress"
    CLAIM_PAUSE = "pause after a claim"
    OWNER_TIMEOUT = "owner time-out"
    CLAIM_DELAY = "claim delay"
    CLAIM_DUE = "claim due"


@attrs.frozen(slots=True)
class ClaimProgress:
    """What keeps a node from claiming shards, or delays its claims.

    :param claimant: the node.
    :param reachable_since: monotonic seconds since when it reaches the store without a
        gap, ``None`` if it does not.
    :param owners_known: whether it has read the owner rows.
    :param may_claim: whether its registration allows claims.
    :param stopping: whether it is about to end.
    :param claiming: shards that it is claiming.
    :param paused_until: monotonic seconds before which it does not claim a shard again.
    """

    claimant: Claimant
    reachable_since: float | None
    owners_known: bool
    may_claim: bool
    stopping: bool
    claiming: t.Collection[str] = ()
    paused_until: t.Mapping[str, float] = attrs.field(factory=dict)

    def get_claim_wait_s(self, shard: str, view: OwnerView, now: float) -> float | None:
        """Return the seconds until the shard may be claimed, ``None`` if not known.

        :param shard: the shard.
        :param view: what the node knows about its owner.
        :param now: monotonic seconds.
        """
        since = self.reachable_since
        if since is None:
            return None
        claim_at = get_claim_time(view, shard, self.claimant, since, now)
        return max(claim_at, self.paused_until.get(shard, 0.0)) - now

    def find_reason(self, shard: str, view: OwnerView, now: float) -> UnclaimedReason:
        """Find why the node does not claim a shard.

        :param shard: the shard.
        :param view: what the node knows about its owner.
        :param now: monotonic seconds.
        """
        obstacles = {
            UnclaimedReason.CLAIMING: shard in self.claiming,
            UnclaimedReason.STOPPING: self.stopping,
            UnclaimedReason.STORE_UNREACHABLE: self.reachable_since is None,
            UnclaimedReason.OWNERS_UNKNOWN: not self.owners_known,
            UnclaimedReason.NOT_REGISTERED: not self.may_claim,
            UnclaimedReason.CLAIM_PAUSE: now < self.paused_until.get(shard, 0.0),
        }
        for reason, holds in obstacles.items():
            if holds:
                return reason
        if (self.get_claim_wait_s(shard, view, now) or 0.0) <= 0.0:
            return UnclaimedReason.CLAIM_DUE
        if view.row is None or view.row.released:
            return UnclaimedReason.CLAIM_DELAY
        return UnclaimedReason.OWNER_TIMEOUT


@attrs.define(eq=False)
class UnownedShardReporter:
    """Logs the shards that have no live owner, as far as a node can tell.

    :param reported_at: monotonic seconds of the last line, by shard.
    """

    reported_at: dict[str, float] = attrs.field(factory=dict)
    _unseen: dict[str, OwnerView] = attrs.field(factory=dict)
    _checked_at: float = -math.inf

    def is_due(self, now: float) -> bool:
        """Return whether the shards are to be checked.

        :param now: monotonic seconds.
        """
        return now - self._checked_at >= CHECK_INTERVAL_S

    def check(
        self,
        views: t.Mapping[str, OwnerView | None],
        progress: ClaimProgress,
        lag_s: float,
        now: float,
    ) -> None:
        """Log the shards without a live owner.

        :param views: what the node knows about the owners of the shards that it does
            not own, ``None`` if nothing.
        :param progress: what keeps the node from claiming them.
        :param lag_s: lag of its event loop in seconds.
        :param now: monotonic seconds.
        """
        self._checked_at = now
        self._unseen = {
            shard: self._unseen.get(shard) or OwnerView(None, 0, now)
            for shard, view in views.items()
            if view is None
        }
        unowned = {
            shard: view
            for shard, view in ((key, views[key] or self._unseen[key]) for key in views)
            if now - view.changed_at >= REPORT_AFTER_S
        }
        for shard in self.reported_at.keys() - unowned.keys():
            del self.reported_at[shard]
        due = [
            shard
            for shard in unowned
            if now - self.reported_at.get(shard, -math.inf) >= REPORT_INTERVAL_S
        ]
        # those that were reported least recently
        due.sort(key=lambda shard: self.reported_at.get(shard, -math.inf))
        for shard in due[:MAX_REPORTED_SHARDS]:
            self.reported_at[shard] = now
            self._log(shard, unowned[shard], progress, lag_s, now)
        if due[MAX_REPORTED_SHARDS:]:
            others = sorted(due[MAX_REPORTED_SHARDS:])
            _LOG.warning("more shards without owner", shards=others)

    @staticmethod
    def _log(
        shard: str, view: OwnerView, progress: ClaimProgress, lag_s: float, now: float
    ) -> None:
        row, claimant = view.row, progress.claimant
        wait_s = progress.get_claim_wait_s(shard, view, now)
        reason = progress.find_reason(shard, view, now)
        # without the store, a node sees no owner renew its row
        is_known = reason is not UnclaimedReason.STORE_UNREACHABLE
        log = _LOG.warning if is_known else _LOG.info
        log(
            "shard without owner",
            shard=shard,
            owner=row.node if row is not None else "",
            epoch=row.epoch if row is not None else 0,
            released=row.released if row is not None else False,
            version=view.version,
            unchanged_s=round(now - view.changed_at, 2),
            reason=reason.value,
            claim_in_s=None if wait_s is None else round(wait_s, 2),
            jitter_s=round(get_claim_jitter(claimant.boot, shard), 2),
            owned=claimant.owned,
            small_vm=claimant.small_vm,
            latency_s=round(claimant.latency_s, 3),
            lag_s=round(lag_s, 3),
        )
