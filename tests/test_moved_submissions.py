"""Guards against jobs that are stored under two services of a queue that moved."""

import typing as t

import anyio
import attrs
import pytest

from onyxgap.daemons.expiry import MAX_REMOVED_POINTERS
from onyxgap.daemons.expiry import build_pointer_remover
from onyxgap.daemons.node import Node
from onyxgap.exceptions import DocumentError
from onyxgap.jobs import tables
from onyxgap.jobs.desk import SubmitOutcome
from onyxgap.jobs.messages import JobState
from onyxgap.jobs.routing import Route
from onyxgap.jobs.store import Batch
from onyxgap.jobs.submissions import SubmissionPointer
from onyxgap.jobs.submissions import decode_row
from onyxgap.jobs.submissions import encode_pointer
from onyxgap.jobs.submissions import encode_submission
from onyxgap.platform.store import encode_batch
from onyxgap.standins.emulator.store import EmulatedStore
from tests.outdated_nodes import list_stored_services
from tests.test_node_parts import POLICY
from tests.test_node_parts import ROUTE
from tests.test_node_parts import SUBMISSION
from tests.test_node_parts import ScriptedStore
from tests.test_node_parts import build_node
from tests.test_node_parts import run_with_store
from tests.test_queue_moves import address_to
from tests.test_queue_moves import configure

JOB_ID = SUBMISSION.job_id
RETENTION_S = 180.0


def run_moved(test: t.Callable[[Node, Node, EmulatedStore], t.Awaitable[None]]) -> None:
    """Run a test with nodes under version 1 and under 2, which moves the queue."""

    async def run(scripted: ScriptedStore, store: EmulatedStore) -> None:
        outdated, updated = build_node(scripted), build_node(scripted)
        configure(outdated, 1, "s")
        configure(updated, 1, "s")
        configure(updated, 2, "s2")
        await test(outdated, updated, store)

    run_with_store(run)


def test_late_write_under_the_former_service_stores_no_second_job() -> None:
    async def test(outdated: Node, updated: Node, store: EmulatedStore) -> None:
        await updated.job_api.submit(address_to("s2"))
        row = tables.get_job_row("s", JOB_ID)
        store.apply(Batch({row: 0}, {row: encode_submission(SUBMISSION)}))
        assert list_stored_services(store, "s", "s2") == ["s2"]

    run_moved(test)


@pytest.mark.parametrize("first", ["outdated", "updated"])
def test_job_sent_to_nodes_with_different_versions_is_stored_once(first: str) -> None:
    async def test(outdated: Node, updated: Node, store: EmulatedStore) -> None:
        nodes = [(outdated, SUBMISSION), (updated, address_to("s2"))]
        for node, submission in nodes if first == "outdated" else nodes[::-1]:
            result = await node.job_api.submit(submission)
            assert result.outcome is SubmitOutcome.ACCEPTED
        assert len(list_stored_services(store, "s", "s2")) == 1

    run_moved(test)


def test_different_job_under_a_used_id_is_rejected_by_an_outdated_node() -> None:
    async def test(outdated: Node, updated: Node, store: EmulatedStore) -> None:
        await updated.job_api.submit(address_to("s2"))
        result = await outdated.job_api.submit(attrs.evolve(SUBMISSION, spec="other"))
        assert result.outcome is SubmitOutcome.OTHER_REQUEST

    run_moved(test)


def test_outdated_node_finds_and_cancels_a_job_of_the_new_service() -> None:
    async def test(outdated: Node, updated: Node, store: EmulatedStore) -> None:
        await updated.job_api.submit(address_to("s2"))
        route = Route("h", "/p/", POLICY)
        assert await outdated.job_api.get_state(route, JOB_ID) is JobState.QUEUED
        assert await outdated.job_api.cancel(ROUTE, JOB_ID) is True
        assert tables.get_cancel_row("s2", JOB_ID) in store.rows
        assert tables.get_cancel_row("s", JOB_ID) not in store.rows

    run_moved(test)


def test_job_of_a_queue_that_never_moved_is_written_to_one_partition() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        node = build_node(scripted)
        configure(node, 1, "s")
        await node.job_api.submit(SUBMISSION)
        assert tables.get_job_row("s2", JOB_ID) not in store.rows

    run_with_store(test)


def test_only_declared_transactions_go_across_partitions() -> None:
    assert "across" not in encode_batch(Batch({}, {}))
    assert encode_batch(Batch({}, {}, across=True))["across"] is True


@pytest.mark.parametrize("value", [b'{"moved_to":', b'{"moved_to":}', b"{}"])
def test_malformed_pointer_is_not_decoded(value: bytes) -> None:
    with pytest.raises(DocumentError):
        decode_row(value)


def test_pointers_are_removed_after_the_retention_period() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        remover = build_pointer_remover("s", scripted)
        jobs = [f"{number:016x}" for number in range(MAX_REMOVED_POINTERS + 1)]
        for job_id in jobs:
            row = tables.get_job_row("s", job_id)
            store.put(row, encode_pointer(SubmissionPointer("s2")))
            remover.note(job_id, store.version, anyio.current_time())
        assert remover.select_due(RETENTION_S - 1, RETENTION_S) == []
        due = remover.select_due(RETENTION_S + 1, RETENTION_S)
        assert [pointer.job_id for pointer in due] == jobs[:MAX_REMOVED_POINTERS]
        for pointer in due:
            await remover.remove(pointer, RETENTION_S + 1)
        left = [row.key for row in store.rows]
        assert left == [jobs[0], jobs[-1]]
        # the first removal was refused
        late = 2 * RETENTION_S + 2
        due = remover.select_due(late, RETENTION_S)
        assert [pointer.job_id for pointer in due] == [jobs[-1], jobs[0]]

    run_with_store(test, "refuse")
