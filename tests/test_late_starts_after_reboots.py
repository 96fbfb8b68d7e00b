"""Late start orders that reach a restarted worker before its owner has called it.

The next incarnation has seen no fencing token, and registers seconds after it starts.
"""

import anyio
import attrs
import pytest

from onyxgap.daemons.restart_fencing import RestartFencing
from onyxgap.jobs.job import Job
from onyxgap.jobs.job import TaskPhase
from onyxgap.jobs.leases import GRANT_WITHOUT_STORE_S
from onyxgap.jobs.messages import Step
from onyxgap.jobs.shard import Shard
from onyxgap.jobs.shard_incarnations import HOLD_BACK_S
from onyxgap.jobs.shard_leases import LATE_CALL_S
from onyxgap.jobs.workers import HoldOrder
from onyxgap.jobs.workers import HoldReport
from onyxgap.jobs.workers import Reply
from onyxgap.jobs.workers import ReplyKind
from onyxgap.jobs.workers import StartOrder
from onyxgap.jobs.workers import StopOrder
from onyxgap.standins.virtual import run_virtually
from tests.test_shard import ENTRY
from tests.test_shard import ShardHarness

FIRST_START_MS, SECOND_START_MS = 1_700_000_000_000, 1_700_000_007_000
CLOSED = Reply(ReplyKind.NO_ANSWER, detail="EndOfStream")
TIMED_OUT = Reply(ReplyKind.NO_ANSWER, detail="TimeoutError", overdue_s=0.0)
ADDRESS_OF_ANOTHER = Reply(ReplyKind.OTHER_WORKER)
REFUSED = Reply(ReplyKind.NOT_SENT)
SHORT = Step(1, cpu=1000, memory_mb=100, estimate_ms=500)
RESTARTED = HoldReport(20.0, (), (), SECOND_START_MS)


@pytest.fixture
def harness() -> ShardHarness:
    harness = ShardHarness(Shard("s", epoch=3, claimed_at=50.0))
    harness.add_worker("w1", born=FIRST_START_MS)
    return harness


def order_without_answer(
    harness: ShardHarness, step: Step = SHORT
) -> tuple[Job, StartOrder]:
    job = harness.add_job(step)
    (order,) = harness.plan()
    sent = harness.shard.prepare_start(order, harness.now)
    assert sent is not None
    return job, sent


def end_worker(harness: ShardHarness, after_s: float) -> None:
    """Have the worker end some time after the order, and the list of VMs tell so."""
    harness.now += after_s
    harness.shard.apply_failure("w1", CLOSED, harness.now)
    harness.shard.remove_worker("w1", "VM is down", harness.now)
    harness.add_worker("w2")


def get_phase(job: Job) -> TaskPhase:
    (task,) = job.occurrences[0].steps[0]
    return task.phase


def answer_fencing_call(harness: ShardHarness, report: HoldReport) -> HoldOrder:
    call = harness.shard.build_fencing_call("w1", harness.now)
    assert call is not None
    harness.now += 0.01
    harness.shard.apply_fencing_report(call, report, harness.now, harness.now)
    return call


def test_removed_worker_is_called_before_it_registers_if_an_order_may_come_late(
    harness: ShardHarness,
) -> None:
    _, order = order_without_answer(harness)
    end_worker(harness, 0.001)
    assert harness.shard.list_unfenced(harness.now) == ["w1"]
    call = harness.shard.build_fencing_call("w1", harness.now)
    assert call is not None
    assert (call.address, call.deadline_ms, call.acknowledged) == (
        ENTRY.address,
        None,
        0,
    )
    assert call.epoch > order.epoch


def test_order_that_was_given_up_before_the_crash_is_fenced_off(
    harness: ShardHarness,
) -> None:
    job, order = order_without_answer(harness)
    harness.shard.apply_start_reply(order, TIMED_OUT, harness.now + 0.6)
    harness.now += 1.0
    harness.report("w1")
    assert get_phase(job) is TaskPhase.WAITING
    end_worker(harness, 0.1)
    assert harness.shard.list_unfenced(harness.now) == ["w1"]


