"""HTTP/1.1 client that sends a request to one target once.

The complete answer is read before any of it is used. A connection is reused only
if the target echoed the request ID and no bytes followed the answer. Without the
echoed ID, an answer to another request could not be detected.
"""

import collections
import time
import typing as t

import anyio
import attrs
import httpcore

from .. import defaults
from ..request.messages import DEADLINE_HEADER
from ..request.messages import KEY_HEADER
from ..request.messages import NOT_STARTED
from ..request.messages import REQUEST_ID_HEADER
from ..request.messages import STARTED_HEADER
from ..request.messages import TRACE_HEADER
from ..request.messages import Exchange
from ..request.messages import IdentifiedRequest
from ..request.messages import Outcome
from ..request.messages import Reason
from ..settings import Address
from ..settings import parse_address
from ..verdict import Verdict

MAX_IDLE_S = 1.0
PRUNE_INTERVAL_S = 5.0
TIMER_TOLERANCE_S = 0.02
MAX_CONCURRENT_CONNECTS = 32
SERVER_ERROR = 500
HEADERS_END = b"\r\n\r\n"
NO_BODY_STATUSES = (204, 304)
_FORWARDED_HEADERS = frozenset({"content-type", "content-language", "etag", "location"})


@attrs.define
class _CountingStream(httpcore.AsyncNetworkStream):
    """Counts received bytes to detect data that follows an answer."""

    stream: httpcore.AsyncNetworkStream
    received: int = 0
    _headers: bytes = b""
    _headers_bytes: int = 0

    def reset(self) -> None:
        """Reset the counters before the next exchange."""
        self.received = 0
        self._headers = b""
        self._headers_bytes = 0

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read and count bytes; finds the end of the headers."""
        data = await self.stream.read(max_bytes, timeout)
        self.received += len(data)
        if not self._headers_bytes:
            self._headers += data
            end = self._headers.find(HEADERS_END)
            self._headers_bytes = end + len(HEADERS_END) if end >= 0 else 0
        return data

    def has_received_exactly(self, body_bytes: int) -> bool:
        """Tell whether the headers, a body of this length and nothing else arrived."""
        return self.received == self._headers_bytes + body_bytes

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write the whole buffer."""
        await self.stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self.stream.aclose()

    def get_extra_info(self, info: str) -> t.Any:
        """Return information about the connection."""
        return self.stream.get_extra_info(info)


@attrs.define
class _Connection:
    http: httpcore.AsyncHTTP11Connection
    stream: _CountingStream
    idle_since: float = 0.0


class _ExchangeError(Exception):
    """The exchange failed after the request was sent; the target may have run it."""

    def __init__(self, reason: Reason) -> None:
        super().__init__(reason.value)
        self.reason = reason


