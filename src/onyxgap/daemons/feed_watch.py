"""Reports owners that hear no changes of their jobs.

An owner does not know the jobs that it has not heard of, so it can't name them.
"""

import math

import attrs
import structlog

REPORT_AFTER_S = 2.0
"""Time without an answer of the change feed before it is reported; a call waits 1.2 s
for a change at most."""
REPORT_INTERVAL_S = 2.0
"""Least time between two reports."""
TOLERANCE_S = 0.01
"""By how much a check may come early for both."""

_LOG = structlog.get_logger()


@attrs.define(eq=False)
class FeedWatch:
    """Logs that the change feed of a shard's jobs does not answer.

    :param shard: the shard.
    :param epoch: fencing token of the owner.
    :param heard_at: monotonic seconds up to which all changes are known.
    """

    shard: str
    epoch: int
    heard_at: float
    _reported_at: float = -math.inf
    _is_reported: bool = False

    def note_heard(self, at: float) -> None:
        """Record that all changes up to a time are known.

        :param at: monotonic seconds.
        """
        self.heard_at = max(self.heard_at, at)

    def check(self, now: float) -> None:
        """Log that no changes have been heard of for some time, or are again.

        :param now: monotonic seconds.
        """
        unheard_s = now - self.heard_at
        if unheard_s < REPORT_AFTER_S - TOLERANCE_S:
            if self._is_reported:
                self._log("job changes heard again", unheard_s)
            self._is_reported = False
            return
        if now - self._reported_at >= REPORT_INTERVAL_S - TOLERANCE_S:
            self._reported_at = now
            self._is_reported = True
            self._log("job changes not heard", unheard_s)

    def _log(self, event: str, unheard_s: float) -> None:
        _LOG.warning(
            event, shard=self.shard, epoch=self.epoch, unheard_s=round(unheard_s, 2)
        )
