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
    """Foresees what a job can still be."""

    def rate(self, job: Job, step: int, now: float) -> Urgency:
        """Rate a step that ends by itself and is ready to start.

        :param job: its job.
        :param step: its number.
        :param now: monotonic seconds.
        """


def get_objective(job: Job) -> float:
    """Give the monotonic second by which a job should have ended.

    :param job: the job.
    """
    policy = job.submission.policy
    return job.seen_at + (policy.stretch * job.chain_ms + policy.slo_ms) / MS


def get_use_end(job: Job) -> float:
    """Give the monotonic second after which a job's result is of no use.

    :param job: the job.
    """
    return job.seen_at + USE_FACTOR * (get_objective(job) - job.seen_at)


class DeclaredForecast:
    """Goes by declared run times; a job that is late stays of use."""

    def rate(self, job: Job, step: int, now: float) -> Urgency:
        """Rate a step; see :meth:`Forecast.rate`."""
        latest = get_objective(job) - job.tails_ms[step] / MS
        standing = Standing.OF_USE if now > latest else Standing.IN_TIME
        return Urgency(standing, job.submission.policy.priority, latest)


@attrs.define
class LearnedForecast:
    """Goes by what tasks took; answers a queue that brings more than can be in time.

    There each job is started as late as it may be, and ends late if its tasks take a
    little longer than declared. Those that are late go on while they are of use, the
    others take what is left.

    :param run_times: what the shard's tasks took.
    """

    run_times: RunTimes

    def rate(self, job: Job, step: int, now: float) -> Urgency:
        """Rate a step; see :meth:`Forecast.rate`."""
        policy = job.submission.policy
        width = job.submission.steps[step].count
        factor = self.run_times.get_factor(policy.queue, width)
        left_s = factor * job.tails_ms[step] / MS
        for standing, end in (
            (Standing.IN_TIME, get_objective(job)),
            (Standing.OF_USE, get_use_end(job)),
        ):
            if now <= end - left_s:
                return Urgency(standing, policy.priority, end - left_s)
        return Urgency(Standing.NO_USE, policy.priority, get_use_end(job) - left_s)


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
