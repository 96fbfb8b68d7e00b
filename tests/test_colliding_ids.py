"""Guards against jobs that are reached through a queue that is not theirs.

Callers choose the IDs of their jobs, so jobs of different queues may have the same one.
"""

import typing as t

import attrs
import pytest

from onyxgap.daemons.node import Node
from onyxgap.jobs import tables
from onyxgap.jobs.desk import Denied
from onyxgap.jobs.desk import SubmitOutcome
from onyxgap.jobs.encoding import encode_progress
from onyxgap.jobs.job import Job
from onyxgap.jobs.messages import JobState
from onyxgap.jobs.messages import QueuePolicy
from onyxgap.jobs.messages import Submission
from onyxgap.jobs.passing import CallKind
from onyxgap.jobs.passing import PassedCall
from onyxgap.jobs.routing import Configuration
from onyxgap.jobs.routing import Route
from onyxgap.jobs.routing import Service
from onyxgap.jobs.store import RowId
from onyxgap.jobs.store import StoredRow
from onyxgap.jobs.submissions import encode_submission
from onyxgap.jobs.tenants import ANONYMOUS
from onyxgap.jobs.tenants import Caller
from onyxgap.standins.emulator.store import EmulatedStore
from tests.test_forwarded_versions import build_forwarding_api
from tests.test_node_parts import SUBMISSION
from tests.test_node_parts import ScriptedStore
from tests.test_node_parts import build_node
from tests.test_node_parts import run_with_store

JOB_ID = SUBMISSION.job_id
NORTH = Caller("north")
BIDS = Route("h", "/bids/", QueuePolicy("bids", "auctions"))
SALES = Route("h", "/sales/", QueuePolicy("sales", "auctions"))
VISITS = Route("h", "/visits/", QueuePolicy("visits", "kiosks"), public=True)


def build_submission(route: Route, tenant: str = "") -> Submission:
    return attrs.evolve(SUBMISSION, policy=route.policy, tenant=tenant)


NORTHS_JOB = build_submission(BIDS, NORTH.tenant)


def configure(node: Node, version: int, *routes: Route) -> None:
    """Let a node adopt a version with routes."""
    services = {name: Service(name) for name in ("auctions", "kiosks")}
    row = StoredRow(RowId("operator", "", "configuration"), b"", version)
    node._apply_configuration(row, Configuration(version, routes, services))


def run_node(test: t.Callable[[Node, EmulatedStore], t.Awaitable[None]]) -> None:
    """Run a test with a node that serves three queues."""

    async def run(scripted: ScriptedStore, store: EmulatedStore) -> None:
        node = build_node(scripted)
        configure(node, 1, BIDS, SALES, VISITS)
        await test(node, store)

    run_with_store(run)


def store_progress(
    store: EmulatedStore, submission: Submission, state: JobState
) -> None:
    """Store the progress of a job as the owner of its shard does."""
    value = encode_progress(Job(submission, state=state))
    row = tables.get_progress_row(submission.policy.service, submission.job_id)
    store.put(row, value)


@pytest.mark.parametrize("state", [None, JobState.RUNNING, JobState.SUCCEEDED])
@pytest.mark.parametrize("route", [VISITS, SALES])
def test_job_is_not_shown_through_another_queue(
    state: JobState | None, route: Route
) -> None:
    async def test(node: Node, store: EmulatedStore) -> None:
        await node.job_api.submit(NORTHS_JOB)
        if state is not None:
            store_progress(store, NORTHS_JOB, state)
        shown = await node.job_api.get_state(BIDS, JOB_ID, NORTH)
        assert shown is (state or JobState.QUEUED)
        assert await node.job_api.get_state(route, JOB_ID, ANONYMOUS) is None
        assert await node.job_api.get_state(route, JOB_ID, NORTH) is None

    run_node(test)


@pytest.mark.parametrize("caller", [ANONYMOUS, NORTH])
@pytest.mark.parametrize("route", [VISITS, SALES])
def test_job_is_not_cancelled_through_another_queue(
    route: Route, caller: Caller
) -> None:
    async def test(node: Node, store: EmulatedStore) -> None:
        await node.job_api.submit(NORTHS_JOB)
        assert await node.job_api.cancel(route, JOB_ID, caller) is False
        assert tables.get_cancel_row("auctions", JOB_ID) not in store.rows
        assert await node.job_api.cancel(BIDS, JOB_ID, NORTH) is True

    run_node(test)


