"""Guards against jobs that run although a cancellation was answered "no such job".

The write of a submission that got no answer may be carried out after the cancellation.
"""

import typing as t

import anyio
import attrs
import pytest

from onyxgap.daemons.expiry import MAX_REMOVED_TOMBSTONES
from onyxgap.daemons.expiry import build_tombstone_remover
from onyxgap.daemons.node import Node
from onyxgap.daemons.submission_store import SubmissionStore
from onyxgap.exceptions import DocumentError
from onyxgap.jobs import tables
from onyxgap.jobs.desk import SubmitOutcome
from onyxgap.jobs.desk import Unavailable
from onyxgap.jobs.messages import JobState
from onyxgap.jobs.messages import QueuePolicy
from onyxgap.jobs.passing import CallKind
from onyxgap.jobs.passing import PassedCall
from onyxgap.jobs.routing import Route
from onyxgap.jobs.store import Batch
from onyxgap.jobs.store import OutcomeUnknown
from onyxgap.jobs.store import RowId
from onyxgap.jobs.store import StoredRow
from onyxgap.jobs.store import WriteOutcome
from onyxgap.jobs.tenants import Caller
from onyxgap.jobs.tombstones import Tombstone
from onyxgap.jobs.tombstones import decode_tombstone
from onyxgap.jobs.tombstones import encode_tombstone
from onyxgap.standins.emulator.script import parse_script
from onyxgap.standins.emulator.store import EmulatedStore
from tests.emulated import play
from tests.owners import build_owner
from tests.test_colliding_ids import BIDS
from tests.test_colliding_ids import SALES
from tests.test_colliding_ids import build_submission
from tests.test_colliding_ids import configure
from tests.test_forwarded_versions import build_forwarding_api
from tests.test_node_parts import SUBMISSION
from tests.test_node_parts import ScriptedStore
from tests.test_node_parts import build_node
from tests.test_node_parts import run_with_store

JOB_ID = SUBMISSION.job_id
NORTH, SOUTH = Caller("north"), Caller("south")
MOVED_BIDS = Route("h", "/bids/", QueuePolicy("bids", "kiosks"))
RETENTION_S = 180.0
DAY = """
nodes 3
pool ring vms 4
load ring every 0.1 from 2 to 20 width 3 work 0.5 cpu 1 withdraw 1
at 6 late store for 2.6 by 1
at 13 late store for 2.6 by 1
end 30
"""


@attrs.define
class HoldingStore(ScriptedStore):
    """Store that holds up the writes of submissions, as a cut does."""

    held: list[Batch] = attrs.field(factory=list)
    holds: bool = False

    async def write(self, batch: Batch, timeout_s: float = 1.0) -> WriteOutcome:
        is_submission = any(row.key == JOB_ID for row in batch.puts)
        if not self.holds or not is_submission:
            return await super().write(batch, timeout_s)
        self.held.append(batch)
        await anyio.sleep(timeout_s)
        return OutcomeUnknown("no answer")


@attrs.define
class Place:
    """A node that is cut off, and one that is not.

    :param cut: the former.
    :param cut_store: the store as it reaches it.
    :param node: the latter.
    :param store: the store.
    """

    cut: Node
    cut_store: HoldingStore
    node: Node
    store: EmulatedStore

    async def submit_behind_the_cut(self, submission: t.Any) -> None:
        self.cut_store.holds = True
        result = await self.cut.job_api.submit(submission)
        assert result.outcome is SubmitOutcome.UNKNOWN

    def heal(self) -> None:
        """Carry out the writes that were held up."""
        self.cut_store.holds = False
        for batch in self.cut_store.held:
            self.store.apply(batch)

    def list_stored(self) -> list[str]:
        """List the services that have the job."""
        return [
            service
            for service in ("auctions", "kiosks")
            if tables.get_job_row(service, JOB_ID) in self.store.rows
        ]


def run_place(
    test: t.Callable[[Place], t.Awaitable[None]],
    *script: str,
    routes: tuple[Route, ...] = (BIDS, SALES),
) -> None:
    async def run(scripted: ScriptedStore, store: EmulatedStore) -> None:
        cut_store = HoldingStore(scripted.inner, [])
        place = Place(build_node(cut_store), cut_store, build_node(scripted), store)
        for node in (place.cut, place.node):
            configure(node, 1, *routes)
            assert await node.job_api._update_queue_moves()
        scripted.script += script
        await test(place)

    run_with_store(run)


def test_held_up_write_stores_no_job_that_was_cancelled_meanwhile() -> None:
    async def test(place: Place) -> None:
        await place.submit_behind_the_cut(build_submission(BIDS))
        assert await place.node.job_api.cancel(BIDS, JOB_ID) is False
        place.heal()
        assert place.list_stored() == []
        assert await place.node.job_api.get_state(BIDS, JOB_ID) is None

    run_place(test)


def test_job_that_was_cancelled_first_is_rejected_by_every_node() -> None:
    async def test(place: Place) -> None:
        assert await place.node.job_api.cancel(BIDS, JOB_ID) is False
        for node in (place.node, place.cut):
            result = await node.job_api.submit(build_submission(BIDS))
            assert result.outcome is SubmitOutcome.CANCELLED
        assert await place.cut.job_api.cancel(BIDS, JOB_ID) is False

    run_place(test)


def test_job_that_is_stored_during_its_cancellation_is_cancelled() -> None:
    async def test(place: Place) -> None:
        await place.submit_behind_the_cut(build_submission(BIDS))
        find = SubmissionStore.find

        async def find_before_the_cut_heals(*args: t.Any) -> t.Any:
            found = await find(*args)
            place.heal()
            return found

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(SubmissionStore, "find", find_before_the_cut_heals)
            assert await place.node.job_api.cancel(BIDS, JOB_ID) is True
        assert tables.get_cancel_row("auctions", JOB_ID) in place.store.rows

    run_place(test)


