"""How long to wait for a write; answers a store that loses a third of its answers.

A write under a condition may be sent again at any time: the condition lets only one
of the two apply. Waiting the longest time for each lost answer would cost a second
for every third write, giving up too early would double the load of a slow store.
"""

import attrs

LEAST_S = 0.35
"""A write takes about 10 ms, and 300 ms when the store has just turned 60 times slower.
At 0.15 s it was sent again while it still waited, and partitions refused writes."""
MOST_S = 1.0
"""A transaction takes 300 ms when the store is 60 times slower, and may queue."""
LATENCY_FACTOR = 5.0
"""Covers writes that queue behind a few others in their partition."""
SMOOTHING = 0.2
"""Weight of the newest answer: a store that turns slow is believed after some five."""
BACKOFF = 2.0
"""Two silent writes in a row reach the longest timeout."""


@attrs.define
class WriteTimeout:
    """Adapts the timeout of writes to the answers that came.

    :param latency_s: smoothed time to an answer.
    :param factor: rises with each write in a row that got no answer.
    """

    latency_s: float = 0.01
    factor: float = 1.0

    def get(self) -> float:
        """Give the timeout of the next write, in seconds."""
        base_s = max(LEAST_S, LATENCY_FACTOR * self.latency_s)
        return min(MOST_S, base_s * self.factor)

    def note_answer(self, took_s: float) -> None:
        """Take in that an answer came after some time."""
        self.latency_s += SMOOTHING * (took_s - self.latency_s)
        self.factor = 1.0

    def note_silence(self) -> None:
        """Take in that no answer came in time."""
        self.factor = min(self.factor * BACKOFF, MOST_S / LEAST_S)
