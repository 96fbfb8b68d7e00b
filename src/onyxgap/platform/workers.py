"""Client of workers: start, stop and slow down runs, renew leases, read reports."""

import typing as t

import attrs

from ..bounds import read_count
from ..bounds import read_time_ms
from ..exceptions import MALFORMED_ERRORS
from ..jobs.messages import EndedTask
from ..jobs.messages import EndKind
from ..jobs.messages import RunningTask
from ..jobs.messages import parse_task_id
from ..jobs.workers import HoldOrder
from ..jobs.workers import HoldReport
from ..jobs.workers import Reply
from ..jobs.workers import ReplyKind
from ..jobs.workers import StartOrder
from ..jobs.workers import StopOrder
from .connections import HTTP_OK
from .connections import IncarnationCheck
from .connections import WorkerConnections
from .http import Answer
from .http import CallFailure
from .registry import decode_start_time

HOLD_PATH = "/hold"
ORDER_TIMEOUT_S = 0.6
"""Timeout of orders other than start orders; a worker answers within milliseconds."""
WORKER_CONNECTIONS = 48
"""Maximum connections to one address; must be below the 64 that a worker accepts."""

_BY_FAILURE: t.Mapping[CallFailure, ReplyKind] = {
    CallFailure.NOT_SENT: ReplyKind.NOT_SENT,
    CallFailure.NO_ANSWER: ReplyKind.NO_ANSWER,
    CallFailure.OTHER_INCARNATION: ReplyKind.OTHER_INCARNATION,
}
_BY_STATUS: t.Mapping[int, ReplyKind] = {
    200: ReplyKind.DONE,
    400: ReplyKind.INVALID,
    421: ReplyKind.OTHER_WORKER,
    429: ReplyKind.UNHEALTHY,
    503: ReplyKind.UNHEALTHY,
}
_BY_REASON: t.Mapping[str, ReplyKind] = {
    "fence": ReplyKind.STALE_OWNER,
    "old": ReplyKind.STALE_RUN,
    "late": ReplyKind.TOO_LATE,
    "room": ReplyKind.NO_ROOM,
    "ticket": ReplyKind.NO_TICKET,
}


def _decode_clock(value: t.Any) -> float | None:
    if not isinstance(value, int | float):
        return None
    try:
        return read_time_ms(value)
    except ValueError:
        return None


def decode_reply(answer: Answer) -> Reply:
    """Decode a worker's reply to an order.

    :param answer: the worker's answer, or the failure of the call.
    """
    if answer.failure is not None:
        kind = _BY_FAILURE[answer.failure]
        return Reply(kind, None, answer.reason, answer.overdue_s)
    reason = answer.read_text("reason")
    clock_ms = _decode_clock(answer.read_object().get("clock_ms"))
    if answer.status == 409:
        kind = _BY_REASON.get(reason, ReplyKind.NO_ANSWER)
    else:
        kind = _BY_STATUS.get(answer.status, ReplyKind.NO_ANSWER)
    return Reply(kind, clock_ms, reason or f"status {answer.status}")


def _read_incarnation(answer: Answer) -> int | None:
    if answer.status != HTTP_OK:
        return None
    try:
        return decode_start_time(answer.read_object().get("born", 0))
    except MALFORMED_ERRORS:
        return None


def _build_check(
    epoch: int, incarnation: int, replaces_call: bool = False
) -> IncarnationCheck:
    # without a deadline and an acknowledgement, a hold request changes nothing
    body = {"fencing_token": epoch, "acked_upto": 0}
    return IncarnationCheck(
        incarnation, HOLD_PATH, body, _read_incarnation, replaces_call
    )


def _decode_running(raw: t.Sequence[t.Any]) -> RunningTask:
    measurement = float(raw[4]) if len(raw) > 4 else 0.0
    return RunningTask(
        parse_task_id(raw[0]),
        read_count(raw[1]),
        str(raw[2] or ""),
        read_count(raw[3]),
        measurement,
    )


