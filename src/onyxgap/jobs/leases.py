"""Tells until when the owners of a shard may have granted leases to its workers.

An owner grants leases only while the store has confirmed its ownership recently. So
the next owner knows from the owner row how long the leases of workers that it has not
heard of may last. It need not reckon with that time where the former owner has released
the shard, has lost it, or has ended with its process.
"""

import typing as t

import attrs

from .members import Member
from .ownership import OwnerView

GRANT_WITHOUT_STORE_S = 8.0
"""Time after the last confirmed renewal for which leases are granted. Outages of the
store last up to about 9 s in all, and the last lease outlasts that time by 5 s."""


@attrs.define(eq=False)
class GrantPeriod:
    """Period in which an owner may grant leases.

    :param read_boot: reads the boot clock, which also counts while the VM is suspended.
    :param confirmed_at: seconds of that clock when the newest renewal of the owner row
        that the store has confirmed, at first the claim, was sent.
    :param closed: whether the owner is releasing the shard.
    """

    read_boot: t.Callable[[], float]
    confirmed_at: float
    closed: bool = False

    def confirm(self, sent_at: float) -> None:
        """Record that the store has applied a renewal of the owner row.

        :param sent_at: seconds of the boot clock when it was sent.
        """
        self.confirmed_at = max(self.confirmed_at, sent_at)

    def is_open(self) -> bool:
        """Tell whether the owner may grant leases now."""
        age_s = self.read_boot() - self.confirmed_at
        return not self.closed and age_s < GRANT_WITHOUT_STORE_S


@attrs.define(eq=False)
class FormerGrants:
    """Bound of the time until which former owners may have granted leases.

    :param view: what was known of the previous owner when the shard was claimed.
    :param until: monotonic seconds until which any former owner may have granted.
    :param inherited_until: monotonic seconds until which the owners before the previous
        one may have.
    """

    view: OwnerView
    until: float
    inherited_until: float

    def note_end(self, ended_at: float) -> bool:
        """Record that the previous owner has stopped granting leases.

        :param ended_at: monotonic seconds by which it had stopped.
        :returns: whether the bound is lower than before.
        """
        until = max(ended_at, self.inherited_until)
        is_lower = until < self.until
        self.until = min(until, self.until)
        return is_lower


def bound_former_grants(
    view: OwnerView, inherited_until: float | None, claimed_at: float
) -> FormerGrants:
    """Return the bound that follows from the owner row that a claim has replaced.

    :param view: what was known of the previous owner.
    :param inherited_until: monotonic seconds until which, by that row, the owners
        before the previous one may have granted leases; ``None`` if it does not tell,
        and then neither whether the previous owner stopped in time.
    :param claimed_at: monotonic seconds of the claim.
    """
    if view.row is None:
        return FormerGrants(view, claimed_at, claimed_at)
    if inherited_until is None:
        until = claimed_at + GRANT_WITHOUT_STORE_S
        return FormerGrants(view, until, until)
    # the row has not been renewed since it was seen to change
    grants_s = 0.0 if view.row.released else GRANT_WITHOUT_STORE_S
    until = max(view.changed_at + grants_s, inherited_until)
    return FormerGrants(view, until, inherited_until)


def find_grants_end(shard: str, view: OwnerView, member: Member) -> int | None:
    """Return when an owner is known to have stopped granting leases.

    :param shard: its shard.
    :param view: what is known of the owner.
    :param member: newest registration of its node.
    :returns: milliseconds of the store's clock, ``None`` if it is not known.
    """
    if view.row is None:
        return None
    if member.boot == view.row.boot:
        lost = member.lost.get(shard)
        return lost.ended_ms if lost and lost.epoch >= view.row.epoch else None
    # a node registers its process before it claims a shard
    is_newer = bool(member.boot) and member.version > view.version
    return member.started_ms if is_newer else None
