"""Emulated days on which routes are added, dropped and moved between pools."""

import pytest

from tests.emulated import extend_day
from tests.emulated import load_day
from tests.emulated import play

FAULT_FREE_SEEDS = (1, 2, 3)


@pytest.mark.parametrize("seed", FAULT_FREE_SEEDS)
def test_changes_of_routes_break_no_rule_without_faults(seed: int) -> None:
    result = play(load_day("routes"), seed)
    assert result.breaches == []
    assert result.account.in_time


@pytest.mark.parametrize("seed", [2, 12])
def test_moved_queue_gets_no_job_in_its_former_service_while_feeds_stand_still(
    seed: int,
) -> None:
    script = extend_day(
        "routes",
        "at 4.5 deaf store for 3",
        "at 8 deaf store for 2",
        "at 10.5 deaf store for 4",
    )
    assert play(script, seed).breaches == []


@pytest.mark.parametrize("seed", [13, 17])
def test_dropped_queue_is_not_counted_during_an_outage(seed: int) -> None:
    assert play(load_day("routes"), seed, faults=4).breaches == []


@pytest.mark.parametrize("seed", [7, 24])
def test_shorter_prefix_hides_no_added_route(seed: int) -> None:
    assert play(load_day("routes"), seed, faults=4).breaches == []


def test_job_accepted_under_a_skipped_version_is_known() -> None:
    assert play(load_day("routes"), 5, faults=4).breaches == []


@pytest.mark.parametrize("seed", [1, 3, 10])
def test_late_write_of_a_submission_runs_no_moved_job_twice(seed: int) -> None:
    script = extend_day("routes", "at 4.5 late store for 9 by 0.6")
    assert play(script, seed).breaches == []


@pytest.mark.parametrize("seed", [2, 4, 5])
def test_jobs_of_a_service_without_routes_end_under_a_new_owner(seed: int) -> None:
    script = extend_day(
        "short", "at 6 move route ring for 1 by 1", "at 6.3 kill owner ring for 1"
    )
    assert play(script, seed).breaches == []


@pytest.mark.parametrize("seed", [2, 4])
def test_jobs_of_a_service_without_routes_end_after_all_nodes_are_killed(
    seed: int,
) -> None:
    script = extend_day(
        "short", "at 6 move route ring for 1 by 1", "at 6.3 kill all for 1"
    )
    assert play(script, seed).breaches == []


@pytest.mark.parametrize("seed", [215])
def test_owner_with_an_older_version_goes_not_back_after_it_started_a_job(
    seed: int,
) -> None:
    script = extend_day(
        "routes",
        "at 4.7 deaf store for 2",
        "at 7.8 deaf store for 2",
        "at 10.8 deaf store for 3",
    )
    assert play(script, seed).breaches == []


@pytest.mark.parametrize("seed", [1])
def test_nodes_whose_feeds_stand_still_beside_others_go_not_back(seed: int) -> None:
    script = extend_day(
        "routes",
        "at 4 lose store for 10 by 0.3",
        "at 4.7 deaf node for 1.9 by 0.5",
        "at 7.8 deaf node for 1.9 by 0.5",
        "at 10.8 deaf node for 1.9 by 0.5",
    )
    assert play(script, seed).breaches == []
