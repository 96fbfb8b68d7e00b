"""Requests and uses the tickets of a shard's steps that the policy service issues."""

import typing as t

import attrs

from .advice import TicketRequest
from .job import Job
from .job import Task
from .placing import is_eligible
from .placing import may_ever_run
from .ready import ReadyStep
from .shard_demand import ShardDemand
from .shard_jobs import get_step_key


@attrs.define
class ShardAdvice(ShardDemand):
    """The steps of one shard that need tickets of the policy service."""

    def _list_advised_workers(self, ready: ReadyStep, now: float) -> t.Collection[str]:
        """List the workers for which a step has tickets of the policy service.

        If it has no valid tickets, no worker is allowed and the service is asked, for
        those workers first that have capacity.
        """
        step = ready.job.submission.steps[ready.step]
        step_key = get_step_key(ready.tasks[0])
        tickets = self.ticket_cache.get_tickets(step_key, now)
        if tickets:
            return tickets.keys()
        fitting = [
            record
            for record in self.workers.values()
            if may_ever_run(record, step, step_key)
        ]
        fitting.sort(
            key=lambda record: (not record.has_capacity(step), record.cpu_used)
        )
        workers = [record.entry.worker_id for record in fitting]
        self._request_tickets(ready, workers, now)
        return ()

    def _request_tickets(
        self, ready: ReadyStep, workers: t.Sequence[str], now: float
    ) -> None:
        """Request tickets for the workers that may be asked for now, if any."""
        step_key = get_step_key(ready.tasks[0])
        unasked = self.ticket_cache.list_unasked(step_key, workers, now)
        if not unasked:
            return
        submission = ready.job.submission
        request = TicketRequest(
            step_key,
            tuple(unasked),
            submission.policy.get_advice_terms(),
            len(ready.tasks),
            submission.steps[ready.step].gang,
        )
        self.ticket_cache.request_tickets(request)

    def _request_more_tickets(self, ready: ReadyStep, now: float) -> None:
        """Request tickets for workers that have capacity and were not asked for yet.

        The policy service allows each worker or not; that a worker was not asked for
        is no reason to leave it unused.
        """
        step = ready.job.submission.steps[ready.step]
        step_key = get_step_key(ready.tasks[0])
        eligible = [
            record.entry.worker_id
            for record in self.workers.values()
            if is_eligible(record, step, step_key, now)
        ]
        self._request_tickets(ready, eligible, now)

    def _get_ticket(self, job: Job, task: Task, now: float) -> str:
        if not job.submission.policy.advised:
            return ""
        tickets = self.ticket_cache.get_tickets(get_step_key(task), now)
        return tickets.get(task.worker_id, "")
