"""Log of the faults that affected the nodes of a day."""

import attrs

RECOVERY_S = 3.0
"""Time after its end for which a disturbance still affects a node."""
ALL_NODES = ""
"""Node name of disturbances of the store, which count for all nodes."""


@attrs.define
class DisturbanceLog:
    """Times of kills, stops, freezes and cuts of nodes, and of faults of the store.

    :param spans: node, begin and end of each disturbance, in monotonic seconds.
    :param order_spans: begin and end of the times in which orders to workers were
        late, or their answers lost.
    :param cut_spans: begin and end of the times in which a worker was out of reach.
    """

    spans: list[tuple[str, float, float]] = attrs.field(factory=list)
    order_spans: list[tuple[float, float]] = attrs.field(factory=list)
    cut_spans: list[tuple[float, float]] = attrs.field(factory=list)

    def record(self, node: str, begin: float, end: float) -> None:
        """Record a disturbance.

        :param node: name of the node, or :data:`ALL_NODES`.
        :param begin: monotonic seconds.
        :param end: monotonic seconds.
        """
        self.spans.append((node, begin, end))

    def is_disturbed(self, node: str, begin: float, end: float) -> bool:
        """Tell whether a disturbance affected a node in a span of time.

        A disturbance affects a node until :data:`RECOVERY_S` after its end.

        :param node: name of the node.
        :param begin: monotonic seconds.
        :param end: monotonic seconds.
        """
        return any(
            name in (node, ALL_NODES) and began <= end and ended + RECOVERY_S >= begin
            for name, began, ended in self.spans
        )

    def measure_calm(self, begin: float, end: float) -> float:
        """Measure the longest time in a span in which no node was affected.

        A disturbance affects a node until :data:`RECOVERY_S` after its end. Time in
        which orders were late, or their answers lost, does not count either.

        :param begin: monotonic seconds.
        :param end: monotonic seconds.
        """
        longest_s, calm_since = 0.0, begin
        affected = [(began, ended + RECOVERY_S) for _, began, ended in self.spans]
        for began, ended in sorted(affected + self.order_spans):
            longest_s = max(longest_s, min(began, end) - calm_since)
            calm_since = max(calm_since, ended)
        return max(longest_s, end - calm_since)

    def is_calm(self, begin: float, end: float) -> bool:
        """Tell whether nothing was disturbed in a span of time, not even a worker.

        :param begin: monotonic seconds.
        :param end: monotonic seconds.
        """
        return not any(
            began <= end and ended >= begin for began, ended in self.list_all()
        )

    def list_all(self) -> list[tuple[float, float]]:
        """List begin and end of everything that was disturbed."""
        spans = [(began, ended) for _, began, ended in self.spans]
        return spans + self.order_spans + self.cut_spans
