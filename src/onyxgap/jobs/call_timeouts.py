"""Adaptive timeouts of an owner's calls to the workers of its shard.

The timeout of one worker follows its response times, as the retransmission timer of TCP
does: smoothed time and four deviations, doubled after each call without an answer. The
median over all workers of the shard is the least for each of them: if most calls are
late, the cause is the caller or the path to the workers. The lag of the caller's own
event loop is added.
"""

import statistics
import typing as t

import attrs

HOLD_MARGIN_S = 0.3
"""Least time allowed for the answer to a hold request, beyond the requested wait. A
busy worker that stops answering is detected within 0.6 s."""
MAX_HOLD_MARGIN_S = 1.5
"""Longest such time. With the longest wait of 1 s, two requests fit into a lease of
5 s."""
START_TIMEOUT_S = 0.6
"""Least timeout of a start order; a worker answers within milliseconds."""
MAX_START_TIMEOUT_S = 1.1
"""Longest timeout of a start order. It is valid for 0.1 s less, and one that a worker
carries out 2 s late must not be valid any more."""
LATE_S = 0.1
"""Lag of the event loop from which a timeout proves nothing about a worker: a third of
the least time allowed for an answer."""
MAX_INCONCLUSIVE = 2
"""Timeouts in a row of one worker that may prove nothing. After them, it counts as
silent however late the caller is."""
MIN_WORKERS = 3
"""Least number of workers from which the lateness of most points to the caller."""
SMOOTHING = 1 / 8
"""Weight of the latest response in the smoothed time, as in RFC 6298."""
DEVIATION_SMOOTHING = 1 / 4
"""Weight of the latest response in the smoothed deviation, as in RFC 6298."""
DEVIATIONS = 4.0
"""Deviations that are added to the smoothed time, as in RFC 6298."""
BACKOFF_FACTOR = 2.0
"""Growth of a timeout after each call without an answer."""
MAX_FACTOR = MAX_HOLD_MARGIN_S / HOLD_MARGIN_S
"""Largest multiple of a timeout by its growth."""


@attrs.define(slots=True)
class ResponseTimes:
    """Response times of one worker.

    :param smoothed_s: smoothed response time in seconds, ``None`` before the first.
    :param deviation_s: smoothed deviation from it in seconds.
    :param factor: multiplier that grows with each call in a row without an answer.
    """

    smoothed_s: float | None = None
    deviation_s: float = 0.0
    factor: float = 1.0

    def get_timeout(self) -> float:
        """Return the time allowed for the next answer, in seconds."""
        least_s = max(HOLD_MARGIN_S, self.get_expected())
        return min(least_s * self.factor, MAX_HOLD_MARGIN_S)

    def get_expected(self) -> float:
        """Return the response time that is rarely exceeded, in seconds."""
        return (self.smoothed_s or 0.0) + DEVIATIONS * self.deviation_s

    def note_answer(self, took_s: float) -> None:
        """Record a response time, in seconds."""
        self.factor = 1.0
        if self.smoothed_s is None:
            self.smoothed_s, self.deviation_s = took_s, took_s / 2
            return
        difference_s = abs(took_s - self.smoothed_s)
        self.deviation_s += DEVIATION_SMOOTHING * (difference_s - self.deviation_s)
        self.smoothed_s += SMOOTHING * (took_s - self.smoothed_s)

    def note_timeout(self) -> None:
        """Record a call that got no answer in time."""
        self.factor = min(self.factor * BACKOFF_FACTOR, MAX_FACTOR)


@attrs.define(eq=False)
class CallTimeouts:
    """Timeouts of the calls of one owner to its workers.

    :param read_lag: returns the lag of the process's event loop in seconds.
    """

    read_lag: t.Callable[[], float] = float
    _times: dict[str, ResponseTimes] = attrs.field(factory=dict)
    _median_s: float = HOLD_MARGIN_S
    _answered_at: float = 0.0

    def get_hold_margin(self, worker_id: str) -> float:
        """Return the time allowed for a hold request beyond its wait, in seconds."""
        return self._get(worker_id, HOLD_MARGIN_S, MAX_HOLD_MARGIN_S)

    def get_start_timeout(self, worker_id: str) -> float:
        """Return the time allowed for the answer to a start order, in seconds."""
        return self._get(worker_id, START_TIMEOUT_S, MAX_START_TIMEOUT_S)

    def _get(self, worker_id: str, least_s: float, most_s: float) -> float:
        times = self._times.get(worker_id)
        own_s = times.get_timeout() if times is not None else 0.0
        expected_s = max(least_s, own_s, self._median_s) + self._get_lag()
        return min(expected_s, most_s)

    def _get_lag(self) -> float:
        lag_s = self.read_lag()
        return lag_s if lag_s >= LATE_S else 0.0

    def note_answer(self, worker_id: str, took_s: float, now: float) -> None:
        """Record an answer.

        :param worker_id: the worker.
        :param took_s: seconds from the call to the answer, without the wait that was
            requested.
        :param now: monotonic seconds.
        """
        self._answered_at = now
        times = self._times.setdefault(worker_id, ResponseTimes())
        before_s = times.get_timeout()
        times.note_answer(took_s)
        self._update_median(before_s, times)

    def note_timeout(self, worker_id: str) -> None:
        """Record a call that got no answer in time."""
        times = self._times.setdefault(worker_id, ResponseTimes())
        before_s = times.get_timeout()
        times.note_timeout()
        self._update_median(before_s, times)

    def forget(self, worker_id: str) -> None:
        """Drop the response times of a worker that was removed."""
        if self._times.pop(worker_id, None) is not None:
            self._median_s = self._find_median()

    def _update_median(self, before_s: float, times: ResponseTimes) -> None:
        # most calls of a punctual pool leave the least time as it is
        if times.get_timeout() != before_s:
            self._median_s = self._find_median()

    def _find_median(self) -> float:
        timeouts = [times.get_timeout() for times in self._times.values()]
        # the lower one of two, so that one worker of two does not count as most
        return statistics.median_low(timeouts) if timeouts else HOLD_MARGIN_S

    def is_late(self) -> bool:
        """Tell whether this process, or its path to most workers, is late.

        Only answers show that the path is late. Workers that do not answer may be dark.
        """
        if self.read_lag() >= LATE_S:
            return True
        if len(self._times) < MIN_WORKERS:
            return False
        expected = [times.get_expected() for times in self._times.values()]
        return statistics.median_low(expected) > HOLD_MARGIN_S

    def is_inconclusive(self, sent_at: float, overdue_s: float) -> bool:
        """Tell whether a call without an answer proves nothing about the worker.

        :param sent_at: monotonic seconds when the call was made.
        :param overdue_s: seconds by which the timeout has fired late.
        """
        if max(self.read_lag(), overdue_s) >= LATE_S:
            return True
        # a call to another worker that was answered meanwhile shows that the caller and
        # the path are well
        many = len(self._times) >= MIN_WORKERS
        return many and self._median_s > HOLD_MARGIN_S and self._answered_at < sent_at
