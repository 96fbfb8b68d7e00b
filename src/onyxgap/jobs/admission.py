"""Admission control: rejects jobs that would wait too long to be useful.

The owner of a shard publishes estimated queueing delays in its row. A node rejects a
job that can neither meet its objective nor, behind the whole backlog ahead of it, end
while its result is still useful. The caller gets a retry time instead of waiting for a
useless result.
"""

import math
import typing as t

import attrs

from ..documents import LENIENT_CONVERTER
from ..documents import structure_document
from .job import TaskPhase
from .job import estimate_remaining_paths
from .load import get_worker_fraction
from .messages import Submission
from .priorities import MS_PER_S
from .priorities import USEFUL_FACTOR
from .priorities import Timeliness
from .ready import ReadyStep
from .run_times import RunTimes

SCALE_UP_S = 2.2
"""Time until a VM that a pool needs runs tasks: moving it to the pool, and the first
hold request to its worker."""
MAX_LISTED_TENANTS = 20
"""Bounds the size of an estimate: every node reads the owner row every 0.7 s."""
MIN_RETRY_S = 1
MAX_RETRY_S = 10
"""Bounds of the retry time; an estimate says nothing about a later time."""


@attrs.frozen(slots=True)
class QueueDelay:
    """Least wait of a job that arrives now if the whole pool works on the backlog.

    :param in_time_s: seconds behind jobs that can still meet their objectives.
    :param of_use_s: seconds behind these and the late jobs that are still useful.
    """

    in_time_s: float = 0.0
    of_use_s: float = 0.0


@attrs.frozen(slots=True)
class DelayEstimate:
    """Queueing delays of a shard as estimated by its owner.

    :param within: delay for tenants within their fair shares of the pool.
    :param beyond: delay for tenants over their shares.
    :param over: names of tenants over their shares, at most
        :data:`MAX_LISTED_TENANTS`.
    :param job_s: mean seconds for which one waiting step occupies the whole pool.
    """

    within: QueueDelay = QueueDelay()
    beyond: QueueDelay = QueueDelay()
    over: tuple[str, ...] = ()
    job_s: float = 0.0

    def get_delay(self, tenant: str) -> QueueDelay:
        """Give the delay that applies to a tenant's jobs."""
        return self.beyond if tenant in self.over else self.within


@attrs.frozen(slots=True)
class PoolCapacity:
    """Number of VMs of a pool, and of those that it may grow to.

    :param vms: workers that accept tasks now.
    :param fleet: VMs of all pools, 0 if unknown.
    """

    vms: int
    fleet: int = 0

    def estimate_min_wait(self, work_s: float) -> float:
        """Estimate the least time in which the pool can process some work.

        A job is rejected only for a delay that is certain. The estimate therefore
        assumes that all VMs of the fleet join this pool after :data:`SCALE_UP_S`.

        :param work_s: VM seconds.
        :returns: seconds.
        """
        if work_s <= self.vms * SCALE_UP_S:
            return round(work_s / self.vms, 3)
        left_s = work_s - self.vms * SCALE_UP_S
        return round(SCALE_UP_S + left_s / max(self.vms, self.fleet), 3)


def encode_delay_estimate(estimate: DelayEstimate) -> dict[str, t.Any]:
    """Encode an estimate as JSON; an empty backlog gives an empty object."""
    return attrs.asdict(estimate) if estimate != DelayEstimate() else {}


def decode_delay_estimate(raw: t.Mapping[str, t.Any]) -> DelayEstimate:
    """Decode the output of :func:`encode_delay_estimate`.

    :raises DocumentError: if a field has another type.
    """
    return structure_document(raw, DelayEstimate, LENIENT_CONVERTER)


