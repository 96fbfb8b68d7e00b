"""The manifest: pools, services, tasks and teams as pipelines declare them."""

import enum
import typing as t

import attrs

from . import defaults
from .documents import CONVERTER
from .documents import find_duplicates
from .documents import in_range
from .documents import parse_json
from .documents import structure_document
from .exceptions import DocumentError
from .exceptions import Fault

FORMAT = 1


class Priority(enum.Enum):
    """How urgent a job is; urgent work goes first."""

    URGENT = "urgent"
    NORMAL = "normal"
    BULK = "bulk"

    @property
    def rank(self) -> int:
        """Order of service, 0 first."""
        return _RANKS[self]


_RANKS = {Priority.URGENT: 0, Priority.NORMAL: 1, Priority.BULK: 2}


@attrs.frozen
class Weights:
    """What the operator weighs in a plan; higher means dearer.

    :param moves: price of one relocated VM or task.
    :param buffer: price of one spare VM held back.
    :param roll_out: price of one second until a manifest is in force.
    """

    moves: float = attrs.field(default=1.0, validator=in_range(0, 1000))
    buffer: float = attrs.field(default=1.0, validator=in_range(0, 1000))
    roll_out: float = attrs.field(default=1.0, validator=in_range(0, 1000))


class Resources(t.Protocol):
    """Anything that states what a VM offers."""

    @property
    def cores(self) -> int:
        """Processor cores."""

    @property
    def memory_gb(self) -> int:
        """Memory in GB."""

    @property
    def accelerators(self) -> int:
        """Number of accelerators."""


@attrs.frozen
class Shape:
    """What a VM must offer.

    :param cores: processor cores.
    :param memory_gb: memory in GB.
    :param accelerators: number of accelerators.
    """

    cores: int = attrs.field(default=1, validator=in_range(1, 4096))
    memory_gb: int = attrs.field(default=1, validator=in_range(1, 65536))
    accelerators: int = attrs.field(default=0, validator=in_range(0, 64))

    def fits(self, offered: Resources) -> bool:
        """Tell whether a VM meets this shape.

        :param offered: the VM.
        """
        return (
            offered.cores >= self.cores
            and offered.memory_gb >= self.memory_gb
            and offered.accelerators >= self.accelerators
        )


@attrs.frozen
class Pool:
    """A pool of VMs and its availability budget.

    :param name: unique name.
    :param zones: wanted number of VMs by availability zone.
    :param max_out: most VMs of the pool that may be unavailable at once
        by choice; the availability budget.
    :param slots: requests that one VM runs at once.
    :param shape: what a VM must offer to join.
    """

    name: str
    zones: dict[str, int]
    max_out: int = attrs.field(validator=in_range(0, 100_000))
    slots: int = attrs.field(default=8, validator=in_range(1, 1024))
    shape: Shape = attrs.field(factory=Shape)

    @property
    def size(self) -> int:
        """Wanted number of VMs."""
        return sum(self.zones.values())


@attrs.frozen
class Job:
    """A kind of request that a service answers.

    :param name: unique in its service.
    :param priority: urgency.
    :param idempotent: whether running twice equals running once.
    :param team: the team whose quota it uses, or ``None``.
    :param deadline_ms: time within which it must be answered.
    """

    name: str
    priority: Priority
    idempotent: bool
    team: str | None = None
    deadline_ms: int = attrs.field(
        default=defaults.DEFAULT_DEADLINE_MS, validator=in_range(10, 3_600_000)
    )


@attrs.frozen
class Service:
    """A service that callers address; its requests run in one pool.

    :param name: unique name.
    :param pool: name of the pool.
    :param jobs: kinds of request.
    """

    name: str
    pool: str
    jobs: list[Job]


@attrs.frozen
class Task:
    """Work placed on a pool's workers, apart from requests.

    :param name: unique name.
    :param pool: name of the pool.
    :param priority: urgency.
    :param idempotent: whether it may be run again after a lost attempt.
    :param team: the team whose quota it uses, or ``None``.
    :param cores: declared processor need.
    :param memory_gb: declared memory need.
    :param run_time_s: declared run time in seconds.
    :param count: how many of it are wanted.
    """

    name: str
    pool: str
    priority: Priority
    idempotent: bool = True
    team: str | None = None
    cores: int = attrs.field(default=1, validator=in_range(1, 4096))
    memory_gb: int = attrs.field(default=1, validator=in_range(1, 65536))
    run_time_s: int = attrs.field(default=60, validator=in_range(1, 10_000_000))
    count: int = attrs.field(default=1, validator=in_range(0, 100_000))


@attrs.frozen
class Team:
    """A team and its quotas.

    :param name: unique name.
    :param quotas: most slots in use at once, by service.
    :param cores: most cores of placed tasks at once, or ``None``.
    """

    name: str
    quotas: dict[str, int] = attrs.field(factory=dict)
    cores: int | None = attrs.field(default=None, validator=in_range(0, 10_000_000))


@attrs.frozen
class Manifest:
    """The wanted state of one deployment.

    :param format: version of this document's format.
    :param deployment: name of the deployment.
    :param zones: availability zones that may be used.
    :param pools: pools of VMs.
    :param services: services that callers address.
    :param tasks: work placed on workers.
    :param teams: teams with quotas.
    :param weights: what the operator weighs in a plan.
    :param maintenance_days: every VM is maintained once in so many days.
    """

    format: int = attrs.field(validator=in_range(FORMAT, FORMAT))
    deployment: str
    zones: list[str]
    pools: list[Pool]
    services: list[Service] = attrs.field(factory=list)
    tasks: list[Task] = attrs.field(factory=list)
    teams: list[Team] = attrs.field(factory=list)
    weights: Weights = attrs.field(factory=Weights)
    maintenance_days: int = attrs.field(default=35, validator=in_range(1, 3650))


