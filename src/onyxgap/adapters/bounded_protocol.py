"""HTTP server protocol that bounds what a caller may send, hold and leave unread."""

import asyncio
import enum
import http
import typing as t

import httptools
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from .asgi import HeaderList
from .connection_guard import CloseReason
from .connection_guard import ConnectionGuard

READ_BYTES = 16_384
"""Bytes taken from a socket, and given to the parser, at once."""
WRITE_BUFFER_BYTES = 16_384
"""Bytes of answers that may wait unread before the next answer waits."""
BLANK_LINES = (b"\n\r\n", b"\n\n")
TAIL_BYTES = 2
"""Bytes of a blank line that an earlier read may have ended with."""
LINE_ENDS = b"\r\n"
BODY_CUTS = 64
"""Blank lines in a chunked body at which it is cut in search of its end. Each costs a
call of the parser; a request that follows behind more of them closes the connection."""
RefusalHeaders = t.Callable[[int], HeaderList]


class _Phase(enum.Enum):
    """What a connection waits for."""

    IDLE = enum.auto()
    HEAD = enum.auto()
    BODY = enum.auto()
    ANSWER = enum.auto()
    REFUSED = enum.auto()


class _HeldFlow(FlowControl):
    """Flow control that keeps reading paused while received bytes are held back."""

    held = False

    def resume_reading(self) -> None:
        if not self.held:
            super().resume_reading()


def find_cut(tail: bytes, data: bytes, start: int, stop: int) -> int:
    """Find the end of the first blank line; a head or chunked body ends with one.

    :param tail: last bytes before ``data``.
    :param data: received bytes.
    :param start: where the search begins in ``data``.
    :param stop: where it ends.
    :returns: the position after the blank line, or ``stop`` if there is none.
    """
    if tail and data[start] in LINE_ENDS:
        joined = tail + data[start : start + TAIL_BYTES]
        for blank in BLANK_LINES:
            found = joined.find(blank)
            if found >= 0:
                return min(stop, max(start + found + len(blank) - len(tail), start + 1))
    cut = stop
    for blank in BLANK_LINES:
        found = data.find(blank, start, cut)
        if found >= 0:
            cut = found + len(blank)
    return cut


