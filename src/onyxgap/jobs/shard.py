"""Schedules the tasks of one shard onto its workers.

Holds state only and calls neither the store nor workers. The daemon passes in rows,
reports and replies and runs a scheduling pass. It then stores what changed, and only
then sends the orders.
"""

import typing as t

import attrs
import structlog

from .admission import DelayEstimate
from .admission import PoolCapacity
from .admission import estimate_delays
from .amounts import ZERO_AMOUNT
from .amounts import Amount
from .amounts import get_task_amount
from .candidates import Candidates
from .candidates import PassCapacity
from .crashes import IsolationLevel
from .fair_shares import PoolUsage
from .fair_shares import can_meet_all_objectives
from .fair_shares import mark_steps_over_share
from .job import Job
from .job import Task
from .job import TaskPhase
from .messages import JobState
from .messages import Step
from .obstacles import WaitReporter
from .outliers import PROBE_INTERVAL_S
from .outliers import PROBE_PATIENCE_S
from .outliers import list_probeable
from .outliers import readmit_excess
from .placing import WorkerRecord
from .placing import choose_worker
from .placing import is_allowed
from .placing import may_ever_run
from .placing import rank_worker
from .priorities import rate_urgency
from .ready import ReadyStep
from .shard_advice import ShardAdvice
from .shard_jobs import get_step_key
from .share_book import ShardShares
from .undrained import STANDING_S
from .usage import sum_usage_by_tenant
from .workers import MS_PER_S
from .workers import StartOrder

START_WINDOW_MS = 500.0
"""How long a start order stays valid at least. Whether a lost order has started its run
is known from the first report requested after that. Orders that workers carry out late
come at least 2 s late."""
REPLY_MS = 100.0
"""Time by which the timeout of a start order exceeds its validity, so that a reply that
it was too late still arrives."""

_LOG = structlog.get_logger()


