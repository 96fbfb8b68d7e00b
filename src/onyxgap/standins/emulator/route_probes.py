"""Callers that request counts on routes that were added, removed or never existed."""

import random
import typing as t

import anyio
import attrs

from ...jobs.routing import Route
from .job_notes import NoQueue
from .route_history import HOST
from .route_history import RouteHistory
from .route_history import build_route

MEAN_PAUSE_S = 0.08
"""Mean pause between two requests."""
PATIENCE_S = 3.0
UNKNOWN_PREFIX = "/never/"


class ProbedNode(t.Protocol):
    """A node that answers requests for counts."""

    name: str

    async def count_waiting(self, route: Route, key: str) -> int | NoQueue | None:
        """Request a count; ``None`` if the node does not answer with one."""


@attrs.frozen(slots=True)
class ProbeAnswer:
    """A definite answer to a request for a count.

    :param node: name of the node.
    :param prefix: path prefix of the request.
    :param sent_at: monotonic seconds when the request was sent.
    :param answered_at: monotonic seconds when the answer arrived.
    :param found: whether the node has a route for the prefix.
    """

    node: str
    prefix: str
    sent_at: float
    answered_at: float
    found: bool


@attrs.define(eq=False)
class RouteProbes:
    """Request counts from random nodes on all routes until cancelled.

    :param nodes: lists the nodes that are up.
    :param history: routes of the day.
    :param choose_key: chooses the key of a request.
    :param rng: draws pauses, nodes and routes; not shared, so that other draws stay the
        same.
    :param answers: the definite answers.
    """

    nodes: t.Callable[[], t.Sequence[ProbedNode]]
    history: RouteHistory
    choose_key: t.Callable[[], str]
    rng: random.Random
    answers: list[ProbeAnswer] = attrs.field(factory=list)

    async def run(self) -> None:
        """Send requests until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await anyio.sleep(self.rng.expovariate(1 / MEAN_PAUSE_S))
                nodes = self.nodes()
                if nodes:
                    prefixes = [*self.history.list_prefixes(), UNKNOWN_PREFIX]
                    node, prefix = self.rng.choice(nodes), self.rng.choice(prefixes)
                    group.start_soon(self._probe, node, prefix)

    async def _probe(self, node: ProbedNode, prefix: str) -> None:
        sent_at = anyio.current_time()
        count: int | NoQueue | None = None
        with anyio.move_on_after(PATIENCE_S):
            count = await node.count_waiting(
                build_route(prefix, HOST), self.choose_key()
            )
        if count is not None:
            found, now = isinstance(count, int), anyio.current_time()
            self.answers.append(ProbeAnswer(node.name, prefix, sent_at, now, found))
