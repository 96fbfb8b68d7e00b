"""Tells until when an owner of a shard may grant leases to the shard's workers.

An owner grants leases only while the store has confirmed its ownership recently, so
that the next owner knows how long its workers' leases may last at most.
"""

import typing as t

import attrs

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
