"""Tests of the estimate of the store's clock."""

from onyxgap.jobs.store_clock import MAX_DRIFT
from onyxgap.jobs.store_clock import ClockReading
from onyxgap.jobs.store_clock import StoreClock

SHORT = ClockReading(50_000.0, 100.0, 100.01)


def test_bounds_contain_the_clock_wherever_the_call_spent_its_time() -> None:
    clock = StoreClock()
    assert clock.get_earliest_ms(100.0) is None
    assert clock.get_latest_ms(100.0) is None
    clock.observe(SHORT)
    for read_at in (100.0, 100.01):
        now = 101.0
        true_ms = 50_000.0 + (now - read_at) * 1000
        earliest_ms, latest_ms = clock.get_earliest_ms(now), clock.get_latest_ms(now)
        assert earliest_ms is not None
        assert latest_ms is not None
        assert earliest_ms <= true_ms <= latest_ms
        assert latest_ms - earliest_ms <= SHORT.get_error_s(now) * 1000 + 2


def test_answer_after_a_long_wait_does_not_replace_an_exact_reading() -> None:
    clock = StoreClock(SHORT)
    clock.observe(ClockReading(51_200.0, 100.0, 101.2))
    assert clock.reading is SHORT


def test_exact_reading_is_replaced_once_drift_has_made_it_the_worse_one() -> None:
    clock = StoreClock(SHORT)
    later = 100.01 + 1.0 / MAX_DRIFT
    slow = ClockReading(SHORT.store_ms + (later - 100.0) * 1000, later, later + 0.3)
    clock.observe(slow)
    assert clock.reading is slow


def test_answer_without_a_time_is_no_reading() -> None:
    clock = StoreClock()
    clock.observe(ClockReading(0.0, 100.0, 100.01))
    assert clock.get_latest_ms(100.0) is None
