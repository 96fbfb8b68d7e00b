"""The lag of the event loop in the log of a node, and the cores of a soak's nodes."""

import os
import pathlib

import pytest
import structlog

from bench.soak.cores import CoreShare
from bench.soak.cores import choose_core_share
from bench.soak.lags import read_node_lag
from onyxgap.clocks import SystemClocks
from onyxgap.daemons.lag import REPORT_INTERVAL_S
from onyxgap.daemons.lag import REPORTED_LAG_S
from onyxgap.daemons.lag import LoopLag


@pytest.fixture
def lag() -> LoopLag:
    return LoopLag(SystemClocks())


def test_late_event_loop_is_logged_with_the_processor_time_it_used(
    lag: LoopLag,
) -> None:
    with structlog.testing.capture_logs() as lines:
        lag.record(REPORTED_LAG_S, 0.02, 10.0)
    assert [(line["event"], line["lag_s"], line["cpu_s"]) for line in lines] == [
        ("event loop late", REPORTED_LAG_S, 0.02)
    ]


def test_log_lines_of_a_late_event_loop_are_bounded(lag: LoopLag) -> None:
    interval_s = REPORT_INTERVAL_S / 4
    with structlog.testing.capture_logs() as lines:
        for number in range(9):
            lag.record(0.5, 0.5, number * interval_s)
    assert [line["unreported"] for line in lines] == [0, 3, 3]


def test_event_loop_in_time_is_not_logged(lag: LoopLag) -> None:
    with structlog.testing.capture_logs() as lines:
        lag.record(REPORTED_LAG_S / 2, 0.0, 10.0)
    assert lines == []
    assert lag.highest_s == REPORTED_LAG_S / 2


def test_soak_reads_the_highest_lag_from_the_logs_of_its_nodes(
    tmp_path: pathlib.Path,
) -> None:
    line = '{"event":"event loop late","lag_s":%s}\n'
    (tmp_path / "node-0.log").write_text(line % 0.2 + "no JSON\n" + line % 0.4)
    (tmp_path / "node-1.log").write_text('{"event":"start"}\n')
    assert read_node_lag(tmp_path) == 0.4


def test_busy_processes_share_the_cores_of_nodes_and_not_those_of_the_platform() -> (
    None
):
    all_cores = os.sched_getaffinity(0)
    share = choose_core_share(1, busy=1)
    assert share.node_cores == {min(all_cores)}
    with share.confine_soak():
        assert os.sched_getaffinity(0) == all_cores - {min(all_cores)}
    assert os.sched_getaffinity(0) == all_cores


def test_soak_refuses_to_leave_no_core_to_the_platform() -> None:
    with pytest.raises(ValueError, match="leave none"):
        choose_core_share(len(os.sched_getaffinity(0)), busy=0)


def test_soak_without_limits_leaves_all_cores_to_all_processes() -> None:
    assert choose_core_share(0, busy=3) == CoreShare(busy=3)
