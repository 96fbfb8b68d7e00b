"""Tells who calls, by the version of the configuration that is surely in force.

Keys are taken back while nodes cannot hear the store. A node that cannot know whether
its version is still in force refuses calls that need a key for the time being: nothing
can be handed in without the store anyhow, and a key that was taken back stays so.
"""

import typing as t

import attrs
import structlog

from ..jobs.desk import Unavailable
from ..jobs.routing import Route
from ..jobs.routing import RouteTable
from ..jobs.tenants import ANYONE
from ..jobs.tenants import Caller
from ..jobs.tenants import KeyFault
from ..jobs.tenants import identify
from .configuration_exchange import ConfigurationExchange

LOGGED_PER_S = 20
"""Refusals a second that get a line of their own; the others are only counted."""

_LOG = structlog.get_logger()


@attrs.define(eq=False)
class Authentication:
    """Identifies the callers of one node.

    :param routes: the configuration in force.
    :param exchange: tells whether that version is the newest.
    :param on_refused: counts a refusal by its reason.
    """

    routes: RouteTable
    exchange: ConfigurationExchange
    on_refused: t.Callable[[str], None] = lambda reason: None
    _second: int = 0
    _logged: int = 0
    _unlogged: int = 0

    async def identify(
        self, route: Route, keys: t.Sequence[bytes], job_id: str
    ) -> Caller | KeyFault | Unavailable:
        """Find out who calls.

        :param route: the queue that is called.
        :param keys: all keys that were sent.
        :param job_id: job of the call, for the log.
        """
        if not self.routes.needs_key(route):
            return ANYONE
        if not self.exchange.is_current():
            return Unavailable.CONFIGURATION_AGE
        caller = identify(keys, self.routes.keys)
        if caller is KeyFault.UNKNOWN:
            if not await self.exchange.make_sure():
                return Unavailable.CONFIGURATION_AGE
            caller = identify(keys, self.routes.keys)
        if isinstance(caller, KeyFault):
            self.note_refusal(caller.value, route, job_id)
        return caller

    def note_refusal(self, reason: str, route: Route, job_id: str) -> None:
        """Count and log a refusal.

        :param reason: why.
        :param route: the queue that was called.
        :param job_id: job of the call.
        """
        self.on_refused(reason)
        second = int(self.exchange.clocks.read_boot())
        if second != self._second:
            self._second, self._logged = second, 0
        if self._logged >= LOGGED_PER_S:
            self._unlogged += 1
            return
        self._logged += 1
        configuration = self.routes.configuration
        _LOG.info(
            "caller refused",
            job=job_id,
            queue=route.policy.queue,
            reason=reason,
            configuration=configuration.version if configuration else 0,
            unlogged=self._unlogged,
        )
        self._unlogged = 0
