"""Callers that ask nodes how many jobs of a queue wait."""

import random
import typing as t

import anyio
import attrs

from ...jobs.routing import Route
from .tenancy import Tenancy

EVERY_S = 0.4
"""Mean pause between two questions about one queue."""
PATIENCE_S = 3.0


class CountingNode(t.Protocol):
    """A node as such callers reach it."""

    name: str

    async def count_waiting(self, route: Route, key: str) -> int | None:
        """Ask for a count; ``None`` when the node gives none."""


@attrs.frozen(slots=True)
class CountNote:
    """A count of waiting jobs as a caller was given it.

    :param node: name of the node.
    :param queue: name of the queue.
    :param sent_at: monotonic seconds when it was asked for.
    :param answered_at: monotonic seconds when the answer came.
    :param count: the count.
    """

    node: str
    queue: str
    sent_at: float
    answered_at: float
    count: int


@attrs.define(eq=False)
class CountCallers:
    """Ask any node for counts, all day long.

    :param nodes: lists the nodes that are up.
    :param tenancy: tenants with their keys.
    :param rng: draws when and whom they ask, apart from all other draws.
    :param notes: the counts that they were given.
    :param unanswered: questions that got no count.
    """

    nodes: t.Callable[[], t.Sequence[CountingNode]]
    tenancy: Tenancy
    rng: random.Random
    notes: list[CountNote] = attrs.field(factory=list)
    unanswered: int = 0

    async def run(self, route: Route) -> None:
        """Ask for the counts of a queue until cancelled.

        :param route: where the queue is reached.
        """
        while True:
            await anyio.sleep(self.rng.expovariate(1 / EVERY_S))
            nodes = self.nodes()
            if nodes:
                await self._ask(self.rng.choice(nodes), route)

    async def _ask(self, node: CountingNode, route: Route) -> None:
        sent_at = anyio.current_time()
        count = None
        with anyio.move_on_after(PATIENCE_S):
            count = await node.count_waiting(route, self._choose_key())
        if count is None:
            self.unanswered += 1
            return
        queue, now = route.policy.queue, anyio.current_time()
        self.notes.append(CountNote(node.name, queue, sent_at, now, count))

    def _choose_key(self) -> str:
        for line in self.tenancy.lines:
            keys = self.tenancy.list_keys(line.name)
            if keys:
                return keys[-1]
        return ""
