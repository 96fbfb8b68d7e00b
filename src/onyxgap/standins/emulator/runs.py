"""Runs of tasks on emulated workers."""

import attrs

from ...jobs.messages import Step
from ...jobs.messages import TaskId


@attrs.define(slots=True)
class RunRecord:
    """A run as the emulator saw it, for the checks.

    :param task: the task.
    :param run: its number.
    :param worker_id: where it ran.
    :param node: node that gave the order.
    :param epoch: fencing token of the order.
    :param began: monotonic seconds.
    :param ended: monotonic seconds, or ``None``.
    :param how: how it ended, ``gone`` with its worker, or empty.
    :param noted: whether the end was acknowledged.
    :param overfull: whether its start brought the worker over its capacity.
    """

    task: TaskId
    run: int
    worker_id: str
    node: str
    epoch: int
    began: float
    ended: float | None = None
    how: str = ""
    noted: bool = False
    overfull: bool = False


@attrs.define(slots=True)
class Run:
    """A run that is on a worker.

    :param record: what the checks see of it.
    :param step: its step.
    :param ends_at: monotonic seconds at which it ends by itself.
    :param total_s: seconds that it takes in all.
    :param stopping_at: monotonic seconds at which an order to stop ends it.
    :param restored_s: seconds of work that its checkpoint saved.
    :param doomed: whether its worker fails it.
    """

    record: RunRecord
    step: Step
    ends_at: float
    total_s: float
    stopping_at: float | None = None
    restored_s: float = 0.0
    doomed: bool = False
