"""What a node knows from the rows of the operator, and its parts."""

import random
import typing as t
import uuid

import anyio
import anyio.abc
import attrs
import structlog

from ..clocks import Clocks
from ..jobs.admission import Gate
from ..jobs.advice import Adviser
from ..jobs.desk import Desk
from ..jobs.health import StoreHealth
from ..jobs.members import Member
from ..jobs.notices import NoPeers
from ..jobs.notices import Peers
from ..jobs.ownership import OwnerView
from ..jobs.passing import CallLink
from ..jobs.passing import Helpers
from ..jobs.passing import NoCallLink
from ..jobs.routing import Configuration
from ..jobs.routing import RouteTable
from ..jobs.settings import NodeSettings
from ..jobs.store import RowId
from ..jobs.store import Store
from ..jobs.store import StoredRow
from ..jobs.workers import Workers
from ..pools.messages import Cloud
from ..pools.messages import Wave
from ..pools.sizing import PoolSizer
from ..pools.sizing import Sizer
from .authentication import Authentication
from .configuration_exchange import ConfigurationExchange
from .desk import NodeDesk
from .fleet import FleetHolder
from .follower import Follower
from .lag import LoopLag
from .owner import ShardOwner
from .owner_workers import DecodeWorker
from .passing_desk import PassingDesk
from .rows import SkippedRows
from .rows import decode_rows

_LOG = structlog.get_logger()


@attrs.frozen
class Decoders:
    """How the rows of the operator and of the workers are found and read.

    :param worker_table: table of the workers' registrations.
    :param operator_table: table of the operator.
    :param configuration_key: row of the configuration.
    :param wave_prefix: start of the keys of maintenance waves.
    :param decode_worker: reads a registration from its key and value.
    :param decode_configuration: reads the configuration.
    :param decode_wave: reads a maintenance wave from its key and value.
    :param encode_wave_status: gives the row that tells how far a wave is.
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
class NodeView:
    """A node's parts, and what it reads of the operator.

    :param settings: its settings.
    :param store: the store, watched.
    :param health: whether the store answers.
    :param workers: calls to workers.
    :param cloud: calls about VMs, ``None`` where there are none.
    :param decoders: how foreign rows are read.
    :param clocks: the process's clocks.
    :param rng: spreads retries.
    :param adviser: the policy service, ``None`` where there is none.
    :param peers: other nodes.
    :param calls: carries calls that nodes pass on to each other.
    :param build_sizer: builds what chooses the sizes of pools.
    :param memory_mb: memory of the VM in MB, 0 where it is not known.
    :param boot: unique id of the process.
    """

    settings: NodeSettings
    store: Store
    health: StoreHealth
    workers: Workers
    cloud: Cloud | None
    decoders: Decoders
    clocks: Clocks
    rng: random.Random
    adviser: Adviser | None = None
    peers: Peers = attrs.field(factory=NoPeers)
    calls: CallLink = attrs.field(factory=NoCallLink)
    build_sizer: t.Callable[[], Sizer] = PoolSizer
    memory_mb: int = 0
    boot: str = attrs.field(factory=lambda: uuid.uuid4().hex[:12])
    routes: RouteTable = attrs.field(factory=RouteTable)
    views: dict[str, OwnerView] = attrs.field(factory=dict)
    owners: dict[str, ShardOwner] = attrs.field(factory=dict)
    waves: dict[int, Wave] = attrs.field(factory=dict)
    members: dict[str, Member] = attrs.field(factory=dict)
    holder: FleetHolder | None = None
    shards_failed: int = 0
    skipped: SkippedRows = attrs.field(factory=SkippedRows)
    passing: PassingDesk | None = None
    exchange: ConfigurationExchange = attrs.field(init=False)
    desk: NodeDesk = attrs.field(init=False)
    front: Desk = attrs.field(init=False)
    lag: LoopLag = attrs.field(init=False)
    _heard_since: float | None = None
    _heard_at: float = 0.0
    _claiming: set[str] = attrs.field(factory=set)
    _claim_after: dict[str, float] = attrs.field(factory=dict)
    _group: anyio.abc.TaskGroup | None = None
    _stopping: bool = False

    def __attrs_post_init__(self) -> None:
        self.lag = LoopLag(self.clocks)
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
        self.desk = NodeDesk(
            self.store,
            self.health,
            self.clocks,
            self.routes,
            self.views,
            self.owners,
            Authentication(self.routes, self.exchange),
        )
        self.front = self.desk
        if self.settings.contended:
            helpers = Helpers(self.settings.node, self.members, self.rng.sample)
            self.passing = PassingDesk(
                self.desk, self.health, self.clocks, helpers, self.calls
            )
            self.front = self.passing
            self.desk.gate = Gate()
            self.desk.count_nodes = lambda: len(self.members)

    def _follow_operator(self) -> Follower:
        return Follower(
            self.store,
            self.decoders.operator_table,
            lambda: [""],
            self._take_operator,
            self.rng,
            on_current=lambda at: self.routes.confirm(0, at),
            read_boot=self.clocks.read_boot,
        )

    async def _read_configuration(self) -> None:
        table, key = self.decoders.operator_table, self.decoders.configuration_key
        page = await self.store.read(table, "", key)
        self._take_operator(page.rows, False)

    def _take_operator(self, rows: t.Sequence[StoredRow], whole: bool) -> None:
        for row, value in decode_rows(
            rows, self._decode_operator_row, self.skipped, "operator's row skipped"
        ):
            if isinstance(value, Configuration):
                self._adopt(row, value)
            elif value is not None:
                self.waves[value.number] = value

    def _decode_operator_row(self, row: StoredRow) -> Configuration | Wave | None:
        key = row.row_id.key
        if key == self.decoders.configuration_key:
            return self.decoders.decode_configuration(row.value)
        if key.startswith(self.decoders.wave_prefix):
            return self.decoders.decode_wave(key, row.value)
        return None

    def _adopt(self, row: StoredRow, configuration: Configuration) -> None:
        if self.routes.adopt(configuration):
            _LOG.info(
                "configuration in force",
                version=configuration.version,
                routes=len(configuration.routes),
                row_version=row.version,
            )
