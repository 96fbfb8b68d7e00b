"""Counts the VMs that a pool needs so that all its wide steps have workers.

All tasks of such a step run at the same time: they serve, or are a gang. The sum of
the fractions of a VM that they take is not enough for that: tasks may not be allowed to
share a worker, or few of them may fit on one. The tasks of other steps can take turns.
"""

import math
import typing as t

import attrs

from .amounts import ZERO_AMOUNT
from .amounts import Amount
from .job import Task
from .load import get_worker_fraction
from .messages import Step
from .messages import WorkerState
from .placing import StepKey
from .placing import WorkerRecord
from .placing import count_places
from .placing import get_reserved_amount


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


@attrs.define(slots=True)
class WorkerSpace:
    """A worker with what serving tasks use there, those to be placed included.

    :param record: the worker, or one of the same size for a worker that is lacking.
    :param used: resources that serving tasks use.
    :param added: whether the worker is lacking.
    """

    record: WorkerRecord
    used: Amount
    added: bool = False

    @property
    def in_use(self) -> bool:
        """Whether the worker counts whatever places it has for a step."""
        return self.added or not _is_reachable(self.record) or self.used != ZERO_AMOUNT

    def count_open_places(self, step: Step, step_key: StepKey) -> int:
        """Count the tasks of a step that fit beside the serving tasks."""
        if self.added:
            return count_places(self.record, step, self.used, 0)
        if not _is_reachable(self.record):
            return 0
        present = self.record.present.get(step_key, 0)
        return count_places(self.record, step, self.used, present)


def count_needed_workers(
    steps: t.Iterable[WideStep], records: t.Collection[WorkerRecord]
) -> int:
    """Count the workers that a pool needs for wide steps whose tasks have none.

    Workers that are out of reach, be it only for start orders, count as present, since
    their VMs do, but give no place. Workers that have not answered yet give places
    until a call to them fails: they are new, or the owner of the shard is. Workers that
    only lack the label or size for a step are not counted, so that no more VMs are
    requested than the step could use.

    Serving tasks stay, so those of all steps need their places together. Gangs and
    other finite steps can take turns beside them; the one that lacks most counts.

    :param steps: unfinished wide steps of the shard.
    :param records: workers of the shard.
    :returns: number of workers, 0 if all tasks have a worker to run on.
    """
    registered = [item for item in records if item.registered]
    cordoned = {item.entry.worker_id for item in records if item.cordoned}
    displaced = [
        (wide, count) for wide in steps if (count := _count_displaced(wide, cordoned))
    ]
    if not displaced or not registered:
        return 0
    spaces = [
        WorkerSpace(item, item.serving) for item in registered if not item.cordoned
    ]
    capacity = max((item.entry.cpu, item.entry.memory_mb) for item in registered)
    displaced.sort(key=lambda item: -get_worker_fraction(item[0].step, capacity))
    for wide, count in displaced:
        if wide.step.long_running:
            place_together(wide.step, wide.step_key, count, spaces, registered)
    needed = 0
    if any(space.added for space in spaces):
        needed = sum(space.in_use for space in spaces)
    for wide, count in displaced:
        if not wide.step.long_running:
            needed = max(needed, _count_for_step(wide, count, spaces, registered))
    return needed


def place_together(
    step: Step,
    step_key: StepKey,
    count: int,
    spaces: list[WorkerSpace],
    registered: t.Sequence[WorkerRecord],
) -> None:
    """Place the tasks of a step, and add the workers that they lack.

    :param step: the step.
    :param step_key: job, occurrence and number of the step.
    :param count: number of its tasks to place.
    :param spaces: workers of the pool; those that are lacking are appended.
    :param registered: workers that show of which size those lacking would be.
    """
    amount = get_reserved_amount(step)
    for space in spaces:
        taken = min(count, space.count_open_places(step, step_key))
        if taken:
            space.used += amount * taken
            count -= taken
        if not count:
            return
    largest, per_worker = _find_largest(step, registered)
    while per_worker and count:
        taken = min(count, per_worker)
        spaces.append(WorkerSpace(largest, amount * taken, added=True))
        count -= taken


def _count_for_step(
    wide: WideStep,
    count: int,
    spaces: t.Sequence[WorkerSpace],
    registered: t.Sequence[WorkerRecord],
) -> int:
    """Count the workers with which the tasks of a step fit beside serving tasks."""
    of_use = 0
    for space in spaces:
        places = space.count_open_places(wide.step, wide.step_key)
        of_use += places > 0 or space.in_use
        count -= places
        if count <= 0:
            return 0
    _, per_worker = _find_largest(wide.step, registered)
    return of_use + math.ceil(count / per_worker) if per_worker else 0


def _find_largest(
    step: Step, registered: t.Sequence[WorkerRecord]
) -> tuple[WorkerRecord, int]:
    """Find the worker that takes most tasks of a step while empty, and their number."""
    places = [count_places(item, step, ZERO_AMOUNT, 0) for item in registered]
    per_worker = max(places)
    return registered[places.index(per_worker)], per_worker


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
