"""Reports the runs that are kept on silent workers, and why they are not given up.

Such a run may have ended with its worker, or go on out of reach. Until that is known
its task is not started elsewhere, and nothing else names it in the log: it does not
wait for a worker, and it has not been lost.
"""

import enum
import math
import typing as t

import attrs
import structlog

from .messages import TaskId

REPORT_AFTER_S = 1.0
"""Silence of a worker before its runs are reported; most are short."""
REPORT_INTERVAL_S = 4.0
"""Time between two reports about one worker."""
MAX_REPORTED_RUNS = 30
"""Most runs named in a report."""

_LOG = structlog.get_logger()


class LeaseSource(enum.Enum):
    """Who may have granted the lease that keeps the runs of a worker."""

    OWN = "own"
    FORMER_OWNER = "former owner"
    FORMER_INCARNATION = "call for a former incarnation"


@attrs.frozen(slots=True)
class DoubtfulRuns:
    """The runs on a silent worker.

    :param worker_id: the worker.
    :param runs: their tasks.
    :param silent_s: seconds since the worker became silent for this owner.
    :param lease_left_s: seconds until its lease has certainly expired.
    :param lease_source: who may have granted that lease.
    :param registered: whether the worker is still registered.
    """

    worker_id: str
    runs: t.Sequence[TaskId]
    silent_s: float
    lease_left_s: float
    lease_source: LeaseSource
    registered: bool


@attrs.define
class DoubtReporter:
    """Logs the runs on workers that have been silent for some time.

    :param service: name of the shard.
    :param epoch: fencing token of the owner.
    :param reported_at: monotonic seconds of the last report, by worker.
    """

    service: str
    epoch: int
    reported_at: dict[str, float] = attrs.field(factory=dict)

    def keep_only(self, worker_ids: t.Collection[str]) -> None:
        """Forget the workers that are no longer silent.

        :param worker_ids: the silent workers.
        """
        for worker_id in self.reported_at.keys() - set(worker_ids):
            del self.reported_at[worker_id]

    def is_due(self, worker_id: str, silent_s: float, now: float) -> bool:
        """Tell whether the runs on a silent worker are to be reported.

        :param worker_id: the worker.
        :param silent_s: seconds since it became silent.
        :param now: monotonic seconds.
        """
        reported_at = self.reported_at.get(worker_id, -math.inf)
        return silent_s >= REPORT_AFTER_S and now - reported_at >= REPORT_INTERVAL_S

    def report(self, doubt: DoubtfulRuns, list_age_s: float | None, now: float) -> None:
        """Log the runs on a silent worker.

        :param doubt: the runs.
        :param list_age_s: seconds since the newest list of VMs was requested, which
            shows the worker as up; ``None`` if this owner has seen none.
        :param now: monotonic seconds.
        """
        self.reported_at[doubt.worker_id] = now
        _LOG.info(
            "runs in doubt",
            worker=doubt.worker_id,
            service=self.service,
            epoch=self.epoch,
            count=len(doubt.runs),
            runs=[str(task) for task in doubt.runs[:MAX_REPORTED_RUNS]],
            silent_s=round(doubt.silent_s, 3),
            lease_left_s=round(doubt.lease_left_s, 3),
            lease_source=doubt.lease_source.value,
            registered=doubt.registered,
            list_age_s=None if list_age_s is None else round(list_age_s, 3),
        )
