"""Base class of a node: builds its components and applies the operator's rows."""

import math
import random
import typing as t
import uuid

import anyio
import anyio.abc
import attrs
import structlog

from ..clocks import Clocks
from ..jobs.admission import AdmissionController
from ..jobs.advice import PolicyClient
from ..jobs.desk import JobApi
from ..jobs.health import StoreHealth
from ..jobs.members import Member
from ..jobs.notices import NoPeers
from ..jobs.notices import Peers
from ..jobs.ownership import OwnerView
from ..jobs.passing import CallLink
from ..jobs.passing import NoCallLink
from ..jobs.passing import PeerSelector
from ..jobs.routing import Configuration
from ..jobs.routing import RouteTable
from ..jobs.settings import NodeSettings
from ..jobs.store import RowId
from ..jobs.store import Store
from ..jobs.store import StoredRow
from ..jobs.workers import WorkerClient
from ..pools.messages import CloudClient
from ..pools.messages import Wave
from ..pools.sizing import PoolSizer
from ..pools.sizing import Sizer
from .authentication import Authentication
from .configuration_exchange import ConfigurationExchange
from .desk import LocalJobApi
from .fleet_controller import FleetController
from .follower import Follower
from .former_owners import FormerOwners
from .lag import LoopLag
from .member_registration import MemberRegistration
from .owner import ShardOwner
from .owner_workers import DecodeWorker
from .owner_workers import OwnerContext
from .passing_desk import ForwardingJobApi
from .queue_moves import QueueMoves
from .rows import SkippedRows
from .rows import decode_rows
from .start_times import StartStep
from .start_times import StartTimes
from .unowned_shards import UnownedShardReporter
from .work_meter import NoWorkMeter
from .work_meter import WorkMeter

_LOG = structlog.get_logger()


@attrs.frozen
class Decoders:
    """Tables, keys and formats of the rows of the operator and of workers.

    :param worker_table: table of the workers' registrations.
    :param operator_table: table of the operator's rows.
    :param configuration_key: key of the configuration's row.
    :param wave_prefix: prefix of the keys of maintenance waves.
    :param decode_worker: decodes a registration from its key and value.
    :param decode_configuration: decodes the configuration.
    :param decode_wave: decodes a maintenance wave from its key and value.
    :param encode_wave_status: builds the row with the status of a maintenance wave from
        the wave's number and whether the wave is complete.
    """

    worker_table: str
    operator_table: str
    configuration_key: str
    wave_prefix: str
    decode_worker: DecodeWorker
    decode_configuration: t.Callable[[bytes], Configuration]
    decode_wave: t.Callable[[str, bytes], Wave]
    encode_wave_status: t.Callable[[int, bool], tuple[RowId, bytes]]


