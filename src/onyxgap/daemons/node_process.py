"""Process of a node on the users' platform: listeners, signals, metrics, shutdown."""

import os
import random
import signal

import anyio
import structlog

from ..adapters.call_link import StreamCallLink
from ..adapters.connection_guard import ConnectionGuard
from ..adapters.connection_limits import derive_machine_limits
from ..adapters.connection_limits import read_memory_mb
from ..adapters.http_server import HttpServer
from ..adapters.notice_link import DatagramPeers
from ..clocks import SystemClocks
from ..clocks import read_process_start
from ..exceptions import DocumentError
from ..jobs.health import MonitoredStore
from ..jobs.health import StoreHealth
from ..jobs.notices import NoPeers
from ..jobs.notices import Peers
from ..jobs.passing import CallLink
from ..jobs.passing import NoCallLink
from ..jobs.settings import NodeSettings
from ..logs import BoundedLogWriter
from ..platform import registry
from ..platform.advice import PlatformPolicyClient
from ..platform.cloud import PlatformCloudClient
from ..platform.http import HttpClient
from ..platform.job_api import JobApiApp
from ..platform.job_api import ProbeApp
from ..platform.settings import load_settings
from ..platform.store import PlatformStore
from ..platform.workers import PlatformWorkerClient
from ..settings import Address
from .node import Node
from .node_base import Decoders
from .node_metrics import build_metrics
from .start_times import StartStep
from .start_times import StartTimes

BALANCER_DRAIN_S = 2.5
"""Time from the release of the shards to the closing of the callers' listener. The load
balancer needs two failed probes, one second apart, to stop sending callers."""
MAX_STORE_CONNECTIONS = 48
"""Maximum number of connections to the store; far below the number of file descriptors
that a VM has left for sockets."""
RELEASE_TIMEOUT_S = 1.5
"""Maximum time for releasing the shards. A store that does not answer must not use up
the grace period of 6 s."""
CLOSE_TIMEOUT_S = 1.0
"""Time for requests in flight after their listener is closed."""

_LOG = structlog.get_logger()


DECODERS = Decoders(
    registry.WORKER_TABLE,
    registry.OPERATOR_TABLE,
    registry.CONFIGURATION_KEY,
    registry.WAVE_PREFIX,
    registry.decode_worker,
    registry.decode_configuration,
    registry.decode_wave,
    registry.encode_wave_status,
)


def _build_peers(settings: NodeSettings) -> Peers:
    port = settings.peer_ports[0]
    if not port:
        return NoPeers()
    return DatagramPeers(Address(settings.front.host, port))


def _build_call_link(settings: NodeSettings) -> CallLink:
    first, last = settings.peer_ports
    if not settings.contended or last <= first:
        return NoCallLink()
    return StreamCallLink(Address(settings.front.host, first + 1))


def build_guard(settings: NodeSettings) -> ConnectionGuard:
    """Build the guard of a node's listeners from the limits of its machine.

    :param settings: settings of the node.
    """
    return ConnectionGuard(derive_machine_limits(settings.memory_mb, settings.max_fds))


def build_node(settings: NodeSettings) -> Node:
    """Build a node that talks to the users' platform.

    :param settings: settings of the node.
    """
    clocks = SystemClocks()
    health = StoreHealth()
    store_client = HttpClient(settings.store, MAX_STORE_CONNECTIONS)
    store = PlatformStore(store_client, get_lag=health.get_lag)
    policy_client = None
    if settings.advice != "-":
        policy_client = PlatformPolicyClient(HttpClient(settings.advice))
    return Node(
        settings,
        MonitoredStore(store, health, clocks),
        health,
        PlatformWorkerClient(),
        None
        if settings.cloud == "-"
        else PlatformCloudClient(HttpClient(settings.cloud)),
        DECODERS,
        clocks,
        random.Random(os.urandom(8)),
        policy_client=policy_client,
        peers=_build_peers(settings),
        calls=_build_call_link(settings),
        memory_mb=read_memory_mb(),
        start_times=StartTimes(clocks, read_process_start()),
    )


async def run_node_process(
    path: str, lines: BoundedLogWriter, metrics_port: int = 0
) -> int:
    """Run a node until SIGTERM or SIGINT.

    SIGHUP checks the settings file; see :func:`check_settings_file`.

    :param path: path of the settings file.
    :param lines: log writer.
    :param metrics_port: additional port that serves probes and metrics, 0 for none.
    :returns: exit code of the process.
    """
    settings = load_settings(path)
    node = build_node(settings)
    guard = build_guard(settings)
    render_metrics = build_metrics(node, lines, guard).render
    _LOG.info("start", boot=node.boot, zone=settings.zone, store=settings.store)
    node.start_times.note(StartStep.MODULES)
    caller_app = JobApiApp(node.served_api)
    caller_server = HttpServer(caller_app, settings.front, CLOSE_TIMEOUT_S, guard)
    probe_app = ProbeApp(node.served_api, render_metrics)
    probe_server = HttpServer(probe_app, settings.ready, CLOSE_TIMEOUT_S, guard)
    with anyio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        async with anyio.create_task_group() as group:
            group.start_soon(probe_server.run)
            group.start_soon(_serve_callers, caller_server, node.start_times)
            if metrics_port:
                address = Address(settings.ready.host, metrics_port)
                metrics_server = HttpServer(probe_app, address, CLOSE_TIMEOUT_S, guard)
                group.start_soon(metrics_server.run)
            group.start_soon(node.run)
            async for signal_number in signals:
                if signal_number != signal.SIGHUP:
                    break
                check_settings_file(path, settings)
            await _stop(node, caller_app, caller_server, probe_server)
            group.cancel_scope.cancel()
    _LOG.info("stop", boot=node.boot)
    return 0


async def _serve_callers(server: HttpServer, times: StartTimes) -> None:
    async with anyio.create_task_group() as group:
        await group.start(server.run)
        times.note(StartStep.LISTENING)


def check_settings_file(path: str, settings: NodeSettings) -> None:
    """Read the settings file again; log whether it differs from the settings in use.

    No setting is changed. An invalid file is only logged, so that it does not stop the
    node.

    :param path: path of the settings file.
    :param settings: settings in use.
    """
    try:
        changed = load_settings(path) != settings
    except DocumentError as error:
        _LOG.warning("reload refused", faults=[str(fault) for fault in error.faults])
        return
    _LOG.info("reload", changed=changed, note="changes take effect at a restart")


async def _stop(
    node: Node,
    caller_app: JobApiApp,
    caller_server: HttpServer,
    probe_server: HttpServer,
) -> None:
    _LOG.info("stopping", owned=len(node.owners))
    caller_app.closing = True
    with anyio.move_on_after(RELEASE_TIMEOUT_S):
        await node.release()
    await anyio.sleep(BALANCER_DRAIN_S)
    caller_server.stop()
    # Requests in flight wait for the store; if cancelled, they would be answered 500.
    with anyio.move_on_after(CLOSE_TIMEOUT_S * 1.25):
        await caller_server.ended.wait()
    probe_server.stop()
