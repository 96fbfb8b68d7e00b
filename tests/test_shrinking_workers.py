"""Tests workers whose capacity shrinks and grows again while they run.

Guards against overcommitted workers: unguarded ones start whatever they are ordered to,
so the owner must not place tasks by a registration that may be outdated.
"""

import attrs
import pytest

from onyxgap.jobs.messages import EndKind
from onyxgap.jobs.messages import Step
from onyxgap.jobs.shard import Shard
from tests.emulated import extend_day
from tests.emulated import play
from tests.test_shard import ShardHarness

SHRINKS = "\n".join(
    f"at {at} shrink vm {pool} for 9 by 0.3"
    for at in (4, 4.5, 8, 9)
    for pool in ("ring", "herd")
)
DAYS = {
    "calm": SHRINKS,
    "owner killed": f"{SHRINKS}\nat 6 kill owner ring for 2",
    "owner cut from store": f"{SHRINKS}\nat 5 cut owner ring for 7",
    "owner frozen": f"{SHRINKS}\nat 5 freeze owner ring for 6",
    "store down": f"{SHRINKS}\nat 4 down store for 6",
    "store slow": f"{SHRINKS}\nat 4 slow store for 6 by 40",
    "feeds deaf": f"{SHRINKS}\nat 4 deaf store for 3",
    "orders late": f"{SHRINKS}\nat 4 late orders for 6 by 0.3",
    "answers lost": f"{SHRINKS}\nat 4 lose orders for 6 by 0.3",
}


@pytest.fixture
def harness() -> ShardHarness:
    harness = ShardHarness(Shard("s", epoch=3, claimed_at=50.0))
    harness.add_worker("w1", cpu=4000)
    return harness


def resize(harness: ShardHarness, cpu: int) -> None:
    entry = harness.shard.workers["w1"].entry
    harness.shard.observe_worker(attrs.evolve(entry, cpu=cpu), harness.now)


def test_nothing_starts_above_a_reduced_capacity(harness: ShardHarness) -> None:
    harness.add_job(Step(8, cpu=1000))
    first, second, *_ = harness.start_all()
    resize(harness, 2000)
    harness.report("w1", (first, EndKind.DONE), (second, EndKind.DONE))
    assert harness.plan() == []
    resize(harness, 4000)
    assert len(harness.plan()) == 2


def test_unguarded_worker_is_skipped_until_it_registers_its_capacity_again(
    harness: ShardHarness,
) -> None:
    harness.shard.set_capacity_validity(2.5)
    harness.add_job(Step(1, cpu=1000))
    # The worker may have shrunk before this owner claimed the shard.
    assert harness.plan() == []
    resize(harness, 4000)
    assert len(harness.plan()) == 1
    harness.add_job(Step(1, cpu=1000), job_id="b" * 16)
    harness.now += 2.6
    harness.report("w1")
    assert harness.plan() == []
    resize(harness, 4000)
    assert len(harness.plan()) == 1


def test_capacity_of_a_guarded_worker_does_not_expire(harness: ShardHarness) -> None:
    harness.add_job(Step(1, cpu=1000))
    harness.now += 60.0
    harness.report("w1")
    assert len(harness.plan()) == 1


def test_runs_being_stopped_still_occupy_capacity(harness: ShardHarness) -> None:
    harness.add_job(Step(4, cpu=1000))
    harness.start_all()
    harness.shard.cancel("a" * 16)
    harness.shard.list_stops(harness.now)
    harness.add_job(Step(1, cpu=1000), job_id="b" * 16)
    assert harness.plan() == []


@pytest.mark.parametrize("name", DAYS)
def test_no_start_overcommits_an_unguarded_worker(name: str) -> None:
    day = extend_day("short", DAYS[name])
    pools = [attrs.evolve(line, guarded=0) for line in day.pools]
    result = play(attrs.evolve(day, pools=pools), seed=5)
    assert result.breaches == []