@attrs.define
class HttpTargetClient:
    """Sends requests to targets and pools idle connections.

    :param max_answer_bytes: maximum size of the body of an answer, in bytes.
    :param connect_timeout_s: time-out of one attempt to connect, in seconds.
    """

    max_answer_bytes: int = defaults.MAX_ANSWER_BYTES
    connect_timeout_s: float = defaults.CONNECT_TIMEOUT_S
    _idle: dict[str, collections.deque[_Connection]] = attrs.field(factory=dict)
    _connecting: anyio.Semaphore = attrs.field(
        factory=lambda: anyio.Semaphore(MAX_CONCURRENT_CONNECTS)
    )
    _backend: httpcore.AnyIOBackend = attrs.field(factory=httpcore.AnyIOBackend)

    async def exchange(
        self, request: IdentifiedRequest, address: str, timeout_s: float
    ) -> Exchange:
        """Send the request once and read the complete answer.

        :param request: request whose job is known.
        :param address: ``host:port`` of the target.
        :param timeout_s: seconds left for the attempt.
        """
        deadline = anyio.current_time() + timeout_s
        connection = await self._connect(address, timeout_s)
        if connection is None:
            return _build_unreachable_exchange()
        left_s = deadline - anyio.current_time()
        if left_s <= 0:
            # nothing was sent
            await _close(connection)
            return _build_unreachable_exchange()
        exchange: Exchange | None = None
        reusable = False
        try:
            with anyio.fail_after(left_s):
                exchange, reusable = await self._exchange(connection, request, address)
        except TimeoutError:
            exchange = _build_failed_exchange(Reason.TIMEOUT)
        except _ExchangeError as error:
            exchange = _build_failed_exchange(error.reason)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            exchange = _build_failed_exchange(Reason.BROKEN_ANSWER)
        finally:
            if not reusable or not self._add_idle(address, connection):
                await _close(connection)
        return exchange

    async def _connect(self, address: str, timeout_s: float) -> _Connection | None:
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            age = time.monotonic() - connection.idle_since
            if age <= MAX_IDLE_S and not connection.http.has_expired():
                return connection
            await _close(connection)
        target = parse_address(address)
        stream = await self._open_stream(target, timeout_s)
        if stream is None:
            return None
        origin = httpcore.Origin(b"http", target.host.encode(), target.port)
        counting = _CountingStream(stream)
        return _Connection(httpcore.AsyncHTTP11Connection(origin, counting), counting)

    async def _open_stream(
        self, target: Address, timeout_s: float
    ) -> httpcore.AsyncNetworkStream | None:
        end = time.monotonic() + timeout_s
        while (left := end - time.monotonic()) > 0:
            wait_s = min(left, self.connect_timeout_s)
            try:
                # limits the concurrent connects, so that the time-out measures the
                # target and not the load of this event loop
                async with self._connecting:
                    started = time.monotonic()
                    return await self._backend.connect_tcp(
                        target.host, target.port, timeout=wait_s
                    )
            except httpcore.ConnectTimeout:
                # a time-out that fires late means that this event loop was blocked,
                # not that the target is unreachable: connect again
                if time.monotonic() - started < wait_s + TIMER_TOLERANCE_S:
                    return None
            except (httpcore.ConnectError, OSError):
                return None
        return None

    async def _exchange(
        self, connection: _Connection, request: IdentifiedRequest, address: str
    ) -> tuple[Exchange, bool]:
        connection.stream.reset()
        response = await connection.http.handle_async_request(
            _build_request(request, address)
        )
        headers = _decode_headers(response.headers)
        echoed = headers.get(REQUEST_ID_HEADER.lower())
        if echoed not in (None, request.caller.request_id):
            raise _ExchangeError(Reason.CROSSED_ANSWER)
        body = await self._read_body(response, headers)
        await response.aclose()
        reusable = (
            echoed is not None
            and connection.http.is_idle()
            and "content-length" in headers
            and connection.stream.has_received_exactly(len(body))
        )
        return _classify_answer(response.status, headers, body), reusable

    async def _read_body(
        self, response: httpcore.Response, headers: t.Mapping[str, str]
    ) -> bytes:
        if not _is_self_delimiting(response.status, headers):
            raise _ExchangeError(Reason.BROKEN_ANSWER)
        parts = []
        size = 0
        async for part in response.aiter_stream():
            size += len(part)
            if size > self.max_answer_bytes:
                raise _ExchangeError(Reason.ANSWER_TOO_LARGE)
            parts.append(part)
        return b"".join(parts)

    def _add_idle(self, address: str, connection: _Connection) -> bool:
        idle = self._idle.setdefault(address, collections.deque())
        if len(idle) >= defaults.MAX_IDLE_CONNECTIONS:
            return False
        connection.idle_since = time.monotonic()
        idle.append(connection)
        return True

    async def prune(self) -> None:
        """Close expired idle connections every ``PRUNE_INTERVAL_S`` until cancelled."""
        while True:
            await anyio.sleep(PRUNE_INTERVAL_S)
            await self.prune_once(time.monotonic())

    async def prune_once(self, now: float) -> None:
        """Close the connections that have been idle for more than ``MAX_IDLE_S``.

        :param now: current time, in monotonic seconds.
        """
        for address, idle in list(self._idle.items()):
            while idle and now - idle[0].idle_since > MAX_IDLE_S:
                await _close(idle.popleft())
            if not idle:
                self._idle.pop(address, None)

    async def aclose(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            while idle:
                await _close(idle.pop())


async def _close(connection: _Connection) -> None:
    with anyio.move_on_after(1, shield=True):
        await connection.http.aclose()


def _build_request(request: IdentifiedRequest, address: str) -> httpcore.Request:
    caller = request.caller
    headers = [
        ("Host", address),
        ("Content-Type", caller.content_type),
        ("Content-Length", str(len(caller.body))),
        (REQUEST_ID_HEADER, caller.request_id),
        (DEADLINE_HEADER, str(request.job.deadline_ms)),
    ]
    if caller.key is not None:
        headers.append((KEY_HEADER, caller.key))
    if caller.trace:
        headers.append((TRACE_HEADER, caller.trace))
    url = f"http://{address}/{caller.service}/{caller.job}"
    return httpcore.Request("POST", url, headers=headers, content=caller.body)


def _decode_headers(raw: t.Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    return {
        name.decode("latin-1").lower(): value.decode("latin-1") for name, value in raw
    }


def _is_self_delimiting(status: int, headers: t.Mapping[str, str]) -> bool:
    return (
        status in NO_BODY_STATUSES
        or "content-length" in headers
        or "chunked" in headers.get("transfer-encoding", "")
    )


def _classify_answer(
    status: int, headers: t.Mapping[str, str], body: bytes
) -> Exchange:
    if headers.get(STARTED_HEADER.lower()) == NOT_STARTED:
        return Exchange(
            Verdict.NOT_RUN, Outcome.OVERLOADED, reason=Reason.TARGET_REFUSED
        )
    forwarded = tuple(item for item in headers.items() if item[0] in _FORWARDED_HEADERS)
    outcome = Outcome.FAILED if status >= SERVER_ERROR else Outcome.SERVED
    return Exchange(Verdict.RAN, outcome, status, forwarded, body)


def _build_unreachable_exchange() -> Exchange:
    return Exchange(Verdict.NOT_RUN, Outcome.UNREACHABLE, reason=Reason.UNREACHABLE)


def _build_failed_exchange(reason: Reason) -> Exchange:
    return Exchange(Verdict.MAY_HAVE_RUN, Outcome.FAILED, reason=reason)
