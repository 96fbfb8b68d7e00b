"""Reads and writes the rows in which shards hold their shares of tenants' caps."""

import random
import typing as t

import anyio
import anyio.abc
import attrs
import structlog

from ..jobs import tables
from ..jobs.share_book import Change
from ..jobs.share_book import ShareBook
from ..jobs.shares import decode_entries
from ..jobs.shares import encode_entries
from ..jobs.store import ABSENT
from ..jobs.store import Applied
from ..jobs.store import Batch
from ..jobs.store import Conflict
from ..jobs.store import NotApplied
from ..jobs.store import Store
from ..jobs.store import StoredRow
from .follower import Follower
from .rows import SkippedRows
from .rows import decode_rows

FOLLOW_PAUSE_S = 0.1
"""Pause between two looks at the changes of others, several of which come at once."""
RETRY_MIN_S = 0.03
"""About twice the time of a transaction."""
RETRY_MAX_S = 0.4
"""A store that returns is used again within this time."""

_LOG = structlog.get_logger()


@attrs.define(eq=False)
class ShareKeeper:
    """Keeps the shares of one owner's shard.

    :param book: decides what to write.
    :param store: the store.
    :param rng: spreads retries.
    :param on_change: called when a start may have become possible.
    :param skipped: number of rows that could not be decoded, by table.
    """

    book: ShareBook
    store: Store
    rng: random.Random
    on_change: t.Callable[[], None]
    skipped: SkippedRows = attrs.field(factory=SkippedRows)

    def follow(self) -> Follower:
        """Build what follows the rows."""
        return Follower(
            self.store,
            tables.SHARE_TABLE,
            tables.list_share_parts,
            self.take_rows,
            self.rng,
            pause_s=FOLLOW_PAUSE_S,
        )

    def take_rows(self, rows: t.Sequence[StoredRow], whole: bool) -> None:
        """Take in rows as they were read."""
        for row, entries in decode_rows(
            rows, lambda row: decode_entries(row.value), self.skipped, "shares skipped"
        ):
            if entries is not None:
                self.book.observe(row.row_id.key, entries, row.version)
        if self.book.list_waiting():
            self.on_change()

    def write_due(self, group: anyio.abc.TaskGroup) -> None:
        """Start a write for each tenant whose row is to change.

        :param group: runs the writes.
        """
        for tenant in self.book.list_due():
            change = self.book.open_change(tenant)
            if change is not None:
                group.start_soon(self._write, change)

    async def _write(self, change: Change) -> None:
        row = tables.get_share_row(change.tenant)
        batch = Batch({row: change.version}, {row: encode_entries(change.entries)})
        version = await self._settle(batch)
        self.book.close_change(change, version)
        own = change.entries[self.book.shard]
        _LOG.info(
            "share of a cap",
            tenant=change.tenant,
            shard=self.book.shard,
            epoch=self.book.epoch,
            applied=version is not None,
            cpu=own.share.cpu,
            memory_mb=own.share.memory_mb,
            want_cpu=own.want.cpu,
        )
        self.on_change()

    async def _settle(self, batch: Batch) -> int | None:
        """Write until it is certain whether that was done; gives the row's version."""
        delay = RETRY_MIN_S
        uncertain = False
        while True:
            outcome = await self.store.write(batch)
            if isinstance(outcome, Applied):
                return outcome.version
            if isinstance(outcome, Conflict):
                return self._take_conflict(batch, outcome)
            if isinstance(outcome, NotApplied) and not uncertain:
                await anyio.sleep(delay * self.rng.uniform(0.5, 1.0))
                return None
            uncertain = True
            await anyio.sleep(delay * self.rng.uniform(0.5, 1.0))
            delay = min(delay * 2, RETRY_MAX_S)

    def _take_conflict(self, batch: Batch, conflict: Conflict) -> int | None:
        """Take in another version of the row; an earlier try may have written it."""
        (row_id, expected), *_ = batch.expected.items()
        present = conflict.find(row_id)
        if present is None:
            if expected != ABSENT:
                _LOG.error("share row vanished", row=row_id.key)
            return None
        if present.value == batch.puts[row_id]:
            return present.version
        self.take_rows((present,), False)
        return None
