"""Tests the HTTP client of the platform against an in-memory platform."""

import typing as t

import anyio
import attrs
import pytest

from onyxgap.adapters.asgi import Receive
from onyxgap.adapters.asgi import Scope
from onyxgap.adapters.asgi import Send
from onyxgap.adapters.asgi import send_answer
from onyxgap.adapters.http_server import HttpServer
from onyxgap.adapters.platform_client import PlatformClient
from onyxgap.exceptions import PlatformUnavailableError
from onyxgap.ports import ListedVm
from onyxgap.ports import Put
from onyxgap.ports import StartTask
from onyxgap.ports import VmAction
from onyxgap.ports import VmStatus
from onyxgap.ports import WriteOutcome
from onyxgap.settings import Address
from onyxgap.standins.memory_platform import Faults
from onyxgap.standins.memory_platform import MemoryPlatform
from onyxgap.standins.platform_server import PlatformServer

ClientTest = t.Callable[[MemoryPlatform, PlatformClient], t.Awaitable[None]]


def run_with_client(test: ClientTest) -> None:
    """Run a test with an in-memory platform of two VMs and a client of it."""

    async def run() -> None:
        platform = MemoryPlatform(boot_s=0.0)
        for name in ("vm-1", "vm-2"):
            platform.vms[name] = ListedVm(name, VmStatus.LIVE, "z", "r", "a:1")
        server = HttpServer(PlatformServer(platform), Address())
        async with anyio.create_task_group() as group:
            client = PlatformClient(await group.start(server.run))
            await test(platform, client)
            await client.aclose()
            group.cancel_scope.cancel()

    anyio.run(run)


def run_with_answer(
    status: int, body: bytes, test: t.Callable[[PlatformClient], t.Awaitable[None]]
) -> None:
    """Run a test with a platform that gives the same answer to each call."""

    async def answer(scope: Scope, receive: Receive, send: Send) -> None:
        await send_answer(send, status, body)

    async def run() -> None:
        async with anyio.create_task_group() as group:
            server = HttpServer(answer, Address())
            client = PlatformClient(await group.start(server.run))
            await test(client)
            await client.aclose()
            group.cancel_scope.cancel()

    anyio.run(run)


def test_client_returns_rows_and_objects_of_the_platform() -> None:
    async def test(platform: MemoryPlatform, client: PlatformClient) -> None:
        puts = [Put(f"k/{number}", {"n": number}, 0) for number in range(5)]
        assert (await client.transact(puts)).outcome is WriteOutcome.APPLIED
        again = await client.transact(puts[1:3])
        assert again.outcome is WriteOutcome.NOT_APPLIED
        assert again.conflicts == ("k/1", "k/2")
        assert await client.get("k/3") == await platform.get("k/3")
        assert not await client.get("none")
        for after, limit in (("", 10), ("k/1", 2), ("k/9", 5)):
            expected = await platform.scan("k/", after, limit)
            assert await client.scan("k/", after, limit) == expected
        digest = await client.put_object(b"body")
        assert await client.get_object(digest) == b"body"
        with pytest.raises(PlatformUnavailableError):
            await client.get_object("0" * 64)

    run_with_client(test)


def test_unchanged_vm_list_is_not_sent_again() -> None:
    async def test(platform: MemoryPlatform, client: PlatformClient) -> None:
        first = await client.list_vms()
        assert first.vms == (await platform.list_vms()).vms
        before = client.bytes_transferred
        assert (await client.list_vms()).vms == first.vms
        assert client.bytes_transferred - before < 50
        platform.set_status("vm-1", VmStatus.LEAVING)
        assert (await client.list_vms()).vms[0].status is VmStatus.LEAVING

    run_with_client(test)


def test_repeated_requests_take_effect_once() -> None:
    async def test(platform: MemoryPlatform, client: PlatformClient) -> None:
        for _ in range(2):
            await client.act_on_vm("vm-1", VmAction.REBOOT, "a-1")
            await client.start_task(StartTask("t#1", "vm-2", 1, 1, 60))
        assert (await client.list_vms()).vms[0].boots == 2
        (task,) = await client.list_tasks()
        assert (task.attempt, task.vm) == ("t#1", "vm-2")
        await client.stop_task("t#1")
        assert attrs.evolve(task) != (await client.list_tasks())[0]

    run_with_client(test)


def test_lost_answer_and_outage_leave_the_outcome_unknown() -> None:
    async def test(platform: MemoryPlatform, client: PlatformClient) -> None:
        platform.faults = Faults(lose_answers=1.0)
        lost = await client.transact([Put("k", 1, 0)])
        assert lost.outcome is WriteOutcome.UNKNOWN
        platform.faults = Faults(down=True)
        for call in (client.list_vms, client.list_tasks):
            with pytest.raises(PlatformUnavailableError):
                await call()
        assert (await client.transact([])).outcome is WriteOutcome.UNKNOWN
        platform.faults = Faults()
        row = await client.get("k")
        assert row
        assert row.value == 1

    run_with_client(test)


@pytest.mark.parametrize(
    ("status", "body"),
    [(304, b""), (404, b"null"), (409, b"null"), (409, b"no json"), (500, b"")],
)
def test_write_with_an_unexpected_answer_has_an_unknown_outcome(
    status: int, body: bytes
) -> None:
    async def test(client: PlatformClient) -> None:
        result = await client.transact([Put("k", 1, 0)])
        assert result.outcome is WriteOutcome.UNKNOWN

    run_with_answer(status, body, test)


@pytest.mark.parametrize("status", [304, 404, 409, 500])
def test_object_is_stored_only_if_the_platform_says_so(status: int) -> None:
    async def test(client: PlatformClient) -> None:
        with pytest.raises(PlatformUnavailableError):
            await client.put_object(b"body")

    run_with_answer(status, b"", test)


@pytest.mark.parametrize(
    ("status", "body"),
    [
        (304, b""),
        (404, b"null"),
        (409, b"[]"),
        (200, b"null"),
        (200, b"7"),
        (200, b"[7]"),
        (200, b"[{}]"),
        (200, b'[{"key":"k"}]'),
        (200, b'{"key":"k"}'),
    ],
)
def test_malformed_answer_to_a_read_raises_a_typed_error(
    status: int, body: bytes
) -> None:
    async def test(client: PlatformClient) -> None:
        reads: list[t.Callable[[], t.Awaitable[object]]] = [
            lambda: client.scan("k/", "", 5),
            client.list_vms,
            client.list_tasks,
        ]
        if status != 404:
            reads.append(lambda: client.get("k"))
        for read in reads:
            with pytest.raises(PlatformUnavailableError):
                await read()

    run_with_answer(status, body, test)
