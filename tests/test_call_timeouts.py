"""Timeouts of an owner's calls to workers, of punctual and of late ones."""

import pytest

from onyxgap.jobs.call_timeouts import HOLD_MARGIN_S
from onyxgap.jobs.call_timeouts import LATE_S
from onyxgap.jobs.call_timeouts import MAX_HOLD_MARGIN_S
from onyxgap.jobs.call_timeouts import MAX_START_TIMEOUT_S
from onyxgap.jobs.call_timeouts import START_TIMEOUT_S
from onyxgap.jobs.call_timeouts import CallTimeouts
from onyxgap.jobs.holds import IDLE_WAIT_S
from onyxgap.jobs.shard_leases import LEASE_S

PUNCTUAL_S = 0.005
POOL = tuple(f"w{number}" for number in range(9))


@pytest.fixture
def timeouts() -> CallTimeouts:
    """Timeouts of a pool whose workers have answered in time."""
    built = CallTimeouts()
    for _ in range(5):
        for worker in POOL:
            built.note_answer(worker, PUNCTUAL_S, 0.0)
    return built


def test_calls_to_punctual_workers_have_the_least_timeouts(
    timeouts: CallTimeouts,
) -> None:
    assert timeouts.get_hold_margin("w0") == HOLD_MARGIN_S
    assert timeouts.get_start_timeout("w0") == START_TIMEOUT_S
    assert timeouts.get_hold_margin("new") == HOLD_MARGIN_S
    assert not timeouts.is_late()


def test_timeouts_follow_the_response_times_of_late_workers(
    timeouts: CallTimeouts,
) -> None:
    for _ in range(4):
        for worker in POOL:
            timeouts.note_answer(worker, 0.25, 0.0)
    assert HOLD_MARGIN_S < timeouts.get_hold_margin("w0") <= MAX_HOLD_MARGIN_S
    assert timeouts.is_late()
    for _ in range(20):
        for worker in POOL:
            timeouts.note_answer(worker, PUNCTUAL_S, 0.0)
    assert timeouts.get_hold_margin("w0") == HOLD_MARGIN_S


def test_dark_worker_does_not_stretch_the_timeouts_of_others(
    timeouts: CallTimeouts,
) -> None:
    for worker in POOL[:4]:
        for _ in range(5):
            timeouts.note_timeout(worker)
    assert timeouts.get_hold_margin("w0") == MAX_HOLD_MARGIN_S
    assert timeouts.get_hold_margin("w8") == HOLD_MARGIN_S
    assert timeouts.get_start_timeout("w8") == START_TIMEOUT_S
    assert not timeouts.is_late()


def test_timeouts_of_most_workers_stretch_those_of_all(timeouts: CallTimeouts) -> None:
    for worker in POOL[:5]:
        timeouts.note_timeout(worker)
    assert timeouts.get_hold_margin("w8") == 2 * HOLD_MARGIN_S
    # they may be dark: no answer has been late
    assert not timeouts.is_late()
    for worker in POOL[:5]:
        timeouts.forget(worker)
    assert timeouts.get_hold_margin("w8") == HOLD_MARGIN_S


def test_one_dark_worker_of_two_does_not_stretch_the_other() -> None:
    timeouts = CallTimeouts()
    timeouts.note_answer("w0", PUNCTUAL_S, 0.0)
    timeouts.note_timeout("w1")
    assert timeouts.get_hold_margin("w0") == HOLD_MARGIN_S


@pytest.mark.parametrize("lag_s", [0.5, 60.0])
def test_timeouts_of_a_late_process_are_longer_but_bounded(lag_s: float) -> None:
    timeouts = CallTimeouts(lambda: lag_s)
    margin_s = timeouts.get_hold_margin("w0")
    assert margin_s == min(HOLD_MARGIN_S + lag_s, MAX_HOLD_MARGIN_S)
    assert timeouts.get_start_timeout("w0") == MAX_START_TIMEOUT_S
    assert timeouts.is_late()


def test_two_requests_with_the_longest_timeout_fit_into_a_lease() -> None:
    assert 2 * (IDLE_WAIT_S + MAX_HOLD_MARGIN_S) <= LEASE_S


def test_timeout_of_a_punctual_process_is_evidence(timeouts: CallTimeouts) -> None:
    timeouts.note_timeout("w0")
    assert not timeouts.is_inconclusive(1.0, 0.01)


def test_timeout_that_a_late_process_noticed_is_inconclusive(
    timeouts: CallTimeouts,
) -> None:
    assert timeouts.is_inconclusive(1.0, LATE_S)
    timeouts.read_lag = lambda: LATE_S
    assert timeouts.is_inconclusive(1.0, 0.0)


def test_timeouts_of_all_workers_together_are_inconclusive(
    timeouts: CallTimeouts,
) -> None:
    for worker in POOL:
        timeouts.note_timeout(worker)
    assert timeouts.is_inconclusive(1.0, 0.0)
    # the caller and the path were well meanwhile
    timeouts.note_answer("w8", PUNCTUAL_S, 1.2)
    assert not timeouts.is_inconclusive(1.0, 0.0)
