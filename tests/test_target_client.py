"""Tests the target client with broken, late and mismatched answers.

Each target is a short script that sends raw bytes over a TCP connection.
"""

import random
import time
import typing as t

import anyio
import anyio.abc
import httpcore
import pytest

from onyxgap.adapters.target_client import MAX_CONCURRENT_CONNECTS
from onyxgap.adapters.target_client import HttpTargetClient
from onyxgap.defaults import MAX_IDLE_CONNECTIONS
from onyxgap.manifest import Job
from onyxgap.manifest import Priority
from onyxgap.request.messages import CallerRequest
from onyxgap.request.messages import Exchange
from onyxgap.request.messages import IdentifiedRequest
from onyxgap.request.messages import Outcome
from onyxgap.request.messages import Reason
from onyxgap.standins.virtual import run_virtually
from onyxgap.verdict import Verdict

TargetScript = t.Callable[[anyio.abc.SocketStream, bytes], t.Awaitable[None]]
ECHOED_ID_HEADER = b"Onyxgap-Request-Id: r1\r\n"
COMPLETE_ANSWER = (
    b"HTTP/1.1 200 OK\r\n" + ECHOED_ID_HEADER + b"Content-Length: 5\r\n\r\nwhole"
)


def build_request(request_id: str = "r1") -> IdentifiedRequest:
    job = Job("confirm-bid", Priority.URGENT, False)
    caller = CallerRequest(request_id, "live-bidding", "confirm-bid", b"lot", "k")
    return IdentifiedRequest(caller, job, "live-bidding", False, 1e9)


async def exchange_once(script: TargetScript, timeout_s: float = 5.0) -> Exchange:
    """Send one request to a scripted target."""
    exchanges = await exchange_repeatedly(script, [timeout_s])
    return exchanges[0]


