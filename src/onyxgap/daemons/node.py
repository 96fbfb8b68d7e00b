"""A node: answers callers and owns shards of the fleet's jobs."""

import random
import typing as t
import uuid

import anyio
import anyio.abc
import attrs
import structlog

from ..clocks import Clocks
from ..exceptions import DocumentError
from ..exceptions import OwnershipLostError
from ..exceptions import PlatformUnavailableError
from ..jobs import tables
from ..jobs.health import StoreHealth
from ..jobs.messages import WorkerEntry
from ..jobs.ownership import Claimant
from ..jobs.ownership import OwnerView
from ..jobs.ownership import list_claimable
from ..jobs.routing import Configuration
from ..jobs.routing import RouteTable
from ..jobs.settings import NodeSettings
from ..jobs.store import Applied
from ..jobs.store import Batch
from ..jobs.store import Conflict
from ..jobs.store import Store
from ..jobs.store import StoredRow
from ..jobs.tables import OwnerRow
from ..jobs.workers import Workers
from .desk import NodeDesk
from .follower import Follower
from .owner import OwnerContext
from .owner import ShardOwner

POLL_S = 0.7
"""Pause between two looks at the owner rows, which are renewed as often."""
HEARD_GAP_S = 2.0
"""A longer gap between two answers of the store says nothing of an owner."""
CLAIM_TRIES = 4
CLAIM_PAUSE_S = 0.1

_LOG = structlog.get_logger()


@attrs.frozen
class Decoders:
    """How the rows of the operator and of the workers are found and read.

    :param worker_table: table of the workers' registrations.
    :param operator_table: table of the operator.
    :param configuration_key: row of the configuration.
    :param decode_worker: reads a registration from its key and value.
    :param decode_configuration: reads the configuration.
    """

    worker_table: str
    operator_table: str
    configuration_key: str
    decode_worker: t.Callable[[str, bytes], WorkerEntry]
    decode_configuration: t.Callable[[bytes], Configuration]


