"""Builds a configuration exchange with a manual clock for tests."""

import random
import typing as t

import attrs

from onyxgap.daemons.configuration_exchange import ConfigurationExchange
from onyxgap.jobs.members import Member
from onyxgap.jobs.notices import NoPeers
from onyxgap.jobs.notices import Peers
from onyxgap.jobs.routing import RouteTable

BOUND_S = 2.0


@attrs.define
class ManualClocks:
    """Clocks that show the time that a test sets."""

    now: float = 1_000.0

    def read_monotonic(self) -> float:
        return self.now

    def read_wall(self) -> float:
        return self.now

    def read_boot(self) -> float:
        return self.now


async def _read_nothing() -> None:
    """Read no newer configuration: the current version is the newest."""


def build_exchange(
    routes: RouteTable,
    *,
    age_s: float = 0.0,
    peers: Peers | None = None,
    members: dict[str, Member] | None = None,
    read_newest: t.Callable[[], t.Awaitable[None]] | None = None,
) -> ConfigurationExchange:
    """Build the exchange of a node whose configuration was confirmed some time ago.

    :param routes: the current configuration.
    :param age_s: seconds since it was last confirmed as the newest.
    :param peers: other nodes; none by default.
    :param members: addresses of the nodes; none by default.
    :param read_newest: reads the newest configuration from the store.
    """
    clocks = ManualClocks()
    routes.confirm(0, clocks.now - age_s)
    return ConfigurationExchange(
        routes,
        clocks,
        random.Random(1),
        BOUND_S,
        peers or NoPeers(),
        members or {},
        read_newest or _read_nothing,
    )
