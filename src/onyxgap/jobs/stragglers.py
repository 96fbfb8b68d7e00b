"""Detects workers whose tasks are stalled or slow.

A job ends with its slowest task: if one worker of eight is stalled and tasks are spread
evenly, one in two jobs of six tasks has a task on it. The worker's registration stays
valid all the while. The worker's tasks are stopped and started elsewhere, and it gets
no new ones for some seconds.
"""

import enum
import statistics
import typing as t

from .job import Task

SLOW_SPEED_RATIO = 0.3
"""Speed relative to other tasks of the same step below which a worker is slow. These
tasks differ by a third, and slow workers are at least four times slower. Declared run
times are no reference: their error from job to job is larger than that."""
MIN_COMPARED_TASKS = 2
"""Number of a worker's tasks that must be compared with others to find it slow."""
INITIAL_EJECTION_S = 2.0
"""Time for which a slow worker gets no new tasks. It is then tried again, which costs
the tasks that it gets about a second."""
MAX_EJECTION_S = 8.0
"""Upper bound of the ejection time, which doubles while the worker stays slow."""
MAX_MOVES = 2
"""Number of times that a task is moved; a task that is slow everywhere then stays."""


class SpeedClass(enum.Enum):
    """Speed class of a worker, by the progress of its tasks."""

    UNKNOWN = "unknown"
    NORMAL = "sound"
    SLOW = "slow"
    STALLED = "standing"


def get_relative_speed(task: Task, siblings: t.Iterable[Task]) -> float | None:
    """Compare the speed of a task with that of its step on other workers.

    :param task: the task.
    :param siblings: all tasks of its step.
    :returns: its speed as a fraction of their median speed, or ``None`` if its speed is
        unknown or there is none to compare it with.
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


def classify_speed(speeds: t.Sequence[float], ratios: t.Sequence[float]) -> SpeedClass:
    """Classify a worker by the speed of its tasks.

    :param speeds: known speeds of its tasks.
    :param ratios: known speeds of its tasks relative to their steps on other workers.
    """
    if not speeds:
        return SpeedClass.UNKNOWN
    if not any(speeds):
        return SpeedClass.STALLED
    if (
        len(ratios) >= MIN_COMPARED_TASKS
        and statistics.median(ratios) < SLOW_SPEED_RATIO
    ):
        return SpeedClass.SLOW
    return SpeedClass.NORMAL


def get_ejection_time(slow_streak: int) -> float:
    """Give the number of seconds for which a slow worker gets no new tasks.

    :param slow_streak: number of times in a row that it was found slow before.
    """
    return min(INITIAL_EJECTION_S * 2.0**slow_streak, MAX_EJECTION_S)
