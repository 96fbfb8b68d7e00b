"""Admission control: rejection of jobs that would wait too long, and retry times."""

import attrs
import pytest

from onyxgap.jobs import tables
from onyxgap.jobs.admission import MAX_RETRY_S
from onyxgap.jobs.admission import SCALE_UP_S
from onyxgap.jobs.admission import AdmissionController
from onyxgap.jobs.admission import DelayEstimate
from onyxgap.jobs.admission import PoolCapacity
from onyxgap.jobs.admission import QueueDelay
from onyxgap.jobs.admission import decode_delay_estimate
from onyxgap.jobs.admission import encode_delay_estimate
from onyxgap.jobs.job import Job
from onyxgap.jobs.messages import Step
from onyxgap.jobs.messages import Submission
from onyxgap.jobs.tables import OwnerRow
from tests.emulated import extend_day
from tests.emulated import play
from tests.test_fair_shares import RUN_S
from tests.test_fair_shares import SLOTS
from tests.test_fair_shares import build_workload
from tests.test_shard import POLICY

STEP = Step(1, cpu=8000, memory_mb=100, estimate_ms=1000)
JOB = Submission("a" * 16, POLICY, "spec", (STEP,), tenant="small")
"""Its objective is 2.2 s. It is useful for 6.6 s, the last 1 s of which is its run."""
LONG_DELAY = QueueDelay(3.0, 9.0)

OVERLOAD_SEEDS = range(1, 7)


@pytest.mark.parametrize(
    ("line", "refused"),
    [
        (QueueDelay(), False),
        # in time, however many late jobs are waiting
        (QueueDelay(1.0, 99.0), False),
        # late, but useful
        (QueueDelay(3.0, 5.0), False),
        (QueueDelay(3.0, 5.7), True),
    ],
)
def test_job_is_rejected_only_if_its_result_would_be_useless(
    line: QueueDelay, refused: bool
) -> None:
    overload = AdmissionController().check(JOB, DelayEstimate(within=line), 1, 10.0)
    assert (overload is not None) is refused


def test_tenant_over_its_share_has_a_delay_of_its_own() -> None:
    estimate = DelayEstimate(beyond=LONG_DELAY, over=("large",))
    assert AdmissionController().check(JOB, estimate, 1, 10.0) is None
    large = attrs.evolve(JOB, tenant="large")
    assert AdmissionController().check(large, estimate, 1, 10.0) is not None


@pytest.mark.parametrize(
    "job",
    [
        attrs.evolve(JOB, times=3, interval_ms=1000),
        attrs.evolve(JOB, steps=(attrs.evolve(STEP, long_running=True),)),
    ],
)
def test_scheduled_and_long_running_jobs_are_always_admitted(job: Submission) -> None:
    assert (
        AdmissionController().check(job, DelayEstimate(within=LONG_DELAY), 1, 10.0)
        is None
    )


def list_retry_times(
    admission: AdmissionController, count: int, now: float
) -> list[int]:
    estimate = DelayEstimate(within=LONG_DELAY, job_s=0.05)
    rejections = [admission.check(JOB, estimate, 10, now) for _ in range(count)]
    return [item.retry_after_s for item in rejections if item is not None]


def test_rejected_callers_retry_in_the_order_of_rejection() -> None:
    retries = list_retry_times(AdmissionController(), 12, 10.0)
    assert len(retries) == 12
    assert retries == sorted(retries)
    assert retries[0] < retries[-1] <= MAX_RETRY_S


def test_retry_time_starts_over_once_the_backlog_has_drained() -> None:
    admission = AdmissionController()
    first = list_retry_times(admission, 6, 10.0)
    assert list_retry_times(admission, 1, 30.0)[0] == first[0]


def test_delay_estimate_round_trips_through_the_owner_row() -> None:
    estimate = DelayEstimate(QueueDelay(0.5, 1.5), LONG_DELAY, ("large",), 0.02)
    row = OwnerRow("n", "b", 3, outlook=encode_delay_estimate(estimate))
    read = tables.decode_owner(tables.encode_owner(row))
    assert decode_delay_estimate(read.outlook) == estimate
    assert encode_delay_estimate(DelayEstimate()) == {}
    assert decode_delay_estimate({}) == DelayEstimate()


def test_only_the_overloading_tenant_gets_a_long_delay() -> None:
    workload = build_workload({"large": 1.0, "small": 1.0}, {})
    shard = workload.harness.shard
    shard.run_times = shard.forecast.run_times  # type: ignore[attr-defined]
    for _ in range(20 * SLOTS):
        workload.add("large")
    small: list[Job] = [workload.add("small") for _ in range(4)]
    workload.harness.plan()
    estimate = shard.build_delay_estimate(workload.harness.now)
    assert estimate.over == ("large",)
    # the tasks over the share occupy the whole pool for 18 rounds of 0.5 s
    assert estimate.beyond.in_time_s == pytest.approx(18.9 * RUN_S, rel=0.1)
    assert estimate.within.in_time_s < 0.6 * RUN_S
    assert all(job.placed_at is not None for job in small)


def test_invariants_hold_while_an_overload_is_rejected() -> None:
    extra_load = "load ring every 0.015 from 5 to 8 width 8 cpu 8 work 1.5"
    day = extend_day("tenants", "contended", extra_load)
    results = [play(day, seed) for seed in OVERLOAD_SEEDS]
    assert [result.breaches for result in results] == [[]] * len(results)
    # a day has a few refusals or none; on average each has one at least
    assert sum(result.account.refused for result in results) >= len(results)


@pytest.mark.parametrize(
    ("room", "work_s", "wait_s"),
    [
        (PoolCapacity(10), 20.0, 2.0),
        (PoolCapacity(10), 60.0, 6.0),
        # all VMs of the fleet may join the pool once they have moved
        (PoolCapacity(10, 100), 20.0, 2.0),
        (PoolCapacity(10, 100), 22.0 + 100.0, SCALE_UP_S + 1.0),
        (PoolCapacity(100, 10), 600.0, 6.0),
    ],
)
def test_vms_that_may_join_shorten_the_estimated_wait(
    room: PoolCapacity, work_s: float, wait_s: float
) -> None:
    assert room.estimate_min_wait(work_s) == pytest.approx(wait_s)
