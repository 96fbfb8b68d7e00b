"""Which nodes of a day were disturbed, and when."""

import attrs

CONTACT_S = 3.0
"""A disturbance counts this long after its end, too."""
ALL_NODES = ""
"""Stands for all nodes, where the store itself was disturbed."""


@attrs.define
class ContactLog:
    """Disturbances of nodes: kills, stops, freezes, cuts, and those of the store.

    :param spans: node, begin and end of each in monotonic seconds.
    """

    spans: list[tuple[str, float, float]] = attrs.field(factory=list)

    def note(self, node: str, begin: float, end: float) -> None:
        """Note a disturbance.

        :param node: name of the node, or :data:`ALL_NODES`.
        :param begin: monotonic seconds.
        :param end: monotonic seconds.
        """
        self.spans.append((node, begin, end))

    def is_disturbed(self, node: str, begin: float, end: float) -> bool:
        """Tell whether a node was disturbed in a span, or shortly before it.

        :param node: name of the node.
        :param begin: monotonic seconds.
        :param end: monotonic seconds.
        """
        return any(
            name in (node, ALL_NODES) and began <= end and ended + CONTACT_S >= begin
            for name, began, ended in self.spans
        )
