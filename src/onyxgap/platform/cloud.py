"""HTTP client of the platform's VM API: lists VMs, sends move and maintenance orders.

Implements :class:`~onyxgap.pools.messages.CloudClient`.
"""

import typing as t
import urllib.parse

import attrs

from ..bounds import MAX_AMOUNT
from ..bounds import read_count
from ..exceptions import MALFORMED_ERRORS
from ..exceptions import PlatformUnavailableError
from ..pools.messages import Vm
from ..pools.messages import VmActionKind
from ..pools.messages import VmOrder
from ..pools.messages import VmReply
from ..pools.messages import VmState
from .http import Answer
from .http import CallFailure
from .http import HttpCalls

LIST_TIMEOUT_S = 1.0
"""The list is requested again every half second."""
ORDER_TIMEOUT_S = 1.0
"""An order without an answer is sent again; orders are idempotent."""

_BY_REASON: t.Mapping[str, VmReply] = {
    "fence": VmReply.STALE_HOLDER,
    "busy": VmReply.BUSY,
    "wave": VmReply.NOT_DUE,
}
_BY_STATUS: t.Mapping[int, VmReply] = {
    200: VmReply.DONE,
    400: VmReply.INVALID,
    429: VmReply.RETRY,
    503: VmReply.RETRY,
}


def _read_text(value: t.Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"expected a text, not {type(value).__name__}")
    return value


def decode_vm(raw: t.Mapping[str, t.Any]) -> Vm:
    """Decode a VM.

    :param raw: its entry in the platform's VM list.
    :raises TypeError: if a field has another type.
    :raises ValueError: if its state is not known, or a number out of bounds.
    """
    capacity = raw.get("capacity") or {}
    labels = raw.get("labels") or ()
    return Vm(
        name=_read_text(raw["machine"]),
        pool=_read_text(raw.get("pool", "")),
        state=VmState(raw.get("state", "down")),
        zone=_read_text(raw.get("zone", "")),
        rack=_read_text(labels[-1]) if labels else "",
        cpu=read_count(capacity.get("cpu", 0), MAX_AMOUNT),
        memory_mb=read_count(capacity.get("mem_mb", 0), MAX_AMOUNT),
        worker_id=_read_text(raw.get("id") or ""),
    )


def decode_vm_reply(answer: Answer) -> VmReply:
    """Decode the outcome of an order.

    :param answer: the platform's answer, or why there is none.
    :returns: the outcome; ``UNKNOWN`` when the order may or may not have taken effect.
    """
    if answer.failure is CallFailure.NOT_SENT:
        return VmReply.RETRY
    if answer.failure is not None:
        return VmReply.UNKNOWN
    if answer.status == 409:
        return _BY_REASON.get(answer.read_text("reason"), VmReply.UNKNOWN)
    return _BY_STATUS.get(answer.status, VmReply.UNKNOWN)


@attrs.define
class PlatformCloudClient:
    """Calls the VM API over HTTP.

    :param http: HTTP client for the API's address.
    """

    http: HttpCalls

    async def list_vms(self) -> tuple[Vm, ...]:
        """List all VMs, from all pages of the list.

        :raises PlatformUnavailableError: when a page could not be fetched or decoded.
        """
        vms: list[Vm] = []
        token = ""
        tokens: set[str] = set()
        while True:
            query = f"?{urllib.parse.urlencode({'page_token': token})}" if token else ""
            answer = await self.http.call(
                "GET", f"/machines{query}", timeout_s=LIST_TIMEOUT_S
            )
            if answer.status != 200:
                raise PlatformUnavailableError(answer.reason or str(answer.status))
            try:
                vms += map(decode_vm, answer.read_list("machines"))
            except MALFORMED_ERRORS as error:
                raise PlatformUnavailableError(
                    f"malformed VM list: {error!r}"
                ) from None
            token = str(answer.read_object().get("next_token") or "")
            if not token:
                return tuple(vms)
            if token in tokens:
                raise PlatformUnavailableError("a page token of the VM list repeats")
            tokens.add(token)

    async def send(self, order: VmOrder, holder: str, token: int) -> VmReply:
        """Send an order; orders are idempotent.

        :param order: the order.
        :param holder: holder of the fleet controller role, who sends it.
        :param token: its fencing token.
        """
        path, body = {
            VmActionKind.UPKEEP: (
                "/machine-upkeep",
                {"machine": order.vm, "wave": order.wave},
            ),
            VmActionKind.MOVE: (
                "/machine-move",
                {"machine": order.vm, "pool": order.pool},
            ),
        }[order.kind]
        headers = [("Lease-Holder", holder), ("Fencing-Token", str(token))]
        answer = await self.http.call(
            "POST", path, body, timeout_s=ORDER_TIMEOUT_S, headers=headers
        )
        return decode_vm_reply(answer)
