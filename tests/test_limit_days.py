"""Emulated days with short retention, limits of the store and IDs that collide."""

import pytest

from onyxgap.daemons.job_versions import JobVersions
from onyxgap.jobs.encoding import encode_progress
from onyxgap.jobs.routing import RouteTable
from onyxgap.standins.emulator.script import Script
from tests.emulated import assert_noticed
from tests.emulated import extend_day
from tests.emulated import load_day
from tests.emulated import play

OUTAGES = (
    "at 6 kill all for 4",
    "at 12 deaf store for 1",
    "at 13 slow store for 3 by 60",
)


def build_disturbed_day() -> Script:
    return extend_day("limits", *OUTAGES)


@pytest.mark.parametrize("seed", [1, 2])
def test_limits_break_no_rule_without_faults(seed: int) -> None:
    result = play(load_day("limits"), seed)
    assert result.breaches == []
    assert result.account.in_time


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_limits_break_no_rule_after_outages(seed: int) -> None:
    assert play(build_disturbed_day(), seed).breaches == []


@pytest.mark.parametrize("seed", range(1, 9))
def test_limits_break_no_rule_under_random_faults(seed: int) -> None:
    assert play(load_day("limits"), seed, faults=4).breaches == []


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_progress_in_several_small_rows_outlives_the_end_of_all_nodes(
    seed: int,
) -> None:
    assert play(load_day("small_rows"), seed).breaches == []


def test_day_shows_a_job_that_is_reached_through_another_queue(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def mutate(patch: pytest.MonkeyPatch) -> None:
        patch.setattr(RouteTable, "is_same_queue", lambda *queues: True)

    assert_noticed(load_day("limits"), "lost", [1, 2], mutate, monkeypatch)


def test_day_shows_a_removed_job_that_runs_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def mutate(patch: pytest.MonkeyPatch) -> None:
        patch.setattr(JobVersions, "is_outdated", lambda self, row: False)

    script = extend_day(
        "limits", "at 14 deaf store for 1", "at 15 slow store for 4.5 by 60"
    )
    assert_noticed(script, "twice", [1, 2, 3], mutate, monkeypatch)


def test_day_shows_progress_that_exceeds_a_row(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def mutate(patch: pytest.MonkeyPatch) -> None:
        patch.setattr(
            "onyxgap.daemons.owner.encode_progress_rows",
            lambda job, limits: (encode_progress(job),),
        )

    assert_noticed(build_disturbed_day(), "store", [1, 2], mutate, monkeypatch)
