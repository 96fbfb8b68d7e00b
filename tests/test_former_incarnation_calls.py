"""Calls that were meant for the former incarnation of a worker and reach the next one.

Deadlines and sequence numbers of ends belong to one incarnation. On the next one, an
old deadline grants the longest lease, and an old number acknowledges ends unseen.
"""

import typing as t

import anyio
import anyio.abc
import attrs
import orjson
import pytest

from onyxgap.clocks import SystemClocks
from onyxgap.exceptions import OwnershipLostError
from onyxgap.jobs.job import Job
from onyxgap.jobs.job import TaskPhase
from onyxgap.jobs.leases import FormerGrants
from onyxgap.jobs.messages import EndKind
from onyxgap.jobs.messages import JobState
from onyxgap.jobs.messages import Step
from onyxgap.jobs.messages import TaskId
from onyxgap.jobs.messages import WorkerState
from onyxgap.jobs.ownership import OwnerView
from onyxgap.jobs.shard import Shard
from onyxgap.jobs.shard_leases import UNHEARD_LEASE_S
from onyxgap.jobs.tables import OwnerRow
from onyxgap.jobs.workers import MAX_CLOCK_DRIFT
from onyxgap.jobs.workers import HoldOrder
from onyxgap.jobs.workers import HoldReport
from onyxgap.jobs.workers import Reply
from onyxgap.jobs.workers import ReplyKind
from onyxgap.jobs.workers import StartOrder
from onyxgap.jobs.workers import StopOrder
from onyxgap.platform.workers import PlatformWorkerClient
from tests.owners import build_owner
from tests.test_shard import ENTRY
from tests.test_shard import WALL_MS
from tests.test_shard import ShardHarness

FIRST_START_MS, SECOND_START_MS = 1_700_000_000_000, 1_700_000_007_000
LATEST_CALL_S = 12.0
"""Delay of the latest call that a worker carries out."""
LONGEST_LEASE_S = 10.0
SLOWEST_LEASE_S = LONGEST_LEASE_S / (1 - MAX_CLOCK_DRIFT)
FORMER_OWNER = OwnerView(OwnerRow("node", "boot", 3), 1, 99.0)
LONG = Step(1, cpu=1000, memory_mb=100, estimate_ms=6_000)


@pytest.fixture
def harness() -> ShardHarness:
    shard = Shard("s", epoch=3, claimed_at=50.0, max_lease_s=LONGEST_LEASE_S)
    harness = ShardHarness(shard)
    harness.add_worker("w1", born=FIRST_START_MS)
    harness.add_worker("w2", born=FIRST_START_MS, state=WorkerState.DRAINING)
    return harness


def restart(harness: ShardHarness) -> None:
    """Have the owner learn of the next incarnation, and hold it."""
    entry = attrs.evolve(ENTRY, born=SECOND_START_MS, clock_ms=10.0)
    harness.shard.observe_worker(entry, harness.now)
    harness.now += 0.01
    report = HoldReport(20.0, (), (), SECOND_START_MS)
    harness.shard.apply_report("w1", report, harness.now, harness.now)


def cut_off(harness: ShardHarness, for_s: float) -> None:
    silent = Reply(ReplyKind.NO_ANSWER)
    harness.shard.apply_failure("w1", silent, harness.now)
    harness.now += for_s
    harness.shard.expire_workers(harness.now)


def is_running(job: Job) -> bool:
    (task,) = job.occurrences[0].steps[0]
    return task.phase is TaskPhase.RUNNING


def test_run_is_not_started_twice_while_a_former_deadline_keeps_it_on_a_cut_worker(
    harness: ShardHarness,
) -> None:
    restart(harness)
    answered_at = harness.now
    job = harness.add_job(LONG)
    harness.start_all()
    harness.now += 2.0
    cut_off(harness, 7.0)
    assert is_running(job)
    cut_off(harness, answered_at + SLOWEST_LEASE_S - 0.1 - harness.now)
    assert is_running(job)
    cut_off(harness, 0.2)
    assert not is_running(job)


