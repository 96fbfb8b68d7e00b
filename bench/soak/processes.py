"""Places where a node runs as a process, is paused, killed and started again."""

import itertools
import os
import pathlib
import random
import signal
import socket
import sys
import typing as t

import anyio
import anyio.abc
import attrs
import httpcore
import orjson

from onyxgap.adapters.http_server import HttpServer
from onyxgap.exceptions import DocumentError
from onyxgap.jobs import tables
from onyxgap.jobs.desk import SubmitOutcome
from onyxgap.jobs.desk import Unavailable
from onyxgap.jobs.messages import JobState
from onyxgap.jobs.messages import Submission
from onyxgap.jobs.routing import Route
from onyxgap.jobs.tenants import KeyRejection
from onyxgap.settings import Address
from onyxgap.standins.emulator.cloud import EmulatedCloudClient
from onyxgap.standins.emulator.fault_targets import FaultedNode
from onyxgap.standins.emulator.gate import NodeGate
from onyxgap.standins.emulator.job_notes import NoQueue
from onyxgap.standins.emulator.job_notes import SubmitAnswer
from onyxgap.standins.emulator.slots import NodeSlot
from onyxgap.standins.emulator.store import EmulatedStoreClient
from onyxgap.standins.emulator.workers import MAX_LEASE_MS
from onyxgap.standins.emulator.workers import EmulatedWorkersClient

from . import wire
from .connections import PlatformConnections
from .cores import CoreShare
from .lost_calls import CallTrace
from .lost_calls import LostCalls
from .platform import PlatformApp

CALL_TIMEOUT_S = 3.0
"""Callers of the emulated day wait as long."""
PORTS_PER_NODE = 6
"""Consecutive ports that each node needs: platform, callers, probes and peers."""
PORT_RANGE_START = 15_000
PORT_RANGE_END = 32_000
START_POLL_S = 0.1
GRACE_S = 6.0
"""Time between the request to stop a process and its end."""
_OUTCOMES = {
    200: SubmitOutcome.ACCEPTED,
    429: SubmitOutcome.OVERLOADED,
    503: SubmitOutcome.REFUSED,
    400: SubmitOutcome.ABOVE_CAP,
    403: SubmitOutcome.OTHER_TENANT,
    409: SubmitOutcome.OTHER_REQUEST,
    504: SubmitOutcome.UNKNOWN,
}
_guard_sockets: list[socket.socket] = []
_BROKEN = (httpcore.NetworkError, httpcore.ProtocolError)


def reserve_ports() -> int:
    """Reserve consecutive free TCP and UDP ports and return the first.

    The guard port after the block stays bound, so that concurrent soaks do not select
    the same block.
    """
    blocks = range(PORT_RANGE_START, PORT_RANGE_END, PORTS_PER_NODE + 1)
    offset = os.getpid() % len(blocks)
    for first in itertools.chain(blocks[offset:], blocks[:offset]):
        guard = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            guard.bind(("127.0.0.1", first + PORTS_PER_NODE))
            _check_ports_free(range(first, first + PORTS_PER_NODE))
        except OSError:
            guard.close()
            continue
        _guard_sockets.append(guard)
        return first
    raise OSError("no free ports")


def _check_ports_free(ports: t.Iterable[int]) -> None:
    for port in ports:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                probe.bind(("127.0.0.1", port))


