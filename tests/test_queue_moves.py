"""Guards against jobs that run twice after their queue moved to another service.

A node that starts after the move has to find the jobs of the former service.
"""

import random
import typing as t

import anyio
import attrs
import pytest

from onyxgap.daemons.node import Node
from onyxgap.daemons.queue_moves import READS
from onyxgap.daemons.queue_moves import RECORD_ATTEMPTS
from onyxgap.daemons.queue_moves import Services
from onyxgap.daemons.queue_moves import decode_moves
from onyxgap.daemons.queue_moves import encode_moves
from onyxgap.exceptions import DocumentError
from onyxgap.jobs import tables
from onyxgap.jobs.desk import SubmitOutcome
from onyxgap.jobs.messages import JobState
from onyxgap.jobs.messages import QueuePolicy
from onyxgap.jobs.messages import QueueRef
from onyxgap.jobs.messages import Submission
from onyxgap.jobs.routing import Configuration
from onyxgap.jobs.routing import Route
from onyxgap.jobs.routing import Service
from onyxgap.jobs.store import Page
from onyxgap.jobs.store import RowId
from onyxgap.jobs.store import StoredRow
from onyxgap.jobs.submissions import SubmissionPointer
from onyxgap.jobs.submissions import decode_row
from onyxgap.standins.emulator.store import EmulatedStore
from tests.test_node_parts import POLICY
from tests.test_node_parts import ROUTE
from tests.test_node_parts import SUBMISSION
from tests.test_node_parts import ScriptedStore
from tests.test_node_parts import build_node
from tests.test_node_parts import run_with_store

OTHER_POLICY = attrs.evolve(POLICY, queue="other")
MALFORMED = [b"", b"no json", b"[1]", b"7", b'{"q":"s"}', b'{"q":[1]}', b'{"q":null}']


def configure(node: Node, version: int, service: str) -> None:
    """Let a node adopt a version that maps the queue to a service."""
    policy = attrs.evolve(POLICY, service=service)
    routes = (attrs.evolve(ROUTE, policy=policy), Route("h", "/o/", OTHER_POLICY))
    services = {name: Service(name) for name in ("s", "s2", "s3")}
    row = StoredRow(RowId("operator", "", "configuration"), b"", version)
    node._apply_configuration(row, Configuration(version, routes, services))


def name_twice(services: Services) -> Services:
    """Name the queues by their endpoints, too."""
    endpoints = {"q": ROUTE.endpoint, "other": "h/o/"}
    return services | {endpoints[name]: found for name, found in services.items()}


def address_to(service: str) -> Submission:
    return attrs.evolve(SUBMISSION, policy=attrs.evolve(POLICY, service=service))


def run_nodes(
    test: t.Callable[[t.Callable[[], Node], EmulatedStore], t.Awaitable[None]],
    *script: str,
) -> None:
    """Run a test with a function that starts another node on the same store."""

    async def run(scripted: ScriptedStore, store: EmulatedStore) -> None:
        async with anyio.create_task_group() as group:

            def start_node() -> Node:
                node = build_node(scripted)
                group.start_soon(node.run)
                return node

            await test(start_node, store)
            group.cancel_scope.cancel()

    run_with_store(run, *script)


@pytest.mark.parametrize("present", [None, *MALFORMED])
def test_resent_job_of_a_moved_queue_is_not_stored_twice_by_a_new_node(
    present: bytes | None,
) -> None:
    async def test(start_node: t.Callable[[], Node], store: EmulatedStore) -> None:
        if present is not None:
            store.put(tables.get_queue_moves_row(), present)
        first = start_node()
        configure(first, 1, "s")
        await anyio.sleep(1.0)
        assert (await first.job_api.submit(SUBMISSION)).outcome is (
            SubmitOutcome.ACCEPTED
        )
        second = start_node()
        configure(second, 2, "s2")
        configure(first, 2, "s2")
        await anyio.sleep(3.0)
        result = await second.job_api.submit(address_to("s2"))
        assert (result.outcome, result.reason) == (SubmitOutcome.ACCEPTED, "known")
        assert tables.get_job_row("s2", SUBMISSION.job_id) not in store.rows

    run_nodes(test)


def test_node_that_skipped_a_version_knows_the_jobs_accepted_under_it() -> None:
    async def test(start_node: t.Callable[[], Node], store: EmulatedStore) -> None:
        first, second = start_node(), start_node()
        for node in (first, second):
            configure(node, 1, "s")
        await anyio.sleep(10.0)
        configure(first, 2, "s2")
        accepted = await first.job_api.submit(address_to("s2"))
        assert accepted.outcome is SubmitOutcome.ACCEPTED
        configure(second, 3, "s")
        state = await second.job_api.get_state(ROUTE, SUBMISSION.job_id)
        assert state is JobState.QUEUED
        result = await second.job_api.submit(SUBMISSION)
        assert (result.outcome, result.reason) == (SubmitOutcome.ACCEPTED, "known")
        stored = store.rows[tables.get_job_row("s", SUBMISSION.job_id)].value
        assert decode_row(stored) == SubmissionPointer("s2")

    run_nodes(test)