def _decode_ended(raw: t.Sequence[t.Any]) -> EndedTask:
    return EndedTask(
        read_count(raw[0]),
        parse_task_id(raw[1]),
        read_count(raw[2]),
        EndKind(raw[3]),
        str(raw[4] or ""),
    )


def decode_report(answer: Answer) -> HoldReport | Reply:
    """Decode a worker's report of running and ended tasks.

    :param answer: the worker's answer, or the failure of the call.
    """
    if answer.status != 200:
        return decode_reply(answer)
    body = answer.read_object()
    try:
        return HoldReport(
            read_time_ms(body["clock_ms"]),
            tuple(map(_decode_running, body.get("running") or ())),
            tuple(map(_decode_ended, body.get("ended") or ())),
            decode_start_time(body.get("born", 0)),
        )
    except MALFORMED_ERRORS as error:
        return Reply(ReplyKind.NO_ANSWER, detail=f"malformed report: {error!r}")


@attrs.define
class PlatformWorkerClient:
    """Calls workers over HTTP; keeps connections for each worker and address."""

    _connections: dict[str, dict[str, WorkerConnections]] = attrs.field(factory=dict)

    def _get_connections(self, worker_id: str, address: str) -> WorkerConnections:
        by_address = self._connections.setdefault(worker_id, {})
        connections = by_address.get(address)
        if connections is None:
            # a restarted worker may have another address
            connections = WorkerConnections(address, WORKER_CONNECTIONS)
            by_address[address] = connections
        return connections

    async def _send_order(
        self,
        order: StartOrder | StopOrder | HoldOrder,
        path: str,
        body: t.Mapping[str, t.Any],
        timeout_s: float = ORDER_TIMEOUT_S,
    ) -> Answer:
        replaces_call = isinstance(order, HoldOrder)
        return await self._get_connections(order.worker_id, order.address).call(
            "POST",
            path,
            body,
            timeout_s=timeout_s,
            headers=[("Expected-Instance", order.worker_id)],
            check=_build_check(order.epoch, order.incarnation, replaces_call),
        )

    async def start(self, order: StartOrder) -> Reply:
        """Send a start order."""
        body: dict[str, t.Any] = {
            "task": str(order.task),
            "run": order.run,
            "spec": order.spec,
            "deadline_ms": int(order.deadline_ms),
            "fencing_token": order.epoch,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        answer = await self._send_order(order, "/run-start", body, order.timeout_s)
        return decode_reply(answer)

    async def stop(self, order: StopOrder) -> Reply:
        """Send a stop order; the worker never starts the run afterwards."""
        body = {
            "task": str(order.task),
            "run": order.run,
            "fencing_token": order.epoch,
        }
        answer = await self._send_order(order, "/run-stop", body)
        return decode_reply(answer)

    async def set_pace(self, order: StopOrder, percent: int) -> Reply:
        """Set the speed of a run.

        :param order: names the run.
        :param percent: percentage of full speed, 0 to 100.
        """
        body = {
            "task": str(order.task),
            "run": order.run,
            "percent": percent,
            "fencing_token": order.epoch,
        }
        answer = await self._send_order(order, "/pace", body)
        return decode_reply(answer)

    async def hold(self, order: HoldOrder) -> HoldReport | Reply:
        """Renew the leases of all runs on a worker and read its report."""
        body: dict[str, t.Any] = {
            "fencing_token": order.epoch,
            "acked_upto": order.acknowledged,
        }
        if order.deadline_ms is not None:
            body["deadline_ms"] = int(order.deadline_ms)
        if order.wait_ms:
            body["wait_ms"] = order.wait_ms
        timeout_s = order.wait_ms / 1000 + order.margin_s
        answer = await self._send_order(order, HOLD_PATH, body, timeout_s)
        return decode_report(answer)

    async def forget(self, worker_id: str) -> None:
        """Close the connections to a worker that this node no longer calls."""
        for connections in self._connections.pop(worker_id, {}).values():
            await connections.retire()