@attrs.define(eq=False)
class PausedGate(NodeGate):
    """A gate whose freezes pause the process."""

    process: anyio.abc.Process | None = None

    def freeze(self) -> None:
        """Pause the process."""
        self._signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let it go on."""
        self._signal(signal.SIGCONT)

    def _signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


@attrs.define(eq=False)
class RunningNode:
    """What the faults of a day look at."""

    slot: "ProcessSlot"

    @property
    def owners(self) -> set[str]:
        """Shards whose rows name this node as their owner."""
        found = set()
        for row_id, row in self.slot.day.store.rows.items():
            if row_id.table == tables.OWNER_TABLE:
                try:
                    owner = tables.decode_owner(row.value)
                except DocumentError:
                    continue
                if owner.node == self.slot.name and not owner.released:
                    found.add(row_id.part)
        return found

    @property
    def fleet_controller(self) -> bool:
        """Whether it has the fleet controller role."""
        return tables.FLEET_SHARD in self.owners

    async def release(self) -> None:
        """Ask the process to stop, and wait for its end."""
        await self.slot.stop()


@attrs.define(eq=False)
class ProcessSlot(NodeSlot):
    """A place where a node runs as a process.

    :param folder: where its settings and log are written.
    :param cores: processors of the nodes.
    :param outlived: processes that were still there at the end of their grace.
    :param ended: exit codes of processes that nobody ended.
    :param connections: connections of its nodes to the platform.
    :param lost_calls: calls that broke around planned stops.
    """

    folder: pathlib.Path = pathlib.Path()
    cores: CoreShare = CoreShare()
    outlived: int = 0
    ended: list[int] = attrs.field(factory=list)
    lost_calls: LostCalls = attrs.field(factory=LostCalls)
    connections: PlatformConnections = attrs.field(init=False)
    _ports: int = attrs.field(init=False)
    _pool: httpcore.AsyncConnectionPool | None = None
    _wanted: bool = True

    def __attrs_post_init__(self) -> None:
        super().__attrs_post_init__()
        self._ports = reserve_ports()
        self.connections = PlatformConnections(random.Random(f"breaks/{self.name}"))

    def _build_gate(self) -> PausedGate:
        return PausedGate(self.name)

    async def listen(self, group: anyio.abc.TaskGroup) -> None:
        """Serve the platform for this node."""
        day, gate = self.day, self.gate
        address = Address("127.0.0.1", self._ports)
        app = PlatformApp(
            EmulatedStoreClient(day.store, gate),
            EmulatedCloudClient(day.cloud, gate),
            EmulatedWorkersClient(day.workers, gate),
            day.workers,
            str(address),
            self.connections,
            self._build_policy_client(),
        )
        await group.start(HttpServer(app, address).run)

    def _write_settings(self) -> pathlib.Path:
        first = self._ports
        contracts = "base,tenants" if self.day.script.tenants else "base"
        if self.day.script.contended:
            contracts += ",pressure"
        lines = {
            "node": self.name,
            "zone": "zone",
            "listen.front": f"127.0.0.1:{first + 1}",
            "listen.ready": f"127.0.0.1:{first + 2}",
            "platform.address": f"127.0.0.1:{first}",
            "cloud.address": f"127.0.0.1:{first}",
            "port_range": f"{first + 3},{first + 5}",
            "contracts": contracts,
            "bounds.status_s": str(self.day.script.retention_s),
            "bounds.max_hold_ms": str(int(MAX_LEASE_MS)),
            "platform.row_bytes": str(self.day.script.row_bytes),
        }
        if self.day.policy is not None:
            lines["advice"] = lines["platform.address"]
        path = self.folder / f"{self.name}.conf"
        path.write_text("".join(f"{key}={value}\n" for key, value in lines.items()))
        return path

    async def run(self) -> None:
        """Run one process of the node until it ends; none beside another."""
        if self.node is not None:
            return
        # taken before the process is there: two faults may restart it at once
        faulted: FaultedNode = RunningNode(self)
        node = t.cast(t.Any, faulted)
        self.node, self._wanted = node, True
        settings = self._write_settings()
        command = [sys.executable, "-m", "onyxgap", "node", "--settings", str(settings)]
        with (self.folder / f"{self.name}.log").open("ab") as log:
            process = await anyio.open_process(
                command, stdin=None, stdout=log, stderr=log
            )
        self.cores.confine_node(process.pid)
        if self.node is node:
            self.day.routes.record_start(self.name)
            t.cast(PausedGate, self.gate).process = process
            self._open_pool()
        else:
            process.kill()
        try:
            code = await process.wait()
            if self._wanted and self.node is node:
                self.ended.append(code)
        finally:
            if process.returncode is None:
                process.kill()
            if self.node is node:
                self.node = None

    async def wait_until_listening(self) -> None:
        """Wait until a process of the node accepts connections of callers."""
        while True:
            try:
                stream = await anyio.connect_tcp("127.0.0.1", self._ports + 1)
            except OSError:
                await anyio.sleep(START_POLL_S)
                continue
            await stream.aclose()
            return

    def _open_pool(self) -> None:
        self._pool = httpcore.AsyncConnectionPool(max_connections=64)

    def kill(self) -> None:
        """End the process at once."""
        self._wanted = False
        process = t.cast(PausedGate, self.gate).process
        if process is not None and process.returncode is None:
            process.kill()
        self.node = None

    async def stop(self) -> None:
        """Ask the process to stop; one that outlives its grace is killed."""
        self._wanted = False
        process = t.cast(PausedGate, self.gate).process
        if process is None or process.returncode is not None:
            return
        self.lost_calls.stopping = process
        process.terminate()
        with anyio.move_on_after(GRACE_S, shield=True):
            await process.wait()
        if process.returncode is None:
            self.outlived += 1

    async def _request(
        self, method: str, route: Route, rest: str, key: str, body: t.Any = None
    ) -> httpcore.Response | None:
        if self.node is None or self._pool is None:
            return None
        headers = [("Host", route.host), ("Key", key)][: 1 + bool(key)]
        content = None if body is None else orjson.dumps(body)
        timeout = dict.fromkeys(("connect", "read", "write", "pool"), CALL_TIMEOUT_S)
        url = f"http://127.0.0.1:{self._ports + 1}{route.prefix}{rest}"
        process = t.cast(PausedGate, self.gate).process
        trace = CallTrace()
        try:
            return await self._pool.request(
                method,
                url,
                headers=headers,
                content=content,
                extensions={"timeout": timeout, "trace": trace.note},
            )
        except httpcore.TimeoutException:
            return None
        except _BROKEN:
            self.lost_calls.note(process, f"{method} {route.prefix}{rest}", trace)
            return None

    async def submit(
        self, route: Route, submission: Submission, key: str
    ) -> SubmitAnswer:
        """Hand a job in; ``None`` when the connection broke."""
        body = wire.write_job(submission)
        response = await self._request("POST", route, submission.job_id, key, body)
        if response is None:
            return None
        if response.status == 401:
            return KeyRejection.UNKNOWN
        if response.status == 404:
            return NoQueue.NOT_FOUND
        return _OUTCOMES.get(response.status)

    async def get_state(self, route: Route, job_id: str, key: str) -> t.Any:
        """Ask for a job's state."""
        response = await self._request("GET", route, job_id, key)
        if response is not None and response.status == 200:
            return JobState(orjson.loads(response.content)["state"])
        if response is not None and response.status == 401:
            return KeyRejection.UNKNOWN
        if response is not None and response.status == 404:
            return NoQueue.NOT_FOUND
        gone = response is not None and response.status == 410
        return None if gone else Unavailable.STORE

    async def cancel(self, route: Route, job_id: str, key: str) -> t.Any:
        """Cancel a job."""
        response = await self._request("DELETE", route, job_id, key)
        if response is not None and response.status in (200, 410):
            return response.status == 200
        if response is not None and response.status == 401:
            return KeyRejection.UNKNOWN
        if response is not None and response.status == 404:
            return NoQueue.NOT_FOUND
        return Unavailable.STORE

    async def count_waiting(self, route: Route, key: str) -> int | NoQueue | None:
        """Request the number of waiting jobs of a queue."""
        response = await self._request("GET", route, "", key)
        if response is not None and response.status == 404:
            return NoQueue.NOT_FOUND
        if response is None or response.status != 200:
            return None
        return int(orjson.loads(response.content)["waiting"])
