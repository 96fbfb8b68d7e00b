"""Orders about VMs whose effect the VM list does not show yet."""

import attrs

from .cordons import OrderProgress
from .messages import VmOrder


@attrs.define(slots=True)
class PendingOrder:
    """Order whose effect the VM list does not show yet.

    :param order: the order.
    :param worker_id: worker of the VM before the order.
    :param answered_at: monotonic seconds of the reply that it was carried out.
    :param resend_at: monotonic seconds when it is sent again, if its outcome is
        unknown.
    :param sent_at: monotonic seconds of the pass that last sent it.
    """

    order: VmOrder
    worker_id: str
    answered_at: float | None = None
    resend_at: float | None = None
    sent_at: float | None = None

    def describe(self, now: float) -> OrderProgress:
        """Describe the progress of the order for the log.

        :param now: monotonic seconds.
        """
        sent_s = None if self.sent_at is None else round(now - self.sent_at, 3)
        return OrderProgress(
            self.order.kind.value, self.answered_at is not None, sent_s
        )
