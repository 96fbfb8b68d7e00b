"""Calls of a shard's owner to its workers: hold requests, start and stop orders."""

import math
import random
import typing as t

import anyio
import attrs
import structlog

from ..clocks import Clocks
from ..exceptions import OwnershipLostError
from ..jobs.advice import PolicyClient
from ..jobs.call_timeouts import CallTimeouts
from ..jobs.crashes import CRASH_WINDOW_MS
from ..jobs.crashes import START_CRASH_WINDOW_MS
from ..jobs.health import StoreHealth
from ..jobs.holds import choose_hold_pause
from ..jobs.holds import choose_hold_wait
from ..jobs.leases import FormerGrants
from ..jobs.lives import IncarnationMatch
from ..jobs.lives import compare_incarnations
from ..jobs.messages import QueueRef
from ..jobs.messages import WorkerEntry
from ..jobs.priorities import LearnedForecast
from ..jobs.rates import TenantRates
from ..jobs.run_times import RunTimes
from ..jobs.settings import TimeLimits
from ..jobs.shard import Shard
from ..jobs.shard_leases import LEASE_S
from ..jobs.share_book import ShardShares
from ..jobs.store import Store
from ..jobs.store import StoredRow
from ..jobs.store import StoreLimits
from ..jobs.tenants import TenantLimits
from ..jobs.workers import MS_PER_S
from ..jobs.workers import HoldOrder
from ..jobs.workers import HoldReport
from ..jobs.workers import Reply
from ..jobs.workers import ReplyKind
from ..jobs.workers import StartOrder
from ..jobs.workers import StopOrder
from ..jobs.workers import WorkerClient
from ..pools.messages import PoolReport
from .follower import Follower
from .lag import LoopLag
from .lanes import StartLimiter
from .owned import OwnedShard
from .restart_fencing import FENCING_PAUSE_S
from .restart_fencing import RestartFencing
from .rows import SkippedRows
from .rows import decode_rows
from .share_keeper import ShareSynchronizer
from .start_times import StartStep
from .start_times import StartTimes
from .submission_decoder import SubmissionDecoder
from .ticket_requests import TicketRequester
from .work_meter import NoWorkMeter
from .work_meter import WorkMeter
from .work_times import WorkKind
from .work_times import WorkTimes

LEASE_MARGIN_S = 0.3
"""Leases are shorter by this than the longest lease that a worker grants."""
MAX_ACK_WAIT_S = 2.0
"""Longest time that the next hold request waits until the results of ended runs are
stored; leases last 5 s."""
WORKER_POLL_INTERVAL_S = 0.2
"""Time between two reads of the registrations' change feed. Each worker writes its
registration every 1.5 s, so that one read brings several changes. A VM that joins the
pool waits this long at most."""
CHECK_MARGIN = 1.1
"""Factor by which a run is checked later than :data:`START_CRASH_WINDOW_MS` and
:data:`CRASH_WINDOW_MS` require, since worker clocks may be 2% slow."""
START_CRASH_CHECK_S = START_CRASH_WINDOW_MS / MS_PER_S * CHECK_MARGIN
"""Time until an isolated run is checked for the first time, after
:data:`START_CRASH_WINDOW_MS`."""
CRASH_CHECK_S = (CRASH_WINDOW_MS - START_CRASH_WINDOW_MS) / MS_PER_S * CHECK_MARGIN
"""Time from the first check to the second, after :data:`CRASH_WINDOW_MS`, which clears
the task of earlier crashes."""
CAPACITY_MARGIN_S = 1.0
"""Added to the heartbeat interval to get the time for which the capacity in a
registration may be relied on. After it, a worker that does not reject tasks that do not
fit gets no tasks until it writes its registration again. When a capacity shrinks,
starts may exceed it for 3 s and a heartbeat interval; an order is stored, sent and
carried out within 2 s, of which it is valid for 1 s at most."""
RETRY_MIN_S = 0.03
"""First delay after a failed hold request."""
RETRY_MAX_S = 0.4
"""Longest delay after a failed hold request, so that a worker that can be reached again
is called within this time."""

_LOG = structlog.get_logger()

