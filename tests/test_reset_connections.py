"""Guards against calls that are delivered long after they were given up.

A partition holds up what was sent; only a reset connection takes it back.
"""

import socket
import typing as t

import anyio
import pytest

from onyxgap.platform.connections import WorkerConnections
from onyxgap.platform.http import CallFailure
from onyxgap.platform.http import HttpCalls
from onyxgap.platform.http import HttpClient

TIMEOUT_S = 0.1


def build_client(address: str) -> HttpClient:
    return HttpClient(address)


def build_connections(address: str) -> WorkerConnections:
    return WorkerConnections(address, 4)


@pytest.mark.parametrize("build", [build_client, build_connections])
def test_call_that_was_given_up_is_not_delivered_later(
    build: t.Callable[[str], HttpCalls],
) -> None:
    async def run() -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            host, port = server.getsockname()
            calls = build(f"{host}:{port}")
            answer = await calls.call("POST", "/order", {}, timeout_s=TIMEOUT_S)
            assert answer.failure is CallFailure.NO_ANSWER
            connection, _ = server.accept()
            with connection, pytest.raises(ConnectionResetError):
                while connection.recv(65_536):
                    pass

    anyio.run(run)


@pytest.mark.parametrize("build", [build_client, build_connections])
def test_call_that_is_answered_keeps_its_connection(
    build: t.Callable[[str], HttpCalls],
) -> None:
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
    accepted = []

    async def serve(stream: anyio.abc.SocketStream) -> None:
        accepted.append(stream)
        async with stream:
            async for _ in stream:
                await stream.send(answer)

    async def run() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, serve)
            calls = build(f"127.0.0.1:{port}")
            for _ in range(3):
                found = await calls.call("GET", "/", timeout_s=5.0)
                assert found.status == 200
            group.cancel_scope.cancel()

    anyio.run(run)
    assert len(accepted) == 1
