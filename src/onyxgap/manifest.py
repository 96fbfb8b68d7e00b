"""Defines, validates and splits the manifest, the declared state of a deployment."""

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
    """Scheduling priority of a job or task; urgent work goes first."""

    URGENT = "urgent"
    NORMAL = "normal"
    BULK = "bulk"

    @property
    def rank(self) -> int:
        """Numeric priority; 0 is the most urgent."""
        return _RANKS[self]


_RANKS = {Priority.URGENT: 0, Priority.NORMAL: 1, Priority.BULK: 2}


@attrs.frozen
class Weights:
    """Cost weights of a plan; a higher weight makes the item more expensive.

    :param moves: cost of relocating one task.
    :param buffer: cost of keeping one spare VM.
    :param roll_out: cost of each 60 seconds of the roll-out.
    """

    moves: float = attrs.field(default=1.0, validator=in_range(0, 1000))
    buffer: float = attrs.field(default=1.0, validator=in_range(0, 1000))
    roll_out: float = attrs.field(default=1.0, validator=in_range(0, 1000))


class Resources(t.Protocol):
    """Resources that a VM offers."""

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
    """Minimum resources of a VM.

    :param cores: processor cores.
    :param memory_gb: memory in GB.
    :param accelerators: number of accelerators.
    """

    cores: int = attrs.field(default=1, validator=in_range(1, 4096))
    memory_gb: int = attrs.field(default=1, validator=in_range(1, 65536))
    accelerators: int = attrs.field(default=0, validator=in_range(0, 64))

    def fits(self, offered: Resources) -> bool:
        """Tell whether a VM has at least these resources.

        :param offered: resources of the VM.
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
    :param zones: declared number of VMs by availability zone.
    :param max_out: availability budget: a voluntary disruption must not leave more
        VMs of the pool than this out of service.
    :param slots: maximum number of concurrent requests on one VM.
    :param shape: minimum resources of a VM that joins the pool.
    """

    name: str
    zones: dict[str, int]
    max_out: int = attrs.field(validator=in_range(0, 100_000))
    slots: int = attrs.field(default=8, validator=in_range(1, 1024))
    shape: Shape = attrs.field(factory=Shape)

    @property
    def size(self) -> int:
        """Declared number of VMs in all zones."""
        return sum(self.zones.values())


@attrs.frozen
class Job:
    """A type of request that a service answers.

    :param name: name, unique within the service.
    :param priority: scheduling priority.
    :param idempotent: whether running it twice has the same effect as once.
    :param team: team whose quota is charged, or ``None``.
    :param deadline_ms: milliseconds within which it must be answered.
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
    :param jobs: types of request.
    """

    name: str
    pool: str
    jobs: list[Job]


@attrs.frozen
class Task:
    """Work that is placed on the workers of a pool, independent of requests.

    :param name: unique name.
    :param pool: name of the pool.
    :param priority: scheduling priority.
    :param idempotent: whether it may be restarted after a lost attempt.
    :param team: team whose quota is charged, or ``None``.
    :param cores: processor cores that it requests.
    :param memory_gb: memory in GB that it requests.
    :param run_time_s: declared run time in seconds.
    :param count: declared number of instances.
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
    :param quotas: maximum number of slots in use at the same time, by service.
    :param cores: maximum number of cores of its placed tasks in total, or
        ``None`` for no limit.
    """

    name: str
    quotas: dict[str, int] = attrs.field(factory=dict)
    cores: int | None = attrs.field(default=None, validator=in_range(0, 10_000_000))


@attrs.frozen
class Manifest:
    """The declared state of one deployment.

    :param format: version of the manifest format.
    :param deployment: name of the deployment.
    :param zones: availability zones that may be used.
    :param pools: pools of VMs.
    :param services: services that callers address.
    :param tasks: tasks to place on workers.
    :param teams: teams and their quotas.
    :param weights: cost weights of a plan.
    :param maintenance_days: days within which every VM is maintained once.
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
    """Parse and validate a manifest.

    :param text: JSON text.
    :raises DocumentError: listing every fault with its JSON path.
    """
    manifest = structure_document(parse_json(text), Manifest)
    faults = find_faults(manifest)
    if faults:
        raise DocumentError(faults)
    return manifest


def find_faults(manifest: Manifest) -> list[Fault]:
    """List duplicate names, invalid references and other inconsistencies.

    :param manifest: a manifest whose fields have valid types and ranges.
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
    allowed_zones = set(manifest.zones)
    for index, pool in enumerate(manifest.pools):
        path = f"$.pools[{index}]"
        for zone, count in pool.zones.items():
            if zone not in allowed_zones:
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
        for job_index, job in enumerate(service.jobs):
            if job.team is not None and job.team not in teams:
                yield Fault(
                    f"{path}.jobs[{job_index}].team", f"unknown team {job.team!r}"
                )


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


_SECTIONS: dict[str, type] = {
    "pools": Pool,
    "services": Service,
    "tasks": Task,
    "teams": Team,
}
HEADER_CHUNK = "manifest"


def split_manifest(manifest: Manifest) -> dict[str, t.Any]:
    """Split a manifest into named chunks, so that a change transmits only a few.

    :param manifest: the manifest to split.
    :returns: JSON values by chunk name, such as ``pools/ring``.
    """
    document = CONVERTER.unstructure(manifest)
    chunks: dict[str, t.Any] = {}
    for section in _SECTIONS:
        for item in document.pop(section, []):
            chunks[f"{section}/{item['name']}"] = item
    chunks[HEADER_CHUNK] = document
    return chunks


def structure_chunk(name: str, value: object) -> t.Any:
    """Convert one chunk to its attrs class; the header chunk stays a mapping.

    :param name: chunk name.
    :param value: JSON value of the chunk.
    """
    section = name.partition("/")[0]
    kind = _SECTIONS.get(section)
    return value if kind is None else structure_document(value, kind)


def join_chunks(chunks: t.Mapping[str, t.Any]) -> Manifest:
    """Rebuild a manifest from structured chunks.

    :param chunks: results of :func:`structure_chunk` by chunk name.
    """
    sections: dict[str, list[t.Any]] = {section: [] for section in _SECTIONS}
    for name in sorted(chunks):
        section = name.partition("/")[0]
        if section in sections:
            sections[section].append(chunks[name])
    header = structure_document({**chunks[HEADER_CHUNK], "pools": []}, Manifest)
    return attrs.evolve(
        header,
        pools=sections["pools"],
        services=sections["services"],
        tasks=sections["tasks"],
        teams=sections["teams"],
    )