def test_first_jobs_of_many_queues_on_many_nodes_are_not_rejected() -> None:
    policies = [QueuePolicy(f"q{number}", f"s{number}") for number in range(8)]
    routes = tuple(Route("h", f"/{item.queue}/", item) for item in policies)
    services = {item.service: Service(item.service) for item in policies}
    rng = random.Random(2)

    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        recorded = []

        async def record(node: Node, policy: QueuePolicy, at: float) -> None:
            await anyio.sleep(at)
            queue = QueueRef(policy.queue)
            recorded.append(await node.queue_moves.record(queue, policy.service))

        async with anyio.create_task_group() as group:
            for node in [build_node(scripted) for _ in range(40)]:
                node.routes.adopt(Configuration(1, routes, services))
                for policy in policies:
                    group.start_soon(record, node, policy, rng.uniform(0.0, 0.2))
        assert recorded == [True] * 320

    run_with_store(test)


def test_service_is_recorded_before_its_first_job_is_accepted() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        node = build_node(scripted)
        configure(node, 1, "s")
        result = await node.job_api.submit(SUBMISSION)
        assert result.outcome is SubmitOutcome.REFUSED
        assert tables.get_job_row("s", SUBMISSION.job_id) not in store.rows
        result = await node.job_api.submit(SUBMISSION)
        assert result.outcome is SubmitOutcome.ACCEPTED
        stored = store.rows[tables.get_queue_moves_row()].value
        assert decode_moves(stored) == name_twice({"q": {"s"}, "other": {"s"}})

    run_with_store(test, *["refuse"] * RECORD_ATTEMPTS)


@pytest.mark.parametrize("script", [[], ["lose"], ["drop"], ["refuse"], ["lose"] * 4])
def test_moves_recorded_by_two_nodes_at_once_are_all_kept(script: list[str]) -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        nodes = [build_node(scripted) for _ in range(2)]
        for node, former in zip(nodes, ("s", "s3"), strict=True):
            configure(node, 1, former)
            configure(node, 2, "s2")
        async with anyio.create_task_group() as group:
            for node in nodes:
                group.start_soon(node.queue_moves.run)
            await anyio.sleep(8.0)
            group.cancel_scope.cancel()
        stored = store.rows[tables.get_queue_moves_row()].value
        services = {"q": {"s", "s2", "s3"}, "other": {"s"}}
        assert decode_moves(stored) == name_twice(services)

    run_with_store(test, *script)


def test_node_accepts_no_job_before_it_has_read_the_moves() -> None:
    async def test(start_node: t.Callable[[], Node], store: EmulatedStore) -> None:
        node = start_node()
        configure(node, 1, "s")
        await anyio.sleep(3.0)
        result = await node.job_api.submit(SUBMISSION)
        assert result.outcome is SubmitOutcome.REFUSED
        assert not node.job_api.is_ready()
        assert tables.get_job_row("s", SUBMISSION.job_id) not in store.rows

    run_nodes(test, "unreadable")


@attrs.define
class CountingStore(ScriptedStore):
    """Counts reads."""

    reads: int = 0

    async def read(self, table: str, part: str, key: str = "") -> Page:
        self.reads += 1
        return await super().read(table, part, key)


def test_moves_are_read_a_few_times_for_each_configuration() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        counting = CountingStore(scripted.inner, [])
        node = build_node(counting)
        async with anyio.create_task_group() as group:
            group.start_soon(node.queue_moves.run)
            for version in (1, 2):
                configure(node, version, "s")
                await anyio.sleep(60.0)
            group.cancel_scope.cancel()
        assert (counting.reads, counting.writes) == (2 * READS, 1)

    run_with_store(test)


@pytest.mark.parametrize("value", MALFORMED)
def test_malformed_moves_are_not_decoded(value: bytes) -> None:
    with pytest.raises(DocumentError):
        decode_moves(value)


def test_only_moved_queues_are_recorded() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        node = build_node(scripted)
        configure(node, 1, "s")
        assert node.routes.list_moves() == {}
        configure(node, 2, "s2")
        moves = node.routes.list_moves()
        assert decode_moves(encode_moves(moves)) == name_twice({"q": {"s", "s2"}})

    run_with_store(test)
