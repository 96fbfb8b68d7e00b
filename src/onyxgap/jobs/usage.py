"""Computes the resource usage of tenants in one shard."""

import collections
import typing as t

from .amounts import ZERO_AMOUNT
from .amounts import Amount
from .amounts import get_task_amount
from .job import Job
from .placing import StepKey
from .placing import WorkerRecord


def sum_usage_by_tenant(
    workers: t.Iterable[WorkerRecord], jobs: t.Mapping[str, Job]
) -> dict[str, Amount]:
    """Sum the resources of all tasks that may be running on workers, by tenant.

    :param workers: the workers of a shard.
    :param jobs: the shard's jobs by id.
    """
    counts: collections.Counter[StepKey] = collections.Counter()
    for record in workers:
        counts.update(record.present)
    usage: dict[str, Amount] = {}
    for (job_id, _, step), count in counts.items():
        submission = jobs[job_id].submission
        if submission.tenant:
            amount = get_task_amount(submission.steps[step]) * count
            usage[submission.tenant] = amount + usage.get(
                submission.tenant, ZERO_AMOUNT
            )
    return usage
