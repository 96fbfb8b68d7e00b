"""Keeps tasks off workers that start orders do not reach.

Such a worker may go on to answer hold requests, on connections that are open already.
The first order that does not reach it blocks it for a short time only. From the next
one on, it is an outlier: it gets no tasks for a time that doubles, and counts as
without free capacity. See :mod:`.outliers` for the limit on outliers and their probes.
"""

import structlog

from .call_timeouts import MAX_INCONCLUSIVE
from .placing import WorkerRecord
from .workers import ReplyKind

UNDELIVERED_TO_EJECT = 2
"""Starts in a row that did not reach a worker, after which it is an outlier."""
FIRST_EJECTION_S = 0.6
"""Time for which a worker is ejected first."""
MAX_EJECTION_S = 2.4
"""Longest time of an ejection, so that a worker that is well again is soon in use."""

_UNDECIDED = (ReplyKind.NO_ANSWER, ReplyKind.WITHHELD, ReplyKind.OTHER_INCARNATION)

_LOG = structlog.get_logger()


def note_delivery(
    record: WorkerRecord, kind: ReplyKind, now: float, proves: bool = True
) -> None:
    """Record whether a start order has reached its worker.

    :param record: the worker.
    :param kind: outcome of the order.
    :param now: monotonic seconds.
    :param proves: whether the outcome says something of the worker. A connection that
        a late process has not opened in time does not, for a few orders.
    """
    if kind in _UNDECIDED:
        # the order may have reached it, or nothing was sent
        return
    if kind is not ReplyKind.NOT_SENT:
        record.undelivered_starts = record.inconclusive_starts = 0
        record.undelivered_until = 0.0
        record.takes_starts = True
        return
    if now < record.blocked_until:
        # sent along with an order that has been counted
        return
    if not proves and record.inconclusive_starts < MAX_INCONCLUSIVE:
        record.inconclusive_starts += 1
        return
    record.undelivered_starts += 1
    doublings = record.undelivered_starts - UNDELIVERED_TO_EJECT
    if doublings < 0:
        return
    ejection_s = min(FIRST_EJECTION_S * 2**doublings, MAX_EJECTION_S)
    record.undelivered_until = now + ejection_s
    record.takes_starts = False
    _LOG.info(
        "starts not delivered",
        worker=record.entry.worker_id,
        orders=record.undelivered_starts,
        for_s=ejection_s,
    )
