"""HTTP/1.1 connection pool to one worker, with a low processor cost per call.

CPU time limits how many tasks an owner can start. In a demand burst a large queue gets
more than a thousand tasks a second; each costs one order and part of a report. A call
through :class:`~onyxgap.platform.http.HttpClient` takes several times the CPU time;
`python -m bench.calls` compares the two.
"""

import select
import typing as t

import anyio
import anyio.abc
import attrs
import httptools
import orjson

from .http import IDLE_CONNECTIONS
from .http import Answer
from .http import CallFailure
from .http import Headers

READ_BYTES = 65_536
"""Largest single read; a worker's report is a few kilobytes."""


class _BadAnswerError(Exception):
    """The peer closed the connection during an answer, or did not send HTTP."""


def _name_error(error: Exception) -> str:
    """Return the name of an error, or that of the failed connection attempt behind it.

    Otherwise a refused connection and one without a route are both ``OSError``.
    """
    cause = error.__cause__
    return type(cause if isinstance(cause, OSError) else error).__name__


class _AnswerReader:
    """Assembles an answer from the received bytes."""

    def __init__(self) -> None:
        self.answer: Answer | None = None
        self.stays_open = False
        self._pieces: list[bytes] = []
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        :raises httptools.HttpParserError: when they are not HTTP.
        """
        self._parser.feed_data(data)

    def on_body(self, piece: bytes) -> None:
        """Store a piece of the body; called by the parser."""
        self._pieces.append(piece)

    def on_message_complete(self) -> None:
        """Complete the answer; called by the parser at the end of the message."""
        self.answer = Answer(self._parser.get_status_code(), b"".join(self._pieces))
        self.stays_open = self._parser.should_keep_alive()


def encode_request(
    host: str, method: str, path: str, body: t.Any, headers: Headers
) -> bytes:
    """Encode a request with a JSON body.

    :param host: value of the ``Host`` header.
    :param method: HTTP method.
    :param path: path with query.
    :param body: JSON value, ``None`` for no body.
    :param headers: further headers.
    :raises ValueError: when a text could break a header line.
    """
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers]
    content = b""
    if body is not None:
        content = orjson.dumps(body)
        lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(content)}")
    for line in lines:
        # IDs and addresses come from other processes: prevent header injection
        if not (line.isascii() and line.isprintable()):
            raise ValueError(f"invalid header line: {line!r}")
    return "\r\n".join([*lines, "", ""]).encode() + content


def _is_readable(stream: anyio.abc.SocketStream) -> bool:
    """Tell whether an idle connection is readable, which mostly means closed."""
    poll = select.poll()
    raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    poll.register(raw_socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))


async def _exchange(
    stream: anyio.abc.SocketStream, request: bytes
) -> tuple[Answer, bool]:
    """Send a request; return its answer and whether the connection stays open."""
    reader = _AnswerReader()
    await stream.send(request)
    while reader.answer is None:
        try:
            reader.feed(await stream.receive(READ_BYTES))
        except (anyio.EndOfStream, httptools.HttpParserError) as error:
            raise _BadAnswerError(type(error).__name__) from None
    return reader.answer, reader.stays_open


@attrs.define(eq=False)
class WorkerConnections:
    """HTTP client of one worker that keeps connections open between calls.

    A failed call closes every idle connection: when one connection breaks without a
    reset, the others to the same address are mostly broken too.

    :param address: ``host:port``.
    :param max_connections: maximum number of connections in use at once.
    """

    address: str
    max_connections: int
    _idle: list[anyio.abc.SocketStream] = attrs.field(factory=list)
    _retired: bool = False
    _permits: anyio.Semaphore = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._permits = anyio.Semaphore(self.max_connections)

    async def call(
        self,
        method: str,
        path: str,
        body: t.Any = None,
        *,
        timeout_s: float,
        headers: Headers = (),
    ) -> Answer:
        """Make one call, without retries; see :meth:`HttpCalls.call`."""
        stream: anyio.abc.SocketStream | None = None
        give_up_at = anyio.current_time() + timeout_s
        try:
            request = encode_request(self.address, method, path, body, headers)
            with anyio.fail_after(timeout_s):
                async with self._permits:
                    stream = await self._acquire()
                    answer, stays_open = await self._exchange_or_close(stream, request)
                    await self._release(stream, stays_open)
        except (
            OSError,
            ValueError,
            _BadAnswerError,
            anyio.BrokenResourceError,
        ) as error:
            failure = CallFailure.NO_ANSWER if stream else CallFailure.NOT_SENT
            await self.close()
            overdue_s = None
            if isinstance(error, TimeoutError):
                overdue_s = max(0.0, anyio.current_time() - give_up_at)
            return Answer(0, b"", failure, _name_error(error), overdue_s)
        return answer

    async def _acquire(self) -> anyio.abc.SocketStream:
        while self._idle:
            # the most recently used one, so that the others can become idle
            stream = self._idle.pop()
            if not _is_readable(stream):
                return stream
            await anyio.aclose_forcefully(stream)
        host, _, port = self.address.rpartition(":")
        return await anyio.connect_tcp(host, int(port))

    @staticmethod
    async def _exchange_or_close(
        stream: anyio.abc.SocketStream, request: bytes
    ) -> tuple[Answer, bool]:
        try:
            return await _exchange(stream, request)
        except BaseException:
            # a late answer would be taken for the answer to the next call
            await anyio.aclose_forcefully(stream)
            raise

    async def _release(self, stream: anyio.abc.SocketStream, stays_open: bool) -> None:
        keeps = stays_open and not self._retired
        if keeps and len(self._idle) < IDLE_CONNECTIONS:
            self._idle.append(stream)
        else:
            await anyio.aclose_forcefully(stream)

    async def close(self) -> None:
        """Close every idle connection."""
        idle, self._idle = self._idle, []
        for stream in idle:
            await anyio.aclose_forcefully(stream)

    async def retire(self) -> None:
        """Close every idle connection, and those in use once their calls end."""
        self._retired = True
        await self.close()
