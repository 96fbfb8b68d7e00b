"""Speed of a run, from the percentage of its work that its worker reports as done.

Times are on the clock of the worker's incarnation that has the run. The owner may
process a report long after the worker generated it, and reports out of order.
"""

import attrs

MIN_INTERVAL_S = 0.6
"""Least interval for a measurement of speed. Workers report whole percents, so a
shorter interval gives a coarse value: half a second of a task of 2 s is 25 percent."""
RESTORE_S = 0.7
"""Time that a run gets to restore a checkpoint, during which it makes no progress. The
time limits of the deployments seen give 0.6 s; where restoring takes longer, the speed
is measured too early."""
PERCENT = 100.0


@attrs.define(slots=True)
class Progress:
    """Progress of a run between two reports.

    :param at: seconds on the worker's clock at the earlier report.
    :param percent: percentage of the work that was done by then.
    :param speed: seconds of declared run time completed per second, ``None`` until it
        is known.
    """

    at: float
    percent: int = 0
    speed: float | None = None

    def observe(self, percent: int, estimate_ms: int, clock_s: float) -> None:
        """Record a report, unless it is older than the earlier one.

        :param percent: percentage of the work that is done.
        :param estimate_ms: declared run time.
        :param clock_s: seconds on the worker's clock.
        """
        span_s = clock_s - self.at
        if span_s < MIN_INTERVAL_S:
            return
        done_ms = (percent - self.percent) / PERCENT * max(1, estimate_ms)
        self.speed = max(0.0, done_ms) / (span_s * 1000)
        self.at, self.percent = clock_s, percent
