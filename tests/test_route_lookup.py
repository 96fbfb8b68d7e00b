"""Guards against requests that are handled by routes of an outdated configuration."""

import anyio
import orjson

from onyxgap.daemons.node import Node
from onyxgap.daemons.version_observer import VersionSource
from onyxgap.jobs.desk import Unavailable
from onyxgap.jobs.health import OUTAGE_S
from onyxgap.jobs.routing import Route
from onyxgap.jobs.store import RowId
from onyxgap.standins.emulator.route_history import HOST
from onyxgap.standins.emulator.rows import OPERATOR_TABLE
from onyxgap.standins.emulator.store import EmulatedStore
from tests.test_node_parts import ScriptedStore
from tests.test_node_parts import build_node
from tests.test_node_parts import run_with_store

JOB_ID = "0123456789abcdef"
ROW = RowId(OPERATOR_TABLE, "", "configuration")
MUCH_LATER_S = 5.0


def write_routes(store: EmulatedStore, version: int, **services: str) -> None:
    routes = {f"/{name}/".replace("_", "/"): pool for name, pool in services.items()}
    pools = dict.fromkeys(("ring", "herd"), True)
    value = {"version": version, "pools": pools, "routes": routes, "tenants": []}
    store.put(ROW, orjson.dumps(value))


async def start_without_feed(
    scripted: ScriptedStore, store: EmulatedStore, **services: str
) -> Node:
    """Build a node that has read version 1; its feed brings nothing."""
    write_routes(store, 1, **services)
    node = build_node(scripted)
    assert await node.exchange.make_sure()
    return node


async def find_service(node: Node, path: str) -> str | None:
    route = await node.job_api.find_route(HOST, path)
    assert not isinstance(route, Unavailable)
    return route.policy.service if route is not None else None


def test_removed_route_is_not_used_while_the_feed_fails() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        node = await start_without_feed(scripted, store, ring="ring", herd="herd")
        write_routes(store, 2, herd="herd")
        await anyio.sleep(MUCH_LATER_S)
        assert await find_service(node, f"/ring/{JOB_ID}") is None

    run_with_store(test)


def test_moved_route_leads_to_its_new_service_while_the_feed_fails() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        node = await start_without_feed(scripted, store, ring="ring")
        write_routes(store, 2, ring="herd")
        await anyio.sleep(MUCH_LATER_S)
        assert await find_service(node, f"/ring/{JOB_ID}") == "herd"

    run_with_store(test)


def test_outdated_node_rejects_calls_at_once_while_the_store_is_down() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        node = await start_without_feed(scripted, store, ring="ring")
        await anyio.sleep(MUCH_LATER_S)
        now = anyio.current_time()
        node.health.note_failure(now - 2 * OUTAGE_S, "down")
        found = await node.job_api.find_route(HOST, f"/ring/{JOB_ID}")
        assert found is Unavailable.CONFIGURATION_AGE
        assert anyio.current_time() == now

    run_with_store(test)


def test_current_route_is_found_without_a_read() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        node = await start_without_feed(scripted, store, ring="ring")
        calls = store.calls
        assert isinstance(await node.job_api.find_route(HOST, "/ring/"), Route)
        assert store.calls == calls

    run_with_store(test)


def test_added_route_below_the_prefix_of_another_one_is_found() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        node = await start_without_feed(scripted, store, ring="ring")
        await anyio.sleep(1.1)
        write_routes(store, 2, ring="ring", ring_added="herd")
        assert node.exchange.is_current()
        assert await find_service(node, f"/ring/added/{JOB_ID}") == "herd"

    run_with_store(test)


def test_route_of_an_older_version_is_not_used_once_a_newer_one_is_known() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        node = await start_without_feed(scripted, store, ring="ring")
        write_routes(store, 2, ring="herd")
        assert node.exchange.is_current()
        node.exchange.versions.observe(2, VersionSource.OWNED_JOB)
        assert not node.exchange.is_current()
        assert await find_service(node, f"/ring/{JOB_ID}") == "herd"
        assert node.exchange.is_current()

    run_with_store(test)


def test_newer_version_is_read_once_although_it_cannot_be_adopted() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        node = await start_without_feed(scripted, store, ring="ring")
        node.exchange.versions.observe(2, VersionSource.OWNED_JOB)
        calls = store.calls
        for _ in range(3):
            found = await node.job_api.find_route(HOST, f"/ring/{JOB_ID}")
            assert found is Unavailable.CONFIGURATION_AGE
        assert store.calls == calls + 1

    run_with_store(test)
