"""Finds routes in a configuration that is known to be current.

The feed of the operator's rows may stall while the store answers other calls. A node
that went on with the routes it knows would accept jobs on queues that were removed or
moved. A missing route, too, may only be missing here.
"""

import typing as t

import attrs
import structlog

from ..jobs.desk import Unavailable
from ..jobs.messages import JOB_ID_PATTERN
from ..jobs.routing import Route
from ..jobs.routing import RouteTable
from .configuration_exchange import ConfigurationExchange

_LOG = structlog.get_logger()


@attrs.define(eq=False)
class RouteLookup:
    """Looks up the routes of requests.

    :param routes: the configuration in force.
    :param exchange: knows whether that configuration is current.
    :param is_store_down: returns whether reading the configuration's row would fail.
    """

    routes: RouteTable
    exchange: ConfigurationExchange
    is_store_down: t.Callable[[], bool]

    async def find(self, host: str, path: str) -> Route | None | Unavailable:
        """Find the route of a request, ``None`` if there is none.

        A missing route, or one that leaves a rest of the path which names no job, is
        reported only if the configuration's row was read within ``READ_VALID_S``: a
        route with a longer prefix may have been added.

        :param host: value of the ``Host`` header.
        :param path: path of the request.
        """
        if self.routes.configuration is None:
            return Unavailable.CONFIGURATION
        if not self.exchange.is_current() and not await self._make_sure():
            return Unavailable.CONFIGURATION_AGE
        route = self.routes.find(host, path)
        if route is not None and _names_queue_or_job(route, path):
            return route
        if not await self._make_sure():
            return Unavailable.CONFIGURATION_AGE
        route = self.routes.find(host, path)
        if route is None:
            _LOG.info(
                "no queue for request",
                path=path,
                configuration=self.routes.get_version(),
            )
        return route

    async def _make_sure(self) -> bool:
        """Read the configuration's row, unless the store is down."""
        return not self.is_store_down() and await self.exchange.make_sure()


def _names_queue_or_job(route: Route, path: str) -> bool:
    rest = path[len(route.prefix) :]
    return not rest or JOB_ID_PATTERN.fullmatch(rest) is not None
