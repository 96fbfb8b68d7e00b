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

    :param reported_at: monotonic seconds of the last report, by worker.
    """

    reported_at: dict[str, float] = attrs.field(factory=dict)

    def report(
        self,
        doubtful: t.Sequence[DoubtfulRuns],
        service: str,
        epoch: int,
        list_age_s: float | None,
        now: float,
    ) -> None:
        """Log the runs that are due for a report.

        :param doubtful: runs on the silent workers of the shard.
        :param service: name of the shard.
        :param epoch: fencing token of the owner.
        :param list_age_s: seconds since the newest list of VMs was requested, which
            shows these workers as up; ``None`` if this owner has seen none.
        :param now: monotonic seconds.
        """
        silent = {item.worker_id for item in doubtful}
        for worker_id in self.reported_at.keys() - silent:
            del self.reported_at[worker_id]
        for item in doubtful:
            reported_at = self.reported_at.get(item.worker_id, -math.inf)
            is_due = now - reported_at >= REPORT_INTERVAL_S
            if item.silent_s < REPORT_AFTER_S or not is_due:
                continue
            self.reported_at[item.worker_id] = now
            _LOG.info(
                "runs in doubt",
                worker=item.worker_id,
                service=service,
                epoch=epoch,
                count=len(item.runs),
                runs=[str(task) for task in item.runs[:MAX_REPORTED_RUNS]],
                silent_s=round(item.silent_s, 3),
                lease_left_s=round(item.lease_left_s, 3),
                lease_source=item.lease_source.value,
                registered=item.registered,
                list_age_s=None if list_age_s is None else round(list_age_s, 3),
            )