def test_late_calls_for_the_former_incarnation_are_fenced_off_once_the_next_answers(
    harness: ShardHarness,
) -> None:
    harness.add_job(LONG)
    (order,) = harness.plan()
    former = harness.shard.prepare_start(order, harness.now)
    restart(harness)
    record = harness.shard.workers["w1"]
    successor = Shard("s", harness.shard.epoch + 1, 60.0)
    token_of_successor = successor.get_token(successor.observe_worker(ENTRY, 60.0))
    assert former is not None
    assert former.epoch < harness.shard.get_token(record) < token_of_successor


def test_late_calls_are_fenced_off_also_if_the_worker_was_removed_meanwhile(
    harness: ShardHarness,
) -> None:
    former_token = harness.shard.get_token(harness.shard.workers["w1"])
    harness.shard.remove_worker("w1", "VM is down", harness.now)
    restart(harness)
    assert former_token < harness.shard.get_token(harness.shard.workers["w1"])


def test_run_is_not_started_twice_after_its_worker_came_back_to_the_registry(
    harness: ShardHarness,
) -> None:
    harness.shard.remove_worker("w1", "unregistered", harness.now, crashed=False)
    restart(harness)
    job = harness.add_job(LONG)
    harness.start_all()
    cut_off(harness, 9.0)
    assert is_running(job)


def test_worker_that_comes_back_as_the_same_incarnation_keeps_no_lease_longer(
    harness: ShardHarness,
) -> None:
    harness.shard.remove_worker("w1", "unregistered", harness.now, crashed=False)
    entry = attrs.evolve(ENTRY, born=FIRST_START_MS)
    record = harness.shard.observe_worker(entry, harness.now)
    assert harness.shard.get_lease_left_s(record, harness.now) < 0


def test_new_owner_reckons_with_leases_by_calls_for_the_former_incarnation() -> None:
    grants = FormerGrants(FORMER_OWNER, 100.0, 90.0)
    shard = Shard("s", 4, 100.0, max_lease_s=LONGEST_LEASE_S, former_grants=grants)
    entry = attrs.evolve(ENTRY, born=int(WALL_MS) - 2_000)
    record = shard.observe_worker(entry, 100.0, WALL_MS)
    lease_left_s = shard.get_lease_left_s(record, 100.0)
    assert lease_left_s == pytest.approx(LATEST_CALL_S + SLOWEST_LEASE_S)
    # the late calls are over, but the lease by the last one is not
    lease_left_s = shard.get_lease_left_s(record, 112.1)
    assert lease_left_s == pytest.approx(SLOWEST_LEASE_S - 0.1)


def test_new_owner_reckons_with_no_call_of_an_owner_that_claimed_later() -> None:
    grants = FormerGrants(FORMER_OWNER, 100.0, 98.5)
    shard = Shard("s", 4, 100.0, max_lease_s=LONGEST_LEASE_S, former_grants=grants)
    entry = attrs.evolve(ENTRY, born=int(WALL_MS) - 2_000)
    record = shard.observe_worker(entry, 100.0, WALL_MS)
    assert shard.get_lease_left_s(record, 100.0) == pytest.approx(UNHEARD_LEASE_S)


def test_new_owner_reckons_with_no_former_incarnation_of_a_worker_up_for_long() -> None:
    grants = FormerGrants(FORMER_OWNER, 100.0, 90.0)
    shard = Shard("s", 4, 100.0, max_lease_s=LONGEST_LEASE_S, former_grants=grants)
    entry = attrs.evolve(ENTRY, born=int(WALL_MS) - 60_000)
    record = shard.observe_worker(entry, 100.0, WALL_MS)
    assert shard.get_lease_left_s(record, 100.0) == pytest.approx(UNHEARD_LEASE_S)


