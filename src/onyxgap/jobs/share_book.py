"""Tracks the shares of all tenants' caps in one shard and prepares row updates.

:mod:`.shares` decides the size of each share, and :mod:`onyxgap.daemons.share_keeper`
reads and writes the rows.
"""

import typing as t

import attrs

from .amounts import UNLIMITED
from .amounts import ZERO_AMOUNT
from .amounts import Amount
from .shares import ShareEntry
from .shares import TenantShare


@attrs.frozen(slots=True)
class ShareUpdate:
    """A conditional write of a tenant's row.

    :param tenant: the tenant.
    :param version: version that the row must have for the write to apply.
    :param entries: new entries of all shards.
    :param cap: the tenant's cap when the update was decided.
    """

    tenant: str
    version: int
    entries: t.Mapping[str, ShareEntry]
    cap: Amount


@attrs.define(eq=False)
class ShardShares:
    """The shares of all tenants in one shard.

    :param shard: the shard.
    :param epoch: fencing token of the shard's owner.
    :param find_cap: returns a tenant's cap.
    :param tenants: shares of the tenants that use, hold or want resources here.
    :param rows: version and entries of each tenant's row when it was last seen.
    """

    shard: str
    epoch: int
    find_cap: t.Callable[[str], Amount] = lambda tenant: UNLIMITED
    tenants: dict[str, TenantShare] = attrs.field(factory=dict)
    rows: dict[str, tuple[int, t.Mapping[str, ShareEntry]]] = attrs.field(factory=dict)
    _held_elsewhere: dict[str, Amount] = attrs.field(factory=dict)
    _has_planned: bool = False
    _in_flight: set[str] = attrs.field(factory=set)

    def _get_or_create(self, tenant: str) -> TenantShare:
        share = self.tenants.get(tenant)
        if share is None:
            share = TenantShare(self.shard, self.epoch)
            share.observe(*self.rows.get(tenant, (0, {})))
            share.begin_pass(self.find_cap(tenant), ZERO_AMOUNT)
            self.tenants[tenant] = share
        return share

    def observe(
        self, tenant: str, entries: t.Mapping[str, ShareEntry], version: int
    ) -> None:
        """Store a tenant's row, if it is newer than the last one."""
        if version <= self.rows.get(tenant, (0, {}))[0]:
            return
        self.rows[tenant] = (version, entries)
        # summed once per row, not for all tenants in each scheduling pass
        self._held_elsewhere[tenant] = self._sum_held_elsewhere(entries)
        if tenant in self.tenants or self.shard in entries:
            self._get_or_create(tenant).observe(version, entries)

    def begin_pass(self, usage: t.Mapping[str, Amount]) -> None:
        """Begin a scheduling pass.

        :param usage: everything that may be running in the shard, by tenant.
        """
        self._has_planned = True
        for tenant in usage:
            self._get_or_create(tenant)
        for tenant, share in self.tenants.items():
            share.begin_pass(self.find_cap(tenant), usage.get(tenant, ZERO_AMOUNT))

    def admits(self, tenant: str, amount: Amount) -> bool:
        """Tell whether a tenant's share allows a start.

        :param tenant: the tenant; an empty name has no cap.
        :param amount: what the start would use.
        """
        return not tenant or self._get_or_create(tenant).admits(amount)

    def add_usage(self, tenant: str, amount: Amount) -> None:
        """Add a start of this scheduling pass to the tenant's usage."""
        if tenant:
            share = self._get_or_create(tenant)
            share.used += amount

    def add_unmet(self, tenant: str, task: Amount, count: int) -> None:
        """Record a tenant's demand that is not started as its share is too small.

        :param tenant: the tenant.
        :param task: what each start needs; a gang counts as one start.
        :param count: number of such starts.
        """
        self._get_or_create(tenant).add_unmet(task, count)

    def end_pass(self, free: Amount, now: float) -> None:
        """End a scheduling pass and drop idle tenants.

        :param free: free capacity of the shard's workers, for all tenants together.
        :param now: monotonic seconds.
        """
        for tenant, share in list(self.tenants.items()):
            share.end_pass(free, now)
            if share.is_idle() and tenant not in self._in_flight:
                del self.tenants[tenant]

    def list_tenants_to_write(self) -> list[str]:
        """List the tenants whose row needs a write and has none in flight.

        The list is empty before the first scheduling pass. Only that pass tells what
        the previous owner left running.
        """
        if not self._has_planned:
            return []
        return [
            tenant
            for tenant, share in self.tenants.items()
            if tenant not in self._in_flight and share.choose_entry() is not None
        ]

    def get_held_elsewhere(self) -> t.Mapping[str, Amount]:
        """Return what each tenant holds of its cap in other shards, by its row.

        Each shard counts with the smaller of its share and its want.
        """
        return self._held_elsewhere

    def _sum_held_elsewhere(self, entries: t.Mapping[str, ShareEntry]) -> Amount:
        total = ZERO_AMOUNT
        for shard, entry in entries.items():
            if shard != self.shard:
                total += entry.share.get_elementwise_min(entry.want)
        return total

    def list_waiting_tenants(self) -> list[str]:
        """List the tenants that need a larger share to start tasks."""
        return [
            tenant
            for tenant, share in self.tenants.items()
            if share.unmet != ZERO_AMOUNT
        ]

    def begin_update(self, tenant: str) -> ShareUpdate | None:
        """Prepare a write of a tenant's row, ``None`` if none is needed.

        If the new share is smaller, it limits starts at once, before the write is sent.
        """
        share = self.tenants[tenant]
        entry = share.choose_entry()
        if entry is None:
            return None
        self._in_flight.add(tenant)
        share.pending_share = entry.share
        entries = {**share.entries, self.shard: entry}
        return ShareUpdate(tenant, share.version, entries, share.cap)

    def end_update(self, change: ShareUpdate, version: int | None) -> None:
        """Record that a write was applied, or that it never will be.

        :param change: the write.
        :param version: version of the row that it wrote, ``None`` if it wasn't applied.
        """
        self._in_flight.discard(change.tenant)
        share = self.tenants[change.tenant]
        share.pending_share = None
        if version is not None:
            self.observe(change.tenant, change.entries, version)
            share.cap_at_write = change.cap
