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


@attrs.define
class _WorkerIndex:
    """Numbers workers, so that tasks name them briefly.

    :param numbers: numbers of the workers from 0, in order.
    """

    numbers: dict[str, int] = attrs.field(factory=dict)

    def find(self, worker_id: str) -> int:
        """Return the number of a worker, a new one if it has none."""
        return self.numbers.setdefault(worker_id, len(self.numbers))


def _encode_task(task: Task, index: _WorkerIndex | None, checkpoints: bool) -> t.Any:
    if task.phase is TaskPhase.DONE:
        return 1
    if not task.run:
        return 0
    return [
        int(task.phase),
        task.run,
        task.worker_id if index is None else index.find(task.worker_id),
        task.failures,
        task.checkpoint if checkpoints else "",
        *_encode_loss_history(task.loss_history),
    ]


def _encode_loss_history(loss_history: LossHistory) -> tuple[int, ...]:
    if loss_history is NO_LOSSES:
        return ()
    return attrs.astuple(loss_history)


def encode_progress(
    job: Job, *, brief: bool = False, checkpoints: bool = True
) -> bytes:
    """Encode the progress of a job for the store.

    Final jobs are stored without their tasks.

    :param job: the job.
    :param brief: whether tasks name their workers by numbers in a list of all workers.
    :param checkpoints: whether the checkpoints of tasks are stored.
    """
    index = _WorkerIndex() if brief else None
    occurrences = {}
    if not job.state.final:
        occurrences = {
            str(number): [
                [_encode_task(task, index, checkpoints) for task in tasks]
                for tasks in occurrence.steps
            ]
            for number, occurrence in job.occurrences.items()
        }
    value = {**_describe_job(job), "open": occurrences}
    if index is not None:
        value["workers"] = list(index.numbers)
    return orjson.dumps(value)


def encode_first_row(job: Job, parts: int) -> bytes:
    """Encode the first of several rows with the progress of a job.

    :param job: the job.
    :param parts: number of the other rows.
    """
    return orjson.dumps({**_describe_job(job), "open": {}, "parts": parts})


def _describe_job(job: Job) -> dict[str, t.Any]:
    return {
        "state": job.state.value,
        "finished": job.finished,
        "next": job.next_occurrence,
        "begun": job.started,
        "tenant": job.submission.tenant,
        "configuration": job.submission.configuration,
        "queue": job.submission.policy.queue,
        "endpoint": job.submission.endpoint,
        "version": job.version,
    }


def decode_status(value: bytes) -> JobStatus:
    """Decode only the state of a stored job, and who may read it.

    :param value: result of :func:`encode_progress`.
    :raises DocumentError: if the row is not the progress of a job.
    """
    try:
        raw = orjson.loads(value)
        version = check_version(raw.get("configuration", 0))
        return JobStatus(
            JobState(raw["state"]),
            raw.get("tenant", ""),
            version,
            raw.get("queue", ""),
            raw.get("endpoint", ""),
        )
    except MALFORMED_ERRORS as error:
        raise DocumentError([Fault("$", f"no stored job: {error!r}")]) from None


def _restore_task(task: Task, raw: t.Any, workers: t.Sequence[str]) -> None:
    if raw == 1:
        task.phase = TaskPhase.DONE
        return
    if not raw:
        return
    phase, task.run, worker, task.failures, task.checkpoint, *losses = raw
    task.phase = TaskPhase(phase)
    task.worker_id = worker if isinstance(worker, str) else workers[worker]
    if losses:
        task.loss_history = LossHistory(*losses)


def restore_job(submission: Submission, value: bytes | None, version: int = 0) -> Job:
    """Restore a job from its stored rows.

    Progress of another submission is that of an earlier job with the same ID, which is
    being removed.

    :param submission: the submission, which never changes.
    :param value: result of :func:`encode_progress`, ``None`` if no progress is stored.
    :param version: version of the submission's row.
    :raises DocumentError: if a row of the progress is missing.
    """
    job = Job(submission, version=version)
    if value is None:
        return job
    raw = orjson.loads(value)
    if raw.get("version") not in (None, version):
        return job
    if raw.get("parts"):
        raise DocumentError([Fault("$.parts", "a row of the progress is missing")])
    workers = raw.get("workers", ())
    job.state = job.stored_state = JobState(raw["state"])
    job.finished = raw["finished"]
    job.next_occurrence = raw["next"]
    job.started = raw.get("begun", job.finished > 0)
    for key, steps in raw["open"].items():
        occurrence = build_occurrence(submission, int(key))
        job.occurrences[int(key)] = occurrence
        for number, tasks in enumerate(steps):
            for task, stored in zip(occurrence.steps[number], tasks, strict=True):
                _restore_task(task, stored, workers)
                if task.phase is TaskPhase.DONE:
                    occurrence.remaining[number] -= 1
                    job.started = True
    return job