DecodeWorker = t.Callable[[str, bytes], WorkerEntry]
"""Decodes a registration from its key and value."""


@attrs.define
class OwnerContext:
    """What all owners of shards on a node have in common.

    :param store: the store.
    :param workers: client for calls to workers.
    :param clocks: the process's clocks.
    :param health: health of the store.
    :param limits: time limits of the deployment.
    :param rng: source of the jitter of retries.
    :param lag: event loop lag of the process.
    :param worker_table: table of the workers' registrations.
    :param decode_worker: decodes a registration.
    :param is_guarded: whether the workers of a service reject tasks that do not fit.
    :param tenants: caps and weights of the tenants; ``None`` if there are none.
    :param policy_client: client of the policy service; ``None`` if there is none.
    :param contended: whether submitted jobs may exceed the capacity of the workers.
    :param skipped: number of rows that could not be decoded, by table.
    :param submission_decoder: decodes stored submissions.
    :param store_limits: limits of the store on a write.
    :param work_meter: counts the work of scheduling passes and reports.
    :param names_service: tells whether the configuration names a service.
    :param get_queue_name: returns the present name of a queue of jobs.
    :param start_times: times from the start of the process to its first decisions.
    """

    store: Store
    workers: WorkerClient
    clocks: Clocks
    health: StoreHealth
    limits: TimeLimits
    rng: random.Random
    lag: LoopLag
    worker_table: str
    decode_worker: DecodeWorker
    is_guarded: t.Callable[[str], bool]
    tenants: TenantLimits | None = None
    policy_client: PolicyClient | None = None
    contended: bool = False
    skipped: SkippedRows = attrs.field(factory=SkippedRows)
    submission_decoder: SubmissionDecoder = attrs.field(factory=SubmissionDecoder)
    store_limits: StoreLimits = StoreLimits()
    work_meter: WorkMeter = attrs.field(factory=NoWorkMeter)
    names_service: t.Callable[[str], bool] = lambda service: True
    get_queue_name: t.Callable[[QueueRef], str] = lambda queue: queue.name
    start_times: StartTimes = attrs.field()

    @start_times.default
    def _build_start_times(self) -> StartTimes:
        return StartTimes(self.clocks)


