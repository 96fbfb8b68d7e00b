"""Tests that the two HTTP clients give the same answers over real sockets."""

import collections
import contextlib
import typing as t

import anyio
import anyio.abc
import attrs
import pytest

from onyxgap.platform.connections import WorkerConnections
from onyxgap.platform.http import Answer
from onyxgap.platform.http import CallFailure
from onyxgap.platform.http import HttpCalls
from onyxgap.platform.http import HttpClient

TIMEOUT_S = 0.3
OK_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n" + b'{"a":1}'
CLOSING_ANSWER = OK_ANSWER.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n")
CHUNKED_ANSWER = (
    b"HTTP/1.1 409 Conflict\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\n{}x\r\n2\r\nyz\r\n0\r\n\r\n"
)


@attrs.define(eq=False)
class ScriptedServer:
    """Server that sends scripted answers and records the requests.

    :param answers: bytes to send for each request in turn; ``None`` sends nothing, and
        empty bytes close the connection.
    :param connection_count: number of accepted connections.
    :param requests: bytes received, one item per request.
    """

    answers: collections.deque[bytes | None]
    connection_count: int = 0
    requests: list[bytes] = attrs.field(factory=list)

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        self.connection_count += 1
        async with stream:
            while True:
                try:
                    self.requests.append(await stream.receive())
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                answer = self.answers.popleft()
                if answer is None:
                    await anyio.sleep(10 * TIMEOUT_S)
                    return
                if not answer:
                    return
                await stream.send(answer)
                if answer == CLOSING_ANSWER or not answer.startswith(b"HTTP"):
                    return


Script = t.Callable[[HttpCalls, ScriptedServer], t.Awaitable[None]]


def run_script(
    build: t.Callable[[str], HttpCalls],
    answers: t.Iterable[bytes | None],
    script: Script,
) -> ScriptedServer:
    server = ScriptedServer(collections.deque(answers))

    async def main() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        host, port = listener.extra(anyio.abc.SocketAttribute.local_address)
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, server.serve)
            client = build(f"{host}:{port}")
            await script(client, server)
            await client.close()
            group.cancel_scope.cancel()

    anyio.run(main)
    return server


def build_connections(address: str) -> WorkerConnections:
    return WorkerConnections(address, 4)


def build_client(address: str) -> HttpClient:
    return HttpClient(address, 4)


both_clients = pytest.mark.parametrize("build", [build_connections, build_client])


async def send_request(client: HttpCalls, path: str = "/hold") -> Answer:
    return await client.call(
        "POST",
        path,
        {"x": 1},
        timeout_s=TIMEOUT_S,
        headers=[("Expected-Instance", "w1")],
    )


@both_clients
def test_complete_answers_are_read_over_one_connection(build: t.Any) -> None:
    async def script(client: HttpCalls, server: ScriptedServer) -> None:
        assert await send_request(client) == Answer(200, b'{"a":1}')
        assert await send_request(client) == Answer(409, b"{}xyz")
        assert await send_request(client) == Answer(200, b'{"a":1}')

    server = run_script(build, [OK_ANSWER, CHUNKED_ANSWER, OK_ANSWER], script)
    assert server.connection_count == 1
    request = server.requests[0].lower()
    assert request.startswith(b"post /hold http/1.1\r\n")
    assert b"\r\nexpected-instance: w1\r\n" in request
    assert request.endswith(b'\r\n\r\n{"x":1}')


@both_clients
def test_connection_closed_by_the_worker_is_not_reused(build: t.Any) -> None:
    async def script(client: HttpCalls, server: ScriptedServer) -> None:
        for _ in range(3):
            assert await send_request(client) == Answer(200, b'{"a":1}')
            await anyio.sleep(0.02)

    assert run_script(build, [CLOSING_ANSWER] * 3, script).connection_count == 3