@pytest.mark.parametrize("first", [BIDS, MOVED_BIDS])
def test_held_up_write_to_a_former_or_later_service_stores_no_cancelled_job(
    first: Route,
) -> None:
    async def test(place: Place) -> None:
        later = MOVED_BIDS if first is BIDS else BIDS
        configure(place.node, 2, later)
        await place.submit_behind_the_cut(build_submission(first))
        assert await place.node.job_api.cancel(later, JOB_ID) is False
        place.heal()
        assert place.list_stored() == []

    run_place(test, routes=(first,))


def test_forwarded_cancellation_keeps_the_job_from_being_stored() -> None:
    async def test(place: Place) -> None:
        await place.submit_behind_the_cut(build_submission(BIDS))
        call = PassedCall(CallKind.CANCEL, JOB_ID, "", "bids", "auctions")
        answer = await build_forwarding_api(place.node).answer(call)
        assert answer.outcome == "gone"
        place.heal()
        assert place.list_stored() == []

    run_place(test)


@pytest.mark.parametrize("step", ["drop", "refuse"])
def test_cancellation_whose_mark_is_not_stored_is_not_answered(step: str) -> None:
    async def test(place: Place) -> None:
        result = await place.node.job_api.cancel(BIDS, JOB_ID)
        assert result is Unavailable.STORE

    run_place(test, *[step] * 60)


def test_cancellation_in_one_queue_does_not_stop_the_job_of_another() -> None:
    async def test(place: Place) -> None:
        assert await place.node.job_api.cancel(SALES, JOB_ID) is False
        result = await place.node.job_api.submit(build_submission(BIDS))
        assert result.outcome is SubmitOutcome.ACCEPTED
        assert await place.node.job_api.get_state(BIDS, JOB_ID) is JobState.QUEUED
        # the first job still cannot be stored
        result = await place.cut.job_api.submit(build_submission(SALES))
        assert result.outcome is SubmitOutcome.OTHER_REQUEST

    run_place(test)


@pytest.mark.parametrize(
    ("caller", "outcome"),
    [(NORTH, SubmitOutcome.CANCELLED), (SOUTH, SubmitOutcome.ACCEPTED)],
)
def test_cancellation_of_one_tenant_does_not_stop_the_job_of_another(
    caller: Caller, outcome: SubmitOutcome
) -> None:
    async def test(place: Place) -> None:
        assert await place.node.job_api.cancel(BIDS, JOB_ID, caller) is False
        job = build_submission(BIDS, NORTH.tenant)
        assert (await place.node.job_api.submit(job)).outcome is outcome

    run_place(test)


def test_cancellation_of_a_stored_job_leaves_no_tombstone() -> None:
    async def test(place: Place) -> None:
        await place.node.job_api.submit(build_submission(BIDS))
        assert await place.node.job_api.cancel(BIDS, JOB_ID) is True
        assert await place.node.job_api.cancel(SALES, JOB_ID) is False
        assert not any(map(tables.is_tombstone, place.store.rows))

    run_place(test)


def test_owner_takes_no_tombstone_for_a_job() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        owner = build_owner(t.cast(t.Any, None), t.cast(t.Any, Clocks()), scripted)
        value = encode_tombstone(Tombstone("q"))
        row = StoredRow(tables.get_tombstone_row("shard", JOB_ID), value, 5)
        owner._apply_job_rows([row], True)
        assert not owner.state.jobs and not owner.state.early_cancels
        later = Clocks().read_monotonic() + RETENTION_S + 1
        (marker,) = owner._tombstone_remover.select_due(later, RETENTION_S)
        assert (marker.job_id, marker.version) == (JOB_ID, 5)

    run_with_store(test)


class Clocks:
    """Clocks that stand still."""

    def read_monotonic(self) -> float:
        return 10.0

    def read_boot(self) -> float:
        return 10.0

    def read_wall(self) -> float:
        return 1e9


def test_tombstones_are_removed_after_the_retention_period() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        remover = build_tombstone_remover("s", scripted)
        jobs = [f"{number:016x}" for number in range(MAX_REMOVED_TOMBSTONES + 1)]
        for job_id in jobs:
            row = tables.get_tombstone_row("s", job_id)
            store.put(row, encode_tombstone(Tombstone("q")))
            remover.note(job_id, store.version, 0.0)
        assert remover.select_due(RETENTION_S - 1, RETENTION_S) == []
        for marker in remover.select_due(RETENTION_S + 1, RETENTION_S):
            await remover.remove(marker, RETENTION_S + 1)
        assert list(store.rows) == [tables.get_tombstone_row("s", jobs[-1])]

    run_with_store(test)


@pytest.mark.parametrize("value", [b"1", b"[]", b"{", b'{"queue":1}', b"{}"])
def test_malformed_tombstone_is_not_decoded(value: bytes) -> None:
    with pytest.raises(DocumentError):
        decode_tombstone(value)


def test_malformed_tombstone_keeps_its_job_from_being_stored() -> None:
    async def test(place: Place) -> None:
        row: RowId = tables.get_tombstone_row("auctions", JOB_ID)
        place.store.put(row, b"1")
        result = await place.node.job_api.submit(build_submission(BIDS))
        assert result.outcome is SubmitOutcome.CANCELLED

    run_place(test)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_jobs_cancelled_beside_late_writes_do_not_run(seed: int) -> None:
    result = play(parse_script("withdrawn", DAY), seed)
    assert [f"{item.rule}: {item.detail}" for item in result.breaches] == []
