"""Guards against slow shard claims because partitions are read one after the other."""

import typing as t

import anyio
import attrs
import pytest

from onyxgap.daemons.reading import read_partitions
from onyxgap.exceptions import PlatformUnavailableError
from onyxgap.jobs.store import Page
from onyxgap.standins.virtual import run_virtually

LATENCY_S = 0.2
PARTITIONS = [("jobs", str(number)) for number in range(8)] + [("progress", "s")]


@attrs.define
class SlowStore:
    """A store with a fixed latency that can fail the reads of one partition."""

    failing_part: str = ""

    async def read(self, table: str, part: str, key: str = "") -> Page:
        await anyio.sleep(LATENCY_S)
        if part == self.failing_part:
            raise PlatformUnavailableError("slow")
        return Page((), hash((table, part)), 0.0)


async def time_reads(store: t.Any) -> tuple[tuple[Page, ...], float]:
    started = anyio.current_time()
    pages = await read_partitions(store, PARTITIONS)
    return pages, anyio.current_time() - started


def test_partitions_are_read_concurrently() -> None:
    # reading them one after the other took nine times as long
    pages, took_s = run_virtually(time_reads, SlowStore())
    assert [page.version for page in pages] == [hash(item) for item in PARTITIONS]
    assert took_s == pytest.approx(LATENCY_S)


def test_failed_read_of_one_partition_is_raised() -> None:
    with pytest.raises(PlatformUnavailableError):
        run_virtually(time_reads, SlowStore(failing_part="3"))
