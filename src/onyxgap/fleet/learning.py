"""Estimates sizes and run times of tasks from past attempts.

Declared sizes and run times are far from what tasks use.
"""

import attrs

from ..manifest import Task
from ..shared.records import TaskHistory

SIZE_QUANTILE = 0.9
MIN_SAMPLES = 3
SIZE_MARGIN = 1.1


@attrs.frozen(slots=True)
class TaskSize:
    """Estimated resources and run time of one attempt.

    :param cores: processor cores.
    :param memory_gb: memory in GB.
    :param run_time_s: run time in seconds.
    """

    cores: float
    memory_gb: float
    run_time_s: float


def compute_quantile(samples: list[float], quantile: float) -> float:
    """Return the sample at a quantile, without interpolation.

    :param samples: at least one sample.
    :param quantile: the quantile, between 0 and 1.
    """
    ordered = sorted(samples)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


def estimate_size(task: Task, history: TaskHistory | None) -> TaskSize:
    """Estimate the size and run time of the next attempt of a task.

    With fewer than ``MIN_SAMPLES`` measured attempts, the declared values are used.
    Otherwise the estimate is a high quantile of the measured values; cores and memory
    get a safety margin, the run time gets none.

    :param task: the task as declared in the manifest.
    :param history: history of ended attempts, or ``None``.
    """
    if history is None or len(history.sizes) < MIN_SAMPLES:
        return TaskSize(
            float(task.cores), float(task.memory_gb), float(task.run_time_s)
        )
    cores, memory, run_time = zip(*history.sizes, strict=True)
    return TaskSize(
        cores=SIZE_MARGIN * compute_quantile(list(cores), SIZE_QUANTILE),
        memory_gb=SIZE_MARGIN * compute_quantile(list(memory), SIZE_QUANTILE),
        run_time_s=compute_quantile(list(run_time), SIZE_QUANTILE),
    )
