"""The jobs and workers of one shard, and what to start and stop next.

Pure state: the daemon feeds it rows, reports and replies, asks for a plan, stores
what changed, and only then sends the orders.
"""

import typing as t

import attrs
import structlog

from ..pools.messages import PoolReport
from ..pools.messages import WorkerLoad
from .job import Job
from .job import Task
from .job import TaskPhase
from .messages import EndedTask
from .messages import EndKind
from .messages import JobState
from .messages import RunningTask
from .messages import Step
from .messages import TaskId
from .messages import WorkerEntry
from .messages import WorkerState
from .placing import WorkerRecord
from .placing import choose_worker
from .placing import may_ever_run
from .priorities import Urgency
from .priorities import rate_urgency
from .workers import MS
from .workers import HoldReport
from .workers import Reply
from .workers import ReplyKind
from .workers import StartOrder
from .workers import StopOrder
from .workers import WorkerClock

START_WINDOW_MS = 1_000.0
"""How long an order to start stays valid; a lost one is settled after that."""
STOP_RESEND_S = 0.5
STRIKES = 2
"""First failures without a success between them that block a worker."""
STRIKE_BLOCK_S = 4.0
"""Workers that fail what they start did so for 6 s in the site's examples."""
REFUSAL_BLOCK_S = 0.3
RETRY_PAUSE_S = 0.05
ORPHAN_WAIT_S = 13.0
"""An earlier owner without the store stops extending leases after 8 s, and the
last lease that it gave lasts 5 s."""

_LOG = structlog.get_logger()

Group = tuple[str, int, int]


@attrs.define(slots=True)
class Ready:
    """Tasks of one step that may start.

    :param urgency: sort key.
    :param job: their job.
    :param step: number of the step.
    :param tasks: the waiting tasks.
    """

    urgency: Urgency
    job: Job
    step: int
    tasks: list[Task]


def is_at_work(task: Task) -> bool:
    """Tell whether a serving task was reported at work and is to stay so."""
    return task.phase is TaskPhase.RUNNING and task.percent >= 100 and not task.stopping


def _list_wanting(job: Job) -> t.Iterator[Task]:
    """Yield tasks that run, or that could run now."""
    if job.state.final:
        return
    for occurrence, number in job.list_ready():
        for task in occurrence.steps[number]:
            if task.phase is not TaskPhase.DONE:
                yield task


def measure_share(step: Step, capacity: tuple[int, int]) -> float:
    """Measure which part of a worker a task takes.

    :param step: its step.
    :param capacity: cores in thousandths and MB of a worker.
    """
    cpu, memory_mb = capacity
    if not cpu or not memory_mb:
        return 0.0
    share = 0.0 if step.fills else step.cpu / cpu
    return max(share, step.memory_mb / memory_mb)


def get_group(task: Task) -> Group:
    """Give job, occurrence and step of a task."""
    task_id = task.task_id
    return (task_id.job_id, task_id.occurrence, task_id.step)


