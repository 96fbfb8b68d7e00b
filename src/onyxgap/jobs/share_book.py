"""The shares of all tenants in one shard, and the writes of their rows.

:mod:`onyxgap.daemons.share_keeper` reads and writes; what each share should be is
decided in :mod:`.shares`.
"""

import typing as t

import attrs

from .amounts import NOTHING
from .amounts import UNLIMITED
from .amounts import Amount
from .shares import Entry
from .shares import TenantShare


@attrs.frozen(slots=True)
class Change:
    """A write of a tenant's row.

    :param tenant: the tenant.
    :param version: version that the row must have.
    :param entries: entries of all shards.
    :param cap: cap under which it was decided.
    """

    tenant: str
    version: int
    entries: t.Mapping[str, Entry]
    cap: Amount


@attrs.define(eq=False)
class ShareBook:
    """The shares of all tenants in one shard.

    :param shard: the shard.
    :param epoch: fencing token of its owner.
    :param find_cap: gives a tenant's cap.
    :param tenants: shares of tenants that have or want something here.
    :param rows: rows of all tenants as they were last seen, with their versions.
    """

    shard: str
    epoch: int
    find_cap: t.Callable[[str], Amount] = lambda tenant: UNLIMITED
    tenants: dict[str, TenantShare] = attrs.field(factory=dict)
    rows: dict[str, tuple[int, t.Mapping[str, Entry]]] = attrs.field(factory=dict)
    _elsewhere: dict[str, Amount] = attrs.field(factory=dict)
    _planned: bool = False
    _writing: set[str] = attrs.field(factory=set)

    def _get(self, tenant: str) -> TenantShare:
        share = self.tenants.get(tenant)
        if share is None:
            share = TenantShare(self.shard, self.epoch)
            share.observe(*self.rows.get(tenant, (0, {})))
            share.open_plan(self.find_cap(tenant), NOTHING)
            self.tenants[tenant] = share
        return share

    def observe(
        self, tenant: str, entries: t.Mapping[str, Entry], version: int
    ) -> None:
        """Take in a tenant's row."""
        if version <= self.rows.get(tenant, (0, {}))[0]:
            return
        self.rows[tenant] = (version, entries)
        # summed here: a plan would sum the rows of all tenants each time
        self._elsewhere[tenant] = self._measure_elsewhere(entries)
        if tenant in self.tenants or self.shard in entries:
            self._get(tenant).observe(version, entries)

    def open_plan(self, usage: t.Mapping[str, Amount]) -> None:
        """Begin a plan.

        :param usage: all that may be running in the shard, by tenant.
        """
        self._planned = True
        for tenant in usage:
            self._get(tenant)
        for tenant, share in self.tenants.items():
            share.open_plan(self.find_cap(tenant), usage.get(tenant, NOTHING))

    def admits(self, tenant: str, amount: Amount) -> bool:
        """Tell whether a tenant's start stays within its share.

        :param tenant: the tenant; one without a name has no cap.
        :param amount: what would be started.
        """
        return not tenant or self._get(tenant).admits(amount)

    def take(self, tenant: str, amount: Amount) -> None:
        """Count a start of this plan."""
        if tenant:
            share = self._get(tenant)
            share.used += amount

    def miss(self, tenant: str, task: Amount, count: int) -> None:
        """Count what is not started; see :meth:`TenantShare.miss`."""
        self._get(tenant).miss(task, count)

    def close_plan(self, room: Amount, now: float) -> None:
        """End a plan; see :meth:`TenantShare.close_plan`."""
        for tenant, share in list(self.tenants.items()):
            share.close_plan(room, now)
            if share.is_idle() and tenant not in self._writing:
                del self.tenants[tenant]

    def list_due(self) -> list[str]:
        """List tenants whose row is to be written, and is not being written.

        None before the first plan, which finds out what an earlier owner left running.
        """
        if not self._planned:
            return []
        return [
            tenant
            for tenant, share in self.tenants.items()
            if tenant not in self._writing and share.choose_entry() is not None
        ]

    def get_elsewhere(self) -> t.Mapping[str, Amount]:
        """Give what tenants hold of their caps in other shards, by their rows."""
        return self._elsewhere

    def _measure_elsewhere(self, entries: t.Mapping[str, Entry]) -> Amount:
        total = NOTHING
        for shard, entry in entries.items():
            if shard != self.shard:
                total += entry.share.get_smallest(entry.want)
        return total

    def list_waiting(self) -> list[str]:
        """List tenants that wait for a larger share."""
        return [
            tenant for tenant, share in self.tenants.items() if share.unmet != NOTHING
        ]

    def open_change(self, tenant: str) -> Change | None:
        """Decide on a write of a tenant's row; what it gives up is used no more."""
        share = self.tenants[tenant]
        entry = share.choose_entry()
        if entry is None:
            return None
        self._writing.add(tenant)
        share.ceiling = entry.share
        entries = {**share.entries, self.shard: entry}
        return Change(tenant, share.version, entries, share.cap)

    def close_change(self, change: Change, version: int | None) -> None:
        """Take in that a write was applied, or that it never will be.

        :param change: the write.
        :param version: version of the row that it wrote, ``None`` where it is void.
        """
        self._writing.discard(change.tenant)
        share = self.tenants[change.tenant]
        share.ceiling = None
        if version is not None:
            self.observe(change.tenant, change.entries, version)
            share.granted_under = change.cap
