"""Checks that serving tasks run, and run again soon after they have lost a worker."""

import collections
import itertools
import typing as t

from ...jobs.messages import TaskId
from .breach import Breach
from .disturbances import DisturbanceLog
from .job_notes import JobNotes
from .runs import RunRecord

MAX_ABSENCE_S = 6.0
"""Time within which a serving task runs again, counted from the last moment at which a
disturbance affected a node."""


def check_serving(
    jobs: t.Mapping[str, JobNotes], records: t.Iterable[RunRecord], end_s: float
) -> t.Iterator[Breach]:
    """Check that each serving task runs at the end of the day.

    :param jobs: what callers were told, by job.
    :param records: runs on workers.
    :param end_s: when the day ended.
    """
    running = {record.task for record in records if record.ended is None}
    for task in list_serving_tasks(jobs):
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
    :param disturbances: faults that affected nodes; only the time of an absence counts
        in which they did not.
    """
    runs: dict[TaskId, list[RunRecord]] = collections.defaultdict(list)
    for record in records:
        runs[record.task].append(record)
    for task in list_serving_tasks(jobs):
        ordered = sorted(runs[task], key=lambda run: run.began)
        for earlier, later in itertools.pairwise(ordered):
            if earlier.ended is None:
                continue
            calm_s = disturbances.measure_calm(earlier.ended, later.began)
            if calm_s > MAX_ABSENCE_S:
                away_s = later.began - earlier.ended
                detail = (
                    f"serving task {task} was away for {away_s:.1f} s, "
                    f"{calm_s:.1f} s of them calm"
                )
                yield Breach("lost", later.began, detail)


def list_serving_tasks(jobs: t.Mapping[str, JobNotes]) -> t.Iterator[TaskId]:
    """List the serving tasks of accepted jobs.

    :param jobs: what callers were told, by job.
    """
    for job_id, notes in jobs.items():
        step = notes.submission.steps[0]
        if step.long_running and notes.accepted_at is not None:
            for position in range(step.count):
                yield TaskId(job_id, 0, 0, position)
