"""Learned sizes and run times of tasks, since declared ones are far off."""

import attrs

from ..manifest import Task
from ..shared.records import TaskHistory

QUANTILE = 0.9
MIN_SAMPLES = 3
MARGIN = 1.1


@attrs.frozen(slots=True)
class Size:
    """What one attempt is expected to need.

    :param cores: processor cores.
    :param memory_gb: memory in GB.
    :param run_time_s: run time in seconds.
    """

    cores: float
    memory_gb: float
    run_time_s: float


def pick_quantile(samples: list[float], share: float) -> float:
    """Pick a quantile by rank.

    :param samples: at least one sample.
    :param share: between 0 and 1.
    """
    ordered = sorted(samples)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def estimate_size(task: Task, history: TaskHistory | None) -> Size:
    """Estimate what the next attempt needs.

    :param task: its declaration.
    :param history: what earlier attempts used, or ``None``.
    """
    if history is None or len(history.sizes) < MIN_SAMPLES:
        return Size(float(task.cores), float(task.memory_gb), float(task.run_time_s))
    cores, memory, run_time = zip(*history.sizes, strict=True)
    return Size(
        cores=MARGIN * pick_quantile(list(cores), QUANTILE),
        memory_gb=MARGIN * pick_quantile(list(memory), QUANTILE),
        run_time_s=pick_quantile(list(run_time), QUANTILE),
    )
