"""Connections outside the limits are refused, and others are served beside them."""

import asyncio
import contextlib
import os
import resource
import socket
import typing as t

import anyio
import anyio.abc
import attrs
import pytest
import structlog.testing

from onyxgap.adapters import bounded_protocol
from onyxgap.adapters.asgi import CallerDisconnectedError
from onyxgap.adapters.asgi import read_body
from onyxgap.adapters.asgi import send_answer
from onyxgap.adapters.bounded_protocol import BODY_CUTS
from onyxgap.adapters.bounded_protocol import BoundedHttpProtocol
from onyxgap.adapters.bounded_protocol import find_cut
from onyxgap.adapters.connection_guard import LOG_INTERVAL_S
from onyxgap.adapters.connection_guard import CloseReason
from onyxgap.adapters.connection_guard import ConnectionGuard
from onyxgap.adapters.connection_limits import ConnectionLimits
from onyxgap.adapters.connection_limits import derive_limits
from onyxgap.adapters.http_server import RECEIVE_BUFFER_BYTES
from onyxgap.adapters.http_server import SEND_BUFFER_BYTES
from onyxgap.adapters.http_server import HttpServer
from onyxgap.settings import Address

LIMITS = ConnectionLimits(
    head_bytes=2_000,
    headers=10,
    discarded_bytes=100_000,
    idle_s=0.3,
    head_s=0.2,
    body_s=0.2,
    write_s=0.3,
    linger_s=0.2,
    spared_s=0.1,
    connections=50,
    buffered_bytes=100_000,
)
MAX_BODY_BYTES = 40_000
ENDLESS_BYTES = 4_000_000
GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
CHUNKED = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
LARGE_ANSWER = b"x" * 3_000_000


@attrs.define
class Served:
    """A server with an application that records the bodies it was given in full."""

    guard: ConnectionGuard
    bodies: list[bytes] = attrs.field(factory=list)
    begun: int = 0
    may_answer: anyio.Event = attrs.field(factory=anyio.Event)
    address: Address = attrs.field(factory=Address)

    async def __call__(self, scope: t.Any, receive: t.Any, send: t.Any) -> None:
        """Answer a request once its body is read."""
        self.begun += 1
        try:
            body = await read_body(receive, MAX_BODY_BYTES)
        except CallerDisconnectedError:
            return
        self.bodies.append(body)
        if scope["path"] == "/wait":
            await self.may_answer.wait()
        await send_answer(send, 200, LARGE_ANSWER if scope["path"] == "/large" else b"")

    async def connect(self) -> anyio.abc.SocketStream:
        """Open a connection to the server."""
        return await anyio.connect_tcp(self.address.host, self.address.port)

    async def is_serving(self) -> bool:
        """Return whether an ordinary request is answered."""
        async with await self.connect() as stream:
            await stream.send(GET)
            return (await receive_all(stream, 1)).startswith(b"HTTP/1.1 200")


async def receive_all(stream: anyio.abc.ByteReceiveStream, lines: int = 10**9) -> bytes:
    """Receive until the end, or until a number of lines is complete."""
    received = b""
    with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while received.count(b"\r\n") < lines:
            received += await stream.receive()
    return received


