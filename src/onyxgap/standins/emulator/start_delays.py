"""Measures how long jobs and serving tasks wait for a start after a loss."""

import itertools
import typing as t

import attrs

from ...jobs.messages import TaskId
from .checks import Evidence
from .checks import find_services
from .job_notes import JobNotes
from .runs import RunRecord
from .serving_checks import list_serving_tasks
from .standstill_checks import Span
from .standstill_checks import Standstills


@attrs.frozen(order=True)
class StartDelay:
    """A time in which a task could have started and none of its job did.

    :param seconds: its length.
    :param since: monotonic seconds of its begin.
    :param task: the task.
    """

    seconds: float
    since: float
    task: TaskId


def measure_start_delays(
    evidence: Evidence, loss_at: float, end_s: float
) -> list[StartDelay]:
    """Measure the longest wait of each job and each serving task after a loss.

    Only time counts from the loss on. A job waits while it has nothing running and a
    task of it could run; a serving task waits from the end of a run to its next one,
    whether there is room for it or not.

    :param evidence: what was seen.
    :param loss_at: monotonic seconds of the loss.
    :param end_s: when the day ended.
    """
    search = Standstills(
        evidence.callers.jobs,
        find_services(evidence),
        evidence.records,
        evidence.workers,
        evidence.tenancy,
        evidence.disturbances,
    )
    waits = [
        *_list_job_waits(search, loss_at, end_s),
        *_list_serving_waits(evidence, end_s),
    ]
    longest: dict[t.Any, StartDelay] = {}
    for key, task, (begin, end) in waits:
        since = max(begin, loss_at)
        delay = StartDelay(max(0.0, end - since), since, task)
        longest[key] = max(delay, longest.get(key, delay))
    return sorted(longest.values(), reverse=True)


_Wait = tuple[str | TaskId, TaskId, Span]
"""What waits, the task that it waits for, and when."""


def _list_job_waits(
    search: Standstills, loss_at: float, end_s: float
) -> t.Iterator[_Wait]:
    for job_id, notes in search.jobs.items():
        if not _is_served(notes):
            continue
        for task, span in search.list_waits(notes, loss_at, end_s):
            yield job_id, task, span


def _is_served(notes: JobNotes) -> bool:
    excused = notes.poison or notes.crashing or notes.cancel_requested
    return notes.accepted_at is not None and not excused


def _list_serving_waits(evidence: Evidence, end_s: float) -> t.Iterator[_Wait]:
    runs: dict[TaskId, list[RunRecord]] = {}
    for record in evidence.records:
        runs.setdefault(record.task, []).append(record)
    for task in list_serving_tasks(evidence.callers.jobs):
        ordered = sorted(runs.get(task, []), key=lambda run: run.began)
        begins = [run.began for run in ordered] + [end_s]
        for run, (_, following) in zip(
            ordered, itertools.pairwise(begins), strict=True
        ):
            if run.ended is not None:
                yield task, task, (run.ended, following)
