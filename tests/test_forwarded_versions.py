"""Guards against versions that are not learned from calls that nodes forward."""

import typing as t

import anyio
import attrs
import pytest

from onyxgap.daemons.node import Node
from onyxgap.daemons.passing_desk import ForwardingJobApi
from onyxgap.jobs import tables
from onyxgap.jobs.desk import SubmitOutcome
from onyxgap.jobs.members import Member
from onyxgap.jobs.messages import JobState
from onyxgap.jobs.passing import ForwardFailure
from onyxgap.jobs.passing import PassedAnswer
from onyxgap.jobs.passing import PassedCall
from onyxgap.jobs.passing import PeerSelector
from onyxgap.jobs.store import ABSENT
from onyxgap.jobs.store import Batch
from onyxgap.jobs.submissions import encode_submission
from tests.outdated_nodes import JOB_ID
from tests.outdated_nodes import PATH
from tests.outdated_nodes import Nodes
from tests.outdated_nodes import run_with_nodes
from tests.test_route_lookup import find_service
from tests.test_route_lookup import write_routes


@attrs.define
class DirectLink:
    """Forwards calls to one node, without a network.

    :param other: job API of that node.
    """

    other: ForwardingJobApi | None = None

    def get_address(self) -> str:
        return "me:1"

    async def ask(
        self, address: str, call: PassedCall, timeout_s: float
    ) -> PassedAnswer | ForwardFailure:
        assert self.other is not None
        return await self.other.answer(call)

    async def run(
        self, answer: t.Callable[[PassedCall], t.Awaitable[PassedAnswer]]
    ) -> None:
        await anyio.sleep_forever()


def build_forwarding_api(
    node: Node, other: ForwardingJobApi | None = None
) -> ForwardingJobApi:
    """Build the API of a node that forwards calls to another one."""
    members = {"other": Member("", 0, "other:1")}
    selector = PeerSelector("me", members, lambda names, count: list(names)[:count])
    return ForwardingJobApi(
        node.job_api, node.health, node.clocks, selector, DirectLink(other)
    )


async def remove_queue(nodes: Nodes) -> None:
    """Have the node under version 2 adopt a version without the queue."""
    write_routes(nodes.store, 3, other="herd")
    await anyio.sleep(1.1)
    assert await nodes.updated.exchange.make_sure()


async def forward_submission(nodes: Nodes, api: ForwardingJobApi) -> None:
    result = await api.submit(await nodes.build_submission(nodes.outdated))
    assert result.outcome is SubmitOutcome.ACCEPTED


async def forward_request_for_state(nodes: Nodes, api: ForwardingJobApi) -> None:
    route = await nodes.find_route(nodes.outdated)
    assert await api.get_state(route, JOB_ID) is JobState.QUEUED


async def forward_cancellation(nodes: Nodes, api: ForwardingJobApi) -> None:
    route = await nodes.find_route(nodes.outdated)
    assert await api.cancel(route, JOB_ID) is True


@pytest.mark.parametrize(
    "act", [forward_submission, forward_request_for_state, forward_cancellation]
)
def test_node_that_forwards_a_call_to_a_newer_one_uses_no_older_route(
    act: t.Callable[[Nodes, ForwardingJobApi], t.Awaitable[None]],
) -> None:
    async def test(nodes: Nodes) -> None:
        job = await nodes.build_submission(nodes.updated)
        await nodes.updated.job_api.submit(job)
        newer = build_forwarding_api(nodes.updated)
        nodes.reject_node(nodes.outdated)
        await act(nodes, build_forwarding_api(nodes.outdated, newer))
        assert not nodes.outdated.exchange.is_current()

    run_with_nodes(test)


def test_job_forwarded_under_an_older_version_is_stored_under_its_new_service() -> None:
    async def test(nodes: Nodes) -> None:
        job = await nodes.build_submission(nodes.outdated)
        newer = build_forwarding_api(nodes.updated)
        nodes.reject_node(nodes.outdated)
        result = await build_forwarding_api(nodes.outdated, newer).submit(job)
        assert result.outcome is SubmitOutcome.ACCEPTED
        assert nodes.list_services() == ["herd"]

    run_with_nodes(test)


def test_late_write_under_the_former_service_of_a_forwarded_job_fails() -> None:
    async def test(nodes: Nodes) -> None:
        job = await nodes.build_submission(nodes.outdated)
        newer = build_forwarding_api(nodes.updated)
        nodes.reject_node(nodes.outdated)
        await build_forwarding_api(nodes.outdated, newer).submit(job)
        row = tables.get_job_row("ring", JOB_ID)
        nodes.store.apply(Batch({row: ABSENT}, {row: encode_submission(job)}))
        assert nodes.list_services() == ["herd"]

    run_with_nodes(test)


def test_job_forwarded_from_a_removed_queue_is_rejected_and_not_stored() -> None:
    async def test(nodes: Nodes) -> None:
        job = await nodes.build_submission(nodes.outdated)
        await remove_queue(nodes)
        newer = build_forwarding_api(nodes.updated)
        nodes.reject_node(nodes.outdated)
        result = await build_forwarding_api(nodes.outdated, newer).submit(job)
        assert result.outcome is SubmitOutcome.REFUSED
        assert nodes.list_services() == []

    run_with_nodes(test)


def test_job_forwarded_from_a_removed_queue_is_known_if_it_was_accepted() -> None:
    async def test(nodes: Nodes) -> None:
        job = await nodes.build_submission(nodes.outdated)
        assert (await nodes.outdated.job_api.submit(job)).outcome is (
            SubmitOutcome.ACCEPTED
        )
        await remove_queue(nodes)
        newer = build_forwarding_api(nodes.updated)
        nodes.reject_node(nodes.outdated)
        result = await build_forwarding_api(nodes.outdated, newer).submit(job)
        assert (result.outcome, result.reason) == (SubmitOutcome.ACCEPTED, "known")

    run_with_nodes(test)


@pytest.mark.parametrize("kind", ["submit", "state"])
def test_node_that_answers_a_forwarded_call_of_a_newer_one_uses_no_older_route(
    kind: str,
) -> None:
    async def test(nodes: Nodes) -> None:
        older = build_forwarding_api(nodes.outdated)
        job = await nodes.build_submission(nodes.updated)
        route = await nodes.find_route(nodes.updated)
        nodes.reject_node(nodes.updated)
        api = build_forwarding_api(nodes.updated, older)
        if kind == "submit":
            assert (await api.submit(job)).outcome is SubmitOutcome.ACCEPTED
        else:
            assert await api.get_state(route, JOB_ID) is None
        assert await find_service(nodes.outdated, PATH) == "herd"

    run_with_nodes(test)
