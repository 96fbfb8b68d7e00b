"""Adaptive timeout of store writes, for a store that loses a third of its responses.

A conditional write may be retried at any time: the condition lets only one of the two
attempts apply. With the longest timeout for each lost response, every third write would
take a second more. Too short a timeout would double the load of a slow store.
"""

import attrs

MIN_TIMEOUT_S = 0.35
"""A write takes about 10 ms, and 300 ms when the store has just turned 60 times slower.
A timeout of 0.15 s would retry writes that still wait, and partitions would refuse
writes."""
MAX_TIMEOUT_S = 1.0
"""A transaction takes 300 ms when the store is 60 times slower, and may queue too."""
LATENCY_FACTOR = 5.0
"""Ratio of timeout to latency. Covers writes that queue behind a few others in their
partition."""
SMOOTHING = 0.2
"""Weight of the latest response: a store that turns slow shows after about five."""
BACKOFF_FACTOR = 2.0
"""Growth of the timeout; two writes in a row without a response reach the longest."""


@attrs.define
class WriteTimeout:
    """Adapts the timeout of writes to the latency of the store.

    :param latency_s: smoothed response time in seconds.
    :param factor: multiplier that grows with each write in a row without a response.
    """

    latency_s: float = 0.01
    factor: float = 1.0

    def get(self) -> float:
        """Give the timeout of the next write, in seconds."""
        base_s = max(MIN_TIMEOUT_S, LATENCY_FACTOR * self.latency_s)
        return min(MAX_TIMEOUT_S, base_s * self.factor)

    def note_answer(self, took_s: float) -> None:
        """Record a response.

        :param took_s: response time in seconds.
        """
        self.latency_s += SMOOTHING * (took_s - self.latency_s)
        self.factor = 1.0

    def record_timeout(self) -> None:
        """Record that no response arrived within the timeout."""
        self.factor = min(self.factor * BACKOFF_FACTOR, MAX_TIMEOUT_S / MIN_TIMEOUT_S)
