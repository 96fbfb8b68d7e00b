"""Fleet controller: plans VM maintenance and moves, on one node at a time."""

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
from ..exceptions import WriteRefusedError
from ..jobs import tables
from ..jobs.health import StoreHealth
from ..jobs.routing import RouteTable
from ..jobs.settings import TimeLimits
from ..jobs.store import ABSENT
from ..jobs.store import Applied
from ..jobs.store import Batch
from ..jobs.store import Conflict
from ..jobs.store import RowId
from ..jobs.store import Store
from ..jobs.store import StoredRow
from ..pools.cordons import CordonReporter
from ..pools.messages import CloudClient
from ..pools.messages import FleetRow
from ..pools.messages import VmOrder
from ..pools.messages import VmReply
from ..pools.messages import Wave
from ..pools.messages import decode_fleet_row
from ..pools.messages import decode_report
from ..pools.messages import encode_fleet_row
from ..pools.planner import FleetPlanner
from ..pools.sizing import Sizer
from ..pools.sizing import get_vm_demand
from .follower import Follower
from .owned import OwnedShard
from .reading import read_partitions
from .rows import SkippedRows
from .rows import decode_rows
from .work_times import WorkKind
from .work_times import WorkTimes

MAX_PASS_INTERVAL_S = 0.2
"""Longest wait for the next planning pass; pool reports start one earlier."""
VM_LIST_INTERVAL_S = 0.5
"""Pause between two reads of the VM list; a move or maintenance takes 1.5 s or more."""
HOLDER_PAUSE_MARGIN_S = 0.7
"""Added to the pause between orders of two controllers about one VM, since calls of the
first may still be in flight."""
MAX_SEND_DELAY_S = 0.8
"""Longest time between the start of the write that permits an order and its sending.
After it, the order is not sent: a process that was suspended may have a successor."""

_LOG = structlog.get_logger()


