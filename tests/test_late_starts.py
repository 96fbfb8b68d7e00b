"""Start orders of an owner that is late, or whose workers answer late."""

import pytest

from onyxgap.jobs.call_timeouts import HOLD_MARGIN_S
from onyxgap.jobs.call_timeouts import LATE_S
from onyxgap.jobs.call_timeouts import MAX_INCONCLUSIVE
from onyxgap.jobs.call_timeouts import MAX_START_TIMEOUT_S
from onyxgap.jobs.call_timeouts import START_TIMEOUT_S
from onyxgap.jobs.deliveries import UNDELIVERED_TO_EJECT
from onyxgap.jobs.deliveries import note_delivery
from onyxgap.jobs.messages import Step
from onyxgap.jobs.shard import START_WINDOW_MS
from onyxgap.jobs.shard import Shard
from onyxgap.jobs.shard_reports import REFUSAL_BLOCK_S
from onyxgap.jobs.workers import Reply
from onyxgap.jobs.workers import ReplyKind
from onyxgap.jobs.workers import StartOrder
from tests.test_shard import ShardHarness

LAG_S = 0.5
NOT_CONNECTED = Reply(ReplyKind.NOT_SENT, detail="TimeoutError", overdue_s=LAG_S)
LATE_ORDER_MS = 2000.0
"""Least time after which workers carry out orders late."""


@pytest.fixture
def harness() -> ShardHarness:
    """Build a shard with a worker and a job of one task."""
    built = ShardHarness(Shard("s", epoch=3, claimed_at=50.0))
    built.add_worker("w1")
    built.add_job(Step(1, cpu=1000))
    return built


def send(harness: ShardHarness) -> StartOrder:
    """Place the task; return its order as it is sent."""
    (order,) = harness.plan()
    prepared = harness.shard.prepare_start(order, harness.now)
    assert prepared is not None
    return prepared


def get_validity_ms(harness: ShardHarness, order: StartOrder) -> float:
    clock = harness.shard.workers["w1"].clock
    assert clock is not None
    return order.deadline_ms - clock.estimate(harness.now)


def test_start_of_a_punctual_owner_is_valid_for_the_least_time(
    harness: ShardHarness,
) -> None:
    order = send(harness)
    assert get_validity_ms(harness, order) == pytest.approx(START_WINDOW_MS)
    assert order.timeout_s == START_TIMEOUT_S


@pytest.mark.parametrize("lag_s", [0.2, 60.0])
def test_start_of_a_late_owner_is_valid_for_longer(
    harness: ShardHarness, lag_s: float
) -> None:
    harness.shard.call_timeouts.read_lag = lambda: lag_s
    order = send(harness)
    validity_ms = get_validity_ms(harness, order)
    most_s = min(START_TIMEOUT_S + lag_s, MAX_START_TIMEOUT_S)
    assert START_WINDOW_MS < validity_ms < most_s * 1000 == order.timeout_s * 1000
    assert validity_ms < LATE_ORDER_MS


def test_lost_start_of_a_late_owner_is_ruled_out_only_after_its_deadline(
    harness: ShardHarness,
) -> None:
    """Guards against a second run while the first order is valid."""
    harness.shard.call_timeouts.read_lag = lambda: LAG_S
    order = send(harness)
    validity_s = get_validity_ms(harness, order) / 1000
    harness.shard.call_timeouts.read_lag = float
    lost = Reply(ReplyKind.NO_ANSWER, overdue_s=LAG_S)
    harness.shard.apply_start_reply(order, lost, harness.now)
    harness.now += validity_s * 0.95
    harness.report("w1")
    assert harness.plan() == []
    assert harness.shard.workers["w1"].lease_ms >= order.deadline_ms
    harness.now += validity_s * 0.1
    harness.report("w1")
    (again,) = harness.plan()
    assert again.run == order.run + 1


def test_start_that_was_too_late_is_sent_again_at_once(harness: ShardHarness) -> None:
    order = send(harness)
    reply = Reply(ReplyKind.TOO_LATE, order.deadline_ms + 1.0)
    harness.shard.apply_start_reply(order, reply, harness.now)
    (again,) = harness.plan()
    assert again.worker_id == "w1"


def test_connection_that_a_late_owner_has_not_opened_is_no_fault_of_the_worker(
    harness: ShardHarness,
) -> None:
    record = harness.shard.workers["w1"]
    for _ in range(MAX_INCONCLUSIVE):
        order = send(harness)
        harness.shard.apply_start_reply(order, NOT_CONNECTED, harness.now)
        harness.now += REFUSAL_BLOCK_S
    assert record.undelivered_starts == 0 and record.takes_starts


def test_worker_that_late_orders_never_reach_is_ejected(harness: ShardHarness) -> None:
    record = harness.shard.workers["w1"]
    for _ in range(MAX_INCONCLUSIVE + UNDELIVERED_TO_EJECT):
        note_delivery(record, ReplyKind.NOT_SENT, harness.now, proves=False)
    assert not record.takes_starts


def test_response_times_of_starts_stretch_the_timeout(harness: ShardHarness) -> None:
    order = send(harness)
    harness.now += 2 * LATE_S
    reply = Reply(ReplyKind.DONE, order.deadline_ms)
    harness.shard.apply_start_reply(order, reply, harness.now)
    assert harness.shard.call_timeouts.get_hold_margin("w1") > HOLD_MARGIN_S
