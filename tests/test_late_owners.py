"""Owners that are late themselves, and what they conclude about their workers."""

import typing as t

import attrs
import pytest

from onyxgap.daemons.owner import ShardOwner
from onyxgap.jobs.call_timeouts import HOLD_MARGIN_S
from onyxgap.jobs.call_timeouts import MAX_INCONCLUSIVE
from onyxgap.jobs.messages import WorkerEntry
from onyxgap.jobs.messages import WorkerState
from onyxgap.jobs.placing import WorkerRecord
from onyxgap.jobs.shard_leases import LATE_RENEWAL_S
from onyxgap.jobs.shard_leases import LEASE_S
from onyxgap.jobs.shard_leases import MAX_GRANT_READING_AGE_S
from onyxgap.jobs.workers import HoldOrder
from onyxgap.jobs.workers import HoldReport
from onyxgap.jobs.workers import Reply
from onyxgap.jobs.workers import ReplyKind
from onyxgap.platform.http import Answer
from onyxgap.platform.http import CallFailure
from onyxgap.platform.workers import PlatformWorkerClient
from onyxgap.standins.virtual import run_virtually
from tests.owners import build_owner

LATE_S = 0.5
PUNCTUAL_S = 0.005
REPORT = HoldReport(1000.0, (), ())


@attrs.define(eq=False)
class ManualClocks:
    """Clocks that a test sets.

    :param now: seconds of all clocks.
    """

    now: float = 100.0

    def read_monotonic(self) -> float:
        return self.now

    def read_boot(self) -> float:
        return self.now

    def read_wall(self) -> float:
        return 1.8e9 + self.now


@attrs.define(eq=False)
class ScriptedWorkers:
    """Workers that answer some time after the requested wait, or not at all.

    :param clocks: clocks that advance with each call.
    :param took_s: seconds beyond the wait until the answer, ``None`` for no answer.
    :param overdue_s: seconds by which a timeout fires late.
    """

    clocks: ManualClocks
    took_s: float | None = PUNCTUAL_S
    overdue_s: float = 0.0
    orders: list[HoldOrder] = attrs.field(factory=list)

    async def hold(self, order: HoldOrder) -> HoldReport | Reply:
        self.orders.append(order)
        self.clocks.now += order.wait_ms / 1000
        if self.took_s is not None and self.took_s <= order.margin_s:
            self.clocks.now += self.took_s
            return REPORT
        self.clocks.now += order.margin_s + self.overdue_s
        return Reply(ReplyKind.NO_ANSWER, overdue_s=self.overdue_s)


@pytest.fixture
def workers() -> ScriptedWorkers:
    return ScriptedWorkers(ManualClocks())


@pytest.fixture
def owner(workers: ScriptedWorkers) -> ShardOwner:
    """Owner of a shard with one worker, which has answered."""
    clocks: t.Any = workers.clocks
    built = build_owner(t.cast("t.Any", workers), clocks)
    add_worker(built, "w1")
    ask(built)
    return built


def add_worker(owner: ShardOwner, worker_id: str) -> None:
    entry = WorkerEntry(
        worker_id, "shard", "host:1", "z", WorkerState.READY, 1000, 1000, 0, (), 1000.0
    )
    owner.state.observe_worker(entry, owner._now())


def ask(owner: ShardOwner, worker_id: str = "w1") -> bool:
    """Send one hold request; return whether the worker may be asked again at once."""
    return run_virtually(owner._request_report, owner._build_hold(worker_id))


def get_record(owner: ShardOwner) -> WorkerRecord:
    return owner.state.workers["w1"]


def test_dark_worker_is_silent_after_one_timeout_of_a_punctual_owner(
    owner: ShardOwner, workers: ScriptedWorkers
) -> None:
    workers.took_s = None
    assert not ask(owner)
    assert workers.orders[-1].margin_s == HOLD_MARGIN_S
    assert get_record(owner).failing_since is not None


def test_worker_is_asked_again_before_a_late_owner_takes_it_for_silent(
    owner: ShardOwner, workers: ScriptedWorkers
) -> None:
    workers.took_s, workers.overdue_s = None, LATE_S
    assert ask(owner)
    assert get_record(owner).failing_since is None
    workers.took_s = PUNCTUAL_S
    assert ask(owner)
    # it reports at once
    assert workers.orders[-1].wait_ms == 0
    assert get_record(owner).inconclusive == 0


def test_owner_that_stays_late_takes_a_dark_worker_for_silent(
    owner: ShardOwner, workers: ScriptedWorkers
) -> None:
    workers.took_s, workers.overdue_s = None, LATE_S
    asked_again = [ask(owner) for _ in range(MAX_INCONCLUSIVE + 1)]
    assert asked_again == [True] * MAX_INCONCLUSIVE + [False]
    assert get_record(owner).failing_since is not None


