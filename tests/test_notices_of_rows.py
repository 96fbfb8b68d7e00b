"""Rows of which an owner got a notice, but which the change feed has not brought."""

import typing as t

import anyio
import attrs

from onyxgap.clocks import SystemClocks
from onyxgap.exceptions import PlatformUnavailableError
from onyxgap.jobs import tables
from onyxgap.jobs.job import Job
from onyxgap.jobs.messages import JobState
from onyxgap.jobs.messages import QueuePolicy
from onyxgap.jobs.messages import Step
from onyxgap.jobs.messages import Submission
from onyxgap.jobs.store import Page
from onyxgap.jobs.store import StoredRow
from tests.owners import build_owner

JOB_ID = "a" * 16
SUBMISSION = Submission(JOB_ID, QueuePolicy("queue", "shard"), "", (Step(1, cpu=1),))


@attrs.define
class BreakingStore:
    """Store with the cancellation of a job, whose first read breaks."""

    reads: int = 0

    async def read(self, table: str, part: str, key: str = "") -> Page:
        self.reads += 1
        if self.reads == 1:
            raise PlatformUnavailableError("connection closed")
        row = tables.get_cancel_row("shard", JOB_ID)
        return Page((StoredRow(row, b"1", 1),), 1, 0.0)


def test_noticed_cancel_is_read_again_after_a_connection_broke() -> None:
    async def main() -> None:
        nothing: t.Any = None
        owner = build_owner(nothing, SystemClocks())
        store: t.Any = BreakingStore()
        owner.context = attrs.evolve(owner.context, store=store)
        owner.state.add_job(Job(SUBMISSION), owner._now(), 0.0)
        await owner._fetch_unless_known(JOB_ID + tables.CANCEL_SUFFIX)
        assert owner.state.jobs[JOB_ID].state is JobState.CANCELLED
        assert store.reads == 2

    anyio.run(main)
