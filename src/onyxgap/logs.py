"""JSON-line logs: on standard error, or bounded on standard output."""

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
    """Set structlog up to write one JSON object a line.

    :param level: least level that is written.
    :param bound: fields of every line, such as the member's name.
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
"""Event of the line that tells how many lines before it were dropped."""
LINES_PER_S = 300.0
"""Sustained rate: a busy owner's lines of a second, but for those of a flood."""
BURST_LINES = 800.0
"""Further lines in a burst; between two busy seconds a node writes far fewer."""
ROUTINE_SHARE = 0.75
"""Part of the rate and of the burst that lines of routine may use: claims, losses and
refusals are few, and tell what a flood of the others can't."""
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
"""Events that a busy node logs by the hundred a second."""
PENDING_BYTES = 65_536
"""Most that waits for a reader that is slow; more is dropped and counted."""


@attrs.define
class BoundedLines:
    """Writes lines without ever waiting; drops and counts what is too much.

    :param fd: file descriptor, set to non-blocking.
    :param read_clock: monotonic seconds.
    """

    fd: int
    read_clock: t.Callable[[], float] = time.monotonic
    dropped: int = 0
    dropped_total: int = 0
    _tokens: float = BURST_LINES
    _refilled_at: float = 0.0
    _routine: float = BURST_LINES * ROUTINE_SHARE
    _routine_at: float = 0.0
    _pending: bytes = b""

    def msg(self, line: bytes) -> None:
        """Write one line, or count it as dropped."""
        now = self.read_clock()
        self._tokens += (now - self._refilled_at) * LINES_PER_S
        self._tokens = min(self._tokens, BURST_LINES)
        self._refilled_at = now
        if self._tokens < 1 or len(self._pending) > PENDING_BYTES:
            self.dropped += 1
            self.dropped_total += 1
            return
        self._tokens -= 1
        if self.dropped:
            self._write(self._note_dropped() + b"\n")
            self.dropped = 0
        self._write(line + b"\n")

    debug = info = warning = error = critical = exception = msg

    def bound_routine(
        self, logger: t.Any, method: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        """Drop a line of routine that is beyond the share of such lines.

        Stands first among the processors, so that a dropped line costs nothing more.

        :param logger: not used.
        :param method: not used.
        :param event: the line's fields.
        :raises structlog.DropEvent: when the line is dropped; it is counted.
        """
        if event.get("event") in ROUTINE_EVENTS:
            now = self.read_clock()
            self._routine += (now - self._routine_at) * LINES_PER_S * ROUTINE_SHARE
            self._routine = min(self._routine, BURST_LINES * ROUTINE_SHARE)
            self._routine_at = now
            if self._routine < 1:
                self.dropped += 1
                self.dropped_total += 1
                raise structlog.DropEvent
            self._routine -= 1
        return event

    def _note_dropped(self) -> bytes:
        # made by hand: the line that calls for it has passed the processors already
        note = {
            "event": DROPPED_EVENT,
            "level": "warning",
            "count": self.dropped,
            "timestamp": datetime.datetime.now(datetime.UTC),
        }
        return orjson.dumps(note, option=orjson.OPT_UTC_Z)

    def _write(self, data: bytes) -> None:
        self._pending += data
        try:
            written = os.write(self.fd, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # nobody reads any more; the process must go on
            written = len(self._pending)
        self._pending = self._pending[written:]


def configure_bounded_logs(level: str, **bound: str) -> BoundedLines:
    """Set structlog up to write bounded JSON lines to standard output.

    :param level: least level that is written.
    :param bound: fields of every line.
    :returns: the writer, which counts what it dropped.
    """
    os.set_blocking(sys.stdout.fileno(), False)
    lines = BoundedLines(sys.stdout.fileno())
    structlog.configure(
        processors=[
            lines.bound_routine,
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
