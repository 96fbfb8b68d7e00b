"""Workers whose capacity shrinks and grows again while they run."""

import attrs
import pytest

from onyxgap.jobs.messages import EndKind
from onyxgap.jobs.messages import Step
from onyxgap.jobs.shard import Shard
from tests.emulated import extend_day
from tests.emulated import play
from tests.test_shard import Bench

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
def bench() -> Bench:
    made = Bench(Shard("s", epoch=3, claimed_at=50.0))
    made.add_worker("w1", cpu=4000)
    return made


def resize(bench: Bench, cpu: int) -> None:
    entry = bench.shard.workers["w1"].entry
    bench.shard.observe_worker(attrs.evolve(entry, cpu=cpu), bench.now)


def test_nothing_starts_beyond_a_capacity_that_has_shrunk(bench: Bench) -> None:
    bench.add_job(Step(8, cpu=1000))
    first, second, *_ = bench.start_all()
    resize(bench, 2000)
    bench.report("w1", (first, EndKind.DONE), (second, EndKind.DONE))
    assert bench.plan() == []
    resize(bench, 4000)
    assert len(bench.plan()) == 2


def test_unguarded_worker_is_passed_over_until_it_tells_its_room_again(
    bench: Bench,
) -> None:
    bench.shard.set_room_validity(2.5)
    bench.add_job(Step(1, cpu=1000))
    # it may have shrunk before this owner took over
    assert bench.plan() == []
    resize(bench, 4000)
    assert len(bench.plan()) == 1
    bench.add_job(Step(1, cpu=1000), job_id="b" * 16)
    bench.now += 2.6
    bench.report("w1")
    assert bench.plan() == []
    resize(bench, 4000)
    assert len(bench.plan()) == 1


def test_worker_that_refuses_is_relied_on_without_end(bench: Bench) -> None:
    bench.add_job(Step(1, cpu=1000))
    bench.now += 60.0
    bench.report("w1")
    assert len(bench.plan()) == 1


def test_what_is_being_stopped_still_takes_room(bench: Bench) -> None:
    bench.add_job(Step(4, cpu=1000))
    bench.start_all()
    bench.shard.cancel("a" * 16)
    bench.shard.list_stops(bench.now)
    bench.add_job(Step(1, cpu=1000), job_id="b" * 16)
    assert bench.plan() == []


@pytest.mark.parametrize("name", DAYS)
def test_no_start_brings_an_unguarded_worker_over_its_capacity(name: str) -> None:
    day = extend_day("short", DAYS[name])
    pools = [attrs.evolve(line, guarded=0) for line in day.pools]
    result = play(attrs.evolve(day, pools=pools), seed=5)
    assert result.breaches == []
