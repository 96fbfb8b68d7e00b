"""Guards against ended jobs that run again, or hide new ones, once they are removed."""

import math
import typing as t

import anyio
import attrs
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from onyxgap.daemons.expiry import JobRemover
from onyxgap.daemons.expiry import build_pointer_remover
from onyxgap.daemons.follower import Follower
from onyxgap.daemons.job_versions import JobVersions
from onyxgap.daemons.owner import ShardOwner
from onyxgap.exceptions import PlatformUnavailableError
from onyxgap.jobs import tables
from onyxgap.jobs.encoding import encode_progress
from onyxgap.jobs.encoding import restore_job
from onyxgap.jobs.job import Job
from onyxgap.jobs.messages import JobState
from onyxgap.jobs.messages import QueuePolicy
from onyxgap.jobs.messages import Step
from onyxgap.jobs.messages import Submission
from onyxgap.jobs.ownership import OWNER_TIMEOUT_S
from onyxgap.jobs.progress_rows import StoredProgress
from onyxgap.jobs.routing import Route
from onyxgap.jobs.settings import TimeLimits
from onyxgap.jobs.store import Batch
from onyxgap.jobs.store import RowId
from onyxgap.jobs.store import StoredRow
from onyxgap.jobs.submissions import SubmissionPointer
from onyxgap.jobs.submissions import encode_pointer
from onyxgap.jobs.submissions import encode_submission
from onyxgap.standins.emulator.script import Script
from onyxgap.standins.emulator.script import parse_script
from onyxgap.standins.emulator.slots import EmulatedClocks
from onyxgap.standins.emulator.store import EmulatedStore
from tests.emulated import DAYS
from tests.emulated import play
from tests.owners import build_owner
from tests.test_node_parts import ScriptedStore
from tests.test_node_parts import build_node
from tests.test_node_parts import run_with_store

ARRIVALS_PER_S = 22
"""Jobs a second of one queue, as on the largest deployments."""
KEPT_S = 3.0
"""Time for which ended jobs are kept with a retention of two seconds."""
LOAD_S = 10.0
"""Time that reading a shard takes: longer than the owner timeout."""
JOB_ID = "a" * 16
POLICY = QueuePolicy("q", "shard")
ROUTE = Route("h", "/p/", POLICY)
SUBMISSION = Submission(JOB_ID, POLICY, "spec", (Step(1, cpu=10),))
RESUBMITTED = attrs.evolve(SUBMISSION, spec="again")
JOB_ROW = tables.get_job_row("shard", JOB_ID)
CANCEL_ROW = tables.get_cancel_row("shard", JOB_ID)
OTHER_ROW = RowId(JOB_ROW.table, "shard/99", "x")


def build_row(version: int, submission: Submission = SUBMISSION) -> StoredRow:
    return StoredRow(JOB_ROW, encode_submission(submission), version)


def build_owner_with_ended_job(store: ScriptedStore) -> ShardOwner:
    """Build an owner of a job that has ended, stored as version 5."""
    owner = build_owner(t.cast(t.Any, None), EmulatedClocks(), store)
    progress = encode_progress(Job(SUBMISSION, version=5, state=JobState.SUCCEEDED))
    owner._apply_job_rows([build_row(5)], True, {JOB_ID: StoredProgress(progress)})
    assert JOB_ID in owner.state.final
    return owner


def remove_job(owner: ShardOwner, version: int) -> None:
    """Do as the owner does once a transaction has removed the job's progress."""
    owner._remover.note_removed([JOB_ID])
    owner.writer.version = version
    commit = owner._build_commit(())
    assert commit is not None
    assert commit.expired == (JOB_ID,)
    owner._apply_commit(commit)
    assert JOB_ID not in owner.state.final


def run_with_owner(
    test: t.Callable[[ShardOwner, EmulatedStore], t.Awaitable[None]],
) -> None:
    async def run(scripted: ScriptedStore, store: EmulatedStore) -> None:
        await test(build_owner_with_ended_job(scripted), store)

    run_with_store(run)


@pytest.mark.parametrize("snapshot", [True, False])
def test_submission_read_before_its_removal_is_no_new_job(snapshot: bool) -> None:
    async def test(owner: ShardOwner, store: EmulatedStore) -> None:
        remove_job(owner, 9)
        owner._apply_job_rows([build_row(5)], snapshot)
        assert JOB_ID not in owner.state.jobs

    run_with_owner(test)


