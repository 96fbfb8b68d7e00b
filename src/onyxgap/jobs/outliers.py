"""Bounds how many workers of a pool are ejected as outliers.

A worker that fails tasks or is slow gets no new tasks for some seconds. That evidence
is indirect: jobs may fail by themselves, and progress may look slow on every worker. If
most of a pool looks faulty, its workers are not outliers, and ejecting all of them
would hold back every job of the pool.
"""

import typing as t

import structlog

from .placing import WorkerRecord

MAX_EJECTED_SHARE = 0.5
"""Largest share of the usable workers of a pool that may be ejected."""

_LOG = structlog.get_logger()


def readmit_excess(records: t.Iterable[WorkerRecord], now: float) -> None:
    """Readmit the workers that were ejected beyond :data:`MAX_EJECTED_SHARE`.

    Those whose ejection ends first are readmitted first.

    :param records: workers of a shard.
    :param now: monotonic seconds.
    """
    usable = [record for record in records if record.is_usable(now)]
    ejected = [record for record in usable if now < record.ejected_until]
    excess = len(ejected) - int(len(usable) * MAX_EJECTED_SHARE)
    if excess <= 0:
        return
    ejected.sort(key=lambda record: record.ejected_until)
    for record in ejected[:excess]:
        record.ejected_until = now
    _LOG.info(
        "ejected workers readmitted",
        workers=[record.entry.worker_id for record in ejected[:excess]],
        usable=len(usable),
        ejected=len(ejected) - excess,
    )
