"""Checks of the counts of waiting jobs that callers were given."""

import math
import typing as t

from .breach import Breach
from .callers import JobNotes
from .contact import ContactLog
from .count_callers import CountNote
from .runs import RunRecord

VISIBLE_S = 5.0
"""A job that was accepted this long ago must be part of a count: it may show three
seconds late, and a count may be two seconds old."""


def _find_first_starts(records: t.Iterable[RunRecord]) -> dict[str, float]:
    first: dict[str, float] = {}
    for record in records:
        job_id = record.task.job_id
        first[job_id] = min(record.began, first.get(job_id, record.began))
    return first


def _is_surely_waiting(note: CountNote, job: JobNotes, started_at: float) -> bool:
    if job.accepted_at is None or job.cancel_asked:
        return False
    final_at = job.find_final_at()
    ended = final_at is not None and final_at <= note.answered_at
    return (
        job.submission.policy.queue == note.queue
        and job.accepted_at + VISIBLE_S < note.sent_at
        and started_at > note.answered_at
        and not ended
    )


def check_counts(
    notes: t.Iterable[CountNote],
    jobs: t.Mapping[str, JobNotes],
    records: t.Iterable[RunRecord],
    contact: ContactLog,
) -> t.Iterator[Breach]:
    """Check that no node in touch shows under half of the jobs that surely wait.

    :param notes: the counts that callers were given.
    :param jobs: all jobs, by id.
    :param records: runs on workers.
    :param contact: which nodes were disturbed, and when.
    """
    first = _find_first_starts(records)
    for note in notes:
        if contact.is_disturbed(note.node, note.sent_at, note.answered_at):
            continue
        waiting = sum(
            _is_surely_waiting(note, job, first.get(job_id, math.inf))
            for job_id, job in jobs.items()
        )
        if 2 * note.count < waiting:
            detail = f"{note.node} shows {note.count} of {waiting} jobs of {note.queue}"
            yield Breach("mixed", note.sent_at, detail)