def test_cancellation_read_before_its_removal_cancels_no_new_job() -> None:
    async def test(owner: ShardOwner, store: EmulatedStore) -> None:
        remove_job(owner, 9)
        owner._apply_job_rows([StoredRow(CANCEL_ROW, b"1", 6)], True)
        owner._apply_job_rows([build_row(10, RESUBMITTED)], False)
        assert owner.state.jobs[JOB_ID].state is JobState.QUEUED

    run_with_owner(test)


@pytest.mark.parametrize("removed", [True, False])
def test_job_stored_again_after_its_removal_is_a_new_job(removed: bool) -> None:
    async def test(owner: ShardOwner, store: EmulatedStore) -> None:
        if removed:
            remove_job(owner, 9)
        owner._apply_job_rows([build_row(10, RESUBMITTED)], False)
        assert owner.state.jobs[JOB_ID].submission == RESUBMITTED
        assert JOB_ID not in owner.state.final

    run_with_owner(test)


def test_progress_of_a_job_stored_again_is_not_removed() -> None:
    async def test(owner: ShardOwner, store: EmulatedStore) -> None:
        owner._remover.note_removed([JOB_ID])
        commit = owner._build_commit(())
        assert commit is not None
        owner._apply_job_rows([build_row(10, RESUBMITTED)], False)
        owner._apply_commit(commit)
        assert JOB_ID in owner.state.jobs
        assert owner._remover.list_removed() == ()
        owner._apply_job_rows([build_row(10, RESUBMITTED)], True)
        assert JOB_ID in owner.state.dirty

    run_with_owner(test)


def test_progress_of_a_removed_job_is_not_that_of_a_new_one_with_its_id() -> None:
    job = restore_job(SUBMISSION, None, 5)
    job.state = JobState.SUCCEEDED
    value = encode_progress(job)
    assert restore_job(SUBMISSION, value, 5).state is JobState.SUCCEEDED
    assert restore_job(RESUBMITTED, value, 10).state is JobState.QUEUED


def test_late_removal_does_not_remove_a_job_stored_again() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        store.put(JOB_ROW, encode_submission(SUBMISSION))
        remover = JobRemover("shard", scripted)
        version = store.version
        assert remover.select_due([JOB_ID]) == [JOB_ID]
        await remover.remove_submission(JOB_ID, version)
        assert remover.list_removed() == (JOB_ID,)
        store.put(JOB_ROW, encode_submission(RESUBMITTED))
        await remover.remove_submission(JOB_ID, version)
        assert JOB_ROW in store.rows

    run_with_store(test)


def test_submission_that_is_gone_counts_as_removed() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        store.put(JOB_ROW, encode_submission(SUBMISSION))
        remover = JobRemover("shard", scripted)
        for _ in range(2):
            remover.select_due([JOB_ID])
            await remover.remove_submission(JOB_ID, store.version)
        assert remover.list_removed() == (JOB_ID,)

    run_with_store(test, "lose")


def test_late_removal_of_a_pointer_does_not_remove_a_submission() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        store.put(JOB_ROW, encode_pointer(SubmissionPointer("s2")))
        remover = build_pointer_remover("shard", scripted)
        remover.note(JOB_ID, store.version, 0.0)
        store.put(JOB_ROW, encode_submission(SUBMISSION))
        for pointer in remover.select_due(9.0, 1.0):
            await remover.remove(pointer, 9.0)
        assert JOB_ROW in store.rows

    run_with_store(test)


def test_late_cancellation_of_a_removed_job_cancels_no_new_one() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        node = build_node(scripted)
        store.put(JOB_ROW, encode_submission(SUBMISSION))
        found = await node.job_api._submissions.find("shard", JOB_ID)
        assert found is not None
        store.apply(Batch({}, {}, (JOB_ROW,)))
        assert await node.job_api._submissions.cancel(found) is False
        store.put(JOB_ROW, encode_submission(RESUBMITTED))
        assert await node.job_api._submissions.cancel(found) is False
        assert CANCEL_ROW not in store.rows
        assert await node.job_api.cancel(ROUTE, JOB_ID) is True
        assert await node.job_api.cancel(ROUTE, JOB_ID) is True

    run_with_store(test)


