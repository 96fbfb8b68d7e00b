"""The emulated store, workers and VMs behind one HTTP interface for each node."""

import itertools
import typing as t
import urllib.parse

import anyio
import attrs
import orjson

from onyxgap.adapters.asgi import Receive
from onyxgap.adapters.asgi import Scope
from onyxgap.adapters.asgi import Send
from onyxgap.adapters.asgi import read_body
from onyxgap.adapters.asgi import send_answer
from onyxgap.exceptions import HistoryTruncatedError
from onyxgap.exceptions import PlatformUnavailableError
from onyxgap.jobs.store import Applied
from onyxgap.jobs.store import Conflict
from onyxgap.jobs.store import Invalid
from onyxgap.jobs.store import NotApplied
from onyxgap.jobs.workers import MS_PER_S
from onyxgap.jobs.workers import HoldReport
from onyxgap.platform import registry
from onyxgap.pools.messages import VmReply
from onyxgap.standins.emulator.cloud import EmulatedCloudClient
from onyxgap.standins.emulator.policy import EmulatedPolicyClient
from onyxgap.standins.emulator.store import EmulatedStoreClient
from onyxgap.standins.emulator.workers import EmulatedWorker
from onyxgap.standins.emulator.workers import EmulatedWorkers
from onyxgap.standins.emulator.workers import EmulatedWorkersClient

from . import wire
from .connections import Break
from .connections import PlatformConnections
from .connections import get_transport
from .connections import reset_transport
from .connections import send_cut_json

MAX_BODY_BYTES = 8 * 1_048_576
"""More than the largest call of the store, which refuses larger ones itself."""
OWNER_TIMEOUT_S = 3.0
"""Time for which a call without an answer is held open; all nodes give up before."""
POWER_POLL_S = 0.01
"""Time between two looks at whether a VM has power again."""

VM_REPLIES: t.Mapping[VmReply, tuple[int, str]] = {
    VmReply.DONE: (200, ""),
    VmReply.STALE_HOLDER: (409, "fence"),
    VmReply.BUSY: (409, "busy"),
    VmReply.NOT_DUE: (409, "wave"),
    VmReply.INVALID: (400, ""),
}
"""Status and reason of a reply to an order; ``UNKNOWN`` has none."""
REFUSALS = (503, 429)
"""Statuses of refused orders in turn: out of service, and too many calls."""
JSON_HEADERS = (("Content-Type", "application/json"),)
Answer = tuple[int, wire.Json] | None


def _answer_failed_call(error: PlatformUnavailableError, refusal: str) -> Answer:
    """Answer a refused call with 503, and any other that failed not at all."""
    return (503, {}) if str(error) == refusal else None