@attrs.define(eq=False)
class RestartingWorker:
    """Worker of one incarnation, which records the calls that it carries out.

    :param born: Unix milliseconds of its start.
    :param calls: path and body of each call.
    :param keeps_open: whether a connection stays open after an answer.
    :param open: number of open connections.
    """

    born: t.Any = SECOND_START_MS
    keeps_open: bool = True
    open: int = 0
    calls: list[tuple[str, dict[str, t.Any]]] = attrs.field(factory=list)

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        self.open += 1
        try:
            async with stream:
                await self._answer(stream, await stream.receive())
                while self.keeps_open:
                    await self._answer(stream, await stream.receive())
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            pass
        finally:
            self.open -= 1

    async def _answer(self, stream: anyio.abc.SocketStream, request: bytes) -> None:
        head, _, body = request.partition(b"\r\n\r\n")
        self.calls.append((head.split()[1].decode(), orjson.loads(body)))
        answer = orjson.dumps(
            {"clock_ms": 20.0, "running": [], "ended": [], "born": self.born}
        )
        length = str(len(answer)).encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Length: " + length + b"\r\n"
        head += b"\r\n" if self.keeps_open else b"Connection: close\r\n\r\n"
        await stream.send(head + answer)

    def list_bound_calls(self) -> list[tuple[str, dict[str, t.Any]]]:
        """List the calls that mean something to one incarnation only."""
        return [
            (path, body)
            for path, body in self.calls
            if path != "/hold" or body.get("acked_upto") or "deadline_ms" in body
        ]


TASK = TaskId("a" * 16, 0, 0, 0)
Outcome = t.TypeVar("Outcome")
Call = t.Callable[[PlatformWorkerClient, str], t.Awaitable[Outcome]]


def call_worker(worker: RestartingWorker, call: Call[Outcome]) -> Outcome:
    async def main() -> Outcome:
        async with anyio.create_task_group() as group:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            host, port = listener.extra(anyio.abc.SocketAttribute.local_address)
            group.start_soon(listener.serve, worker.serve)
            outcome = await call(PlatformWorkerClient(), f"{host}:{port}")
            group.cancel_scope.cancel()
        return outcome

    return anyio.run(main)


def test_next_incarnation_forgets_no_end_by_a_number_of_the_former_one() -> None:
    worker = RestartingWorker()

    async def hold(client: PlatformWorkerClient, address: str) -> HoldReport | Reply:
        order = HoldOrder("w1", address, 3, 40, 900_000.0, 0, margin_s=5.0)
        return await client.hold(order)

    report = call_worker(worker, hold)
    assert isinstance(report, HoldReport)
    assert report.born == SECOND_START_MS
    assert worker.list_bound_calls() == []


def build_hold(address: str, incarnation: int) -> HoldOrder:
    return HoldOrder(
        "w1", address, 3, 40, 900_000.0, 0, margin_s=5.0, incarnation=incarnation
    )


def test_hold_request_is_sent_whole_to_the_incarnation_that_it_is_meant_for() -> None:
    worker = RestartingWorker()

    async def hold_twice(client: PlatformWorkerClient, address: str) -> None:
        for _ in range(2):
            await client.hold(build_hold(address, SECOND_START_MS))

    call_worker(worker, hold_twice)
    ((path, body),) = worker.list_bound_calls()
    assert (path, body["acked_upto"], body["deadline_ms"]) == ("/hold", 40, 900_000)


def test_next_incarnation_gets_no_start_order_of_the_former_one() -> None:
    worker = RestartingWorker()

    async def start(client: PlatformWorkerClient, address: str) -> Reply:
        order = StartOrder(
            "w1",
            address,
            TASK,
            1,
            "spec",
            900_000.0,
            3,
            timeout_s=5.0,
            incarnation=FIRST_START_MS,
        )
        return await client.start(order)

    assert call_worker(worker, start).kind is ReplyKind.OTHER_INCARNATION
    assert worker.list_bound_calls() == []


def test_stop_order_is_confirmed_by_no_other_incarnation() -> None:
    worker = RestartingWorker()

    async def stop(client: PlatformWorkerClient, address: str) -> Reply:
        order = StopOrder("w1", address, TASK, 1, 3, incarnation=FIRST_START_MS)
        return await client.stop(order)

    assert call_worker(worker, stop).kind is ReplyKind.OTHER_INCARNATION
    assert worker.list_bound_calls() == []


@pytest.mark.parametrize("incarnation", [0, SECOND_START_MS])
def test_orders_reach_the_incarnation_that_they_are_meant_for(incarnation: int) -> None:
    worker = RestartingWorker()

    async def stop(client: PlatformWorkerClient, address: str) -> Reply:
        order = StopOrder("w1", address, TASK, 1, 3, incarnation=incarnation)
        return await client.stop(order)

    assert call_worker(worker, stop).kind is ReplyKind.DONE
    assert [path for path, _ in worker.list_bound_calls()] == ["/run-stop"]


