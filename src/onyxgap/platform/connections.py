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
from .resets import reset_on_close

READ_BYTES = 65_536
"""Largest single read; a worker's report is a few kilobytes."""
HTTP_OK = 200


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


@attrs.frozen(slots=True)
class IncarnationCheck:
    """Restricts a call to connections that lead to one incarnation of a worker.

    A process that starts again under its ID inherits no connection, and nothing else
    tells its incarnations apart before a call is carried out.

    :param incarnation: Unix milliseconds of the start of the incarnation that the call
        is meant for, 0 for any.
    :param path: path of a call that tells the incarnation and changes nothing.
    :param body: body of that call.
    :param read: reads the incarnation from its answer, 0 if the worker does not tell;
        ``None`` if the answer is no success.
    :param replaces_call: whether that answer replaces the one to the call if the
        connection was not known to lead to the incarnation.
    """

    incarnation: int
    path: str
    body: t.Mapping[str, t.Any]
    read: t.Callable[[Answer], int | None]
    replaces_call: bool = False

    def admits(self, found: int) -> bool:
        """Tell whether the call may go to an incarnation.

        :param found: its start, Unix milliseconds, 0 if the worker does not tell.
        """
        return not self.incarnation or not found or self.incarnation == found


@attrs.define(eq=False)
class _Connection:
    """Open connection to a worker.

    :param stream: its socket.
    :param incarnation: start of the incarnation that it leads to, Unix milliseconds,
        0 if the worker does not tell; ``None`` if it has not been asked.
    :param call_sent: whether any of the present call may have been sent.
    :param stays_open: whether the worker takes another request.
    """

    stream: anyio.abc.SocketStream
    incarnation: int | None = None
    call_sent: bool = False
    stays_open: bool = True

    async def exchange(self, request: bytes) -> Answer:
        """Send a request and return its answer; close the connection on an error."""
        reader = _AnswerReader()
        try:
            await self.stream.send(request)
            while reader.answer is None:
                reader.feed(await self.stream.receive(READ_BYTES))
        except (anyio.EndOfStream, httptools.HttpParserError) as error:
            await self.close()
            raise _BadAnswerError(type(error).__name__) from None
        except BaseException:
            # a late answer would be taken for the answer to the next call, and the call
            # may be held up
            reset_on_close(self.stream.extra(anyio.abc.SocketAttribute.raw_socket))
            await self.close()
            raise
        self.stays_open = reader.stays_open
        return reader.answer

    async def close(self) -> None:
        """Close the socket."""
        await anyio.aclose_forcefully(self.stream)


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
    _idle: list[_Connection] = attrs.field(factory=list)
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
        check: IncarnationCheck | None = None,
    ) -> Answer:
        """Make one call, without retries; see :meth:`HttpCalls.call`.

        :param check: restricts the call to one incarnation of the worker.
        """
        connection: _Connection | None = None
        give_up_at = anyio.current_time() + timeout_s
        try:
            request = encode_request(self.address, method, path, body, headers)
            with anyio.fail_after(timeout_s):
                async with self._permits:
                    connection = await self._acquire()
                    answer = await self._check(connection, headers, check)
                    if answer is None and not connection.stays_open:
                        # the worker closes each connection after an answer
                        await connection.close()
                        connection = await self._connect()
                    if answer is None:
                        connection.call_sent = True
                        answer = await connection.exchange(request)
                    await self._release(connection)
        except (
            OSError,
            ValueError,
            _BadAnswerError,
            anyio.BrokenResourceError,
        ) as error:
            was_sent = connection is not None and connection.call_sent
            failure = CallFailure.NO_ANSWER if was_sent else CallFailure.NOT_SENT
            await self.close()
            overdue_s = None
            if isinstance(error, TimeoutError):
                overdue_s = max(0.0, anyio.current_time() - give_up_at)
            return Answer(0, b"", failure, _name_error(error), overdue_s)
        return answer

    async def _acquire(self) -> _Connection:
        while self._idle:
            # the most recently used one, so that the others can become idle
            connection = self._idle.pop()
            if not _is_readable(connection.stream):
                connection.call_sent = False
                return connection
            await connection.close()
        return await self._connect()

    async def _connect(self) -> _Connection:
        host, _, port = self.address.rpartition(":")
        return _Connection(await anyio.connect_tcp(host, int(port)))

    async def _check(
        self,
        connection: _Connection,
        headers: Headers,
        check: IncarnationCheck | None,
    ) -> Answer | None:
        """Check that a connection leads to the incarnation that a call is meant for.

        :returns: the outcome of the call if it is not to be sent, else ``None``.
        """
        if check is None:
            return None
        found = connection.incarnation
        if found is not None and check.admits(found):
            return None
        if found is None or check.replaces_call:
            answer = await self._ask_incarnation(connection, headers, check)
            found = connection.incarnation
            if found is None:
                return answer
            if check.replaces_call and (
                connection.stays_open or not check.admits(found)
            ):
                return answer
            if check.admits(found):
                return None
        reason = f"meant for {check.incarnation}, found {found}"
        return Answer(0, b"", CallFailure.OTHER_INCARNATION, reason)

    async def _ask_incarnation(
        self, connection: _Connection, headers: Headers, check: IncarnationCheck
    ) -> Answer:
        request = encode_request(self.address, "POST", check.path, check.body, headers)
        answer = await connection.exchange(request)
        connection.incarnation = check.read(answer)
        is_malformed = connection.incarnation is None and answer.status == HTTP_OK
        if is_malformed and not check.replaces_call:
            # it must not count as the answer to the call
            await connection.close()
            raise _BadAnswerError("incarnation not known")
        return answer

    async def _release(self, connection: _Connection) -> None:
        keeps = connection.stays_open and not self._retired
        if keeps and len(self._idle) < IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            await connection.close()

    async def close(self) -> None:
        """Close every idle connection."""
        idle, self._idle = self._idle, []
        for connection in idle:
            await connection.close()

    async def retire(self) -> None:
        """Close every idle connection, and those in use once their calls end."""
        self._retired = True
        await self.close()