class BoundedHttpProtocol(HttpToolsProtocol):
    """Serves one connection and keeps it within the limits of its guard.

    One request at a time is parsed: bytes behind it are held back, and reading pauses,
    until it is answered. A request that is refused here has not reached the
    application in full, so that nothing of it has run.

    :param guard: bounds the connections of the process.
    :param list_refusal_headers: lists additional headers of a refusal by its status.
    """

    def __init__(
        self,
        *args: t.Any,
        guard: ConnectionGuard,
        list_refusal_headers: RefusalHeaders,
        **options: t.Any,
    ) -> None:
        super().__init__(*args, **options)
        self.guard = guard
        self.list_refusal_headers = list_refusal_headers
        self.limits = guard.limits
        self.held = 0
        self._phase = _Phase.IDLE
        self._since = guard.read_clock()
        self._stalled_since: float | None = None
        self._stalled_bytes = 0
        self._stalled_held = 0
        self._unparsed = b""
        self._tail = b""
        self._without_progress = 0
        self._body_left = 0
        self._discarded = 0
        self._too_many_headers = False
        self._cuts_left = BODY_CUTS
        self._flow: _HeldFlow

    # asyncio protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Admit the connection, or refuse it."""
        transport = t.cast(asyncio.Transport, transport)
        super().connection_made(transport)
        self.flow = self._flow = _HeldFlow(transport)
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        # the attribute of asyncio's transports for sockets
        if hasattr(transport, "max_size"):
            transport.max_size = READ_BYTES
        if not self.guard.admit(self):
            self._send_refusal(503)
            self._enter(_Phase.REFUSED)
            transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self.guard.remove(self)
        self._unparsed = b""
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or hold them back while a request is unanswered."""
        if self._phase is _Phase.REFUSED:
            self._discard(len(data))
            return
        if self._unparsed:
            data = self._unparsed + data
            self._unparsed = b""
        self._parse(data)

    def pause_writing(self) -> None:
        """Note that the caller does not read its answer."""
        super().pause_writing()
        self._stalled_since = self.guard.read_clock()
        self._stalled_bytes = self.transport.get_write_buffer_size()
        self._stalled_held = self._stalled_bytes
        if not self.guard.hold(self, self._stalled_held):
            self._abort(CloseReason.MEMORY)

    def resume_writing(self) -> None:
        """Note that the caller has read its answer."""
        super().resume_writing()
        self._stalled_since = None
        self.guard.release(self, max(0, self.held - self._stalled_held))
        self._stalled_held = 0
        if self._phase is _Phase.IDLE:
            self._enter(_Phase.IDLE)

    # parsing

    def _parse(self, data: bytes) -> None:
        start, size = 0, len(data)
        while start < size and self._phase is not _Phase.REFUSED:
            if self.transport.is_closing():
                return
            if self._phase is _Phase.ANSWER:
                self._hold_back(data[start:])
                return
            if self._phase is _Phase.IDLE and data[start] in LINE_ENDS:
                data, start = self._drop_empty_lines(data[start:]), 0
                size = len(data)
                continue
            stop = self._find_stop(data, start)
            piece = data[start:stop] if start or stop < size else data
            start = stop
            if not self._feed(piece):
                return

    def _find_stop(self, data: bytes, start: int) -> int:
        allowed = self.limits.head_bytes + 1 - self._without_progress
        if self._body_left:
            return min(len(data), start + min(READ_BYTES, self._body_left))
        stop = min(len(data), start + min(READ_BYTES, allowed))
        if self._phase is not _Phase.BODY:
            return find_cut(self._tail, data, start, stop)
        if not self._cuts_left:
            return stop
        cut = find_cut(self._tail, data, start, stop)
        if cut < stop:
            self._cuts_left -= 1
        return cut

    def _feed(self, piece: bytes) -> bool:
        if self._phase is _Phase.IDLE:
            self._enter(_Phase.HEAD)
        self._without_progress += len(piece)
        self._tail = piece[-TAIL_BYTES:]
        if not self._is_answered() and not self.guard.hold(self, len(piece)):
            self._refuse(503, CloseReason.MEMORY)
            return False
        try:
            self.parser.feed_data(piece)
        except httptools.HttpParserUpgrade:
            pass  # served as a request without an upgrade
        except httptools.HttpParserError:
            self._refuse(400, CloseReason.MALFORMED)
            return False
        if self._too_many_headers:
            self._refuse(431, CloseReason.HEAD_SIZE)
        elif self._without_progress > self.limits.head_bytes:
            self._refuse_padding()
        elif self._discarded > self.limits.discarded_bytes:
            self._refuse(413, CloseReason.EXCESS)
        return True

    def _drop_empty_lines(self, data: bytes) -> bytes:
        rest = data.lstrip(LINE_ENDS)
        self._without_progress += len(data) - len(rest)
        if self._without_progress > self.limits.head_bytes:
            self._refuse_padding()
        return rest

    def _hold_back(self, data: bytes) -> None:
        self._flow.held = True
        self._flow.pause_reading()
        if self.guard.hold(self, len(data)):
            self._unparsed = data
        else:
            self.guard.count(CloseReason.MEMORY)
            self.cycle.keep_alive = False

    def _refuse_padding(self) -> None:
        if self._phase is not _Phase.HEAD:
            self._refuse(400, CloseReason.PADDING)
        elif len(self.url) * 2 > self._without_progress:
            self._refuse(414, CloseReason.PATH_SIZE)
        else:
            self._refuse(431, CloseReason.HEAD_SIZE)

    # parser callbacks

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header of the head; trailers are dropped."""
        if self._phase is _Phase.BODY:
            return
        if len(self.headers) >= self.limits.headers:
            self._too_many_headers = True
            return
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Start the request, unless it is refused."""
        if self._too_many_headers:
            return
        if self._phase is not _Phase.HEAD:
            raise ValueError("a request in the same piece as an earlier one")
        if self.parser.should_upgrade() and self._announces_body():
            raise ValueError("the parser would take the body for the next request")
        super().on_headers_complete()
        self._cuts_left = BODY_CUTS
        self._without_progress = 0
        self._discarded = 0
        self._body_left = self._read_content_length()
        self._enter(_Phase.BODY)

    def on_body(self, body: bytes) -> None:
        """Keep bytes of the body, or drop them after the answer."""
        if self._too_many_headers:
            return
        self._without_progress = 0
        if self._body_left:
            self._body_left -= len(body)
        if self._is_answered():
            self._discarded += len(body)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Note that the request is complete."""
        if self._too_many_headers:
            return
        super().on_message_complete()
        self._without_progress = 0
        self._body_left = 0
        self._tail = b""
        self._enter(_Phase.IDLE if self._is_answered() else _Phase.ANSWER)

    def on_response_complete(self) -> None:
        """Wait for the next request, or parse the one that is held back."""
        self.server_state.total_requests += 1
        self._forget_request()
        self.guard.release(self, self._stalled_held)
        if self._phase is _Phase.ANSWER:
            self._enter(_Phase.IDLE)
        if self.transport.is_closing():
            return
        self._flow.held = False
        data, self._unparsed = self._unparsed, b""
        if data:
            self._parse(data)
        self._flow.resume_reading()

    def _forget_request(self) -> None:
        """Drop what an idle connection would otherwise keep of its last request."""
        self.headers = []
        self.url = b""
        self.scope = self.cycle.scope = t.cast(t.Any, {})
        self.cycle.body = bytearray()

    def _announces_body(self) -> bool:
        chunked = any(name == b"transfer-encoding" for name, _ in self.headers)
        return chunked or self._read_content_length() > 0

    def _read_content_length(self) -> int:
        for name, value in self.headers:
            if name == b"content-length":
                return int(value)
        return 0

    def _is_answered(self) -> bool:
        return (
            self._phase is _Phase.BODY
            and self.cycle is not None
            and self.cycle.response_complete
        )

    # refusals and time limits

    def _enter(self, phase: _Phase) -> None:
        self._phase = phase
        self._since = self.guard.read_clock()

    def _refuse(self, status: int, reason: CloseReason) -> None:
        """Answer a request that has not run, and close once the caller has read it."""
        self.guard.count(reason)
        started = False
        if self._phase is _Phase.BODY:
            started = self.cycle.response_started
            self.cycle.disconnected = True
            self.cycle.waiting_for_100_continue = False
            self.cycle.message_event.set()
        started = started or self._phase is _Phase.ANSWER
        self._enter(_Phase.REFUSED)
        self.guard.release(self, self._stalled_held)
        self.headers = []
        self._unparsed = self._tail = self.url = b""
        self._discarded = 0
        if started:
            self.transport.abort()
            return
        self._send_refusal(status)
        # closing now, with bytes unread, would reset the connection before the caller
        # has read the answer
        self.transport.write_eof()
        self._flow.resume_reading()

    def _send_refusal(self, status: int) -> None:
        title = http.HTTPStatus(status).phrase
        body = f'{{"status":{status},"title":"{title}"}}'
        headers = [
            ("content-type", "application/problem+json"),
            ("content-length", str(len(body))),
            ("connection", "close"),
            *self.list_refusal_headers(status),
        ]
        if status == http.HTTPStatus.SERVICE_UNAVAILABLE:
            headers.append(("retry-after", "1"))
        lines = [f"HTTP/1.1 {status} {title}", *map(": ".join, headers), "", body]
        self.transport.write("\r\n".join(lines).encode())

    def _discard(self, size: int) -> None:
        self._discarded += size
        if self._discarded > self.limits.discarded_bytes:
            self.transport.abort()

    def get_waiting_since(self) -> float | None:
        """Return since when the connection waits for its caller."""
        if self._stalled_since is not None:
            return self._stalled_since
        return None if self._phase is _Phase.ANSWER else self._since

    def evict(self) -> None:
        """Close the connection at once."""
        if self._phase is _Phase.IDLE and not self.transport.get_write_buffer_size():
            self.transport.close()
        else:
            self.transport.abort()

    def check_times(self, now: float) -> None:
        """Close the connection if its caller has exceeded a time limit."""
        if self.transport.is_closing() and self._stalled_since is None:
            self._stalled_since = now
            self._stalled_bytes = self.transport.get_write_buffer_size()
        if self._stalled_since is not None:
            self._check_stalled(now)
        else:
            self._check_phase(now)

    def _check_stalled(self, now: float) -> None:
        if self._stalled_since is None or now - self._stalled_since <= (
            self.limits.write_s
        ):
            return
        unread = self.transport.get_write_buffer_size()
        if self._stalled_bytes - unread < self.limits.write_bytes:
            self._abort(CloseReason.UNREAD)
        else:
            self._stalled_since, self._stalled_bytes = now, unread

    def _check_phase(self, now: float) -> None:
        waited = now - self._since
        limits = self.limits
        if self._phase is _Phase.IDLE and waited > limits.idle_s:
            self.guard.count(CloseReason.IDLE)
            self.evict()
        elif self._phase is _Phase.HEAD and waited > limits.head_s:
            self._refuse(408, CloseReason.HEAD_TIME)
        elif self._phase is _Phase.BODY and waited > limits.body_s:
            self._refuse(408, CloseReason.BODY_TIME)
        elif self._phase is _Phase.REFUSED and waited > limits.linger_s:
            self.transport.abort()

    def _abort(self, reason: CloseReason) -> None:
        self.guard.count(reason)
        self.transport.abort()
