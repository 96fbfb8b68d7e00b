"""Measured run times of tasks relative to their estimates, to correct wrong estimates.

A step ends with its slowest task. A wide step therefore takes longer than its estimate
even if the estimate is right on average.
"""

import collections
import typing as t

import attrs
from sortedcontainers import SortedList

WINDOW_SIZE = 400
"""Number of latest run times kept for each queue. A busy queue has as many in a few
seconds, so a change of its work shows soon; they suffice for the quantiles of wide
steps."""
MIN_SAMPLES = 40
"""Number of run times below which estimates are used unchanged."""
LAG_WEIGHT = 0.05
"""Smoothing weight of the latest start: a store that turns slow shows within about
twenty starts."""
MIN_FACTOR = 0.25
MAX_FACTOR = 4.0
"""Bounds of the correction, so that a few outliers can't distort it: estimates are
rough, but of the right order."""


@attrs.define
class _SlidingWindow:
    recent: collections.deque[float] = attrs.field(factory=collections.deque)
    ordered: t.Any = attrs.field(factory=SortedList)

    def add(self, ratio: float) -> None:
        self.recent.append(ratio)
        self.ordered.add(ratio)
        if len(self.recent) > WINDOW_SIZE:
            self.ordered.remove(self.recent.popleft())

    def find_quantile(self, share: float) -> float:
        position = min(int(share * len(self.ordered)), len(self.ordered) - 1)
        return t.cast(float, self.ordered[position])


@attrs.define
class RunTimes:
    """Run times of each queue's tasks, as multiples of their estimates.

    :param lag_s: smoothed time in seconds from the choice of a worker until the start
        order is sent.
    """

    lag_s: float = 0.0
    _windows: dict[str, _SlidingWindow] = attrs.field(factory=dict)

    def record_run_time(self, queue: str, estimate_ms: float, took_ms: float) -> None:
        """Record the run time of a task that ran from start to end.

        :param queue: its queue.
        :param estimate_ms: its estimated run time.
        :param took_ms: time from its start order until its end was known.
        """
        if estimate_ms > 0:
            window = self._windows.setdefault(queue, _SlidingWindow())
            window.add(took_ms / estimate_ms)

    def note_start(self, lag_s: float) -> None:
        """Record how long a start order waited to be stored and sent.

        :param lag_s: seconds since its worker was chosen.
        """
        self.lag_s += LAG_WEIGHT * (lag_s - self.lag_s)

    def get_factor(self, queue: str, width: int) -> float:
        """Give the median ratio of a step's run time to its estimate.

        :param queue: its queue.
        :param width: number of its tasks; the step ends with the slowest.
        """
        window = self._windows.get(queue)
        if window is None or len(window.recent) < MIN_SAMPLES:
            return 1.0
        share = 0.5 ** (1.0 / max(1, width))
        return min(max(window.find_quantile(share), MIN_FACTOR), MAX_FACTOR)
