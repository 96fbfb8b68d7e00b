"""Control process: reconciles the pools that it owns with their declared state."""

import collections
import random
import time
import typing as t

import anyio
import anyio.abc
import attrs
import structlog

from .. import defaults
from ..adapters.asgi import Receive
from ..adapters.asgi import Scope
from ..adapters.asgi import Send
from ..adapters.asgi import send_answer
from ..adapters.asgi import send_json
from ..adapters.http_server import HttpServer
from ..adapters.peer_link import PeerTransport
from ..adapters.platform_client import PlatformClient
from ..clocks import Clocks
from ..clocks import SystemClocks
from ..exceptions import PlatformUnavailableError
from ..fleet.messages import Order
from ..fleet.messages import PassInput
from ..fleet.messages import PoolPlan
from ..fleet.messages import PowerOrder
from ..fleet.messages import Report
from ..fleet.messages import StopOrder
from ..fleet.observation import Observer
from ..fleet.pipe import PoolSelector
from ..fleet.pipe import list_owned
from ..fleet.pipe import plan_pass
from ..metrics import Metrics
from ..ports import ListedTask
from ..ports import Platform
from ..ports import StartTask
from ..settings import Settings
from ..shared.events import Event
from ..shared.journal import SNAPSHOT_KEY
from ..shared.membership import CONTROL_ROLE
from ..shared.membership import ENTRY_ROLE
from ..shared.membership import MemberRow
from ..shared.membership import pick_owner
from ..shared.node import Node
from ..shared.node import PeerSender
from .entry import build_member_row
from .entry import describe_node
from .retention import OWNER_KEY as RETENTION_KEY
from .retention import Sweeper

MAX_EVENTS_PER_ENTRY = 2_000
MAX_CONCURRENT_ORDERS = 16
MAX_STORE_AGE_S = 5.0
_LOG = structlog.get_logger()


