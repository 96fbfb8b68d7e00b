"""How much of a worker jobs take, for the sizes of pools."""

from .job import Job
from .job import Task
from .job import TaskPhase
from .messages import Step
from .workers import MS


def measure_share(step: Step, capacity: tuple[int, int]) -> float:
    """Measure which part of a worker a task takes.

    :param step: its step.
    :param capacity: cores in thousandths and MB of a worker.
    """
    cpu, memory_mb = capacity
    if not cpu or not memory_mb:
        return 0.0
    share = 0.0 if step.fills else step.cpu / cpu
    return max(share, step.memory_mb / memory_mb)


def measure_work(job: Job, capacity: tuple[int, int]) -> float:
    """Measure the work of a job's tasks that end by themselves, in VM seconds.

    :param job: the job; of one that runs several times, the first occurrence.
    :param capacity: cores in thousandths and MB of a worker.
    """
    return sum(
        step.count * measure_share(step, capacity) * step.estimate_ms / MS
        for step in job.submission.steps
        if not step.long_running
    )


def get_demand(step: Step, task: Task, waits: str) -> str:
    """Name the sum of a report that a task counts in, or an empty text."""
    if task.phase is TaskPhase.DONE:
        return ""
    if step.long_running:
        return "serving"
    return "batch" if task.placed else waits
