"""Distinguishes tasks that never succeed from VMs on which good tasks fail."""

import collections
import typing as t

from .. import defaults
from ..shared.records import TaskHistory


def find_unrunnable_tasks(tasks: t.Mapping[str, TaskHistory]) -> set[str]:
    """Find tasks that never succeeded and failed or lost their VMs several times.

    Lost VMs count too: a task that crashes its VMs never reports a failure, and
    would otherwise be restarted forever.

    :param tasks: task history by task name.
    :returns: names of the tasks.
    """
    return {
        name
        for name, history in tasks.items()
        if not history.done
        and (
            len(history.failed_on) >= defaults.UNRUNNABLE_DISTINCT_WORKERS
            or history.lost_in_a_row >= defaults.UNRUNNABLE_CONSECUTIVE_LOSSES
        )
    }


def find_faulty_vms(tasks: t.Mapping[str, TaskHistory]) -> set[str]:
    """Find VMs on which several tasks failed that succeed on other VMs.

    :param tasks: task history by task name.
    :returns: names of the VMs.
    """
    counts: collections.Counter[str] = collections.Counter()
    for history in tasks.values():
        if history.done:
            counts.update(history.failed_on)
    return {
        vm for vm, count in counts.items() if count >= defaults.QUARANTINE_DISTINCT_JOBS
    }
