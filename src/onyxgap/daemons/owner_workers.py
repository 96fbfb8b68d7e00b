"""An owner's calls to its workers: holds, starts and stops."""

import math
import random
import typing as t

import anyio
import attrs
import structlog

from ..clocks import Clocks
from ..exceptions import OwnershipLostError
from ..jobs.advice import Adviser
from ..jobs.crashes import PROOF_MS
from ..jobs.crashes import SETTLED_MS
from ..jobs.health import StoreHealth
from ..jobs.holds import choose_hold_pause
from ..jobs.holds import choose_hold_wait
from ..jobs.messages import WorkerEntry
from ..jobs.priorities import LearnedForecast
from ..jobs.rates import TenantRates
from ..jobs.run_times import RunTimes
from ..jobs.settings import TimeLimits
from ..jobs.shard import Shard
from ..jobs.share_book import ShareBook
from ..jobs.store import Store
from ..jobs.store import StoredRow
from ..jobs.tenants import TenantBounds
from ..jobs.workers import MS
from ..jobs.workers import HoldOrder
from ..jobs.workers import HoldReport
from ..jobs.workers import ReplyKind
from ..jobs.workers import StartOrder
from ..jobs.workers import StopOrder
from ..jobs.workers import Workers
from ..pools.messages import PoolReport
from .follower import Follower
from .lag import LoopLag
from .lanes import OrderLanes
from .owned import OwnedShard
from .rows import SkippedRows
from .rows import decode_rows
from .share_keeper import ShareKeeper

LEASE_S = 5.0
"""Covers a change of the owner: 2.2 s of silence, the claim and the first hold."""
LEASE_MARGIN_S = 0.3
"""Below the longest lease that a worker grants."""
HOLD_WITHOUT_STORE_S = 8.0
"""Outages of the store last up to about 9 s in all; see ``ORPHAN_WAIT_S``."""
STORED_WAIT_S = 2.0
"""Longest pause of a hold for ends to be stored; leases last 5 s."""
WORKER_PAUSE_S = 0.2
"""Pause between two looks at the registrations: each worker writes every 1.5 s, so that
each look brings several changes; a VM that joins the pool waits this long at most."""
LOOK_MARGIN = 1.1
"""A run is looked at a little later than it must be there; worker clocks may be 2%
slow."""
PROOF_WAIT_S = PROOF_MS / MS * LOOK_MARGIN
"""Time until a run that stands alone is looked at for the first time."""
SETTLED_WAIT_S = (SETTLED_MS - PROOF_MS) / MS * LOOK_MARGIN
"""Time from the first look to the second, which clears its task."""
ROOM_MARGIN_S = 1.0
"""Beyond a heartbeat; a worker that does not refuse is then passed over until it has
written again. A capacity may be smaller for 3 s and a heartbeat before a start must not
exceed it; an order is stored, sent and carried out within 1.5 s."""
RETRY_MIN_S = 0.03
"""First pause after a failed hold."""
RETRY_MAX_S = 0.4
"""A worker that returns is held again within this time."""

_LOG = structlog.get_logger()

DecodeWorker = t.Callable[[str, bytes], WorkerEntry]
"""Reads a registration from its key and value."""


@attrs.define
class OwnerContext:
    """What the owners of a node share.

    :param store: the store.
    :param workers: calls to workers.
    :param clocks: the process's clocks.
    :param health: whether the store answers.
    :param limits: time limits of the deployment.
    :param rng: spreads retries.
    :param lag: how late the process is.
    :param worker_table: table of the workers' registrations.
    :param decode_worker: reads a registration.
    :param is_guarded: tells whether the workers of a service refuse what does not fit.
    :param tenants: bounds of tenants; ``None`` where there are none.
    :param adviser: the policy service, ``None`` where there is none.
    :param contended: whether callers may ask for more than there is room for.
    :param skipped: number of rows that could not be decoded, by table.
    """

    store: Store
    workers: Workers
    clocks: Clocks
    health: StoreHealth
    limits: TimeLimits
    rng: random.Random
    lag: LoopLag
    worker_table: str
    decode_worker: DecodeWorker
    is_guarded: t.Callable[[str], bool]
    tenants: TenantBounds | None = None
    adviser: Adviser | None = None
    contended: bool = False
    skipped: SkippedRows = attrs.field(factory=SkippedRows)