def test_lag_of_the_owner_stretches_the_time_for_an_answer(
    owner: ShardOwner, workers: ScriptedWorkers
) -> None:
    owner.context.lag.seconds = LATE_S
    workers.took_s = HOLD_MARGIN_S + LATE_S / 2
    assert ask(owner)
    assert get_record(owner).failing_since is None


def test_workers_that_answer_late_do_not_become_silent(
    owner: ShardOwner, workers: ScriptedWorkers
) -> None:
    """Guards against a fixed timeout, with which each of them was silent in turn."""
    for late_s in (0.1, 0.2, 0.25, 0.4, 0.6):
        workers.took_s = late_s
        for _ in range(3):
            ask(owner)
            assert get_record(owner).failing_since is None


def test_worker_that_answers_after_the_timeout_is_given_more_time(
    owner: ShardOwner, workers: ScriptedWorkers
) -> None:
    workers.took_s = 2 * HOLD_MARGIN_S
    assert not ask(owner)
    assert ask(owner)
    assert get_record(owner).failing_since is None


def test_reset_connection_of_a_late_owner_is_evidence(
    owner: ShardOwner, workers: ScriptedWorkers
) -> None:
    owner.context.lag.seconds = LATE_S
    reply = Reply(ReplyKind.NO_ANSWER, detail="ConnectionResetError")
    assert not owner.state.apply_failure("w1", reply, owner._now())
    assert get_record(owner).failing_since is not None


def test_request_is_given_up_after_the_time_that_its_order_allows(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    allowed: list[float] = []

    async def call(*args: t.Any, timeout_s: float, **options: t.Any) -> Answer:
        allowed.append(timeout_s)
        failure = CallFailure.NO_ANSWER
        return Answer(0, b"", failure, "TimeoutError", overdue_s=LATE_S)

    monkeypatch.setattr("onyxgap.platform.connections.WorkerConnections.call", call)
    order = HoldOrder("w1", "host:1", 1, 0, None, 300, margin_s=0.9)
    reply = run_virtually(PlatformWorkerClient().hold, order)
    assert allowed == [pytest.approx(1.2)]
    assert reply.overdue_s == LATE_S


def read_deadlines(workers: ScriptedWorkers) -> list[float]:
    """Return the lease deadlines that were sent, in ms on the worker's clock."""
    return [
        order.deadline_ms for order in workers.orders if order.deadline_ms is not None
    ]


def test_late_owner_extends_the_lease_of_a_worker_whose_answers_are_late(
    owner: ShardOwner, workers: ScriptedWorkers
) -> None:
    """Guards against healthy runs that lapse, and are started again."""
    owner.context.lag.seconds = LATE_S
    workers.took_s = None
    while get_record(owner).failing_since is None:
        ask(owner)
    sent = len(workers.orders)
    ask(owner)
    deadline_ms = workers.orders[sent].deadline_ms
    assert deadline_ms is not None and deadline_ms == get_record(owner).lease_ms


@pytest.mark.parametrize("lag_s", [0.0, LATE_S])
def test_lease_of_a_dark_worker_ends_for_certain(
    owner: ShardOwner, workers: ScriptedWorkers, lag_s: float
) -> None:
    owner.context.lag.seconds = lag_s
    record = get_record(owner)
    workers.took_s = None
    while record.failing_since is None:
        ask(owner)
    failing_since, lease_ms = record.failing_since, record.lease_ms
    while workers.clocks.now < failing_since + 2 * LEASE_S:
        owner.state.expire_workers(owner._now())
        ask(owner)
        # the bound covers every deadline that was sent
        assert record.lease_ms >= max(read_deadlines(workers))
    assert (record.lease_ms > lease_ms) == bool(lag_s)
    assert record.clock is not None
    end_ms = record.clock.estimate(failing_since + LATE_RENEWAL_S) + LEASE_S * 1000
    assert record.lease_ms <= end_ms
    assert owner.state._has_lease_expired(record, owner._now())


def test_lease_is_not_extended_for_a_worker_that_resets_calls(
    owner: ShardOwner,
) -> None:
    owner.context.lag.seconds = LATE_S
    reply = Reply(ReplyKind.NO_ANSWER, detail="ConnectionResetError")
    owner.state.apply_failure("w1", reply, owner._now())
    assert owner._build_hold("w1").deadline_ms is None


def test_no_lease_is_granted_by_an_old_reading_of_the_clock(
    owner: ShardOwner, workers: ScriptedWorkers
) -> None:
    # the estimate of a slow clock runs ahead of it by 2% of the age
    workers.clocks.now += MAX_GRANT_READING_AGE_S + 0.1
    assert owner._build_hold("w1").deadline_ms is None
