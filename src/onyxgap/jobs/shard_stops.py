"""Chooses the runs to stop.

These are runs of ended jobs, unexpected runs, runs ordered before their worker
restarted, tasks on slow workers and serving tasks on cordoned workers. Stop orders
without effect are repeated.
"""

import typing as t

import attrs
import structlog

from .job import Task
from .messages import Step
from .placing import choose_worker
from .shard_jobs import get_step_key
from .shard_jobs import is_serving
from .shard_reports import ShardReports
from .workers import StopOrder

STOP_RESEND_S = 0.5
"""Interval at which a stop order is repeated. A run stops within 0.2 to 0.4 s, so an
order that had no effect by then was lost."""

_LOG = structlog.get_logger()


@attrs.define
class ShardStops(ShardReports):
    """Chooses the runs of one shard that are to be stopped."""

    def list_stops(self, now: float) -> list[StopOrder]:
        """List the stop orders that are due, repeated where the run has not ended."""
        orders = []
        for task_id, task in list(self.stopping.items()):
            if not task.placed or not task.stopping:
                del self.stopping[task_id]
                continue
            if now - task.stop_sent_at < STOP_RESEND_S:
                continue
            record = self.workers.get(task.worker_id)
            if record is not None and (record.registered or record.is_answering()):
                task.stop_sent_at = now
                orders.append(self._build_stop_order(record, task_id, task.run))
        orders += self.unexpected_runs.values()
        self.unexpected_runs.clear()
        return orders

    def move_stragglers(self, now: float) -> None:
        """Mark tasks of slow or stalled workers for stopping if others have capacity.

        :param now: monotonic seconds.
        """
        for record in self.workers.values():
            tasks_to_move, record.tasks_to_move = record.tasks_to_move, []
            for task in tasks_to_move:
                job = self.jobs.get(task.task_id.job_id)
                if job is None or not task.placed or task.stopping:
                    continue
                if task.worker_id != record.entry.worker_id:
                    continue
                step, step_key = job.get_step(task), get_step_key(task)
                if choose_worker(self.workers.values(), step, step_key, now) is None:
                    break
                self._mark_stopping(task)
                task.moves += 1
                _LOG.info(
                    "straggler stopped",
                    task=str(task.task_id),
                    run=task.run,
                    worker=task.worker_id,
                    percent=task.percent,
                )

    def evict_serving_tasks(self, now: float) -> None:
        """Mark serving tasks on cordoned workers for stopping.

        Stops no more once ``max(1, may_miss)`` tasks of a step are away.

        :param now: monotonic seconds.
        """
        cordoned = {key for key, item in self.workers.items() if item.cordoned}
        if not cordoned:
            return
        for job in self.jobs.values():
            for occurrence in job.occurrences.values():
                for step_number, step in enumerate(job.submission.steps):
                    if step.long_running:
                        self._evict_step(
                            step, occurrence.steps[step_number], cordoned, now
                        )

    def _evict_step(
        self, step: Step, tasks: t.Sequence[Task], cordoned: set[str], now: float
    ) -> None:
        budget = max(1, step.may_miss)
        away = sum(not is_serving(task) for task in tasks)
        for task in tasks:
            if away >= budget:
                return
            if task.worker_id not in cordoned or not is_serving(task):
                continue
            if (
                choose_worker(self.workers.values(), step, get_step_key(task), now)
                is None
            ):
                return
            self._mark_stopping(task)
            away += 1
            _LOG.info(
                "serving task evicted",
                task=str(task.task_id),
                worker=task.worker_id,
                away=away,
                budget=budget,
            )
