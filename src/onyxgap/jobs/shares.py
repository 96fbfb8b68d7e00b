"""Shares of a tenant's cap that lie with shards; answers tenants at their caps.

A cap bounds what a tenant has running over all services, each of which has an owner of
its own. A row a tenant holds a share for each shard, and their sum stays within the
cap. An owner starts a task only while all that may be running in its shard stays within
its share, and gives a part up in memory before the store is told. So the cap holds
without a clock: an owner that is dead, frozen or cut off starts nothing beyond a share
that its successor takes over with all that may still run.

This module decides; :mod:`onyxgap.daemons.share_keeper` reads and writes the rows.
"""

import typing as t

import attrs
import orjson

from ..exceptions import MALFORMED_ERRORS
from ..exceptions import DocumentError
from ..exceptions import Fault
from .amounts import NOTHING
from .amounts import UNLIMITED
from .amounts import Amount

HOLD_S = 1.0
"""How long a share is kept that is not needed any more; tasks of one job follow each
other, and no other shard waits for longer than this."""
CONTENDED_HOLD_S = 0.1
"""The same while shards ask for more than the cap in all."""
HEADROOM_PARTS = 16
"""A share in use exceeds the need by this part of the cap, so that it is not written
for each task."""


@attrs.frozen(slots=True)
class Entry:
    """What a shard has of a cap.

    :param share: most that it may have running.
    :param want: what it would have running if it could.
    :param epoch: fencing token of the owner that wrote it.
    """

    share: Amount = NOTHING
    want: Amount = NOTHING
    epoch: int = 0


def encode_entries(entries: t.Mapping[str, Entry]) -> bytes:
    """Encode the entries of a tenant's row."""
    return orjson.dumps(
        {
            shard: [attrs.astuple(entry.share), attrs.astuple(entry.want), entry.epoch]
            for shard, entry in entries.items()
        }
    )


def decode_entries(value: bytes) -> dict[str, Entry]:
    """Read what :func:`encode_entries` gave.

    :raises DocumentError: when the row is foreign or damaged.
    """
    try:
        return {
            shard: Entry(Amount(*share), Amount(*want), epoch)
            for shard, (share, want, epoch) in orjson.loads(value).items()
        }
    except MALFORMED_ERRORS as error:
        raise DocumentError([Fault("$", f"no shares: {error!r}")]) from None


def measure_fraction(amount: Amount, cap: Amount) -> float:
    """Measure which part of a cap an amount takes, by what it takes most of."""
    pairs = zip(attrs.astuple(amount), attrs.astuple(cap), strict=True)
    return max(part / whole if whole else float(part > 0) for part, whole in pairs)


def find_level(fractions: t.Iterable[float]) -> float:
    """Find the share of a cap up to which each shard gets what it wants.

    Shards that want less leave the rest to the others; 1 where all have enough.

    :param fractions: part of the cap that each shard wants.
    """
    left, waiting = 1.0, sorted(fractions)
    if sum(waiting) <= left:
        return 1.0
    for number, fraction in enumerate(waiting):
        level = left / (len(waiting) - number)
        if fraction >= level:
            return level
        left -= fraction
    return 1.0


def _scale(cap: Amount, factor: float) -> Amount:
    return Amount(*(int(part * factor) for part in attrs.astuple(cap)))