@attrs.define(eq=False)
class NodeBase:
    """Components of a node, and its state as read from the operator's rows.

    :param settings: the node's settings.
    :param store: the store; its answers and failures are recorded in ``health``.
    :param health: whether the store answers.
    :param workers: client for calls to workers.
    :param cloud: client for calls about VMs, ``None`` if there is no such interface.
    :param decoders: tables and formats of the rows of the operator and of workers.
    :param clocks: the process's clocks.
    :param rng: adds jitter to retries and chooses peers.
    :param policy_client: client of the policy service, ``None`` if there is none.
    :param peers: sends notices to other nodes and receives theirs.
    :param calls: transport of calls that nodes forward to each other.
    :param build_sizer: builds the policy that chooses the sizes of pools.
    :param memory_mb: memory of the VM in MB, 0 if it is not known.
    :param boot: unique ID of the process.
    :param work_meter: counts the work of scheduling passes and reports.
    :param routes: the configuration in force.
    :param views: newest owner row of each shard, as seen by this node.
    :param owners: owned shards by name.
    :param waves: maintenance waves by number.
    :param members: all registered nodes by name.
    :param fleet_controller: the fleet controller while this node has that role.
    :param shards_failed: number of shards lost to unexpected errors.
    :param skipped: number of rows that could not be decoded, by table.
    :param forwarding_api: job API that forwards calls, ``None`` if calls are not
        forwarded.
    :param exchange: knows whether the configuration is current.
    :param queue_moves: services of queues in earlier configurations, shared by nodes.
    :param job_api: job API served by this node alone.
    :param served_api: job API that callers use: ``forwarding_api`` if set, else
        ``job_api``.
    :param lag: lag of the event loop.
    :param registration: registration of this node as a member.
    :param former_owners: knows which former owners of its shards have ended.
    :param unowned_shards: logs the shards without a live owner.
    :param start_times: times from the start of the process to its first decisions.
    """

    settings: NodeSettings
    store: Store
    health: StoreHealth
    workers: WorkerClient
    cloud: CloudClient | None
    decoders: Decoders
    clocks: Clocks
    rng: random.Random
    policy_client: PolicyClient | None = None
    peers: Peers = attrs.field(factory=NoPeers)
    calls: CallLink = attrs.field(factory=NoCallLink)
    build_sizer: t.Callable[[], Sizer] = PoolSizer
    memory_mb: int = 0
    boot: str = attrs.field(factory=lambda: uuid.uuid4().hex[:12])
    work_meter: WorkMeter = attrs.field(factory=NoWorkMeter)
    routes: RouteTable = attrs.field(factory=RouteTable)
    views: dict[str, OwnerView] = attrs.field(factory=dict)
    owners: dict[str, ShardOwner] = attrs.field(factory=dict)
    waves: dict[int, Wave] = attrs.field(factory=dict)
    members: dict[str, Member] = attrs.field(factory=dict)
    fleet_controller: FleetController | None = None
    shards_failed: int = 0
    skipped: SkippedRows = attrs.field(factory=SkippedRows)
    forwarding_api: ForwardingJobApi | None = None
    exchange: ConfigurationExchange = attrs.field(init=False)
    queue_moves: QueueMoves = attrs.field(init=False)
    job_api: LocalJobApi = attrs.field(init=False)
    served_api: JobApi = attrs.field(init=False)
    lag: LoopLag = attrs.field(init=False)
    registration: MemberRegistration = attrs.field(init=False)
    former_owners: FormerOwners = attrs.field(init=False)
    unowned_shards: UnownedShardReporter = attrs.field(factory=UnownedShardReporter)
    start_times: StartTimes = attrs.field()
    _store_reachable_since: float | None = None
    _store_answered_at: float = 0.0
    _owners_read_at: float = math.inf
    _claiming: set[str] = attrs.field(factory=set)
    _claim_after: dict[str, float] = attrs.field(factory=dict)
    _group: anyio.abc.TaskGroup | None = None
    _stopping: bool = False

    @start_times.default
    def _build_start_times(self) -> StartTimes:
        return StartTimes(self.clocks, self.clocks.read_boot())

    def __attrs_post_init__(self) -> None:
        self.lag = LoopLag(self.clocks)
        self.health.read_lag = lambda: self.lag.seconds
        self.routes.keyed = self.settings.keyed
        self.exchange = ConfigurationExchange(
            self.routes,
            self.clocks,
            self.rng,
            self.settings.limits.configuration_s,
            self.peers,
            self.members,
            self._read_configuration,
        )
        self.queue_moves = QueueMoves(
            self.store,
            self.routes,
            self.rng,
            self.skipped,
            row_bytes=self.settings.store_limits.row_bytes,
        )
        self.job_api = LocalJobApi(
            self.store,
            self.health,
            self.clocks,
            self.routes,
            self.views,
            self.owners,
            Authentication(self.routes, self.exchange),
            self.queue_moves,
            row_bytes=self.settings.store_limits.row_bytes,
        )
        self.served_api = self.job_api
        if self.settings.contended:
            peer_selector = PeerSelector(
                self.settings.node, self.members, self.rng.sample
            )
            self.forwarding_api = ForwardingJobApi(
                self.job_api, self.health, self.clocks, peer_selector, self.calls
            )
            self.served_api = self.forwarding_api
            self.job_api.admission = AdmissionController()
            self.job_api.count_nodes = lambda: len(self.members)
        self._build_registration()

    def _build_registration(self) -> None:
        forwards = self.forwarding_api is not None
        call_address = self.calls.get_address() if forwards else ""
        member = Member(
            self.peers.get_address(), self.memory_mb, call_address, self.boot
        )
        self.registration = MemberRegistration(
            self.settings.node, self.store, self.health, self.clocks, member
        )
        self.former_owners = FormerOwners(
            self.clocks, self.health, self.members, self.registration
        )

    def _build_owner_context(self) -> OwnerContext:
        return OwnerContext(
            self.store,
            self.workers,
            self.clocks,
            self.health,
            self.settings.limits,
            self.rng,
            self.lag,
            self.decoders.worker_table,
            self.decoders.decode_worker,
            self.routes.is_guarded,
            self.routes if self.routes.keyed else None,
            self.policy_client,
            self.settings.contended,
            self.skipped,
            self.job_api.decoder,
            self.settings.store_limits,
            self.work_meter,
            self.routes.names_service,
            self.routes.get_queue_name,
            self.start_times,
        )

    def _follow_operator(self) -> Follower:
        return Follower(
            self.store,
            self.decoders.operator_table,
            lambda: [""],
            self._apply_operator_rows,
            self.rng,
            on_caught_up=lambda at: self.routes.confirm(0, at),
            read_boot=self.clocks.read_boot,
        )

    async def _read_configuration(self) -> None:
        table, key = self.decoders.operator_table, self.decoders.configuration_key
        page = await self.store.read(table, "", key)
        self._apply_operator_rows(page.rows, False)

    def _apply_operator_rows(self, rows: t.Sequence[StoredRow], whole: bool) -> None:
        for row, value in decode_rows(
            rows, self._decode_operator_row, self.skipped, "operator row skipped"
        ):
            if isinstance(value, Configuration):
                self._apply_configuration(row, value)
            elif value is not None:
                self.waves[value.number] = value

    def _decode_operator_row(self, row: StoredRow) -> Configuration | Wave | None:
        key = row.row_id.key
        if key == self.decoders.configuration_key:
            return self.decoders.decode_configuration(row.value)
        if key.startswith(self.decoders.wave_prefix):
            return self.decoders.decode_wave(key, row.value)
        return None

    def _apply_configuration(
        self, row: StoredRow, configuration: Configuration
    ) -> None:
        self.start_times.note(StartStep.CONFIGURATION)
        if self.routes.adopt(configuration):
            _LOG.info(
                "configuration in force",
                version=configuration.version,
                routes=len(configuration.routes),
                row_version=row.version,
            )