def test_order_of_a_run_whose_lease_lapsed_is_fenced_off(harness: ShardHarness) -> None:
    order_without_answer(harness)
    harness.shard.apply_failure("w1", TIMED_OUT, harness.now)
    harness.now += 7.0
    harness.shard.expire_workers(harness.now)
    assert harness.shard.has_unanswered_starts("w1", harness.now)
    harness.shard.remove_worker("w1", "VM is down", harness.now)
    assert harness.shard.list_unfenced(harness.now) == ["w1"]


def test_order_is_fenced_off_in_the_incarnation_after_the_next(
    harness: ShardHarness,
) -> None:
    order_without_answer(harness)
    end_worker(harness, 0.2)
    first = answer_fencing_call(harness, RESTARTED)
    harness.shard.remove_worker("w1", "VM is down", harness.now)
    second = harness.shard.build_fencing_call("w1", harness.now)
    assert second is not None
    assert second.epoch > first.epoch


def test_worker_whose_orders_were_answered_is_not_called_after_its_end(
    harness: ShardHarness,
) -> None:
    harness.add_job(SHORT)
    harness.start_all()
    end_worker(harness, 0.2)
    assert harness.shard.list_unfenced(harness.now) == []


def test_removed_worker_is_called_no_longer_than_orders_may_be_late(
    harness: ShardHarness,
) -> None:
    order_without_answer(harness)
    end_worker(harness, 0.001)
    harness.now += LATE_CALL_S
    assert harness.shard.list_unfenced(harness.now) == []
    assert harness.shard.build_fencing_call("w1", harness.now) is None


def test_task_that_a_running_worker_left_unanswered_waits_for_the_next_incarnation(
    harness: ShardHarness,
) -> None:
    job, _ = order_without_answer(harness)
    end_worker(harness, 0.3)
    harness.now += HOLD_BACK_S - 0.1
    assert harness.plan() == []
    answer_fencing_call(harness, RESTARTED)
    # it is placed again once the new incarnation has ruled the late order out
    (stop,) = harness.shard.list_stops(harness.now)
    harness.shard.apply_stop_reply(stop, Reply(ReplyKind.DONE), harness.now)
    harness.now += 0.01
    harness.shard.apply_report("w1", RESTARTED, harness.now, harness.now)
    (again,) = harness.plan()
    assert again.worker_id == "w2"
    assert job.state.value == "running"


def test_job_does_not_stand_still_for_a_worker_that_is_lost_for_good(
    harness: ShardHarness,
) -> None:
    order_without_answer(harness)
    end_worker(harness, 0.3)
    harness.now += HOLD_BACK_S
    assert len(harness.plan()) == 1


def test_task_is_placed_at_once_if_its_order_was_under_way_as_the_worker_ended(
    harness: ShardHarness,
) -> None:
    order_without_answer(harness)
    end_worker(harness, 0.01)
    assert len(harness.plan()) == 1


@pytest.mark.parametrize("given_up", [False, True])
def test_copy_of_a_speculative_task_does_not_wait(
    harness: ShardHarness, given_up: bool
) -> None:
    step = attrs.evolve(SHORT, speculative=True)
    _, order = order_without_answer(harness, step)
    if given_up:
        harness.shard.apply_start_reply(order, TIMED_OUT, harness.now + 0.6)
        harness.now += 1.0
        harness.report("w1")
    end_worker(harness, 0.3)
    assert len(harness.plan()) == 1


def test_task_waits_no_longer_once_the_address_is_that_of_another_worker(
    harness: ShardHarness,
) -> None:
    order_without_answer(harness)
    end_worker(harness, 0.3)
    harness.shard.end_fencing("w1")
    assert harness.shard.build_fencing_call("w1", harness.now) is None
    assert len(harness.plan()) == 1


def test_worker_that_registered_for_another_service_gets_no_token_of_this_owner(
    harness: ShardHarness,
) -> None:
    # a higher one would keep the owner of the other service from calling it
    order_without_answer(harness)
    harness.shard.remove_worker("w1", "other service", harness.now, returns=False)
    assert harness.shard.list_unfenced(harness.now) == []