def test_state_of_a_removed_job_is_not_that_of_a_new_one_with_its_id() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        node = build_node(scripted)
        progress = tables.get_progress_row("shard", JOB_ID)
        store.put(JOB_ROW, encode_submission(SUBMISSION))
        store.put(progress, encode_progress(Job(SUBMISSION, state=JobState.SUCCEEDED)))
        assert await node.job_api.get_state(ROUTE, JOB_ID) is JobState.SUCCEEDED
        store.apply(Batch({}, {}, (JOB_ROW,)))
        store.apply(Batch({}, {}, (progress,)))
        store.put(JOB_ROW, encode_submission(RESUBMITTED))
        assert await node.job_api.get_state(ROUTE, JOB_ID) is JobState.QUEUED

    run_with_store(test)


@pytest.mark.parametrize("page_version", [8, 12])
def test_row_read_on_a_notice_is_applied_unless_the_feed_is_newer(
    page_version: int,
) -> None:
    async def test(owner: ShardOwner, store: EmulatedStore) -> None:
        row = tables.get_job_row("shard", "b" * 16)
        store.put(row, encode_submission(attrs.evolve(SUBMISSION, job_id="b" * 16)))
        store.version = page_version
        owner._job_follower.delivered = 10
        await owner._fetch("b" * 16, "b" * 16)
        assert ("b" * 16 in owner.state.jobs) == (page_version > 10)

    run_with_owner(test)


def test_removals_are_known_until_the_feed_has_passed_them() -> None:
    versions = JobVersions()
    versions.note_stored(JOB_ID, 5)
    versions.note_removed([JOB_ID], 9)
    for position in (0, 8):
        versions.forget_removals(position)
        assert versions.is_outdated(build_row(5))
    assert not versions.is_outdated(build_row(10))
    versions.forget_removals(9)
    assert not versions._removed
    assert not versions._stored


def test_change_that_a_page_of_the_snapshot_has_already_is_not_passed_on() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        seen: list[tuple[str, bool]] = []
        first = RowId("table", "1", "first")
        second = RowId("table", "2", "second")

        class Reader(ScriptedStore):
            async def read(self, table: str, part: str, key: str = "") -> t.Any:
                page = await super().read(table, part, key)
                if part == "1":
                    # stored and removed before the second partition is read
                    store.put(second, b"")
                    store.remove(second)
                    store.put(first, b"")
                return page

        follower = Follower(
            Reader(scripted.inner, []),
            "table",
            lambda: ["1", "2"],
            lambda rows, whole: seen.extend((row.row_id.key, whole) for row in rows),
            build_node(scripted).rng,
        )
        store.put(OTHER_ROW, b"")
        with anyio.move_on_after(1.0):
            await follower.run()
        assert seen == [("first", False)]

    run_with_store(test)


def test_ended_jobs_are_removed_as_fast_as_they_come() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        owner = build_owner(t.cast(t.Any, None), EmulatedClocks(), scripted)
        owner.context = attrs.evolve(owner.context, limits=TimeLimits(status_s=2.0))
        store.put(tables.get_fence_row("shard"), b"")
        owner.writer.version = store.version
        async with anyio.create_task_group() as group:
            owner._group = group
            for number in range(600):
                add_ended_job(owner, store, f"{number:016x}")
                await anyio.sleep(1 / ARRIVALS_PER_S)
                await owner._commit([])
                assert len(store.rows) < 2 * 2 * ARRIVALS_PER_S * KEPT_S
        assert len(owner.state.final) < 2 * ARRIVALS_PER_S * KEPT_S

    run_with_store(test)


def add_ended_job(owner: ShardOwner, store: EmulatedStore, job_id: str) -> None:
    submission = attrs.evolve(SUBMISSION, job_id=job_id)
    row = tables.get_job_row("shard", job_id)
    store.put(row, encode_submission(submission))
    version = store.rows[row].version
    job = Job(submission, version=version, state=JobState.SUCCEEDED)
    progress = encode_progress(job)
    store.put(tables.get_progress_row("shard", job_id), progress)
    stored = {job_id: StoredProgress(progress)}
    owner._apply_job_rows([store.rows[row]], False, stored)


@attrs.define
class SlowReadStore(ScriptedStore):
    """Store whose reads of whole partitions take long."""

    async def read(self, table: str, part: str, key: str = "") -> t.Any:
        if not key:
            await anyio.sleep(LOAD_S)
        return await super().read(table, part, key)


