"""Connections of an owner to the workers of its shard."""

import typing as t

import anyio
import anyio.abc
import attrs
import pytest

from onyxgap.clocks import SystemClocks
from onyxgap.daemons.owner import ShardOwner
from onyxgap.jobs.messages import TaskId
from onyxgap.jobs.messages import WorkerEntry
from onyxgap.jobs.messages import WorkerState
from onyxgap.jobs.workers import StopOrder
from onyxgap.platform.connections import WorkerConnections
from onyxgap.platform.http import CallFailure
from onyxgap.platform.workers import PlatformWorkerClient
from tests.owners import build_owner

REPORT = b'{"clock_ms":1000.0,"running":[],"ended":[]}'
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(REPORT) + REPORT
CALLS = 5
"""Concurrent calls beside the hold requests."""


@attrs.define(eq=False)
class Worker:
    """Worker that answers every request, slowly if asked to.

    :param delay_s: seconds before each answer.
    :param open: number of open connections.
    :param requests: number of requests received.
    """

    delay_s: float = 0.02
    open: int = 0
    requests: int = 0

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        self.open += 1
        try:
            async with stream:
                while True:
                    await stream.receive()
                    self.requests += 1
                    await anyio.sleep(self.delay_s)
                    await stream.send(ANSWER)
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            pass
        finally:
            self.open -= 1


@pytest.fixture
def worker() -> Worker:
    return Worker()


async def listen(group: anyio.abc.TaskGroup, worker: Worker) -> str:
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    host, port = listener.extra(anyio.abc.SocketAttribute.local_address)
    group.start_soon(listener.serve, worker.serve)
    return f"{host}:{port}"


async def wait_until(condition: t.Callable[[], bool]) -> None:
    with anyio.fail_after(5.0):
        while not condition():
            await anyio.sleep(0.01)


def build_owner_of_worker(address: str) -> ShardOwner:
    clocks = SystemClocks()
    owner = build_owner(PlatformWorkerClient(), clocks)
    entry = WorkerEntry(
        "w1", "shard", address, "zone", WorkerState.READY, 1000, 1000, 0, (), 0.0
    )
    owner.state.observe_worker(entry, clocks.read_monotonic())
    return owner


def test_former_owner_keeps_no_connections_to_workers(worker: Worker) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            owner = build_owner_of_worker(await listen(group, worker))
            entry = owner.state.workers["w1"].entry
            order = StopOrder("w1", entry.address, TaskId("job", 0, 0, 0), 1, 1)
            async with anyio.create_task_group() as ownership:
                owner._group = ownership
                owner._start_hold_loop("w1")
                await wait_until(lambda: worker.requests > 0)
                async with anyio.create_task_group() as calls:
                    for _ in range(CALLS):
                        calls.start_soon(owner.context.workers.stop, order)
                assert worker.open > 1
                ownership.cancel_scope.cancel()
            await wait_until(lambda: worker.open == 0)
            group.cancel_scope.cancel()

    anyio.run(main)


def test_call_that_outlives_its_connections_does_not_keep_its_own(
    worker: Worker,
) -> None:
    worker.delay_s = 0.1

    async def main() -> None:
        async with anyio.create_task_group() as group:
            connections = WorkerConnections(await listen(group, worker), 4)
            async with anyio.create_task_group() as calls:

                async def call() -> None:
                    answer = await connections.call("POST", "/hold", timeout_s=1.0)
                    assert answer.status == 200

                calls.start_soon(call)
                await wait_until(lambda: worker.requests == 1)
                await connections.retire()
            await wait_until(lambda: worker.open == 0)
            group.cancel_scope.cancel()

    anyio.run(main)


def test_stop_order_to_a_removed_worker_leaves_no_connection(worker: Worker) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            owner = build_owner_of_worker(await listen(group, worker))
            entry = owner.state.workers["w1"].entry
            owner.state.remove_worker("w1", "gone", 0.0)
            task = TaskId("job", 0, 0, 0)
            await owner._send_stop(StopOrder("w1", entry.address, task, 1, 1))
            # the call that tells the incarnation, and the order
            assert worker.requests == 2
            await wait_until(lambda: worker.open == 0)
            group.cancel_scope.cancel()

    anyio.run(main)


def test_refused_connection_is_named_in_the_outcome_of_a_call() -> None:
    async def main() -> None:
        async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
        connections = WorkerConnections(f"127.0.0.1:{port}", 1)
        answer = await connections.call("POST", "/hold", {}, timeout_s=1.0)
        assert answer.failure is CallFailure.NOT_SENT
        assert answer.reason == "ConnectionRefusedError"

    anyio.run(main)
