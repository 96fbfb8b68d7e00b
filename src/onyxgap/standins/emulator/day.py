"""Plays a day: nodes, workers, VMs, callers and faults in virtual time."""

import contextlib
import random
import typing as t

import anyio
import anyio.abc
import attrs
import orjson

from ...jobs.messages import AdviceTerms
from ...jobs.routing import Route
from ...jobs.store import RowId
from ...jobs.store import StoreLimits
from ...jobs.submissions import is_pointer
from ...jobs.tables import PROGRESS_TABLE
from ...jobs.workers import MS_PER_S
from ...pools.messages import Vm
from ...pools.messages import VmState
from ...pools.messages import Wave
from ...pools.sizing import PoolSizer
from ...pools.sizing import Sizer
from .account import Account
from .account import settle_account
from .breach import Breach
from .callers import WALL_START_S
from .callers import Callers
from .checks import Evidence
from .checks import list_breaches
from .cloud import EmulatedCloud
from .count_callers import CountCallers
from .disturbances import DisturbanceLog
from .hindsight import Plan
from .hindsight import plan_in_hindsight
from .job_notes import JobNotes
from .peers import EmulatedNetwork
from .policy import EmulatedPolicy
from .processor import hold_busy_nodes
from .route_history import RouteHistory
from .route_history import build_prefix
from .route_history import build_public_prefix
from .route_history import build_route
from .route_probes import RouteProbes
from .rows import OPERATOR_TABLE
from .rows import SPARE_POOL
from .script import LoadLine
from .script import Script
from .slots import NodeSlot
from .starting import StartHost
from .store import EmulatedStore
from .strangers import Strangers
from .tenancy import Tenancy
from .workers import EmulatedWorkers

BUSY_FACTOR = 4.0
QUIET_FACTOR = 0.05
FINISH_S = 25.0
"""Time after the end in which accepted jobs must end."""


@attrs.frozen
class DayResult:
    """How a day ended.

    :param breaches: broken rules.
    :param account: what callers got.
    :param hindsight: what they could have got.
    """

    breaches: list[Breach]
    account: Account
    hindsight: Plan


