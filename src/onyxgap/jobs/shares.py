"""Divides each tenant's cap on running tasks among the shards.

A cap limits what a tenant has running over all services. Each service is a shard with
its own owner. The store has one row per tenant, with an entry per shard that gives the
shard's share of the cap. The sum of the shares stays within the cap.

An owner starts a task only if everything that may be running in its shard stays within
the shard's share. Before it writes a smaller share to the store, it applies that share
in memory. The cap therefore does not depend on any clock: an owner that is dead, frozen
or partitioned cannot exceed the share, and its successor takes over the share together
with everything that may still be running.

This module only decides; :mod:`onyxgap.daemons.share_keeper` reads and writes the rows.
"""

import typing as t

import attrs
import orjson

from ..exceptions import MALFORMED_ERRORS
from ..exceptions import DocumentError
from ..exceptions import Fault
from .amounts import UNLIMITED
from .amounts import ZERO_AMOUNT
from .amounts import Amount

PEAK_HOLD_S = 1.0
"""Seconds for which a shard keeps a share that it no longer needs. The tasks of a job
follow each other, so the share is often needed again; other shards wait no longer than
this for it."""
CONTENDED_PEAK_HOLD_S = 0.1
"""Replaces ``PEAK_HOLD_S`` while the shards together want more than the cap."""
HEADROOM_DIVISOR = 16
"""A share in use exceeds the demand by the cap divided by this number, so that the row
isn't written for every task."""


@attrs.frozen(slots=True)
class ShareEntry:
    """One shard's entry in a tenant's row.

    :param share: most that the tenant may have running in the shard.
    :param want: what it would have running there if the share were large enough.
    :param epoch: fencing token of the owner that wrote the entry.
    """

    share: Amount = ZERO_AMOUNT
    want: Amount = ZERO_AMOUNT
    epoch: int = 0


def encode_entries(entries: t.Mapping[str, ShareEntry]) -> bytes:
    """Encode the entries of a tenant's row as JSON."""
    return orjson.dumps(
        {
            shard: [attrs.astuple(entry.share), attrs.astuple(entry.want), entry.epoch]
            for shard, entry in entries.items()
        }
    )


def decode_entries(value: bytes) -> dict[str, ShareEntry]:
    """Decode the output of :func:`encode_entries`.

    :raises DocumentError: if the value is damaged or not such a row.
    """
    try:
        return {
            shard: ShareEntry(Amount(*share), Amount(*want), epoch)
            for shard, (share, want, epoch) in orjson.loads(value).items()
        }
    except MALFORMED_ERRORS as error:
        raise DocumentError(
            [Fault("$", f"malformed row of shares: {error!r}")]
        ) from None


def compute_dominant_fraction(amount: Amount, cap: Amount) -> float:
    """Compute the fraction of a cap that an amount takes of its dominant resource."""
    pairs = zip(attrs.astuple(amount), attrs.astuple(cap), strict=True)
    return max(part / whole if whole else float(part > 0) for part, whole in pairs)


def compute_fair_fraction(fractions: t.Iterable[float]) -> float:
    """Compute the fraction of a cap that max-min fairness allows each shard.

    Shards that want less than this get all that they want and leave the rest to the
    others.

    :param fractions: fraction of the cap that each shard wants.
    :returns: the fraction; 1 if the cap is enough for all.
    """
    remaining, wanted = 1.0, sorted(fractions)
    if sum(wanted) <= remaining:
        return 1.0
    for number, fraction in enumerate(wanted):
        fair = remaining / (len(wanted) - number)
        if fraction >= fair:
            return fair
        remaining -= fraction
    return 1.0


def _scale(cap: Amount, factor: float) -> Amount:
    return Amount(*(int(part * factor) for part in attrs.astuple(cap)))