def test_shard_that_is_loaded_for_long_is_not_claimed_by_other_nodes() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        slow = SlowReadStore(scripted.inner, [])
        owner = build_owner(t.cast(t.Any, None), EmulatedClocks(), slow)
        store.put(tables.get_fence_row("shard"), b"")
        owner.writer.version = store.version
        row = tables.get_owner_row("shard")
        beats = []
        async with anyio.create_task_group() as group:
            group.start_soon(owner._load)
            while not owner.loaded:
                await anyio.sleep(OWNER_TIMEOUT_S)
                beats.append(tables.decode_owner(store.rows[row].value).beat)
        assert beats == sorted(set(beats))
        assert len(beats) >= LOAD_S / OWNER_TIMEOUT_S

    run_with_store(test)


def test_shard_that_cannot_be_read_is_not_kept() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        owner = build_owner(t.cast(t.Any, None), EmulatedClocks(), scripted)
        with pytest.raises(PlatformUnavailableError):
            await owner._load()
        assert not owner.loaded

    run_with_store(test, "unreadable")


def build_removal_day(*statements: str) -> Script:
    """Build a day on which jobs are removed three seconds after they ended."""
    text = (DAYS / "short.day").read_text()
    # a request that is sent again after so short a retention would be a new job
    text = text.replace(" resend 0.2", "")
    return parse_script("short", "\n".join([text, "retention 2", *statements]))


@pytest.mark.parametrize("seed", range(1, 6))
def test_removed_jobs_do_not_run_again_after_a_slow_store_lost_its_history(
    seed: int,
) -> None:
    script = build_removal_day(
        "at 8 deaf store for 1",
        "at 9 slow store for 4.5 by 60",
        "at 14 deaf store for 1",
        "at 15 slow store for 2 by 60",
    )
    assert play(script, seed).breaches == []


@attrs.define
class LateReader:
    """A store with one job ID, and an owner that reads it now or as of earlier.

    :param owner: the owner.
    :param row: the submission in the store, ``None`` if there is none.
    :param read: what a snapshot that is being read has of it.
    :param started: versions of the submissions that the owner took for new jobs.
    """

    owner: ShardOwner
    version: int = 10
    row: StoredRow | None = None
    read: StoredRow | None = None
    started: list[int] = attrs.field(factory=list)

    def hand_in(self) -> None:
        """Store a submission unless there is one."""
        self.version += 1
        if self.row is None:
            self.row = build_row(self.version)

    def follow(self) -> None:
        """Deliver all changes, unless a snapshot is being read."""
        if self.owner._job_follower.after:
            self.owner._job_follower.after = self.version
            self._apply(self.row, False)

    def begin_snapshot(self) -> None:
        """Read the submission for a snapshot."""
        self.owner._job_follower.after = 0
        self.read = self.row

    def end_snapshot(self) -> None:
        """Apply the snapshot."""
        if not self.owner._job_follower.after:
            self._apply(self.read, True)
            self.owner._job_follower.after = self.version

    def finish(self) -> None:
        """End the owner's job."""
        job = self.owner.state.jobs.get(JOB_ID)
        if job is not None:
            self.owner.state._move_to_final(job, JobState.SUCCEEDED, 0.0)

    def remove(self) -> None:
        """Remove the rows of an ended job, if the store still has its submission."""
        stored = self.owner._versions.get_stored(JOB_ID)
        if JOB_ID not in self.owner.state.final or self.row is None:
            return
        if self.row.version != stored:
            return
        self.version += 1
        self.row = None
        self.owner.writer._renewed_at = -math.inf
        remove_job(self.owner, self.version)
        self.owner._versions.forget_removals(self.owner._job_follower.after)

    def _apply(self, row: StoredRow | None, snapshot: bool) -> None:
        present = JOB_ID in self.owner.state.jobs
        if row is not None:
            self.owner._apply_job_rows([row], snapshot)
        if JOB_ID in self.owner.state.jobs and not present:
            assert row is not None
            self.started.append(row.version)


ACTS = ("hand_in", "follow", "begin_snapshot", "end_snapshot", "finish", "remove")


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.lists(st.sampled_from(ACTS), min_size=20, max_size=60))
def test_each_submission_is_one_job_in_whatever_order_it_is_read(
    acts: list[str],
) -> None:
    async def run() -> None:
        owner = build_owner(t.cast(t.Any, None), EmulatedClocks())
        owner._job_follower.after = 10
        reader = LateReader(owner)
        for act in [*acts, "end_snapshot", "follow"]:
            getattr(reader, act)()
        assert len(reader.started) == len(set(reader.started))
        if reader.row is not None:
            assert reader.started[-1] == reader.row.version

    anyio.run(run)