@attrs.define(eq=False)
class OwnerWorkers(OwnedShard):
    """The part of a shard's owner that keeps its leases and sends orders to workers.

    :param context: what all owners of the node have in common.
    :param former_grants: until when former owners may have granted leases, ``None`` if
        nothing but the claim is known.
    :param state: state of the shard.
    :param share_synchronizer: reads and writes shares; ``None`` without tenants.
    :param loaded: whether the rows of the shard were read.
    :param loaded_at: monotonic seconds when they had been read.
    :param claim_s: seconds that the claim took.
    """

    context: OwnerContext
    former_grants: FormerGrants | None = None
    state: Shard = attrs.field(init=False)
    share_synchronizer: ShareSynchronizer | None = attrs.field(default=None, init=False)
    loaded: bool = False
    loaded_at: float | None = None
    claim_s: float = attrs.field(default=0.0, init=False)
    _first_start_logged: bool = False
    _ticket_requester: TicketRequester = attrs.field(init=False)
    _progress_stored: anyio.Event = attrs.field(factory=anyio.Event)
    _hold_loops: set[str] = attrs.field(factory=set)
    _start_limiter: StartLimiter = attrs.field(factory=StartLimiter)
    _reported_at: float = -math.inf
    _reported: PoolReport | None = None
    _claimed_at: float = attrs.field(default=0.0, init=False)
    _fencing: RestartFencing = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        context = self.context
        self._claimed_at = self._now()
        self.state = Shard(
            self.shard,
            self.epoch,
            self._claimed_at,
            max_lease_s=context.limits.max_lease_s,
            former_grants=self.former_grants,
            call_timeouts=CallTimeouts(lambda: context.lag.seconds),
            get_queue_name=context.get_queue_name,
        )
        self._ticket_requester = TicketRequester(self.state, self._now, self.wake)
        self._fencing = RestartFencing(
            self.state, context.workers, self._now, self._resume_worker
        )
        if context.contended:
            self.state.run_times = RunTimes()
            self.state.forecast = LearnedForecast(self.state.run_times)
        if context.tenants is not None:
            shard_shares = ShardShares(self.shard, self.epoch, context.tenants.find_cap)
            self.state.shares = shard_shares
            if context.contended:
                self.state.find_weight = context.tenants.find_weight
            else:
                self.state.rates = TenantRates(context.tenants.find_weight)
            self.share_synchronizer = ShareSynchronizer(
                shard_shares,
                context.store,
                context.rng,
                self.wake,
                context.skipped,
            )

    def set_former_grants_end(self, end_ms: int | None) -> None:
        """Set until when the next owner has to reckon with grants of former ones.

        :param end_ms: milliseconds of the store's clock, ``None`` if not known.
        """
        owner = self.writer.owner
        self.writer.owner = attrs.evolve(owner, former_grants_end_ms=end_ms)
        self.wake()

    def _now(self) -> float:
        return self.context.clocks.read_monotonic()

    @property
    def work(self) -> WorkTimes:
        """Processor time of the process by kind of work."""
        return self.context.lag.work

    def _wall_ms(self) -> float:
        return self.context.clocks.read_wall() * 1000

    def _follow_workers(self, after: int) -> Follower:
        # only owners read registrations: if every node did, they would be most of all
        # data read from the store
        return Follower(
            self.context.store,
            self.context.worker_table,
            lambda: [""],
            self._apply_worker_rows,
            self.context.rng,
            pause_s=WORKER_POLL_INTERVAL_S,
            after=after,
        )

    def _apply_worker_rows(self, rows: t.Sequence[StoredRow], snapshot: bool) -> None:
        with self.work.measure(WorkKind.ROWS):
            self._apply_registrations(rows, snapshot)

    def _apply_registrations(self, rows: t.Sequence[StoredRow], snapshot: bool) -> None:
        present = set()
        decode = self.context.decode_worker
        for row, entry in decode_rows(
            rows,
            lambda row: decode(row.row_id.key, row.value),
            self.context.skipped,
            "worker skipped",
        ):
            if entry is None:
                # a worker whose row was removed or is malformed is not registered
                self._mark_unregistered(row.row_id.key)
            elif entry.service == self.shard:
                present.add(entry.worker_id)
                self._observe_worker(entry)
            else:
                self._leave_service(entry)
        if snapshot:
            for worker_id in self.state.workers.keys() - present:
                self._mark_unregistered(worker_id)

    def _leave_service(self, entry: WorkerEntry) -> None:
        """Apply a registration for another service.

        Only a new incarnation proves that the runs for this service have ended: the
        entry may come from another writer while the worker goes on. An entry for a
        service that the configuration does not name is one, whatever it says.
        """
        known = self.state.workers.get(entry.worker_id)
        if known is None:
            self.state.end_fencing(entry.worker_id)
            return
        match = compare_incarnations(known.born, entry.born)
        is_named = self.context.names_service(entry.service)
        _LOG.info(
            "registration of another service",
            worker=entry.worker_id,
            service=self.shard,
            registered_for=entry.service,
            named=is_named,
            incarnation=match.value,
        )
        if is_named and match is IncarnationMatch.LATER:
            reason = "registered for another service"
            self.state.remove_worker(
                entry.worker_id, reason, self._now(), False, returns=False
            )
        else:
            self._mark_unregistered(entry.worker_id)

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
        self.state.observe_worker(entry, self._now(), self._wall_ms())
        self._start_hold_loop(entry.worker_id)
        self.wake()

    def _mark_unregistered(self, worker_id: str) -> None:
        known = self.state.workers.get(worker_id)
        if known is not None and known.registered:
            _LOG.info("worker unregistered", worker=worker_id, service=self.shard)
            self.state.mark_unregistered(worker_id)

    def has_silent_workers(self) -> bool:
        """Tell whether any worker is silent or has not answered the last call."""
        return self.loaded and bool(self.state.list_unanswered())

    def apply_live_workers(self, live: t.Collection[str], sent_at: float) -> None:
        """Remove silent workers that the platform's list of VMs does not show as up.

        :param live: ids of the workers of VMs that are up.
        :param sent_at: monotonic seconds when the list of VMs was requested.
        """
        self.state.apply_live_workers(live, sent_at)
        self.wake()

    def _update_capacity_validity(self) -> None:
        guarded = self.context.is_guarded(self.shard)
        valid_s = self.context.limits.beat_s + CAPACITY_MARGIN_S
        self.state.set_capacity_validity(math.inf if guarded else valid_s)

    def _start_hold_loop(self, worker_id: str) -> None:
        record = self.state.workers.get(worker_id)
        if self._group is None or record is None or not record.entry.address:
            return
        if worker_id not in self._hold_loops:
            self._hold_loops.add(worker_id)
            self._group.start_soon(self._run_hold_loop, worker_id)

    def _build_hold(self, worker_id: str, wait_s: float | None = None) -> HoldOrder:
        record = self.state.workers[worker_id]
        wait_s = choose_hold_wait(record) if wait_s is None else wait_s
        now = self._now()
        deadline_ms: float | None = None
        if self.writer.grants.is_open():
            lease_s = min(LEASE_S, self.context.limits.max_lease_s - LEASE_MARGIN_S)
            deadline_ms = self.state.grant_lease(record, lease_s, now)
        entry = record.entry
        return HoldOrder(
            worker_id,
            entry.address,
            self.state.get_token(record),
            record.acknowledged,
            deadline_ms,
            int(wait_s * 1000),
            self.state.call_timeouts.get_hold_margin(worker_id),
            record.born,
        )

    async def _run_hold_loop(self, worker_id: str) -> None:
        try:
            await self._renew_lease_forever(worker_id)
        finally:
            self._hold_loops.discard(worker_id)
            self._start_limiter.forget(worker_id)
            self.state.call_timeouts.forget(worker_id)
            # also at the end of the ownership: workers accept few connections
            with anyio.CancelScope(shield=True):
                await self.context.workers.forget(worker_id)

    async def _renew_lease_forever(self, worker_id: str) -> None:
        """Send hold requests until the worker is removed."""
        delay = RETRY_MIN_S
        while worker_id in self.state.workers:
            if await self._request_report(self._build_hold(worker_id)):
                delay = RETRY_MIN_S
                pause_s = choose_hold_pause(self.context.lag.seconds)
                if pause_s:
                    await anyio.sleep(pause_s)
                continue
            await anyio.sleep(delay * self.context.rng.uniform(0.5, 1.0))
            delay = min(delay * 2, self._get_longest_retry_delay(worker_id))

    def _get_longest_retry_delay(self, worker_id: str) -> float:
        """Return the longest delay in seconds, short if late orders may arrive."""
        if self.state.has_unanswered_starts(worker_id, self._now()):
            return FENCING_PAUSE_S
        return RETRY_MAX_S

    def _fence_restarts(self) -> None:
        for worker_id in self._fencing.list_due():
            self._spawn(self._fencing.fence, worker_id)

    def _resume_worker(self, worker_id: str) -> None:
        self._start_hold_loop(worker_id)
        self.wake()

    async def _check_isolated_run(self, order: StartOrder) -> None:
        """Check whether a worker survives an isolated run.

        Checks after :data:`START_CRASH_WINDOW_MS` and after :data:`CRASH_WINDOW_MS`.
        The hold request that waits at the worker would tell up to a second later. Until
        the checks have passed, no task of another job is started there, and the task is
        blamed for a crash with another cause.
        """
        for wait_s in (START_CRASH_CHECK_S, CRASH_CHECK_S):
            await anyio.sleep(wait_s)
            if order.worker_id not in self.state.workers:
                return
            await self._request_report(self._build_hold(order.worker_id, 0.0))
            self.wake()

    async def _request_report(self, order: HoldOrder) -> bool:
        """Send a hold request and apply its outcome.

        :returns: whether the worker may be asked again at once.
        :raises OwnershipLostError: when the worker rejects the epoch as stale.
        """
        sent_at = self._now()
        report = await self.context.workers.hold(order)
        self._note_response_time(order, report, sent_at)
        if isinstance(report, HoldReport):
            return await self._apply_report(order, report, sent_at)
        self._check_fence(order, report)
        now = self._now()
        undecided = self.state.apply_failure(order.worker_id, report, now, sent_at)
        self.wake()
        return undecided

    def _check_fence(self, order: HoldOrder | StartOrder, reply: Reply) -> None:
        """Check that no newer owner has called a worker.

        A call for its former incarnation is rejected, too, once this owner has called
        the next one.

        :raises OwnershipLostError: when the worker rejects the newest token as stale.
        """
        if reply.kind is not ReplyKind.STALE_OWNER:
            return
        record = self.state.workers.get(order.worker_id)
        if record is not None and order.epoch >= self.state.get_token(record):
            raise OwnershipLostError(
                f"worker {order.worker_id} was called by a newer owner"
            )

    def _note_response_time(
        self, order: HoldOrder, report: HoldReport | Reply, sent_at: float
    ) -> None:
        """Record how late an answer to a hold request is.

        An answer within the requested wait reports the end of a run. It does not tell
        how late it is.
        """
        now = self._now()
        late_s = now - sent_at - order.wait_ms / MS_PER_S
        if isinstance(report, HoldReport) and late_s >= 0.0:
            self.state.call_timeouts.note_answer(order.worker_id, late_s, now)

    async def _apply_report(
        self, order: HoldOrder, report: HoldReport, sent_at: float
    ) -> bool:
        worker_id = order.worker_id
        record = self.state.workers.get(worker_id)
        if record is None:
            return False
        was_held = record.held and record.failing_since is None
        with self.work.measure(WorkKind.WORKER_REPORTS):
            accepted = self.state.apply_report(
                worker_id, report, sent_at, self._now(), order.epoch
            )
        if report.ended or not was_held:
            self.wake()
        # before the results of these runs are acknowledged, the worker would answer the
        # next hold request at once
        with anyio.move_on_after(MAX_ACK_WAIT_S):
            while record.acknowledged < record.processed_sequence and not record.gone:
                await self._progress_stored.wait()
        return accepted

    def _spawn(
        self, run: t.Callable[..., t.Coroutine[t.Any, t.Any, None]], *args: t.Any
    ) -> None:
        assert self._group is not None
        self._group.start_soon(run, *args)

    async def _send_start(self, order: StartOrder) -> None:
        async with self._start_limiter.acquire(order.worker_id):
            ready = self.state.prepare_start(order, self._now())
            if ready is None:
                self.wake()
                return
            if self.writer.grants.is_open():
                reply = await self.context.workers.start(ready)
            else:
                # a start grants a lease, too
                reply = Reply(ReplyKind.WITHHELD, detail="ownership not confirmed")
        self._check_fence(ready, reply)
        self.state.apply_start_reply(ready, reply, self._now())
        self._log_first_start(reply)
        if reply.kind is not ReplyKind.DONE:
            self.wake()
        elif self.state.is_isolated(order):
            self._spawn(self._check_isolated_run, order)

    def _log_first_start(self, reply: Reply) -> None:
        if self._first_start_logged or reply.kind is not ReplyKind.DONE:
            return
        self._first_start_logged = True
        self.context.start_times.note(StartStep.TASK)
        now = self._now()
        _LOG.info(
            "first task started",
            shard=self.shard,
            epoch=self.epoch,
            since_claim_s=round(now - self._claimed_at, 3),
            since_load_s=round(now - (self.loaded_at or now), 3),
        )

    def _send_stops(self, orders: t.Iterable[StopOrder]) -> None:
        for order in orders:
            self._spawn(self._send_stop, order)

    async def _send_stop(self, order: StopOrder) -> None:
        reply = await self.context.workers.stop(order)
        if order.worker_id not in self._hold_loops:
            await self.context.workers.forget(order.worker_id)
        self.state.apply_stop_reply(order, reply, self._now())
        _LOG.info(
            "stop ordered",
            task=str(order.task),
            run=order.run,
            worker=order.worker_id,
            reply=reply.kind.value,
        )