@attrs.define(eq=False)
class OwnerWorkers(OwnedShard):
    """The workers of an owned shard, and the orders to them.

    :param context: what the owners of the node share.
    :param loaded: whether its rows were read.
    :param loaded_at: monotonic seconds when that was so.
    """

    context: OwnerContext
    state: Shard = attrs.field(init=False)
    keeper: ShareKeeper | None = attrs.field(default=None, init=False)
    loaded: bool = False
    loaded_at: float | None = None
    _questions: anyio.Event = attrs.field(factory=anyio.Event)
    _stored: anyio.Event = attrs.field(factory=anyio.Event)
    _held: set[str] = attrs.field(factory=set)
    _lanes: OrderLanes = attrs.field(factory=OrderLanes)
    _reported_at: float = -math.inf
    _reported: PoolReport | None = None

    def __attrs_post_init__(self) -> None:
        self.state = Shard(self.shard, self.epoch, self._now())
        context = self.context
        if context.contended:
            self.state.run_times = RunTimes()
            self.state.forecast = LearnedForecast(self.state.run_times)
        if context.tenants is not None:
            book = ShareBook(self.shard, self.epoch, context.tenants.find_cap)
            self.state.shares = book
            if context.contended:
                self.state.find_weight = context.tenants.find_weight
            else:
                self.state.rates = TenantRates(context.tenants.find_weight)
            self.keeper = ShareKeeper(
                book, context.store, context.rng, self.wake, context.skipped
            )

    def _now(self) -> float:
        return self.context.clocks.read_monotonic()

    def _wall_ms(self) -> float:
        return self.context.clocks.read_wall() * 1000

    def _follow_workers(self, after: int) -> Follower:
        # by owners alone: read by each node they would be most of what is read
        return Follower(
            self.context.store,
            self.context.worker_table,
            lambda: [""],
            self._take_workers,
            self.context.rng,
            pause_s=WORKER_PAUSE_S,
            after=after,
        )

    def _take_workers(self, rows: t.Sequence[StoredRow], whole: bool) -> None:
        present = set()
        decode = self.context.decode_worker
        for row, entry in decode_rows(
            rows,
            lambda row: decode(row.row_id.key, row.value),
            self.context.skipped,
            "worker skipped",
        ):
            if entry is None:
                # a worker whose row is removed or malformed is no longer registered
                self._miss_worker(row.row_id.key)
            elif entry.service == self.shard:
                present.add(entry.worker_id)
                self._observe_worker(entry)
        if whole:
            for worker_id in self.state.workers.keys() - present:
                self._miss_worker(worker_id)

    def _observe_worker(self, entry: WorkerEntry) -> None:
        known = self.state.workers.get(entry.worker_id)
        if known is None or not known.registered or known.entry.state != entry.state:
            _LOG.info(
                "worker registered",
                worker=entry.worker_id,
                service=entry.service,
                address=entry.address,
                state=entry.state.value,
            )
        self.state.observe_worker(entry, self._now())
        self._start_hold(entry.worker_id)
        self.wake()

    def _miss_worker(self, worker_id: str) -> None:
        known = self.state.workers.get(worker_id)
        if known is not None and known.registered:
            _LOG.info("worker unregistered", worker=worker_id, service=self.shard)
            self.state.miss_worker(worker_id)

    def has_silent_workers(self) -> bool:
        """Tell whether any worker gives no answer."""
        return self.loaded and bool(self.state.list_silent())

    def apply_live_workers(self, live: t.Collection[str], sent_at: float) -> None:
        """Take in which workers are alive by the platform's list of VMs."""
        self.state.apply_live_workers(live, sent_at)
        self.wake()

    def _check_room_validity(self) -> None:
        guarded = self.context.is_guarded(self.shard)
        valid_s = self.context.limits.beat_s + ROOM_MARGIN_S
        self.state.set_room_validity(math.inf if guarded else valid_s)

    def _start_hold(self, worker_id: str) -> None:
        record = self.state.workers.get(worker_id)
        if self._group is None or record is None or not record.entry.address:
            return
        if worker_id not in self._held:
            self._held.add(worker_id)
            self._group.start_soon(self._hold_worker, worker_id)

    def _build_hold(self, worker_id: str, wait_s: float | None = None) -> HoldOrder:
        record = self.state.workers[worker_id]
        wait_s = choose_hold_wait(record) if wait_s is None else wait_s
        now = self._now()
        deadline_ms: float | None = None
        silent_s = now - self.context.health.answered_at
        # what was sent to a silent worker may be carried out late: its lease stays
        # as it is, so that it is certainly over some time
        answering = record.failing_since is None
        if record.clock and answering and silent_s < HOLD_WITHOUT_STORE_S:
            lease_s = min(LEASE_S, self.context.limits.max_lease_s - LEASE_MARGIN_S)
            deadline_ms = record.clock.estimate(now) + lease_s * 1000
            record.lease_ms = max(record.lease_ms, deadline_ms)
        entry = record.entry
        return HoldOrder(
            worker_id,
            entry.address,
            self.epoch,
            record.acknowledged,
            deadline_ms,
            int(wait_s * 1000),
        )

    async def _hold_worker(self, worker_id: str) -> None:
        delay = RETRY_MIN_S
        while worker_id in self.state.workers:
            if await self._ask_for_report(self._build_hold(worker_id)):
                delay = RETRY_MIN_S
                pause_s = choose_hold_pause(self.context.lag.seconds)
                if pause_s:
                    await anyio.sleep(pause_s)
                continue
            await anyio.sleep(delay * self.context.rng.uniform(0.5, 1.0))
            delay = min(delay * 2, RETRY_MAX_S)
        self._held.discard(worker_id)
        self._lanes.forget(worker_id)
        await self.context.workers.forget(worker_id)

    async def _look_again(self, order: StartOrder) -> None:
        """Ask a worker whether it stands what was started beside nothing else.

        The hold that waits there would tell up to a second later. Until then nothing of
        other jobs is started there, and a crash for another cause falls on the task.
        """
        for wait_s in (PROOF_WAIT_S, SETTLED_WAIT_S):
            await anyio.sleep(wait_s)
            if order.worker_id not in self.state.workers:
                return
            await self._ask_for_report(self._build_hold(order.worker_id, 0.0))
            self.wake()

    async def _ask_for_report(self, order: HoldOrder) -> bool:
        """Send a hold and take its outcome in; returns whether a report came."""
        sent_at = self._now()
        report = await self.context.workers.hold(order)
        if isinstance(report, HoldReport):
            await self._take_report(order.worker_id, report, sent_at)
            return True
        if report.kind is ReplyKind.STALE_OWNER:
            raise OwnershipLostError(f"worker {order.worker_id} knows a later owner")
        self.state.apply_failure(order.worker_id, report, self._now())
        self.wake()
        return False

    async def _take_report(
        self, worker_id: str, report: HoldReport, sent_at: float
    ) -> None:
        record = self.state.workers.get(worker_id)
        if record is None:
            return
        was_held = record.held and record.failing_since is None
        self.state.apply_report(worker_id, report, sent_at, self._now())
        if report.ended or not was_held:
            self.wake()
        # a hold sent before its ends are stored would be answered at once
        with anyio.move_on_after(STORED_WAIT_S):
            while record.acknowledged < record.seen and not record.gone:
                await self._stored.wait()

    def _spawn(
        self, run: t.Callable[..., t.Coroutine[t.Any, t.Any, None]], *args: t.Any
    ) -> None:
        assert self._group is not None
        self._group.start_soon(run, *args)

    async def _advise_forever(self, adviser: Adviser) -> None:
        """Ask the policy service for the steps that need tickets, one by one."""
        while True:
            question = self.state.book.take_question()
            if question is None:
                self._questions = anyio.Event()
                await self._questions.wait()
                continue
            group, workers = question
            asked_at = self._now()
            step = f"{group[0]}.{group[1]}.{group[2]}"
            advice = await adviser.advise(step, workers) if workers else None
            self.state.book.note(group, advice, asked_at)
            _LOG.info(
                "advice taken in",
                job=group[0],
                step=step,
                asked=len(workers),
                allowed=len(advice.tickets) if advice else None,
                took_s=round(self._now() - asked_at, 3),
            )
            self.wake()

    async def _send_start(self, order: StartOrder) -> None:
        async with self._lanes.enter(order.worker_id):
            ready = self.state.prepare_start(order, self._now())
            if ready is None:
                self.wake()
                return
            reply = await self.context.workers.start(ready)
        if reply.kind is ReplyKind.STALE_OWNER:
            raise OwnershipLostError(f"worker {order.worker_id} knows a later owner")
        self.state.apply_start_reply(ready, reply, self._now())
        if reply.kind is not ReplyKind.DONE:
            self.wake()
        elif self.state.is_isolated(order):
            self._spawn(self._look_again, order)

    def _send_stops(self, orders: t.Iterable[StopOrder]) -> None:
        for order in orders:
            self._spawn(self._send_stop, order)

    async def _send_stop(self, order: StopOrder) -> None:
        reply = await self.context.workers.stop(order)
        self.state.apply_stop_reply(order, reply, self._now())
        _LOG.info(
            "stop ordered",
            task=str(order.task),
            run=order.run,
            worker=order.worker_id,
            reply=reply.kind.value,
        )
