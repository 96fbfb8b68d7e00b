"""Encodes the stored progress of jobs, which a new owner restores after a claim."""

import typing as t

import attrs
import orjson

from ..exceptions import MALFORMED_ERRORS
from ..exceptions import DocumentError
from ..exceptions import Fault
from .crashes import NO_LOSSES
from .crashes import LossHistory
from .job import Job
from .job import Task
from .job import TaskPhase
from .job import build_occurrence
from .messages import JobState
from .messages import JobStatus
from .messages import Submission
from .submissions import check_version


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
        *_encode_loss_history(task.loss_history),
    ]


def _encode_loss_history(loss_history: LossHistory) -> tuple[int, ...]:
    if loss_history is NO_LOSSES:
        return ()
    return attrs.astuple(loss_history)


def encode_progress(job: Job) -> bytes:
    """Encode the progress of a job for the store.

    Final jobs are stored without their tasks.

    :param job: the job.
    """
    occurrences = {
        str(number): [
            [_encode_task(task) for task in tasks] for tasks in occurrence.steps
        ]
        for number, occurrence in job.occurrences.items()
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
            "configuration": job.submission.configuration,
            "queue": job.submission.policy.queue,
            "version": job.version,
        }
    )


def decode_status(value: bytes) -> JobStatus:
    """Decode only the state of a stored job, and who may read it.

    :param value: result of :func:`encode_progress`.
    :raises DocumentError: if the row is not the progress of a job.
    """
    try:
        raw = orjson.loads(value)
        version = check_version(raw.get("configuration", 0))
        return JobStatus(
            JobState(raw["state"]), raw.get("tenant", ""), version, raw.get("queue", "")
        )
    except MALFORMED_ERRORS as error:
        raise DocumentError([Fault("$", f"no stored job: {error!r}")]) from None


def _restore_task(task: Task, raw: t.Any) -> None:
    if raw == 1:
        task.phase = TaskPhase.DONE
        return
    if not raw:
        return
    phase, task.run, task.worker_id, task.failures, task.checkpoint, *losses = raw
    task.phase = TaskPhase(phase)
    if losses:
        task.loss_history = LossHistory(*losses)


def restore_job(submission: Submission, value: bytes | None, version: int = 0) -> Job:
    """Restore a job from its stored rows.

    Progress of another submission is that of an earlier job with the same ID, which is
    being removed.

    :param submission: the submission, which never changes.
    :param value: result of :func:`encode_progress`, ``None`` if no progress is stored.
    :param version: version of the submission's row.
    """
    job = Job(submission, version=version)
    if value is None:
        return job
    raw = orjson.loads(value)
    if raw.get("version") not in (None, version):
        return job
    job.state = job.stored_state = JobState(raw["state"])
    job.finished = raw["finished"]
    job.next_occurrence = raw["next"]
    job.started = raw.get("begun", job.finished > 0)
    for key, steps in raw["open"].items():
        occurrence = build_occurrence(submission, int(key))
        job.occurrences[int(key)] = occurrence
        for number, tasks in enumerate(steps):
            for task, stored in zip(occurrence.steps[number], tasks, strict=True):
                _restore_task(task, stored)
                if task.phase is TaskPhase.DONE:
                    occurrence.remaining[number] -= 1
                    job.started = True
    return job
