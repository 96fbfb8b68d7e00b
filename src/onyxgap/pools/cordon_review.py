"""Tells about which VMs an order may still be carried out.

Such an order would end the runs that are placed on the VM meanwhile.
"""

import attrs

from .fleet_state import LATE_ORDER_S
from .fleet_state import FleetControllerState
from .messages import VmOrder


@attrs.define
class CordonReview(FleetControllerState):
    """Knows which VMs must stay cordoned."""

    def _remove_void_orders(self, now: float) -> None:
        """Remove orders without an answer that are not carried out any more."""
        self._unanswered_at = {
            name: at
            for name, at in self._unanswered_at.items()
            if now - at < LATE_ORDER_S
        }
        for name, pending in list(self.pending_orders.items()):
            if pending.resend_at is not None and name not in self._unanswered_at:
                del self.pending_orders[name]

    def _list_resends(self, now: float) -> list[VmOrder]:
        """List the orders to send again."""
        due = [
            pending
            for pending in self.pending_orders.values()
            if pending.resend_at is not None and now >= pending.resend_at
        ]
        for pending in due:
            pending.resend_at = None
        return [pending.order for pending in due]

    def _may_be_carried_out(self, name: str) -> bool:
        """Tell whether an order about a VM is in flight, or may be carried out late."""
        return name in self.pending_orders or name in self._unanswered_at
