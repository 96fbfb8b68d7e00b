"""Connections to one worker, for owners that make thousands of calls a second.

Processor time bounds what an owner can start: at its turn a large queue brings more
than a thousand tasks a second, each an order and a part of a report. Over the general
client a call takes several times the processor time; `python -m bench.calls` compares
them.
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
"""Most that is read at once; a worker's report is a few kilobytes."""


class _BadAnswerError(Exception):
    """The peer closed the connection within an answer, or sent no HTTP."""


class _AnswerReader:
    """Puts an answer together from what arrives."""

    def __init__(self) -> None:
        self.answer: Answer | None = None
        self.stays_open = False
        self._pieces: list[bytes] = []
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Take what arrived.

        :raises httptools.HttpParserError: when it is no HTTP.
        """
        self._parser.feed_data(data)

    def on_body(self, piece: bytes) -> None:
        """Take a piece of the body; called by the parser."""
        self._pieces.append(piece)

    def on_message_complete(self) -> None:
        """Finish the answer; called by the parser, which knows its end only now."""
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
    :raises ValueError: when a text would end its line.
    """
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers]
    content = b""
    if body is not None:
        content = orjson.dumps(body)
        lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(content)}")
    for line in lines:
        # ids and addresses were written by others
        if not (line.isascii() and line.isprintable()):
            raise ValueError(f"no header line: {line!r}")
    return "\r\n".join([*lines, "", ""]).encode() + content


def _is_readable(stream: anyio.abc.SocketStream) -> bool:
    """Tell whether an idle connection has something to read: mostly its end."""
    poll = select.poll()
    raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    poll.register(raw_socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))


async def _exchange(
    stream: anyio.abc.SocketStream, request: bytes
) -> tuple[Answer, bool]:
    """Send a request and read its answer; tells whether the connection stays open."""
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
    """Calls one worker; keeps connections open between calls.

    A call that fails drops every idle connection: one that went silent without a reset
    is mostly not alone.

    :param address: ``host:port``.
    :param most: most connections at once.
    """

    address: str
    most: int
    _idle: list[anyio.abc.SocketStream] = attrs.field(factory=list)
    _places: anyio.Semaphore = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._places = anyio.Semaphore(self.most)

    async def call(
        self,
        method: str,
        path: str,
        body: t.Any = None,
        *,
        timeout_s: float,
        headers: Headers = (),
    ) -> Answer:
        """Call once; see :meth:`HttpCalls.call`."""
        stream: anyio.abc.SocketStream | None = None
        try:
            request = encode_request(self.address, method, path, body, headers)
            with anyio.fail_after(timeout_s):
                async with self._places:
                    stream = await self._open()
                    answer, stays_open = await self._use(stream, request)
                    await self._put_back(stream, stays_open)
        except (
            OSError,
            ValueError,
            _BadAnswerError,
            anyio.BrokenResourceError,
        ) as error:
            failure = CallFailure.NO_ANSWER if stream else CallFailure.NOT_SENT
            await self.close()
            return Answer(0, b"", failure, type(error).__name__)
        return answer

    async def _open(self) -> anyio.abc.SocketStream:
        while self._idle:
            # the newest one, so that the others can stay unused
            stream = self._idle.pop()
            if not _is_readable(stream):
                return stream
            await anyio.aclose_forcefully(stream)
        host, _, port = self.address.rpartition(":")
        return await anyio.connect_tcp(host, int(port))

    @staticmethod
    async def _use(
        stream: anyio.abc.SocketStream, request: bytes
    ) -> tuple[Answer, bool]:
        try:
            return await _exchange(stream, request)
        except BaseException:
            # what arrives later would be taken for the answer of another call
            await anyio.aclose_forcefully(stream)
            raise

    async def _put_back(self, stream: anyio.abc.SocketStream, stays_open: bool) -> None:
        if stays_open and len(self._idle) < IDLE_CONNECTIONS:
            self._idle.append(stream)
        else:
            await anyio.aclose_forcefully(stream)

    async def close(self) -> None:
        """Close every idle connection."""
        idle, self._idle = self._idle, []
        for stream in idle:
            await anyio.aclose_forcefully(stream)
