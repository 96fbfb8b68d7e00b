"""Fair sharing of a pool that is too small for all its tenants."""

import time

import attrs
import pytest

from onyxgap.jobs.amounts import Amount
from onyxgap.jobs.fair_shares import TenantDemand
from onyxgap.jobs.fair_shares import share_by_weight
from onyxgap.jobs.job import Job
from onyxgap.jobs.messages import EndKind
from onyxgap.jobs.messages import Step
from onyxgap.jobs.messages import Submission
from onyxgap.jobs.priorities import LearnedForecast
from onyxgap.jobs.run_times import RunTimes
from onyxgap.jobs.shard import Shard
from onyxgap.jobs.share_book import ShardShares
from onyxgap.jobs.shares import ShareEntry
from tests.test_shard import POLICY
from tests.test_shard import WALL_MS
from tests.test_shard import ShardHarness

STEP = Step(1, cpu=8000, memory_mb=100, estimate_ms=500)
"""A worker can run eight of them at once."""
WORKERS = 4
SLOTS = 8 * WORKERS
RUN_S = 0.5
TICK_S = 0.1


@pytest.mark.parametrize(
    ("claims", "parts"),
    [
        # what a tenant doesn't need goes to the others by weight
        ({"a": (1, 0.1), "b": (1, 2.0), "c": (2, 2.0)}, {"a": 0.1, "b": 0.3, "c": 0.6}),
        ({"a": (1, 0.2), "b": (1, 0.3)}, {"a": 0.2, "b": 0.3}),
        ({"a": (1, 9.0)}, {"a": 1.0}),
        ({}, {}),
    ],
)
def test_capacity_is_shared_by_weight(
    claims: dict[str, tuple[float, float]], parts: dict[str, float]
) -> None:
    found = share_by_weight(
        {name: TenantDemand(*claim) for name, claim in claims.items()}
    )
    assert found == pytest.approx(parts)


@attrs.define
class Workload:
    """Tenants that submit jobs at constant rates, with the jobs submitted so far."""

    harness: ShardHarness
    rates: dict[str, float]
    width: dict[str, int] = attrs.field(factory=dict)
    jobs: list[Job] = attrs.field(factory=list)
    _due_jobs: dict[str, float] = attrs.field(factory=dict)

    def add(self, tenant: str) -> Job:
        step = attrs.evolve(STEP, count=self.width.get(tenant, 1))
        submission = Submission(
            f"{len(self.jobs):016x}", POLICY, "spec", (step,), tenant=tenant
        )
        job = Job(attrs.evolve(submission, accepted_ms=int(WALL_MS)))
        self.harness.shard.add_job(job, self.harness.now, WALL_MS)
        job.accepted_at = self.harness.now
        self.jobs.append(job)
        return job

    def run_for(self, for_s: float) -> None:
        running: list[tuple[float, object]] = []
        end = self.harness.now + for_s
        while self.harness.now < end:
            for tenant, rate in self.rates.items():
                self._due_jobs[tenant] = self._due_jobs.get(tenant, 0.0) + rate * TICK_S
                while self._due_jobs[tenant] >= 1.0:
                    self._due_jobs[tenant] -= 1.0
                    self.add(tenant)
            start = self.harness.now
            running += [(start + RUN_S, order) for order in self.harness.start_all()]
            self.harness.now = start + TICK_S
            due = [order for at, order in running if at <= self.harness.now]
            running = [item for item in running if item[0] > self.harness.now]
            for order in due:
                self.harness.report(order.worker_id, (order, EndKind.DONE))  # type: ignore[attr-defined]
            self.harness.now = start + TICK_S

    def get_on_time_ratio(self, tenant: str) -> float:
        """Give the fraction of its jobs that were placed in time.

        Jobs of the last second don't count: they may still be placed in time.
        """
        own = [
            job
            for job in self.jobs
            if job.submission.tenant == tenant
            and job.accepted_at < self.harness.now - 1.0
        ]
        # objective 1.4 s, run 0.5 s
        on_time = [
            job
            for job in own
            if job.placed_at is not None and job.placed_at - job.accepted_at <= 0.9
        ]
        return len(on_time) / len(own)


