"""Reads partitions of a table, then follows its change feed."""

import random
import typing as t

import anyio
import attrs
import structlog

from ..exceptions import HistoryTruncatedError
from ..exceptions import PlatformUnavailableError
from ..jobs.store import Page
from ..jobs.store import Store
from ..jobs.store import StoredRow

WAIT_S = 1.2
"""Longest wait for a change in one call. A connection that no longer answers is thus
found within 1.9 s, below the 2 s within which a new configuration must be in force."""
RETRY_MIN_S = 0.05
"""First delay after a failed call. Delays are shortened by up to a half at random, so
that the nodes do not all retry at once."""
RETRY_MAX_S = 0.4
"""Longest delay after a failed call, so that a store that has become available again is
read within this time."""

_LOG = structlog.get_logger()

OnRows = t.Callable[[t.Sequence[StoredRow], bool], None]
"""Called with rows, and whether they are a snapshot of all rows or only changes."""


@attrs.define
class Follower:
    """Reads partitions of a table, then follows every change of the table.

    The partitions are read again if the store no longer has all changes since. They are
    read one after the other, so that their pages differ in version. Changes that a page
    has already are not passed on again.

    :param store: the store.
    :param table: the table.
    :param parts: lists the partitions to read for a snapshot.
    :param on_rows: called with each snapshot and with the rows of each change.
    :param rng: source of the jitter of retries.
    :param wait_s: longest time in seconds that one call waits for a change.
    :param pause_s: seconds between calls; greater than 0 for changes that need not be
        applied at once.
    :param after: version after which changes are followed; 0 to read a snapshot first.
    :param delivered: version up to which all changes were passed to ``on_rows``.
    :param on_caught_up: called with the time, in seconds of the boot clock, up to which
        all changes were passed to ``on_rows``; ``None`` if not needed.
    :param read_boot: reads the boot clock, which also counts while the VM is suspended.
    """

    store: Store
    table: str
    parts: t.Callable[[], t.Sequence[str]]
    on_rows: OnRows
    rng: random.Random
    wait_s: float = WAIT_S
    pause_s: float = 0.0
    after: int = 0
    delivered: int = 0
    on_caught_up: t.Callable[[float], None] | None = None
    read_boot: t.Callable[[], float] = anyio.current_time
    _page_versions: dict[str, int] = attrs.field(factory=dict)

    async def run(self) -> t.NoReturn:
        """Follow the table until cancelled; outages of the store are waited for."""
        delay = RETRY_MIN_S
        while True:
            try:
                long_polled = self.after > 0
                await self._advance()
                delay = RETRY_MIN_S
                if self.pause_s and long_polled:
                    await anyio.sleep(self.pause_s)
            except HistoryTruncatedError:
                _LOG.info(
                    "change history lost, reading a new snapshot", table=self.table
                )
                self.after = 0
            except PlatformUnavailableError:
                await anyio.sleep(delay * self.rng.uniform(0.5, 1.0))
                delay = min(delay * 2, RETRY_MAX_S)

    async def _advance(self) -> None:
        sent_at = self.read_boot()
        if not self.after:
            await self._read_snapshot()
            self._report_caught_up(sent_at)
            return
        asked_at = anyio.current_time()
        page = await self.store.follow(self.table, self.after, self.wait_s)
        self.after = self.delivered = max(self.after, page.version)
        if page.rows:
            self.on_rows(self._select_new(page.rows), False)
            self._report_caught_up(sent_at)
        elif anyio.current_time() - asked_at >= self.wait_s:
            # the store waited for the whole time and reported no change
            self._report_caught_up(sent_at + self.wait_s)

    def resume(self, versions: t.Mapping[str, int]) -> None:
        """Continue after pages that were read, with the changes that they lack.

        :param versions: versions of the pages by partition.
        """
        self._page_versions = dict(versions)
        self.after = min(versions.values(), default=0)
        self.delivered = max(self.delivered, self.after)

    def _select_new(self, rows: t.Sequence[StoredRow]) -> list[StoredRow]:
        """Select the changes that the pages lack."""
        versions = self._page_versions
        return [row for row in rows if row.version > versions.get(row.row_id.part, 0)]

    def _report_caught_up(self, at: float) -> None:
        if self.on_caught_up is not None:
            self.on_caught_up(at)

    async def _read_snapshot(self) -> None:
        pages: dict[str, Page] = {}
        for part in self.parts():
            pages[part] = await self.store.read(self.table, part)
        rows = [row for page in pages.values() for row in page.rows]
        self.on_rows(rows, True)
        self.resume({part: page.version for part, page in pages.items()})
        if not pages:
            await anyio.sleep(RETRY_MIN_S)
