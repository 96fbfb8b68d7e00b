"""The stored form of a job's progress: what must survive its owner."""

import typing as t

import attrs
import orjson

from .crashes import NO_SUSPICION
from .crashes import Suspicion
from .job import Job
from .job import Task
from .job import TaskPhase
from .job import build_occurrence
from .messages import JobState
from .messages import JobStatus
from .messages import Submission


def _encode_task(task: Task) -> t.Any:
    if task.phase is TaskPhase.DONE:
        return 1
    if not task.run:
        return 0
    return [
        int(task.phase),
        task.run,
        task.worker_id,
        task.failures,
        task.checkpoint,
        *_encode_suspicion(task.suspicion),
    ]


def _encode_suspicion(suspicion: Suspicion) -> tuple[int, ...]:
    if suspicion is NO_SUSPICION:
        return ()
    return attrs.astuple(suspicion)


def encode_progress(job: Job) -> bytes:
    """Encode what must survive the owner of a job.

    :param job: the job.
    """
    occurrences = {
        str(number): [[_encode_task(task) for task in tasks] for tasks in item.steps]
        for number, item in job.occurrences.items()
    }
    if job.state.final:
        occurrences = {}
    return orjson.dumps(
        {
            "state": job.state.value,
            "finished": job.finished,
            "next": job.next_occurrence,
            "begun": job.started,
            "open": occurrences,
            "tenant": job.submission.tenant,
        }
    )


def decode_status(value: bytes) -> JobStatus:
    """Read only what is shown of a stored job.

    :param value: what :func:`encode_progress` gave.
    """
    raw = orjson.loads(value)
    return JobStatus(JobState(raw["state"]), raw.get("tenant", ""))


def _restore_task(task: Task, raw: t.Any) -> None:
    if raw == 1:
        task.phase = TaskPhase.DONE
        return
    if not raw:
        return
    phase, task.run, task.worker_id, task.failures, task.checkpoint, *crashes = raw
    task.phase = TaskPhase(phase)
    if crashes:
        task.suspicion = Suspicion(*crashes)


def restore_job(submission: Submission, value: bytes | None) -> Job:
    """Rebuild a job from its stored rows.

    :param submission: the immutable part.
    :param value: its progress, or ``None`` before any was stored.
    """
    job = Job(submission)
    if value is None:
        return job
    raw = orjson.loads(value)
    job.state = job.stored_state = JobState(raw["state"])
    job.finished = raw["finished"]
    job.next_occurrence = raw["next"]
    job.started = raw.get("begun", job.finished > 0)
    for text, steps in raw["open"].items():
        occurrence = build_occurrence(submission, int(text))
        job.occurrences[int(text)] = occurrence
        for number, tasks in enumerate(steps):
            for task, stored in zip(occurrence.steps[number], tasks, strict=True):
                _restore_task(task, stored)
                if task.phase is TaskPhase.DONE:
                    occurrence.remaining[number] -= 1
                    job.started = True
    return job
