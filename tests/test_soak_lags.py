"""The lateness of the platform's process that a soak reports."""

import datetime
import pathlib

import pytest

from bench.soak.lags import ALLOWED_LAG_S
from bench.soak.lags import LoadMeter
from bench.soak.lags import PlatformLag
from bench.soak.lags import PlatformLoad
from bench.soak.lags import read_last_start
from onyxgap.clocks import SystemClocks
from onyxgap.daemons.lag import REPORTED_LAG_S


@pytest.fixture
def lag() -> PlatformLag:
    return PlatformLag(SystemClocks())


def test_lags_of_the_platform_add_up_and_small_ones_do_not(lag: PlatformLag) -> None:
    for lag_s in (REPORTED_LAG_S / 2, REPORTED_LAG_S, 0.0, 3 * REPORTED_LAG_S):
        lag.record(lag_s, 0.0, 10.0)
    assert lag.late_s == pytest.approx(4 * REPORTED_LAG_S)
    assert lag.highest_s == pytest.approx(3 * REPORTED_LAG_S)


@pytest.mark.parametrize(
    ("lag_s", "excessive"), [(ALLOWED_LAG_S, False), (ALLOWED_LAG_S + 0.01, True)]
)
def test_platform_that_was_later_than_nodes_allow_is_reported(
    lag: PlatformLag, lag_s: float, excessive: bool
) -> None:
    lag.record(lag_s, 0.0, 10.0)
    assert LoadMeter().measure(lag).is_excessive() is excessive
    assert not PlatformLoad().is_excessive()


def test_wait_for_a_processor_counts_from_the_start_of_the_day(
    lag: PlatformLag,
) -> None:
    waits = iter([5.0, 7.5])
    meter = LoadMeter(lambda: next(waits))
    assert meter.measure(lag).wait_s == 2.5


def test_last_first_start_of_a_node_is_read_from_their_logs(
    tmp_path: pathlib.Path,
) -> None:
    line = '{"event":"start","timestamp":"2026-01-01T00:00:%02d.500000Z"}\n'
    (tmp_path / "node-0.log").write_text(line % 2 + line % 30)
    (tmp_path / "node-1.log").write_text(line % 5)
    midnight = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC).timestamp()
    assert read_last_start(tmp_path, midnight) == 5.5
    assert read_last_start(tmp_path / "none", midnight) == 0.0