@attrs.define(slots=True)
class TenantShare:
    """One tenant's share in one shard.

    :param shard: the shard.
    :param epoch: fencing token of its owner.
    :param cap: the tenant's cap by the configuration in force.
    :param version: version of the row as it was last seen.
    :param entries: entries of all shards in it.
    :param granted_under: cap under which this owner last wrote its entry.
    :param ceiling: share that a write under way gives, if it gives some up.
    :param used: what may be running, and what was placed since.
    :param unmet: what could not be placed for want of a share.
    :param least: the smallest task among it, ``None`` where nothing was missed.
    """

    shard: str
    epoch: int
    cap: Amount = UNLIMITED
    version: int = 0
    entries: t.Mapping[str, Entry] = attrs.field(factory=dict)
    granted_under: Amount | None = None
    ceiling: Amount | None = None
    used: Amount = NOTHING
    unmet: Amount = NOTHING
    least: Amount | None = None
    _limit: Amount = NOTHING
    _high: Amount = NOTHING
    _high_at: float = 0.0

    def get_own(self) -> Entry:
        """Give the entry of this shard."""
        return self.entries.get(self.shard, Entry())

    def open_plan(self, cap: Amount, used: Amount) -> None:
        """Begin a plan.

        :param cap: the tenant's cap.
        :param used: all that may be running in the shard.
        """
        # the limit goes by what the last plan missed
        self.cap, self.used, self.unmet = cap, used, NOTHING
        self._limit = self._find_limit()
        self.least = None

    def miss(self, task: Amount, count: int) -> None:
        """Count what is not started for want of a share.

        :param task: what each of it needs, a gang as a whole.
        :param count: how many.
        """
        self.unmet += task * count
        if self.least is None:
            self.least = task
        else:
            self.least = min(self.least, task, key=self._measure)

    def _measure(self, amount: Amount) -> float:
        return measure_fraction(amount, self.cap)

    def _find_limit(self) -> Amount:
        """Find the most that may be running here for a start to be allowed."""
        if self.cap == UNLIMITED:
            return UNLIMITED
        own = self.get_own()
        if not self._is_granted(own) or self._is_over():
            return NOTHING
        limit = own.share.get_smallest(self._find_even_part())
        return limit if self.ceiling is None else limit.get_smallest(self.ceiling)

    def _is_granted(self, own: Entry) -> bool:
        """Tell whether this owner wrote its entry under a cap that still allows it.

        What an earlier owner wrote may yet be lowered by that one.
        """
        if own.epoch != self.epoch or self.granted_under is None:
            return False
        return self.granted_under.fits(self.cap)

    def _sum_others(self) -> Amount:
        total = NOTHING
        for shard, entry in self.entries.items():
            if shard != self.shard:
                total += entry.share
        return total

    def _is_over(self) -> bool:
        """Tell whether shards hold more than the cap, since it was lowered."""
        return not (self._sum_others() + self.get_own().share).fits(self.cap)

    def admits(self, amount: Amount) -> bool:
        """Tell whether a start stays within the share."""
        return (self.used + amount).fits(self._limit)

    def is_idle(self) -> bool:
        """Tell whether the shard neither has nor wants anything of the cap."""
        own = self.get_own()
        wanted = (self.used, self.unmet, self._high, own.share, own.want)
        return all(amount == NOTHING for amount in wanted)

    def observe(self, version: int, entries: t.Mapping[str, Entry]) -> None:
        """Take in the row as it was read or written."""
        if version > self.version:
            self.version, self.entries = version, entries

    def close_plan(self, room: Amount, now: float) -> None:
        """Take in what a plan used and missed.

        :param room: what could still be placed in the shard, whoever asks for it.
        :param now: monotonic seconds.
        """
        self.unmet = self.unmet.get_smallest(room)
        wanted = self.used + self.unmet
        hold_s = CONTENDED_HOLD_S if self._is_contended() else HOLD_S
        if now - self._high_at > hold_s or self._high.fits(wanted):
            self._high, self._high_at = wanted, now
        else:
            self._high = self._high.get_largest(wanted)

    def _list_fractions(self) -> list[float]:
        """List the parts of the cap that shards want, this one last."""
        wants = [
            entry.want for shard, entry in self.entries.items() if shard != self.shard
        ]
        return [self._measure(want) for want in [*wants, self._high]]

    def _is_contended(self) -> bool:
        return sum(self._list_fractions()) > 1.0

    def _find_even_part(self) -> Amount:
        """Find up to which part of the cap this shard may go.

        Where that is less than a task needs, one shard goes on beyond it and the others
        hold nothing idle: otherwise each would keep what is of no use to it.
        """
        part = _scale(self.cap, find_level(self._list_fractions()))
        if self.least is None or self.least.fits(part):
            return part
        return self.cap if self._is_first() else self.used

    def _is_first(self) -> bool:
        """Tell whether this shard holds the most, or is first by name."""
        others = [
            (-self._measure(entry.share), shard)
            for shard, entry in self.entries.items()
            if shard != self.shard and (entry.share, entry.want) != (NOTHING, NOTHING)
        ]
        own = (-self._measure(self.get_own().share), self.shard)
        return own <= min(others, default=own)

    def _choose_headroom(self) -> Amount:
        """Choose what is held beyond the need, nothing where others would lack it."""
        fractions = self._list_fractions()
        kept = sum(fraction > 0 for fraction in fractions) / HEADROOM_PARTS
        if sum(fractions) + kept > 1.0:
            return NOTHING
        return self.cap.divide(HEADROOM_PARTS)

    def _choose_share(self) -> Amount:
        """Choose what this shard should hold, whatever it holds now."""
        if self._high == NOTHING:
            return NOTHING
        target = self._high + self._choose_headroom()
        free = (self.cap - self._sum_others()).get_largest(NOTHING)
        target = target.get_smallest(self._find_even_part()).get_smallest(free)
        # what may be running stays counted, also above a cap that was lowered
        return target.get_largest(self.used)

    def choose_entry(self) -> Entry | None:
        """Choose the entry to write, ``None`` while the present one will do."""
        own = self.get_own()
        if own.epoch > self.epoch or (self.cap == UNLIMITED and own.share == NOTHING):
            # a later owner's entry is not written over
            return None
        chosen = Entry(self._choose_share(), self._high, self.epoch)
        if self._is_due(own, chosen):
            return chosen
        return None

    def _is_due(self, own: Entry, chosen: Entry) -> bool:
        if not self._is_granted(own):
            return own != Entry() or (self.used, self.unmet) != (NOTHING, NOTHING)
        if self._is_over():
            return chosen.share != own.share
        return (
            self._lacks_share(own, chosen)
            or self._keeps_too_much(own, chosen)
            or self._wants_otherwise(own, chosen)
        )

    def _lacks_share(self, own: Entry, chosen: Entry) -> bool:
        wanted = self.used + self.unmet
        return not wanted.fits(own.share) and chosen.share != own.share

    def _keeps_too_much(self, own: Entry, chosen: Entry) -> bool:
        if chosen.share == NOTHING:
            return own != Entry(epoch=own.epoch)
        return not (own.share - chosen.share).fits(self._choose_headroom())

    def _wants_otherwise(self, own: Entry, chosen: Entry) -> bool:
        """Tell whether others go by a want that is not this shard's any more."""
        headroom = self._choose_headroom()
        if not (own.want - chosen.want).fits(headroom):
            return True
        return self.unmet != NOTHING and not (chosen.want - own.want).fits(headroom)
