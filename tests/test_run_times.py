"""Measured run times of tasks, and the urgency of jobs that is computed from them."""

import math
import random

import attrs
import pytest

from onyxgap.jobs.job import Job
from onyxgap.jobs.messages import Step
from onyxgap.jobs.messages import Submission
from onyxgap.jobs.priorities import DECLARED_FORECAST
from onyxgap.jobs.priorities import LearnedForecast
from onyxgap.jobs.priorities import Timeliness
from onyxgap.jobs.priorities import rate_urgency
from onyxgap.jobs.run_times import MAX_FACTOR
from onyxgap.jobs.run_times import MIN_SAMPLES
from onyxgap.jobs.run_times import WINDOW_SIZE
from onyxgap.jobs.run_times import RunTimes
from tests.test_shard import POLICY

STEP = Step(8, cpu=1500, memory_mb=100, estimate_ms=1000)


def record_run_times(
    times: RunTimes, factor: float, count: int = WINDOW_SIZE, tail: float = 0
) -> None:
    rng = random.Random(1)
    for _ in range(count):
        ratio = factor * math.exp(rng.gauss(0, 0.05))
        if rng.random() < tail:
            ratio *= 7
        times.record_run_time("q", 1000, ratio * 1000)


@pytest.mark.parametrize("factor", [0.5, 1.0, 2.0])
def test_wrong_estimates_are_corrected(factor: float) -> None:
    times = RunTimes()
    record_run_times(times, factor)
    assert times.get_factor("q", 1) == pytest.approx(factor, rel=0.05)


def test_wide_steps_take_as_long_as_their_slowest_task() -> None:
    times = RunTimes()
    record_run_times(times, 1.0)
    factors = [times.get_factor("q", width) for width in (1, 8, 32)]
    assert factors == sorted(factors)
    assert factors[2] > 1.05


def test_few_stragglers_do_not_raise_the_factor_of_narrow_steps() -> None:
    times = RunTimes()
    record_run_times(times, 1.0, tail=0.03)
    assert times.get_factor("q", 8) < 1.2
    # a step of 32 tasks has a straggler more often than not
    assert times.get_factor("q", 32) == MAX_FACTOR


def test_estimates_are_unchanged_below_the_minimum_of_samples() -> None:
    times = RunTimes()
    record_run_times(times, 3.0, MIN_SAMPLES - 1)
    assert times.get_factor("q", 1) == 1.0
    assert times.get_factor("other", 1) == 1.0


def test_old_run_times_are_forgotten() -> None:
    times = RunTimes()
    record_run_times(times, 3.0)
    record_run_times(times, 1.0)
    assert times.get_factor("q", 1) == pytest.approx(1.0, rel=0.05)


@pytest.fixture
def job() -> Job:
    job = Job(Submission("a" * 16, POLICY, "spec", (attrs.evolve(STEP, count=1),)))
    # objective: 1.6 times the 1 s of its run, plus 0.6 s; useful for three times that
    job.accepted_at = 100.0
    return job


@pytest.mark.parametrize(
    ("now", "standing"),
    [
        (100.0, Timeliness.IN_TIME),
        (101.1, Timeliness.IN_TIME),
        (101.3, Timeliness.OF_USE),
        (105.5, Timeliness.OF_USE),
        (105.7, Timeliness.NO_USE),
    ],
)
def test_timeliness_of_a_job(job: Job, now: float, standing: Timeliness) -> None:
    forecast = LearnedForecast(RunTimes())
    assert rate_urgency(job, 0, now, forecast).standing is standing


def test_objective_of_longer_work_is_later(job: Job) -> None:
    times = RunTimes()
    record_run_times(times, 2.0)
    # objective: 3.2 s plus 0.6 s, of which the run takes 2 s
    urgency = rate_urgency(job, 0, 101.5, LearnedForecast(times))
    assert urgency.standing is Timeliness.IN_TIME
    assert urgency.latest_start == pytest.approx(101.75, abs=0.1)


def test_start_lag_reduces_the_slack(job: Job) -> None:
    times = RunTimes()
    for _ in range(200):
        times.note_start(0.4)
    urgency = rate_urgency(job, 0, 100.9, LearnedForecast(times))
    assert urgency.standing is Timeliness.OF_USE
    without_lag = rate_urgency(job, 0, 100.9, LearnedForecast(RunTimes()))
    assert without_lag.standing is Timeliness.IN_TIME


def test_late_jobs_never_expire_by_the_declared_forecast(job: Job) -> None:
    assert rate_urgency(job, 0, 199.0, DECLARED_FORECAST).standing is Timeliness.OF_USE


def test_long_running_steps_go_first_regardless_of_run_times(job: Job) -> None:
    step = attrs.evolve(STEP, long_running=True)
    serving = Job(attrs.evolve(job.submission, steps=(step,)))
    urgency = rate_urgency(serving, 0, 999.0, LearnedForecast(RunTimes()))
    assert urgency.standing is Timeliness.IN_TIME
    assert urgency.latest_start == -math.inf
