"""Follows the changes of a table and hands them on."""

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
"""Longest wait for a change: a channel that went silent is found within 1.9 s,
below the 2 s in which a new configuration must be in force."""
RETRY_MIN_S = 0.05
"""First pause after a failed call, halved at random so that nodes do not return as
one."""
RETRY_MAX_S = 0.4
"""A store that returns is read again within this time."""

_LOG = structlog.get_logger()

OnRows = t.Callable[[t.Sequence[StoredRow], bool], None]


@attrs.define
class Follower:
    """Reads some partitions of a table whole, then every change.

    :param store: the store.
    :param table: the table.
    :param parts: partitions to read at the start.
    :param on_rows: takes rows, and whether they are all that there is.
    :param rng: spreads retries.
    :param wait_s: longest wait of one call.
    :param pause_s: pause between calls, for changes that may be late.
    :param after: version to start from without reading, 0 to read.
    :param on_current: takes the moment, on the boot clock, up to which every change
        was handed on; ``None`` where nobody asks.
    :param read_boot: reads that clock, which counts while the VM is suspended.
    """

    store: Store
    table: str
    parts: t.Callable[[], t.Sequence[str]]
    on_rows: OnRows
    rng: random.Random
    wait_s: float = WAIT_S
    pause_s: float = 0.0
    after: int = 0
    on_current: t.Callable[[float], None] | None = None
    read_boot: t.Callable[[], float] = anyio.current_time

    async def run(self) -> t.NoReturn:
        """Follow the table for ever, through outages of the store."""
        delay = RETRY_MIN_S
        while True:
            try:
                waits = self.after > 0
                await self._advance()
                delay = RETRY_MIN_S
                if self.pause_s and waits:
                    await anyio.sleep(self.pause_s)
            except HistoryTruncatedError:
                _LOG.info("history lost, reading again", table=self.table)
                self.after = 0
            except PlatformUnavailableError:
                await anyio.sleep(delay * self.rng.uniform(0.5, 1.0))
                delay = min(delay * 2, RETRY_MAX_S)

    async def _advance(self) -> None:
        sent_at = self.read_boot()
        if not self.after:
            await self._read_whole()
            self._note_current(sent_at)
            return
        asked_at = anyio.current_time()
        page = await self.store.follow(self.table, self.after, self.wait_s)
        self.after = max(self.after, page.version)
        if page.rows:
            self.on_rows(page.rows, False)
            self._note_current(sent_at)
        elif anyio.current_time() - asked_at >= self.wait_s:
            # the store waited all the while, and nothing changed
            self._note_current(sent_at + self.wait_s)

    def _note_current(self, at: float) -> None:
        if self.on_current is not None:
            self.on_current(at)

    async def _read_whole(self) -> None:
        pages: list[Page] = []
        for part in self.parts():
            pages.append(await self.store.read(self.table, part))
        rows = [row for page in pages for row in page.rows]
        self.on_rows(rows, True)
        self.after = min((page.version for page in pages), default=0)
        if not pages:
            await anyio.sleep(RETRY_MIN_S)
