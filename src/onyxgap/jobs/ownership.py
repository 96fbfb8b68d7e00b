"""Decides when a node may claim a shard whose owner has failed, frozen or stopped.

A claim is always safe because its fencing token invalidates writes of the previous
owner. The delays below only prevent shards from moving without need.
"""

import typing as t
import zlib

import attrs

from .tables import OwnerRow
from .workers import MS_PER_S

OWNER_TIMEOUT_S = 2.2
"""Time without a renewal after which an owner counts as failed. Owners renew their row
every 0.7 s, so three consecutive renewals must be missing."""
LATENCY_FACTOR = 8.0
"""Extension of :data:`OWNER_TIMEOUT_S`, in multiples of the store's latency. In a slow
store, a renewal takes several attempts of the owner, one after the other in the shard's
partition, and a read by the other nodes. Claims would queue in that partition, too."""
MAX_RENEWAL_AGE_S = 0.7
"""Largest age of a renewal when a node reads it: nodes read the rows at this interval.
An older one reached the node late, which proves nothing about the owner."""
TAKEOVER_BACKOFF_S = 0.7
"""Extension of the time before a claim, for each recent takeover of the shard but the
first, as two owners may fail in turn: one renewal. A shard that goes on to change its
owner does so because the nodes or the store are late, and each change makes more
work."""
RECENT_TAKEOVER_S = 5.0
"""Age up to which a takeover counts as recent."""
MAX_TAKEOVERS = 4
"""Most recent takeovers that are counted."""
CLAIM_BACKOFF_S = 0.8
"""Delay before a node retries a failed claim. A slow store takes 0.3 s for each
transaction of a partition and rejects transactions that wait for more than 1 s."""
CLAIM_JITTER_S = 0.5
"""Range of the delay that differs between nodes, so that one node claims first."""
HAND_OVER_VALID_S = 1.0
"""Time for which a hand-over notice is valid. An owner that cannot reach the store
sends one every 0.3 s, so two of them may be lost."""
OWNED_DELAY_S = 0.3
"""Additional delay for each shard that a node owns, which distributes the shards."""
FIRST_CLAIM_DELAY_S = 0.7
"""Additional delay for each owned shard before the claim of one that never had an
owner. Nodes that start together are ready seconds apart where they share cores; the
first one would own all shards."""
MAX_FIRST_CLAIM_DELAY_S = 1.0
"""Longest such delay: a node that is alone claims all shards in time for their jobs."""
SMALL_VM_LOAD = 2
"""Owned shards as which a small VM counts in the delays. Without it, a small VM may own
a large shard and schedule from reports that are seconds old, while large VMs own
nothing."""

LOAD_REPORT_VALID_S = 2.0
"""Maximum age of a load report. Owners renew their row every 0.7 s, and other nodes
read it at most 0.7 s later."""
PREVIOUS_SHARD_DELAY_S = 0.6
"""Time for which a node on a small VM leaves the shards of its previous process to
nodes on larger VMs. Those need the time for a hand-over notice and a claim."""


@attrs.frozen(slots=True)
class LoadReport:
    """What the owner of a shard last told of its load.

    :param row: the owner row with the report.
    :param age_s: most seconds since the owner determined it.
    """

    row: OwnerRow
    age_s: float


