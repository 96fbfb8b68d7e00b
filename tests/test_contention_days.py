"""Days on which callers compete: no rule broken, and what they get."""

import pytest

from tests.emulated import extend_day
from tests.emulated import play


@pytest.mark.parametrize("seed", range(1, 4))
def test_rules_hold_without_faults(seed: int) -> None:
    result = play(extend_day("tenants", "contended"), seed)
    assert result.breaches == []
    assert result.account.in_time


@pytest.mark.parametrize("seed", range(21, 29))
def test_rules_hold_under_random_faults(seed: int) -> None:
    assert play(extend_day("tenants", "contended"), seed, faults=3).breaches == []


@pytest.mark.parametrize("seed", range(31, 35))
def test_rules_hold_in_overload(seed: int) -> None:
    day = extend_day(
        "tenants", "contended", "load herd every 0.15 from 6 to 12 width 6"
    )
    assert play(day, seed, faults=2).breaches == []


def test_overload_leaves_more_jobs_in_time_than_a_single_queue_does() -> None:
    plain = [play(extend_day("surge"), seed).account for seed in (1, 2)]
    weighed = [play(extend_day("surge", "contended"), seed).account for seed in (1, 2)]
    in_time = [sum(account.in_time for account in day) for day in (plain, weighed)]
    assert in_time[1] >= in_time[0]
