"""Entry process: accepts requests from callers and sends them to targets on VMs."""

import contextlib
import random
import typing as t

import anyio
import anyio.abc
import attrs
import structlog

from ..adapters.http_front import HttpFront
from ..adapters.http_front import list_refusal_headers
from ..adapters.http_server import HttpServer
from ..adapters.peer_link import PeerTransport
from ..adapters.platform_client import PlatformClient
from ..adapters.slot_link import NodeSlotLink
from ..adapters.slot_link import dispatch_slot_messages
from ..adapters.target_client import HttpTargetClient
from ..clocks import Clocks
from ..clocks import SystemClocks
from ..metrics import Metrics
from ..ports import Platform
from ..request.allocation import SlotBroker
from ..request.claims import ClaimStore
from ..request.messages import Answer
from ..request.messages import TargetClient
from ..request.pipeline import RequestPipeline
from ..settings import Settings
from ..shared.events import Entry
from ..shared.membership import ENTRY_ROLE
from ..shared.membership import MemberRow
from ..shared.node import Node
from ..shared.node import PeerSender
from ..shared.records import VmState
from ..wire.peer import ttypes

TICK_S = 0.05
CLAIM_RESULT_TIMEOUT_S = 5.0
_DRAINING_STATES = (VmState.DRAINING, VmState.QUARANTINED)
_LOG = structlog.get_logger()


