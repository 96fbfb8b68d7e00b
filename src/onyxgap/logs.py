"""Logs as JSON lines: on standard error, or rate-limited on standard output."""

import datetime
import logging
import os
import sys
import time
import typing as t

import attrs
import orjson
import structlog

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def configure_logs(level: str, **bound: str) -> None:
    """Configure structlog to write one JSON object per line to standard error.

    :param level: lowest level that is written.
    :param bound: fields added to every line, such as the member's name.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=False,
    )
    structlog.contextvars.bind_contextvars(**bound)


DROPPED_EVENT = "log lines dropped"
"""Event of the line that reports how many preceding lines were dropped."""
LINES_PER_S = 300.0
"""Sustained rate: what a busy owner logs in a second, apart from floods of lines."""
BURST_LINES = 800.0
"""Additional lines in a burst. Between two busy seconds a node writes far fewer."""
ROUTINE_SHARE = 0.75
"""Part of the rate and of the burst that routine events may use. The rest is kept for
claims, losses and rejections, which are few and carry information that a flood of
routine lines does not."""
ROUTINE_EVENTS = frozenset(
    {
        "call passed on",
        "job ended",
        "share of a cap",
        "submission answered",
        "tasks done",
        "tasks placed",
        "waiting jobs counted",
    }
)
"""Events that a busy node logs hundreds of times a second."""
BOUNDED_EVENTS = frozenset(
    {
        "connection closed for what its caller sent",
        "connection refused",
        "event loop late",
        "job changes heard again",
        "job changes not heard",
        "job ended while it stood",
        "job runs again",
        "job stands",
        "more jobs run again",
        "more jobs stand",
        "more shards without owner",
        "shard without owner",
    }
)
"""Events whose writers limit them to a few lines a second. They tell why jobs stand,
which a flood of other lines must not hide."""
MAX_PENDING_BYTES = 65_536
"""While more than this waits for a slow reader, lines are dropped and counted."""


@attrs.define
class BoundedLogWriter:
    """Writes lines without blocking; drops and counts those beyond the limits.

    :param fd: file descriptor, set to non-blocking.
    :param read_clock: returns monotonic seconds.
    :param dropped: lines dropped since the last line that was written.
    :param dropped_total: lines dropped since the start.
    """

    fd: int
    read_clock: t.Callable[[], float] = time.monotonic
    dropped: int = 0
    dropped_total: int = 0
    _tokens: float = BURST_LINES
    _refilled_at: float = 0.0
    _routine_tokens: float = BURST_LINES * ROUTINE_SHARE
    _routine_refilled_at: float = 0.0
    _pending: bytes = b""

    def msg(self, line: bytes) -> None:
        """Write one line, or count it as dropped."""
        now = self.read_clock()
        self._tokens += (now - self._refilled_at) * LINES_PER_S
        self._tokens = min(self._tokens, BURST_LINES)
        self._refilled_at = now
        if self._tokens < 1 or len(self._pending) > MAX_PENDING_BYTES:
            self.dropped += 1
            self.dropped_total += 1
            return
        self._tokens -= 1
        if self.dropped:
            self._write(self._build_dropped_line() + b"\n")
            self.dropped = 0
        self._write(line + b"\n")

    debug = info = warning = error = critical = exception = msg

    def limit_routine_events(
        self, logger: t.Any, method: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        """Drop a routine event that exceeds the share of such events.

        It is the first processor, so that the others do no work for a dropped line.

        :param logger: not used.
        :param method: not used.
        :param event: the line's fields.
        :raises structlog.DropEvent: when the line is dropped; it is counted.
        """
        if event.get("event") in ROUTINE_EVENTS:
            now = self.read_clock()
            self._routine_tokens += (
                (now - self._routine_refilled_at) * LINES_PER_S * ROUTINE_SHARE
            )
            self._routine_tokens = min(
                self._routine_tokens, BURST_LINES * ROUTINE_SHARE
            )
            self._routine_refilled_at = now
            if self._routine_tokens < 1:
                self.dropped += 1
                self.dropped_total += 1
                raise structlog.DropEvent
            self._routine_tokens -= 1
        return event

    def admit_bounded_events(
        self, logger: t.Any, method: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        """Have the line of a bounded event written also beyond the rate.

        :param logger: not used.
        :param method: not used.
        :param event: the line's fields.
        """
        if event.get("event") in BOUNDED_EVENTS:
            self._tokens = max(self._tokens, 1.0)
        return event

    def _build_dropped_line(self) -> bytes:
        # built without structlog: the line being written has already passed the
        # processors
        line = {
            "event": DROPPED_EVENT,
            "level": "warning",
            "count": self.dropped,
            "timestamp": datetime.datetime.now(datetime.UTC),
        }
        return orjson.dumps(line, option=orjson.OPT_UTC_Z)

    def _write(self, data: bytes) -> None:
        self._pending += data
        try:
            written = os.write(self.fd, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # the reader has closed its end; the process must go on
            written = len(self._pending)
        self._pending = self._pending[written:]


def configure_bounded_logs(level: str, **bound: str) -> BoundedLogWriter:
    """Configure structlog to write rate-limited JSON lines to standard output.

    :param level: lowest level that is written.
    :param bound: fields added to every line.
    :returns: the writer, which counts the lines it dropped.
    """
    os.set_blocking(sys.stdout.fileno(), False)
    lines = BoundedLogWriter(sys.stdout.fileno())
    structlog.configure(
        processors=[
            lines.limit_routine_events,
            lines.admit_bounded_events,
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(serializer=orjson.dumps),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=lambda *_: lines,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(**bound)
    return lines
