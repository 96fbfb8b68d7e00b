"""Finds workers whose tasks stand still or crawl; answers workers that turn slow.

A job ends with its slowest task: where one worker of eight stands still, one of two
jobs of six tasks has a task there, if they are spread evenly. The worker's
registration looks sound all the while. Its tasks are stopped and started elsewhere,
and it gets no new ones for some seconds.
"""

import enum
import statistics
import typing as t

from .job import Task

SLOW_SHARE = 0.3
"""Share of the speed of other tasks of the same step below which a task is slow: they
differ by a third, slow workers are four times slower or more. Declared run times say
nothing here, they are off by more than that from job to job."""
LEAST_RATIOS = 2
"""Tasks of a worker that must be compared with others before it counts as slow."""
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


def measure_ratio(task: Task, siblings: t.Iterable[Task]) -> float | None:
    """Compare the speed of a task with that of its step on other workers.

    :param task: the task.
    :param siblings: all tasks of its step.
    :returns: its share of their median speed, ``None`` where none is known.
    """
    if task.progress is None or task.progress.speed is None:
        return None
    others = [
        other.progress.speed
        for other in siblings
        if other.worker_id != task.worker_id
        and other.progress is not None
        and other.progress.speed
    ]
    return task.progress.speed / statistics.median(others) if others else None


def judge_pace(speeds: t.Sequence[float], ratios: t.Sequence[float]) -> Pace:
    """Judge a worker by its tasks.

    :param speeds: speeds of its tasks, as far as they are known.
    :param ratios: shares of the speed of their steps elsewhere, as far as known.
    """
    if not speeds:
        return Pace.UNKNOWN
    if not any(speeds):
        return Pace.STANDING
    if len(ratios) >= LEAST_RATIOS and statistics.median(ratios) < SLOW_SHARE:
        return Pace.SLOW
    return Pace.SOUND


def choose_block(findings: int) -> float:
    """Choose for how many seconds a slow worker gets no new tasks.

    :param findings: times in a row that it was found slow before.
    """
    return min(BLOCK_S * 2.0**findings, MOST_BLOCK_S)
