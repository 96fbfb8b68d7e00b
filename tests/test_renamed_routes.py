"""Guards against jobs that are hidden, shown or run twice after changes of routes.

A caller knows a job by host, path prefix and ID; the name of a route is the operator's.
"""

import typing as t

import attrs
import pytest

from onyxgap.daemons.node import Node
from onyxgap.jobs import tables
from onyxgap.jobs.desk import SubmitOutcome
from onyxgap.jobs.encoding import encode_progress
from onyxgap.jobs.job import Job
from onyxgap.jobs.messages import JobState
from onyxgap.jobs.messages import QueuePolicy
from onyxgap.jobs.messages import Submission
from onyxgap.jobs.passing import CallKind
from onyxgap.jobs.passing import PassedCall
from onyxgap.jobs.routing import Route
from onyxgap.jobs.submissions import decode_submission
from onyxgap.jobs.submissions import encode_submission
from onyxgap.jobs.tenants import Caller
from onyxgap.standins.emulator.script import parse_script
from onyxgap.standins.emulator.store import EmulatedStore
from tests.emulated import play
from tests.test_colliding_ids import configure
from tests.test_colliding_ids import store_progress
from tests.test_forwarded_versions import build_forwarding_api
from tests.test_node_parts import SUBMISSION
from tests.test_node_parts import ScriptedStore
from tests.test_node_parts import build_node
from tests.test_node_parts import run_with_store

JOB_ID = SUBMISSION.job_id


def build_route(
    name: str, prefix: str, service: str = "auctions", host: str = "h"
) -> Route:
    return Route(host, prefix, QueuePolicy(name, service))


BIDS = build_route("bids", "/bids/")
SALES = build_route("sales", "/sales/")
RENAMED = build_route("offers", "/bids/")
RENAMED_AND_MOVED = build_route("offers", "/bids/", "kiosks")
WITH_OTHER_PATH = build_route("bids", "/b/")
WITH_OTHER_HOST = build_route("bids", "/bids/", host="h2")
SWAPPED = (build_route("sales", "/bids/"), build_route("bids", "/sales/"))
SAME_NAME = build_route("bids", "/more/")
DAY = """
nodes 3
pool ring vms 4
load ring every 0.2 from 2 to 24 width 3 work 2 cpu 1 resend 0.5 cancel 0.2
at 6 rename route ring for 3 by 2.5
at 18 rename route ring for 2 by 1
end 36
"""


def submit_to(route: Route) -> Submission:
    return attrs.evolve(SUBMISSION, policy=route.policy, endpoint=route.endpoint)


def run_versions(
    test: t.Callable[[Node, EmulatedStore], t.Awaitable[None]],
    *routes: Route,
    before: tuple[Route, ...] = (BIDS, SALES),
    state: JobState | None = None,
) -> None:
    """Run a test after a job was accepted, and a version with other routes adopted."""

    async def run(scripted: ScriptedStore, store: EmulatedStore) -> None:
        node = build_node(scripted)
        configure(node, 1, *before)
        result = await node.job_api.submit(submit_to(before[0]))
        assert result.outcome is SubmitOutcome.ACCEPTED
        if state is not None:
            store_progress(store, submit_to(before[0]), state)
        configure(node, 2, *routes)
        await test(node, store)

    run_with_store(run)


@pytest.mark.parametrize("state", [None, JobState.RUNNING, JobState.SUCCEEDED])
@pytest.mark.parametrize("route", [RENAMED, RENAMED_AND_MOVED])
def test_accepted_job_is_shown_after_its_route_got_another_name(
    route: Route, state: JobState | None
) -> None:
    async def test(node: Node, store: EmulatedStore) -> None:
        shown = await node.job_api.get_state(route, JOB_ID)
        assert shown is (state or JobState.QUEUED)

    run_versions(test, route, state=state)


@pytest.mark.parametrize("route", [RENAMED, RENAMED_AND_MOVED])
def test_accepted_job_is_cancelled_after_its_route_got_another_name(
    route: Route,
) -> None:
    async def test(node: Node, store: EmulatedStore) -> None:
        assert await node.job_api.cancel(route, JOB_ID) is True
        assert tables.get_cancel_row("auctions", JOB_ID) in store.rows

    run_versions(test, route)