def parse_manifest(text: str | bytes) -> Manifest:
    """Read and check a manifest.

    :param text: JSON text.
    :raises DocumentError: with every fault and its JSON path.
    """
    manifest = structure_document(parse_json(text), Manifest)
    faults = find_faults(manifest)
    if faults:
        raise DocumentError(faults)
    return manifest


def find_faults(manifest: Manifest) -> list[Fault]:
    """List what is wrong across the parts of a well-formed manifest.

    :param manifest: the manifest to check.
    """
    checks: tuple[t.Callable[[Manifest], t.Iterable[Fault]], ...] = (
        _check_names,
        _check_pools,
        _check_services,
        _check_tasks,
        _check_teams,
    )
    return [fault for check in checks for fault in check(manifest)]


def _check_names(manifest: Manifest) -> t.Iterable[Fault]:
    for field in ("pools", "services", "tasks", "teams"):
        items = getattr(manifest, field)
        yield from find_duplicates(f"$.{field}", (item.name for item in items))
    for index, service in enumerate(manifest.services):
        path = f"$.services[{index}].jobs"
        yield from find_duplicates(path, (job.name for job in service.jobs))


def _check_pools(manifest: Manifest) -> t.Iterable[Fault]:
    known = set(manifest.zones)
    for index, pool in enumerate(manifest.pools):
        path = f"$.pools[{index}]"
        for zone, count in pool.zones.items():
            if zone not in known:
                yield Fault(f"{path}.zones.{zone}", "unknown availability zone")
            if count < 0:
                yield Fault(f"{path}.zones.{zone}", "must not be negative")
        if pool.size and pool.max_out >= pool.size:
            reason = f"impossible budget: {pool.max_out} out of {pool.size} VMs"
            yield Fault(f"{path}.max_out", reason)


def _check_services(manifest: Manifest) -> t.Iterable[Fault]:
    pools = {pool.name for pool in manifest.pools}
    teams = {team.name for team in manifest.teams}
    for index, service in enumerate(manifest.services):
        path = f"$.services[{index}]"
        if service.pool not in pools:
            yield Fault(f"{path}.pool", f"unknown pool {service.pool!r}")
        for number, job in enumerate(service.jobs):
            if job.team is not None and job.team not in teams:
                yield Fault(f"{path}.jobs[{number}].team", f"unknown team {job.team!r}")


def _check_tasks(manifest: Manifest) -> t.Iterable[Fault]:
    pools = {pool.name: pool for pool in manifest.pools}
    teams = {team.name for team in manifest.teams}
    for index, task in enumerate(manifest.tasks):
        path = f"$.tasks[{index}]"
        pool = pools.get(task.pool)
        if pool is None:
            yield Fault(f"{path}.pool", f"unknown pool {task.pool!r}")
        elif task.cores > pool.shape.cores or task.memory_gb > pool.shape.memory_gb:
            yield Fault(path, f"larger than a VM of pool {task.pool!r}")
        if task.team is not None and task.team not in teams:
            yield Fault(f"{path}.team", f"unknown team {task.team!r}")


def _check_teams(manifest: Manifest) -> t.Iterable[Fault]:
    services = {service.name for service in manifest.services}
    for index, team in enumerate(manifest.teams):
        for name, quota in team.quotas.items():
            path = f"$.teams[{index}].quotas.{name}"
            if name not in services:
                yield Fault(path, "unknown service")
            if quota < 0:
                yield Fault(path, "must not be negative")


_PARTS: dict[str, type] = {
    "pools": Pool,
    "services": Service,
    "tasks": Task,
    "teams": Team,
}
HEADER_CHUNK = "manifest"


def split_manifest(manifest: Manifest) -> dict[str, t.Any]:
    """Split a manifest into named chunks, so that a change carries few of them.

    :param manifest: the manifest.
    :returns: JSON value by chunk name, such as ``pools/ring``.
    """
    document = CONVERTER.unstructure(manifest)
    chunks: dict[str, t.Any] = {}
    for part in _PARTS:
        for item in document.pop(part, []):
            chunks[f"{part}/{item['name']}"] = item
    chunks[HEADER_CHUNK] = document
    return chunks


def structure_chunk(name: str, value: object) -> t.Any:
    """Turn one chunk back into its attrs class; the header stays a mapping.

    :param name: chunk name.
    :param value: its JSON value.
    """
    part = name.partition("/")[0]
    kind = _PARTS.get(part)
    return value if kind is None else structure_document(value, kind)


def join_chunks(chunks: t.Mapping[str, t.Any]) -> Manifest:
    """Rebuild a manifest from structured chunks.

    :param chunks: what :func:`structure_chunk` returned, by name.
    """
    parts: dict[str, list[t.Any]] = {part: [] for part in _PARTS}
    for name in sorted(chunks):
        part = name.partition("/")[0]
        if part in parts:
            parts[part].append(chunks[name])
    header = structure_document({**chunks[HEADER_CHUNK], "pools": []}, Manifest)
    return attrs.evolve(
        header,
        pools=parts["pools"],
        services=parts["services"],
        tasks=parts["tasks"],
        teams=parts["teams"],
    )
