"""How long a new owner reads before it starts anything."""

import typing as t

import anyio
import attrs
import pytest

from onyxgap.daemons.reading import read_at_once
from onyxgap.exceptions import PlatformUnavailableError
from onyxgap.jobs.store import Page
from onyxgap.standins.virtual import run_virtually

ANSWER_S = 0.2
WANTED = [("jobs", str(number)) for number in range(8)] + [("progress", "s")]


@attrs.define
class SlowStore:
    """A store that takes a while for each answer, and may fail one partition."""

    failing: str = ""

    async def read(self, table: str, part: str, key: str = "") -> Page:
        await anyio.sleep(ANSWER_S)
        if part == self.failing:
            raise PlatformUnavailableError("slow")
        return Page((), hash((table, part)), 0.0)


async def measure(store: t.Any) -> tuple[tuple[Page, ...], float]:
    started = anyio.current_time()
    pages = await read_at_once(store, WANTED)
    return pages, anyio.current_time() - started


def test_all_partitions_are_read_in_the_time_of_one() -> None:
    # one after the other, they took nine times as long
    pages, took_s = run_virtually(measure, SlowStore())
    assert [page.version for page in pages] == [hash(item) for item in WANTED]
    assert took_s == pytest.approx(ANSWER_S)


def test_one_partition_without_an_answer_fails_the_whole() -> None:
    with pytest.raises(PlatformUnavailableError):
        run_virtually(measure, SlowStore(failing="3"))