@attrs.define(eq=False)
class FleetController(OwnedShard):
    """Fleet controller on this node, from the claim of the role to its loss or release.

    :param cloud: client for calls about VMs.
    :param store: the store.
    :param clocks: clocks of the process.
    :param limits: time limits of the deployment.
    :param routes: route table with the configuration in force.
    :param waves: maintenance waves that the operator requested, by number.
    :param encode_wave_status: encodes the status row of a maintenance wave, given its
        number and whether it is complete.
    :param rng: adds jitter to retries.
    :param sizer: chooses the sizes of the pools.
    :param skipped: number of rows that could not be decoded, by table.
    :param health: health of the store, with the estimate of its clock.
    :param work: processor time of the process by kind of work.
    """

    cloud: CloudClient
    store: Store
    clocks: Clocks
    limits: TimeLimits
    routes: RouteTable
    waves: t.Mapping[int, Wave]
    encode_wave_status: t.Callable[[int, bool], tuple[RowId, bytes]]
    rng: random.Random
    sizer: Sizer
    skipped: SkippedRows = attrs.field(factory=SkippedRows)
    health: StoreHealth = attrs.field(factory=StoreHealth)
    work: WorkTimes = attrs.field(factory=WorkTimes)
    planner: FleetPlanner = attrs.field(init=False)
    _previous_row: FleetRow = attrs.field(factory=FleetRow)
    _stored_row: FleetRow | None = None
    _stored_forecast: bytes = b""
    _cordon_reporter: CordonReporter = attrs.field(factory=CordonReporter)
    _written_statuses: dict[int, bool] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.planner = FleetPlanner(self.limits.upkeep_s, self.epoch)

    def _now(self) -> float:
        return self.clocks.read_monotonic()

    def _get_store_ms(self) -> int | None:
        return self.health.store_clock.get_earliest_ms(self.clocks.read_boot())

    async def run(self) -> None:
        """Run the fleet controller until the role is released.

        :raises OwnershipLostError: when another node has claimed the role.
        """
        await self._run_until_released(self._load, self._run_loops)

    async def _run_loops(self, group: anyio.abc.TaskGroup) -> None:
        reports = Follower(
            self.store,
            tables.REPORT_TABLE,
            self._list_report_partitions,
            self._apply_reports,
            self.rng,
        )
        group.start_soon(reports.run)
        group.start_soon(self._poll_vm_list)
        await self._plan_until_released()

    async def _load(self) -> None:
        claimed_at, claimed_at_ms = self._now(), self._get_store_ms()
        partitions = [
            (tables.FLEET_TABLE, tables.FLEET_SHARD),
            (tables.TURNS_TABLE, tables.FLEET_SHARD),
        ]
        fleet_page, forecast_page = await read_partitions(self.store, partitions)
        for _, fleet in decode_rows(
            fleet_page.rows,
            lambda row: decode_fleet_row(row.value),
            self.skipped,
            "fleet row skipped",
        ):
            self._previous_row = fleet or self._previous_row
        # the last call of a previous controller about a VM must have ended before
        # this one sends an order about the VM
        pause_s = self._get_order_pause_s()
        self._update_inputs()
        self.planner.restore(self._previous_row, claimed_at, pause_s, claimed_at_ms)
        for row in forecast_page.rows:
            self._restore_forecast(row)
        _LOG.info(
            "fleet controller role acquired",
            epoch=self.epoch,
            pause_s=pause_s,
            paused=sorted(self._previous_row.ordered),
        )

    def _get_order_pause_s(self) -> float:
        return self.limits.holder_pause_s + HOLDER_PAUSE_MARGIN_S

    def _get_wall_offset(self) -> float:
        return self.clocks.read_wall() - self._now()

    def _restore_forecast(self, row: StoredRow) -> None:
        try:
            self.sizer.restore(orjson.loads(row.value), self._get_wall_offset())
        except MALFORMED_ERRORS as error:
            _LOG.warning("burst forecast not restored", reason=repr(error))

    def _list_report_partitions(self) -> t.Sequence[str]:
        return self.routes.list_shards()

    def _apply_reports(self, rows: t.Sequence[StoredRow], snapshot: bool) -> None:
        for _, report in decode_rows(
            rows, lambda row: decode_report(row.value), self.skipped, "report skipped"
        ):
            if report is not None:
                self.planner.reports[report.shard] = report
                self.sizer.observe(report, self._now())
        if rows:
            self.wake()

    async def _poll_vm_list(self) -> None:
        while True:
            sent_at, sent_at_ms = self._now(), self._get_store_ms()
            try:
                vms = await self.cloud.list_vms()
            except PlatformUnavailableError as error:
                _LOG.info("VMs not listed", reason=str(error))
            else:
                self.planner.apply_vm_list(vms, sent_at, sent_at_ms)
                self.wake()
            await anyio.sleep(VM_LIST_INTERVAL_S)

    def _update_inputs(self) -> None:
        configuration = self.routes.configuration
        if configuration is not None:
            self.planner.shards = frozenset(self.routes.list_shards())
            spare = [
                item.name for item in configuration.services.values() if item.spare
            ]
            self.planner.spare_pool = spare[0] if spare else ""
        for number, wave in self.waves.items():
            if number not in self.planner.waves:
                self.planner.add_wave(wave, self._now())
                self.planner.restore_maintained_vms(self._previous_row)

    async def _plan_until_released(self) -> None:
        while not self.releasing:
            await self._wait_for_wake(MAX_PASS_INTERVAL_S)
            with self.work.measure(WorkKind.FLEET):
                orders = self._plan()
            await self._store_and_send(orders)
            await self._write_wave_statuses()
            self._report_cordons()
        await self.writer.release()
        _LOG.info("fleet controller role released", epoch=self.epoch)

    def _plan(self) -> list[VmOrder]:
        self._update_inputs()
        now = self._now()
        self.sizer.advance(now)
        self._choose_sizes(now)
        return self.planner.plan(now, self._get_store_ms())

    def _report_cordons(self) -> None:
        now = self._now()
        self._cordon_reporter.report(
            lambda: self.planner.list_cordons_in_force(now),
            self.planner.get_vm_list_age_s(now),
            now,
        )

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
                    shard: round(get_vm_demand(report), 1)
                    for shard, report in self.planner.reports.items()
                },
                busy=sorted(busy),
            )
        self.planner.sizes = sizes
        self.planner.busy = busy

    async def _store_and_send(self, orders: t.Sequence[VmOrder]) -> None:
        if self.writer.is_renewal_due(self._now()):
            # ended orders are removed with the renewal, which saves a write
            self.planner.forget_orders(self._now() - self._get_order_pause_s())
        row = self.planner.get_row(self._get_store_ms())
        # every order, also a repeated one, is sent after a fenced write: a controller
        # that was suspended and has a successor must not send orders
        changed = bool(orders) or self._has_changed(row.omit_times())
        puts = {tables.get_fleet_row(): encode_fleet_row(row)} if changed else {}
        if not puts and not self.writer.is_renewal_due(self._now()):
            return
        started = self.clocks.read_boot()
        if changed:
            self._stored_row = row.omit_times()
        try:
            await self._write_rows(puts)
        except WriteRefusedError as error:
            # the same row would be refused again, and hold up the renewal
            _LOG.error("fleet row refused by the store", reason=str(error))
            for order in orders:
                self.planner.withdraw_order(order, self._now())
            return
        assert self._group is not None
        for order in orders:
            self._group.start_soon(self._send_order, order, started)

    def _has_changed(self, row: FleetRow) -> bool:
        """Tell whether the row has to be stored, with answers only at each renewal."""
        stored = self._stored_row
        if stored is None or self.writer.is_renewal_due(self._now()):
            return row != stored
        return row.omit_answers() != stored.omit_answers()

    async def _write_rows(self, puts: dict[RowId, bytes]) -> None:
        now = self._now()
        if self.writer.is_renewal_due(now):
            self.writer.add_renewal(puts, now)
            forecast = orjson.dumps(self.sizer.export(self._get_wall_offset()))
            if forecast != self._stored_forecast:
                puts[tables.get_turns_row()] = self._stored_forecast = forecast
        if puts:
            await self.writer.write(puts)

    async def _send_order(self, order: VmOrder, permitted_at: float) -> None:
        if self.clocks.read_boot() - permitted_at > MAX_SEND_DELAY_S:
            self.planner.withdraw_order(order, self._now())
            return
        owner = self.writer.owner
        reply = await self.cloud.send(order, owner.boot, owner.epoch)
        if reply is VmReply.STALE_HOLDER:
            raise OwnershipLostError("the platform has seen a newer fleet controller")
        self.planner.apply_reply(order, reply, self._now())
        self.wake()

    async def _write_wave_statuses(self) -> None:
        complete = set(self.planner.list_complete_waves())
        for number in self.planner.waves:
            done = number in complete
            if self._written_statuses.get(number) is done:
                continue
            row, value = self.encode_wave_status(number, done)
            # the row is in another partition than the fence row: a controller that was
            # suspended must not replace its successor's status by that of a new wave
            new = not done and number not in self._written_statuses
            expected = {row: ABSENT} if new else {}
            outcome = await self.store.write(Batch(expected, {row: value}))
            _LOG.info(
                "maintenance wave status sent to the store",
                wave=number,
                complete=done,
                outcome=type(outcome).__name__,
            )
            if isinstance(outcome, Applied | Conflict):
                self._written_statuses[number] = done
