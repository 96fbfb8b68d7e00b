"""Measures the lag of the event loop, which grows while the process is overloaded."""

import math
import time
import typing as t

import anyio
import attrs
import structlog

from ..clocks import Clocks
from .work_times import WorkTimes

SAMPLE_INTERVAL_S = 0.1
"""Time between two samples: a fifth of the time for which a start order is valid."""
DECAY = 0.7
"""Factor by which a measured lag decreases with each sample: it halves in 0.2 s."""
REPORTED_LAG_S = 0.1
"""Lag from which a sample is logged: a third of the time allowed for an answer."""
REPORT_INTERVAL_S = 1.0
"""Least time between two log lines about the lag."""

_LOG = structlog.get_logger()


@attrs.define(eq=False)
class LoopLag:
    """Measures how late timers of the event loop fire.

    :param clocks: the process's clocks.
    :param read_cpu: returns the processor time of the process in seconds.
    :param work: processor time by kind of work.
    :param seconds: lag; the newest sample, or the decayed value of an earlier one if
        that is larger.
    :param highest_s: highest sample.
    """

    clocks: Clocks
    read_cpu: t.Callable[[], float] = time.process_time
    work: WorkTimes = attrs.field(factory=WorkTimes)
    seconds: float = 0.0
    highest_s: float = 0.0
    _reported_at: float = -math.inf
    _unreported: int = 0

    async def watch(self) -> None:
        """Measure until cancelled."""
        while True:
            began = self.clocks.read_monotonic()
            cpu_began = self.read_cpu()
            await anyio.sleep(SAMPLE_INTERVAL_S)
            now = self.clocks.read_monotonic()
            lag_s = max(0.0, now - began - SAMPLE_INTERVAL_S)
            self.record(lag_s, self.read_cpu() - cpu_began, now)

    def record(self, lag_s: float, cpu_s: float, now: float) -> None:
        """Record a sample, and log it if it is high.

        :param lag_s: how late the timer fired, in seconds.
        :param cpu_s: processor time that the process used meanwhile. If it is far less
            than the lag, the process waited for a processor.
        :param now: monotonic seconds.
        """
        work = self.work.take_sample()
        self.seconds = max(lag_s, self.seconds * DECAY)
        self.highest_s = max(self.highest_s, lag_s)
        if lag_s < REPORTED_LAG_S:
            return
        if now - self._reported_at < REPORT_INTERVAL_S:
            self._unreported += 1
            return
        _LOG.warning(
            "event loop late",
            lag_s=round(lag_s, 3),
            cpu_s=round(cpu_s, 3),
            measured_s=round(work.total_s, 3),
            slowest=work.slowest.value if work.slowest is not None else None,
            slowest_s=round(work.slowest_s, 3),
            unreported=self._unreported,
        )
        self._reported_at = now
        self._unreported = 0