@pytest.mark.parametrize("route", [RENAMED, RENAMED_AND_MOVED])
def test_repeated_submission_after_a_renaming_remains_one_job(route: Route) -> None:
    async def test(node: Node, store: EmulatedStore) -> None:
        result = await node.job_api.submit(submit_to(route))
        assert (result.outcome, result.reason) == (SubmitOutcome.ACCEPTED, "known")
        assert tables.get_job_row("kiosks", JOB_ID) not in store.rows

    run_versions(test, route)


def test_repeated_submission_remains_one_job_on_a_node_that_skipped_the_old_name() -> (
    None
):
    async def run(scripted: ScriptedStore, store: EmulatedStore) -> None:
        first, second = build_node(scripted), build_node(scripted)
        configure(first, 1, BIDS)
        await first.job_api.submit(submit_to(BIDS))
        configure(second, 2, RENAMED_AND_MOVED)
        result = await second.job_api.submit(submit_to(RENAMED_AND_MOVED))
        assert (result.outcome, result.reason) == (SubmitOutcome.ACCEPTED, "known")

    run_with_store(run)


def test_submission_that_was_bound_before_a_renaming_is_accepted_after_it() -> None:
    async def test(node: Node, store: EmulatedStore) -> None:
        late = attrs.evolve(submit_to(BIDS), job_id="b" * 16)
        result = await node.job_api.submit(late)
        assert result.outcome is SubmitOutcome.ACCEPTED
        row = tables.get_job_row("kiosks", "b" * 16)
        stored = decode_submission(store.rows[row].value)
        assert stored.policy == RENAMED_AND_MOVED.policy

    run_versions(test, RENAMED_AND_MOVED)


def test_submission_that_was_bound_before_its_route_was_removed_is_rejected() -> None:
    async def test(node: Node, store: EmulatedStore) -> None:
        late = attrs.evolve(submit_to(BIDS), job_id="b" * 16)
        result = await node.job_api.submit(late)
        assert result.outcome is SubmitOutcome.REFUSED

    run_versions(test, SALES)


@pytest.mark.parametrize("kind", [CallKind.STATE, CallKind.CANCEL])
def test_forwarded_call_reaches_a_job_after_its_route_got_another_name(
    kind: CallKind,
) -> None:
    async def test(node: Node, store: EmulatedStore) -> None:
        call = PassedCall(
            kind, JOB_ID, "", "offers", "auctions", endpoint=RENAMED.endpoint
        )
        answer = await build_forwarding_api(node).answer(call)
        assert answer.outcome == ("queued" if kind is CallKind.STATE else "known")

    run_versions(test, RENAMED)


@pytest.mark.parametrize("route", [WITH_OTHER_PATH, WITH_OTHER_HOST])
def test_job_moves_along_with_the_name_of_a_queue_whose_path_leads_nowhere(
    route: Route,
) -> None:
    async def test(node: Node, store: EmulatedStore) -> None:
        assert await node.job_api.get_state(route, JOB_ID) is JobState.QUEUED

    run_versions(test, route)


def test_job_is_not_shown_by_name_if_its_path_leads_to_another_queue() -> None:
    async def test(node: Node, store: EmulatedStore) -> None:
        assert await node.job_api.get_state(SWAPPED[0], JOB_ID) is JobState.QUEUED
        assert await node.job_api.get_state(SWAPPED[1], JOB_ID) is None
        assert await node.job_api.cancel(SWAPPED[1], JOB_ID) is False
        assert tables.get_cancel_row("auctions", JOB_ID) not in store.rows

    run_versions(test, *SWAPPED)


def test_two_routes_with_one_name_are_two_queues() -> None:
    async def test(node: Node, store: EmulatedStore) -> None:
        assert await node.job_api.get_state(SAME_NAME, JOB_ID) is None
        assert await node.job_api.get_state(BIDS, JOB_ID) is JobState.QUEUED

    run_versions(test, BIDS, SAME_NAME, before=(BIDS, SAME_NAME))


