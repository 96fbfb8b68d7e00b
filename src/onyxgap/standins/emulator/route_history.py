"""Versions of the routes that the emulated operator writes, and starts of nodes."""

import bisect
import math
import typing as t

import anyio
import attrs

from ...jobs.routing import Route
from .callers import build_policy

HOST = "emulator"
PUBLIC_PREFIX = "/public/"
"""Begin of the path prefixes of queues that need no key."""
NOT_FOUND = ""
"""Service of a path prefix that has no route."""


def build_prefix(name: str) -> str:
    """Build the path prefix of a queue."""
    return f"/{name}/"


def build_public_prefix(name: str) -> str:
    """Build the path prefix of the queue of a pool that needs no key."""
    return f"{PUBLIC_PREFIX}{name}/"


def build_route(prefix: str, service: str, name: str = "") -> Route:
    """Build a route of the emulated configuration.

    :param prefix: path prefix, which determines whether callers need a key.
    :param service: pool whose workers run the jobs of the queue.
    :param name: name of the queue if it was given another one than that of its prefix.
    """
    public = prefix.startswith(PUBLIC_PREFIX)
    policy = build_policy(name or prefix.strip("/").replace("/", "-"), service)
    return Route(HOST, prefix, policy, public=public)


def add_advice(route: Route, advice: t.Mapping[str, t.Any]) -> Route:
    """Have a route tell that its queue asks for tickets, if its pool does.

    :param route: the route.
    :param advice: terms of the policy service by pool.
    """
    terms = advice.get(route.policy.service)
    if terms is None:
        return route
    policy = attrs.evolve(
        route.policy,
        advised=True,
        advice_decide_ms=terms["decide_ms"],
        advice_each_ms=terms["each_ms"],
        advice_valid_ms=terms["valid_ms"],
    )
    return attrs.evolve(route, policy=policy)


@attrs.frozen
class RouteVersion:
    """Routes of a version of the configuration.

    :param number: number of the version.
    :param written_at: monotonic seconds when it was written.
    :param services: services by path prefix.
    """

    number: int
    written_at: float
    services: t.Mapping[str, str]

    def find_service(self, prefix: str) -> str:
        """Return the service of a path prefix, or :data:`NOT_FOUND`."""
        return self.services.get(prefix, NOT_FOUND)


@attrs.define(eq=False)
class RouteHistory:
    """All versions of the routes of a day.

    :param services: services by path prefix in the next version to be written.
    :param names: names of the queues that were renamed, by path prefix.
    :param versions: the versions written so far.
    """

    services: dict[str, str] = attrs.field(factory=dict)
    names: dict[str, str] = attrs.field(factory=dict)
    versions: list[RouteVersion] = attrs.field(factory=list)
    _starts: dict[str, list[float]] = attrs.field(factory=dict)

    def record_version(self, number: int) -> None:
        """Record that a version with the present routes is written."""
        now = anyio.current_time()
        self.versions.append(RouteVersion(number, now, dict(self.services)))

    def record_start(self, node: str) -> None:
        """Record the start of a process of a node."""
        self._starts.setdefault(node, []).append(anyio.current_time())

    def count_starts(self, node: str, at: float) -> int:
        """Count the processes of a node that were started up to a point in time."""
        return bisect.bisect_right(self._starts.get(node, []), at)

    def list_prefixes(self) -> list[str]:
        """List the path prefixes of all versions."""
        known = {prefix for version in self.versions for prefix in version.services}
        return sorted(known)

    def list_services(self, prefix: str) -> set[str]:
        """List the services that a path prefix had in any version."""
        found = {version.find_service(prefix) for version in self.versions}
        return found - {NOT_FOUND}

    def was_dropped(self, prefix: str) -> bool:
        """Return whether a version dropped the route of a path prefix."""
        found = [version.find_service(prefix) for version in self.versions]
        return any(
            earlier != NOT_FOUND and later == NOT_FOUND
            for earlier, later in zip(found, found[1:], strict=False)
        )

    def list_in_force(self, begin: float, end: float) -> list[RouteVersion]:
        """List the versions that were the newest at some time in a span.

        :param begin: monotonic seconds.
        :param end: monotonic seconds.
        """
        ends = [version.written_at for version in self.versions[1:]] + [math.inf]
        return [
            version
            for version, replaced_at in zip(self.versions, ends, strict=True)
            if version.written_at <= end and begin < replaced_at
        ]

    def list_allowing(self, prefix: str, service: str, at: float) -> list[int]:
        """List the versions up to a point in time with a route to a service.

        :param prefix: path prefix.
        :param service: the service, or :data:`NOT_FOUND`.
        :param at: monotonic seconds.
        :returns: numbers of versions, ascending.
        """
        return [
            version.number
            for version in self.versions
            if version.written_at <= at and version.find_service(prefix) == service
        ]