@attrs.define
class Shard(ShardAdvice):
    """State of one shard at its owner, and the scheduler of its tasks.

    :param shares: its shares of tenants' caps; ``None`` where there are no tenants.
    :param find_weight: returns a tenant's weight; ``None`` where capacity is not shared
        by weight.
    :param beyond: number of steps over their tenants' shares in the last scheduling
        pass.
    :param backlog: steps that were ready in the last scheduling pass, in its order;
        kept only where run times are learned.
    :param ready_steps: number of steps that were ready in the last scheduling pass.
    :param fleet_vms: initial number of VMs of all pools, 0 if unknown.
    :param probeable: ejected workers that may be probed in this scheduling pass.
    :param undrained: cordoned workers that jobs which stand still may use in this
        scheduling pass.
    """

    shares: ShardShares | None = None
    find_weight: t.Callable[[str], float] | None = None
    beyond: int = 0
    backlog: t.Sequence[ReadyStep] = ()
    ready_steps: int = 0
    fleet_vms: int = 0
    wait_reporter: WaitReporter = attrs.field(factory=WaitReporter)
    probeable: t.Sequence[WorkerRecord] = ()
    undrained: t.Sequence[WorkerRecord] = ()

    def plan(self, now: float, wall_ms: float) -> list[StartOrder]:
        """Run a scheduling pass: choose tasks to start, and their workers.

        Records each choice as an intent to start, which has to be stored.

        :param now: monotonic seconds.
        :param wall_ms: wall-clock milliseconds since 1970.
        :returns: start orders, to be sent once the intents are stored.
        """
        orders: list[StartOrder] = []
        self.log_done_tasks()
        readmit_excess(self.workers.values(), now)
        self.evict_serving_tasks(now)
        self.move_stragglers(now)
        for record in self.workers.values():
            record.reserved = False
        open_workers = [
            record for record in self.workers.values() if record.is_open(now)
        ]
        self.probeable = list_probeable(self.workers.values(), now)
        self.undrained = self._list_undrained_workers(now)
        free_capacity = PassCapacity(open_workers, now)
        usage: t.Mapping[str, Amount] = {}
        if self.shares is not None:
            usage = sum_usage_by_tenant(self.workers.values(), self.jobs)
            self.shares.begin_pass(usage)
        waiting: list[ReadyStep] = []
        for ready in self._sort_ready(now, wall_ms, usage):
            if ready.job.submission.steps[ready.step].gang:
                placed = self._place_gang(ready, now)
            else:
                placed = list(self._place_tasks(ready, free_capacity, now))
            if placed:
                self._log_placing(ready, placed, now)
            if len(placed) < len(ready.tasks):
                waiting.append(ready)
            orders += placed
        self.wait_reporter.report(
            waiting, self.workers.values(), now, self.summarize_cordons
        )
        if self.shares is not None:
            self.shares.end_pass(free_capacity.get_free_capacity(), now)
        return orders

    def _fits_share(
        self, job: Job, step: Step, tasks: int, wanted: int, now: float
    ) -> bool:
        """Tell whether tasks fit within their tenant's share; record those that don't.

        :param job: their job.
        :param step: their step.
        :param tasks: number of tasks that start together.
        :param wanted: number of such starts that are wanted.
        :param now: monotonic seconds.
        """
        tenant = job.submission.tenant
        if self.shares is None or not tenant:
            return True
        amount = get_task_amount(step) * tasks
        if self.shares.admits(tenant, amount):
            return True
        self.shares.add_unmet(tenant, amount, wanted)
        if job.capped_at is None:
            job.capped_at = now
        return False

    def _is_within_cap(self, job: Job, step: Step) -> bool:
        tenant = job.submission.tenant
        return self.shares is None or self.shares.admits(tenant, get_task_amount(step))

    def _log_placing(
        self, ready: ReadyStep, placed: t.Sequence[StartOrder], now: float
    ) -> None:
        job = ready.job
        clocks = [self.workers[order.worker_id].clock for order in placed]
        ages_s = [now - clock.read_at for clock in clocks if clock is not None]
        _LOG.info(
            "tasks placed",
            job=job.submission.job_id,
            step=ready.step,
            placed=len(placed),
            wanted=len(ready.tasks),
            workers=sorted({order.worker_id for order in placed}),
            late=ready.urgency.late,
            tenant=job.submission.tenant,
            standing=ready.urgency.standing.name.lower(),
            beyond=job.beyond or ready.beyond,
            capped_s=None if job.capped_at is None else round(now - job.capped_at, 3),
            waited_s=round(now - job.accepted_at, 3),
            report_age_s=round(max(ages_s, default=0.0), 3),
            epoch=self.epoch,
        )
        job.capped_at = None

    def _sort_ready(
        self, now: float, wall_ms: float, usage: t.Mapping[str, Amount]
    ) -> list[ReadyStep]:
        """List the ready steps in the order in which they are placed."""
        ready = self._list_ready(now, wall_ms)
        self.ready_steps = len(ready)
        ready.sort(key=ReadyStep.get_sort_key)
        self.beyond = 0
        if self.find_weight is not None and self.shares is not None:
            elsewhere = self.shares.get_held_elsewhere()
            demand = PoolUsage(self._measure_pool_capacity(), usage, elsewhere)
            if not can_meet_all_objectives(ready, demand, now):
                self.beyond = mark_steps_over_share(ready, demand, self.find_weight)
            if self.beyond:
                ready.sort(key=ReadyStep.get_sort_key)
        if self.run_times is not None:
            self.backlog = ready
        return ready

    def get_start_lag(self) -> float:
        """Return the smoothed seconds that start orders wait to be stored and sent."""
        return self.run_times.lag_s if self.run_times is not None else 0.0

    def build_delay_estimate(self, now: float) -> DelayEstimate:
        """Estimate the wait of a job submitted now, as of the last scheduling pass.

        :param now: monotonic seconds.
        """
        if self.run_times is None:
            return DelayEstimate()
        vms = sum(record.is_open(now) for record in self.workers.values())
        pool = PoolCapacity(vms, self.fleet_vms)
        return estimate_delays(
            self.backlog, self.get_largest_worker_capacity(), pool, self.run_times
        )

    def _measure_pool_capacity(self) -> Amount:
        """Sum the capacity, used or free, of the workers that may run tasks."""
        capacity = ZERO_AMOUNT
        for record in self.workers.values():
            if record.held and record.registered and not record.cordoned:
                entry = record.entry
                capacity += Amount(entry.cpu, entry.memory_mb, entry.accelerators)
        return capacity

    def _list_ready(self, now: float, wall_ms: float) -> list[ReadyStep]:
        ready = []
        for job in self.jobs.values():
            if job.state.final:
                continue
            if job.open_due_occurrences(wall_ms):
                self.dirty.add(job.submission.job_id)
            for occurrence, step_number in job.list_ready():
                tasks = [
                    task
                    for task in occurrence.steps[step_number]
                    if task.phase is TaskPhase.WAITING and now >= task.not_before
                ]
                if tasks:
                    urgency = rate_urgency(job, step_number, now, self.forecast)
                    ready.append(ReadyStep(urgency, job, step_number, tasks))
        return ready

    def _place_tasks(
        self, ready: ReadyStep, free_capacity: PassCapacity, now: float
    ) -> t.Iterator[StartOrder]:
        step = ready.job.submission.steps[ready.step]
        advised = ready.job.submission.policy.advised
        has_waited = self._may_probe(ready, now) or self._may_use_undrained(ready, now)
        needs_check = advised or step.long_running or has_waited
        if not needs_check and free_capacity.is_unplaceable(step):
            return
        step_key = get_step_key(ready.tasks[0])
        allowed = self._list_advised_workers(ready, now) if advised else None
        candidates = free_capacity.build_candidates(step, step_key, allowed)
        worker_reserved = False
        for position, task in enumerate(ready.tasks):
            if not self._fits_share(
                ready.job, step, 1, len(ready.tasks) - position, now
            ):
                return
            isolation = task.loss_history.isolation
            record = candidates.choose(task.failed_on, isolation)
            if record is None and isolation is not IsolationLevel.NONE:
                # other tasks of the step may use workers that this one must not
                if not worker_reserved:
                    _reserve_worker(candidates, free_capacity)
                worker_reserved = True
                continue
            if record is None:
                record = self._choose_probe(ready, task, allowed, now)
                if record is not None:
                    record.probed_at = now
                else:
                    record = self._choose_undrained(ready, task, allowed, now)
                if record is not None:
                    yield self._place(ready.job, step, task, record, task.run + 1, now)
                    return
                if step.long_running:
                    _reserve_worker(candidates, free_capacity)
                if allowed is None:
                    free_capacity.note_unplaceable(step)
                else:
                    self._request_more_tickets(ready, now)
                return
            if task.waits_for_another_worker(record.entry.worker_id, now):
                continue
            yield self._place(ready.job, step, task, record, task.run + 1, now)

    def _may_probe(self, ready: ReadyStep, now: float) -> bool:
        """Return whether a step has waited long enough to probe an ejected worker."""
        if not self.probeable:
            return False
        since = max(ready.job.accepted_at, ready.job.active_at)
        if ready.job.submission.steps[ready.step].long_running:
            since = self._get_waiting_since(ready, now)
        return now - since >= PROBE_PATIENCE_S

    def _get_waiting_since(self, ready: ReadyStep, now: float) -> float:
        step_key = get_step_key(ready.tasks[0])
        return self.wait_reporter.waiting_since.get(step_key, now)

    def _list_undrained_workers(self, now: float) -> list[WorkerRecord]:
        """List the cordoned workers that jobs may use; see :mod:`.undrained`."""
        records = []
        for worker_id in self.undrained_cordons.cordons:
            record = self.workers.get(worker_id)
            if record is None or not record.cordoned or not record.takes_tasks(now):
                continue
            if record.is_serving() or self.undrained_cordons.is_surplus(worker_id):
                records.append(record)
        return records

    def _may_use_undrained(self, ready: ReadyStep, now: float) -> bool:
        """Return whether a job stands still, so that it may use a cordoned worker."""
        if not self.undrained or ready.job.submission.steps[ready.step].long_running:
            return False
        since = max(ready.job.active_at, self._get_waiting_since(ready, now))
        return now - since >= STANDING_S

    def _choose_undrained(
        self,
        ready: ReadyStep,
        task: Task,
        allowed: t.Collection[str] | None,
        now: float,
    ) -> WorkerRecord | None:
        """Choose a cordoned worker for a task that no open worker can take."""
        if not self._may_use_undrained(ready, now):
            return None
        return self._choose_from(self.undrained, ready, task, allowed)

    def _choose_probe(
        self,
        ready: ReadyStep,
        task: Task,
        allowed: t.Collection[str] | None,
        now: float,
    ) -> WorkerRecord | None:
        """Choose an ejected worker for a task that no open worker can take."""
        if not self._may_probe(ready, now):
            return None
        due = [
            record
            for record in self.probeable
            if now >= record.probed_at + PROBE_INTERVAL_S
        ]
        return self._choose_from(due, ready, task, allowed)

    @staticmethod
    def _choose_from(
        records: t.Iterable[WorkerRecord],
        ready: ReadyStep,
        task: Task,
        allowed: t.Collection[str] | None,
    ) -> WorkerRecord | None:
        """Choose one of the workers that are not open for a task."""
        step, step_key = ready.job.submission.steps[ready.step], get_step_key(task)
        fitting = [
            record
            for record in records
            if (allowed is None or record.entry.worker_id in allowed)
            and not record.reserved
            and record.has_capacity(step)
            and record.meets_isolation(step_key[0], task.loss_history.isolation)
            and step_key[0] not in record.failing_jobs
            and is_allowed(record, step, step_key)
        ]
        avoid = task.failed_on
        return min(
            fitting, key=lambda item: rank_worker(item, step, avoid), default=None
        )

    def _place_gang(self, ready: ReadyStep, now: float) -> list[StartOrder]:
        step = ready.job.submission.steps[ready.step]
        if len(ready.tasks) != step.count:
            return []
        if not self._fits_share(ready.job, step, step.count, 1, now):
            return []
        chosen: list[tuple[Task, WorkerRecord]] = []
        allowed: t.Iterable[WorkerRecord] = self.workers.values()
        if ready.job.submission.policy.advised:
            tickets = self._list_advised_workers(ready, now)
            allowed = [item for item in allowed if item.entry.worker_id in tickets]
        cares = {task.loss_history.isolation for task in ready.tasks}
        isolation = next(item for item in reversed(IsolationLevel) if item in cares)
        for task in ready.tasks:
            step_key = get_step_key(task)
            record = choose_worker(allowed, step, step_key, now, isolation=isolation)
            if record is None:
                break
            record.reserve(step, step_key)
            chosen.append((task, record))
        for task, record in chosen:
            record.free(step, get_step_key(task))
        if len(chosen) != step.count:
            if ready.job.submission.policy.advised:
                self._request_more_tickets(ready, now)
            return []
        run = max(task.run for task in ready.tasks) + 1
        checkpoint = max((task.checkpoint for task in ready.tasks), key=bool)
        for task in ready.tasks:
            task.checkpoint = checkpoint
        return [
            self._place(ready.job, step, task, record, run, now)
            for task, record in chosen
        ]

    def _place(
        self,
        job: Job,
        step: Step,
        task: Task,
        record: WorkerRecord,
        run: int,
        now: float,
    ) -> StartOrder:
        assert record.clock is not None
        if job.placed_at is None:
            job.placed_at = now
        deadline_ms = record.clock.estimate(now) + self._get_start_window(record)
        task.place(record.entry.worker_id, now, deadline_ms, run)
        record.reserve(step, get_step_key(task))
        if self.shares is not None:
            self.shares.add_usage(job.submission.tenant, get_task_amount(step))
        record.note_start(task.task_id, task.loss_history.isolation)
        record.lease_ms = max(record.lease_ms, deadline_ms)
        if job.state is JobState.QUEUED:
            job.state = JobState.RUNNING
        self.dirty.add(job.submission.job_id)
        return StartOrder(
            record.entry.worker_id,
            record.entry.address,
            task.task_id,
            run,
            job.submission.spec,
            deadline_ms,
            self.get_token(record),
            task.checkpoint if step.checkpointing else "",
            self._get_ticket(job, task, now),
        )

    def prepare_start(self, order: StartOrder, now: float) -> StartOrder | None:
        """Set the deadline of a stored start order just before it is sent.

        :param order: the order as the scheduling pass made it.
        :param now: monotonic seconds.
        :returns: the order to send, or ``None`` if the run is no longer wanted.
        """
        job = self.jobs.get(order.task.job_id)
        task = job.find_task(order.task) if job else None
        if job is None or task is None or not task.placed or task.run != order.run:
            return None
        record = self.workers.get(order.worker_id)
        if task.stopping or record is None or record.clock is None:
            # the order was never sent, so there is no run to stop
            self._release(job, task)
            return None
        deadline_ms = record.clock.estimate(now) + self._get_start_window(record)
        if self.run_times is not None:
            self.run_times.note_start(now - task.started_at)
        task.started_at = now
        task.sent = True
        task.start_deadline_ms = deadline_ms
        record.lease_ms = max(record.lease_ms, deadline_ms)
        timeout_s = self.call_timeouts.get_start_timeout(order.worker_id)
        return attrs.evolve(
            order,
            epoch=self.get_token(record),
            deadline_ms=deadline_ms,
            timeout_s=timeout_s,
            incarnation=record.born,
        )

    def _get_start_window(self, record: WorkerRecord) -> float:
        """Return how long a start order to a worker is valid, in milliseconds."""
        timeout_s = self.call_timeouts.get_start_timeout(record.entry.worker_id)
        return max(START_WINDOW_MS, timeout_s * MS_PER_S - REPLY_MS)

    def withdraw_start(self, order: StartOrder, retry_at: float) -> None:
        """Give up an order that was not sent, since it cannot be stored.

        :param order: the order.
        :param retry_at: monotonic seconds before which the task is not placed again.
        """
        job = self.jobs.get(order.task.job_id)
        task = job.find_task(order.task) if job else None
        if job is None or task is None or not task.placed or task.run != order.run:
            return
        self._release(job, task)
        task.not_before = retry_at


def _reserve_worker(candidates: Candidates, free_capacity: PassCapacity) -> None:
    """Reserve the worker that should be the first to fit a task of a step.

    This is for serving tasks and for tasks suspected of crashing workers. Without it,
    smaller tasks would take all capacity as soon as it is free, or start something
    between any two reports. A worker on which the task may not be placed would stay
    reserved for as long as the task waits. At most half of the workers are reserved:
    the other jobs of the pool go on.

    :param candidates: open workers that the step may use.
    :param free_capacity: all open workers.
    """
    reserved = sum(record.reserved for record in free_capacity.records)
    if 2 * reserved >= len(free_capacity.records):
        return
    fitting = [
        record
        for record in candidates.records
        if not record.reserved
        and may_ever_run(record, candidates.step, candidates.step_key)
    ]
    if fitting:
        min(fitting, key=lambda record: record.cpu_used).reserved = True
