"""Holds the fleet duty: maintains and moves VMs, one holder at a time."""

import random
import typing as t

import anyio
import anyio.abc
import attrs
import orjson
import structlog

from ..clocks import Clocks
from ..exceptions import MALFORMED_ERRORS
from ..exceptions import OwnershipLostError
from ..exceptions import PlatformUnavailableError
from ..jobs import tables
from ..jobs.routing import RouteTable
from ..jobs.settings import TimeLimits
from ..jobs.store import Applied
from ..jobs.store import Batch
from ..jobs.store import RowId
from ..jobs.store import Store
from ..jobs.store import StoredRow
from ..pools.messages import Cloud
from ..pools.messages import FleetRow
from ..pools.messages import VmOrder
from ..pools.messages import VmReply
from ..pools.messages import Wave
from ..pools.messages import decode_fleet_row
from ..pools.messages import decode_report
from ..pools.messages import encode_fleet_row
from ..pools.planner import FleetPlanner
from ..pools.sizing import Sizer
from ..pools.sizing import get_need
from .follower import Follower
from .owned import OwnedShard
from .reading import read_at_once
from .rows import SkippedRows
from .rows import decode_rows

TICK_S = 0.2
"""Orders wait at most this long; reports wake the loop earlier."""
LIST_S = 0.5
"""Pause between two lists of VMs; a move or maintenance takes 1.5 s or more."""
HOLDER_MARGIN_S = 0.7
"""Added to the pause between two holders, for calls still under way."""
SEND_WITHIN_S = 0.8
"""An order is sent within this time of the write that permits it, or not at all:
a process that stood still meanwhile may have a successor."""

_LOG = structlog.get_logger()


