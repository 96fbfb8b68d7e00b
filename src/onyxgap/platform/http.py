"""HTTP client for the platform's services, with typed failures."""

import collections
import enum
import typing as t

import attrs
import httpcore
import orjson

from .resets import ResettingBackend

KEEPALIVE_S = 60.0
"""Idle seconds after which a connection is closed; workers allow a longer time."""
IDLE_CONNECTIONS = 16
"""Maximum idle connections kept per address; bursts open more temporarily."""

Headers = t.Sequence[tuple[str, str]]
"""Header names and values."""

_NOT_SENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.LocalProtocolError,
)
_NO_ANSWER_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


class CallFailure(enum.Enum):
    """How far a call without an answer got."""

    NOT_SENT = "not-sent"
    NO_ANSWER = "no-answer"
    OTHER_INCARNATION = "other-incarnation"
    """It was not sent, as the connection leads to another incarnation of the worker."""


@attrs.frozen(slots=True)
class Answer:
    """The answer to a call, or why there is none.

    :param status: HTTP status, 0 without an answer.
    :param body: body of the answer.
    :param failure: how far the call got if there is no answer, else ``None``.
    :param reason: name of the error, for logs.
    :param overdue_s: seconds by which the timeout of the call has fired late; ``None``
        if there is no answer for another reason, or if that was not measured.
    """

    status: int
    body: bytes = b""
    failure: CallFailure | None = None
    reason: str = ""
    overdue_s: float | None = None

    def parse(self) -> t.Any:
        """Decode the JSON body; an empty object if it is not JSON."""
        try:
            return orjson.loads(self.body)
        except ValueError:
            return {}

    def read_object(self) -> dict[str, t.Any]:
        """Decode the JSON body; an empty object if it is not an object."""
        value = self.parse()
        return value if isinstance(value, dict) else {}

    def read_text(self, name: str) -> str:
        """Decode the JSON body and return a text; empty if the body has none.

        :param name: key of the text.
        """
        value = self.read_object().get(name)
        return value if isinstance(value, str) else ""

    def read_list(self, name: str) -> list[t.Any]:
        """Decode the JSON body and return a list that it must have.

        :param name: key of the list.
        :raises ValueError: if the body is not an object with this list.
        """
        value = self.read_object().get(name)
        if not isinstance(value, list):
            raise ValueError(f"no list {name!r}")
        return value


class HttpCalls(t.Protocol):
    """HTTP client of one service or worker."""

    async def call(
        self,
        method: str,
        path: str,
        body: t.Any = None,
        *,
        timeout_s: float,
        headers: Headers = (),
    ) -> Answer:
        """Make one call, without retries; never raises for a failed call.

        :param method: HTTP method.
        :param path: path with query.
        :param body: JSON value, ``None`` for no body.
        :param timeout_s: seconds that the call may take.
        :param headers: further headers.
        """

    async def close(self) -> None:
        """Close the idle connections; an implementation may close all of them."""


def _build_pool(connections: int) -> httpcore.AsyncConnectionPool:
    return httpcore.AsyncConnectionPool(
        max_connections=connections,
        max_keepalive_connections=IDLE_CONNECTIONS,
        keepalive_expiry=KEEPALIVE_S,
        network_backend=ResettingBackend(),
    )


async def _close_idle_connections(pool: httpcore.AsyncConnectionPool) -> None:
    for connection in pool.connections:
        if connection.is_idle():
            await connection.aclose()


@attrs.define
class HttpClient:
    """HTTP client of one service that keeps connections open between calls.

    A failed call closes every idle connection: when one connection breaks without a
    reset, the others to the same address are mostly broken too.

    :param address: ``host:port``.
    :param connections: maximum number of connections at once.
    """

    address: str
    connections: int = 32
    _pool: httpcore.AsyncConnectionPool = attrs.field(init=False)
    _in_use: collections.Counter[httpcore.AsyncConnectionPool] = attrs.field(
        factory=collections.Counter
    )

    def __attrs_post_init__(self) -> None:
        self._pool = _build_pool(self.connections)

    async def call(
        self,
        method: str,
        path: str,
        body: t.Any = None,
        *,
        timeout_s: float,
        headers: Headers = (),
    ) -> Answer:
        """Make one call, without retries; see :meth:`HttpCalls.call`.

        ``timeout_s`` applies separately to acquiring a connection, connecting,
        sending and waiting.
        """
        raw = [(b"Host", self.address.encode())]
        raw += [(name.encode(), value.encode()) for name, value in headers]
        content = b""
        if body is not None:
            content = orjson.dumps(body)
            raw.append((b"Content-Type", b"application/json"))
            raw.append((b"Content-Length", str(len(content)).encode()))
        pool = self._pool
        self._in_use[pool] += 1
        try:
            response = await pool.request(
                method,
                f"http://{self.address}{path}",
                headers=raw,
                content=content or None,
                extensions={
                    "timeout": {
                        "connect": timeout_s,
                        "read": timeout_s,
                        "write": timeout_s,
                        "pool": timeout_s,
                    }
                },
            )
        except _NOT_SENT_ERRORS as error:
            await self._replace_pool(pool)
            return Answer(0, b"", CallFailure.NOT_SENT, type(error).__name__)
        except _NO_ANSWER_ERRORS as error:
            await self._replace_pool(pool)
            return Answer(0, b"", CallFailure.NO_ANSWER, type(error).__name__)
        finally:
            self._in_use[pool] -= 1
            if pool is not self._pool and not self._in_use[pool]:
                del self._in_use[pool]
                await _close_idle_connections(pool)
        return Answer(response.status, response.content)

    async def _replace_pool(self, failed: httpcore.AsyncConnectionPool) -> None:
        """Use a new pool; the last call in flight closes the old one."""
        if failed is self._pool:
            self._pool = _build_pool(self.connections)
            await _close_idle_connections(failed)

    async def close(self) -> None:
        """Close every connection."""
        await self._pool.aclose()