def estimate_delays(
    backlog: t.Iterable[ReadyStep],
    capacity: tuple[int, int],
    pool: PoolCapacity,
    run_times: RunTimes,
) -> DelayEstimate:
    """Estimate the queueing delays of a shard.

    :param backlog: waiting tasks as ordered by the last scheduling pass.
    :param capacity: millicores and MB of memory of a worker.
    :param pool: the pool's VMs.
    :param run_times: measured run times of the shard's tasks.
    """
    work: dict[tuple[Timeliness, bool], float] = {}
    over: dict[str, None] = {}
    steps = 0
    for item in backlog:
        waiting = sum(task.phase is TaskPhase.WAITING for task in item.tasks)
        step = item.job.submission.steps[item.step]
        if not waiting or step.long_running:
            continue
        steps += 1
        factor = run_times.get_factor(item.job.submission.policy.queue, 1)
        share_s = (
            factor * get_worker_fraction(step, capacity) * step.estimate_ms / MS_PER_S
        )
        key = (item.urgency.standing, item.beyond)
        work[key] = work.get(key, 0.0) + waiting * share_s
        if item.beyond:
            over[item.job.submission.tenant] = None
    if not pool.vms or not steps:
        return DelayEstimate()
    in_within = work.get((Timeliness.IN_TIME, False), 0.0)
    in_all = in_within + work.get((Timeliness.IN_TIME, True), 0.0)
    use_within = in_all + work.get((Timeliness.OF_USE, False), 0.0)
    use_all = use_within + work.get((Timeliness.OF_USE, True), 0.0)
    return DelayEstimate(
        QueueDelay(
            pool.estimate_min_wait(in_within), pool.estimate_min_wait(use_within)
        ),
        QueueDelay(pool.estimate_min_wait(in_all), pool.estimate_min_wait(use_all)),
        tuple(over)[:MAX_LISTED_TENANTS],
        round(use_all / max(pool.vms, pool.fleet) / steps, 5),
    )


@attrs.frozen(slots=True)
class OverloadRejection:
    """Why a job is rejected, and when its caller should retry.

    :param queue_delay: estimated queueing delay of the job.
    :param slack_s: longest wait in seconds that leaves its result useful.
    :param retry_after_s: seconds after which the caller should retry.
    """

    queue_delay: QueueDelay
    slack_s: float
    retry_after_s: int


@attrs.define
class AdmissionController:
    """Admits or rejects the jobs that are submitted to one node.

    Retry times are staggered: rejected callers retry in the order in which they were
    rejected, at the rate at which the backlog drains.
    """

    _retry_backlogs: dict[str, tuple[float, float]] = attrs.field(factory=dict)

    def check(
        self, submission: Submission, estimate: DelayEstimate, nodes: int, now: float
    ) -> OverloadRejection | None:
        """Check whether a job should be admitted.

        Scheduled jobs and jobs with long-running steps are always admitted.

        :param submission: the job.
        :param estimate: delay estimate of its shard.
        :param nodes: number of nodes that accept jobs; each of them rejects alike.
        :param now: monotonic seconds.
        :returns: the rejection, or ``None`` if the job is admitted.
        """
        if submission.times or any(step.long_running for step in submission.steps):
            return None
        objective_s, critical_path_s = _get_objective(submission)
        delay = estimate.get_delay(submission.tenant)
        slack_s = USEFUL_FACTOR * objective_s - critical_path_s
        if (
            delay.in_time_s <= objective_s - critical_path_s
            or delay.of_use_s <= slack_s
        ):
            return None
        shard = submission.policy.service
        last_s, at = self._retry_backlogs.get(shard, (0.0, now))
        # the backlog has drained since the last rejection
        behind_s = max(0.0, last_s - (now - at)) + estimate.job_s * max(1, nodes)
        self._retry_backlogs[shard] = (behind_s, now)
        wait_s = delay.of_use_s - slack_s + behind_s
        retry_after_s = min(max(math.ceil(wait_s), MIN_RETRY_S), MAX_RETRY_S)
        return OverloadRejection(delay, slack_s, retry_after_s)


def _get_objective(submission: Submission) -> tuple[float, float]:
    """Give objective and critical path of the declared run times, in seconds."""
    critical_path_s = (
        max(estimate_remaining_paths(submission.steps), default=0.0) / MS_PER_S
    )
    policy = submission.policy
    return policy.stretch * critical_path_s + policy.slo_ms / MS_PER_S, critical_path_s
