"""What a task does on a worker, whatever it declares."""

import typing as t

import attrs

from ...jobs.messages import Step
from ...jobs.messages import TaskId


@attrs.frozen(slots=True)
class TaskNature:
    """What a task does wherever it is started.

    :param step: its step.
    :param work_s: seconds of work.
    :param fails: whether it always ends as failed.
    :param crashes: whether it crashes each worker that starts it.
    """

    step: Step
    work_s: float
    fails: bool = False
    crashes: bool = False


FindNature = t.Callable[[TaskId], TaskNature]
