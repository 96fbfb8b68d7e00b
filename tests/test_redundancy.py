"""Number of VMs with which a pool has room for its serving tasks after a loss."""

import attrs
import pytest

from onyxgap.jobs.messages import Step
from onyxgap.jobs.placing import StepKey
from onyxgap.jobs.placing import WorkerRecord
from onyxgap.jobs.redundancy import count_redundant_workers
from onyxgap.pools.allocation import PoolClaim
from onyxgap.pools.allocation import allocate_vms
from onyxgap.pools.messages import PoolReport
from onyxgap.pools.sizing import SCALE_DOWN_WINDOW_S
from onyxgap.pools.sizing import PoolSizer
from tests.test_shard import ENTRY

FIRST: StepKey = ("a" * 16, 0, 0)
SECOND: StepKey = ("b" * 16, 0, 0)
APART = Step(4, cpu=1000, memory_mb=1000, long_running=True, anti_affinity=1)
SMALL = attrs.evolve(APART, anti_affinity=0)
HALF = attrs.evolve(SMALL, memory_mb=ENTRY.memory_mb // 2)
LARGE = attrs.evolve(SMALL, memory_mb=ENTRY.memory_mb * 3 // 4)


@pytest.fixture
def records() -> list[WorkerRecord]:
    return [
        WorkerRecord(attrs.evolve(ENTRY, worker_id=f"w{number}"), held=True)
        for number in range(6)
    ]


@pytest.mark.parametrize(
    ("step", "expected"), [(APART, 5), (LARGE, 5), (SMALL, 0), (HALF, 0)]
)
def test_one_more_worker_is_needed_if_the_tasks_of_one_fit_beside_no_others(
    step: Step, expected: int, records: list[WorkerRecord]
) -> None:
    for record in records[:4]:
        record.reserve(step, FIRST)
    assert count_redundant_workers({FIRST: step}, records) == expected
    # the count is the same whether the pool has the worker or not
    assert count_redundant_workers({FIRST: step}, records[:4]) == expected


def test_tasks_of_two_steps_on_a_worker_need_room_together(
    records: list[WorkerRecord],
) -> None:
    steps = {FIRST: HALF, SECOND: HALF}
    for record in records[:2]:
        record.reserve(HALF, FIRST)
    assert count_redundant_workers(steps, records) == 0
    records[0].reserve(HALF, SECOND)
    assert count_redundant_workers(steps, records) == 3


def test_workers_that_are_cordoned_or_gone_are_not_counted(
    records: list[WorkerRecord],
) -> None:
    for record in records[:4]:
        record.reserve(APART, FIRST)
    records[0].cordoned = True
    records[1].registered = False
    assert count_redundant_workers({FIRST: APART}, records) == 3


def test_finite_tasks_need_no_room_after_a_loss(records: list[WorkerRecord]) -> None:
    finite = Step(4, cpu=64_000, memory_mb=1000)
    for record in records:
        record.reserve(finite, FIRST)
    assert count_redundant_workers({}, records) == 0


def test_vm_is_kept_for_a_loss_only_if_no_pool_claims_it() -> None:
    claims = {"a": PoolClaim(2, 4, redundant=5), "b": PoolClaim(3, 3)}
    assert allocate_vms(claims, 8) == {"a": 5, "b": 3}
    assert allocate_vms(claims, 7) == {"a": 4, "b": 3}
    claims["b"] = PoolClaim(3, 3, late=4)
    assert allocate_vms(claims, 8) == {"a": 4, "b": 4}
    claims["b"] = PoolClaim(6, 6)
    assert allocate_vms(claims, 8) == {"a": 2, "b": 6}


def test_vm_for_a_loss_is_kept_for_the_scale_down_window() -> None:
    sizer = PoolSizer()
    sizes = [
        sizer.choose_sizes(
            {"a": PoolReport("a", redundant_vms=vms)}, {"a": 4}, 24, now
        )["a"]
        for vms, now in ((5, 1.0), (0, 2.0), (0, 1.1 + SCALE_DOWN_WINDOW_S))
    ]
    assert sizes == [5, 5, 4]
