"""What workers report and reply, taken into a shard."""

import typing as t

import attrs
import structlog

from .crashes import NO_SUSPICION
from .crashes import PROOF_MS
from .crashes import SETTLED_MS
from .job import Job
from .job import Task
from .lives import LifeSign
from .messages import EndedTask
from .messages import EndKind
from .messages import JobState
from .messages import RunningTask
from .messages import TaskId
from .placing import WorkerRecord
from .progress import RESTORE_S
from .progress import Progress
from .shard_jobs import get_group
from .shard_workers import ShardWorkers
from .stragglers import MOST_MOVES
from .stragglers import Pace
from .stragglers import choose_block
from .stragglers import judge_pace
from .stragglers import measure_ratio
from .workers import MS
from .workers import HoldReport
from .workers import Reply
from .workers import ReplyKind
from .workers import StartOrder
from .workers import WorkerClock

STRIKES = 2
"""First failures without a success between them that block a worker; one alone is
mostly the fault of its job."""
STRIKE_BLOCK_S = 4.0
"""Workers that fail what they start did so for 6 s in the site's examples."""
REFUSAL_BLOCK_S = 0.3
"""A refusing worker is asked again about as often as it reports."""
RETRY_PAUSE_S = 0.05
"""A failed task waits for the reports of other workers before it is placed again."""

_LOG = structlog.get_logger()

_BLOCKING = (ReplyKind.NO_ROOM, ReplyKind.UNHEALTHY, ReplyKind.NOT_SENT)


