"""Processor time of a node by kind of work, in its metrics and its log."""

import typing as t

import attrs
import pytest
import structlog.testing

from onyxgap.adapters.connection_guard import CloseReason
from onyxgap.adapters.connection_guard import ConnectionGuard
from onyxgap.clocks import SystemClocks
from onyxgap.daemons.lag import REPORTED_LAG_S
from onyxgap.daemons.lag import LoopLag
from onyxgap.daemons.node_metrics import build_metrics
from onyxgap.daemons.work_times import WorkKind
from onyxgap.daemons.work_times import WorkSample
from onyxgap.daemons.work_times import WorkTimes
from onyxgap.logs import BoundedLogWriter
from onyxgap.standins.emulator.store import EmulatedStore
from tests.emulated import load_day
from tests.emulated import play
from tests.test_node_parts import ScriptedStore
from tests.test_node_parts import build_node
from tests.test_node_parts import run_with_store


@attrs.define
class Processor:
    """A processor time that the test advances."""

    seconds: float = 0.0

    def read(self) -> float:
        return self.seconds


@pytest.fixture
def processor() -> Processor:
    return Processor()


@pytest.fixture
def work(processor: Processor) -> WorkTimes:
    return WorkTimes(processor.read)


def test_each_part_of_nested_work_counts_once(
    work: WorkTimes, processor: Processor
) -> None:
    with work.measure(WorkKind.ENCODING):
        processor.seconds += 1.0
        with work.measure(WorkKind.REPORT):
            processor.seconds += 5.0
        with work.measure(WorkKind.LOAD):
            processor.seconds += 2.0
        processor.seconds += 1.0
    assert work.seconds[WorkKind.ENCODING] == 2.0
    assert work.seconds[WorkKind.REPORT] == 5.0
    assert work.seconds[WorkKind.LOAD] == 2.0
    assert sum(work.seconds.values()) == processor.seconds


def test_work_that_fails_is_measured(work: WorkTimes, processor: Processor) -> None:
    with pytest.raises(ValueError), work.measure(WorkKind.PASS):
        processor.seconds += 1.0
        raise ValueError
    with work.measure(WorkKind.REPORT):
        processor.seconds += 1.0
    assert (work.seconds[WorkKind.PASS], work.seconds[WorkKind.REPORT]) == (1.0, 1.0)


def test_sample_holds_only_the_work_since_the_last_one(
    work: WorkTimes, processor: Processor
) -> None:
    with work.measure(WorkKind.PASS):
        processor.seconds += 3.0
    with work.measure(WorkKind.ROWS):
        processor.seconds += 1.0
    assert work.take_sample() == WorkSample(4.0, WorkKind.PASS, 3.0)
    with work.measure(WorkKind.ROWS):
        processor.seconds += 0.5
    assert work.take_sample() == WorkSample(0.5, WorkKind.ROWS, 0.5)
    assert work.take_sample() == WorkSample()


def test_line_about_a_late_event_loop_names_the_costliest_work(
    work: WorkTimes, processor: Processor
) -> None:
    lag = LoopLag(SystemClocks(), work=work)
    with work.measure(WorkKind.REPORT):
        processor.seconds += 2.0
    lag.record(0.0, 0.0, 9.9)
    with work.measure(WorkKind.PASS):
        processor.seconds += 0.25
    with structlog.testing.capture_logs() as lines:
        lag.record(REPORTED_LAG_S, 0.3, 10.0)
    (line,) = lines
    assert (line["slowest"], line["slowest_s"]) == ("scheduling pass", 0.25)
    assert (line["measured_s"], line["cpu_s"]) == (0.25, 0.3)


def test_metrics_have_the_processor_time_of_each_kind_of_work() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        node = build_node(scripted)
        node.lag.work.seconds[WorkKind.REPORT] = 1.5
        guard = ConnectionGuard()
        text = build_metrics(node, BoundedLogWriter(-1), guard).render().decode()
        assert 'onyxgap_work_seconds_total{kind="pool report"} 1.5' in text
        assert 'onyxgap_work_seconds_total{kind="scheduling pass"} 0.0' in text

    run_with_store(test)


def test_nodes_of_a_day_measure_each_kind_of_work(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    measured = set()
    measure = WorkTimes.measure

    def note(work: WorkTimes, kind: WorkKind) -> t.Any:
        measured.add(kind)
        return measure(work, kind)

    monkeypatch.setattr(WorkTimes, "measure", note)
    play(load_day("calm"), 1)
    assert measured == set(WorkKind)


def test_metrics_have_the_closed_connections_by_reason() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        guard = ConnectionGuard()
        metrics = build_metrics(build_node(scripted), BoundedLogWriter(-1), guard)
        guard.closed[CloseReason.MALFORMED.value] += 1
        text = metrics.render().decode()
        assert 'onyxgap_connections_closed_total{reason="malformed"} 1.0' in text
        assert "onyxgap_connections_open 0.0" in text

    run_with_store(test)
