"""Log lines about owners that hear no changes of their jobs."""

import typing as t

import anyio
import structlog.testing

from onyxgap.daemons.feed_watch import REPORT_AFTER_S
from onyxgap.daemons.feed_watch import FeedWatch
from onyxgap.jobs.store import Page
from onyxgap.standins.emulator.slots import EmulatedClocks
from onyxgap.standins.virtual import run_virtually
from tests.owners import build_owner

LIMIT_S = 3.0
"""Time without changes within which an owner has to say so."""
DAY_S = 10.0
NOTHING: t.Any = None


def check(watch: FeedWatch, *times: float) -> list[tuple[str, float]]:
    with structlog.testing.capture_logs() as lines:
        for now in times:
            watch.check(now)
    return [(line["event"], line["unheard_s"]) for line in lines]


def test_feed_that_does_not_answer_is_logged_until_it_does() -> None:
    watch = FeedWatch("s", 3, 100.0)
    assert check(watch, 101.0, 102.0, 103.0, 104.0) == [
        ("job changes not heard", 2.0),
        ("job changes not heard", 4.0),
    ]
    watch.note_heard(104.5)
    assert check(watch, 105.0, 106.0) == [("job changes heard again", 0.5)]


def test_late_answer_does_not_make_the_feed_older() -> None:
    watch = FeedWatch("s", 3, 100.0)
    watch.note_heard(99.0)
    assert check(watch, 100.0 + REPORT_AFTER_S / 2) == []


class FeedStore:
    """A store whose change feed answers for some time, without changes."""

    def __init__(self, until: float) -> None:
        self.until = until

    async def follow(self, table: str, after: int, wait_s: float) -> Page:
        await anyio.sleep(wait_s)
        if anyio.current_time() > self.until:
            await anyio.sleep_forever()
        return Page((), after, 0)


async def follow(until: float) -> list[tuple[str, float]]:
    """Follow the jobs of a shard; return the lines with the times of the owner."""
    store: t.Any = FeedStore(until)
    owner = build_owner(NOTHING, EmulatedClocks(), store)
    owner._job_follower.after = 1
    with structlog.testing.capture_logs() as lines:
        async with anyio.create_task_group() as group:
            group.start_soon(owner._job_follower.run)
            group.start_soon(owner._report_changes)
            await anyio.sleep(DAY_S)
            group.cancel_scope.cancel()
    return [(line["event"], line["unheard_s"]) for line in lines]


def test_owner_whose_feed_answers_without_changes_is_not_logged() -> None:
    assert run_virtually(follow, 2 * DAY_S) == []


def test_owner_that_hears_no_changes_says_so_in_time_and_again() -> None:
    lines = run_virtually(follow, DAY_S / 2)
    assert {event for event, _ in lines} == {"job changes not heard"}
    assert len(lines) == 2
    assert lines[0][1] <= LIMIT_S
