"""Metrics of a node: what it owns, how late it is, and what its callers got."""

import functools
import typing as t

from ..adapters.connection_guard import ConnectionGuard
from ..logs import BoundedLogWriter
from ..metrics import Metrics
from .node import Node
from .start_times import StartStep
from .start_times import StartTimes


def _list_start_gauges(times: StartTimes) -> dict[str, t.Callable[[], float]]:
    """List the seconds from the start of the process to each step, -1 before it."""
    return {
        f"start_{step.name.lower()}_seconds": functools.partial(times.get_seconds, step)
        for step in StartStep
    }


def build_metrics(
    node: Node, lines: BoundedLogWriter, guard: ConnectionGuard
) -> Metrics:
    """Build the metrics of a node, and have its job API count answers in them.

    :param node: the node.
    :param lines: log writer, whose dropped lines are counted.
    :param guard: bounds the connections of callers.
    """
    metrics = Metrics(
        gauges={
            **_list_start_gauges(node.start_times),
            "shards_owned": lambda: len(node.owners),
            "shards_failed": lambda: node.shards_failed,
            "rows_skipped": node.skipped.total,
            "fleet_duty_held": lambda: node.fleet_controller is not None,
            "jobs_open": lambda: sum(
                len(owner.state.jobs) for owner in node.owners.values()
            ),
            "workers_silent": lambda: sum(
                len(owner.state.list_silent()) for owner in node.owners.values()
            ),
            "runs_in_doubt": lambda: sum(
                owner.state.count_doubtful_runs() for owner in node.owners.values()
            ),
            "ends_unseen": lambda: sum(
                owner.state.unseen_ends for owner in node.owners.values()
            ),
            "cordons_in_force": lambda: (
                len(node.fleet_controller.planner.cordons)
                if node.fleet_controller is not None
                else 0
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
            "configuration_version": node.routes.get_version,
            "configuration_known": node.exchange.versions.get_newest,
            "ready": node.job_api.is_ready,
            "event_loop_lag_seconds": lambda: node.lag.seconds,
            "event_loop_lag_highest_seconds": lambda: node.lag.highest_s,
            "store_down": lambda: node.health.is_down(node.clocks.read_monotonic()),
            "log_lines_dropped": lambda: lines.dropped_total,
            "connections_open": lambda: len(guard.connections),
            "connection_bytes_held": lambda: guard.held,
        },
        read_work=node.lag.work.list_seconds,
        closed=guard.closed,
    )

    def count_answer(kind: str, outcome: str, took_s: float) -> None:
        metrics.count(outcome, kind, kind, took_s)

    def count_rejected_key(reason: str) -> None:
        metrics.count(reason, "key", "key", 0.0)

    node.job_api.on_answer = count_answer
    node.job_api.authentication.on_rejected = count_rejected_key
    return metrics
