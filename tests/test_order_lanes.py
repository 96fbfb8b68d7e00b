"""Start orders of an owner that has more of them than it can send at once."""

import typing as t

import anyio
import attrs
import pytest

from onyxgap.daemons.lanes import MAX_IN_FLIGHT
from onyxgap.daemons.lanes import MAX_IN_FLIGHT_PER_WORKER
from onyxgap.daemons.owner import ShardOwner
from onyxgap.jobs.holds import MAX_PAUSE_S
from onyxgap.jobs.holds import choose_hold_pause
from onyxgap.jobs.messages import TaskId
from onyxgap.jobs.workers import Reply
from onyxgap.jobs.workers import ReplyKind
from onyxgap.jobs.workers import StartOrder
from onyxgap.standins.virtual import run_virtually
from tests.owners import build_owner

CALL_S = 0.004
VALID_S = 0.5
ORDERS = 400


@attrs.define(eq=False)
class SerialWorkers:
    """Workers that are reached by one call at a time; some never answer."""

    silent: t.Container[str] = ()
    late: int = 0
    arrived: dict[str, float] = attrs.field(factory=dict)
    _processor: anyio.Semaphore = attrs.field(factory=lambda: anyio.Semaphore(1))

    async def start(self, order: StartOrder) -> Reply:
        if order.worker_id in self.silent:
            await anyio.sleep(0.6)
            return Reply(ReplyKind.NO_ANSWER)
        async with self._processor:
            await anyio.sleep(CALL_S)
        now = anyio.current_time()
        self.late += now * 1000 > order.deadline_ms
        self.arrived.setdefault(order.worker_id, now)
        return Reply(ReplyKind.DONE)


class VirtualClocks:
    """Reads the virtual time of the event loop."""

    def read_monotonic(self) -> float:
        return anyio.current_time()

    def read_boot(self) -> float:
        return anyio.current_time()

    def read_wall(self) -> float:
        return 1.8e9


class PermissiveShard:
    """Shard state that permits every order and sets its deadline when it is sent."""

    def prepare_start(self, order: StartOrder, now: float) -> StartOrder:
        return attrs.evolve(order, deadline_ms=(now + VALID_S) * 1000)

    def apply_start_reply(self, order: StartOrder, reply: Reply, now: float) -> None:
        pass

    def is_isolated(self, order: StartOrder) -> bool:
        return False


def build_limited_owner(workers: SerialWorkers) -> ShardOwner:
    clocks: t.Any = VirtualClocks()
    built = build_owner(t.cast("t.Any", workers), clocks)
    built.state = t.cast("t.Any", PermissiveShard())
    return built


def build_order(number: int, worker_id: str) -> StartOrder:
    task = TaskId("0" * 16, 0, 0, number)
    return StartOrder(worker_id, "host:1", task, 1, "", 0.0, 1, "", "")


async def send_orders(workers: SerialWorkers, orders: t.Iterable[StartOrder]) -> None:
    owner = build_limited_owner(workers)
    async with anyio.create_task_group() as group:
        for order in orders:
            group.start_soon(owner._send_start, order)


def test_burst_of_start_orders_arrives_before_their_deadlines() -> None:
    # Guards against setting all deadlines at once: with 400 calls of 4 ms, one after
    # the other, 276 orders then arrive after theirs.
    workers = SerialWorkers()
    orders = [build_order(number, f"w{number % 50}") for number in range(ORDERS)]
    run_virtually(send_orders, workers, orders)
    assert workers.late == 0


def test_silent_workers_do_not_delay_orders_to_others() -> None:
    silent = [f"silent{number}" for number in range(4)]
    workers = SerialWorkers(silent)
    orders = [build_order(n, silent[n % 4]) for n in range(80)]
    orders += [build_order(n, f"w{n % 20}") for n in range(80, 100)]
    run_virtually(send_orders, workers, orders)
    assert len(workers.arrived) == 20
    assert max(workers.arrived.values()) < 0.3
    assert len(silent) * MAX_IN_FLIGHT_PER_WORKER <= MAX_IN_FLIGHT / 2


@pytest.mark.parametrize(
    ("lag_s", "pause_s"), [(0.0, 0.0), (0.01, 0.0), (0.05, 0.1), (4.0, MAX_PAUSE_S)]
)
def test_lagging_owner_sends_fewer_hold_requests(lag_s: float, pause_s: float) -> None:
    assert choose_hold_pause(lag_s) == pytest.approx(pause_s)
