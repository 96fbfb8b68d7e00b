"""How long tasks run against their estimates; answers estimates that are off.

A step ends with its slowest task, so that a wide one takes longer than its estimate
even where that is right on average.
"""

import collections
import typing as t

import attrs
from sortedcontainers import SortedList

WINDOW = 400
"""Newest ends of a queue that count: a few seconds of a busy one, so that a change of
its work shows soon, and enough for the quantiles of wide steps."""
LEAST_ENDS = 40
"""Ends before which estimates are taken as they are."""
LAG_WEIGHT = 0.05
"""Weight of the newest start: a store that turns slow shows within some twenty."""
LEAST_FACTOR = 0.25
MOST_FACTOR = 4.0
"""Estimates are rough, but not of another kind; a few odd ends move nothing beyond."""


@attrs.define
class _Window:
    newest: collections.deque[float] = attrs.field(factory=collections.deque)
    ordered: t.Any = attrs.field(factory=SortedList)

    def add(self, ratio: float) -> None:
        self.newest.append(ratio)
        self.ordered.add(ratio)
        if len(self.newest) > WINDOW:
            self.ordered.remove(self.newest.popleft())

    def find_quantile(self, share: float) -> float:
        position = min(int(share * len(self.ordered)), len(self.ordered) - 1)
        return t.cast(float, self.ordered[position])


@attrs.define
class RunTimes:
    """Run times of the tasks of each queue, as multiples of their estimates.

    :param lag_s: smoothed time from the choice of a worker until the order is sent.
    """

    lag_s: float = 0.0
    _windows: dict[str, _Window] = attrs.field(factory=dict)

    def note_end(self, queue: str, estimate_ms: float, took_ms: float) -> None:
        """Take in that a task ran from its start to its end.

        :param queue: its queue.
        :param estimate_ms: its estimated run time.
        :param took_ms: time from the order to start it until its end was known.
        """
        if estimate_ms > 0:
            window = self._windows.setdefault(queue, _Window())
            window.add(took_ms / estimate_ms)

    def note_start(self, lag_s: float) -> None:
        """Take in how long an order waited to be stored and sent.

        :param lag_s: seconds since its worker was chosen.
        """
        self.lag_s += LAG_WEIGHT * (lag_s - self.lag_s)

    def get_factor(self, queue: str, width: int) -> float:
        """Give the multiple of its estimate that a step takes as often as not.

        :param queue: its queue.
        :param width: number of its tasks; the slowest ends the step.
        """
        window = self._windows.get(queue)
        if window is None or len(window.newest) < LEAST_ENDS:
            return 1.0
        share = 0.5 ** (1.0 / max(1, width))
        return min(max(window.find_quantile(share), LEAST_FACTOR), MOST_FACTOR)
