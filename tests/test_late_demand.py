"""Number of VMs that a pool needs so that its late tasks go on."""

import typing as t

import attrs
import pytest

from onyxgap.jobs.amounts import Amount
from onyxgap.jobs.late_demand import LateDemand
from onyxgap.jobs.messages import Step
from onyxgap.jobs.placing import WorkerRecord
from onyxgap.jobs.shard import Shard
from tests.test_shard import ENTRY
from tests.test_shard import ShardHarness

STEP_KEY = ("a" * 16, 0, 0)
OTHER_KEY = ("b" * 16, 0, 0)
NOW = 100.0
SERVING = Step(1, cpu=1000, memory_mb=ENTRY.memory_mb, long_running=True)
LATE = Step(8, cpu=8000, memory_mb=1000)


@pytest.fixture
def records() -> list[WorkerRecord]:
    """Three workers, all full of serving tasks."""
    records = [
        WorkerRecord(attrs.evolve(ENTRY, worker_id=f"w{number}"), held=True)
        for number in range(3)
    ]
    for record in records:
        record.reserve(SERVING, OTHER_KEY)
    return records


def count_vms(
    records: t.Collection[WorkerRecord], step: Step = LATE, fraction: float = 0.1
) -> int:
    demand = LateDemand(records, NOW)
    demand.add_step(step, STEP_KEY, fraction)
    return demand.count_vms()


@pytest.mark.parametrize(("fraction", "needed"), [(0.1, 4), (4.0, 4), (4.1, 5)])
def test_late_tasks_of_a_full_pool_need_at_least_one_more_vm(
    records: list[WorkerRecord], fraction: float, needed: int
) -> None:
    assert count_vms(records, fraction=fraction) == needed


def test_late_tasks_need_no_vm_while_a_worker_has_room(
    records: list[WorkerRecord],
) -> None:
    records[1].free(SERVING, OTHER_KEY)
    assert count_vms(records) == 0


def test_cordoned_worker_gives_no_room_and_is_not_counted(
    records: list[WorkerRecord],
) -> None:
    records[1].free(SERVING, OTHER_KEY)
    records[1].cordoned = True
    assert count_vms(records) == 3


@pytest.mark.parametrize(
    "changes", [{"requires": "other"}, {"cpu": ENTRY.cpu + 1, "fills": False}]
)
def test_no_vm_is_needed_for_a_task_that_runs_on_no_worker_of_the_pool(
    records: list[WorkerRecord], changes: dict[str, t.Any]
) -> None:
    assert count_vms(records, attrs.evolve(LATE, **changes)) == 0


def test_steps_apart_from_their_own_tasks_are_told_from_each_other(
    records: list[WorkerRecord],
) -> None:
    apart = attrs.evolve(LATE, anti_affinity=1)
    records[0].free(SERVING, OTHER_KEY)
    records[0].reserve(apart, STEP_KEY)
    demand = LateDemand(records, NOW)
    demand.add_step(apart, OTHER_KEY, 0.1)
    assert demand.count_vms() == 0
    demand.add_step(apart, STEP_KEY, 0.1)
    assert demand.count_vms() == 4


def test_report_of_a_shard_names_the_vms_of_late_tasks_only() -> None:
    harness = ShardHarness(Shard("s", epoch=3, claimed_at=50.0))
    harness.add_worker("w1")
    harness.add_job(SERVING, job_id="b" * 16)
    assert len(harness.start_all()) == 1
    harness.add_job(LATE)
    assert harness.start_all() == []
    assert harness.shard.build_report(harness.now).late_vms == 0
    assert harness.shard.build_report(harness.now + 1000.0).late_vms == 2


class FixedShares:
    """Shares that allow each start, or none.

    :param within: whether they do.
    """

    def __init__(self, within: bool) -> None:
        self.within = within

    def admits(self, tenant: str, amount: Amount) -> bool:
        return self.within


@pytest.mark.parametrize(("within", "late_vms"), [(True, 2), (False, 0)])
def test_vm_is_requested_for_a_late_job_once_its_cap_holds_it_back_no_longer(
    within: bool, late_vms: int
) -> None:
    harness = ShardHarness(Shard("s", epoch=3, claimed_at=50.0))
    harness.add_worker("w1")
    harness.add_job(SERVING, job_id="b" * 16)
    harness.start_all()
    job = harness.add_job(LATE)
    assert harness.plan() == []
    job.capped_at = harness.now
    shares: t.Any = FixedShares(within)
    harness.shard.shares = shares
    assert harness.shard.build_report(harness.now + 1000.0).late_vms == late_vms
