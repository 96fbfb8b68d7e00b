"""Checks of the counts of waiting jobs that nodes answered with."""

import math
import typing as t

from .breach import Breach
from .count_callers import CountAnswer
from .disturbances import DisturbanceLog
from .job_notes import JobNotes
from .runs import RunRecord

VISIBILITY_DELAY_S = 5.0
"""Time after its acceptance from which a waiting job must be counted: it may become
visible three seconds late, and a count may be two seconds old."""


def _find_first_starts(records: t.Iterable[RunRecord]) -> dict[str, float]:
    first: dict[str, float] = {}
    for record in records:
        job_id = record.task.job_id
        first[job_id] = min(record.began, first.get(job_id, record.began))
    return first


def _must_be_counted(answer: CountAnswer, job: JobNotes, started_at: float) -> bool:
    if job.accepted_at is None or job.cancel_requested:
        return False
    final_at = job.find_final_at()
    ended = final_at is not None and final_at <= answer.answered_at
    return (
        job.submission.policy.queue == answer.queue
        and job.accepted_at + VISIBILITY_DELAY_S < answer.sent_at
        and started_at > answer.answered_at
        and not ended
    )


def check_counts(
    answers: t.Iterable[CountAnswer],
    jobs: t.Mapping[str, JobNotes],
    records: t.Iterable[RunRecord],
    disturbances: DisturbanceLog,
) -> t.Iterator[Breach]:
    """Check that counts include at least half of the jobs known to be waiting.

    Answers of nodes affected by a disturbance are not checked.

    :param answers: answers to requests for counts.
    :param jobs: all jobs, by id.
    :param records: runs on workers.
    :param disturbances: faults that affected nodes, with their times.
    """
    first = _find_first_starts(records)
    for answer in answers:
        if disturbances.is_disturbed(answer.node, answer.sent_at, answer.answered_at):
            continue
        waiting = sum(
            _must_be_counted(answer, job, first.get(job_id, math.inf))
            for job_id, job in jobs.items()
        )
        if 2 * answer.count < waiting:
            shown = f"{answer.node} shows {answer.count} of {waiting} jobs"
            yield Breach("mixed", answer.sent_at, f"{shown} of {answer.queue}")