async def send_endlessly(stream: anyio.abc.ByteSendStream, unit: bytes) -> int:
    """Send a unit again and again; return the bytes sent when the server closed."""
    block = unit * (16_000 // len(unit) + 1)
    sent = 0
    while sent < ENDLESS_BYTES:
        try:
            await stream.send(block)
        except anyio.BrokenResourceError:
            break
        sent += len(block)
    return sent


def run(
    check: t.Callable[[Served], t.Awaitable[None]], limits: ConnectionLimits = LIMITS
) -> None:
    """Run a check beside a server."""

    async def serve() -> None:
        served = Served(ConnectionGuard(limits))
        server = HttpServer(served, Address("127.0.0.1", 0), 1, served.guard)
        async with anyio.create_task_group() as group:
            served.address = await group.start(server.run)
            with anyio.fail_after(20):
                await check(served)
            group.cancel_scope.cancel()

    anyio.run(serve)


async def wait_until(holds: t.Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    while not holds():
        await anyio.sleep(0.01)


@pytest.mark.parametrize(
    ("start", "unit", "status", "reason"),
    [
        (b"GET /a HTTP/1.1\r\nX: ", b"a", 431, CloseReason.HEAD_SIZE),
        (b"GET /a HTTP/1.1\r\n", b"X: aaaa\r\n", 431, CloseReason.HEAD_SIZE),
        (b"GET /a HTTP/1.1\r\n", b"Xaaaa", 431, CloseReason.HEAD_SIZE),
        (b"GET /", b"a", 414, CloseReason.PATH_SIZE),
        (b"", b"\r\n", 400, CloseReason.PADDING),
        (b"", b"\n", 400, CloseReason.PADDING),
        (CHUNKED + b"1;", b"a", 400, CloseReason.PADDING),
        (CHUNKED + b"1\r\na\r\n0\r\n", b"X: aaaa\r\n", 400, CloseReason.PADDING),
        (CHUNKED + b"1\r\na\r\n0\r\nX: ", b"a", 400, CloseReason.PADDING),
        (GET + b"GET /a HTTP/1.1\r\nX: ", b"a", 431, CloseReason.HEAD_SIZE),
        (b"", b"\0", 400, CloseReason.MALFORMED),
    ],
)
def test_endless_message_is_refused_without_being_run(
    start: bytes, unit: bytes, status: int, reason: CloseReason
) -> None:
    async def check(served: Served) -> None:
        async with await served.connect() as stream:
            await stream.send(start)
            await stream.send(unit * (2 * LIMITS.head_bytes // len(unit) + 1))
            answers = await receive_all(stream)
            assert b"HTTP/1.1 %d " % status in answers
            assert b"connection: close" in answers
            assert await send_endlessly(stream, unit) < ENDLESS_BYTES
        assert served.bodies == [b""] * start.count(GET)
        assert served.guard.closed == {reason.value: 1}
        await wait_until(lambda: not served.guard.connections)
        assert served.guard.held == 0
        assert await served.is_serving()

    run(check)


def test_head_with_too_many_headers_in_one_read_is_not_run() -> None:
    async def check(served: Served) -> None:
        async with await served.connect() as stream:
            await stream.send(b"GET /a HTTP/1.1\r\n" + b"X:\r\n" * 11 + b"\r\n" + GET)
            assert (await receive_all(stream)).startswith(b"HTTP/1.1 431 ")
        assert served.begun == 0

    run(check)


def test_requests_within_the_limits_are_served_however_they_are_split() -> None:
    post = b"POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\n\n\r\n\n\n"
    chunked = CHUNKED + b"3;x=y\r\na\n\n\r\n2\r\n\r\n\r\n0\r\nTrailer: z\r\n\r\n"
    data = b"\r\n" + (GET + post + b"\r\n" + chunked) * 2

    async def check(served: Served) -> None:
        for size in (1, 2, 3, 7, 40, len(data)):
            served.bodies.clear()
            async with await served.connect() as stream:
                for start in range(0, len(data), size):
                    await stream.send(data[start : start + size])
                    await anyio.sleep(0)
                answers = await receive_all(stream, 18)
            assert answers.count(b"HTTP/1.1 200 OK") == 6
            assert served.bodies == [b"", b"\n\r\n\n\n", b"a\n\n\r\n"] * 2

    run(check, attrs.evolve(LIMITS, head_s=10.0, body_s=10.0))


def test_requests_sent_ahead_are_parsed_one_at_a_time() -> None:
    wait = b"GET /wait HTTP/1.1\r\n\r\n"

    async def check(served: Served) -> None:
        async with await served.connect() as stream:
            await stream.send(wait * 3 + GET * 500)
            await wait_until(lambda: served.begun > 0)
            await anyio.sleep(0.05)
            assert served.begun == 1
            (connection,) = served.guard.connections
            assert connection.held < 20_000
            served.may_answer.set()
            answers = await receive_all(stream, 503 * 3)
        assert answers.count(b"HTTP/1.1 200 OK") == served.begun == 503

    run(check)


def test_requests_in_one_piece_close_the_connection_unanswered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # as a parser would that ends heads elsewhere than at blank lines
    monkeypatch.setattr(
        bounded_protocol, "find_cut", lambda tail, data, start, stop: stop
    )

    async def check(served: Served) -> None:
        async with await served.connect() as stream:
            await stream.send(b"GET /wait HTTP/1.1\r\n\r\n" + GET)
            assert await receive_all(stream) == b""
        assert served.guard.closed == {CloseReason.MALFORMED.value: 1}
        assert served.begun <= 1
        served.may_answer.set()
        assert served.guard.held == 0

    run(check)


def test_request_for_an_upgrade_is_served_without_it() -> None:
    upgrade = b"GET /a HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"

    async def check(served: Served) -> None:
        async with await served.connect() as stream:
            await stream.send(upgrade * 2 + GET)
            answers = await receive_all(stream, 9)
        assert answers.count(b"HTTP/1.1 200 OK") == served.begun == 3

    run(check)


def test_answers_that_fill_the_buffers_again_and_again_are_counted_once() -> None:
    requests = 5

    async def check(served: Served) -> None:
        size = 0
        async with await served.connect() as stream:
            await stream.send(b"GET /large HTTP/1.1\r\n\r\n" * requests)
            while size < len(LARGE_ANSWER) * requests:
                size += len(await stream.receive(1_000_000))
                assert served.guard.held < 2 * len(LARGE_ANSWER)
        await wait_until(lambda: not served.guard.connections)
        assert served.guard.held == 0

    run(check, attrs.evolve(LIMITS, idle_s=10.0, buffered_bytes=100_000_000))


def test_caller_that_sends_ahead_and_reads_nothing_is_closed() -> None:
    async def check(served: Served) -> None:
        async with await served.connect() as stream:
            sent = await send_endlessly(stream, b"GET /large HTTP/1.1\r\n\r\n")
            assert sent < ENDLESS_BYTES
            assert served.begun < 10
        assert served.guard.closed == {CloseReason.UNREAD.value: 1}
        await wait_until(lambda: not served.guard.connections)
        assert served.guard.held == 0
        assert await served.is_serving()

    run(check, attrs.evolve(LIMITS, buffered_bytes=10_000_000))


def test_caller_that_reads_a_large_answer_slowly_gets_all_of_it() -> None:
    async def check(served: Served) -> None:
        size = 0
        async with await served.connect() as stream:
            await stream.send(b"GET /large HTTP/1.1\r\n\r\n")
            while size < len(LARGE_ANSWER):
                size += len(await stream.receive(65_536))
                await anyio.sleep(0.05)
        assert not served.guard.closed

    run(check, attrs.evolve(LIMITS, idle_s=10.0, buffered_bytes=10_000_000))


def test_kernel_buffers_of_a_connection_do_not_grow_with_its_unread_answers() -> None:
    async def check(served: Served) -> None:
        async with await served.connect() as stream:
            await stream.send(b"GET /large HTTP/1.1\r\n\r\n")
            await wait_until(lambda: bool(served.bodies))
            await anyio.sleep(0.1)
            (connection,) = served.guard.connections
            assert isinstance(connection, BoundedHttpProtocol)
            accepted = connection.transport.get_extra_info("socket")
            sizes = [
                accepted.getsockopt(socket.SOL_SOCKET, option)
                for option in (socket.SO_RCVBUF, socket.SO_SNDBUF)
            ]
        assert sizes == [2 * RECEIVE_BUFFER_BYTES, 2 * SEND_BUFFER_BYTES]

    run(check, attrs.evolve(LIMITS, idle_s=10.0, buffered_bytes=10_000_000))


def test_idle_connection_keeps_nothing_of_its_last_request() -> None:
    async def check(served: Served) -> None:
        async with await served.connect() as stream:
            await stream.send(GET)
            await receive_all(stream, 3)
            (connection,) = served.guard.connections
            assert isinstance(connection, BoundedHttpProtocol)
            kept = (connection.headers, connection.url, connection.scope)
            assert kept == ([], b"", {})
            assert not connection.cycle.scope
            assert served.guard.held == 0

    run(check)


def test_flood_of_refused_connections_gets_one_log_line_for_each_reason() -> None:
    now = 0.0

    async def log() -> None:
        nonlocal now
        guard = ConnectionGuard(read_clock=lambda: now)
        for _ in range(3):
            for _ in range(100):
                guard.count(CloseReason.MALFORMED)
                guard.count(CloseReason.CONNECTIONS)
                guard.count(CloseReason.IDLE)
            guard.sweep()
            now += LOG_INTERVAL_S / 2

    with structlog.testing.capture_logs() as lines:
        anyio.run(log)
    counts = [(line["event"], line["reason"], line["count"]) for line in lines]
    closed = "connection closed for what its caller sent"
    assert sorted(counts) == [
        (closed, CloseReason.MALFORMED.value, 100),
        (closed, CloseReason.MALFORMED.value, 200),
        ("connection refused", CloseReason.CONNECTIONS.value, 100),
        ("connection refused", CloseReason.CONNECTIONS.value, 200),
    ]


@pytest.mark.parametrize(
    ("start", "reason"),
    [
        (b"", CloseReason.IDLE),
        (b"\r\n", CloseReason.IDLE),
        (GET, CloseReason.IDLE),
        (b"GET /a HTTP/1.1\r\n", CloseReason.HEAD_TIME),
        (b"POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\na", CloseReason.BODY_TIME),
        (CHUNKED + b"1\r\na\r\n0\r\nX: a\r\n", CloseReason.BODY_TIME),
    ],
)
def test_connection_that_waits_for_its_caller_is_closed(
    start: bytes, reason: CloseReason
) -> None:
    async def check(served: Served) -> None:
        async with await served.connect() as stream:
            if start:
                await stream.send(start)
            await receive_all(stream)
        assert served.guard.closed == {reason.value: 1}
        assert served.bodies == ([b""] if start == GET else [])

    run(check)


def test_request_that_takes_long_in_the_application_is_not_closed() -> None:
    async def check(served: Served) -> None:
        async with await served.connect() as stream:
            await stream.send(b"GET /wait HTTP/1.1\r\n\r\n")
            await anyio.sleep(2.2)
            served.may_answer.set()
            assert (await receive_all(stream, 1)).startswith(b"HTTP/1.1 200")

    run(check)


def test_newest_caller_is_served_while_others_hold_all_connections() -> None:
    async def check(served: Served) -> None:
        async with contextlib.AsyncExitStack() as stack:
            for number in range(LIMITS.connections):
                stream = await stack.enter_async_context(await served.connect())
                if number % 2:
                    await stream.send(b"GET /a HTTP/1.1\r\n")
            await anyio.sleep(0.15)
            assert await served.is_serving()
        assert served.guard.closed[CloseReason.EVICTED.value] > 0
        assert CloseReason.CONNECTIONS.value not in served.guard.closed

    run(check, attrs.evolve(LIMITS, idle_s=10.0, head_s=10.0))


def test_connection_over_the_limit_is_refused_while_all_others_are_served() -> None:
    async def check(served: Served) -> None:
        async with contextlib.AsyncExitStack() as stack:
            for _ in range(LIMITS.connections):
                stream = await stack.enter_async_context(await served.connect())
                await stream.send(b"GET /wait HTTP/1.1\r\n\r\n")
            await wait_until(lambda: served.begun == LIMITS.connections)
            stream = await stack.enter_async_context(await served.connect())
            refusal = await receive_all(stream)
            assert refusal.startswith(b"HTTP/1.1 503 ")
            assert b"retry-after: 1\r\n" in refusal
        await wait_until(lambda: not served.guard.connections)
        served.may_answer.set()
        assert await served.is_serving()

    run(check)


def test_late_event_loop_does_not_open_a_socket_for_each_waiting_caller() -> None:
    callers = 300
    accepted_before_refusal = 100

    async def check(served: Served) -> None:
        most = 0
        done = False

        def sample() -> None:
            nonlocal most
            most = max(most, len(os.listdir("/proc/self/fd")))
            if not done:
                asyncio.get_running_loop().call_soon(sample)

        address = (served.address.host, served.address.port)
        with contextlib.ExitStack() as stack:
            for _ in range(callers):
                stack.enter_context(socket.create_connection(address))
            before = len(os.listdir("/proc/self/fd"))
            sample()
            await wait_until(
                lambda: served.guard.closed[CloseReason.CONNECTIONS.value] > 200
            )
            done = True
        assert most - before <= LIMITS.connections + accepted_before_refusal

    run(check)


def test_bodies_of_many_callers_stay_within_the_bound_of_the_process() -> None:
    head = b"POST /a HTTP/1.1\r\nContent-Length: 20000\r\n\r\n"
    highest = 0

    async def check(served: Served) -> None:
        nonlocal highest
        async with contextlib.AsyncExitStack() as stack:
            for _ in range(20):
                stream = await stack.enter_async_context(await served.connect())
                await stream.send(head + b"a" * 19_000)
                await anyio.sleep(0.01)
                highest = max(highest, served.guard.held)
            assert served.guard.closed[CloseReason.MEMORY.value] > 0
            await anyio.sleep(0.15)
            assert await served.is_serving()
        assert served.bodies == [b""]

    run(check, attrs.evolve(LIMITS, body_s=10.0))
    assert highest <= LIMITS.buffered_bytes


def test_body_that_does_not_end_after_its_answer_is_closed() -> None:
    async def check(served: Served) -> None:
        async with await served.connect() as stream:
            await stream.send(CHUNKED)
            chunk = b"3e80\r\n" + b"a" * 16_000 + b"\r\n"
            assert await send_endlessly(stream, chunk) < ENDLESS_BYTES
        assert served.bodies == []
        assert served.guard.held == 0
        assert await served.is_serving()

    run(check, attrs.evolve(LIMITS, body_s=10.0))


@pytest.mark.parametrize(
    ("tail", "data", "cut"),
    [
        (b"", b"abc", 3),
        (b"", b"a\r\n\r\nb\r\n\r\n", 5),
        (b"", b"a\n\nb", 3),
        (b"\r\n", b"\r\nb\r\n\r\n", 2),
        (b"\n\r", b"\nb", 1),
        (b"\n\n", b"\n\n", 1),
        (b"ab", b"\r\nc", 3),
    ],
)
def test_cut_is_behind_the_first_blank_line(tail: bytes, data: bytes, cut: int) -> None:
    assert find_cut(tail, data, 0, len(data)) == cut


@pytest.mark.parametrize(
    ("memory_mb", "max_fds", "connections", "buffered_bytes"),
    [
        (0, 0, 10_000, 268_435_456),
        (300, 4_100, 1_950, 39_321_600),
        (64, 4_100, 512, 8_388_608),
        (24_000, 1_024, 412, 268_435_456),
        (300, 10, 1, 39_321_600),
    ],
)
def test_limits_follow_from_the_machine(
    memory_mb: int, max_fds: int, connections: int, buffered_bytes: int
) -> None:
    limits = derive_limits(memory_mb, max_fds)
    assert limits.connections == connections
    assert limits.buffered_bytes == buffered_bytes


def test_server_without_limits_of_its_own_has_those_of_its_process() -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (600, hard))
    try:
        guard = HttpServer(None, Address()).guard
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    assert guard.limits.connections == 200


@pytest.mark.parametrize("unit", [b"\n", b"\n\na"])
def test_blank_lines_in_a_chunked_body_do_not_cut_it_into_many_pieces(
    monkeypatch: pytest.MonkeyPatch, unit: bytes
) -> None:
    pieces: list[int] = []
    feed = BoundedHttpProtocol._feed

    def count(protocol: BoundedHttpProtocol, piece: bytes) -> bool:
        pieces.append(len(piece))
        return feed(protocol, piece)

    monkeypatch.setattr(BoundedHttpProtocol, "_feed", count)
    body = (unit * MAX_BODY_BYTES)[: MAX_BODY_BYTES - 1]

    async def check(served: Served) -> None:
        async with await served.connect() as stream:
            await stream.send(CHUNKED + b"%x\r\n" % len(body) + body + b"\r\n0\r\n\r\n")
            assert (await receive_all(stream, 1)).startswith(b"HTTP/1.1 200")
        assert served.bodies == [body]
        assert len(pieces) < 2 * BODY_CUTS

    run(check)


def test_body_of_a_request_for_an_upgrade_is_not_taken_for_the_next_request() -> None:
    body = b"GET /hidden HTTP/1.1\r\n\r\n"
    head = b"POST /a HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: x\r\n"
    head += b"Content-Length: %d\r\n\r\n" % len(body)

    async def check(served: Served) -> None:
        async with await served.connect() as stream:
            await stream.send(head + body)
            assert (await receive_all(stream)).startswith(b"HTTP/1.1 400")
        assert served.begun == 0

    run(check)


def test_refusal_of_a_body_that_was_expected_raises_nothing(
    caplog: pytest.LogCaptureFixture,
) -> None:
    head = CHUNKED.replace(b"\r\n\r\n", b"\r\nExpect: 100-continue\r\n\r\n")

    async def check(served: Served) -> None:
        async with await served.connect() as stream:
            await stream.send(head + b"ZZ\r\n")
            assert (await receive_all(stream)).startswith(b"HTTP/1.1 400")
        await anyio.sleep(0.1)

    with caplog.at_level("ERROR"):
        run(check)
    assert not caplog.records


def test_large_answer_that_is_read_steadily_is_whole_if_its_connection_closes() -> None:
    limits = attrs.evolve(LIMITS, write_s=1.0, idle_s=10.0, buffered_bytes=10_000_000)

    async def check(served: Served) -> None:
        size = 0
        async with await served.connect() as stream:
            await stream.send(b"GET /large HTTP/1.1\r\nConnection: close\r\n\r\n")
            while size < len(LARGE_ANSWER):
                size += len(await stream.receive(65_536))
                await anyio.sleep(0.08)
        assert not served.guard.closed

    run(check, limits)
