"""Tells tasks that can never run from workers that fail everything."""

import collections
import typing as t

from .. import defaults
from ..shared.records import TaskHistory


def find_unrunnable(tasks: t.Mapping[str, TaskHistory]) -> set[str]:
    """Find tasks that never ran well, but failed or lost their VMs several times.

    A task that crashes its VMs reports no failure; it would be started without end.

    :param tasks: history by task.
    """
    return {
        name
        for name, history in tasks.items()
        if not history.done
        and (
            len(history.failed_on) >= defaults.UNRUNNABLE_DISTINCT_WORKERS
            or history.lost_in_a_row >= defaults.UNRUNNABLE_LOSSES_IN_A_ROW
        )
    }


def find_faulty(tasks: t.Mapping[str, TaskHistory]) -> set[str]:
    """Find workers that failed several tasks which run well elsewhere.

    :param tasks: history by task.
    """
    counts: collections.Counter[str] = collections.Counter()
    for history in tasks.values():
        if history.done:
            counts.update(history.failed_on)
    return {
        vm for vm, count in counts.items() if count >= defaults.QUARANTINE_DISTINCT_JOBS
    }
