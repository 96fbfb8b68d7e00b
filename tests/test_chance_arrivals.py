"""Jobs that arrive by chance between bursts, and the pool sizes that follow."""

import attrs
import pytest

from onyxgap.pools.messages import PoolReport
from onyxgap.pools.sizing import PoolSizer
from onyxgap.standins.emulator.script import LoadLine
from tests.emulated import load_day
from tests.emulated import play

BASE = {"small": 30, "large": 30}
FLEET_VMS = 80
BURST_VMS = 20.0
"""VM seconds of work a second that arrive in a burst."""


def report_arrivals(shard: str, jobs: int, vm_seconds: float) -> PoolReport:
    return attrs.evolve(
        PoolReport(shard, epoch=1), arrived_jobs=jobs, offered=vm_seconds
    )


@pytest.fixture
def sizer() -> PoolSizer:
    """Return a sizer that has seen a burst of another pool end."""
    sizer = PoolSizer()
    sizer.choose_sizes({}, BASE, FLEET_VMS, 0.0)
    for tick in range(24):
        now = tick / 4
        sizer.observe(report_arrivals("large", tick, tick * BURST_VMS / 4), now)
        sizer.observe(report_arrivals("small", 0, 0.0), now)
    sizer.advance(9.0)
    assert sizer.list_busy() == frozenset()
    return sizer


def test_few_small_jobs_by_chance_do_not_count_as_the_first_burst(
    sizer: PoolSizer,
) -> None:
    reports = {"small": report_arrivals("small", 4, 4.8)}
    before = sizer.choose_sizes(reports, BASE, FLEET_VMS, 10.0)
    sizer.observe(reports["small"], 10.0)
    assert sizer.list_busy() == frozenset()
    sizer.advance(14.0)
    assert sizer.choose_sizes(reports, BASE, FLEET_VMS, 14.0) == before
    assert before["small"] > BASE["small"] / 2


def test_many_small_jobs_count_as_a_burst_within_half_a_second(
    sizer: PoolSizer,
) -> None:
    for tick in range(1, 3):
        arrived = report_arrivals("small", tick * 7, tick * 11.0)
        sizer.observe(arrived, 10.0 + tick / 4)
    assert sizer.list_busy() == {"small"}


@pytest.mark.parametrize("seed", [1, 2])
def test_small_jobs_before_a_burst_make_few_jobs_of_it_late(seed: int) -> None:
    script = load_day("chance")
    steady = attrs.evolve(
        script, loads=[load for load in script.loads if not is_short(load)]
    )
    assert len(steady.loads) == len(script.loads) - 1
    account = play(script, seed).account
    assert account.late <= 1.25 * play(steady, seed).account.late
    assert sum(queue.owed for queue in account.queues.values()) == account.accepted
    assert account.lowest_share == account.queues["queue-ring"].share


def is_short(load: LoadLine) -> bool:
    """Tell whether a load is that of the jobs that arrive by chance."""
    return load.stop - load.start < 2.0