async def exchange_repeatedly(
    script: TargetScript, timeouts: list[float]
) -> list[Exchange]:
    """Send one request per time-out to a scripted target, with the same client."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)

    async def serve(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            try:
                while True:
                    await script(stream, await stream.receive())
            except (anyio.EndOfStream, OSError, anyio.BrokenResourceError):
                return
            except anyio.ClosedResourceError:
                return

    client = HttpTargetClient(max_answer_bytes=1000)
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve)
        exchanges = [
            await client.exchange(build_request(), f"127.0.0.1:{port}", timeout_s)
            for timeout_s in timeouts
        ]
        await client.aclose()
        group.cancel_scope.cancel()
    return exchanges


def build_script(data: bytes, close: bool = True) -> TargetScript:
    """Build a script that sends the bytes as its answer."""

    async def script(stream: anyio.abc.SocketStream, request: bytes) -> None:
        await stream.send(data)
        if close:
            await stream.aclose()

    return script


async def never_answer(stream: anyio.abc.SocketStream, request: bytes) -> None:
    await anyio.sleep_forever()


BROKEN_ANSWERS = {
    "nothing": b"",
    "part of the headers": b"HTTP/1.1 200 OK\r\nContent-Le",
    "truncated body": b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort",
    "no length": b"HTTP/1.1 200 OK\r\n\r\nends when it ends",
    "two lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
    b"Content-Length: 5\r\n\r\nwhole",
    "bad length": b"HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\nwhole",
    "truncated chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\nwhole\r\n",
    "bad chunk": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nx",
    "not HTTP": b"\x00\x01\x02\x03\r\n\r\n",
}


@pytest.mark.promise("whole-answer")
@pytest.mark.parametrize("data", BROKEN_ANSWERS.values(), ids=BROKEN_ANSWERS.keys())
def test_broken_answer_is_not_forwarded(data: bytes) -> None:
    exchange = anyio.run(exchange_once, build_script(data))
    assert exchange.verdict is Verdict.MAY_HAVE_RUN
    assert exchange.reason is Reason.BROKEN_ANSWER
    assert exchange.body == b""


@pytest.mark.promise("whole-answer")
def test_complete_answers_are_forwarded() -> None:
    chunked = (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
    )
    for data in (COMPLETE_ANSWER, chunked):
        exchange = anyio.run(exchange_once, build_script(data))
        assert (exchange.verdict, exchange.body) == (Verdict.RAN, b"whole")


@pytest.mark.promise("whole-answer")
def test_oversize_answer_is_refused() -> None:
    data = b"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + b"x" * 2000
    exchange = anyio.run(exchange_once, build_script(data))
    assert exchange.reason is Reason.ANSWER_TOO_LARGE
    assert exchange.verdict is Verdict.MAY_HAVE_RUN


@pytest.mark.promise("whole-answer")
def test_answer_to_another_request_is_refused() -> None:
    crossed = COMPLETE_ANSWER.replace(b"r1", b"r2")
    exchange = anyio.run(exchange_once, build_script(crossed))
    assert exchange.verdict is Verdict.MAY_HAVE_RUN
    assert exchange.reason is Reason.CROSSED_ANSWER


@pytest.mark.promise("whole-answer")
def test_bytes_after_an_answer_reach_no_later_request() -> None:
    # the target sends a second answer before the next request
    stale = COMPLETE_ANSWER.replace(b"whole", b"stale")
    exchanges = anyio.run(
        exchange_repeatedly, build_script(COMPLETE_ANSWER + stale, close=False), [5] * 3
    )
    assert all(exchange.body in (b"whole", b"") for exchange in exchanges)
    assert exchanges[0].body == b"whole"


@pytest.mark.promise("whole-answer")
def test_late_answer_reaches_no_later_request() -> None:
    calls = 0

    async def script(stream: anyio.abc.SocketStream, request: bytes) -> None:
        nonlocal calls
        calls += 1
        if calls == 1:
            await anyio.sleep(0.3)
            await stream.send(COMPLETE_ANSWER.replace(b"whole", b"late!"))
        else:
            await stream.send(COMPLETE_ANSWER)

    first, second = anyio.run(exchange_repeatedly, script, [0.1, 5])
    assert (first.verdict, first.reason) == (Verdict.MAY_HAVE_RUN, Reason.TIMEOUT)
    assert second.body == b"whole"


@pytest.mark.promise("whole-answer")
def test_connection_without_echoed_id_is_not_reused() -> None:
    streams = set()

    async def script(stream: anyio.abc.SocketStream, request: bytes) -> None:
        streams.add(id(stream))
        await stream.send(COMPLETE_ANSWER.replace(ECHOED_ID_HEADER, b""))

    exchanges = anyio.run(exchange_repeatedly, script, [5] * 3)
    assert len(streams) == 3
    assert all(exchange.verdict is Verdict.RAN for exchange in exchanges)


@pytest.mark.promise("not-run")
def test_refused_connection_gives_not_run() -> None:
    async def run() -> Exchange:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        await listener.aclose()
        address = f"127.0.0.1:{port}"
        return await HttpTargetClient().exchange(build_request(), address, 1)

    exchange = anyio.run(run)
    assert exchange.verdict is Verdict.NOT_RUN
    assert exchange.outcome is Outcome.UNREACHABLE


@pytest.mark.promise("not-run")
def test_refusal_with_proof_gives_not_run() -> None:
    data = b"HTTP/1.1 503 Busy\r\nOnyxgap-Started: no\r\nContent-Length: 0\r\n\r\n"
    exchange = anyio.run(exchange_once, build_script(data))
    assert exchange.verdict is Verdict.NOT_RUN
    assert exchange.outcome is Outcome.OVERLOADED


@pytest.mark.promise("not-run")
def test_refusal_without_proof_gives_ran() -> None:
    data = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
    exchange = anyio.run(exchange_once, build_script(data))
    assert (exchange.verdict, exchange.status) == (Verdict.RAN, 503)


@pytest.mark.promise("not-run")
def test_missing_answer_gives_may_have_run() -> None:
    received: list[bytes] = []

    async def record(stream: anyio.abc.SocketStream, request: bytes) -> None:
        received.append(request)
        await never_answer(stream, request)

    # long enough to connect on a busy machine, so that the answer times out and
    # not the connect
    exchange = anyio.run(exchange_once, record, 2.0)
    assert received
    assert exchange.verdict is Verdict.MAY_HAVE_RUN


@pytest.mark.promise("not-run")
def test_timeout_before_connecting_gives_not_run() -> None:
    received: list[bytes] = []

    async def record(stream: anyio.abc.SocketStream, request: bytes) -> None:
        received.append(request)

    exchange = anyio.run(exchange_once, record, 0.0)
    assert not received
    assert exchange.verdict is Verdict.NOT_RUN


@pytest.mark.promise("whole-answer")
def test_truncated_answer_is_not_forwarded() -> None:
    rng = random.Random(3)
    for cut in rng.sample(range(len(COMPLETE_ANSWER)), 20):
        exchange = anyio.run(exchange_once, build_script(COMPLETE_ANSWER[:cut]))
        assert exchange.verdict is Verdict.MAY_HAVE_RUN, cut


@pytest.mark.promise("not-run")
def test_connect_timeout_of_blocked_event_loop_is_retried() -> None:
    attempts = 0

    async def connect(*args: t.Any, **options: t.Any) -> t.Any:
        nonlocal attempts
        attempts += 1
        if attempts == 1:
            # blocks the event loop for longer than the connect time-out
            time.sleep(0.3)
            raise httpcore.ConnectTimeout
        return await httpcore.AnyIOBackend().connect_tcp(*args, **options)

    async def run() -> Exchange:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)

        async def serve(stream: anyio.abc.SocketStream) -> None:
            await stream.receive()
            await stream.send(COMPLETE_ANSWER)

        client = HttpTargetClient()
        client._backend.connect_tcp = connect  # type: ignore[method-assign]
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, serve)
            address = f"127.0.0.1:{port}"
            exchange = await client.exchange(build_request(), address, 5)
            await client.aclose()
            group.cancel_scope.cancel()
        return exchange

    assert anyio.run(run).verdict is Verdict.RAN
    assert attempts == 2


@pytest.mark.promise("not-run")
def test_concurrent_connects_are_limited() -> None:
    competing = peak = 0

    async def connect(*args: t.Any, **options: t.Any) -> t.Any:
        nonlocal competing, peak
        competing += 1
        peak = max(peak, competing)
        await anyio.sleep(0)
        competing -= 1
        raise httpcore.ConnectError

    async def run() -> None:
        client = HttpTargetClient()
        client._backend.connect_tcp = connect  # type: ignore[method-assign]
        async with anyio.create_task_group() as group:
            for _ in range(200):
                group.start_soon(client.exchange, build_request(), "127.0.0.1:1", 5)

    anyio.run(run)
    assert 0 < peak <= MAX_CONCURRENT_CONNECTS


def test_idle_connections_are_limited_and_expire() -> None:
    async def script(stream: anyio.abc.SocketStream, request: bytes) -> None:
        await stream.send(COMPLETE_ANSWER)

    async def run() -> tuple[int, int]:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        address = f"127.0.0.1:{listener.extra(anyio.abc.SocketAttribute.local_port)}"

        async def serve(stream: anyio.abc.SocketStream) -> None:
            await script(stream, await stream.receive())
            await anyio.sleep_forever()

        client = HttpTargetClient()
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, serve)
            async with anyio.create_task_group() as calls:
                for _ in range(20):
                    calls.start_soon(client.exchange, build_request(), address, 60)
            kept = len(client._idle[address])
            await client.prune_once(time.monotonic() + 3600)
            group.cancel_scope.cancel()
        return kept, len(client._idle)

    kept, left = anyio.run(run)
    assert 0 < kept <= MAX_IDLE_CONNECTIONS
    assert left == 0


class SilentStream(httpcore.AsyncNetworkStream):
    """Connection over which no answer is received."""

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        await anyio.sleep_forever()
        return b""

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        await anyio.sleep(0)

    async def aclose(self) -> None:
        await anyio.sleep(0)


class SlowBackend(httpcore.AnyIOBackend):
    """Connects to nothing after a delay."""

    async def connect_tcp(
        self, *arguments: t.Any, **options: t.Any
    ) -> httpcore.AsyncNetworkStream:
        await anyio.sleep(0.4)
        return SilentStream()


def test_connecting_and_exchange_share_the_time_out_of_an_attempt() -> None:
    async def run() -> float:
        client = HttpTargetClient()
        client._backend = SlowBackend()
        exchange = await client.exchange(build_request(), "127.0.0.1:1", 1.0)
        assert exchange.reason is Reason.TIMEOUT
        return anyio.current_time()

    assert run_virtually(run) == pytest.approx(1.0)
