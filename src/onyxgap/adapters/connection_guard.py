"""Bounds the connections of all listeners of a process, and counts those it closes."""

import asyncio
import collections
import enum
import heapq
import math
import time
import typing as t

import attrs
import structlog

from .connection_limits import ConnectionLimits

SWEEP_INTERVAL_S = 1.0
LOG_INTERVAL_S = 10.0
SEARCH_INTERVAL_S = 0.1
"""Time between a search that finds no connection to close and the next one."""
EVICTED_AT_ONCE = 32
"""Connections closed in one search, so that few searches are needed under a flood."""
_LOG = structlog.get_logger()


class CloseReason(enum.StrEnum):
    """Why a connection was refused or closed."""

    CONNECTIONS = "too many connections"
    MEMORY = "too many bytes buffered"
    EVICTED = "replaced while it waited for its caller"
    IDLE = "idle"
    HEAD_SIZE = "head too large"
    PATH_SIZE = "path too long"
    PADDING = "bytes without progress"
    MALFORMED = "malformed"
    HEAD_TIME = "head too slow"
    BODY_TIME = "body too slow"
    UNREAD = "answer not read"
    EXCESS = "body too long after its answer"


_FROM_BOUNDS = frozenset(
    {CloseReason.CONNECTIONS, CloseReason.MEMORY, CloseReason.EVICTED}
)
_UNLOGGED = frozenset({CloseReason.IDLE})


class GuardedConnection(t.Protocol):
    """A connection that the guard may close."""

    held: int

    def get_waiting_since(self) -> float | None:
        """Return since when it waits for its caller, ``None`` if it does not."""

    def check_times(self, now: float) -> None:
        """Close the connection if its caller has exceeded a time limit."""

    def evict(self) -> None:
        """Close the connection at once."""


@attrs.define(eq=False)
class ConnectionGuard:
    """Bounds open connections and buffered bytes; shared by a process's listeners.

    :param limits: the limits.
    :param read_clock: returns monotonic seconds.
    :param connections: the open connections.
    :param held: buffered bytes of all connections.
    :param closed: connections refused or closed, by reason.
    """

    limits: ConnectionLimits = attrs.field(factory=ConnectionLimits)
    read_clock: t.Callable[[], float] = time.monotonic
    connections: set[GuardedConnection] = attrs.field(factory=set)
    held: int = 0
    closed: collections.Counter[str] = attrs.field(factory=collections.Counter)
    _unlogged: collections.Counter[CloseReason] = attrs.field(
        factory=collections.Counter
    )
    _logged_at: dict[CloseReason, float] = attrs.field(factory=dict)
    _sweep_handle: asyncio.TimerHandle | None = None
    _search_at: float = -math.inf

    def admit(self, connection: GuardedConnection) -> bool:
        """Admit a new connection; one that waits for its caller may make room for it.

        :returns: whether it is admitted.
        """
        full = len(self.connections) >= self.limits.connections
        if full and not self._evict(lambda other: True):
            self.count(CloseReason.CONNECTIONS)
            return False
        self.connections.add(connection)
        self._schedule_sweep()
        return True

    def remove(self, connection: GuardedConnection) -> None:
        """Forget a connection that is closed, and the bytes that it holds."""
        self.connections.discard(connection)
        self.release(connection)

    def hold(self, connection: GuardedConnection, size: int) -> bool:
        """Add to the bytes that a connection holds.

        :returns: whether all buffered bytes are within the limit.
        """
        connection.held += size
        self.held += size
        if self.held <= self.limits.buffered_bytes:
            return True
        self._evict(lambda other: other is not connection and other.held > 0)
        return self.held <= self.limits.buffered_bytes

    def release(self, connection: GuardedConnection, kept: int = 0) -> None:
        """Forget the bytes that a connection holds.

        :param kept: bytes that it still holds.
        """
        self.held -= connection.held - kept
        connection.held = kept

    def count(self, reason: CloseReason) -> None:
        """Count a connection that is refused or closed; the next sweep logs it."""
        self.closed[reason.value] += 1
        if reason not in _UNLOGGED:
            self._unlogged[reason] += 1
            self._schedule_sweep()

    def _evict(self, is_candidate: t.Callable[[GuardedConnection], bool]) -> bool:
        now = self.read_clock()
        if now < self._search_at:
            return False
        latest = now - self.limits.spared_s
        waiting = [
            (since, id(connection), connection)
            for connection in self.connections
            if (since := connection.get_waiting_since()) is not None
            and since <= latest
            and is_candidate(connection)
        ]
        for _, _, connection in heapq.nsmallest(EVICTED_AT_ONCE, waiting):
            self.remove(connection)
            connection.evict()
            self.count(CloseReason.EVICTED)
        if not waiting:
            self._search_at = now + SEARCH_INTERVAL_S
        return bool(waiting)

    def _schedule_sweep(self) -> None:
        if self._sweep_handle is None:
            loop = asyncio.get_running_loop()
            self._sweep_handle = loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def sweep(self) -> None:
        """Close the connections whose callers are too slow, and log what was closed."""
        if self._sweep_handle is not None:
            self._sweep_handle.cancel()
            self._sweep_handle = None
        now = self.read_clock()
        for connection in list(self.connections):
            connection.check_times(now)
        self._log_closed(now)
        if self.connections or self._unlogged:
            self._schedule_sweep()

    def _log_closed(self, now: float) -> None:
        for reason, count in list(self._unlogged.items()):
            if now - self._logged_at.get(reason, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
                continue
            self._logged_at[reason] = now
            del self._unlogged[reason]
            event = (
                "connection refused"
                if reason in _FROM_BOUNDS
                else "connection closed for what its caller sent"
            )
            _LOG.warning(event, reason=reason.value, count=count)
