"""Callers that request the number of waiting jobs of a queue."""

import random
import typing as t

import anyio
import attrs

from ...jobs.routing import Route
from .job_notes import NoQueue
from .tenancy import Tenancy

MEAN_PAUSE_S = 0.4
"""Mean pause between two requests for the count of one queue."""
PATIENCE_S = 3.0


class CountingNode(t.Protocol):
    """A node that answers requests for counts."""

    name: str

    async def count_waiting(self, route: Route, key: str) -> int | NoQueue | None:
        """Request a count; ``None`` if the node does not answer with one."""


@attrs.frozen(slots=True)
class CountAnswer:
    """An answer to a request for the number of waiting jobs.

    :param node: name of the node.
    :param queue: name of the queue.
    :param sent_at: monotonic seconds when the request was sent.
    :param answered_at: monotonic seconds when the answer arrived.
    :param count: number of waiting jobs in the answer.
    """

    node: str
    queue: str
    sent_at: float
    answered_at: float
    count: int


@attrs.define(eq=False)
class CountCallers:
    """Request counts from random nodes until cancelled.

    :param nodes: lists the nodes that are up.
    :param tenancy: tenants with their keys.
    :param rng: draws pauses and nodes; not shared, so that other draws stay the same.
    :param answers: the answers that contained a count.
    :param unanswered: number of requests without a count in the answer.
    """

    nodes: t.Callable[[], t.Sequence[CountingNode]]
    tenancy: Tenancy
    rng: random.Random
    answers: list[CountAnswer] = attrs.field(factory=list)
    unanswered: int = 0

    async def run(self, route: Route) -> None:
        """Request the count of a queue repeatedly until cancelled.

        :param route: route of the queue.
        """
        while True:
            await anyio.sleep(self.rng.expovariate(1 / MEAN_PAUSE_S))
            nodes = self.nodes()
            if nodes:
                await self._ask(self.rng.choice(nodes), route)

    async def _ask(self, node: CountingNode, route: Route) -> None:
        sent_at = anyio.current_time()
        count: int | NoQueue | None = None
        with anyio.move_on_after(PATIENCE_S):
            count = await node.count_waiting(route, self.choose_key())
        if not isinstance(count, int):
            self.unanswered += 1
            return
        queue, now = route.policy.queue, anyio.current_time()
        self.answers.append(CountAnswer(node.name, queue, sent_at, now, count))

    def choose_key(self) -> str:
        """Choose a valid key, empty on a day without tenants."""
        for line in self.tenancy.lines:
            keys = self.tenancy.list_keys(line.name)
            if keys:
                return keys[-1]
        return ""
