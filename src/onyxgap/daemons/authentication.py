"""Authentication of API callers by the keys in the current configuration.

Keys may be revoked while a node cannot reach the store. A node that does not know
whether its configuration is still current therefore rejects calls that need a key, so
that a revoked key is not accepted again. Little is lost: without the store the node
cannot accept jobs anyway.
"""

import typing as t

import attrs
import structlog

from ..jobs.desk import Unavailable
from ..jobs.routing import Route
from ..jobs.routing import RouteTable
from ..jobs.tenants import ANONYMOUS
from ..jobs.tenants import Caller
from ..jobs.tenants import KeyRejection
from ..jobs.tenants import identify
from .configuration_exchange import ConfigurationExchange

MAX_LOGGED_PER_S = 20
"""Maximum number of rejections logged per second; the others are only counted."""

_LOG = structlog.get_logger()


@attrs.define(eq=False)
class Authentication:
    """Identifies the callers of one node by their keys.

    :param routes: the configuration in force.
    :param exchange: knows whether that configuration is current.
    :param on_rejected: called with the reason of each rejection.
    """

    routes: RouteTable
    exchange: ConfigurationExchange
    on_rejected: t.Callable[[str], None] = lambda reason: None
    _current_second: int = 0
    _logged_in_second: int = 0
    _suppressed: int = 0

    async def identify(
        self, route: Route, keys: t.Sequence[bytes], job_id: str
    ) -> Caller | KeyRejection | Unavailable:
        """Identify the caller of a queue.

        An unknown key is rejected only if the configuration's row was read within the
        last second (``READ_VALID_S``).

        :param route: route of the queue.
        :param keys: all keys sent with the call.
        :param job_id: job of the call, for the log.
        """
        if not self.routes.needs_key(route):
            return ANONYMOUS
        if not self.exchange.is_current():
            return Unavailable.CONFIGURATION_AGE
        caller = identify(keys, self.routes.keys)
        if caller is KeyRejection.UNKNOWN:
            if not await self.exchange.make_sure():
                return Unavailable.CONFIGURATION_AGE
            caller = identify(keys, self.routes.keys)
        if isinstance(caller, KeyRejection):
            self.record_rejection(caller.value, route, job_id)
        return caller

    def record_rejection(self, reason: str, route: Route, job_id: str) -> None:
        """Count and log a rejected call.

        :param reason: reason of the rejection.
        :param route: route of the queue.
        :param job_id: job of the call.
        """
        self.on_rejected(reason)
        second = int(self.exchange.clocks.read_boot())
        if second != self._current_second:
            self._current_second, self._logged_in_second = second, 0
        if self._logged_in_second >= MAX_LOGGED_PER_S:
            self._suppressed += 1
            return
        self._logged_in_second += 1
        _LOG.info(
            "caller rejected",
            job=job_id,
            queue=route.policy.queue,
            reason=reason,
            configuration=self.routes.get_version(),
            unlogged=self._suppressed,
        )
        self._suppressed = 0
