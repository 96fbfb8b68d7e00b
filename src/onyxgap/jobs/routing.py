"""The active configuration: routes to queues by host and path, services, tenants."""

import math
import typing as t

import attrs

from .amounts import UNLIMITED
from .amounts import Amount
from .messages import QueuePolicy
from .messages import QueueRef
from .tenants import Tenant
from .tenants import index_keys

DEFAULT_BODY_BYTES = 262_144
"""Used unless the configuration sets a limit; the platform's usual limit."""


@attrs.frozen(slots=True)
class Route:
    """Maps a host and a path prefix to a queue.

    :param host: value of the ``Host`` header.
    :param prefix: path prefix.
    :param policy: policy of the queue.
    :param timeout_ms: time limit of a request, in milliseconds.
    :param public: whether the queue is open to callers without a key.
    """

    host: str
    prefix: str
    policy: QueuePolicy
    timeout_ms: int = 3_000
    public: bool = False

    @property
    def endpoint(self) -> str:
        """Host and path prefix in one text; a host has no slash."""
        return self.host + self.prefix

    def get_queue(self) -> QueueRef:
        """Return the queue that it leads to."""
        return QueueRef(self.policy.queue, self.endpoint)


@attrs.frozen(slots=True)
class Service:
    """A pool of VMs.

    :param name: name of the pool.
    :param guarded: whether its workers reject tasks that do not fit.
    :param spare: whether its VMs are switched off and cost nothing.
    """

    name: str
    guarded: bool = True
    spare: bool = False


@attrs.frozen(slots=True)
class Configuration:
    """A version of the configuration.

    :param version: number that increases with each change.
    :param routes: all routes.
    :param services: all services by name.
    :param max_body_bytes: maximum size of a request body.
    :param tenants: all tenants, in no particular order.
    """

    version: int
    routes: tuple[Route, ...]
    services: t.Mapping[str, Service]
    max_body_bytes: int = DEFAULT_BODY_BYTES
    tenants: tuple[Tenant, ...] = ()

    def find_tenant(self, name: str) -> Tenant | None:
        """Return a tenant by its name, ``None`` if there is no such tenant."""
        for tenant in self.tenants:
            if tenant.name == name:
                return tenant
        return None

    def find_spare_service(self) -> str:
        """Return the name of the spare service, or an empty string if there is none."""
        for service in self.services.values():
            if service.spare:
                return service.name
        return ""

    def list_shards(self) -> tuple[str, ...]:
        """List the services that run jobs, sorted by name; each is one shard."""
        return tuple(sorted({route.policy.service for route in self.routes}))


def _index_routes(configuration: Configuration) -> dict[str, list[Route]]:
    index: dict[str, list[Route]] = {}
    for route in configuration.routes:
        index.setdefault(route.host, []).append(route)
    for routes in index.values():
        routes.sort(key=lambda route: -len(route.prefix))
    return index


def _index_policies(configuration: Configuration) -> dict[str, list[QueuePolicy]]:
    policies: dict[str, list[QueuePolicy]] = {}
    for route in configuration.routes:
        known = policies.setdefault(route.policy.queue, [])
        if route.policy.service not in [policy.service for policy in known]:
            known.append(route.policy)
    return policies


def _list_services(routes: t.Iterable[Route]) -> dict[str, set[str]]:
    """List the services of each queue, by its name and by its endpoint."""
    services: dict[str, set[str]] = {}
    for route in routes:
        for key in (route.policy.queue, route.endpoint):
            services.setdefault(key, set()).add(route.policy.service)
    return services