@pytest.mark.parametrize("kind", [CallKind.STATE, CallKind.CANCEL])
def test_forwarded_call_does_not_reach_a_job_of_another_queue(kind: CallKind) -> None:
    async def test(node: Node, store: EmulatedStore) -> None:
        await node.job_api.submit(NORTHS_JOB)
        call = PassedCall(kind, JOB_ID, "", "visits", "kiosks")
        api = build_forwarding_api(node)
        assert (await api.answer(call)).outcome == "gone"
        assert tables.get_cancel_row("auctions", JOB_ID) not in store.rows

    run_node(test)


def test_jobs_of_two_services_with_one_id_are_kept_apart() -> None:
    async def test(node: Node, store: EmulatedStore) -> None:
        for submission in (NORTHS_JOB, build_submission(VISITS)):
            result = await node.job_api.submit(submission)
            assert (result.outcome, result.reason) == (SubmitOutcome.ACCEPTED, "")
        store_progress(store, NORTHS_JOB, JobState.SUCCEEDED)
        for _ in range(2):
            shown = [
                await node.job_api.get_state(BIDS, JOB_ID, NORTH),
                await node.job_api.get_state(VISITS, JOB_ID, ANONYMOUS),
            ]
            assert shown == [JobState.SUCCEEDED, JobState.QUEUED]
        assert await node.job_api.cancel(VISITS, JOB_ID) is True
        assert tables.get_cancel_row("kiosks", JOB_ID) in store.rows
        assert tables.get_cancel_row("auctions", JOB_ID) not in store.rows

    run_node(test)


def test_second_job_of_a_service_with_one_id_is_rejected_and_not_called_known() -> None:
    async def test(node: Node, store: EmulatedStore) -> None:
        await node.job_api.submit(NORTHS_JOB)
        result = await node.job_api.submit(build_submission(SALES, NORTH.tenant))
        assert result.outcome is SubmitOutcome.OTHER_REQUEST
        resent = await node.job_api.submit(NORTHS_JOB)
        assert resent.outcome is SubmitOutcome.ACCEPTED

    run_node(test)


def test_rejected_job_is_not_called_known_by_a_job_of_another_queue() -> None:
    async def test(node: Node, store: EmulatedStore) -> None:
        await node.job_api.submit(NORTHS_JOB)
        configure(node, 2, BIDS, VISITS)
        result = await node.job_api.submit(build_submission(SALES, NORTH.tenant))
        assert result.outcome is SubmitOutcome.OTHER_REQUEST

    run_node(test)


def test_resent_job_of_a_moved_queue_is_known_beside_one_with_its_id() -> None:
    async def test(node: Node, store: EmulatedStore) -> None:
        await node.job_api.submit(NORTHS_JOB)
        await node.job_api.submit(build_submission(VISITS))
        moved = attrs.evolve(BIDS, policy=QueuePolicy("bids", "kiosks"))
        configure(node, 2, moved, VISITS)
        result = await node.job_api.submit(NORTHS_JOB)
        assert result.outcome is SubmitOutcome.ACCEPTED
        state = await node.job_api.get_state(moved, JOB_ID, NORTH)
        assert state is JobState.QUEUED

    run_node(test)


def test_job_of_a_queue_that_became_public_stays_within_reach_of_its_caller() -> None:
    async def test(node: Node, store: EmulatedStore) -> None:
        await node.job_api.submit(NORTHS_JOB)
        public = attrs.evolve(BIDS, public=True)
        configure(node, 2, public, VISITS)
        state = await node.job_api.get_state(public, JOB_ID, ANONYMOUS)
        assert state is JobState.QUEUED
        assert await node.job_api.cancel(public, JOB_ID, ANONYMOUS) is True

    run_node(test)


def test_other_tenant_is_denied_a_job_of_the_same_queue() -> None:
    async def test(node: Node, store: EmulatedStore) -> None:
        await node.job_api.submit(NORTHS_JOB)
        south = Caller("south")
        denied = Denied.OTHER_TENANT
        assert await node.job_api.get_state(BIDS, JOB_ID, south) is denied
        assert await node.job_api.cancel(BIDS, JOB_ID, south) is denied

    run_node(test)


def test_progress_that_was_stored_without_its_queue_belongs_to_the_submission() -> None:
    async def test(node: Node, store: EmulatedStore) -> None:
        row = tables.get_job_row("auctions", JOB_ID)
        store.put(row, encode_submission(NORTHS_JOB))
        progress = tables.get_progress_row("auctions", JOB_ID)
        store.put(progress, b'{"state":"succeeded","tenant":"north"}')
        shown = await node.job_api.get_state(BIDS, JOB_ID, NORTH)
        assert shown is JobState.SUCCEEDED
        assert await node.job_api.get_state(VISITS, JOB_ID, ANONYMOUS) is None

    run_node(test)
