"""The emulator's workers: what reaches their next incarnations, and their leases."""

import random
import typing as t

import anyio
import anyio.abc
import pytest

from onyxgap.jobs.messages import Step
from onyxgap.jobs.messages import TaskId
from onyxgap.jobs.workers import HoldOrder
from onyxgap.jobs.workers import HoldReport
from onyxgap.jobs.workers import Reply
from onyxgap.jobs.workers import ReplyKind
from onyxgap.jobs.workers import StartOrder
from onyxgap.pools.messages import Vm
from onyxgap.pools.messages import VmState
from onyxgap.standins.emulator.cloud import EmulatedCloud
from onyxgap.standins.emulator.gate import NodeGate
from onyxgap.standins.emulator.nature import TaskNature
from onyxgap.standins.emulator.store import EmulatedStore
from onyxgap.standins.emulator.workers import MAX_LEASE_MS
from onyxgap.standins.emulator.workers import EmulatedWorker
from onyxgap.standins.emulator.workers import EmulatedWorkers
from onyxgap.standins.emulator.workers import EmulatedWorkersClient
from onyxgap.standins.virtual import run_virtually

VM_NAME = "ring-0"
ADDRESS = f"{VM_NAME}:1"
CORES = 8
WIDE_STEP = 1
"""Step whose tasks need more than a worker has."""
FIRST_CLOCK_MS = 50_000.0
FAR_MS = 1e9


def find_nature(task: TaskId) -> TaskNature:
    cores = 2 * CORES if task.step == WIDE_STEP else 1
    return TaskNature(Step(1, cpu=cores * 1000), 60.0)


class Platform:
    """One VM with a worker, and one node."""

    def __init__(self, group: anyio.abc.TaskGroup) -> None:
        rng = random.Random(1)
        self.workers = EmulatedWorkers(rng, group)
        self.cloud = EmulatedCloud(
            EmulatedStore(rng, group), self.workers, group, find_nature, rng, "spare"
        )
        vm = Vm(VM_NAME, "ring", VmState.UP, "zone", "rack", CORES * 1000, 1000)
        self.cloud.add(vm)
        self.worker_id = self.cloud.vms[VM_NAME].worker_id
        self.client = EmulatedWorkersClient(self.workers, NodeGate("node-0"))

    def get_worker(self) -> EmulatedWorker:
        worker = self.cloud.get_worker(VM_NAME)
        assert worker is not None
        return worker

    def measure_lease(self) -> float:
        worker = self.get_worker()
        return worker.lease_ms - worker.read_clock()

    async def start(
        self, run: int = 1, step: int = 0, deadline_ms: float = FAR_MS
    ) -> Reply:
        task = TaskId("a" * 16, 0, step, 0)
        return await self.client.start(
            StartOrder(self.worker_id, ADDRESS, task, run, "", deadline_ms, 1)
        )

    async def hold(
        self, deadline_ms: float | None = None, wait_ms: int = 0
    ) -> HoldReport | Reply:
        return await self.client.hold(
            HoldOrder(self.worker_id, ADDRESS, 1, 0, deadline_ms, wait_ms)
        )


def play(run: t.Callable[[Platform], t.Awaitable[None]]) -> None:
    async def play_alone() -> None:
        async with anyio.create_task_group() as group:
            await run(Platform(group))
            group.cancel_scope.cancel()

    run_virtually(play_alone)


def test_lease_of_an_accepted_start_is_shortened() -> None:
    async def run(platform: Platform) -> None:
        assert (await platform.start()).kind is ReplyKind.DONE
        assert platform.measure_lease() == pytest.approx(MAX_LEASE_MS, abs=5)

    play(run)


@pytest.mark.parametrize(
    ("run_number", "step", "kind"),
    [(1, 0, ReplyKind.STALE_RUN), (3, WIDE_STEP, ReplyKind.NO_ROOM)],
)
def test_deadline_of_a_rejected_start_becomes_the_lease(
    run_number: int, step: int, kind: ReplyKind
) -> None:
    async def run(platform: Platform) -> None:
        await platform.start(2, deadline_ms=FIRST_CLOCK_MS + 1000)
        reply = await platform.start(run_number, step, FIRST_CLOCK_MS + 6000)
        assert reply.kind is kind
        assert platform.get_worker().lease_ms == FIRST_CLOCK_MS + 6000

    play(run)


def test_late_start_leaves_the_lease() -> None:
    async def run(platform: Platform) -> None:
        reply = await platform.start(deadline_ms=FIRST_CLOCK_MS - 1)
        assert reply.kind is ReplyKind.TOO_LATE
        assert platform.get_worker().lease_ms == 0

    play(run)


def test_call_to_a_worker_without_power_reaches_the_next_incarnation() -> None:
    async def run(platform: Platform) -> None:
        former = platform.get_worker()
        platform.cloud.restart(VM_NAME, 0.6)
        await anyio.sleep(0.3)
        report = await platform.hold(FIRST_CLOCK_MS + 20_000)
        assert isinstance(report, HoldReport)
        assert report.born > former.entry.born
        assert platform.measure_lease() == pytest.approx(MAX_LEASE_MS, abs=5)

    play(run)


def test_call_to_a_worker_without_power_times_out() -> None:
    async def run(platform: Platform) -> None:
        platform.cloud.restart(VM_NAME, 3.0)
        reply = await platform.start()
        assert reply.kind is ReplyKind.NO_ANSWER
        assert anyio.current_time() == pytest.approx(0.8, abs=0.01)

    play(run)


def test_hold_request_under_way_as_the_power_goes_times_out() -> None:
    async def run(platform: Platform) -> None:
        async def cut_power() -> None:
            await anyio.sleep(0.2)
            platform.cloud.restart(VM_NAME, 3.0)

        async with anyio.create_task_group() as group:
            group.start_soon(cut_power)
            reply = await platform.hold(wait_ms=1000)
        assert isinstance(reply, Reply)
        assert reply.kind is ReplyKind.NO_ANSWER
        assert anyio.current_time() >= 1.0

    play(run)


def test_late_calls_are_carried_out_by_the_next_incarnation() -> None:
    async def run(platform: Platform) -> None:
        platform.workers.link.late_share = 1.0
        platform.workers.hold_link.late_share = 1.0
        await platform.start()
        await platform.hold(FIRST_CLOCK_MS + 20_000)
        platform.cloud.restart(VM_NAME, 0.1)
        await anyio.sleep(7.0)
        worker = platform.get_worker()
        assert worker.alive
        assert len(worker.runs) == 1
        assert platform.measure_lease() > 0

    play(run)


def test_late_calls_are_not_carried_out_under_another_id() -> None:
    async def run(platform: Platform) -> None:
        platform.workers.link.late_share = 1.0
        platform.workers.hold_link.late_share = 1.0
        await platform.start()
        await platform.hold(FIRST_CLOCK_MS + 20_000)
        platform.cloud.crash(VM_NAME, 0.1)
        await anyio.sleep(7.0)
        worker = platform.get_worker()
        assert worker.alive
        assert worker.runs == {}
        assert worker.lease_ms == 0

    play(run)
