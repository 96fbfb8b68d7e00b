"""Deadline-based scheduling order of steps when a pool is overloaded.

Jobs that can still meet their objectives go first, ordered by the latest start of their
next step. A late job gets only the remaining capacity: running it first would make the
next job late as well.
"""

import enum
import math
import typing as t

import attrs

from .job import Job
from .run_times import RunTimes

USEFUL_FACTOR = 3.0
"""A result is useful to its caller up to this multiple of its objective."""
SCALE_UP_SLACK_S = 2.5
"""Steps with more slack don't request VMs: a VM runs tasks 2.2 s after the request."""
END_REPORT_S = 0.05
"""Time until the end of a step is known and stored: one report, one transaction."""
MS_PER_S = 1000.0


class Timeliness(enum.IntEnum):
    """Whether a job can still end in time; lower values go first."""

    IN_TIME = 0
    """Can meet its objective."""
    OF_USE = 1
    """Late, but its result is still useful."""
    NO_USE = 2
    """Expired: its result will be useless."""


class Urgency(t.NamedTuple):
    """Sort key of a step; lower values go first.

    :param standing: whether the job can still end in time.
    :param priority: priority of the queue, 0 first.
    :param latest_start: monotonic seconds by which the step must start to keep this
        standing; for an expired job, the latest start that would have been useful. With
        :class:`DeclaredForecast`, a late job keeps the latest start that would have met
        its objective.
    """

    standing: Timeliness
    priority: int
    latest_start: float

    @property
    def late(self) -> bool:
        """Whether the job can no longer meet its objective."""
        return self.standing is not Timeliness.IN_TIME


class Forecast(t.Protocol):
    """Predicts whether jobs end in time and which steps justify more VMs."""

    def justifies_more_vms(self, urgency: Urgency, now: float) -> bool:
        """Tell whether a waiting step justifies adding VMs to the pool.

        :param urgency: its urgency.
        :param now: monotonic seconds.
        """

    def rate(self, job: Job, step: int, now: float) -> Urgency:
        """Rate the urgency of a ready step that is not long-running.

        :param job: its job.
        :param step: its number.
        :param now: monotonic seconds.
        """


def get_slo_deadline(job: Job, factor: float = 1.0) -> float:
    """Give the monotonic second by which a job should have ended.

    :param job: the job.
    :param factor: ratio of its actual to its declared run times.
    """
    policy = job.submission.policy
    return (
        job.accepted_at
        + (policy.stretch * factor * job.critical_path_ms + policy.slo_ms) / MS_PER_S
    )


def get_expiry(job: Job, factor: float = 1.0) -> float:
    """Give the monotonic second after which a job's result is useless.

    :param job: the job.
    :param factor: ratio of its actual to its declared run times.
    """
    return job.accepted_at + USEFUL_FACTOR * (
        get_slo_deadline(job, factor) - job.accepted_at
    )


def _lacks_slack(urgency: Urgency, now: float) -> bool:
    """Tell whether a step can be in time, but not if it waits for a VM to be free."""
    return not urgency.late and urgency.latest_start - now < SCALE_UP_SLACK_S


class DeclaredForecast:
    """Uses declared run times; late jobs never expire."""

    def justifies_more_vms(self, urgency: Urgency, now: float) -> bool:
        """Tell whether a step can be in time but is short of slack.

        Late steps get the remaining capacity.
        """
        return _lacks_slack(urgency, now)

    def rate(self, job: Job, step: int, now: float) -> Urgency:
        """Rate a step; see :meth:`Forecast.rate`."""
        latest = get_slo_deadline(job) - job.remaining_path_ms[step] / MS_PER_S
        standing = Timeliness.OF_USE if now > latest else Timeliness.IN_TIME
        return Urgency(standing, job.submission.policy.priority, latest)


@attrs.define
class LearnedForecast:
    """Uses measured run times, for pools with more work than can be in time.

    In such a pool every job starts as late as it may, so a start order that waits for
    the store or an end that is reported late makes it miss its objective; both delays
    are therefore part of the estimate. Late jobs continue while they are useful,
    expired ones get the remaining capacity.

    The objective is a multiple of the job's work. A job that runs longer than declared
    therefore has a later objective. This uses the median run time of a single task: a
    wide step that takes longer because of its slowest task must not start later.

    :param run_times: measured run times of the shard's tasks.
    """

    run_times: RunTimes

    def justifies_more_vms(self, urgency: Urgency, now: float) -> bool:
        """Tell whether a step is short of slack, or late but still useful.

        Where callers compete, a backlog that requests no VMs is never worked off while
        another pool keeps the VMs of its last burst.
        """
        return urgency.standing is Timeliness.OF_USE or _lacks_slack(urgency, now)

    def rate(self, job: Job, step: int, now: float) -> Urgency:
        """Rate a step; see :meth:`Forecast.rate`."""
        policy = job.submission.policy
        width = job.submission.steps[step].count
        factor = self.run_times.get_factor(policy.queue, width)
        steps_left = len(job.submission.steps) - step
        left_s = factor * job.remaining_path_ms[step] / MS_PER_S
        left_s += steps_left * (self.run_times.lag_s + END_REPORT_S)
        median_factor = self.run_times.get_factor(policy.queue, 1)
        expiry = get_expiry(job, median_factor)
        for standing, end in (
            (Timeliness.IN_TIME, get_slo_deadline(job, median_factor)),
            (Timeliness.OF_USE, expiry),
        ):
            if now <= end - left_s:
                return Urgency(standing, policy.priority, end - left_s)
        return Urgency(Timeliness.NO_USE, policy.priority, expiry - left_s)


DECLARED_FORECAST = DeclaredForecast()


def rate_urgency(
    job: Job, step: int, now: float, forecast: Forecast = DECLARED_FORECAST
) -> Urgency:
    """Rate the urgency of a step that is ready to start.

    :param job: the job.
    :param step: number of the step.
    :param now: monotonic seconds.
    :param forecast: predicts whether the job ends in time.
    """
    if job.submission.steps[step].long_running:
        # a serving task can't make up for the time in which it is down
        priority = job.submission.policy.priority
        return Urgency(Timeliness.IN_TIME, priority, -math.inf)
    return forecast.rate(job, step, now)
