"""What callers got on a finished day, and what it took."""

import collections
import typing as t

import attrs

from ...jobs.desk import SubmitOutcome
from ...pools.messages import VmActionKind
from .checks import Evidence
from .checks import group_runs
from .job_notes import JobNotes


@attrs.frozen
class QueueAccount:
    """What the callers of one queue got.

    :param in_time: jobs that ended within their objective.
    :param owed: jobs that were accepted and not cancelled.
    """

    in_time: int = 0
    owed: int = 0

    @property
    def share(self) -> float:
        """Share of the jobs owed that ended in time, 1 if none were owed."""
        return self.in_time / self.owed if self.owed else 1.0


@attrs.frozen
class Account:
    """What callers got.

    :param accepted: jobs accepted.
    :param refused: jobs of which every try was refused or broken.
    :param tries: tries to hand a job in.
    :param failed_tries: those of them that were refused, uncertain or broken.
    :param cancelled: accepted jobs that their callers cancelled.
    :param in_time: jobs that ended within their objective.
    :param late: jobs that ended later.
    :param runs: runs that began.
    :param wasted_s: core-seconds of runs that did not end as done.
    :param vm_s: seconds of VMs in pools.
    :param moves: moves of VMs.
    :param store_calls: calls to the store.
    :param crash_starts: most starts of a task that crashes its workers.
    :param queues: what callers got, by queue.
    """

    accepted: int
    refused: int
    tries: int
    failed_tries: int
    cancelled: int
    in_time: int
    late: int
    runs: int
    wasted_s: float
    vm_s: float
    moves: int
    store_calls: int
    crash_starts: int = 0
    queues: t.Mapping[str, QueueAccount] = attrs.field(factory=dict)

    @property
    def lowest_share(self) -> float:
        """Share of jobs in time of the queue that was served worst."""
        return min((queue.share for queue in self.queues.values()), default=1.0)


def _list_finite_jobs(evidence: Evidence) -> list[JobNotes]:
    """List the jobs that have one end: neither serving nor scheduled ones."""
    return [
        notes
        for notes in evidence.callers.jobs.values()
        if not notes.submission.steps[0].long_running and not notes.is_scheduled()
    ]


def settle_account(evidence: Evidence, vm_s: float, store_calls: int) -> Account:
    """Sum up what callers got and what it took.

    :param evidence: what happened.
    :param vm_s: seconds of VMs in pools.
    :param store_calls: calls to the store.
    """
    counts: collections.Counter[str] = collections.Counter()
    for notes in _list_finite_jobs(evidence):
        counts["accepted" if notes.accepted_at is not None else "refused"] += 1
        counts["tries"] += len(notes.outcomes)
        accepted = notes.outcomes.count(SubmitOutcome.ACCEPTED)
        counts["failed_tries"] += len(notes.outcomes) - accepted
        counts["cancelled"] += notes.cancelled_at is not None
        final_at = notes.find_final_at()
        if final_at is not None and notes.cancelled_at is None:
            in_time = final_at - notes.sent_at <= notes.objective_s
            counts["in_time" if in_time else "late"] += 1
    wasted_s = sum(
        (record.ended - record.began)
        * evidence.callers.find_nature(record.task).step.cpu
        / 1000
        for record in evidence.records
        if record.ended is not None and record.how not in ("done", "failed")
    )
    moves = sum(item.order.kind is VmActionKind.MOVE for item in evidence.orders)
    return Account(
        accepted=counts["accepted"],
        refused=counts["refused"],
        tries=counts["tries"],
        failed_tries=counts["failed_tries"],
        cancelled=counts["cancelled"],
        in_time=counts["in_time"],
        late=counts["late"],
        runs=len(evidence.records),
        wasted_s=round(wasted_s, 1),
        vm_s=round(vm_s, 1),
        moves=moves,
        store_calls=store_calls,
        crash_starts=count_crash_starts(evidence),
        queues=settle_queues(evidence),
    )


def settle_queues(evidence: Evidence) -> dict[str, QueueAccount]:
    """Sum up what callers got by queue; serving and scheduled jobs do not count.

    :param evidence: what happened.
    """
    owed: collections.Counter[str] = collections.Counter()
    in_time: collections.Counter[str] = collections.Counter()
    for notes in _list_finite_jobs(evidence):
        if notes.accepted_at is None or notes.cancelled_at is not None:
            continue
        queue = notes.submission.policy.queue
        final_at = notes.find_final_at()
        owed[queue] += 1
        if final_at is not None:
            in_time[queue] += final_at - notes.sent_at <= notes.objective_s
    return {queue: QueueAccount(in_time[queue], owed[queue]) for queue in owed}


def count_crash_starts(evidence: Evidence) -> int:
    """Count the starts of the task that crashed its workers most often."""
    return max(
        (
            len(runs)
            for task, runs in group_runs(evidence).items()
            if evidence.callers.find_nature(task).crashes
        ),
        default=0,
    )
