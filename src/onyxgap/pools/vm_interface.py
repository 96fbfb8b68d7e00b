"""Tells from lists and replies whether the platform's VM interface is available.

While it is away, an order that was sent may still be carried out, but nothing that is
planned anew would come to an end. So the fleet controller stops cordoning then, and
sends single orders as probes.
"""

import math

import attrs

from .messages import VmReply

LIST_TIMEOUT_S = 2.5
"""Age of the newest VM list from which on lists count as away. The list is requested
every 0.5 s, and one lost answer is no outage."""
ORDER_TIMEOUT_S = 0.6
"""Time without a conclusive reply after a failed order from which on orders count as
away. A rate limit refuses single orders among others that are carried out."""
PROBE_INTERVAL_S = 3.0
"""Time between two probes while orders are away."""

_INCONCLUSIVE = frozenset({VmReply.UNKNOWN, VmReply.RETRY})


@attrs.define
class VmInterface:
    """Availability of the VM interface, as seen by the fleet controller.

    :param listed_at: monotonic seconds when the newest list was requested.
    :param failing_since: monotonic seconds of the first failed order since the last
        conclusive reply, or ``None``.
    :param failed_at: monotonic seconds of the newest failed order.
    """

    listed_at: float = -math.inf
    failing_since: float | None = None
    failed_at: float = -math.inf

    def note_list(self, sent_at: float) -> None:
        """Record that a list was received.

        :param sent_at: monotonic seconds when it was requested.
        """
        self.listed_at = max(self.listed_at, sent_at)

    def note_reply(self, reply: VmReply, now: float) -> None:
        """Record the reply to an order, or that there was none."""
        if reply not in _INCONCLUSIVE:
            self.failing_since = None
            return
        self.failed_at = now
        if self.failing_since is None:
            self.failing_since = now

    def are_lists_away(self, now: float) -> bool:
        """Tell whether lists are not answered."""
        return now - self.listed_at > LIST_TIMEOUT_S

    def are_orders_away(self, now: float) -> bool:
        """Tell whether orders are not answered, or all refused."""
        since = self.failing_since
        return since is not None and now - since > ORDER_TIMEOUT_S

    def is_away(self, now: float) -> bool:
        """Tell whether nothing that is planned now would come to an end."""
        return self.are_lists_away(now) or self.are_orders_away(now)

    def is_probe_due(self, now: float) -> bool:
        """Tell whether a single order may find out if orders are answered again."""
        return now - self.failed_at >= PROBE_INTERVAL_S