def test_worker_that_closes_each_connection_gets_its_lease_and_its_orders() -> None:
    worker = RestartingWorker(keeps_open=False)

    async def call(client: PlatformWorkerClient, address: str) -> Reply:
        await client.hold(build_hold(address, SECOND_START_MS))
        order = StopOrder("w1", address, TASK, 1, 3, incarnation=SECOND_START_MS)
        return await client.stop(order)

    assert call_worker(worker, call).kind is ReplyKind.DONE
    assert [path for path, _ in worker.list_bound_calls()] == ["/hold", "/run-stop"]


def test_connection_whose_incarnation_cannot_be_read_is_closed() -> None:
    worker = RestartingWorker(born="soon")

    async def call(client: PlatformWorkerClient, address: str) -> ReplyKind:
        order = StopOrder("w1", address, TASK, 1, 3, incarnation=SECOND_START_MS)
        reply = await client.stop(order)
        with anyio.fail_after(5.0):
            while worker.open:
                await anyio.sleep(0.01)
        return reply.kind

    assert call_worker(worker, call) is ReplyKind.NOT_SENT
    assert worker.list_bound_calls() == []


def test_rejected_call_for_the_former_incarnation_does_not_end_the_ownership() -> None:
    async def main() -> None:
        nothing: t.Any = None
        owner = build_owner(nothing, SystemClocks())
        owner.state.observe_worker(attrs.evolve(ENTRY, born=FIRST_START_MS), 0.0)
        former = owner._build_hold("w1")
        owner.state.observe_worker(attrs.evolve(ENTRY, born=SECOND_START_MS), 0.0)
        stale = Reply(ReplyKind.STALE_OWNER)
        owner._check_fence(former, stale)
        with pytest.raises(OwnershipLostError):
            owner._check_fence(owner._build_hold("w1"), stale)

    anyio.run(main)


def test_run_that_was_given_up_is_not_started_again_once_it_is_known_to_be_done(
    harness: ShardHarness,
) -> None:
    job = harness.add_job(LONG)
    (order,) = harness.start_all()
    harness.report("w1")
    cut_off(harness, 60.0)
    assert not is_running(job)
    harness.report("w1", (order, EndKind.DONE))
    assert job.state is JobState.SUCCEEDED
    assert harness.plan() == []
    assert harness.shard.workers["w1"].unstored_jobs == {job.submission.job_id}


def test_token_does_not_go_down_when_the_same_incarnation_registers_again(
    harness: ShardHarness,
) -> None:
    """The worker would reject it, and its owner would end its ownership."""
    restart(harness)
    seen = harness.shard.get_token(harness.shard.workers["w1"])
    harness.shard.remove_worker("w1", "unregistered", harness.now, crashed=False)
    harness.now += 60.0
    harness.shard.remove_worker("w2", "unregistered", harness.now, crashed=False)
    entry = attrs.evolve(ENTRY, born=SECOND_START_MS)
    record = harness.shard.observe_worker(entry, harness.now)
    assert harness.shard.get_token(record) == seen


def test_answer_to_a_call_with_the_former_token_fences_nothing_off(
    harness: ShardHarness,
) -> None:
    former_token = harness.shard.get_token(harness.shard.workers["w1"])
    entry = attrs.evolve(ENTRY, born=SECOND_START_MS)
    harness.shard.observe_worker(entry, harness.now)
    until = harness.shard.workers["w1"].former_lease_until
    report = HoldReport(20.0, (), (), SECOND_START_MS)
    harness.shard.apply_report("w1", report, harness.now, harness.now, former_token)
    record = harness.shard.workers["w1"]
    assert (record.held, record.former_lease_until) == (True, until)
    token = harness.shard.get_token(record)
    harness.shard.apply_report("w1", report, harness.now, harness.now, token)
    assert record.former_lease_until == pytest.approx(harness.now + SLOWEST_LEASE_S)
