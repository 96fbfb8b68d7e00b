"""Explains why tasks wait: what keeps each worker of a shard from running them.

A task that waits while most workers are free looks the same in the other logs whatever
holds it back. The count of workers by obstacle tells the causes apart.
"""

import collections
import math
import typing as t

import attrs
import structlog

from ..pools.cordons import CordonSummary
from .crashes import IsolationLevel
from .messages import Step
from .messages import WorkerState
from .placing import StepKey
from .placing import WorkerRecord
from .placing import is_allowed
from .ready import ReadyStep
from .shard_jobs import get_step_key

REPORT_AFTER_S = 1.0
"""Wait of a step before it is reported; most steps are placed within one pass."""
REPORT_INTERVAL_S = 1.0
"""Least time between two rounds of reports."""
MAX_REPORTED_STEPS = 5
"""Most steps in a round: an overloaded pool has hundreds that wait for capacity."""

_LOG = structlog.get_logger()

_OBSTACLES: t.Mapping[str, t.Callable[[WorkerRecord, float], bool]] = {
    "unregistered": lambda record, now: not record.registered,
    "not held": lambda record, now: not record.held,
    "silent": lambda record, now: record.failing_since is not None,
    "draining": lambda record, now: record.entry.state is not WorkerState.READY,
    "cordoned": lambda record, now: record.cordoned,
    "blocked": lambda record, now: now < record.blocked_until,
    "ejected": lambda record, now: record.is_ejected(now),
    "capacity outdated": lambda record, now: now >= record.capacity_valid_until,
    "reserved": lambda record, now: record.reserved,
}
"""Conditions under which a worker takes no task of any step, the first that holds."""


def find_general_obstacle(record: WorkerRecord, now: float) -> str | None:
    """Name what keeps a worker from running any task, ``None`` if nothing does.

    :param record: the worker.
    :param now: monotonic seconds.
    """
    for name, holds in _OBSTACLES.items():
        if holds(record, now):
            return name
    return None


def find_obstacle(
    record: WorkerRecord,
    step: Step,
    step_key: StepKey,
    now: float,
    isolation: IsolationLevel = IsolationLevel.NONE,
) -> str:
    """Name what keeps a worker from running a task.

    :param record: the worker.
    :param step: step of the task.
    :param step_key: job, occurrence and number of the step.
    :param now: monotonic seconds.
    :param isolation: isolation that the task needs.
    :returns: the obstacle, ``free`` if there is none.
    """
    general = find_general_obstacle(record, now)
    if general is not None:
        return general
    if not is_allowed(record, step, step_key):
        return "placement constraint"
    if not record.has_capacity(step):
        return "full"
    if not record.meets_isolation(step_key[0], isolation):
        return "isolation"
    return "free"


def count_obstacles(
    records: t.Iterable[WorkerRecord],
    step: Step,
    step_key: StepKey,
    now: float,
    isolation: IsolationLevel = IsolationLevel.NONE,
) -> dict[str, int]:
    """Count the workers by what keeps them from running a task.

    :param records: workers of the shard.
    :param step: step of the task.
    :param step_key: job, occurrence and number of the step.
    :param now: monotonic seconds.
    :param isolation: isolation that the task needs.
    """
    return dict(
        collections.Counter(
            find_obstacle(record, step, step_key, now, isolation) for record in records
        )
    )


def _get_step_key(ready: ReadyStep) -> StepKey:
    return get_step_key(ready.tasks[0])


@attrs.define
class WaitReporter:
    """Logs which steps wait, and why.

    :param waiting_since: monotonic seconds since when each waiting step waits.
    """

    waiting_since: dict[StepKey, float] = attrs.field(factory=dict)
    _reported_at: float = -math.inf

    def report(
        self,
        waiting: t.Sequence[ReadyStep],
        records: t.Collection[WorkerRecord],
        now: float,
        summarize_cordons: t.Callable[[float], CordonSummary | None],
    ) -> None:
        """Log the steps that have waited for some time, serving ones first.

        :param waiting: steps of which the scheduling pass could not place all tasks.
        :param records: workers of the shard.
        :param now: monotonic seconds.
        :param summarize_cordons: returns the cordons of the shard at a time, ``None``
            if no worker is cordoned.
        """
        known = self.waiting_since
        self.waiting_since = {
            key: known.get(key, now) for key in map(_get_step_key, waiting)
        }
        if now - self._reported_at < REPORT_INTERVAL_S:
            return
        due = [
            ready
            for ready in waiting
            if now - self.waiting_since[_get_step_key(ready)] >= REPORT_AFTER_S
        ]
        if not due:
            return
        self._reported_at = now
        due.sort(key=self._get_report_key)
        cordons = summarize_cordons(now)
        for ready in due[:MAX_REPORTED_STEPS]:
            self._log(ready, records, now, cordons)

    def _get_report_key(self, ready: ReadyStep) -> tuple[bool, float]:
        serving = ready.job.submission.steps[ready.step].long_running
        return not serving, self.waiting_since[_get_step_key(ready)]

    def _log(
        self,
        ready: ReadyStep,
        records: t.Collection[WorkerRecord],
        now: float,
        cordons: CordonSummary | None,
    ) -> None:
        step = ready.job.submission.steps[ready.step]
        left = [task for task in ready.tasks if not task.placed]
        isolation = left[0].loss_history.isolation
        _LOG.info(
            "step waits",
            job=ready.job.submission.job_id,
            step=ready.step,
            waiting=len(left),
            of=step.count,
            serving=step.long_running,
            cpu=step.cpu,
            memory_mb=step.memory_mb,
            anti_affinity=step.anti_affinity,
            isolation=isolation.value,
            waited_s=round(now - self.waiting_since[_get_step_key(ready)], 3),
            workers=count_obstacles(
                records, step, _get_step_key(ready), now, isolation
            ),
            **(attrs.asdict(cordons) if cordons is not None else {}),
        )