@attrs.define(eq=False)
class Node:
    """Everything that a node does but listening.

    :param settings: its settings.
    :param store: the store, watched.
    :param health: whether the store answers.
    :param workers: calls to workers.
    :param decoders: how foreign rows are read.
    :param clocks: the process's clocks.
    :param rng: spreads retries.
    :param boot: unique id of the process.
    """

    settings: NodeSettings
    store: Store
    health: StoreHealth
    workers: Workers
    decoders: Decoders
    clocks: Clocks
    rng: random.Random
    boot: str = attrs.field(factory=lambda: uuid.uuid4().hex[:12])
    routes: RouteTable = attrs.field(factory=RouteTable)
    views: dict[str, OwnerView] = attrs.field(factory=dict)
    owners: dict[str, ShardOwner] = attrs.field(factory=dict)
    entries: dict[str, WorkerEntry] = attrs.field(factory=dict)
    desk: NodeDesk = attrs.field(init=False)
    _heard_since: float | None = None
    _heard_at: float = 0.0
    _group: anyio.abc.TaskGroup | None = None
    _stopping: bool = False

    def __attrs_post_init__(self) -> None:
        self.desk = NodeDesk(
            self.store,
            self.health,
            self.clocks,
            self.routes,
            self.views,
            self.owners,
        )

    async def run(self) -> None:
        """Work until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._build_follower(self._take_operator, "op").run)
            group.start_soon(self._build_follower(self._take_workers, "workers").run)
            group.start_soon(self._watch_owners)

    def _build_follower(
        self, on_rows: t.Callable[[t.Sequence[StoredRow], bool], None], kind: str
    ) -> Follower:
        table = {
            "op": self.decoders.operator_table,
            "workers": self.decoders.worker_table,
        }[kind]
        return Follower(self.store, table, lambda: [""], on_rows, self.rng)

    # what the operator and the workers write

    def _take_operator(self, rows: t.Sequence[StoredRow], whole: bool) -> None:
        for row in rows:
            if row.row_id.key != self.decoders.configuration_key or row.removed:
                continue
            try:
                configuration = self.decoders.decode_configuration(row.value)
            except DocumentError as error:
                _LOG.warning("configuration skipped", reason=str(error))
                continue
            if self.routes.adopt(configuration):
                _LOG.info(
                    "configuration in force",
                    version=configuration.version,
                    routes=len(configuration.routes),
                    row_version=row.version,
                )

    def _take_workers(self, rows: t.Sequence[StoredRow], whole: bool) -> None:
        present = set()
        for row in rows:
            if row.removed:
                self._drop_worker(row.row_id.key)
                continue
            try:
                entry = self.decoders.decode_worker(row.row_id.key, row.value)
            except DocumentError as error:
                _LOG.warning("worker skipped", row=row.row_id.key, reason=str(error))
                continue
            present.add(entry.worker_id)
            self._take_worker(entry)
        if whole:
            for worker_id in set(self.entries) - present:
                self._drop_worker(worker_id)

    def _take_worker(self, entry: WorkerEntry) -> None:
        known = self.entries.get(entry.worker_id)
        if known is None or known.state is not entry.state:
            _LOG.info(
                "worker registered",
                worker=entry.worker_id,
                service=entry.service,
                address=entry.address,
                state=entry.state.value,
            )
        self.entries[entry.worker_id] = entry
        owner = self.owners.get(entry.service)
        if owner is not None:
            owner.observe_worker(entry)

    def _drop_worker(self, worker_id: str) -> None:
        entry = self.entries.pop(worker_id, None)
        if entry is None:
            return
        _LOG.info("worker unregistered", worker=worker_id, service=entry.service)
        owner = self.owners.get(entry.service)
        if owner is not None:
            owner.miss_worker(worker_id)

    # ownership

    async def _watch_owners(self) -> None:
        follower = Follower(
            self.store,
            tables.OWNER_TABLE,
            self._list_shards,
            self._take_owners,
            self.rng,
            wait_s=0.0,
            pause_s=POLL_S,
        )
        assert self._group is not None
        self._group.start_soon(follower.run)
        while True:
            await anyio.sleep(POLL_S / 4)
            if self.routes.configuration is not None and not self._stopping:
                self._claim_due(follower)

    def _list_shards(self) -> t.Sequence[str]:
        configuration = self.routes.configuration
        return configuration.list_shards() if configuration else ()

    def _take_owners(self, rows: t.Sequence[StoredRow], whole: bool) -> None:
        now = self.clocks.read_monotonic()
        for row in rows:
            shard = row.row_id.part
            known = self.views.get(shard)
            if known is not None and row.version <= known.version:
                continue
            try:
                owner = tables.decode_owner(row.value)
            except DocumentError as error:
                _LOG.warning("owner row skipped", shard=shard, reason=str(error))
                continue
            self.views[shard] = OwnerView(owner, row.version, now)

    def _claim_due(self, follower: Follower) -> None:
        now = self.clocks.read_monotonic()
        heard_since = self._note_heard(now)
        if heard_since is None or not follower.after:
            return
        for shard in self._list_shards():
            self.views.setdefault(shard, OwnerView(None, 0, now))
        views = {
            shard: view
            for shard, view in self.views.items()
            if shard not in self.owners and shard in self._list_shards()
        }
        claimant = Claimant(self.settings.node, self.boot, len(self.owners))
        assert self._group is not None
        for shard in list_claimable(views, claimant, heard_since, now)[:1]:
            self._group.start_soon(self._claim, shard)

    def _note_heard(self, now: float) -> float | None:
        answered_at = self.health.answered_at
        if self.health.is_down(now) or not answered_at:
            self._heard_since = None
        elif self._heard_since is None or answered_at - self._heard_at > HEARD_GAP_S:
            self._heard_since = now
        self._heard_at = answered_at
        return self._heard_since

    async def _claim(self, shard: str) -> None:
        view = self.views[shard]
        earlier = view.row.epoch if view.row else 0
        row = OwnerRow(self.settings.node, self.boot, earlier + 1)
        owner_row = tables.get_owner_row(shard)
        nonce = f"{self.boot}/{row.epoch}/0"
        batch = Batch(
            {owner_row: view.version},
            {
                owner_row: tables.encode_owner(row),
                tables.get_fence_row(shard): nonce.encode(),
            },
        )
        for _ in range(CLAIM_TRIES):
            outcome = await self.store.write(batch)
            now = self.clocks.read_monotonic()
            version = 0
            if isinstance(outcome, Applied):
                version = outcome.version
            elif isinstance(outcome, Conflict):
                present = outcome.find(owner_row)
                if present and present.value == tables.encode_owner(row):
                    version = present.version
                else:
                    self._take_owners(outcome.rows, False)
                    return
            if version:
                self.views[shard] = OwnerView(row, version, now)
                self._start_owner(shard, row, version, nonce)
                return
            await anyio.sleep(CLAIM_PAUSE_S)

    def _start_owner(self, shard: str, row: OwnerRow, version: int, nonce: str) -> None:
        context = OwnerContext(
            self.settings.node,
            self.boot,
            self.store,
            self.workers,
            self.clocks,
            self.health,
            self.settings.limits,
            self.rng,
        )
        owner = ShardOwner(shard, row.epoch, version, context, nonce)
        _LOG.info("shard claimed", shard=shard, epoch=row.epoch, version=version)
        self.owners[shard] = owner
        assert self._group is not None
        self._group.start_soon(self._run_owner, shard, owner)

    async def _run_owner(self, shard: str, owner: ShardOwner) -> None:
        entries = [item for item in self.entries.values() if item.service == shard]
        try:
            await owner.run(entries)
        except OwnershipLostError as error:
            _LOG.info("shard lost", shard=shard, epoch=owner.epoch, reason=str(error))
        except PlatformUnavailableError as error:
            _LOG.info("shard not loaded", shard=shard, reason=str(error))
        finally:
            if self.owners.get(shard) is owner:
                del self.owners[shard]
        view = self.views[shard]
        self.views[shard] = attrs.evolve(view, changed_at=self.clocks.read_monotonic())

    async def release(self) -> None:
        """Hand every shard over; the node claims none afterwards."""
        self._stopping = True
        self.desk.stopping = True
        owners = list(self.owners.values())
        for owner in owners:
            owner.releasing = True
            owner.wake()
        for owner in owners:
            await owner.released.wait()