@attrs.define
class ShardReports(ShardWorkers):
    """Reports and replies of one shard's workers."""

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
        if record is None:
            return
        if self._take_life(record, report.born, now) is not LifeSign.SAME:
            # a later life is asked again, as one of which nothing is known
            return
        if record.clock is None:
            record.clock = WorkerClock(report.clock_ms, now)
        record.clock.observe(report.clock_ms, now)
        record.heard_ms = max(record.heard_ms, report.clock_ms)
        record.held = True
        record.failing_since = None
        for end in report.ended:
            if end.sequence > record.seen:
                record.seen = end.sequence
                if self._apply_end(record, end, now) and end.kind is EndKind.DONE:
                    self.done.setdefault(worker_id, []).append(str(end.task))
        listed = {(item.task, item.run) for item in report.running}
        ended = {(item.task, item.run) for item in report.ended}
        for item in report.running:
            self._apply_running(record, item, report.clock_ms, now)
        self._judge_pace(record, report, now)
        self._find_missing(record, listed | ended, sent_at)

    def _apply_running(
        self, record: WorkerRecord, item: RunningTask, clock_ms: float, now: float
    ) -> None:
        job = self.jobs.get(item.task.job_id)
        task = job.find_task(item.task) if job else None
        worker_id = record.entry.worker_id
        if (
            job is None
            or task is None
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
        job.started = True
        task.list_again(now, clock_ms)
        self._note_proof(record, task)
        self._note_progress(job, task, item, now)
        task.percent = item.percent
        task.figure = item.figure
        if item.checkpoint:
            task.checkpoint = item.checkpoint

    @staticmethod
    def _note_proof(record: WorkerRecord, task: Task) -> None:
        if task.task_id in record.unproved and task.listed_ms >= PROOF_MS:
            record.prove(task.task_id, task.suspicion.care)
        if task.task_id in record.unsettled and task.listed_ms >= SETTLED_MS:
            task.suspicion = NO_SUSPICION
            record.settle(task.task_id)

    @staticmethod
    def _note_progress(job: Job, task: Task, item: RunningTask, now: float) -> None:
        step = job.get_step(task)
        if step.long_running or step.gang:
            return
        if task.progress is None:
            restore_s = RESTORE_S if task.checkpoint else 0.0
            task.progress = Progress(now + restore_s, item.percent)
        else:
            task.progress.observe(item.percent, step.estimate_ms, now)

    def _judge_pace(self, record: WorkerRecord, report: HoldReport, now: float) -> None:
        """Find out whether a worker stands still; its tasks are then moved."""
        judged = list(self._list_judged(report))
        speeds = [progress.speed or 0.0 for _, _, progress in judged]
        compared = [
            measure_ratio(task, job.list_siblings(task)) for job, task, _ in judged
        ]
        ratios = [ratio for ratio in compared if ratio is not None]
        pace = judge_pace(speeds, ratios)
        if pace is Pace.SOUND:
            record.findings = 0
        if pace not in (Pace.SLOW, Pace.STANDING):
            return
        if now >= record.blocked_until:
            record.blocked_until = now + choose_block(record.findings)
            record.findings += 1
        record.leaving = [task for _, task, _ in judged if task.moves < MOST_MOVES]
        _LOG.info(
            "worker slow",
            worker=record.entry.worker_id,
            service=self.service,
            pace=pace.value,
            speeds=[round(speed, 2) for speed in speeds],
            ratios=[round(ratio, 2) for ratio in ratios],
            moving=len(record.leaving),
        )

    def _list_judged(
        self, report: HoldReport
    ) -> t.Iterator[tuple[Job, Task, Progress]]:
        """Yield the runs of a report whose speed is known."""
        for item in report.running:
            job = self.jobs.get(item.task.job_id)
            task = job.find_task(item.task) if job else None
            if job is None or task is None or task.run != item.run or task.stopping:
                continue
            if task.progress is not None and task.progress.speed is not None:
                yield job, task, task.progress

    def _apply_end(self, record: WorkerRecord, end: EndedTask, now: float) -> bool:
        """Take in an end; returns whether it was that of a current run."""
        worker_id = record.entry.worker_id
        self.strays.pop((worker_id, end.task, end.run), None)
        job = self.jobs.get(end.task.job_id)
        task = job.find_task(end.task) if job else None
        if job is None or task is None or not task.placed:
            return False
        if (task.run, task.worker_id) != (end.run, worker_id):
            return False
        self._judge_worker(record, task, end.kind, now)
        self._note_run_time(job, task, end.kind, now)
        if end.kind is not EndKind.DONE:
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
                holder.settle(member.task_id)
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
        return True

    def _note_run_time(self, job: Job, task: Task, kind: EndKind, now: float) -> None:
        step = job.get_step(task)
        whole = kind is EndKind.DONE and not step.long_running and not step.gang
        # what resumed, or was started by an earlier owner, did not run in full here
        if self.run_times is None or not whole or task.checkpoint:
            return
        if task.started_at:
            took_ms = (now - task.started_at) * MS
            queue = job.submission.policy.queue
            self.run_times.note_end(queue, step.estimate_ms, took_ms)

    @staticmethod
    def _list_members(job: Job, task: Task) -> list[Task]:
        return job.list_siblings(task) if job.get_step(task).gang else [task]

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
        if task.barred_at is not None:
            return sent_at > task.barred_at
        if task.confirmed_at is not None:
            return sent_at > task.confirmed_at
        if task.started_at == 0.0:
            # an earlier owner's order: the hold under our epoch fenced it off
            return True
        if not task.sent:
            # its intent is still being stored; a slow store takes longer than a report
            return False
        return clock_low > task.start_deadline_ms

    def log_done(self) -> None:
        """Log what has ended as done since the last time, in one line.

        A line for each report would be most of the log of a busy owner.
        """
        if not self.done:
            return
        _LOG.info(
            "tasks done",
            service=self.service,
            workers=list(self.done),
            tasks=[task for tasks in self.done.values() for task in tasks],
        )
        self.done.clear()

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
            self.end_worker(worker_id, "another life at its address", now)
            return
        if record.failing_since is None:
            record.failing_since = now
            _LOG.info(
                "worker silent",
                worker=worker_id,
                service=self.service,
                reason=f"{reply.kind.value}: {reply.detail}",
                registered=record.registered,
                cordoned=record.cordoned,
                placed=record.count_present(),
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
            record.heard_ms = max(record.heard_ms, reply.clock_ms)
        if job is None or task is None or not task.placed:
            return
        if (task.run, task.worker_id) != (order.run, order.worker_id):
            return
        if reply.kind is ReplyKind.DONE:
            job.started = True
            task.confirm(now, reply.clock_ms)
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
        if reply.kind is ReplyKind.NO_TICKET:
            self.book.drop(get_group(task))
        if record is not None and reply.kind in _BLOCKING:
            record.blocked_until = max(record.blocked_until, now + REFUSAL_BLOCK_S)
        self._release(job, task)
        task.not_before = now + RETRY_PAUSE_S