@attrs.define(slots=True)
class OwnerView:
    """What a node knows about the owner of a shard.

    :param row: newest owner row, ``None`` if there is none.
    :param version: version of the row, 0 if there is none.
    :param changed_at: monotonic seconds when the row was last seen to change.
    :param handed_over_at: monotonic seconds of the first of the owner's hand-over
        notices in the current series, ``None`` if there was none.
    :param last_notice_at: monotonic seconds of the latest hand-over notice.
    :param load_report: newest owner row with a load report, ``None`` if there was none.
    :param renewed_at: monotonic seconds of the renewal that wrote the row, ``None`` if
        not known. The owner may have sent it later.
    :param takeovers: monotonic seconds of the last claims by a node that the owner
        before had not released the shard to.
    """

    row: OwnerRow | None
    version: int
    changed_at: float
    handed_over_at: float | None = None
    last_notice_at: float = 0.0
    load_report: OwnerRow | None = None
    renewed_at: float | None = None
    takeovers: tuple[float, ...] = ()

    def __attrs_post_init__(self) -> None:
        if self.row is not None and self.row.waiting is not None:
            self.load_report = self.row

    def replace_row(
        self, row: OwnerRow, version: int, now: float, store_ms: int | None = None
    ) -> "OwnerView":
        """Return the view with a newer owner row.

        A claim contains no load report, so the previous one is kept until it expires.

        :param row: the new row.
        :param version: its version.
        :param now: monotonic seconds.
        :param store_ms: lower bound of the store's clock, ``None`` if not known.
        """
        takeovers = self.takeovers
        if self._is_taken_over(row):
            takeovers = (*takeovers, now)[-MAX_TAKEOVERS:]
        return OwnerView(
            row,
            version,
            now,
            load_report=self.load_report,
            renewed_at=self._estimate_renewal_time(row, store_ms, now),
            takeovers=takeovers,
        )

    def get_last_sign(self) -> float:
        """Return the monotonic second of the owner's last sign of life."""
        return self.changed_at if self.renewed_at is None else self.renewed_at

    def _estimate_renewal_time(
        self, row: OwnerRow, store_ms: int | None, now: float
    ) -> float | None:
        if row.counted_at_ms is None or store_ms is None:
            return None
        if self.row is not None and row.counted_at_ms == self.row.counted_at_ms:
            # renewed without a new count
            return None
        age_s = (store_ms - row.counted_at_ms) / MS_PER_S
        return now - min(max(age_s, 0.0), MAX_RENEWAL_AGE_S)

    def _is_taken_over(self, row: OwnerRow) -> bool:
        if self.row is None or self.row.released:
            return False
        return row.epoch != self.row.epoch and row.node != self.row.node

    def get_takeover_backoff(self, now: float) -> float:
        """Return the extension of the time before a claim, in seconds.

        :param now: monotonic seconds.
        """
        recent = [at for at in self.takeovers if now - at < RECENT_TAKEOVER_S]
        return TAKEOVER_BACKOFF_S * max(0, len(recent) - 1)

    def get_load_report(self, store_ms: int | None) -> LoadReport | None:
        """Return the newest load report unless it has expired or its age is unknown.

        :param store_ms: upper bound of the store's clock, ``None`` if not known.
        """
        row = self.load_report
        if row is None or row.counted_at_ms is None or store_ms is None:
            return None
        age_s = (store_ms - row.counted_at_ms) / MS_PER_S
        return LoadReport(row, age_s) if 0.0 <= age_s <= LOAD_REPORT_VALID_S else None

    def record_hand_over(self, now: float) -> "OwnerView":
        """Return the view after a hand-over notice of the owner.

        :param now: monotonic seconds.
        """
        first = self.handed_over_at
        if first is None or now - self.last_notice_at > HAND_OVER_VALID_S:
            first = now
        return attrs.evolve(self, handed_over_at=first, last_notice_at=now)

    def is_handed_over(self, store_reachable_since: float, now: float) -> bool:
        """Return whether a valid hand-over notice allows this node to claim the shard.

        This node must have reached the store ever since the first notice.

        :param store_reachable_since: monotonic seconds since when this node can reach
            the store without a gap.
        :param now: monotonic seconds.
        """
        return (
            self.handed_over_at is not None
            and now - self.last_notice_at <= HAND_OVER_VALID_S
            and store_reachable_since <= self.handed_over_at
        )


def get_claim_jitter(boot: str, shard: str) -> float:
    """Return the claim delay of a process for a shard, in seconds.

    It is derived from a hash and therefore the same on each call.

    :param boot: unique id of the process.
    :param shard: the shard.
    """
    return CLAIM_JITTER_S * (zlib.crc32(f"{boot}/{shard}".encode()) % 1000) / 1000


@attrs.frozen(slots=True)
class Claimant:
    """A node that may claim shards.

    :param node: name of the node.
    :param boot: unique id of its process.
    :param owned: number of shards that it owns.
    :param latency_s: current latency of its store calls in seconds.
    :param small_vm: whether its VM is much smaller than the largest one.
    :param yields: whether it waits before it claims shards of its own previous process,
        so that other nodes can claim them first.
    :param unseen_s: seconds by which it may see a renewal late: lag of its event loop,
        and delay of its reads of the owner rows.
    """

    node: str
    boot: str
    owned: int
    latency_s: float = 0.0
    small_vm: bool = False
    yields: bool = False
    unseen_s: float = 0.0


def get_claim_time(
    view: OwnerView,
    shard: str,
    claimant: Claimant,
    store_reachable_since: float,
    now: float,
) -> float:
    """Return the monotonic second from which a node may claim a shard.

    :param view: what the node knows about the owner.
    :param shard: the shard.
    :param claimant: the node.
    :param store_reachable_since: monotonic seconds since when the node can reach the
        store without a gap. Missing renewals before that prove nothing.
    :param now: monotonic seconds.
    """
    load = claimant.owned + SMALL_VM_LOAD * claimant.small_vm
    delay = get_claim_jitter(claimant.boot, shard) + OWNED_DELAY_S * load
    row = view.row
    if row is None:
        first_delay = min(FIRST_CLAIM_DELAY_S * load, MAX_FIRST_CLAIM_DELAY_S)
        return view.changed_at + delay + first_delay
    if row.released:
        return view.changed_at + delay
    delay += view.get_takeover_backoff(now)
    if view.is_handed_over(store_reachable_since, now):
        assert view.handed_over_at is not None
        return view.handed_over_at + delay
    if row.node == claimant.node and row.boot != claimant.boot:
        # the owner was a previous process of this node, which no longer exists
        return view.changed_at + PREVIOUS_SHARD_DELAY_S * claimant.yields
    # a claimant that is late has not seen the renewals of that time
    timeout_s = OWNER_TIMEOUT_S + LATENCY_FACTOR * claimant.latency_s
    timeout_s += claimant.unseen_s
    return max(view.get_last_sign(), store_reachable_since) + timeout_s + delay


def list_claimable(
    views: t.Mapping[str, OwnerView],
    claimant: Claimant,
    store_reachable_since: float,
    now: float,
) -> list[str]:
    """Return the shards that a node may claim now.

    :param views: what the node knows about the owners, by shard, without the shards
        that it owns itself.
    :param claimant: the node.
    :param store_reachable_since: monotonic seconds since when the node can reach the
        store without a gap.
    :param now: monotonic seconds.
    """
    return [
        shard
        for shard, view in views.items()
        if now >= get_claim_time(view, shard, claimant, store_reachable_since, now)
    ]