@attrs.define(eq=False)
class Day:
    """One day of a script with one seed.

    :param script: the day.
    :param seed: seed of everything that is drawn.
    :param build_sizer: builds what chooses the sizes of pools.
    :param finish_s: time after the end in which accepted jobs must end.
    :param asked_at: monotonic seconds at which each wave was asked for.
    """

    script: Script
    seed: int
    build_sizer: t.Callable[[], Sizer] = PoolSizer
    finish_s: float = FINISH_S
    rng: random.Random = attrs.field(init=False)
    store: EmulatedStore = attrs.field(init=False)
    workers: EmulatedWorkers = attrs.field(init=False)
    policy: EmulatedPolicy | None = attrs.field(default=None, init=False)
    cloud: EmulatedCloud = attrs.field(init=False)
    network: EmulatedNetwork = attrs.field(init=False)
    callers: Callers = attrs.field(init=False)
    count_callers: CountCallers = attrs.field(init=False)
    disturbances: DisturbanceLog = attrs.field(factory=DisturbanceLog)
    tenancy: Tenancy = attrs.field(init=False)
    routes: RouteHistory = attrs.field(factory=RouteHistory)
    route_probes: RouteProbes = attrs.field(init=False)
    strangers: Strangers = attrs.field(init=False)
    host: StartHost = attrs.field(init=False)
    slots: list[NodeSlot] = attrs.field(factory=list)
    waves: list[Wave] = attrs.field(factory=list)
    asked_at: dict[int, float] = attrs.field(factory=dict)
    _version: int = 0
    _group: anyio.abc.TaskGroup | None = None

    def __attrs_post_init__(self) -> None:
        self.rng = random.Random(self.seed)

    async def play(self) -> DayResult:
        """Play the day."""
        with contextlib.ExitStack() as stack:
            if self.script.has_costs():
                stack.enter_context(hold_busy_nodes())
            return await self._play()

    async def _play(self) -> DayResult:
        async with anyio.create_task_group() as group:
            self._group = group
            self._build(group)
            await self._start_nodes(group)
            for line in self.script.serves:
                route = self._get_route(line.pool)
                group.start_soon(self.callers.run_service, line, route)
            for schedule in self.script.schedules:
                route = self._get_route(schedule.pool)
                group.start_soon(self.callers.run_schedule, schedule, route)
            for number, load in enumerate(self.script.loads):
                group.start_soon(self._run_load, number)
                assert load.stop <= self.script.end_s
            for pool in self.script.pools:
                group.start_soon(self.count_callers.run, self._get_route(pool.name))
            if self.script.changes_routes():
                group.start_soon(self.route_probes.run)
            for wave in self.script.waves:
                group.start_soon(self._ask_for_wave, wave)
            self._start_faults(group)
            await anyio.sleep_until(self.script.end_s + self.finish_s)
            await self._ask_for_all()
            self.cloud.settle_bill()
            result = self._judge()
            group.cancel_scope.cancel()
        return result

    async def _start_nodes(self, group: anyio.abc.TaskGroup) -> None:
        for slot in self.slots:
            group.start_soon(slot.run)

    def _start_faults(self, group: anyio.abc.TaskGroup) -> None:
        """Start the faults of the script; a plain day has none."""

    def _build(self, group: anyio.abc.TaskGroup) -> None:
        self.store = EmulatedStore(self.rng, group)
        self.store.limits = StoreLimits(row_bytes=self.script.row_bytes)
        self.workers = EmulatedWorkers(self.rng, group)
        self.network = EmulatedNetwork(group, random.Random(self.seed))
        tenants_rng = random.Random(f"tenants/{self.seed}")
        self.tenancy = Tenancy(self.script.tenants, tenants_rng)
        self.host = StartHost(
            self.script.start_cost_s,
            self.script.host_cores,
            random.Random(f"starts/{self.seed}"),
        )
        self.callers = Callers(self._list_nodes, self.rng, self.tenancy, self.seed)
        self.count_callers = CountCallers(
            self._list_nodes, self.tenancy, random.Random(f"counts/{self.seed}")
        )
        self.strangers = Strangers(
            self._list_nodes,
            [
                build_route(build_public_prefix(name), name)
                for name in self.script.public
            ],
            random.Random(f"strangers/{self.seed}"),
        )
        self.route_probes = RouteProbes(
            self._list_nodes,
            self.routes,
            self.count_callers.choose_key,
            random.Random(f"probes/{self.seed}"),
        )
        self.policy = self._build_policy()
        self.cloud = EmulatedCloud(
            self.store,
            self.workers,
            group,
            self.callers.find_nature,
            self.rng,
            SPARE_POOL,
            frozenset(line.name for line in self.script.pools if not line.guarded),
            self._find_wall_start(),
            self.policy,
        )
        for line in self.script.pools:
            self.routes.services[build_prefix(line.name)] = line.name
            for number in range(line.vms):
                self._add_vm(line.name, number, line.cores, line.memory)
        for number in range(self.script.spare):
            first = self.script.pools[0]
            self._add_vm(SPARE_POOL, number, first.cores, first.memory)
        for name in self.script.public:
            self.routes.services[build_public_prefix(name)] = name
        self._configure()
        self.slots = [NodeSlot(f"node-{n}", self) for n in range(self.script.nodes)]

    def _find_wall_start(self) -> float:
        """Return the wall-clock time at the start of the day, in seconds."""
        return WALL_START_S

    def _add_vm(self, pool: str, number: int, cores: float, memory: float) -> None:
        self.cloud.add(
            Vm(
                f"{pool}-{number}",
                pool,
                VmState.UP,
                zone="zone",
                rack=f"{pool}-r{number // 4}",
                cpu=int(cores * 1000),
                memory_mb=int(memory * 1000),
            )
        )

    def _configure(self) -> None:
        self._version += 1
        pools = {line.name: bool(line.guarded) for line in self.script.pools}
        value = orjson.dumps(
            {
                "version": self._version,
                "pools": pools,
                "routes": self.routes.services,
                "names": self.routes.names,
                "advice": self._encode_advice(),
                "tenants": self.tenancy.encode(),
            }
        )
        self.routes.record_version(self._version)
        self.store.put(RowId(OPERATOR_TABLE, "", "configuration"), value)

    def _build_policy(self) -> EmulatedPolicy | None:
        if not self.script.advice:
            return None

        def find_pool(job_id: str) -> str:
            return self.callers.jobs[job_id].route.policy.service

        policy = EmulatedPolicy(find_pool)
        for line in self.script.advice:
            policy.terms[line.pool] = AdviceTerms(
                round(line.decide * MS_PER_S),
                round(line.each * MS_PER_S),
                round(line.valid * MS_PER_S),
            )
            policy.shares[line.pool] = line.share
        return policy

    def _encode_advice(self) -> dict[str, t.Any]:
        if self.policy is None:
            return {}
        return {pool: attrs.asdict(terms) for pool, terms in self.policy.terms.items()}

    def _get_route(self, pool: str) -> Route:
        return build_route(build_prefix(pool), pool)

    def _list_nodes(self) -> list[t.Any]:
        return [slot for slot in self.slots if slot.node is not None]

    async def _run_load(self, number: int) -> None:
        load = self.script.loads[number]
        turn_s = self.script.turn_s

        def get_factor() -> float:
            if not turn_s:
                return 1.0
            turn = int(anyio.current_time() / turn_s) % len(self.script.loads)
            return BUSY_FACTOR if turn == number else QUIET_FACTOR

        route = self._get_route(load.pool)
        on_accepted = self._choose_strangers(load)
        await self.callers.run_load(load, route, get_factor, on_accepted)

    def _choose_strangers(self, load: LoadLine) -> t.Callable[[JobNotes], None]:
        """Return what sends strangers after the jobs of a load."""
        assert self._group is not None
        group = self._group

        def send(notes: JobNotes) -> None:
            if load.strangers and self.strangers.rng.random() < load.strangers:
                group.start_soon(self.strangers.call, notes)

        return send

    async def _ask_for_wave(self, line: t.Any) -> None:
        await anyio.sleep(line.at)
        names = sorted(self.cloud.vms)
        vms = tuple(self.rng.sample(names, min(line.of, len(names))))
        wave = Wave(len(self.waves) + 1, vms, line.within, line.cap)
        self.waves.append(wave)
        self.asked_at[wave.number] = anyio.current_time()
        value = orjson.dumps(attrs.asdict(wave))
        self.store.put(RowId(OPERATOR_TABLE, "", f"wave/{wave.number}"), value)

    async def _ask_for_all(self) -> None:
        for notes in self.callers.jobs.values():
            if notes.accepted_at is not None and notes.find_final_at() is None:
                await self.callers.ask(notes)

    def collect_evidence(self) -> Evidence:
        """Collect what the checks look at."""
        return Evidence(
            self.callers,
            self.workers.records,
            self.cloud.orders,
            tuple(self.waves),
            self.cloud.maintained,
            self.tenancy,
            self.count_callers.answers,
            self.disturbances,
            self.workers.history,
            self.routes,
            self.route_probes.answers,
            self._list_stored_services(),
            self.store.refused,
            self.strangers.answers,
            self.script.retention_s,
            self.asked_at,
            self.cloud.down_since,
        )

    def _judge(self) -> DayResult:
        evidence = self.collect_evidence()
        breaches = list_breaches(evidence, anyio.current_time())
        account = settle_account(evidence, self.cloud.paid_s, self.store.calls)
        return DayResult(breaches, account, self._plan_in_hindsight(evidence))

    def _list_stored_services(self) -> dict[str, str]:
        """List the services of the stored submissions, by job."""
        return {
            row_id.key: row_id.part.rpartition("/")[0]
            for row_id, row in self.store.rows.items()
            if row_id.key in self.callers.jobs
            and row_id.table != PROGRESS_TABLE
            and not is_pointer(row.value)
        }

    def _plan_in_hindsight(self, evidence: Evidence) -> Plan:
        pools = self.script.pools
        return plan_in_hindsight(
            evidence,
            {line.name: int(line.cores * 1000) for line in pools},
            {line.name: line.vms for line in pools},
            sum(line.vms for line in pools) + self.script.spare,
            self.script.end_s + self.finish_s,
        )
