"""Checks that serving tasks run, and run again soon after they have lost a worker."""

import collections
import itertools
import typing as t

from ...jobs.messages import TaskId
from .breach import Breach
from .callers import JobNotes
from .disturbances import ALL_NODES
from .disturbances import DisturbanceLog
from .runs import RunRecord

MAX_ABSENCE_S = 6.0
"""Time within which a serving task runs again, if nothing disturbs the nodes."""


def check_serving(
    jobs: t.Mapping[str, JobNotes], records: t.Iterable[RunRecord], end_s: float
) -> t.Iterator[Breach]:
    """Check that each serving task runs at the end of the day.

    :param jobs: what callers were told, by job.
    :param records: runs on workers.
    :param end_s: when the day ended.
    """
    running = {record.task for record in records if record.ended is None}
    for task in _list_serving_tasks(jobs):
        if task not in running:
            detail = f"{task.job_id} lacks serving task {task.position}"
            yield Breach("lost", end_s, detail)


def check_absences(
    jobs: t.Mapping[str, JobNotes],
    records: t.Iterable[RunRecord],
    disturbances: DisturbanceLog,
) -> t.Iterator[Breach]:
    """Check that no serving task is away for long between two of its runs.

    :param jobs: what callers were told, by job.
    :param records: runs on workers.
    :param disturbances: faults that affected nodes; absences beside them are allowed.
    """
    runs: dict[TaskId, list[RunRecord]] = collections.defaultdict(list)
    for record in records:
        runs[record.task].append(record)
    for task in _list_serving_tasks(jobs):
        ordered = sorted(runs[task], key=lambda run: run.began)
        for earlier, later in itertools.pairwise(ordered):
            if earlier.ended is None or later.began - earlier.ended <= MAX_ABSENCE_S:
                continue
            if not _is_disturbed(disturbances, earlier.ended, later.began):
                away_s = later.began - earlier.ended
                detail = f"serving task {task} was away for {away_s:.1f} s"
                yield Breach("lost", later.began, detail)


def _is_disturbed(disturbances: DisturbanceLog, begin: float, end: float) -> bool:
    nodes = {name for name, *_ in disturbances.spans}
    return any(
        disturbances.is_disturbed(node, begin, end) for node in nodes | {ALL_NODES}
    )


def _list_serving_tasks(jobs: t.Mapping[str, JobNotes]) -> t.Iterator[TaskId]:
    for job_id, notes in jobs.items():
        step = notes.submission.steps[0]
        if step.long_running and notes.accepted_at is not None:
            for position in range(step.count):
                yield TaskId(job_id, 0, 0, position)
