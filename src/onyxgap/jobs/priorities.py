"""The order in which jobs get room; answers more work than the pool holds.

Jobs that can still meet their objective go first, by the latest moment at which
their next step must start. A job that is late anyway takes only what is left:
serving it first would make the next one late as well.
"""

import enum
import math
import typing as t

import attrs

from .job import Job
from .run_times import RunTimes

USE_FACTOR = 3.0
"""A result is of use to its caller up to this multiple of its objective."""
PRESSED_S = 2.5
"""A VM that is asked for serves 2.2 s later; tasks that can wait longer need none."""
TOLD_S = 0.05
"""Time until the end of a step is known and stored; a report and a transaction."""
MS = 1000.0
"""Milliseconds in a second."""


class Standing(enum.IntEnum):
    """What a job can still be to its caller; the least goes first."""

    IN_TIME = 0
    OF_USE = 1
    """Late, but not yet for nothing."""
    NO_USE = 2


class Urgency(t.NamedTuple):
    """Sort key of a step of a job; the least goes first.

    :param standing: what the job can still be to its caller.
    :param priority: priority of the queue, 0 first.
    :param latest_start: monotonic seconds by which the step must start for that.
    """

    standing: Standing
    priority: int
    latest_start: float

    @property
    def late(self) -> bool:
        """Whether the objective can no longer be met."""
        return self.standing is not Standing.IN_TIME


class Forecast(t.Protocol):
    """Foresees what a job can still be, and which of them are worth further VMs."""

    def is_worth_vms(self, urgency: Urgency, now: float) -> bool:
        """Tell whether a waiting step should have VMs that are not there yet.

        :param urgency: its rating.
        :param now: monotonic seconds.
        """

    def rate(self, job: Job, step: int, now: float) -> Urgency:
        """Rate a step that ends by itself and is ready to start.

        :param job: its job.
        :param step: its number.
        :param now: monotonic seconds.
        """


def get_objective(job: Job, factor: float = 1.0) -> float:
    """Give the monotonic second by which a job should have ended.

    :param job: the job.
    :param factor: multiple of its declared run times that it takes.
    """
    policy = job.submission.policy
    return job.seen_at + (policy.stretch * factor * job.chain_ms + policy.slo_ms) / MS


def get_use_end(job: Job, factor: float = 1.0) -> float:
    """Give the monotonic second after which a job's result is of no use.

    :param job: the job.
    :param factor: multiple of its declared run times that it takes.
    """
    return job.seen_at + USE_FACTOR * (get_objective(job, factor) - job.seen_at)


def _is_pressed(urgency: Urgency, now: float) -> bool:
    """Tell whether a step can be in time, but can't wait for VMs that come free."""
    return not urgency.late and urgency.latest_start - now < PRESSED_S


class DeclaredForecast:
    """Goes by declared run times; a job that is late stays of use."""

    def is_worth_vms(self, urgency: Urgency, now: float) -> bool:
        """Count what can be in time; what is late is served by what is left."""
        return _is_pressed(urgency, now)

    def rate(self, job: Job, step: int, now: float) -> Urgency:
        """Rate a step; see :meth:`Forecast.rate`."""
        latest = get_objective(job) - job.tails_ms[step] / MS
        standing = Standing.OF_USE if now > latest else Standing.IN_TIME
        return Urgency(standing, job.submission.policy.priority, latest)


@attrs.define
class LearnedForecast:
    """Goes by what tasks took; answers a queue that brings more than can be in time.

    There each job is started as late as it may be, and ends late where its orders wait
    for the store or its ends are told late. Those that are late go on while they are of
    use, the others take what is left. A job whose work takes longer than declared has a
    later objective, too, which is a multiple of its work; that the slowest of its tasks
    takes longer than the usual one is no reason to start it later.

    :param run_times: what the shard's tasks took.
    """

    run_times: RunTimes

    def is_worth_vms(self, urgency: Urgency, now: float) -> bool:
        """Count what can be in time or of use.

        Where callers compete, a backlog that asks for no VMs is never worked off while
        another pool keeps those of its last turn.
        """
        return urgency.standing is Standing.OF_USE or _is_pressed(urgency, now)

    def rate(self, job: Job, step: int, now: float) -> Urgency:
        """Rate a step; see :meth:`Forecast.rate`."""
        policy = job.submission.policy
        width = job.submission.steps[step].count
        factor = self.run_times.get_factor(policy.queue, width)
        steps_left = len(job.submission.steps) - step
        left_s = factor * job.tails_ms[step] / MS
        left_s += steps_left * (self.run_times.lag_s + TOLD_S)
        usual = self.run_times.get_factor(policy.queue, 1)
        use_end = get_use_end(job, usual)
        for standing, end in (
            (Standing.IN_TIME, get_objective(job, usual)),
            (Standing.OF_USE, use_end),
        ):
            if now <= end - left_s:
                return Urgency(standing, policy.priority, end - left_s)
        return Urgency(Standing.NO_USE, policy.priority, use_end - left_s)


DECLARED = DeclaredForecast()


def rate_urgency(
    job: Job, step: int, now: float, forecast: Forecast = DECLARED
) -> Urgency:
    """Rate a step that is ready to start.

    :param job: the job.
    :param step: number of the step.
    :param now: monotonic seconds.
    :param forecast: foresees what the job can still be.
    """
    if job.submission.steps[step].long_running:
        # each second that a serving task is away is lost for good
        priority = job.submission.policy.priority
        return Urgency(Standing.IN_TIME, priority, -math.inf)
    return forecast.rate(job, step, now)
