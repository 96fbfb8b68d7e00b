"""Synchronizes a shard's shares of the tenants' caps with the store."""

import random
import typing as t

import anyio
import anyio.abc
import attrs
import structlog

from ..jobs import tables
from ..jobs.share_book import ShardShares
from ..jobs.share_book import ShareUpdate
from ..jobs.shares import decode_entries
from ..jobs.shares import encode_entries
from ..jobs.store import ABSENT
from ..jobs.store import Applied
from ..jobs.store import Batch
from ..jobs.store import Conflict
from ..jobs.store import Invalid
from ..jobs.store import NotApplied
from ..jobs.store import Store
from ..jobs.store import StoredRow
from .follower import Follower
from .rows import SkippedRows
from .rows import decode_rows

POLL_INTERVAL_S = 0.1
"""Time between two reads of the change feed, so that one read brings several changes of
other shards."""
RETRY_MIN_S = 0.03
"""First delay before a write is repeated: about twice the time of a transaction."""
RETRY_MAX_S = 0.4
"""Longest delay before a write is repeated, so that a store that has become available
again is used within this time."""

_LOG = structlog.get_logger()


@attrs.define(eq=False)
class ShareSynchronizer:
    """Reads and writes the share rows for the owner of one shard.

    :param shard_shares: the shares of the shard; decides what to write.
    :param store: the store.
    :param rng: source of the jitter of retries.
    :param on_change: called when a task that waited for a share may be able to start.
    :param skipped: number of rows that could not be decoded, by table.
    """

    shard_shares: ShardShares
    store: Store
    rng: random.Random
    on_change: t.Callable[[], None]
    skipped: SkippedRows = attrs.field(factory=SkippedRows)

    def build_follower(self) -> Follower:
        """Build the follower of the share table."""
        return Follower(
            self.store,
            tables.SHARE_TABLE,
            tables.list_share_parts,
            self.apply_rows,
            self.rng,
            pause_s=POLL_INTERVAL_S,
        )

    def apply_rows(self, rows: t.Sequence[StoredRow], snapshot: bool) -> None:
        """Apply share rows that were read from the store.

        :param rows: the rows.
        :param snapshot: whether these are all rows; makes no difference here.
        """
        for row, entries in decode_rows(
            rows, lambda row: decode_entries(row.value), self.skipped, "shares skipped"
        ):
            if entries is not None:
                self.shard_shares.observe(row.row_id.key, entries, row.version)
        if self.shard_shares.list_waiting_tenants():
            self.on_change()

    def start_due_writes(self, group: anyio.abc.TaskGroup) -> None:
        """Start a write for each tenant whose row has to be written.

        :param group: task group that runs the writes.
        """
        for tenant in self.shard_shares.list_tenants_to_write():
            update = self.shard_shares.begin_update(tenant)
            if update is not None:
                group.start_soon(self._write, update)

    async def _write(self, update: ShareUpdate) -> None:
        row = tables.get_share_row(update.tenant)
        batch = Batch({row: update.version}, {row: encode_entries(update.entries)})
        version = await self._write_until_certain(batch)
        self.shard_shares.end_update(update, version)
        own = update.entries[self.shard_shares.shard]
        _LOG.info(
            "share of a cap",
            tenant=update.tenant,
            shard=self.shard_shares.shard,
            epoch=self.shard_shares.epoch,
            applied=version is not None,
            cpu=own.share.cpu,
            memory_mb=own.share.memory_mb,
            want_cpu=own.want.cpu,
        )
        self.on_change()

    async def _write_until_certain(self, batch: Batch) -> int | None:
        """Write until it is certain whether the write was applied.

        :returns: the new version of the row, or ``None`` if it was not applied.
        """
        delay = RETRY_MIN_S
        outcome_unknown = False
        while True:
            outcome = await self.store.write(batch)
            if isinstance(outcome, Applied):
                return outcome.version
            if isinstance(outcome, Conflict):
                return self._resolve_conflict(batch, outcome)
            if isinstance(outcome, Invalid):
                _LOG.error("share row refused by the store", reason=outcome.reason)
                await anyio.sleep(RETRY_MAX_S)
                return None
            if isinstance(outcome, NotApplied) and not outcome_unknown:
                await anyio.sleep(delay * self.rng.uniform(0.5, 1.0))
                return None
            outcome_unknown = True
            await anyio.sleep(delay * self.rng.uniform(0.5, 1.0))
            delay = min(delay * 2, RETRY_MAX_S)

    def _resolve_conflict(self, batch: Batch, conflict: Conflict) -> int | None:
        """Find out whether an earlier attempt wrote the row, else apply the stored row.

        :returns: its version if an earlier attempt wrote it, else ``None``.
        """
        (row_id, expected), *_ = batch.expected.items()
        present = conflict.find(row_id)
        if present is None:
            if expected != ABSENT:
                _LOG.error("share row is missing from the store", row=row_id.key)
            return None
        if present.value == batch.puts[row_id]:
            return present.version
        self.apply_rows((present,), False)
        return None