def test_worker_that_left_as_ordered_gets_no_token_of_this_owner(
    harness: ShardHarness,
) -> None:
    _, order = order_without_answer(harness)
    harness.shard.apply_start_reply(order, TIMED_OUT, harness.now + 0.6)
    harness.now += 1.0
    harness.report("w1")
    harness.shard.set_cordons({"w1": "move#1"})
    harness.shard.departures.note_drained({"w1": "move#1"})
    harness.shard.remove_worker("w1", "VM is down", harness.now)
    assert harness.shard.list_unfenced(harness.now) == []


def test_task_waits_no_longer_once_its_worker_registers_as_the_same_incarnation(
    harness: ShardHarness,
) -> None:
    order_without_answer(harness)
    end_worker(harness, 0.3)
    assert harness.plan() == []
    entry = attrs.evolve(ENTRY, born=FIRST_START_MS)
    harness.shard.observe_worker(entry, harness.now)
    assert len(harness.plan()) == 1


@pytest.mark.parametrize(
    ("after_s", "epoch", "is_called"),
    [(1.0, 4, True), (1.0, 1, False), (GRANT_WITHOUT_STORE_S + LATE_CALL_S, 4, False)],
)
def test_new_owner_fences_off_orders_of_the_former_one_that_it_does_not_know(
    after_s: float, epoch: int, is_called: bool
) -> None:
    shard = Shard("s", epoch, 100.0)
    entry = attrs.evolve(ENTRY, born=FIRST_START_MS)
    shard.observe_worker(entry, 100.0)
    shard.remove_worker("w1", "VM is down", 100.0 + after_s)
    assert (shard.list_unfenced(100.0 + after_s) == ["w1"]) is is_called
    assert (shard.build_fencing_call("w1", 100.0 + after_s) is not None) is is_called


@attrs.define
class ScriptedWorkers:
    """Answers hold requests in turn, the last answer again and again."""

    answers: list[HoldReport | Reply]
    calls: list[HoldOrder] = attrs.field(factory=list)
    forgotten: list[str] = attrs.field(factory=list)

    async def start(self, order: StartOrder) -> Reply:
        raise NotImplementedError

    async def stop(self, order: StopOrder) -> Reply:
        raise NotImplementedError

    async def set_pace(self, order: StopOrder, percent: int) -> Reply:
        raise NotImplementedError

    async def hold(self, order: HoldOrder) -> HoldReport | Reply:
        self.calls.append(order)
        return self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]

    async def forget(self, worker_id: str) -> None:
        self.forgotten.append(worker_id)


def fence(harness: ShardHarness, workers: ScriptedWorkers) -> list[str]:
    """Fence the removed worker; return the workers that answered as restarted."""
    restarted: list[str] = []

    async def run() -> None:
        offset = harness.now - anyio.current_time()
        fencing = RestartFencing(
            harness.shard,
            workers,
            lambda: anyio.current_time() + offset,
            restarted.append,
        )
        for worker_id in fencing.list_due():
            with anyio.fail_after(5.0):
                await fencing.fence(worker_id)

    run_virtually(run)
    return restarted


def test_calls_go_on_while_nothing_listens_until_the_next_incarnation_answers(
    harness: ShardHarness,
) -> None:
    order_without_answer(harness)
    end_worker(harness, 0.3)
    workers = ScriptedWorkers([REFUSED, TIMED_OUT, REFUSED, RESTARTED])
    assert fence(harness, workers) == ["w1"]
    assert len(workers.calls) == 4
    assert harness.shard.workers["w1"].fenced_off


@pytest.mark.parametrize(
    "answer", [ADDRESS_OF_ANOTHER, HoldReport(20.0, (), (), FIRST_START_MS)]
)
def test_calls_end_if_the_worker_did_not_restart(
    harness: ShardHarness, answer: HoldReport | Reply
) -> None:
    order_without_answer(harness)
    end_worker(harness, 0.3)
    workers = ScriptedWorkers([answer])
    assert fence(harness, workers) == []
    assert workers.forgotten == ["w1"]
    assert len(harness.plan()) == 1