@attrs.define
class ControlProcess:
    """A control process without its sockets.

    :param row: member row of the process.
    :param platform: client for the platform's services.
    :param peers: sends frames to other members.
    :param clocks: the clocks.
    :param rng: seeded random generator.
    :param poll_interval_s: seconds between two reads of the journal.
    :param drain_grace_s: longest time that a VM may drain, in seconds.
    """

    row: MemberRow
    platform: Platform
    peers: PeerSender
    clocks: Clocks
    rng: random.Random
    poll_interval_s: float = 1.0
    drain_grace_s: float = defaults.DRAIN_GRACE_S
    node: Node = attrs.field(init=False)
    sweeper: Sweeper = attrs.field(init=False)
    observer: Observer = attrs.field(factory=Observer)
    selector: PoolSelector = attrs.field(factory=PoolSelector)
    metrics: Metrics = attrs.field(factory=Metrics)
    reports: dict[str, tuple[Report, ...]] = attrs.field(factory=dict)
    conflicts: int = 0
    passes: int = 0
    pass_cpu_s: float = 0.0
    stopping: bool = False
    _last_snapshot_number: int = 0
    _next_sweep_at: float = 0.0
    _next_task_list_at: float = 0.0
    _listed_tasks: dict[str, ListedTask] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.node = Node(
            self.row,
            self.platform,
            self.peers,
            self.clocks,
            self.rng,
            self.poll_interval_s,
        )
        self.sweeper = Sweeper(self.platform)
        self.metrics.gauges.update(
            swept_rows=lambda: self.sweeper.removed,
            conflicts=lambda: self.conflicts,
            journal_sequence=lambda: self.node.state.sequence,
            passes=lambda: self.passes,
            pass_cpu_seconds=lambda: self.pass_cpu_s,
            reports=lambda: sum(map(len, self.reports.values())),
        )

    def handle_frame(self, frame: t.Any) -> None:
        """Handle a frame from another member.

        :param frame: the frame.
        """
        self.node.handle_frame(frame)

    async def run(self) -> None:
        """Run reconciliation passes until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.node.run)
            while not self.node.loaded:
                await anyio.sleep(self.poll_interval_s / 10)
            while True:
                await self._try_run_pass()
                jitter = 0.8 + 0.4 * self.rng.random()
                await anyio.sleep(defaults.PASS_INTERVAL_S * jitter)

    async def _try_run_pass(self) -> None:
        try:
            await self.run_pass()
        except PlatformUnavailableError as error:
            _LOG.warning("pass-failed", reason=str(error))

    async def run_pass(self) -> None:
        """Run one reconciliation pass over the owned pools.

        :raises PlatformUnavailableError: when the platform does not answer.
        """
        asked_at = self.node.now()
        vm_list = await self.platform.list_vms()
        self.observer.record_list(vm_list, self.node.state.vms.keys(), asked_at)
        owned = self.list_owned_pools()
        await self._refresh_tasks(owned)
        started = time.process_time()
        pass_input = self.build_view()
        pools = self.selector.choose(owned, pass_input)
        pool_plans = plan_pass(pools, pass_input, self._listed_tasks)
        self.pass_cpu_s += time.process_time() - started
        self.passes += 1
        await self._apply_steps(pool_plans)
        await self._save_snapshot()
        await self._sweep()

    async def _sweep(self) -> None:
        now = self.node.now()
        if now < self._next_sweep_at or not self._owns(RETENTION_KEY):
            return
        self._next_sweep_at = now + defaults.SWEEP_INTERVAL_S
        await self.sweeper.sweep_claims(self.clocks.read_wall())
        await self.sweeper.sweep_members(self.node.membership, self.node.now())

    def _owns(self, key: str) -> bool:
        return pick_owner(key, self._list_active_controls()) == self.node.name

    def _list_active_controls(self) -> list[str]:
        live = self.node.membership.list_live(self.node.now(), CONTROL_ROLE)
        return [row.name for row in live if not row.stopping]

    async def _refresh_tasks(self, owned: t.Sequence[str]) -> None:
        attempts = [
            attempt
            for pool in owned
            for attempt in self.node.state.pool_attempts.get(pool, {}).values()
        ]
        now = self.node.now()
        change_expected = any(
            attempt.stopping or attempt.attempt not in self._listed_tasks
            for attempt in attempts
        )
        if not attempts or (now < self._next_task_list_at and not change_expected):
            return
        self._next_task_list_at = now + defaults.TASK_LIST_INTERVAL_S
        listed = await self.platform.list_tasks()
        self._listed_tasks = {task.attempt: task for task in listed}

    def list_owned_pools(self) -> list[str]:
        """List the pools that this control process owns."""
        return list_owned(self.node.state, self.node.name, self._list_active_controls())

    def build_view(self) -> PassInput:
        """Build the view on which a reconciliation pass decides."""
        now = self.node.now()
        live = self.node.membership.list_live(now, ENTRY_ROLE)
        timed_out = self.node.membership.list_timed_out(now, ENTRY_ROLE)
        in_flight: collections.Counter[str] = collections.Counter()
        for row in live:
            in_flight.update(row.draining)
        # a minority of entries that timed out may be down; if a majority has timed
        # out, this process is more likely the one that is partitioned
        safe_mode = (
            len(timed_out) > len(live) or self.node.store_age() > MAX_STORE_AGE_S
        )
        return PassInput(
            state=self.node.state,
            observation=self.observer.observe(now),
            wall=self.clocks.read_wall(),
            min_applied_sequence=min((row.sequence for row in live), default=0)
            if live
            else self.node.state.sequence,
            in_flight=in_flight,
            safe_mode=safe_mode,
            drain_grace_s=self.drain_grace_s,
        )

    async def _apply_steps(self, pool_plans: t.Sequence[PoolPlan]) -> None:
        for pool_plan in pool_plans:
            self.reports[pool_plan.pool] = tuple(pool_plan.reports)
        # orders follow from the current state, so they are sent before new
        # events are appended
        await self._send_orders(
            [order for pool_plan in pool_plans for order in pool_plan.orders]
        )
        events: list[Event] = []
        pools = []
        for pool_plan in pool_plans:
            if pool_plan.events and len(events) < MAX_EVENTS_PER_ENTRY:
                events.extend(pool_plan.events)
                pools.append(pool_plan.pool)
        if not events:
            return
        if await self.node.append(events, f"bring in line: {', '.join(pools)}"):
            _LOG.info("appended", events=len(events), pools=pools)
        else:
            self.conflicts += 1
            await self.node.catch_up()

    async def _send_orders(self, orders: t.Sequence[Order]) -> None:
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_ORDERS)
        async with anyio.create_task_group() as group:
            for order in orders:
                group.start_soon(self._send_order, order, limiter)

    async def _send_order(self, order: Order, limiter: anyio.CapacityLimiter) -> None:
        async with limiter:
            try:
                await _ORDER_SENDERS[type(order)](self.platform, order)
            except PlatformUnavailableError as error:
                # the next pass repeats the order
                _LOG.warning("order-failed", order=repr(order), reason=str(error))

    async def _save_snapshot(self) -> None:
        state = self.node.state
        snapshot_number = state.sequence // defaults.SNAPSHOT_EVERY_ENTRIES
        if not snapshot_number or snapshot_number == self._last_snapshot_number:
            return
        if self._owns(SNAPSHOT_KEY):
            await self.node.journal.save_snapshot(state)
        self._last_snapshot_number = snapshot_number

    def is_ready(self) -> bool:
        """Tell whether the state is loaded and no planned stop is under way."""
        return self.node.loaded and not self.stopping

    def describe(self) -> dict[str, t.Any]:
        """Describe the process as JSON, with what it cannot reconcile."""
        described = describe_node(self.node, self.metrics, self.stopping)
        described["pools"] = self.list_owned_pools()
        described["reports"] = [
            {
                "pool": pool,
                "finding": report.finding.value,
                "subject": report.subject,
                "reason": report.reason,
            }
            for pool, reports in sorted(self.reports.items())
            for report in reports
        ]
        return described


async def _send_power_order(platform: Platform, order: t.Any) -> None:
    await platform.act_on_vm(order.vm, order.action, order.action_id)


async def _send_start_order(platform: Platform, order: t.Any) -> None:
    await platform.start_task(order)


async def _send_stop_order(platform: Platform, order: t.Any) -> None:
    await platform.stop_task(order.attempt)


_ORDER_SENDERS: dict[type, t.Callable[[Platform, t.Any], t.Awaitable[None]]] = {
    PowerOrder: _send_power_order,
    StartTask: _send_start_order,
    StopOrder: _send_stop_order,
}


@attrs.define
class ControlHttpApp:
    """ASGI application of a control process: health, metrics and status.

    :param process: the control process; 503 is answered until it is set.
    """

    process: ControlProcess | None = None

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        if scope["type"] != "http":
            return
        route = _ROUTES.get(scope["path"])
        if route is None or self.process is None:
            await send_json(send, 404 if route is None else 503, {})
        else:
            await route(self.process, send)


async def _serve_live(process: ControlProcess, send: Send) -> None:
    await send_json(send, 200, {"live": True})


async def _serve_ready(process: ControlProcess, send: Send) -> None:
    ready = process.is_ready()
    await send_json(send, 200 if ready else 503, {"ready": ready})


async def _serve_metrics(process: ControlProcess, send: Send) -> None:
    headers = [("Content-Type", "text/plain; version=0.0.4")]
    await send_answer(send, 200, process.metrics.render(), headers)


async def _serve_status(process: ControlProcess, send: Send) -> None:
    await send_json(send, 200, process.describe())


_ROUTES: dict[str, t.Callable[[ControlProcess, Send], t.Awaitable[None]]] = {
    "/healthz": _serve_live,
    "/readyz": _serve_ready,
    "/metrics": _serve_metrics,
    "/status": _serve_status,
}


async def run_control(
    settings: Settings,
    stop: anyio.Event,
    *,
    clocks: Clocks | None = None,
    task_status: anyio.abc.TaskStatus[t.Any] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Run a control process until a stop is requested.

    :param settings: settings of the process.
    :param stop: set to request a planned stop.
    :param clocks: the clocks; those of the system by default.
    """
    rng = random.Random()
    platform = PlatformClient(settings.platform)
    transport = PeerTransport(settings.peer)
    front = ControlHttpApp()
    async with anyio.create_task_group() as group:
        peer = await group.start(transport.run)
        server = HttpServer(front, settings.http, settings.stop_grace_s)
        http = await group.start(server.run)
        row = build_member_row(settings, CONTROL_ROLE, peer, http, rng)
        process = ControlProcess(
            row,
            platform,
            transport,
            clocks or SystemClocks(),
            rng,
            settings.poll_interval_s,
            settings.drain_grace_s,
        )
        transport.on_frame = process.handle_frame
        process.metrics.gauges.update(
            peer_bytes=lambda: transport.bytes_in + transport.bytes_out,
            platform_bytes=lambda: platform.bytes_transferred,
        )
        front.process = process
        group.start_soon(process.run)
        _LOG.info("started", http=str(http), peer=str(peer))
        task_status.started(http)
        await stop.wait()
        process.stopping = True
        process.node.mark_stopping()
        server.stop()
        await process.node.leave()
        group.cancel_scope.cancel()
    await platform.aclose()
    _LOG.info("stopped")
