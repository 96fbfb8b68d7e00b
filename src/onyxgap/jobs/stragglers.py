"""Finds workers whose tasks stand still or crawl; answers workers that turn slow.

A job ends with its slowest task: one worker of eight that stands still for 5 s makes
half of the jobs late that start meanwhile, though its registration looks sound. Its
tasks are stopped and started elsewhere, and it gets no new ones for a while.
"""

import enum
import statistics
import typing as t

from .job import Task

SLOW_SHARE = 0.3
"""Share of the usual speed below which a worker counts as slow. Declared run times are
off by half or double, slow workers are four times slower or more."""
LEAST_JOBS = 2
"""Jobs that must be slow on one worker: a single one may be slow everywhere."""
BLOCK_S = 2.0
"""Time without new tasks for a worker that was found slow; it is then tried again,
which costs what it gets meanwhile about a second."""
MOST_BLOCK_S = 8.0
"""Longest such time; it doubles while the worker is found slow again."""
MOST_MOVES = 2
"""Times that a task is taken off a worker: one that is slow everywhere stays then."""


class Pace(enum.Enum):
    """How fast the tasks of a worker proceed."""

    UNKNOWN = "unknown"
    SOUND = "sound"
    SLOW = "slow"
    STANDING = "standing"


def measure_speed(tasks: t.Iterable[Task]) -> tuple[float | None, int]:
    """Measure the median speed of a worker's tasks.

    :param tasks: its tasks that end by themselves.
    :returns: the speed, ``None`` where none is known, and the number of jobs.
    """
    speeds = []
    jobs = set()
    for task in tasks:
        if task.progress is not None and task.progress.speed is not None:
            speeds.append(task.progress.speed)
            jobs.add(task.task_id.job_id)
    return (statistics.median(speeds) if speeds else None), len(jobs)


def judge_pace(speed: float | None, jobs: int, others: t.Sequence[float]) -> Pace:
    """Judge a worker by the speed of its tasks.

    :param speed: their median speed.
    :param jobs: number of their jobs.
    :param others: speeds of other workers.
    """
    if speed is None:
        return Pace.UNKNOWN
    if not speed:
        return Pace.STANDING
    if not others or jobs < LEAST_JOBS:
        return Pace.UNKNOWN
    slow = speed < SLOW_SHARE * statistics.median(others)
    return Pace.SLOW if slow else Pace.SOUND


def choose_block(findings: int) -> float:
    """Choose for how many seconds a slow worker gets no new tasks.

    :param findings: times in a row that it was found slow before.
    """
    return min(BLOCK_S * 2.0**findings, MOST_BLOCK_S)