def build_workload(weights: dict[str, float], rates: dict[str, float]) -> Workload:
    shard = Shard("s", epoch=3, claimed_at=50.0)
    shard.shares = ShardShares("s", 3)
    shard.find_weight = lambda tenant: weights[tenant]
    shard.forecast = LearnedForecast(RunTimes())
    harness = ShardHarness(shard)
    for number in range(WORKERS):
        harness.add_worker(f"w{number}")
    return Workload(harness, rates)


@pytest.mark.parametrize("floods", [1, 3, 10])
def test_overloading_tenants_do_not_delay_the_others(floods: int) -> None:
    """Usual rates need half of the capacity; some tenants submit six times theirs."""
    names = [f"t{number}" for number in range(20)]
    usual = SLOTS / RUN_S / 2 / len(names)
    rates = {
        name: usual * (6 if number < floods else 1) for number, name in enumerate(names)
    }
    workload = build_workload(dict.fromkeys(names, 1.0), rates)
    workload.run_for(6.0)
    for name in names[floods:]:
        assert workload.get_on_time_ratio(name) >= 0.95
    overloading = [workload.get_on_time_ratio(name) for name in names[:floods]]
    # overloading tenants get the capacity that the others leave
    assert min(overloading) > 0.1


def test_without_weights_an_overloading_tenant_delays_others() -> None:
    names = [f"t{number}" for number in range(5)]
    usual = SLOTS / RUN_S / 2 / len(names)
    rates = {name: usual * (12 if name == "t0" else 1) for name in names}
    workload = build_workload(dict.fromkeys(names, 1.0), rates)
    workload.harness.shard.find_weight = None
    workload.run_for(6.0)
    assert min(workload.get_on_time_ratio(name) for name in names[1:]) < 0.95


def test_small_tenant_with_wide_jobs_is_not_starved() -> None:
    weights = {"large": 20.0, "small": 1.0}
    workload = build_workload(weights, {"large": 200.0, "small": 0.5})
    workload.width["small"] = 12
    workload.run_for(6.0)
    assert workload.get_on_time_ratio("small") == 1.0


def test_large_tenant_alone_uses_the_whole_pool() -> None:
    workload = build_workload({"large": 1.0}, {"large": 500.0})
    workload.run_for(2.0)
    workload.harness.plan()
    used = sum(item.cpu_used for item in workload.harness.shard.workers.values())
    assert used == SLOTS * STEP.cpu


def test_tenant_that_uses_much_of_other_pools_gets_less() -> None:
    workload = build_workload({"a": 1.0, "b": 1.0}, {})
    shard_shares = workload.harness.shard.shares
    assert shard_shares is not None
    held = Amount(cpu=SLOTS * STEP.cpu, memory_mb=1000)
    shard_shares.observe("a", {"other": ShareEntry(held, held, 1)}, 1)
    for _ in range(4 * SLOTS):
        workload.add("a")
        workload.add("b")
    workload.harness.plan()
    placed = [
        job.submission.tenant for job in workload.jobs if job.placed_at is not None
    ]
    assert placed.count("b") == SLOTS


def test_shares_are_not_applied_if_the_pool_has_capacity_for_all() -> None:
    workload = build_workload({"a": 1.0, "b": 9.0}, {})
    for _ in range(SLOTS):
        workload.add("a")
    workload.harness.plan()
    assert workload.harness.shard.beyond == 0


def test_shares_are_not_applied_while_all_jobs_can_be_in_time() -> None:
    workload = build_workload({"a": 1.0, "b": 9.0}, {})
    # two rounds of half a second each, before objectives of 1.4 s
    for _ in range(2 * SLOTS):
        workload.add("a")
    workload.add("b")
    workload.harness.plan()
    assert workload.harness.shard.beyond == 0
    for _ in range(2 * SLOTS):
        workload.add("a")
    workload.harness.plan()
    assert workload.harness.shard.beyond > 0


def test_scheduling_pass_is_quick_with_a_long_backlog() -> None:
    names = [f"t{number}" for number in range(20)]
    workload = build_workload(dict.fromkeys(names, 1.0), {})
    for number in range(5_000):
        workload.add(names[number % 20])
    workload.harness.plan()
    started = time.process_time()
    workload.harness.plan()
    assert (time.process_time() - started) / 5_000 < 0.0002
