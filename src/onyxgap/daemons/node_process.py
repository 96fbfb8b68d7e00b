"""The process of a node on the users' platform: listeners, signals and logs."""

import os
import random
import signal

import anyio
import structlog

from ..adapters.call_link import StreamCallLink
from ..adapters.http_server import HttpServer
from ..adapters.notice_link import DatagramPeers
from ..clocks import SystemClocks
from ..exceptions import DocumentError
from ..jobs.health import StoreHealth
from ..jobs.health import WatchedStore
from ..jobs.notices import NoPeers
from ..jobs.notices import Peers
from ..jobs.passing import CallLink
from ..jobs.passing import NoCallLink
from ..jobs.settings import NodeSettings
from ..logs import BoundedLogWriter
from ..metrics import Metrics
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
from .node_view import Decoders

LINGER_S = 2.5
"""The balancer needs two failed probes, a second apart, to send no more callers."""
STORE_CONNECTIONS = 48
"""Far below the descriptors that a VM has left for sockets."""
RELEASE_LIMIT_S = 1.5
"""Longest time to hand shards over; a silent store must not use up the grace of 6 s."""
CLOSE_LIMIT_S = 1.0
"""Time for answers under way once the listener is closed."""

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


def _measure_memory_mb() -> int:
    pages, size = os.sysconf("SC_PHYS_PAGES"), os.sysconf("SC_PAGE_SIZE")
    return pages * size // 2**20


def build_node(settings: NodeSettings) -> Node:
    """Build a node that talks to the users' platform.

    :param settings: its settings.
    """
    clocks = SystemClocks()
    health = StoreHealth()
    store = PlatformStore(HttpClient(settings.store, STORE_CONNECTIONS))
    adviser = None
    if settings.advice != "-":
        adviser = PlatformPolicyClient(HttpClient(settings.advice))
    return Node(
        settings,
        WatchedStore(store, health, clocks),
        health,
        PlatformWorkerClient(),
        None
        if settings.cloud == "-"
        else PlatformCloudClient(HttpClient(settings.cloud)),
        DECODERS,
        clocks,
        random.Random(os.urandom(8)),
        adviser=adviser,
        peers=_build_peers(settings),
        calls=_build_call_link(settings),
        memory_mb=_measure_memory_mb(),
    )


def build_metrics(node: Node, lines: BoundedLogWriter) -> Metrics:
    """Build the metrics of a node.

    :param node: the node; its desk counts answers from now on.
    :param lines: writer of the log.
    """
    metrics = Metrics(
        gauges={
            "shards_owned": lambda: len(node.owners),
            "shards_failed": lambda: node.shards_failed,
            "rows_skipped": node.skipped.total,
            "fleet_duty_held": lambda: node.holder is not None,
            "jobs_open": lambda: sum(
                len(owner.state.jobs) for owner in node.owners.values()
            ),
            "workers_silent": lambda: sum(
                len(owner.state.list_silent()) for owner in node.owners.values()
            ),
            "workers_registered": lambda: sum(
                len(owner.state.list_registered()) for owner in node.owners.values()
            ),
            "steps_beyond_shares": lambda: sum(
                owner.state.beyond for owner in node.owners.values()
            ),
            "start_lag_seconds": lambda: max(
                (owner.state.get_start_lag() for owner in node.owners.values()),
                default=0.0,
            ),
            "configuration_version": node.desk.get_version,
            "ready": node.desk.is_ready,
            "store_down": lambda: node.health.is_down(node.clocks.read_monotonic()),
            "log_lines_dropped": lambda: lines.dropped_total,
        }
    )

    def count(kind: str, outcome: str, took_s: float) -> None:
        metrics.count(outcome, kind, kind, took_s)

    def count_refusal(reason: str) -> None:
        metrics.count(reason, "key", "key", 0.0)

    node.desk.on_answer = count
    node.desk.authentication.on_refused = count_refusal
    return metrics


async def run_node_process(
    path: str, lines: BoundedLogWriter, metrics_port: int = 0
) -> int:
    """Run a node until it is told to stop.

    :param path: path of the settings file.
    :param lines: writer of the log.
    :param metrics_port: port for metrics beside the one for probes, 0 for none.
    :returns: the exit code.
    """
    settings = load_settings(path)
    node = build_node(settings)
    render = build_metrics(node, lines).render
    _LOG.info("start", boot=node.boot, zone=settings.zone, store=settings.store)
    callers = JobApiApp(node.front)
    front = HttpServer(callers, settings.front, CLOSE_LIMIT_S)
    probes = ProbeApp(node.front, render)
    ready = HttpServer(probes, settings.ready, CLOSE_LIMIT_S)
    with anyio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        async with anyio.create_task_group() as group:
            group.start_soon(ready.run)
            group.start_soon(front.run)
            if metrics_port:
                address = Address(settings.ready.host, metrics_port)
                group.start_soon(HttpServer(probes, address, CLOSE_LIMIT_S).run)
            group.start_soon(node.run)
            async for number in signals:
                if number != signal.SIGHUP:
                    break
                reload_settings(path, settings)
            await _stop(node, callers, front, ready)
            group.cancel_scope.cancel()
    _LOG.info("stop", boot=node.boot)
    return 0


def reload_settings(path: str, settings: NodeSettings) -> None:
    """Read the settings file again and say what it changes.

    A faulty file is only reported: the node goes on with the settings in force.

    :param path: path of the file.
    :param settings: those in force.
    """
    try:
        changed = load_settings(path) != settings
    except DocumentError as error:
        _LOG.warning("reload refused", faults=[str(fault) for fault in error.faults])
        return
    _LOG.info("reload", changed=changed, note="addresses take effect at a restart")


async def _stop(
    node: Node, callers: JobApiApp, front: HttpServer, ready: HttpServer
) -> None:
    _LOG.info("stopping", owned=len(node.owners))
    callers.closing = True
    with anyio.move_on_after(RELEASE_LIMIT_S):
        await node.release()
    await anyio.sleep(LINGER_S)
    front.stop()
    # whoever is answered waits for the store: cut off, it would get a 500
    with anyio.move_on_after(CLOSE_LIMIT_S * 1.25):
        await front.ended.wait()
    ready.stop()