@attrs.define
class PlatformApp:
    """What one node reaches: store, VMs and all workers.

    :param store: the store as the node reaches it.
    :param cloud: the VMs as it reaches them.
    :param orders: the workers as it reaches them.
    :param workers: incarnations of workers.
    :param address: where this listens.
    :param policy: the policy service, ``None`` if there is none.
    :param connections: the node's connections to this.
    """

    store: EmulatedStoreClient
    cloud: EmulatedCloudClient
    orders: EmulatedWorkersClient
    workers: EmulatedWorkers
    address: str
    connections: PlatformConnections
    policy: EmulatedPolicyClient | None = None
    _refusals: t.Iterator[int] = attrs.field(factory=lambda: itertools.cycle(REFUSALS))

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one call, or hold it open without an answer."""
        if scope["type"] != "http":
            return
        body = await read_body(receive, MAX_BODY_BYTES)
        transport = get_transport(send)
        was_idle = self.connections.add(transport)
        if was_idle and self.connections.draw(Break.CLOSE_IDLE):
            transport.close()
            return
        headers = {name.decode(): value.decode() for name, value in scope["headers"]}
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode()))
        raw = orjson.loads(body) if body else {}
        worker_id = headers.get("expected-instance")
        if not await self._reach(worker_id, transport):
            reset_transport(transport)
            return
        answer = await self._answer(scope["path"], raw, query, headers)
        # the worker may have ended, or started again, since it took the call
        reaches = await self._reach(worker_id, transport)
        if not reaches or (body and self.connections.draw(Break.RESET_ANSWER)):
            reset_transport(transport)
            return
        if answer is None:
            await anyio.sleep(OWNER_TIMEOUT_S)
            answer = (500, {})
        await self._send(send, *answer)

    async def _reach(self, worker_id: str | None, transport: t.Any) -> bool:
        """Return whether a connection still reaches the worker that it was made to.

        Waits while the worker's VM has no power. A connection that is made in that time
        reaches the next incarnation, one that was made before does not.

        :param worker_id: the worker, ``None`` for a call to the store or about VMs.
        :param transport: the transport of the connection.
        """
        if worker_id is None:
            return True
        with anyio.move_on_after(OWNER_TIMEOUT_S):
            while self._is_powerless(worker_id):
                await anyio.sleep(POWER_POLL_S)
        worker = self._find_worker(worker_id)
        if worker is None or transport.is_closing():
            return False
        return self.connections.bind(transport, worker)

    async def _send(self, send: Send, status: int, value: wire.Json) -> None:
        if self.connections.draw(Break.CUT_ANSWER):
            await send_cut_json(send, status, value)
            return
        headers = list(JSON_HEADERS)
        if self.connections.draw(Break.CLOSE_ANSWERED):
            headers.append(("Connection", "close"))
        await send_answer(send, status, orjson.dumps(value), headers)

    async def _answer(
        self, path: str, raw: wire.Json, query: wire.Json, headers: wire.Json
    ) -> Answer:
        if path.startswith("/rows-"):
            return await self._answer_store(path, raw, query)
        if path == "/advise":
            return await self._advise(raw)
        if path == "/machines":
            return await self._list_vms()
        if path.startswith("/machine-"):
            return await self._answer_vm_order(path, raw, headers)
        return await self._answer_worker(path, raw, headers["expected-instance"])

    async def _advise(self, raw: wire.Json) -> Answer:
        if self.policy is None:
            return 404, {}
        advice = await self.policy.advise(raw["step"], raw["workers"], 0.0)
        if advice is None:
            return None
        good = [[worker_id, ticket] for worker_id, ticket in advice.tickets.items()]
        return 200, {"good": good, "valid_ms": round(advice.valid_s * MS_PER_S)}

    async def _list_vms(self) -> Answer:
        try:
            vms = await self.cloud.list_vms()
        except PlatformUnavailableError as error:
            return _answer_failed_call(error, "refused")
        return 200, {"machines": [wire.write_vm(vm) for vm in vms]}

    async def _answer_vm_order(
        self, path: str, raw: wire.Json, headers: wire.Json
    ) -> Answer:
        holder, token = headers["lease-holder"], int(headers["fencing-token"])
        order = wire.read_vm_order(path, raw)
        reply = await self.cloud.send(order, holder, token)
        if reply is VmReply.RETRY:
            return next(self._refusals), {}
        if reply not in VM_REPLIES:
            return None
        status, reason = VM_REPLIES[reply]
        return status, {"reason": reason}

    async def _answer_store(
        self, path: str, raw: wire.Json, query: wire.Json
    ) -> Answer:
        try:
            if path == "/rows-tx":
                return await self._write(raw)
            if path == "/rows-get":
                return await self._read(query)
            if path == "/rows-feed":
                return await self._follow(query)
            parts = await self.store.list_parts(query["table"])
            return 200, {"parts": list(parts)}
        except HistoryTruncatedError:
            return 410, {}
        except PlatformUnavailableError as error:
            return _answer_failed_call(error, "turned away")

    async def _write(self, raw: wire.Json) -> Answer:
        outcome = await self.store.write(wire.read_batch(raw))
        if isinstance(outcome, Applied):
            return 200, {"ver": outcome.version}
        if isinstance(outcome, Conflict):
            rows = [wire.write_row(row, row.row_id.table, "") for row in outcome.rows]
            return 412, {"rows": rows}
        if isinstance(outcome, Invalid):
            return 400, {"error": outcome.reason}
        return (503, {}) if isinstance(outcome, NotApplied) else None

    def _write_page(self, page: t.Any, table: str) -> Answer:
        rows = [wire.write_row(row, table, self.address) for row in page.rows]
        return 200, {"rows": rows, "ver": page.version, "now_ms": page.now_ms}

    async def _read(self, query: wire.Json) -> Answer:
        table = query["table"]
        key = query.get("from", "") if query.get("limit") == "1" else ""
        if key == registry.CONFIGURATION_KEY:
            key = "configuration"
        known = wire.read_table(table)
        page = await self.store.read(known, query.get("part", ""), key)
        if not key and "from" in query:
            # further pages are never needed, the first holds all rows
            page = attrs.evolve(page, rows=())
        return self._write_page(page, table)

    async def _follow(self, query: wire.Json) -> Answer:
        table, wait_s = query["table"], int(query["wait_ms"]) / 1000
        known = wire.read_table(table)
        page = await self.store.follow(known, int(query["after"]), wait_s)
        return self._write_page(page, table)

    def _find_worker(self, worker_id: str) -> EmulatedWorker | None:
        worker = self.workers.lives.get(worker_id)
        return worker if worker is not None and worker.alive else None

    def _is_powerless(self, worker_id: str) -> bool:
        """Return whether a worker's VM has no power: it does not even reset calls."""
        worker = self.workers.lives.get(worker_id)
        if worker is None or worker.alive:
            return False
        return worker.entry.address in self.workers.halted

    async def _answer_worker(self, path: str, raw: wire.Json, worker_id: str) -> Answer:
        worker = self._find_worker(worker_id)
        if worker is None:
            return None
        # all workers listen here: the emulator knows them by addresses of their own
        address = worker.entry.address
        if path == "/run-start":
            start = attrs.evolve(wire.read_start(worker_id, raw), address=address)
            return wire.write_reply(await self.orders.start(start))
        if path == "/run-stop":
            stop = attrs.evolve(wire.read_stop(worker_id, raw), address=address)
            return wire.write_reply(await self.orders.stop(stop))
        hold = attrs.evolve(wire.read_hold(worker_id, raw), address=address)
        found = await self.orders.hold(hold)
        if isinstance(found, HoldReport):
            return 200, wire.write_report(found)
        return wire.write_reply(found)
