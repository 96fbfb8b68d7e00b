"""Tests that jobs over a tenant's rate go after others and use idle capacity."""

import attrs
import pytest

from onyxgap.jobs.job import Job
from onyxgap.jobs.messages import Step
from onyxgap.jobs.messages import Submission
from onyxgap.jobs.rates import BURST_S
from onyxgap.jobs.rates import TenantRates
from onyxgap.jobs.shard import Shard
from tests.test_shard import POLICY
from tests.test_shard import WALL_MS
from tests.test_shard import ShardHarness

WEIGHTS = {"large": 4.0, "small": 1.0}
STEP = Step(1, cpu=8000, memory_mb=100, estimate_ms=500)


def build_rates() -> TenantRates:
    return TenantRates(lambda tenant: WEIGHTS[tenant])


@pytest.mark.parametrize("tenant", ["large", "small"])
def test_short_burst_is_within_the_rate(tenant: str) -> None:
    rates = build_rates()
    within = int(WEIGHTS[tenant] * BURST_S)
    found = [rates.is_within(tenant, 10.0) for _ in range(within + 7)]
    assert found == [True] * within + [False] * 7


def test_tokens_refill_over_time_up_to_the_burst() -> None:
    rates = build_rates()
    burst = int(4 * BURST_S)
    assert [rates.is_within("large", 10.0) for _ in range(99)].count(True) == burst
    assert [rates.is_within("large", 10.5) for _ in range(99)].count(True) == 2
    assert [rates.is_within("large", 99.0) for _ in range(99)].count(True) == burst


def test_steady_submissions_at_the_rate_stay_within_it() -> None:
    rates = build_rates()
    assert all(rates.is_within("large", 10.0 + number / 4) for number in range(400))


def test_jobs_without_tenant_have_no_rate_limit() -> None:
    assert all(build_rates().is_within("", 10.0) for _ in range(100))


def add_jobs(harness: ShardHarness, tenant: str, count: int, first: int) -> list[Job]:
    jobs = []
    for number in range(first, first + count):
        submission = Submission(
            f"{number:016x}",
            POLICY,
            "spec",
            (STEP,),
            accepted_ms=int(WALL_MS),
            tenant=tenant,
        )
        job = Job(submission)
        harness.shard.add_job(job, harness.now, WALL_MS)
        jobs.append(job)
    return jobs


@pytest.fixture
def harness() -> ShardHarness:
    shard = Shard("s", epoch=3, claimed_at=50.0)
    shard.rates = build_rates()
    harness = ShardHarness(shard)
    # capacity for eight tasks
    harness.add_worker("w1")
    return harness


def test_overload_by_one_tenant_does_not_delay_another(harness: ShardHarness) -> None:
    assert harness.shard.rates is not None
    for _ in range(int(4 * BURST_S)):
        harness.shard.rates.is_within("large", WALL_MS / 1000)
    over_rate = add_jobs(harness, "large", 40, 0)
    small = add_jobs(harness, "small", 1, 100)
    started = {order.task.job_id for order in harness.plan()}
    assert small[0].submission.job_id in started
    assert len(started) == 8
    assert all(job.beyond for job in over_rate)


def test_jobs_over_the_rate_use_idle_capacity_at_once(harness: ShardHarness) -> None:
    add_jobs(harness, "small", 8, 0)
    assert len(harness.plan()) == 8


def test_without_rates_the_order_is_by_urgency_alone(harness: ShardHarness) -> None:
    harness.shard.rates = None
    jobs = add_jobs(harness, "large", 8, 0)
    late = add_jobs(harness, "small", 1, 100)
    assert not any(job.beyond for job in [*jobs, *late])
    assert attrs.asdict(jobs[0].submission)["tenant"] == "large"
