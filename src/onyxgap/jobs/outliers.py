"""Keeps tasks off workers that seem faulty or slow, without closing a pool.

A worker that fails tasks, is slow or is not reached by start orders is ejected: it gets
no new tasks for some seconds.
That evidence is indirect: jobs may fail by themselves, and progress may look slow on
every worker. If most of a pool looks faulty, its workers are not outliers. So at most
half of a pool is ejected, and a job that would otherwise stand still may probe an
ejected worker, one task at a time.
"""

import typing as t

import structlog

from .placing import WorkerRecord

MAX_EJECTED_SHARE = 0.5
"""Largest share of the usable workers of a pool that may be ejected."""
PROBE_INTERVAL_S = 1.0
"""Least time between two probes of an ejected worker, which may fail each of them."""
PROBE_PATIENCE_S = 1.5
"""Time for which a job has nothing running, or a serving task waits, before it may
probe. A task of another job mostly ends within this time and leaves capacity."""

_LOG = structlog.get_logger()


def readmit_excess(records: t.Iterable[WorkerRecord], now: float) -> None:
    """Choose the ejected workers that are open all the same in this scheduling pass.

    Those beyond :data:`MAX_EJECTED_SHARE` are, starting with the ones whose ejection
    ends first.

    :param records: workers of a shard.
    :param now: monotonic seconds.
    """
    usable = [
        record
        for record in records
        if record.is_usable(now) and now >= record.blocked_until
    ]
    ejected = [record for record in usable if now < record.get_ejection_end()]
    ejected.sort(key=WorkerRecord.get_ejection_end)
    excess = max(0, len(ejected) - int(len(usable) * MAX_EJECTED_SHARE))
    newly = [record for record in ejected[:excess] if not record.readmitted]
    for position, record in enumerate(ejected):
        record.readmitted = position < excess
    if newly:
        _LOG.info(
            "ejected workers readmitted",
            workers=[record.entry.worker_id for record in newly],
            usable=len(usable),
            ejected=len(ejected) - excess,
        )


def list_probeable(records: t.Iterable[WorkerRecord], now: float) -> list[WorkerRecord]:
    """List the ejected workers that may be probed.

    :param records: workers of a shard.
    :param now: monotonic seconds.
    """
    return [
        record
        for record in records
        if record.is_ejected(now)
        and record.is_usable(now)
        and now >= record.blocked_until
        and now >= record.probed_at + PROBE_INTERVAL_S
    ]