@attrs.define(eq=False)
class FleetHolder(OwnedShard):
    """Holder of the fleet duty, from its claim to its loss or release.

    :param cloud: calls about VMs.
    :param store: the store.
    :param clocks: the process's clocks.
    :param limits: time limits of the deployment.
    :param routes: the configuration in force.
    :param waves: waves that the operator asked for.
    :param encode_status: gives the row that tells how far a wave is.
    :param rng: spreads retries.
    :param sizer: chooses the sizes of pools.
    :param skipped: number of rows that could not be decoded, by table.
    """

    cloud: Cloud
    store: Store
    clocks: Clocks
    limits: TimeLimits
    routes: RouteTable
    waves: t.Mapping[int, Wave]
    encode_status: t.Callable[[int, bool], tuple[RowId, bytes]]
    rng: random.Random
    sizer: Sizer
    skipped: SkippedRows = attrs.field(factory=SkippedRows)
    planner: FleetPlanner = attrs.field(init=False)
    _earlier: FleetRow = attrs.field(factory=FleetRow)
    _stored: bytes = b""
    _stored_turns: bytes = b""
    _reported: dict[int, bool] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.planner = FleetPlanner(self.limits.upkeep_s, self.epoch)

    def _now(self) -> float:
        return self.clocks.read_monotonic()

    async def run(self) -> None:
        """Hold the duty until it is released.

        :raises OwnershipLostError: when another node has claimed it.
        """
        await self._own(self._load, self._work)

    async def _work(self, group: anyio.abc.TaskGroup) -> None:
        reports = Follower(
            self.store,
            tables.REPORT_TABLE,
            self._list_parts,
            self._take_reports,
            self.rng,
        )
        group.start_soon(reports.run)
        group.start_soon(self._list_forever)
        await self._plan_until_released()

    async def _load(self) -> None:
        claimed_at = self._now()
        wanted = [
            (tables.FLEET_TABLE, tables.FLEET_SHARD),
            (tables.TURNS_TABLE, tables.FLEET_SHARD),
        ]
        page, turns = await read_at_once(self.store, wanted)
        for _, fleet in decode_rows(
            page.rows,
            lambda row: decode_fleet_row(row.value),
            self.skipped,
            "fleet row skipped",
        ):
            self._earlier = fleet or self._earlier
        # an earlier holder's last call about a VM must be over before ours
        pause_s = self._get_pause_s()
        self._take_inputs()
        self.planner.restore(self._earlier, claimed_at, pause_s)
        for row in turns.rows:
            self._restore_turns(row)
        _LOG.info(
            "fleet duty held",
            epoch=self.epoch,
            pause_s=pause_s,
            paused=sorted(self._earlier.ordered),
        )

    def _get_pause_s(self) -> float:
        return self.limits.holder_pause_s + HOLDER_MARGIN_S

    def _get_wall_offset(self) -> float:
        return self.clocks.read_wall() - self._now()

    def _restore_turns(self, row: StoredRow) -> None:
        try:
            self.sizer.restore(orjson.loads(row.value), self._get_wall_offset())
        except MALFORMED_ERRORS as error:
            _LOG.warning("turns skipped", reason=repr(error))

    def _list_parts(self) -> t.Sequence[str]:
        configuration = self.routes.configuration
        return configuration.list_shards() if configuration else ()

    def _take_reports(self, rows: t.Sequence[StoredRow], whole: bool) -> None:
        for _, report in decode_rows(
            rows, lambda row: decode_report(row.value), self.skipped, "report skipped"
        ):
            if report is not None:
                self.planner.reports[report.shard] = report
                self.sizer.observe(report, self._now())
        if rows:
            self.wake()

    async def _list_forever(self) -> None:
        while True:
            sent_at = self._now()
            try:
                vms = await self.cloud.list_vms()
            except PlatformUnavailableError as error:
                _LOG.info("VMs not listed", reason=str(error))
            else:
                self.planner.apply_list(vms, sent_at)
                self.wake()
            await anyio.sleep(LIST_S)

    def _take_inputs(self) -> None:
        configuration = self.routes.configuration
        if configuration is not None:
            self.planner.shards = frozenset(configuration.list_shards())
            spare = [
                item.name for item in configuration.services.values() if item.spare
            ]
            self.planner.spare_pool = spare[0] if spare else ""
        for number, wave in self.waves.items():
            if number not in self.planner.waves:
                self.planner.add_wave(wave, self._now())
                self.planner.restore_done(self._earlier)

    async def _plan_until_released(self) -> None:
        while not self.releasing:
            await self._wait_for_wake(TICK_S)
            self._take_inputs()
            now = self._now()
            self.sizer.advance(now)
            self._choose_sizes(now)
            await self._store(self.planner.plan(now))
            await self._report_waves()
        await self.writer.release()
        _LOG.info("fleet duty released", epoch=self.epoch)

    def _choose_sizes(self, now: float) -> None:
        sizes = self.sizer.choose_sizes(
            self.planner.reports, self.planner.base, self.planner.count_vms(), now
        )
        busy = self.sizer.list_busy()
        if sizes != self.planner.sizes:
            _LOG.info(
                "pool sizes chosen",
                sizes=sizes,
                needs={
                    shard: round(get_need(report), 1)
                    for shard, report in self.planner.reports.items()
                },
                busy=sorted(busy),
            )
        self.planner.sizes = sizes
        self.planner.busy = busy

    async def _store(self, orders: t.Sequence[VmOrder]) -> None:
        if self.writer.is_beat_due(self._now()):
            # orders that are over ride on the renewal, not on writes of their own
            self.planner.forget_orders(self._now() - self._get_pause_s())
        value = encode_fleet_row(self.planner.get_row())
        # each order follows a write under the fence, also one that is sent again:
        # a holder that stood still meanwhile must not send anything
        changed = bool(orders) or value != self._stored
        puts = {tables.get_fleet_row(): value} if changed else {}
        if not puts and not self.writer.is_beat_due(self._now()):
            return
        started = self.clocks.read_boot()
        await self._write(puts)
        self._stored = value
        assert self._group is not None
        for order in orders:
            self._group.start_soon(self._send, order, started)

    async def _write(self, puts: dict[RowId, bytes]) -> None:
        now = self._now()
        if self.writer.is_beat_due(now):
            self.writer.put_beat(puts, now, {})
            turns = orjson.dumps(self.sizer.export(self._get_wall_offset()))
            if turns != self._stored_turns:
                puts[tables.get_turns_row()] = self._stored_turns = turns
        if puts:
            await self.writer.write(puts)

    async def _send(self, order: VmOrder, permitted_at: float) -> None:
        if self.clocks.read_boot() - permitted_at > SEND_WITHIN_S:
            self.planner.apply_reply(order, VmReply.RETRY, self._now())
            return
        owner = self.writer.owner
        reply = await self.cloud.send(order, owner.boot, owner.epoch)
        if reply is VmReply.STALE_HOLDER:
            raise OwnershipLostError("the platform knows a later holder")
        self.planner.apply_reply(order, reply, self._now())
        self.wake()

    async def _report_waves(self) -> None:
        complete = set(self.planner.find_complete())
        for number in self.planner.waves:
            done = number in complete
            if self._reported.get(number) is done:
                continue
            row, value = self.encode_status(number, done)
            outcome = await self.store.write(Batch({}, {row: value}))
            _LOG.info(
                "wave reported",
                wave=number,
                complete=done,
                outcome=type(outcome).__name__,
            )
            if isinstance(outcome, Applied):
                self._reported[number] = done
