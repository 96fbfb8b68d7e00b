"""Guards against nodes that act on a version and then handle a request by an older one.

The feed of one of two nodes brings nothing, so that it has the configuration that it
read at first until something else tells it of a newer one.
"""

import typing as t

import anyio
import anyio.abc
import attrs
import orjson
import pytest

from onyxgap.jobs import tables
from onyxgap.jobs.desk import SubmitOutcome
from onyxgap.jobs.desk import Unavailable
from onyxgap.jobs.encoding import encode_progress
from onyxgap.jobs.job import Job
from onyxgap.jobs.messages import JobState
from onyxgap.jobs.messages import Step
from onyxgap.jobs.notices import ConfigurationQuestion
from onyxgap.jobs.submissions import encode_submission
from onyxgap.standins.emulator.faults import FaultyDay
from onyxgap.standins.emulator.slots import NodeSlot
from onyxgap.standins.virtual import run_virtually
from tests.emulated import load_day
from tests.outdated_nodes import JOB_ID
from tests.outdated_nodes import PATH
from tests.outdated_nodes import Nodes
from tests.outdated_nodes import run_with_nodes
from tests.test_node_parts import SUBMISSION
from tests.test_route_lookup import find_service


async def send_again(nodes: Nodes) -> None:
    job = await nodes.build_submission(nodes.outdated)
    result = await nodes.outdated.job_api.submit(job)
    assert (result.outcome, result.reason) == (SubmitOutcome.ACCEPTED, "known")


async def send_again_unless_stored(nodes: Nodes) -> None:
    job = await nodes.build_submission(nodes.outdated)
    found = await nodes.outdated.job_api._submissions.find_result(job, ["herd"])
    assert found is not None


async def ask_for_state(nodes: Nodes) -> None:
    route = await nodes.find_route(nodes.outdated)
    state = await nodes.outdated.job_api.get_state(route, JOB_ID)
    assert state is JobState.QUEUED


async def ask_for_state_of_a_begun_job(nodes: Nodes) -> None:
    job = Job(
        attrs.evolve(await nodes.build_submission(nodes.updated), configuration=2)
    )
    job.state = JobState.RUNNING
    row = tables.get_progress_row("herd", JOB_ID)
    nodes.store.put(row, encode_progress(job))
    route = await nodes.find_route(nodes.outdated)
    state = await nodes.outdated.job_api.get_state(route, JOB_ID)
    assert state is JobState.RUNNING


async def cancel(nodes: Nodes) -> None:
    route = await nodes.find_route(nodes.outdated)
    assert await nodes.outdated.job_api.cancel(route, JOB_ID) is True


@pytest.mark.parametrize(
    "act",
    [
        send_again,
        send_again_unless_stored,
        ask_for_state,
        ask_for_state_of_a_begun_job,
        cancel,
    ],
)
def test_node_that_answers_for_a_job_of_a_newer_version_uses_no_older_route(
    act: t.Callable[[Nodes], t.Awaitable[None]],
) -> None:
    async def test(nodes: Nodes) -> None:
        job = await nodes.build_submission(nodes.updated)
        result = await nodes.updated.job_api.submit(job)
        assert result.outcome is SubmitOutcome.ACCEPTED
        await act(nodes)
        assert await find_service(nodes.outdated, PATH) == "herd"

    run_with_nodes(test)


@pytest.mark.parametrize("version", ["2", None, -1, 2.5, True])
def test_stored_job_with_a_malformed_version_is_not_answered_for(
    version: object,
) -> None:
    async def test(nodes: Nodes) -> None:
        value = orjson.loads(encode_submission(SUBMISSION))
        value["configuration"] = version
        row = tables.get_job_row("ring", JOB_ID)
        nodes.store.put(row, orjson.dumps(value))
        route = await nodes.find_route(nodes.outdated)
        state = await nodes.outdated.job_api.get_state(route, JOB_ID)
        assert state is Unavailable.STORED_JOB
        assert nodes.outdated.exchange.is_current()

    run_with_nodes(test)


class RetryDay(FaultyDay):
    """A day on which a caller sends its job again to a node that is outdated."""

    async def _start_nodes(self, group: anyio.abc.TaskGroup) -> None:
        await super()._start_nodes(group)
        group.start_soon(self._send_jobs)

    async def _send_jobs(self) -> None:
        await anyio.sleep(5.0)
        updated, outdated = self._choose_nodes()
        self.store.deaf_nodes.add(outdated.name)
        self.routes.services["/ring/"] = "herd"
        self._configure()
        await anyio.sleep(0.1)
        await self._send_job(updated, outdated)
        await anyio.sleep(0.6)
        await self._send_job(outdated)

    def _choose_nodes(self) -> list[NodeSlot]:
        """Choose two nodes that own no shard, so that no owned job tells them more."""
        idle = [
            slot
            for slot in self.slots
            if slot.node and not slot.node.owners and not slot.node.fleet_controller
        ]
        return idle[:2]

    async def _send_job(self, *slots: NodeSlot) -> None:
        steps = (Step(2, cpu=1000, estimate_ms=400),)
        route = self._get_route("ring")
        notes = self.callers._add(route, steps, 5.0, False, self.rng)
        for slot in slots:
            outcome = await self.callers._send(slot, notes)
            assert outcome is SubmitOutcome.ACCEPTED
            notes.accepted_at = notes.accepted_at or anyio.current_time()


def test_retry_at_an_outdated_node_is_followed_by_no_older_route() -> None:
    script = attrs.evolve(load_day("short"), nodes=6, loads=[])
    result = run_virtually(RetryDay(script, 1).play)
    assert result.account.accepted == 2
    assert result.breaches == []


def test_node_that_is_queried_by_a_newer_one_uses_no_older_route() -> None:
    async def test(nodes: Nodes) -> None:
        nodes.outdated.exchange.answer(ConfigurationQuestion("other:1", 1, 2))
        assert await find_service(nodes.outdated, PATH) == "herd"

    run_with_nodes(test)


def test_request_in_hand_is_bound_to_the_new_service_of_its_queue() -> None:
    async def test(nodes: Nodes) -> None:
        job = await nodes.build_submission(nodes.outdated)
        await anyio.sleep(1.1)
        assert await nodes.outdated.exchange.make_sure()
        result = await nodes.outdated.job_api.submit(job)
        assert result.outcome is SubmitOutcome.ACCEPTED
        assert nodes.list_services() == ["herd"]

    run_with_nodes(test)