@attrs.define
class RouteTable:
    """Holds the active configuration, and finds routes, caps and weights in it.

    :param configuration: the active version, ``None`` before the first.
    :param keyed: whether requests need a tenant's key, except on public queues.
    :param previous_services: services of each queue in other versions, as far as known,
        by its name and by its endpoint.
    :param confirmed_at: latest time on the boot clock, in seconds, when the active
        version was known to be the newest.
    :param keys: names of tenants by digest of key.
    :param caps: caps of tenants. A removed tenant keeps its last cap, since its jobs
        continue to run.
    :param weights: weights of tenants; a removed tenant keeps its last weight.
    """

    configuration: Configuration | None = None
    keyed: bool = False
    previous_services: dict[str, set[str]] = attrs.field(factory=dict)
    confirmed_at: float = -math.inf
    keys: t.Mapping[str, str] = attrs.field(factory=dict)
    caps: dict[str, Amount] = attrs.field(factory=dict)
    weights: dict[str, float] = attrs.field(factory=dict)
    _index: dict[str, list[Route]] = attrs.field(factory=dict)
    _endpoints: dict[str, Route] = attrs.field(factory=dict)
    _policies: dict[str, list[QueuePolicy]] = attrs.field(factory=dict)
    _services: dict[str, set[str]] = attrs.field(factory=dict)

    def adopt(self, configuration: Configuration) -> bool:
        """Make a version the active one if it is newer.

        :param configuration: the version.
        :returns: whether it is newer than the version that was active.
        """
        active = self.configuration
        if active is not None and configuration.version <= active.version:
            return False
        if active is not None:
            self.add_previous_services(self._services)
        self.configuration = configuration
        self._index = _index_routes(configuration)
        self._endpoints = {route.endpoint: route for route in configuration.routes}
        self._policies = _index_policies(configuration)
        self._services = _list_services(configuration.routes)
        self.keys = index_keys(configuration.tenants)
        for tenant in configuration.tenants:
            self.caps[tenant.name] = tenant.cap
            self.weights[tenant.name] = tenant.weight
        return True

    def confirm(self, version: int, at: float) -> None:
        """Record that a version was the newest at a point in time.

        Any other version than the active one is ignored: either this node or the one
        that confirmed it is behind, and neither may speak for the other.

        :param version: the version, 0 for the active one.
        :param at: time on the boot clock, in seconds.
        """
        if self.configuration is None:
            return
        if version in (0, self.configuration.version):
            self.confirmed_at = max(self.confirmed_at, at)

    def get_version(self) -> int:
        """Return the version of the active configuration, 0 if there is none."""
        return self.configuration.version if self.configuration else 0

    def find_cap(self, tenant: str) -> Amount:
        """Return the cap on what a tenant may have running."""
        return self.caps.get(tenant, UNLIMITED)

    def find_weight(self, tenant: str) -> float:
        """Return a tenant's fair-share weight; 1 if the tenant is not known."""
        return self.weights.get(tenant, 1.0)

    def needs_key(self, route: Route) -> bool:
        """Return whether requests to a queue need a tenant's key."""
        return self.keyed and not route.public

    def add_previous_services(self, moves: t.Mapping[str, t.AbstractSet[str]]) -> None:
        """Add services that queues had in versions that other nodes know.

        :param moves: services by name or endpoint of a queue.
        """
        for queue, services in moves.items():
            self.previous_services.setdefault(queue, set()).update(services)

    def list_services(self) -> dict[str, set[str]]:
        """Return all known services of each queue, by its name and by its endpoint."""
        previous = self.previous_services
        return {
            queue: previous.get(queue, set()) | self._services.get(queue, set())
            for queue in previous.keys() | self._services.keys()
        }

    def list_moves(self) -> dict[str, set[str]]:
        """Return all known services of each queue that has a former service.

        A removed queue counts if no route leads to its services any more.
        """
        known = self.list_services()
        active = set().union(*self._services.values())
        return {
            queue: services
            for queue, services in known.items()
            if len(services) > 1 or not services <= active
        }

    def list_shards(self) -> tuple[str, ...]:
        """List the services that may have jobs, sorted by name; each is one shard.

        These are the services of all routes, and former ones: the jobs that they
        accepted have to end there.
        """
        if self.configuration is None:
            return ()
        active = self.configuration.list_shards()
        return tuple(sorted(set(active).union(*self.previous_services.values())))

    def find(self, host: str, path: str) -> Route | None:
        """Find the route with the longest prefix that matches a path.

        :param host: value of the ``Host`` header.
        :param path: path of the request.
        """
        for route in self._index.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_endpoint(self, endpoint: str) -> Route | None:
        """Find the route that leads from an endpoint.

        :param endpoint: host and path prefix.
        """
        return self._endpoints.get(endpoint)

    def is_same_queue(self, asked: QueueRef, stored: QueueRef) -> bool:
        """Return whether a job belongs to the queue by which a caller asks for it.

        A job belongs to the queue to which its endpoint leads now. If that leads to
        none any more, or is not known, it belongs to the queue that has its name.

        :param asked: the queue of the call.
        :param stored: the queue to which the job was submitted.
        """
        if not asked.endpoint or not stored.endpoint:
            return asked.name == stored.name
        if asked.endpoint == stored.endpoint:
            return True
        return asked.name == stored.name and stored.endpoint not in self._endpoints

    def get_queue_name(self, stored: QueueRef) -> str:
        """Return the present name of the queue to which a job belongs.

        :param stored: the queue to which the job was submitted.
        """
        route = self._endpoints.get(stored.endpoint)
        return stored.name if route is None else route.policy.queue

    def list_policies(self, queue: str) -> t.Sequence[QueuePolicy]:
        """List the policies of a queue in the active version, one for each service.

        :param queue: name of the queue.
        """
        return self._policies.get(queue, ())

    def names_service(self, service: str) -> bool:
        """Return whether the active version names a service.

        :param service: name of the service.
        """
        active = self.configuration
        return active is not None and service in active.services

    def is_guarded(self, service: str) -> bool:
        """Return whether the workers of a service reject tasks that do not fit.

        :param service: name of the service.
        """
        if self.configuration is None:
            return False
        found = self.configuration.services.get(service)
        return found is not None and found.guarded

    def list_other_services(self, queue: QueueRef, service: str) -> tuple[str, ...]:
        """List the services of a queue in all known versions but one.

        :param queue: the queue in one of the versions.
        :param service: the service that is left out.
        """
        known: set[str] = set()
        for key in (queue.name, queue.endpoint):
            known |= self.previous_services.get(key, set())
            known |= self._services.get(key, set())
        return tuple(sorted(known - {service}))