@attrs.define(slots=True)
class TenantShare:
    """One tenant's share in one shard.

    :param shard: the shard.
    :param epoch: fencing token of the shard's owner.
    :param cap: the tenant's cap in the configuration in force.
    :param version: version of the tenant's row when it was last seen.
    :param entries: entries of all shards in that row.
    :param cap_at_write: cap that was in force for the last entry this owner wrote.
    :param pending_share: share in the write in flight, ``None`` without such a write.
    :param used: what may be running, plus what this scheduling pass has placed.
    :param unmet: demand that this pass could not place because the share was too small.
    :param smallest_unmet: the smallest start in ``unmet``, ``None`` if there is none.
    """

    shard: str
    epoch: int
    cap: Amount = UNLIMITED
    version: int = 0
    entries: t.Mapping[str, ShareEntry] = attrs.field(factory=dict)
    cap_at_write: Amount | None = None
    pending_share: Amount | None = None
    used: Amount = ZERO_AMOUNT
    unmet: Amount = ZERO_AMOUNT
    smallest_unmet: Amount | None = None
    _start_limit: Amount = ZERO_AMOUNT
    _peak_demand: Amount = ZERO_AMOUNT
    _peak_set_at: float = 0.0

    def get_own_entry(self) -> ShareEntry:
        """Return this shard's entry, an empty one if the row has none."""
        return self.entries.get(self.shard, ShareEntry())

    def begin_pass(self, cap: Amount, used: Amount) -> None:
        """Begin a scheduling pass.

        :param cap: the tenant's cap.
        :param used: everything of the tenant that may be running in the shard.
        """
        # the limit depends on the smallest start that the last pass could not place, so
        # smallest_unmet is reset after it
        self.cap, self.used, self.unmet = cap, used, ZERO_AMOUNT
        self._start_limit = self._find_limit()
        self.smallest_unmet = None

    def add_unmet(self, task: Amount, count: int) -> None:
        """Record demand that is not started because the share is too small.

        :param task: what each start needs; a gang counts as one start.
        :param count: number of such starts.
        """
        self.unmet += task * count
        if self.smallest_unmet is None:
            self.smallest_unmet = task
        else:
            self.smallest_unmet = min(
                self.smallest_unmet, task, key=self._compute_fraction
            )

    def _compute_fraction(self, amount: Amount) -> float:
        return compute_dominant_fraction(amount, self.cap)

    def _find_limit(self) -> Amount:
        """Compute the most that may be running in this shard after a start."""
        if self.cap == UNLIMITED:
            return UNLIMITED
        own = self.get_own_entry()
        if not self._is_entry_valid(own) or self._is_overcommitted():
            return ZERO_AMOUNT
        limit = own.share.get_elementwise_min(self._compute_fair_share())
        return (
            limit
            if self.pending_share is None
            else limit.get_elementwise_min(self.pending_share)
        )

    def _is_entry_valid(self, own: ShareEntry) -> bool:
        """Tell whether this owner wrote the entry under a cap that still allows it.

        An entry of a previous owner can't be relied on: a write of that owner which
        lowers the share may still be in flight.
        """
        if own.epoch != self.epoch or self.cap_at_write is None:
            return False
        return self.cap_at_write.fits(self.cap)

    def _sum_others(self) -> Amount:
        total = ZERO_AMOUNT
        for shard, entry in self.entries.items():
            if shard != self.shard:
                total += entry.share
        return total

    def _is_overcommitted(self) -> bool:
        """Tell whether the shares add up to more than the cap, after it was lowered."""
        return not (self._sum_others() + self.get_own_entry().share).fits(self.cap)

    def admits(self, amount: Amount) -> bool:
        """Tell whether starting this amount stays within the limit of this pass."""
        return (self.used + amount).fits(self._start_limit)

    def is_idle(self) -> bool:
        """Tell whether the shard neither uses, holds nor wants any of the cap."""
        own = self.get_own_entry()
        wanted = (self.used, self.unmet, self._peak_demand, own.share, own.want)
        return all(amount == ZERO_AMOUNT for amount in wanted)

    def observe(self, version: int, entries: t.Mapping[str, ShareEntry]) -> None:
        """Store the row as it was read or written, if it is newer than the last one."""
        if version > self.version:
            self.version, self.entries = version, entries

    def end_pass(self, free: Amount, now: float) -> None:
        """End a scheduling pass: limit unmet demand and update the peak demand.

        :param free: free capacity of the shard's workers, for all tenants together.
        :param now: monotonic seconds.
        """
        self.unmet = self.unmet.get_elementwise_min(free)
        wanted = self.used + self.unmet
        hold_s = CONTENDED_PEAK_HOLD_S if self._is_contended() else PEAK_HOLD_S
        if now - self._peak_set_at > hold_s or self._peak_demand.fits(wanted):
            self._peak_demand, self._peak_set_at = wanted, now
        else:
            self._peak_demand = self._peak_demand.get_elementwise_max(wanted)

    def _list_wanted_fractions(self) -> list[float]:
        """List the fractions of the cap that the shards want, this shard's last."""
        wants = [
            entry.want for shard, entry in self.entries.items() if shard != self.shard
        ]
        return [self._compute_fraction(want) for want in [*wants, self._peak_demand]]

    def _is_contended(self) -> bool:
        return sum(self._list_wanted_fractions()) > 1.0

    def _compute_fair_share(self) -> Amount:
        """Compute the most of the cap that this shard may hold.

        This is the max-min fair part of the cap, unless that is too small for the
        smallest start that could not be placed. In that case one shard may hold up to
        the whole cap, and the others only what they use. Otherwise each shard would
        keep a share that is too small to start anything.
        """
        fair = _scale(self.cap, compute_fair_fraction(self._list_wanted_fractions()))
        if self.smallest_unmet is None or self.smallest_unmet.fits(fair):
            return fair
        return self.cap if self._has_precedence() else self.used

    def _has_precedence(self) -> bool:
        """Tell whether this shard has the largest share; ties go by name of shard."""
        others = [
            (-self._compute_fraction(entry.share), shard)
            for shard, entry in self.entries.items()
            if shard != self.shard
            and (entry.share, entry.want) != (ZERO_AMOUNT, ZERO_AMOUNT)
        ]
        own = (-self._compute_fraction(self.get_own_entry().share), self.shard)
        return own <= min(others, default=own)

    def _choose_headroom(self) -> Amount:
        """Choose how much to hold beyond the demand.

        This is nothing if the cap can't cover the demand and headroom of all shards.
        """
        fractions = self._list_wanted_fractions()
        reserved = sum(fraction > 0 for fraction in fractions) / HEADROOM_DIVISOR
        if sum(fractions) + reserved > 1.0:
            return ZERO_AMOUNT
        return self.cap.divide(HEADROOM_DIVISOR)

    def _choose_share(self) -> Amount:
        """Choose the share that this shard should have, whatever it has now."""
        if self._peak_demand == ZERO_AMOUNT:
            return ZERO_AMOUNT
        target = self._peak_demand + self._choose_headroom()
        free = (self.cap - self._sum_others()).get_elementwise_max(ZERO_AMOUNT)
        target = target.get_elementwise_min(
            self._compute_fair_share()
        ).get_elementwise_min(free)
        # the share covers what may be running, even above a cap that was lowered
        return target.get_elementwise_max(self.used)

    def choose_entry(self) -> ShareEntry | None:
        """Choose the entry to write, ``None`` if no write is needed."""
        own = self.get_own_entry()
        if own.epoch > self.epoch or (
            self.cap == UNLIMITED and own.share == ZERO_AMOUNT
        ):
            # never overwrite the entry of a successor
            return None
        chosen = ShareEntry(self._choose_share(), self._peak_demand, self.epoch)
        if self._needs_write(own, chosen):
            return chosen
        return None

    def _needs_write(self, own: ShareEntry, chosen: ShareEntry) -> bool:
        if not self._is_entry_valid(own):
            return own != ShareEntry() or (self.used, self.unmet) != (
                ZERO_AMOUNT,
                ZERO_AMOUNT,
            )
        if self._is_overcommitted():
            return chosen.share != own.share
        return (
            self._needs_larger_share(own, chosen)
            or self._holds_excess(own, chosen)
            or self._is_want_outdated(own, chosen)
        )

    def _needs_larger_share(self, own: ShareEntry, chosen: ShareEntry) -> bool:
        wanted = self.used + self.unmet
        return not wanted.fits(own.share) and chosen.share != own.share

    def _holds_excess(self, own: ShareEntry, chosen: ShareEntry) -> bool:
        if chosen.share == ZERO_AMOUNT:
            return own != ShareEntry(epoch=own.epoch)
        return not (own.share - chosen.share).fits(self._choose_headroom())

    def _is_want_outdated(self, own: ShareEntry, chosen: ShareEntry) -> bool:
        """Tell whether the other shards rely on an outdated want of this shard."""
        headroom = self._choose_headroom()
        if not (own.want - chosen.want).fits(headroom):
            return True
        return self.unmet != ZERO_AMOUNT and not (chosen.want - own.want).fits(headroom)
