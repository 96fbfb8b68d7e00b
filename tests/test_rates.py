"""Jobs beyond a tenant's rate stand behind those of others, and use what is idle."""

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
from tests.test_shard import Bench

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


def test_rate_comes_back_with_time_and_no_more_than_a_burst_of_it() -> None:
    rates = build_rates()
    burst = int(4 * BURST_S)
    assert [rates.is_within("large", 10.0) for _ in range(99)].count(True) == burst
    assert [rates.is_within("large", 10.5) for _ in range(99)].count(True) == 2
    assert [rates.is_within("large", 99.0) for _ in range(99)].count(True) == burst


def test_steady_rate_is_within_for_ever() -> None:
    rates = build_rates()
    assert all(rates.is_within("large", 10.0 + number / 4) for number in range(400))


def test_jobs_of_nobody_have_no_rate() -> None:
    assert all(build_rates().is_within("", 10.0) for _ in range(100))


def add_jobs(bench: Bench, tenant: str, count: int, first: int) -> list[Job]:
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
        bench.shard.add_job(job, bench.now, WALL_MS)
        jobs.append(job)
    return jobs


@pytest.fixture
def bench() -> Bench:
    shard = Shard("s", epoch=3, claimed_at=50.0)
    shard.rates = build_rates()
    bench = Bench(shard)
    # room for eight tasks
    bench.add_worker("w1")
    return bench


def test_flood_of_one_tenant_does_not_push_another_back(bench: Bench) -> None:
    assert bench.shard.rates is not None
    for _ in range(int(4 * BURST_S)):
        bench.shard.rates.is_within("large", WALL_MS / 1000)
    flood = add_jobs(bench, "large", 40, 0)
    small = add_jobs(bench, "small", 1, 100)
    started = {order.task.job_id for order in bench.plan()}
    assert small[0].submission.job_id in started
    assert len(started) == 8
    assert all(job.beyond for job in flood)


def test_idle_room_is_used_by_jobs_beyond_the_rate_at_once(bench: Bench) -> None:
    add_jobs(bench, "small", 8, 0)
    assert len(bench.plan()) == 8


def test_without_rates_the_order_is_by_urgency_alone(bench: Bench) -> None:
    bench.shard.rates = None
    jobs = add_jobs(bench, "large", 8, 0)
    late = add_jobs(bench, "small", 1, 100)
    assert not any(job.beyond for job in [*jobs, *late])
    assert attrs.asdict(jobs[0].submission)["tenant"] == "large"
