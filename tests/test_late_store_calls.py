"""Store calls of a process that is late itself."""

import typing as t

import attrs
import pytest

from onyxgap.jobs.health import MAX_IGNORED_S
from onyxgap.jobs.health import MAX_LAG_S
from onyxgap.jobs.health import OUTAGE_S
from onyxgap.jobs.health import MonitoredStore
from onyxgap.jobs.health import StoreHealth
from onyxgap.jobs.store import Batch
from onyxgap.jobs.store import OutcomeUnknown
from onyxgap.jobs.store import WriteOutcome
from onyxgap.platform.http import Answer
from onyxgap.platform.store import FOLLOW_MARGIN_S
from onyxgap.platform.store import READ_TIMEOUT_S
from onyxgap.platform.store import PlatformStore
from onyxgap.standins.emulator.slots import EmulatedClocks
from onyxgap.standins.virtual import run_virtually
from tests.test_node_parts import ScriptedStore
from tests.test_node_parts import build_node
from tests.test_node_parts import run_with_store

LAG_S = 0.4
NOW = 100.0
AWAY_S = OUTAGE_S + 0.01


@attrs.define(eq=False)
class RecordingCalls:
    """Transport that records the timeouts of its calls."""

    timeouts_s: list[float] = attrs.field(factory=list)

    async def call(self, *args: t.Any, timeout_s: float, **options: t.Any) -> Answer:
        self.timeouts_s.append(timeout_s)
        return Answer(200, b'{"rows":[],"ver":1,"now_ms":1,"parts":[]}')

    async def write(self, batch: Batch, timeout_s: float) -> WriteOutcome:
        self.timeouts_s.append(timeout_s)
        return OutcomeUnknown("no answer")


@pytest.fixture
def health() -> StoreHealth:
    """Build the health of a store that has just answered."""
    built = StoreHealth()
    built.note_answer(NOW)
    return built


@pytest.mark.parametrize("lag_s", [0.0, 0.01, LAG_S, 60.0])
def test_lag_of_the_process_is_added_to_the_timeouts_of_store_calls(
    health: StoreHealth, lag_s: float
) -> None:
    health.read_lag = lambda: lag_s
    calls: t.Any = RecordingCalls()
    store = PlatformStore(calls, get_lag=health.get_lag)

    async def read() -> None:
        await store.read("t", "p")
        await store.list_parts("t")
        await store.follow("t", 1, 0.5)

    run_virtually(read)
    added_s = min(lag_s, MAX_LAG_S) if lag_s == LAG_S or lag_s > 1 else 0.0
    usual_s = [READ_TIMEOUT_S, READ_TIMEOUT_S, 0.5 + FOLLOW_MARGIN_S]
    assert calls.timeouts_s == [pytest.approx(item + added_s) for item in usual_s]


def test_lag_of_the_process_is_added_to_the_timeout_of_a_write(
    health: StoreHealth,
) -> None:
    calls: t.Any = RecordingCalls()
    store = MonitoredStore(calls, health, EmulatedClocks())
    usual_s = store.timeout.get()
    health.read_lag = lambda: LAG_S
    run_virtually(store.write, Batch({}, {}))
    assert calls.timeouts_s == [pytest.approx(usual_s + LAG_S)]


def test_failures_that_a_late_process_notices_are_no_outage(
    health: StoreHealth,
) -> None:
    """Guards against hand-over notices of all owners of a late node."""
    health.read_lag = lambda: LAG_S
    health.note_failure(NOW + 0.5, "read")
    assert not health.is_down(NOW + 0.5 + AWAY_S)
    health.read_lag = float
    health.note_failure(NOW + 0.5, "read")
    assert health.is_down(NOW + 0.5 + AWAY_S)


def test_store_that_stays_away_is_down_for_a_late_process(health: StoreHealth) -> None:
    health.read_lag = lambda: LAG_S
    health.note_failure(NOW + MAX_IGNORED_S, "read")
    assert health.is_down(NOW + MAX_IGNORED_S + AWAY_S)


def test_health_of_the_store_knows_the_lag_of_the_node() -> None:
    async def test(scripted: ScriptedStore, store: t.Any) -> None:
        node = build_node(scripted)
        node.lag.seconds = LAG_S
        assert node.health.get_lag() == LAG_S

    run_with_store(test)