@attrs.define
class EntryProcess:
    """An entry process without its sockets.

    Tests build it with fakes in place of the platform, peers and targets.

    :param row: member row of the process.
    :param platform: client for the platform's services.
    :param peers: sends frames to other members.
    :param client: sends attempts to targets.
    :param clocks: the clocks.
    :param rng: seeded random generator.
    :param poll_interval_s: seconds between two reads of the journal.
    """

    row: MemberRow
    platform: Platform
    peers: PeerSender
    client: TargetClient
    clocks: Clocks
    rng: random.Random
    poll_interval_s: float = 1.0
    node: Node = attrs.field(init=False)
    broker: SlotBroker = attrs.field(init=False)
    claims: ClaimStore = attrs.field(init=False)
    pipeline: RequestPipeline = attrs.field(init=False)
    metrics: Metrics = attrs.field(factory=Metrics)
    stopping: bool = False
    _broker_active: anyio.Event = attrs.field(factory=anyio.Event)

    def __attrs_post_init__(self) -> None:
        self.node = Node(
            self.row,
            self.platform,
            self.peers,
            self.clocks,
            self.rng,
            self.poll_interval_s,
        )
        link = NodeSlotLink(self.node)
        self.broker = SlotBroker(self.node.name, link, self.rng)
        self.broker.on_request_added = lambda: self._broker_active.set()
        self.claims = ClaimStore(self.platform)
        self.pipeline = RequestPipeline(
            self.node, self.broker, self.claims, self.client, self.clocks, self.rng
        )
        self.node.on_change.append(self._refresh_targets)
        self.node.on_membership_change.append(self._refresh_entries)
        self.node.count_draining = self._count_draining
        self.metrics.gauges.update(
            in_flight=lambda: self.pipeline.in_flight,
            journal_sequence=lambda: self.node.state.sequence,
            manifest_version=lambda: self.node.state.version,
            may_serve=lambda: float(self.node.may_serve()),
            retries=lambda: self.pipeline.retries,
            unsettled_claims=lambda: len(self.claims.pending_results),
        )

    def _refresh_targets(self, entries: t.Sequence[Entry]) -> None:
        self.broker.refresh(self.node.state, self.node.now())

    def _refresh_entries(self) -> None:
        self.broker.set_entries(self.node.list_entry_processes(), self.node.now())

    def _count_draining(self) -> dict[str, int]:
        counts = {}
        for name, record in self.node.state.vms.items():
            if record.state in _DRAINING_STATES:
                in_flight = self.broker.count_in_flight(name)
                if in_flight:
                    counts[name] = in_flight
        return counts

    def handle_frame(self, frame: ttypes.Frame) -> None:
        """Handle a frame from another member.

        :param frame: the frame.
        """
        self.node.handle_frame(frame)
        try:
            dispatch_slot_messages(self.broker, frame, self.node.now())
        except ValueError as error:
            _LOG.warning("bad-frame", sender=frame.sender, reason=str(error))

    async def run(self) -> None:
        """Run the background tasks until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.node.run)
            group.start_soon(self.claims.run)
            group.start_soon(self._tick_broker)

    async def _tick_broker(self) -> None:
        while True:
            if not self.broker.has_waiting_requests():
                self._broker_active = anyio.Event()
                await self._broker_active.wait()
            await anyio.sleep(TICK_S)
            self.broker.tick(self.node.now())
            if not self.node.may_serve():
                self.broker.refuse_all(self.node.now())

    async def drain(self, grace_s: float) -> None:
        """Wait for requests and for results of claims, then leave the deployment.

        :param grace_s: longest wait for requests in flight, in seconds. Results of
            claims that are not stored yet get ``CLAIM_RESULT_TIMEOUT_S`` more.
        """
        with anyio.move_on_after(grace_s):
            while self.pipeline.in_flight:
                await anyio.sleep(TICK_S)
        with anyio.move_on_after(CLAIM_RESULT_TIMEOUT_S):
            while self.claims.pending_results:
                await self.claims.store_pending_results()
        await self.node.leave()

    @property
    def version(self) -> int:
        """Version of the manifest that this process has applied."""
        return self.node.state.version

    def list_targets(self) -> list[tuple[str, str]]:
        """List each serving VM with its pool, as known to this process."""
        return [
            (name, record.pool)
            for name, record in self.node.state.vms.items()
            if record.state is VmState.SERVING
        ]

    def is_ready(self) -> bool:
        """Tell whether the load balancer may send requests here."""
        return self.node.may_serve() and not self.stopping

    def render_metrics(self) -> bytes:
        """Render the metrics in the Prometheus text format."""
        return self.metrics.render()

    def count_answer(self, answer: Answer, service: str, job: str, took: float) -> None:
        """Count one answered request."""
        reason = answer.reason.value if answer.reason else ""
        self.metrics.count(answer.verdict.value, reason, service, took)

    def describe(self) -> dict[str, t.Any]:
        """Describe the process as JSON."""
        return describe_node(self.node, self.metrics, self.stopping)


def describe_node(node: Node, metrics: Metrics, stopping: bool) -> dict[str, t.Any]:
    """Describe a process for its status path.

    :param node: node of the process.
    :param metrics: metrics of the process.
    :param stopping: whether a planned stop is under way.
    """
    return {
        "member": node.name,
        "role": node.row.role,
        "sequence": node.state.sequence,
        "version": node.state.version,
        "fresh": node.may_serve(),
        "stopping": stopping,
        "corrupt_rows": node.journal.corrupt_keys,
        "metrics": metrics.summarize(),
    }


def build_member_row(
    settings: Settings, role: str, peer: object, http: object, rng: random.Random
) -> MemberRow:
    """Build the member row of a process.

    :param settings: settings of the process.
    :param role: ``entry`` or ``control``.
    :param peer: bound peer address.
    :param http: bound HTTP address.
    :param rng: random generator for the incarnation token.
    """
    return MemberRow(
        name=settings.member,
        role=role,
        peer=str(peer),
        incarnation=f"{rng.getrandbits(64):016x}",
        http=str(http),
        zone=settings.zone,
    )


async def run_entry(
    settings: Settings,
    stop: anyio.Event,
    *,
    task_status: anyio.abc.TaskStatus[t.Any] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Run an entry process until a stop is requested.

    :param settings: settings of the process.
    :param stop: set to request a planned stop.
    """
    rng = random.Random()
    platform = PlatformClient(settings.platform)
    transport = PeerTransport(settings.peer)
    client = HttpTargetClient()
    async with anyio.create_task_group() as group:
        peer = await group.start(transport.run)
        deferred = _DeferredFront()

        def make_request_id() -> str:
            return f"{rng.getrandbits(96):024x}"

        server = HttpServer(
            deferred,
            settings.http,
            settings.stop_grace_s,
            list_refusal_headers=lambda status: list_refusal_headers(
                make_request_id(), status
            ),
        )
        http = await group.start(server.run)
        row = build_member_row(settings, ENTRY_ROLE, peer, http, rng)
        process = EntryProcess(
            row,
            platform,
            transport,
            client,
            SystemClocks(),
            rng,
            settings.poll_interval_s,
        )
        transport.on_frame = process.handle_frame
        process.metrics.gauges.update(
            peer_bytes=lambda: transport.bytes_in + transport.bytes_out,
            platform_bytes=lambda: platform.bytes_transferred,
        )
        deferred.front = HttpFront(process.pipeline, process, make_request_id)
        group.start_soon(process.run)
        group.start_soon(client.prune)
        _LOG.info("started", http=str(http), peer=str(peer))
        task_status.started(http)
        await stop.wait()
        await _stop_gracefully(process, server, settings)
        group.cancel_scope.cancel()
    with contextlib.suppress(Exception):
        await client.aclose()
        await platform.aclose()
    _LOG.info("stopped")


async def _stop_gracefully(
    process: EntryProcess, server: HttpServer, settings: Settings
) -> None:
    _LOG.info("stopping", in_flight=process.pipeline.in_flight)
    process.stopping = True
    process.node.mark_stopping()
    # keep serving until the load balancer has seen that readiness fails
    await anyio.sleep(settings.lame_duck_s)
    server.stop()
    await process.drain(settings.stop_grace_s)


@attrs.define
class _DeferredFront:
    """Holds requests until the front is set.

    The server is bound first, since the member row contains its address.
    """

    front: HttpFront | None = None

    async def __call__(self, scope: t.Any, receive: t.Any, send: t.Any) -> None:
        while self.front is None:
            await anyio.sleep(TICK_S)
        await self.front(scope, receive, send)
