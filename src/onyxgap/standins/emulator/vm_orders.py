"""Orders about VMs as the platform handles them: at once, late, refused or not."""

import enum
import random

import attrs

from ...pools.messages import VmActionKind
from ...pools.messages import VmOrder

MIN_LATE_S = 1.0
MAX_LATE_S = 12.0
"""Longest time after which an order without an answer is still carried out."""


class OrderHandling(enum.Enum):
    """How the platform handles an order; the first of several present ones counts."""

    SILENT = "silent"
    """It gives no answer and does nothing."""
    REFUSED = "refused"
    LATE = "late"
    """It gives no answer and carries the order out seconds later."""
    DISOWNED = "disowned"
    """It answers that the VM is not due for maintenance."""
    AT_ONCE = "at once"


@attrs.frozen
class VmOrderFault:
    """A fault of the handling of orders about VMs.

    :param handling: how the orders are handled.
    :param share: share of the orders that it affects.
    """

    handling: OrderHandling
    share: float

    def may_affect(self, order: VmOrder) -> bool:
        """Return whether orders of this kind can be handled so."""
        is_upkeep = order.kind is VmActionKind.UPKEEP
        return is_upkeep or self.handling is not OrderHandling.DISOWNED


@attrs.define(eq=False)
class VmOrderFaults:
    """The present faults of the handling of orders about VMs.

    :param rng: draws the affected orders.
    :param present: present faults.
    """

    rng: random.Random
    present: list[VmOrderFault] = attrs.field(factory=list)

    def choose_handling(self, order: VmOrder) -> OrderHandling:
        """Choose how an order is handled."""
        for handling in OrderHandling:
            for fault in self.present:
                if fault.handling is not handling or not fault.may_affect(order):
                    continue
                if self.rng.random() < fault.share:
                    return handling
        return OrderHandling.AT_ONCE

    def draw_delay(self) -> float:
        """Draw after how many seconds a late order is carried out."""
        return self.rng.uniform(MIN_LATE_S, MAX_LATE_S)
