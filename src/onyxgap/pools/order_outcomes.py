"""Outcomes of orders about VMs: replies, and VM lists that show their effect."""

import typing as t

import attrs
import structlog

from .cordons import Moment
from .fleet_state import FleetControllerState
from .messages import Vm
from .messages import VmActionKind
from .messages import VmOrder
from .messages import VmReply
from .messages import VmState
from .pending_orders import PendingOrder

RESEND_S = 0.5
"""Delay before an order is sent again; about the interval at which VMs are listed."""
REFUSED_PAUSE_S = 5.0
"""Pause after an order was refused as invalid: most such orders are refused again."""
LATE_ORDER_S = 13.0
"""Time after which an order without an answer is certainly not carried out."""
UPKEEP_MARGIN_S = 0.3
"""Margin after the duration of maintenance until it is certainly over."""

_LOG = structlog.get_logger()


@attrs.define
class OrderOutcomes(FleetControllerState):
    """Applies VM lists and replies to orders to the state of the fleet controller."""

    def apply_vm_list(
        self, vms: t.Iterable[Vm], sent_at: float, sent_at_ms: int | None = None
    ) -> None:
        """Update the VMs from a list of the platform.

        :param vms: all VMs.
        :param sent_at: monotonic seconds when the list was requested.
        :param sent_at_ms: the same time on the store's clock, if known.
        """
        self.listed = Moment(sent_at, sent_at_ms)
        self.interface.note_list(sent_at)
        self.vms = {vm.name: vm for vm in vms}
        self._not_up_since = {
            vm.name: self._not_up_since.get(vm.name, sent_at)
            for vm in self.vms.values()
            if vm.state is not VmState.UP
        }
        if not self.base:
            for vm in self.vms.values():
                self.base[vm.pool] = self.base.get(vm.pool, 0) + 1
        for name, pending in list(self.pending_orders.items()):
            if pending.answered_at is not None and sent_at > pending.answered_at:
                self._remove_if_complete(name, pending, sent_at)
        live = {vm.worker_id for vm in self.vms.values()}
        for worker_id in self.cordons.keys() - live:
            del self.cordons[worker_id]

    def _remove_if_complete(
        self, name: str, pending: PendingOrder, sent_at: float
    ) -> None:
        """Remove a pending order if the VM list shows its effect."""
        assert pending.answered_at is not None
        vm = self.vms.get(name)
        if vm is None or vm.state is VmState.DOWN:
            del self.pending_orders[name]
            return
        # a VM of the spare pool has no worker, neither before the order nor after it
        over = sent_at > pending.answered_at + self.upkeep_s + UPKEEP_MARGIN_S
        if vm.state is VmState.UP and (vm.worker_id != pending.worker_id or over):
            del self.pending_orders[name]

    def apply_reply(self, order: VmOrder, reply: VmReply, now: float) -> None:
        """Record the reply to an order.

        :param order: the order.
        :param reply: the platform's reply.
        :param now: monotonic seconds.
        """
        pending = self.pending_orders.get(order.vm)
        if pending is None or pending.order != order:
            return
        self._last_ordered_at[order.vm] = now
        _LOG.info(
            "reply to VM order received",
            vm=order.vm,
            kind=order.kind.value,
            wave=order.wave,
            pool=order.pool,
            reply=reply.value,
        )
        self.interface.note_reply(reply, now)
        if reply is VmReply.UNKNOWN:
            self._unanswered_at[order.vm] = now
        elif reply is VmReply.DONE and order.kind is VmActionKind.UPKEEP:
            # maintenance is carried out once for each wave, a move once more each time
            self._unanswered_at.pop(order.vm, None)
        # a refusal tells nothing of an earlier order that was not answered
        refused_later = reply is VmReply.RETRY and order.vm in self._unanswered_at
        if reply is VmReply.UNKNOWN or refused_later:
            pending.resend_at = now + RESEND_S
            return
        if order.kind is VmActionKind.UPKEEP and reply in (
            VmReply.DONE,
            VmReply.NOT_DUE,
        ):
            self.waves[order.wave].done.add(order.vm)
        if reply is VmReply.DONE:
            pending.answered_at = now
            pending.resend_at = None
            return
        del self.pending_orders[order.vm]
        self._paused_until[order.vm] = now + RESEND_S
        if reply is VmReply.INVALID:
            self._refused_moves.add((order.vm, order.pool))
            self._paused_until[order.vm] = now + REFUSED_PAUSE_S

    def withdraw_order(self, order: VmOrder, now: float) -> None:
        """Remove a pending order that was not sent.

        :param order: the order.
        :param now: monotonic seconds.
        """
        pending = self.pending_orders.get(order.vm)
        if pending is None or pending.order != order:
            return
        if order.vm in self._unanswered_at:
            pending.resend_at = now + RESEND_S
            return
        del self.pending_orders[order.vm]
        self._paused_until[order.vm] = now + RESEND_S

    def forget_orders(self, before: float) -> None:
        """Forget which VMs received orders, except for recent and pending orders.

        :param before: monotonic seconds; earlier orders are forgotten.
        """
        self._last_ordered_at = {
            name: at
            for name, at in self._last_ordered_at.items()
            if at >= before
            or name in self.pending_orders
            or name in self._unanswered_at
        }
