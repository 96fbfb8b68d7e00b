"""Estimates the store's clock, the only clock that all nodes have in common."""

import math

import attrs

from .workers import MS_PER_S

MAX_DRIFT = 0.001
"""Largest difference in rate between the clock of a node and that of the store."""


@attrs.frozen(slots=True)
class ClockReading:
    """The store's clock as told by one answer.

    :param store_ms: milliseconds of the store's clock, at some moment of the call.
    :param sent_at: seconds of the node's boot clock when the call was sent.
    :param answered_at: seconds of the node's boot clock when it was answered.
    """

    store_ms: float
    sent_at: float
    answered_at: float

    def get_error_s(self, now: float) -> float:
        """Return the width in seconds of the range that the store's clock is in.

        :param now: seconds of the boot clock.
        """
        drift_s = 2 * MAX_DRIFT * (now - self.answered_at)
        return self.answered_at - self.sent_at + drift_s


@attrs.define
class StoreClock:
    """Bounds of the store's clock, from the most exact of its recent answers.

    The boot clock of the node also counts while its VM is suspended.

    :param reading: the reading in use, ``None`` before the first answer.
    """

    reading: ClockReading | None = None

    def observe(self, reading: ClockReading) -> None:
        """Use a reading if it is at least as exact as the one in use is by now.

        :param reading: the reading; one of 0 ms is an answer without a time.
        """
        if not reading.store_ms:
            return
        now = reading.answered_at
        current = self.reading
        if current is None or reading.get_error_s(now) <= current.get_error_s(now):
            self.reading = reading

    def get_earliest_ms(self, now: float) -> int | None:
        """Return a lower bound of the store's clock, ``None`` if it is not known.

        :param now: seconds of the boot clock.
        """
        if self.reading is None:
            return None
        passed_s = (now - self.reading.answered_at) * (1 - MAX_DRIFT)
        return math.floor(self.reading.store_ms + passed_s * MS_PER_S)

    def get_latest_ms(self, now: float) -> int | None:
        """Return an upper bound of the store's clock, ``None`` if it is not known.

        :param now: seconds of the boot clock.
        """
        if self.reading is None:
            return None
        passed_s = (now - self.reading.sent_at) * (1 + MAX_DRIFT)
        return math.ceil(self.reading.store_ms + passed_s * MS_PER_S)

    def get_longest_wait_s(self, store_ms: int, now: float) -> float | None:
        """Return the most seconds until the store's clock shows a time.

        :param store_ms: the time, which may be in the past.
        :param now: seconds of the boot clock.
        :returns: seconds, negative for the past, or ``None`` if that is not known.
        """
        earliest_ms = self.get_earliest_ms(now)
        return None if earliest_ms is None else (store_ms - earliest_ms) / MS_PER_S

    def get_latest_ms_at(self, at: float, now: float) -> int | None:
        """Return an upper bound of the store's clock at another time.

        :param at: seconds of the boot clock, in the past or the future.
        :param now: seconds of the boot clock.
        """
        latest_ms = self.get_latest_ms(now)
        if latest_ms is None:
            return None
        factor = 1 + math.copysign(MAX_DRIFT, at - now)
        return latest_ms + math.ceil((at - now) * factor * MS_PER_S)