@both_clients
@pytest.mark.parametrize(
    "answer", [None, b"", OK_ANSWER[:30] + b"", b"no http\r\n\r\n"]
)
def test_call_without_a_complete_answer_may_have_been_executed(
    build: t.Any, answer: bytes | None
) -> None:
    async def script(client: HttpCalls, server: ScriptedServer) -> None:
        assert (await send_request(client)).failure is CallFailure.NO_ANSWER
        assert await send_request(client) == Answer(200, b'{"a":1}')

    # the rest of a truncated answer must not be taken for the next answer
    assert run_script(build, [answer, OK_ANSWER], script).connection_count == 2


@both_clients
def test_call_that_cannot_be_sent_is_reported_as_not_sent(build: t.Any) -> None:
    async def script(client: HttpCalls, server: ScriptedServer) -> None:
        unreachable = build("127.0.0.1:1")
        assert (await send_request(unreachable)).failure is CallFailure.NOT_SENT

    assert not run_script(build, [], script).requests


def test_untrusted_text_cannot_add_a_header_line() -> None:
    async def script(client: HttpCalls, server: ScriptedServer) -> None:
        for address in ("host:1\r\nX: y", "nowhere", "a:b"):
            assert (await send_request(build_connections(address))).failure is (
                CallFailure.NOT_SENT
            )
        answer = await client.call(
            "POST",
            "/",
            timeout_s=TIMEOUT_S,
            headers=[("Expected-Instance", "w\r\nX: y")],
        )
        assert answer.failure is CallFailure.NOT_SENT

    assert not run_script(build_connections, [], script).requests


@both_clients
def test_concurrent_calls_use_a_bounded_number_of_connections(build: t.Any) -> None:
    async def script(client: HttpCalls, server: ScriptedServer) -> None:
        answers = []

        async def call() -> None:
            answers.append(await send_request(client))

        for _ in range(2):
            async with anyio.create_task_group() as group:
                for _ in range(20):
                    group.start_soon(call)
        assert answers == [Answer(200, b'{"a":1}')] * 40

    assert run_script(build, [OK_ANSWER] * 40, script).connection_count <= 4


def test_timeout_closes_idle_connections() -> None:
    async def script(client: HttpCalls, server: ScriptedServer) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(send_request, client)
            group.start_soon(send_request, client)
        assert (await send_request(client)).failure is CallFailure.NO_ANSWER
        assert await send_request(client) == Answer(200, b'{"a":1}')

    assert (
        run_script(
            build_connections, [OK_ANSWER, OK_ANSWER, None, OK_ANSWER], script
        ).connection_count
        == 3
    )


def test_answer_to_a_cancelled_call_is_not_taken_for_the_next() -> None:
    async def script(client: HttpCalls, server: ScriptedServer) -> None:
        with anyio.move_on_after(0.05):
            await send_request(client)
        assert await send_request(client) == Answer(200, b'{"a":1}')

    assert (
        run_script(build_connections, [None, OK_ANSWER], script).connection_count == 2
    )


def test_calls_in_flight_during_a_failure_leave_no_connections_open() -> None:
    """Guards against connections of a replaced pool that only the collector closes."""
    open_connections: set[anyio.abc.SocketStream] = set()

    async def serve(stream: anyio.abc.SocketStream) -> None:
        open_connections.add(stream)
        with contextlib.suppress(anyio.EndOfStream):
            async with stream:
                while b"/fail" not in await stream.receive():
                    await anyio.sleep(TIMEOUT_S / 2)
                    await stream.send(OK_ANSWER)
        open_connections.discard(stream)

    async def main() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        host, port = listener.extra(anyio.abc.SocketAttribute.local_address)
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, serve)
            client = build_client(f"{host}:{port}")
            async with anyio.create_task_group() as calls:
                for _ in range(3):
                    calls.start_soon(send_request, client)
                await anyio.sleep(TIMEOUT_S / 4)
                failed = await send_request(client, "/fail")
                assert failed.failure is CallFailure.NO_ANSWER
            await anyio.sleep(TIMEOUT_S / 4)
            assert not open_connections
            group.cancel_scope.cancel()

    anyio.run(main)
