"""The configuration in force: queues by host and path, services and tenants."""

import math
import typing as t

import attrs

from .amounts import UNLIMITED
from .amounts import Amount
from .messages import QueuePolicy
from .tenants import Tenant
from .tenants import index_keys

DEFAULT_BODY_BYTES = 262_144
"""Until the configuration says otherwise; the platform's usual bound."""


@attrs.frozen(slots=True)
class Route:
    """Where callers reach a queue.

    :param host: value of the ``Host`` header.
    :param prefix: start of the path.
    :param policy: policy of the queue.
    :param timeout_ms: longest time for one request.
    :param public: whether it is open to callers without a key.
    """

    host: str
    prefix: str
    policy: QueuePolicy
    timeout_ms: int = 3_000
    public: bool = False


@attrs.frozen(slots=True)
class Service:
    """A pool of VMs.

    :param name: its name.
    :param guarded: whether its workers refuse what does not fit.
    :param spare: whether its VMs are switched off and cost nothing.
    """

    name: str
    guarded: bool = True
    spare: bool = False


@attrs.frozen(slots=True)
class Configuration:
    """A version of the configuration.

    :param version: rises with each change.
    :param routes: all routes.
    :param services: all services by name.
    :param max_body_bytes: longest body of a request.
    :param tenants: all tenants; their order has no meaning.
    """

    version: int
    routes: tuple[Route, ...]
    services: t.Mapping[str, Service]
    max_body_bytes: int = DEFAULT_BODY_BYTES
    tenants: tuple[Tenant, ...] = ()

    def find_tenant(self, name: str) -> Tenant | None:
        """Find a tenant by its name."""
        for tenant in self.tenants:
            if tenant.name == name:
                return tenant
        return None

    def find_spare(self) -> str:
        """Give the service whose VMs are off, or an empty string."""
        for service in self.services.values():
            if service.spare:
                return service.name
        return ""

    def list_shards(self) -> tuple[str, ...]:
        """List the services that run jobs of any route, in order of name."""
        return tuple(sorted({route.policy.service for route in self.routes}))


def _index_routes(configuration: Configuration) -> dict[str, list[Route]]:
    index: dict[str, list[Route]] = {}
    for route in configuration.routes:
        index.setdefault(route.host, []).append(route)
    for routes in index.values():
        routes.sort(key=lambda route: -len(route.prefix))
    return index


@attrs.define
class RouteTable:
    """Finds routes; adopts newer versions only.

    :param configuration: the version in force, ``None`` before the first.
    :param keyed: whether calls need a tenant's key, but on open queues.
    :param former: services that a queue had under earlier versions.
    :param confirmed_at: seconds of the boot clock at which the version in force was
        known to be the newest.
    :param keys: names of tenants by digest of key.
    :param caps: caps of tenants; one that was dropped keeps its last one, since its
        jobs run on.
    :param weights: weights of tenants, kept as long.
    """

    configuration: Configuration | None = None
    keyed: bool = False
    former: dict[str, set[str]] = attrs.field(factory=dict)
    confirmed_at: float = -math.inf
    keys: t.Mapping[str, str] = attrs.field(factory=dict)
    caps: dict[str, Amount] = attrs.field(factory=dict)
    weights: dict[str, float] = attrs.field(factory=dict)
    _index: dict[str, list[Route]] = attrs.field(factory=dict)

    def adopt(self, configuration: Configuration) -> bool:
        """Put a version in force.

        :param configuration: the version.
        :returns: whether it is newer than the one in force.
        """
        present = self.configuration
        if present is not None and configuration.version <= present.version:
            return False
        if present is not None:
            self._remember(present)
        self.configuration = configuration
        self._index = _index_routes(configuration)
        self.keys = index_keys(configuration.tenants)
        for tenant in configuration.tenants:
            self.caps[tenant.name] = tenant.cap
            self.weights[tenant.name] = tenant.weight
        return True

    def confirm(self, version: int, at: float) -> None:
        """Take in that a version was the newest at a moment.

        It says nothing of another version than the one in force here: one node that
        is behind must not speak for another.

        :param version: the version, 0 for the one in force.
        :param at: seconds of the boot clock.
        """
        if self.configuration is None:
            return
        if version in (0, self.configuration.version):
            self.confirmed_at = max(self.confirmed_at, at)

    def find_cap(self, tenant: str) -> Amount:
        """Find the most that a tenant may have running."""
        return self.caps.get(tenant, UNLIMITED)

    def find_weight(self, tenant: str) -> float:
        """Find a tenant's share of the room when there is none for all."""
        return self.weights.get(tenant, 1.0)

    def needs_key(self, route: Route) -> bool:
        """Tell whether calls to a queue need a tenant's key."""
        return self.keyed and not route.public

    def _remember(self, earlier: Configuration) -> None:
        for route in earlier.routes:
            policy = route.policy
            self.former.setdefault(policy.queue, set()).add(policy.service)

    def find(self, host: str, path: str) -> Route | None:
        """Find the route with the longest prefix of a path.

        :param host: value of the ``Host`` header.
        :param path: path of the request.
        """
        for route in self._index.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def is_guarded(self, service: str) -> bool:
        """Tell whether the workers of a service refuse what does not fit.

        :param service: name of the service.
        """
        if self.configuration is None:
            return False
        found = self.configuration.services.get(service)
        return found is not None and found.guarded

    def list_former(self, policy: QueuePolicy) -> tuple[str, ...]:
        """List other services that a queue had while this process ran."""
        return tuple(sorted(self.former.get(policy.queue, set()) - {policy.service}))
