"""Builds two nodes under different versions of the configuration for tests."""

import typing as t

import anyio
import attrs

from onyxgap.daemons.node import Node
from onyxgap.jobs import tables
from onyxgap.jobs.health import OUTAGE_S
from onyxgap.jobs.messages import Submission
from onyxgap.jobs.routing import Route
from onyxgap.jobs.submissions import SubmissionPointer
from onyxgap.jobs.submissions import decode_row
from onyxgap.standins.emulator.route_history import HOST
from onyxgap.standins.emulator.store import EmulatedStore
from tests.test_node_parts import SUBMISSION
from tests.test_node_parts import ScriptedStore
from tests.test_node_parts import build_node
from tests.test_node_parts import run_with_store
from tests.test_route_lookup import start_without_feed
from tests.test_route_lookup import write_routes

JOB_ID = SUBMISSION.job_id
PATH = f"/ring/{JOB_ID}"


@attrs.frozen
class Nodes:
    """Two nodes under version 1 and under version 2, which moves the queue ``ring``.

    :param outdated: the node under version 1; its feed brings nothing.
    :param updated: the node under version 2.
    :param store: their store.
    """

    outdated: Node
    updated: Node
    store: EmulatedStore

    async def find_route(self, node: Node) -> Route:
        """Find the route of the queue in the configuration of a node."""
        route = await node.job_api.find_route(HOST, PATH)
        assert isinstance(route, Route)
        return route

    async def build_submission(self, node: Node) -> Submission:
        """Build the job as a node would that is asked to accept it."""
        route = await self.find_route(node)
        return attrs.evolve(SUBMISSION, policy=route.policy)

    def reject_node(self, node: Node) -> None:
        """Have a node find that the store answers none of its calls."""
        node.health.note_failure(anyio.current_time() - OUTAGE_S, "turned away")

    def list_services(self) -> list[str]:
        """List the services under which the job is stored."""
        return list_stored_services(self.store, "ring", "herd")


def list_stored_services(store: EmulatedStore, *services: str) -> list[str]:
    """List the services under which the job itself is stored, not a pointer to it."""
    rows = {name: tables.get_job_row(name, JOB_ID) for name in services}
    return [
        name
        for name, row in rows.items()
        if row in store.rows
        and not isinstance(decode_row(store.rows[row].value), SubmissionPointer)
    ]


def run_with_nodes(test: t.Callable[[Nodes], t.Awaitable[None]]) -> None:
    async def run(scripted: ScriptedStore, store: EmulatedStore) -> None:
        outdated = await start_without_feed(scripted, store, ring="ring")
        write_routes(store, 2, ring="herd")
        updated = build_node(scripted)
        assert await updated.exchange.make_sure()
        assert outdated.routes.get_version() == 1
        assert updated.routes.get_version() == 2
        await test(Nodes(outdated, updated, store))

    run_with_store(run)
