"""Load of jobs in fractions of a worker, used to size pools."""

from .job import Job
from .job import Task
from .job import TaskPhase
from .messages import Step
from .workers import MS_PER_S


def get_worker_fraction(step: Step, capacity: tuple[int, int]) -> float:
    """Give the fraction of a worker that a task occupies.

    :param step: its step.
    :param capacity: millicores and MB of memory of a worker.
    """
    cpu, memory_mb = capacity
    if not cpu or not memory_mb:
        return 0.0
    share = 0.0 if step.fills else step.cpu / cpu
    return max(share, step.memory_mb / memory_mb)


def estimate_vm_seconds(job: Job, capacity: tuple[int, int]) -> float:
    """Estimate the work of a job in VM seconds, without its long-running steps.

    :param job: the job; for a scheduled job, the result covers one occurrence.
    :param capacity: millicores and MB of memory of a worker.
    """
    return sum(
        step.count * get_worker_fraction(step, capacity) * step.estimate_ms / MS_PER_S
        for step in job.submission.steps
        if not step.long_running
    )


def get_load_kind(step: Step, task: Task, unplaced_kind: str) -> str:
    """Name the total of a load report that a task counts towards.

    :param step: the task's step.
    :param task: the task.
    :param unplaced_kind: name to give for a task that is not placed.
    :returns: name of the total, empty if the task counts towards none.
    """
    if task.phase is TaskPhase.DONE:
        return ""
    if step.long_running:
        return "serving"
    return "batch" if task.placed else unplaced_kind
