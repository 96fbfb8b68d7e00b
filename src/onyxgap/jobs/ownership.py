"""When a node may claim a shard; answers owners that die, freeze or stop.

A claim is safe at any time, since it fences the earlier owner off. These limits
only keep shards from moving without need.
"""

import math
import typing as t
import zlib

import attrs

from .tables import OwnerRow

SILENCE_S = 2.2
"""An owner renews each 0.7 s; three renewals in a row must be missing."""
LATENCY_FACTOR = 8.0
"""Calls of a renewal in a slow store: some tries of the owner, one after the other in
the shard's partition, and the look of the others. Claims would queue there, too."""
CLAIM_BACKOFF_S = 0.8
"""Pause before a node tries a claim again that failed; a store that is slow takes 0.3 s
for each transaction of a partition, and refuses what waits longer than a second."""
SPREAD_S = 0.5
"""Range of the delay that differs from node to node, so that one is first."""
HAND_OVER_VALID_S = 1.0
"""An owner without the store repeats its notice each 0.3 s; two may be lost."""
OWNED_DELAY_S = 0.3
"""Further delay for each shard that a node owns, so that they spread."""
WEAK_DELAY_S = 0.6
"""Further delay of a node on a small VM, as for two shards owned: one that owns a
large shard plans on reports that are seconds old, while large VMs own nothing."""

LOAD_REPORT_VALID_S = 2.0
"""Maximum age of a load report; an owner renews its row each 0.7 s, and other nodes
read it at most 0.7 s later."""
YIELD_S = 0.6
"""Time that a node on a small VM leaves to larger ones to claim what its former process
owned; they need a notice and a claim."""


@attrs.define(slots=True)
class OwnerView:
    """What a node has seen of a shard's owner.

    :param row: newest owner row, ``None`` where none stands.
    :param version: its version, 0 where none stands.
    :param changed_at: monotonic seconds when it was last seen to change.
    :param handed_over_at: monotonic seconds when the owner first told that it cannot
        reach the store, ``None`` while it does not.
    :param told_at: monotonic seconds when it told so last.
    :param load_report: newest owner row with a load report, ``None`` if there was none.
    :param load_reported_at: monotonic seconds when that row was read.
    """

    row: OwnerRow | None
    version: int
    changed_at: float
    handed_over_at: float | None = None
    told_at: float = 0.0
    load_report: OwnerRow | None = None
    load_reported_at: float = -math.inf

    def __attrs_post_init__(self) -> None:
        has_load = self.row is not None and self.row.waiting is not None
        if self.load_report is None and has_load:
            self.load_report, self.load_reported_at = self.row, self.changed_at

    def replace_row(self, row: OwnerRow, version: int, now: float) -> "OwnerView":
        """Return the view with a newer owner row.

        A claim contains no load report; the previous one is kept until it expires.

        :param row: the new row.
        :param version: its version.
        :param now: monotonic seconds.
        """
        if row.waiting is not None:
            return OwnerView(row, version, now)
        return OwnerView(
            row,
            version,
            now,
            load_report=self.load_report,
            load_reported_at=self.load_reported_at,
        )

    def get_load_report(self, now: float) -> OwnerRow | None:
        """Return the newest load report, ``None`` if it has expired or never existed.

        :param now: monotonic seconds.
        """
        if now - self.load_reported_at > LOAD_REPORT_VALID_S:
            return None
        return self.load_report

    def note_hand_over(self, now: float) -> "OwnerView":
        """Give the view after the owner told that it cannot reach the store.

        :param now: monotonic seconds.
        """
        first = self.handed_over_at
        if first is None or now - self.told_at > HAND_OVER_VALID_S:
            first = now
        return attrs.evolve(self, handed_over_at=first, told_at=now)

    def is_handed_over(self, heard_since: float, now: float) -> bool:
        """Tell whether the owner lacks a store that this node hears all the while.

        :param heard_since: since when this node hears the store without a gap.
        :param now: monotonic seconds.
        """
        return (
            self.handed_over_at is not None
            and now - self.told_at <= HAND_OVER_VALID_S
            and heard_since <= self.handed_over_at
        )


def get_spread(boot: str, shard: str) -> float:
    """Give the delay of a node for a shard, the same each time.

    :param boot: unique id of the process.
    :param shard: the shard.
    """
    return SPREAD_S * (zlib.crc32(f"{boot}/{shard}".encode()) % 1000) / 1000


@attrs.frozen(slots=True)
class Claimant:
    """A node that may claim shards.

    :param node: its name.
    :param boot: unique id of its process.
    :param owned: number of shards that it owns.
    :param latency_s: time that a call to the store takes it at present.
    :param weak: whether its VM is much smaller than that of other nodes.
    :param yields: whether it leaves shards of its own former process to others first.
    """

    node: str
    boot: str
    owned: int
    latency_s: float = 0.0
    weak: bool = False
    yields: bool = False


def get_claim_time(
    view: OwnerView,
    shard: str,
    claimant: Claimant,
    heard_since: float,
    now: float,
) -> float:
    """Give the monotonic second from which a node may claim a shard.

    :param view: what it has seen of the owner.
    :param shard: the shard.
    :param claimant: the node.
    :param heard_since: since when it hears the store without a gap; silence
        before that shows nothing.
    :param now: monotonic seconds.
    """
    delay = get_spread(claimant.boot, shard) + OWNED_DELAY_S * claimant.owned
    delay += WEAK_DELAY_S * claimant.weak
    row = view.row
    if row is None or row.released:
        return view.changed_at + delay
    if view.is_handed_over(heard_since, now):
        assert view.handed_over_at is not None
        return view.handed_over_at + delay
    if row.node == claimant.node and row.boot != claimant.boot:
        # the row is from an earlier process of this node, which is gone
        return view.changed_at + YIELD_S * claimant.yields
    silence_s = SILENCE_S + LATENCY_FACTOR * claimant.latency_s
    return max(view.changed_at, heard_since) + silence_s + delay


def list_claimable(
    views: t.Mapping[str, OwnerView],
    claimant: Claimant,
    heard_since: float,
    now: float,
) -> list[str]:
    """List the shards that a node may claim now.

    :param views: what it has seen, by shard that it does not run itself.
    :param claimant: the node.
    :param heard_since: since when it hears the store without a gap.
    :param now: monotonic seconds.
    """
    return [
        shard
        for shard, view in views.items()
        if now >= get_claim_time(view, shard, claimant, heard_since, now)
    ]