@attrs.define
class Shard:
    """State of one shard under its owner.

    :param service: pool whose workers it uses.
    :param epoch: fencing token of the owner.
    :param claimed_at: monotonic seconds when the owner took it over.
    """

    service: str
    epoch: int
    claimed_at: float
    jobs: dict[str, Job] = attrs.field(factory=dict)
    final: dict[str, JobState] = attrs.field(factory=dict)
    ended_at: dict[str, float] = attrs.field(factory=dict)
    workers: dict[str, WorkerRecord] = attrs.field(factory=dict)
    dirty: set[str] = attrs.field(factory=set)
    early_cancels: set[str] = attrs.field(factory=set)
    cordons: t.Mapping[str, str] = attrs.field(factory=dict)
    due: frozenset[str] = frozenset()
    arrived_jobs: int = 0
    strays: dict[tuple[str, TaskId, int], StopOrder] = attrs.field(factory=dict)

    # jobs

    def add_job(self, job: Job, now: float, wall_ms: float) -> None:
        """Take in a job that was stored.

        :param job: the job, restored or new.
        :param now: monotonic seconds.
        :param wall_ms: wall-clock milliseconds since 1970.
        """
        job_id = job.submission.job_id
        if job_id in self.jobs or job_id in self.final:
            return
        if job.state.final:
            self._settle(job_id, job.state, now)
            return
        age_s = max(0.0, (wall_ms - job.submission.accepted_ms) / MS)
        job.seen_at = now - min(age_s, now)
        self.jobs[job_id] = job
        if job.stored_state is None:
            self.dirty.add(job_id)
            self.arrived_jobs += 1
        for task in job.list_placed():
            record = self._find_record(task.worker_id)
            record.reserve(job.get_step(task), get_group(task))
        if job_id in self.early_cancels:
            self.cancel(job_id)

    def cancel(self, job_id: str) -> None:
        """Take in that a caller cancelled a job.

        :param job_id: id of the job.
        """
        job = self.jobs.get(job_id)
        if job is None:
            if job_id not in self.final:
                self.early_cancels.add(job_id)
            return
        self.early_cancels.discard(job_id)
        if not job.state.final:
            self._finish(job, JobState.CANCELLED)

    def _finish(self, job: Job, state: JobState) -> None:
        job.state = state
        self.dirty.add(job.submission.job_id)
        for task in job.list_placed():
            task.stopping = True

    def _settle(self, job_id: str, state: JobState, now: float) -> None:
        self.final[job_id] = state
        self.ended_at[job_id] = now
        self.jobs.pop(job_id, None)

    def mark_stored(self, job_id: str, state: JobState, now: float) -> None:
        """Record that a job's progress is in the store.

        :param job_id: id of the job.
        :param state: the state that was written.
        :param now: monotonic seconds.
        """
        job = self.jobs.get(job_id)
        if job is None:
            return
        job.stored_state = state
        if state.final and not any(job.list_placed()):
            self._settle(job_id, state, now)

    def get_state(self, job_id: str) -> JobState | None:
        """Give the stored state of a job, ``None`` when it is not known here."""
        if job_id in self.final:
            return self.final[job_id]
        job = self.jobs.get(job_id)
        if job is None:
            return None
        return job.stored_state or JobState.QUEUED

    def count_waiting(self) -> dict[str, int]:
        """Count jobs of which nothing has started, by queue."""
        counts: dict[str, int] = {}
        for job in self.jobs.values():
            if job.state is JobState.QUEUED:
                queue = job.submission.policy.queue
                counts[queue] = counts.get(queue, 0) + 1
        return counts

    def list_expired(self, now: float, retention_s: float) -> list[str]:
        """List jobs whose final state has been readable for long enough."""
        expired = []
        for job_id, ended in self.ended_at.items():
            if now - ended < retention_s:
                break
            expired.append(job_id)
        return expired

    def forget_jobs(self, job_ids: t.Iterable[str]) -> None:
        """Drop jobs whose rows were removed."""
        for job_id in job_ids:
            self.final.pop(job_id, None)
            self.ended_at.pop(job_id, None)
            self.early_cancels.discard(job_id)

    # workers

    def observe_worker(self, entry: WorkerEntry, now: float) -> WorkerRecord:
        """Take in a registration.

        :param entry: the registration.
        :param now: monotonic seconds.
        """
        record = self.workers.get(entry.worker_id)
        if record is None:
            record = WorkerRecord(entry)
            self.workers[entry.worker_id] = record
        record.entry = entry
        record.registered = True
        record.cordoned = entry.worker_id in self.cordons
        record.due = entry.worker_id in self.due
        if record.clock is None:
            record.clock = WorkerClock(entry.clock_ms, now)
        return record

    def set_cordons(
        self, cordons: t.Mapping[str, str], due: frozenset[str] = frozenset()
    ) -> None:
        """Take in which workers are to be emptied.

        :param cordons: workers to be emptied now, with the reason.
        :param due: workers whose VMs are due for maintenance.
        """
        self.cordons, self.due = cordons, due
        for worker_id, record in self.workers.items():
            record.cordoned = worker_id in cordons
            record.due = worker_id in due

    def get_capacity(self) -> tuple[int, int]:
        """Give cores in thousandths and MB of the largest worker seen."""
        return max(
            ((item.entry.cpu, item.entry.memory_mb) for item in self.workers.values()),
            default=(0, 0),
        )

    def build_report(self, now: float) -> PoolReport:
        """Report the load for the holder of the fleet duty.

        :param now: monotonic seconds.
        """
        capacity = self.get_capacity()
        sums = {"queued": 0.0, "batch": 0.0, "serving": 0.0}
        serving: dict[str, int] = {}
        for job in self.jobs.values():
            for task in _list_wanting(job):
                step = job.get_step(task)
                kind = "serving" if step.long_running else "batch"
                if step.long_running and task.placed:
                    serving[task.worker_id] = serving.get(task.worker_id, 0) + 1
                if not task.placed and not step.long_running:
                    kind = "queued"
                sums[kind] += measure_share(step, capacity)
        workers = {
            worker_id: WorkerLoad(
                record.count_present(), serving.get(worker_id, 0), record.cpu_used
            )
            for worker_id, record in self.workers.items()
            if record.registered
        }
        emptied = {
            worker_id: self.cordons[worker_id]
            for worker_id, record in self.workers.items()
            if record.cordoned and record.held and not record.present
        }
        return PoolReport(
            self.service,
            workers,
            emptied,
            **{name: round(value, 3) for name, value in sums.items()},
            arrived_jobs=self.arrived_jobs,
            epoch=self.epoch,
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
            task.stopping = True
            away += 1
            _LOG.info(
                "serving task evicted",
                task=str(task.task_id),
                worker=task.worker_id,
                away=away,
                budget=budget,
            )

    def miss_worker(self, worker_id: str) -> None:
        """Take in that a registration is gone; the worker may still run on."""
        record = self.workers.get(worker_id)
        if record is not None:
            record.registered = False

    def end_worker(self, worker_id: str, reason: str) -> None:
        """Take in that a life of a worker is over and nothing runs there.

        :param worker_id: the worker.
        :param reason: what shows it, for the log.
        """
        record = self.workers.get(worker_id)
        if record is None or record.gone:
            return
        record.gone = True
        freed = self._free_worker(record)
        _LOG.info(
            "worker ended",
            worker=worker_id,
            service=self.service,
            reason=reason,
            freed=freed,
        )
        del self.workers[worker_id]

    def list_silent(self) -> list[WorkerRecord]:
        """List workers that give no answer, or whose registration is gone."""
        return [
            record
            for record in self.workers.values()
            if record.failing_since is not None or not record.registered
        ]

    def apply_live_workers(self, live: t.Collection[str], sent_at: float) -> None:
        """Take in which workers are alive by the platform's list of VMs.

        :param live: workers of VMs that are up.
        :param sent_at: monotonic seconds when the list was asked for.
        """
        for record in self.list_silent():
            silent_since = record.failing_since or self.claimed_at
            if record.entry.worker_id not in live and sent_at > silent_since:
                self.end_worker(record.entry.worker_id, "its VM is down or reborn")

    def expire_workers(self, now: float) -> None:
        """Release the runs of silent workers whose lease is certainly over."""
        for record in list(self.workers.values()):
            if record.failing_since is None and record.registered:
                continue
            if not self._is_lease_over(record, now):
                continue
            if not record.registered:
                self.end_worker(record.entry.worker_id, "silent, lease over")
            elif record.present:
                freed = self._free_worker(record)
                _LOG.info(
                    "lease over",
                    worker=record.entry.worker_id,
                    service=self.service,
                    freed=freed,
                    silent_s=now - (record.failing_since or now),
                )

    def _is_lease_over(self, record: WorkerRecord, now: float) -> bool:
        if not record.held and now < self.claimed_at + ORPHAN_WAIT_S:
            return False
        if record.clock is None:
            return True
        return record.clock.bound_low(now) > record.lease_ms

    def _free_worker(self, record: WorkerRecord) -> int:
        freed = 0
        for job in list(self.jobs.values()):
            for task in list(job.list_placed()):
                if task.worker_id == record.entry.worker_id:
                    self._release(job, task)
                    freed += 1
        return freed

    def _find_record(self, worker_id: str) -> WorkerRecord:
        record = self.workers.get(worker_id)
        if record is None:
            # a run may be on a worker that is no longer registered
            entry = WorkerEntry(
                worker_id, self.service, "", "", WorkerState.DRAINING, 0, 0, 0, (), 0
            )
            record = WorkerRecord(entry, registered=False)
            self.workers[worker_id] = record
        return record

    def _release(self, job: Job, task: Task) -> None:
        record = self.workers.get(task.worker_id)
        if record is not None:
            record.free(job.get_step(task), get_group(task))
        task.release()
        self.dirty.add(job.submission.job_id)

    # reports and replies

    def apply_report(
        self, worker_id: str, report: HoldReport, sent_at: float, now: float
    ) -> None:
        """Take in what a worker runs and what has ended there.

        :param worker_id: the worker.
        :param report: its lists.
        :param sent_at: monotonic seconds when the hold was sent.
        :param now: monotonic seconds.
        """
        record = self.workers.get(worker_id)
        if record is None or record.clock is None:
            return
        record.clock.observe(report.clock_ms, now)
        record.held = True
        record.failing_since = None
        for end in report.ended:
            if end.sequence > record.seen:
                record.seen = end.sequence
                self._apply_end(record, end, now)
        listed = {(item.task, item.run) for item in report.running}
        ended = {(item.task, item.run) for item in report.ended}
        for item in report.running:
            self._apply_running(record, item, now)
        self._find_missing(record, listed | ended, sent_at)

    def _apply_running(
        self, record: WorkerRecord, item: RunningTask, now: float
    ) -> None:
        job = self.jobs.get(item.task.job_id)
        task = job.find_task(item.task) if job else None
        worker_id = record.entry.worker_id
        if (
            task is None
            or not task.placed
            or (task.run, task.worker_id) != (item.run, worker_id)
        ):
            key = (worker_id, item.task, item.run)
            if key not in self.strays:
                _LOG.info(
                    "stop of an unexpected run",
                    task=str(item.task),
                    run=item.run,
                    worker=worker_id,
                    service=self.service,
                )
            self.strays[key] = self._order_stop(record, item.task, item.run)
            return
        task.confirm(now)
        task.percent = item.percent
        task.figure = item.figure
        if item.checkpoint:
            task.checkpoint = item.checkpoint

    def _apply_end(self, record: WorkerRecord, end: EndedTask, now: float) -> None:
        worker_id = record.entry.worker_id
        self.strays.pop((worker_id, end.task, end.run), None)
        job = self.jobs.get(end.task.job_id)
        task = job.find_task(end.task) if job else None
        if job is None or task is None or not task.placed:
            return
        if (task.run, task.worker_id) != (end.run, worker_id):
            return
        self._judge_worker(record, task, end.kind, now)
        _LOG.info(
            "task ended",
            task=str(end.task),
            run=end.run,
            worker=worker_id,
            kind=end.kind.value,
            took_s=now - task.started_at,
            failures=task.failures,
        )
        step = job.get_step(task)
        members = self._list_members(job, task)
        for member in members:
            holder = self.workers.get(member.worker_id)
            if not member.placed or holder is None:
                continue
            if end.kind is EndKind.DONE or member is task:
                holder.free(step, get_group(member))
        if job.state.final:
            task.release()
        else:
            job.apply_end(task, end)
            if job.state is JobState.FAILED:
                _LOG.info("job failed", job=end.task.job_id, failures=task.failures)
                self._finish(job, JobState.FAILED)
        task.not_before = now + RETRY_PAUSE_S if end.kind is EndKind.FAILED else 0.0
        if job.stored_state is not None and job.stored_state.final:
            self.mark_stored(end.task.job_id, job.stored_state, now)
        else:
            self.dirty.add(end.task.job_id)

    @staticmethod
    def _list_members(job: Job, task: Task) -> list[Task]:
        step = job.get_step(task)
        if not step.gang:
            return [task]
        occurrence = job.occurrences[task.task_id.occurrence]
        return occurrence.steps[task.task_id.step]

    def _judge_worker(
        self, record: WorkerRecord, task: Task, kind: EndKind, now: float
    ) -> None:
        if kind is EndKind.DONE:
            record.strikes = 0
        elif kind is EndKind.FAILED and not task.failures:
            record.strikes += 1
            if record.strikes >= STRIKES:
                record.blocked_until = now + STRIKE_BLOCK_S
                _LOG.info(
                    "worker blocked",
                    worker=record.entry.worker_id,
                    service=self.service,
                    strikes=record.strikes,
                    for_s=STRIKE_BLOCK_S,
                )

    def _find_missing(
        self,
        record: WorkerRecord,
        listed: set[tuple[TaskId, int]],
        sent_at: float,
    ) -> None:
        assert record.clock is not None
        clock_low = record.clock.bound_low(sent_at)
        for group in list(record.present):
            job = self.jobs.get(group[0])
            if job is None:
                continue
            occurrence = job.occurrences.get(group[1])
            for task in occurrence.steps[group[2]] if occurrence else ():
                if task.worker_id != record.entry.worker_id or not task.placed:
                    continue
                if (task.task_id, task.run) in listed:
                    continue
                if self._is_surely_absent(task, sent_at, clock_low):
                    _LOG.info(
                        "run is not there",
                        task=str(task.task_id),
                        run=task.run,
                        worker=record.entry.worker_id,
                        phase=task.phase.name,
                    )
                    self._release(job, task)

    def _is_surely_absent(self, task: Task, sent_at: float, clock_low: float) -> bool:
        if task.confirmed_at is not None:
            return sent_at > task.confirmed_at
        if task.started_at == 0.0:
            # an earlier owner's order: the hold under our epoch fenced it off
            return True
        return clock_low > task.start_deadline_ms

    def apply_failure(self, worker_id: str, reply: Reply, now: float) -> None:
        """Take in that a hold got no report.

        :param worker_id: the worker.
        :param reply: what came instead.
        :param now: monotonic seconds.
        """
        record = self.workers.get(worker_id)
        if record is None:
            return
        if reply.kind is ReplyKind.OTHER_LIFE:
            self.end_worker(worker_id, "another life at its address")
            return
        if record.failing_since is None:
            record.failing_since = now
            _LOG.info(
                "worker silent",
                worker=worker_id,
                service=self.service,
                reason=f"{reply.kind.value}: {reply.detail}",
            )

    def apply_start_reply(self, order: StartOrder, reply: Reply, now: float) -> None:
        """Take in what became of an order to start.

        :param order: the order.
        :param reply: the worker's reply.
        :param now: monotonic seconds.
        """
        job = self.jobs.get(order.task.job_id)
        task = job.find_task(order.task) if job else None
        record = self.workers.get(order.worker_id)
        if record is not None and record.clock and reply.clock_ms is not None:
            record.clock.observe(reply.clock_ms, now)
        if job is None or task is None or not task.placed:
            return
        if (task.run, task.worker_id) != (order.run, order.worker_id):
            return
        if reply.kind is ReplyKind.DONE:
            task.confirm(now)
            return
        _LOG.info(
            "start not done",
            task=str(order.task),
            run=order.run,
            worker=order.worker_id,
            reason=f"{reply.kind.value}: {reply.detail}",
        )
        if reply.kind is ReplyKind.NO_ANSWER:
            return
        if record is not None and reply.kind in _BLOCKING:
            record.blocked_until = max(record.blocked_until, now + REFUSAL_BLOCK_S)
        self._release(job, task)
        task.not_before = now + RETRY_PAUSE_S

    # decisions

    def plan(self, now: float, wall_ms: float) -> list[StartOrder]:
        """Choose what to start; records each choice as an intent.

        :param now: monotonic seconds.
        :param wall_ms: wall-clock milliseconds since 1970.
        :returns: orders to send once the intents are stored.
        """
        orders: list[StartOrder] = []
        self.evict_serving(now)
        for record in self.workers.values():
            record.reserved = False
        for ready in self._list_ready(now, wall_ms):
            if ready.job.submission.steps[ready.step].gang:
                placed = self._place_gang(ready, now)
            else:
                placed = list(self._place_tasks(ready, now))
            if placed:
                self._log_placing(ready, placed, now)
            orders += placed
        return orders

    def _log_placing(
        self, ready: Ready, placed: t.Sequence[StartOrder], now: float
    ) -> None:
        clocks = [self.workers[order.worker_id].clock for order in placed]
        ages_s = [now - clock.read_at for clock in clocks if clock is not None]
        _LOG.info(
            "tasks placed",
            job=ready.job.submission.job_id,
            step=ready.step,
            placed=len(placed),
            wanted=len(ready.tasks),
            workers=sorted({order.worker_id for order in placed}),
            late=ready.urgency.late,
            waited_s=round(now - ready.job.seen_at, 3),
            report_age_s=round(max(ages_s, default=0.0), 3),
            epoch=self.epoch,
        )

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
                    urgency = rate_urgency(job, number, now)
                    found.append(Ready(urgency, job, number, tasks))
        found.sort(key=lambda ready: ready.urgency)
        return found

    def _place_tasks(self, ready: Ready, now: float) -> t.Iterator[StartOrder]:
        step = ready.job.submission.steps[ready.step]
        for task in ready.tasks:
            record = choose_worker(
                self.workers.values(), step, get_group(task), now, task.failed_on
            )
            if record is None:
                if step.long_running:
                    self._reserve(step, get_group(task))
                return
            yield self._place(ready.job, step, task, record, task.run + 1, now)

    def _reserve(self, step: Step, group: Group) -> None:
        """Keep the worker that will first have room for a serving task.

        Otherwise smaller tasks take each bit of room as it comes free.
        """
        fitting = [
            record
            for record in self.workers.values()
            if not record.reserved and may_ever_run(record, step, group)
        ]
        if fitting:
            min(fitting, key=lambda record: record.cpu_used).reserved = True

    def _place_gang(self, ready: Ready, now: float) -> list[StartOrder]:
        step = ready.job.submission.steps[ready.step]
        if len(ready.tasks) != step.count:
            return []
        chosen: list[tuple[Task, WorkerRecord]] = []
        for task in ready.tasks:
            group = get_group(task)
            record = choose_worker(self.workers.values(), step, group, now)
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
        deadline_ms = record.clock.estimate(now) + START_WINDOW_MS
        task.place(record.entry.worker_id, now, deadline_ms, run)
        record.reserve(step, get_group(task))
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
        )

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
        task.started_at = now
        task.start_deadline_ms = deadline_ms
        record.lease_ms = max(record.lease_ms, deadline_ms)
        return attrs.evolve(order, deadline_ms=deadline_ms)

    def _order_stop(self, record: WorkerRecord, task: TaskId, run: int) -> StopOrder:
        entry = record.entry
        return StopOrder(entry.worker_id, entry.address, task, run, self.epoch)

    def list_stops(self, now: float) -> list[StopOrder]:
        """List the orders to stop that are due, again where no end came."""
        orders = []
        for job in self.jobs.values():
            for task in job.list_placed():
                if not task.stopping or now - task.stop_sent_at < STOP_RESEND_S:
                    continue
                record = self.workers.get(task.worker_id)
                if record is not None and record.registered:
                    task.stop_sent_at = now
                    orders.append(self._order_stop(record, task.task_id, task.run))
        orders += self.strays.values()
        self.strays.clear()
        return orders

    def find_next_due(self, wall_ms: float) -> float:
        """Give milliseconds until the next occurrence is due, or a large number."""
        waits = [
            job.get_due_ms() - wall_ms
            for job in self.jobs.values()
            if job.submission.times and job.next_occurrence < job.wanted_occurrences
        ]
        return min(waits, default=3_600_000.0)


_BLOCKING = (ReplyKind.NO_ROOM, ReplyKind.UNHEALTHY, ReplyKind.NOT_SENT)
