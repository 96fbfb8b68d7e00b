"""How fast a run proceeds, from the share of its work that its worker reports."""

import attrs

LEAST_SPAN_S = 0.6
"""Progress is judged over at least this time: workers report whole percents, and half
a second of a task of 2 s is 25 of them."""
RESTORE_S = 0.7
"""A run that resumes from a checkpoint stands still for 0.6 s first, by the bounds of
the sites seen; a deployment with a longer time would be judged too early."""
PERCENT = 100.0


@attrs.define(slots=True)
class Progress:
    """Progress of a run between two reports.

    :param at: monotonic seconds of the earlier report.
    :param percent: share of the work that was done by then.
    :param speed: declared run time that passed in each second since, ``None`` before
        it is known.
    """

    at: float
    percent: int = 0
    speed: float | None = None

    def observe(self, percent: int, estimate_ms: int, now: float) -> None:
        """Take in a report.

        :param percent: share of the work that is done.
        :param estimate_ms: declared run time.
        :param now: monotonic seconds.
        """
        span_s = now - self.at
        if span_s < LEAST_SPAN_S:
            return
        done_ms = (percent - self.percent) / PERCENT * max(1, estimate_ms)
        self.speed = max(0.0, done_ms) / (span_s * 1000)
        self.at, self.percent = now, percent
