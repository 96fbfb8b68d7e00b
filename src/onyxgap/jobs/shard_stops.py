"""What a shard stops: orders without effect, stragglers, serving tasks that move."""

import typing as t

import attrs
import structlog

from .job import Task
from .messages import Step
from .placing import choose_worker
from .shard_jobs import get_group
from .shard_jobs import is_at_work
from .shard_reports import ShardReports
from .workers import StopOrder

STOP_RESEND_S = 0.5
"""A run stops within 0.2 to 0.4 s; an order without effect by then was lost."""

_LOG = structlog.get_logger()


@attrs.define
class ShardStops(ShardReports):
    """Stops of one shard's runs."""

    def list_stops(self, now: float) -> list[StopOrder]:
        """List the orders to stop that are due, again where no end came."""
        orders = []
        for task_id, task in list(self.stopping.items()):
            if not task.placed or not task.stopping:
                del self.stopping[task_id]
                continue
            if now - task.stop_sent_at < STOP_RESEND_S:
                continue
            record = self.workers.get(task.worker_id)
            if record is not None and record.registered:
                task.stop_sent_at = now
                orders.append(self._order_stop(record, task_id, task.run))
        orders += self.strays.values()
        self.strays.clear()
        return orders

    def move_stragglers(self, now: float) -> None:
        """Mark tasks on workers that stand still to be stopped, if others have room.

        :param now: monotonic seconds.
        """
        for record in self.workers.values():
            leaving, record.leaving = record.leaving, []
            for task in leaving:
                job = self.jobs.get(task.task_id.job_id)
                if job is None or not task.placed or task.stopping:
                    continue
                if task.worker_id != record.entry.worker_id:
                    continue
                step, group = job.get_step(task), get_group(task)
                if choose_worker(self.workers.values(), step, group, now) is None:
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

    def evict_serving(self, now: float) -> None:
        """Mark serving tasks on cordoned workers to be stopped, within budget.

        :param now: monotonic seconds.
        """
        cordoned = {key for key, item in self.workers.items() if item.cordoned}
        if not cordoned:
            return
        for job in self.jobs.values():
            for occurrence in job.occurrences.values():
                for number, step in enumerate(job.submission.steps):
                    if step.long_running:
                        self._evict_step(step, occurrence.steps[number], cordoned, now)

    def _evict_step(
        self, step: Step, tasks: t.Sequence[Task], cordoned: set[str], now: float
    ) -> None:
        budget = max(1, step.may_miss)
        away = sum(not is_at_work(task) for task in tasks)
        for task in tasks:
            if away >= budget:
                return
            if task.worker_id not in cordoned or not is_at_work(task):
                continue
            if choose_worker(self.workers.values(), step, get_group(task), now) is None:
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
