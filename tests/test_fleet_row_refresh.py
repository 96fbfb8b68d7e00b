"""Workers are open again though the change feed does not tell of a lifted cordon."""

import random
import typing as t

import anyio

from onyxgap.daemons.fleet_row_refresh import REFRESH_INTERVAL_S
from onyxgap.daemons.fleet_row_refresh import FleetRowRefresher
from onyxgap.daemons.follower import Follower
from onyxgap.exceptions import PlatformUnavailableError
from onyxgap.jobs import tables
from onyxgap.jobs.store import Page
from onyxgap.jobs.store import StoredRow
from onyxgap.standins.virtual import run_virtually


class ScriptedStore:
    """Answers reads of the row, first with an error."""

    def __init__(self, version: int) -> None:
        self.version = version
        self.reads = 0

    async def read(self, table: str, part: str, key: str = "") -> Page:
        assert (table, part) == (tables.FLEET_TABLE, tables.FLEET_SHARD)
        self.reads += 1
        if self.reads == 1:
            raise PlatformUnavailableError("no answer")
        row = StoredRow(tables.get_fleet_row(), b"{}", self.version)
        return Page((row,), self.version, 0)


class Harness:
    """A refresher whose feed has delivered all changes up to version 7."""

    def __init__(self, version: int, cordoned: bool = True) -> None:
        self.store: t.Any = ScriptedStore(version)
        self.cordoned = cordoned
        self.rows: list[StoredRow] = []
        self.follower = Follower(
            self.store, tables.FLEET_TABLE, list, self.take, random.Random(1)
        )
        self.follower.delivered = 7

    def take(self, rows: t.Sequence[StoredRow], snapshot: bool) -> None:
        self.rows += rows

    async def run(self) -> None:
        refresher = FleetRowRefresher(
            self.store, self.follower, self.take, lambda: self.cordoned
        )
        with anyio.move_on_after(2.5 * REFRESH_INTERVAL_S):
            await refresher.run()


def play(harness: Harness) -> Harness:
    run_virtually(harness.run)
    return harness


def test_row_is_read_again_while_the_feed_is_silent() -> None:
    harness = play(Harness(version=7))
    assert harness.store.reads == 2
    assert [row.version for row in harness.rows] == [7]


def test_older_row_does_not_replace_a_delivered_one() -> None:
    assert play(Harness(version=6)).rows == []


def test_row_is_not_read_while_no_worker_is_cordoned() -> None:
    assert play(Harness(version=7, cordoned=False)).store.reads == 0
