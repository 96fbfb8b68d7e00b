"""Counts the VMs that a pool needs so that all its wide steps have workers.

All tasks of such a step run at the same time: they serve, or are a gang. The sum of
the fractions of a VM that they take is not enough for that: tasks may not be allowed to
share a worker, or few of them may fit on one. The tasks of other steps can take turns.
"""

import math
import typing as t

import attrs

from .amounts import ZERO_AMOUNT
from .job import Task
from .messages import Step
from .messages import WorkerState
from .placing import StepKey
from .placing import WorkerRecord
from .placing import count_places


@attrs.frozen(slots=True)
class WideStep:
    """A step all of whose tasks run at the same time.

    :param step: the step.
    :param step_key: job, occurrence and number of the step.
    :param tasks: its tasks.
    """

    step: Step
    step_key: StepKey
    tasks: t.Sequence[Task]


def count_needed_workers(
    steps: t.Iterable[WideStep], records: t.Collection[WorkerRecord]
) -> int:
    """Count the workers that a pool needs for wide steps whose tasks have none.

    Workers that are out of reach, be it only for start orders, count as present, since
    their VMs do, but give no place. Workers that have not answered yet give places
    until a call to them fails: they are new, or the owner of the shard is. Workers that
    only lack the label or size for a step are not counted, so that no more VMs are
    requested than the step could use.

    :param steps: unfinished wide steps of the shard.
    :param records: workers of the shard.
    :returns: number of workers, 0 if all tasks have a worker to run on.
    """
    registered = [item for item in records if item.registered]
    cordoned = {item.entry.worker_id for item in records if item.cordoned}
    return max(
        (_count_for_step(item, registered, cordoned) for item in steps),
        default=0,
    )


def _count_for_step(
    wide: WideStep, registered: t.Sequence[WorkerRecord], cordoned: set[str]
) -> int:
    displaced = _count_displaced(wide, cordoned)
    if not displaced:
        return 0
    step, step_key = wide.step, wide.step_key
    present = [item for item in registered if not item.cordoned]
    places = [_count_open_places(item, step, step_key) for item in present]
    lacking = displaced - sum(places)
    if lacking <= 0:
        return 0
    per_worker = max(
        (count_places(item, step, ZERO_AMOUNT, 0) for item in registered), default=0
    )
    if not per_worker:
        return 0
    of_use = sum(
        open_places > 0 or not _is_reachable(item) or item.serving != ZERO_AMOUNT
        for item, open_places in zip(present, places, strict=True)
    )
    return of_use + math.ceil(lacking / per_worker)


def _count_displaced(wide: WideStep, cordoned: set[str]) -> int:
    """Count the tasks that wait, or that are to leave their workers next."""
    waiting = sum(not task.placed for task in wide.tasks)
    to_leave = sum(task.placed and task.worker_id in cordoned for task in wide.tasks)
    return waiting + min(to_leave, max(1, wide.step.may_miss))


def _is_reachable(record: WorkerRecord) -> bool:
    return (
        record.failing_since is None
        and record.takes_starts
        and record.entry.state is WorkerState.READY
    )


def _count_open_places(record: WorkerRecord, step: Step, step_key: StepKey) -> int:
    if not _is_reachable(record):
        return 0
    present = record.present.get(step_key, 0)
    return count_places(record, step, record.serving, present)
