"""The jobs and workers of one shard, and what to start and stop next.

Pure state: the daemon feeds it rows, reports and replies, asks for a plan, stores
what changed, and only then sends the orders.
"""

import typing as t

import attrs
import structlog

from .admission import Outlook
from .admission import PoolRoom
from .admission import measure_outlook
from .amounts import NOTHING
from .amounts import Amount
from .amounts import measure_task
from .candidates import PlanRoom
from .crashes import Care
from .fair_shares import PoolDemand
from .fair_shares import can_all_be_in_time
from .fair_shares import mark_beyond
from .job import Job
from .job import Task
from .job import TaskPhase
from .messages import JobState
from .messages import Step
from .placing import Group
from .placing import WorkerRecord
from .placing import choose_worker
from .placing import may_ever_run
from .priorities import rate_urgency
from .ready import Ready
from .shard_jobs import get_group
from .shard_stops import ShardStops
from .share_book import ShareBook
from .usage import measure_usage
from .workers import StartOrder

START_WINDOW_MS = 500.0
"""How long an order to start stays valid; a lost one is settled by the first report
asked for after that. Orders that workers carry out late come 2 s late or more."""

_LOG = structlog.get_logger()


@attrs.define
class Shard(ShardStops):
    """State of one shard under its owner, and what to start and stop next.

    :param shares: its shares of tenants' caps; ``None`` where there are no tenants.
    :param find_weight: gives a tenant's weight where tenants share the room by weight;
        ``None`` where all stand in one line.
    :param line: what might start at the last plan, in its order; kept where run times
        are learned.
    :param fleet_vms: VMs of all pools in the beginning, 0 where they are not known.
    :param beyond: steps that stood beyond their tenants' shares in the last plan.
    """

    shares: ShareBook | None = None
    find_weight: t.Callable[[str], float] | None = None
    beyond: int = 0
    line: t.Sequence[Ready] = ()
    fleet_vms: int = 0

    def plan(self, now: float, wall_ms: float) -> list[StartOrder]:
        """Choose what to start; records each choice as an intent.

        :param now: monotonic seconds.
        :param wall_ms: wall-clock milliseconds since 1970.
        :returns: orders to send once the intents are stored.
        """
        orders: list[StartOrder] = []
        self.log_done()
        self.evict_serving(now)
        self.move_stragglers(now)
        for record in self.workers.values():
            record.reserved = False
        opened = [item for item in self.workers.values() if item.is_open(now)]
        room = PlanRoom(opened, now)
        usage: t.Mapping[str, Amount] = {}
        if self.shares is not None:
            usage = measure_usage(self.workers.values(), self.jobs)
            self.shares.open_plan(usage)
        for ready in self._order_ready(now, wall_ms, usage):
            if ready.job.submission.steps[ready.step].gang:
                placed = self._place_gang(ready, now)
            else:
                placed = list(self._place_tasks(ready, room, now))
            if placed:
                self._log_placing(ready, placed, now)
            orders += placed
        if self.shares is not None:
            self.shares.close_plan(room.measure_free(), now)
        return orders

    def _admits(
        self, job: Job, step: Step, tasks: int, wanted: int, now: float
    ) -> bool:
        """Tell whether tasks stay within their tenant's share; notes what does not.

        :param job: their job.
        :param step: their step.
        :param tasks: how many start together.
        :param wanted: how many such starts are wanted.
        :param now: monotonic seconds.
        """
        tenant = job.submission.tenant
        if self.shares is None or not tenant:
            return True
        amount = measure_task(step) * tasks
        if self.shares.admits(tenant, amount):
            return True
        self.shares.miss(tenant, amount, wanted)
        if job.capped_at is None:
            job.capped_at = now
        return False

    def _log_placing(
        self, ready: Ready, placed: t.Sequence[StartOrder], now: float
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
            waited_s=round(now - job.seen_at, 3),
            report_age_s=round(max(ages_s, default=0.0), 3),
            epoch=self.epoch,
        )
        job.capped_at = None

    def _order_ready(
        self, now: float, wall_ms: float, usage: t.Mapping[str, Amount]
    ) -> list[Ready]:
        """List what may start, in the order in which it gets room."""
        found = self._list_ready(now, wall_ms)
        found.sort(key=Ready.get_rank)
        self.beyond = 0
        if self.find_weight is not None and self.shares is not None:
            elsewhere = self.shares.get_elsewhere()
            demand = PoolDemand(self._measure_offer(), usage, elsewhere)
            if not can_all_be_in_time(found, demand, now):
                self.beyond = mark_beyond(found, demand, self.find_weight)
            if self.beyond:
                found.sort(key=Ready.get_rank)
        if self.run_times is not None:
            self.line = found
        return found

    def get_start_lag(self) -> float:
        """Give the smoothed seconds for which orders wait to be stored and sent."""
        return self.run_times.lag_s if self.run_times is not None else 0.0

    def build_outlook(self, now: float) -> Outlook:
        """Tell how long a job waits that comes now, as of the last plan.

        :param now: monotonic seconds.
        """
        if self.run_times is None:
            return Outlook()
        vms = sum(record.is_open(now) for record in self.workers.values())
        room = PoolRoom(vms, self.fleet_vms)
        return measure_outlook(self.line, self.get_capacity(), room, self.run_times)

    def _measure_offer(self) -> Amount:
        """Measure what the workers offer that may run tasks, used or not."""
        offer = NOTHING
        for record in self.workers.values():
            if record.held and record.registered and not record.cordoned:
                entry = record.entry
                offer += Amount(entry.cpu, entry.memory_mb, entry.accelerators)
        return offer

    def _list_ready(self, now: float, wall_ms: float) -> list[Ready]:
        found = []
        for job in self.jobs.values():
            if job.state.final:
                continue
            if job.open_due(wall_ms):
                self.dirty.add(job.submission.job_id)
            for occurrence, number in job.list_ready():
                tasks = [
                    task
                    for task in occurrence.steps[number]
                    if task.phase is TaskPhase.WAITING and now >= task.not_before
                ]
                if tasks:
                    urgency = rate_urgency(job, number, now, self.forecast)
                    found.append(Ready(urgency, job, number, tasks))
        return found

    def _place_tasks(
        self, ready: Ready, room: PlanRoom, now: float
    ) -> t.Iterator[StartOrder]:
        step = ready.job.submission.steps[ready.step]
        advised = ready.job.submission.policy.advised
        if not advised and not step.long_running and room.is_refused(step):
            return
        group = get_group(ready.tasks[0])
        allowed = self._list_allowed(ready, now) if advised else None
        candidates = room.rank(step, group, allowed)
        waiting = False
        for number, task in enumerate(ready.tasks):
            if not self._admits(ready.job, step, 1, len(ready.tasks) - number, now):
                return
            care = task.suspicion.care
            record = candidates.choose(task.failed_on, care)
            if record is None and care is not Care.NONE:
                # others of its step may go where it must not
                if not waiting:
                    self._reserve_for_suspect(room, step, group)
                waiting = True
                continue
            if record is None:
                if step.long_running:
                    self._reserve(step, group)
                if allowed is None:
                    room.note_refused(step)
                return
            yield self._place(ready.job, step, task, record, task.run + 1, now)

    def _list_allowed(self, ready: Ready, now: float) -> t.Collection[str]:
        """List the workers that a queue's policy allows for a step, by their tickets.

        Without valid tickets none is allowed, and the policy service is asked.
        """
        step = ready.job.submission.steps[ready.step]
        group = get_group(ready.tasks[0])
        tickets = self.book.get_tickets(group, now)
        if tickets is not None:
            return tickets.keys()
        fitting = [
            record
            for record in self.workers.values()
            if may_ever_run(record, step, group)
        ]
        fitting.sort(key=lambda record: (not record.has_room(step), record.cpu_used))
        self.book.ask(group, [record.entry.worker_id for record in fitting])
        return ()

    def _reserve(self, step: Step, group: Group) -> None:
        """Keep the worker that will first have room for a serving task or a suspect.

        Otherwise smaller tasks take each bit of room as it comes free.
        """
        fitting = [
            record
            for record in self.workers.values()
            if not record.reserved and may_ever_run(record, step, group)
        ]
        if fitting:
            min(fitting, key=lambda record: record.cpu_used).reserved = True

    def _reserve_for_suspect(self, room: PlanRoom, step: Step, group: Group) -> None:
        """Keep a worker on which nothing was started lately, unless half are kept.

        A busy pool has none: each worker starts something between two reports.
        """
        kept = sum(record.reserved for record in room.records)
        if 2 * kept < len(room.records):
            self._reserve(step, group)

    def _place_gang(self, ready: Ready, now: float) -> list[StartOrder]:
        step = ready.job.submission.steps[ready.step]
        if len(ready.tasks) != step.count:
            return []
        if not self._admits(ready.job, step, step.count, 1, now):
            return []
        chosen: list[tuple[Task, WorkerRecord]] = []
        allowed: t.Iterable[WorkerRecord] = self.workers.values()
        if ready.job.submission.policy.advised:
            tickets = self._list_allowed(ready, now)
            allowed = [item for item in allowed if item.entry.worker_id in tickets]
        cares = {task.suspicion.care for task in ready.tasks}
        care = next(item for item in reversed(Care) if item in cares)
        for task in ready.tasks:
            group = get_group(task)
            record = choose_worker(allowed, step, group, now, care=care)
            if record is None:
                break
            record.reserve(step, group)
            chosen.append((task, record))
        for task, record in chosen:
            record.free(step, get_group(task))
        if len(chosen) != step.count:
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
        deadline_ms = record.clock.estimate(now) + START_WINDOW_MS
        task.place(record.entry.worker_id, now, deadline_ms, run)
        record.reserve(step, get_group(task))
        if self.shares is not None:
            self.shares.take(job.submission.tenant, measure_task(step))
        record.note_start(task.task_id, task.suspicion.care)
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
            self.epoch,
            task.checkpoint if step.checkpointing else "",
            self._get_ticket(job, task, now),
        )

    def _get_ticket(self, job: Job, task: Task, now: float) -> str:
        if not job.submission.policy.advised:
            return ""
        tickets = self.book.get_tickets(get_group(task), now) or {}
        return tickets.get(task.worker_id, "")

    def prepare_start(self, order: StartOrder, now: float) -> StartOrder | None:
        """Give a stored order the deadline of its sending, if it is still wanted.

        :param order: the order, as it was planned.
        :param now: monotonic seconds.
        :returns: the order to send, or ``None`` when the run is not wanted any more.
        """
        job = self.jobs.get(order.task.job_id)
        task = job.find_task(order.task) if job else None
        if job is None or task is None or not task.placed or task.run != order.run:
            return None
        record = self.workers.get(order.worker_id)
        if task.stopping or record is None or record.clock is None:
            # it was never sent, so nothing has to be stopped
            self._release(job, task)
            return None
        deadline_ms = record.clock.estimate(now) + START_WINDOW_MS
        if self.run_times is not None:
            self.run_times.note_start(now - task.started_at)
        task.started_at = now
        task.sent = True
        task.start_deadline_ms = deadline_ms
        record.lease_ms = max(record.lease_ms, deadline_ms)
        return attrs.evolve(order, deadline_ms=deadline_ms)