@pytest.mark.parametrize("again", [BIDS, RENAMED])
def test_job_is_shown_once_its_removed_route_is_added_again(again: Route) -> None:
    async def test(node: Node, store: EmulatedStore) -> None:
        configure(node, 3, again)
        assert await node.job_api.get_state(again, JOB_ID) is JobState.QUEUED

    run_versions(test, SALES)


def test_rights_of_tenants_hold_after_a_renaming() -> None:
    async def run(scripted: ScriptedStore, store: EmulatedStore) -> None:
        node = build_node(scripted)
        configure(node, 1, BIDS)
        await node.job_api.submit(attrs.evolve(submit_to(BIDS), tenant="north"))
        configure(node, 2, RENAMED)
        for tenant, seen in (("north", True), ("south", False), ("", True)):
            shown = await node.job_api.get_state(RENAMED, JOB_ID, Caller(tenant))
            assert (shown is JobState.QUEUED) is seen

    run_with_store(run)


def test_waiting_jobs_are_counted_under_the_present_name_of_their_queue() -> None:
    async def test(node: Node, store: EmulatedStore) -> None:
        counted = node.routes.get_queue_name(submit_to(BIDS).get_queue())
        assert counted == "offers"
        assert node.routes.get_queue_name(submit_to(SALES).get_queue()) == "sales"

    run_versions(test, RENAMED)


def test_owner_counts_waiting_jobs_by_the_configuration_of_its_node() -> None:
    async def test(node: Node, store: EmulatedStore) -> None:
        context = node._build_owner_context()
        assert context.get_queue_name(submit_to(BIDS).get_queue()) == "offers"

    run_versions(test, RENAMED)


def test_held_up_submission_is_not_stored_after_a_cancellation_by_the_new_name() -> (
    None
):
    async def run(scripted: ScriptedStore, store: EmulatedStore) -> None:
        former, present = build_node(scripted), build_node(scripted)
        configure(former, 1, BIDS)
        configure(present, 1, BIDS)
        configure(present, 2, RENAMED)
        assert await present.job_api.cancel(RENAMED, JOB_ID) is False
        result = await former.job_api.submit(submit_to(BIDS))
        assert result.outcome is SubmitOutcome.CANCELLED

    run_with_store(run)


@pytest.mark.parametrize("state", [None, JobState.RUNNING])
def test_job_stored_without_an_endpoint_belongs_to_the_queue_of_its_name(
    state: JobState | None,
) -> None:
    async def run(scripted: ScriptedStore, store: EmulatedStore) -> None:
        node = build_node(scripted)
        configure(node, 1, BIDS, SALES)
        former = attrs.evolve(submit_to(BIDS), endpoint="")
        store.put(tables.get_job_row("auctions", JOB_ID), encode_submission(former))
        if state is not None:
            value = encode_progress(Job(former, state=state))
            assert b'"endpoint":""' in value
            store.put(tables.get_progress_row("auctions", JOB_ID), value)
        shown = await node.job_api.get_state(BIDS, JOB_ID)
        assert shown is (state or JobState.QUEUED)
        assert await node.job_api.get_state(SALES, JOB_ID) is None
        result = await node.job_api.submit(submit_to(BIDS))
        assert (result.outcome, result.reason) == (SubmitOutcome.ACCEPTED, "known")

    run_with_store(run)


def test_submission_with_a_field_of_a_later_version_is_decoded() -> None:
    value = encode_submission(submit_to(BIDS))
    later = value.replace(b'{"job_id"', b'{"later":1,"job_id"', 1)
    later = later.replace(b'"policy":{', b'"policy":{"later":1,', 1)
    assert later != value
    assert decode_submission(later) == submit_to(BIDS)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_day_of_renamed_routes_breaks_no_rule(seed: int) -> None:
    result = play(parse_script("renamed", DAY), seed)
    assert [f"{item.rule}: {item.detail}" for item in result.breaches] == []
