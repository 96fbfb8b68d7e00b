"""Connections of one node to the platform, and faults that break them."""

import enum
import random
import socket
import struct
import typing as t
import weakref

import attrs
import orjson

from onyxgap.adapters.asgi import Send
from onyxgap.standins.emulator.workers import EmulatedWorker

NO_LINGER = struct.pack("ii", 1, 0)
"""Value of SO_LINGER that makes close send RST instead of FIN."""


class Break(enum.Enum):
    """How the connection of a call breaks."""

    RESET_ANSWER = "reset"
    """Reset after the call was carried out, before its answer."""
    CUT_ANSWER = "cut"
    """Closed in the middle of the answer."""
    CLOSE_IDLE = "close"
    """Closed as a call is sent on it, which is not carried out."""
    CLOSE_ANSWERED = "close answered"
    """Closed after a whole answer, as the answer says."""


def get_transport(send: Send) -> t.Any:
    """Return the transport of the connection of a call.

    :param send: ``send`` of the call, a bound method of the server's request cycle.
    """
    return t.cast(t.Any, send).__self__.transport


def reset_transport(transport: t.Any) -> None:
    """Reset a connection, as when the process of its peer has ended.

    :param transport: the transport of the connection.
    """
    if transport.is_closing():
        return
    raw_socket = transport.get_extra_info("socket")
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    transport.abort()


async def send_cut_json(send: Send, status: int, value: t.Any) -> None:
    """Send the first half of a JSON answer, and close its connection.

    :param send: ``send`` of the call.
    :param status: HTTP status.
    :param value: value to encode as JSON.
    """
    body = orjson.dumps(value)
    headers = [(b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    half = body[: len(body) // 2]
    await send({"type": "http.response.body", "body": half, "more_body": True})
    get_transport(send).close()


@attrs.define(eq=False)
class PlatformConnections:
    """All connections of one node to the platform.

    :param rng: draws which calls a fault hits.
    :param shares: share of calls of which the connection breaks, by kind.
    """

    rng: random.Random
    shares: dict[Break, float] = attrs.field(factory=dict)
    _transports: weakref.WeakSet[t.Any] = attrs.field(factory=weakref.WeakSet)
    _peers: weakref.WeakKeyDictionary[t.Any, EmulatedWorker] = attrs.field(
        factory=weakref.WeakKeyDictionary
    )

    def add(self, transport: t.Any) -> bool:
        """Add the connection of a call; return whether it was there before.

        :param transport: the transport of the connection.
        """
        known = transport in self._transports
        self._transports.add(transport)
        return known

    def bind(self, transport: t.Any, worker: EmulatedWorker) -> bool:
        """Bind a connection to the first incarnation of a worker that it reaches.

        :param transport: the transport of the connection.
        :param worker: the incarnation that is alive now.
        :returns: whether the connection is to this incarnation.
        """
        return self._peers.setdefault(transport, worker) is worker

    def reset_all(self) -> None:
        """Reset every connection, idle or with a call in progress."""
        for transport in list(self._transports):
            reset_transport(transport)
        self._transports.clear()

    def draw(self, kind: Break) -> bool:
        """Draw whether the connection of a call breaks.

        :param kind: how it would break.
        """
        share = self.shares.get(kind, 0.0)
        return bool(share) and self.rng.random() < share
