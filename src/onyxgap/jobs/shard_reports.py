"""Applies the reports and replies of workers to the state of a shard."""

import typing as t

import attrs
import structlog

from .call_timeouts import MAX_INCONCLUSIVE
from .crashes import CRASH_WINDOW_MS
from .crashes import NO_LOSSES
from .crashes import START_CRASH_WINDOW_MS
from .deliveries import note_delivery
from .departures import choose_log
from .job import Job
from .job import Task
from .lives import IncarnationMatch
from .lives import OrderedRun
from .messages import EndedTask
from .messages import EndKind
from .messages import RunningTask
from .messages import TaskId
from .placing import WorkerRecord
from .progress import RESTORE_S
from .progress import Progress
from .shard_ends import RETRY_PAUSE_S
from .shard_ends import ShardEnds
from .shard_jobs import get_step_key
from .stragglers import MAX_MOVES
from .stragglers import SpeedClass
from .stragglers import classify_speed
from .stragglers import get_ejection_time
from .stragglers import get_relative_speed
from .workers import MS_PER_S
from .workers import HoldOrder
from .workers import HoldReport
from .workers import Reply
from .workers import ReplyKind
from .workers import StartOrder
from .workers import WorkerClock

REFUSAL_BLOCK_S = 0.3
"""How long a worker that refused a start gets no new tasks: it is tried again about as
often as it reports."""
MAX_REPORTED_ENDS = 500
"""Most ended runs in one report, as published by the platform; the next ones follow
once these are acknowledged."""

_LOG = structlog.get_logger()


_BLOCKING = (
    ReplyKind.NO_ROOM,
    ReplyKind.UNHEALTHY,
    ReplyKind.NOT_SENT,
    ReplyKind.OTHER_INCARNATION,
)


@attrs.define
class ShardReports(ShardEnds):
    """Applies the reports and replies of one shard's workers.

    :param unseen_ends: ends that workers forgot before they had reported them.
    """

    unseen_ends: int = 0

    def apply_report(
        self,
        worker_id: str,
        report: HoldReport,
        sent_at: float,
        now: float,
        token: int | None = None,
    ) -> bool:
        """Apply a worker's report of its running and ended runs.

        :param worker_id: the worker.
        :param report: the report.
        :param sent_at: monotonic seconds when the hold request was sent.
        :param now: monotonic seconds.
        :param token: fencing token of the hold request, ``None`` for the newest.
        :returns: whether the worker may be asked again at once.
        """
        record = self.workers.get(worker_id)
        if record is None:
            return False
        record.alive_at = max(record.alive_at, now)
        match = self._update_incarnation(record, report.born, now)
        if match is IncarnationMatch.FORMER:
            self._accept_earlier_start(record, report.born, sent_at, now)
        if match is not IncarnationMatch.SAME:
            # a newer incarnation starts with an empty record and is asked again
            return match is IncarnationMatch.LATER
        if record.clock is None:
            record.clock = WorkerClock(report.clock_ms, now)
        record.clock.observe(report.clock_ms, now)
        record.last_clock_ms = max(record.last_clock_ms, report.clock_ms)
        if not record.held:
            self._inherit_lease(record, report.clock_ms, now)
        record.held = True
        is_newest = token is None or token >= self.get_token(record)
        if is_newest and not record.fenced_off:
            record.fenced_off = True
            self._fence_off_former_calls(record, now)
        record.failing_since = None
        record.inconclusive = 0
        record.unanswered_since = None
        self._forget_lapses(record)
        self.departures.note_answer(worker_id)
        record.answered_at = max(record.answered_at, sent_at)
        self._log_unseen_ends(record, report.ended)
        for end in report.ended:
            if end.sequence > record.processed_sequence:
                record.processed_sequence = end.sequence
                if self._apply_end(record, end, now) and end.kind is EndKind.DONE:
                    self.unlogged_done.setdefault(worker_id, []).append(str(end.task))
        listed = {(item.task, item.run) for item in report.running}
        ended = {(item.task, item.run) for item in report.ended}
        for item in report.running:
            self._apply_running(record, item, report, now)
        self._check_worker_speed(record, report, now)
        if len(report.ended) < MAX_REPORTED_ENDS:
            # otherwise, a run that is not listed may have ended, too
            self._release_missing_runs(record, listed | ended, sent_at)
        return True

    def apply_fencing_report(
        self, call: HoldOrder, report: HoldReport, sent_at: float, now: float
    ) -> bool:
        """Apply the answer of a removed worker to a fencing call.

        :param call: the call.
        :param report: the answer.
        :param sent_at: monotonic seconds when the call was sent.
        :param now: monotonic seconds.
        :returns: whether the next incarnation of the worker was added.
        """
        if not self._adopt_next_incarnation(call.worker_id, report.born, now):
            return False
        self.apply_report(call.worker_id, report, sent_at, now)
        return True

    def _log_unseen_ends(
        self, record: WorkerRecord, ended: t.Sequence[EndedTask]
    ) -> None:
        """Log a gap in the sequence numbers of the ends that a worker reports.

        A worker forgets the ends that are acknowledged, also if that was meant for its
        former incarnation.
        """
        newest = record.processed_sequence
        if not newest and not record.replaces_incarnation:
            # former owners have acknowledged ends
            return
        unseen = [end.sequence for end in ended if end.sequence > newest]
        if unseen and unseen[0] > newest + 1:
            self.unseen_ends += unseen[0] - newest - 1
            _LOG.warning(
                "ends never reported",
                worker=record.entry.worker_id,
                service=self.service,
                born=record.born,
                after=newest,
                before=unseen[0],
            )

    def _apply_running(
        self, record: WorkerRecord, item: RunningTask, report: HoldReport, now: float
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
            if key not in self.unexpected_runs:
                _LOG.info(
                    "stopping unexpected run",
                    task=str(item.task),
                    run=item.run,
                    worker=worker_id,
                    service=self.service,
                )
            self.unexpected_runs[key] = self._build_stop_order(
                record, item.task, item.run
            )
            return
        job.started = True
        job.active_at = job.ran_at = now
        task.note_listed(now, report.clock_ms, report.born)
        self._update_crash_windows(record, task)
        self._record_progress(job, task, item, report.clock_ms / MS_PER_S)
        task.percent = item.percent
        task.measurement = item.measurement
        if item.checkpoint:
            task.checkpoint = item.checkpoint

    def _update_crash_windows(self, record: WorkerRecord, task: Task) -> None:
        if (
            task.task_id in record.in_start_crash_window
            and task.listed_ms >= START_CRASH_WINDOW_MS
        ):
            record.end_start_crash_window(task.task_id, task.loss_history.isolation)
        if task.task_id in record.in_crash_window and task.listed_ms >= CRASH_WINDOW_MS:
            task.loss_history = NO_LOSSES
            self.crashes.clear_task(task.task_id)
            record.end_crash_window(task.task_id)

    @staticmethod
    def _record_progress(
        job: Job, task: Task, item: RunningTask, clock_s: float
    ) -> None:
        step = job.get_step(task)
        if step.long_running or step.gang:
            return
        if task.progress is None:
            restore_s = RESTORE_S if task.checkpoint else 0.0
            task.progress = Progress(clock_s + restore_s, item.percent)
        else:
            task.progress.observe(item.percent, step.estimate_ms, clock_s)

    def _check_worker_speed(
        self, record: WorkerRecord, report: HoldReport, now: float
    ) -> None:
        """Check whether a worker is slow or stalled; if so, its tasks are moved."""
        measured = list(self._list_measured_runs(report))
        speeds = [progress.speed or 0.0 for _, _, progress in measured]
        compared = [
            get_relative_speed(task, job.list_step_tasks(task))
            for job, task, _ in measured
        ]
        ratios = [ratio for ratio in compared if ratio is not None]
        pace = classify_speed(speeds, ratios)
        if pace is SpeedClass.NORMAL:
            record.slow_streak = 0
        if pace not in (SpeedClass.SLOW, SpeedClass.STALLED):
            return
        if now >= record.ejected_until:
            record.ejected_until = now + get_ejection_time(record.slow_streak)
            record.slow_streak += 1
        record.tasks_to_move = [
            task for _, task, _ in measured if task.moves < MAX_MOVES
        ]
        _LOG.info(
            "worker slow",
            worker=record.entry.worker_id,
            service=self.service,
            pace=pace.value,
            speeds=[round(speed, 2) for speed in speeds],
            ratios=[round(ratio, 2) for ratio in ratios],
            moving=len(record.tasks_to_move),
        )

    def _list_measured_runs(
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

    def _release_missing_runs(
        self,
        record: WorkerRecord,
        listed: set[tuple[TaskId, int]],
        sent_at: float,
    ) -> None:
        assert record.clock is not None
        min_clock_ms = record.clock.get_lower_bound(sent_at)
        for step_key in list(record.present):
            job = self.jobs.get(step_key[0])
            if job is None:
                continue
            occurrence = job.occurrences.get(step_key[1])
            for task in occurrence.steps[step_key[2]] if occurrence else ():
                if task.worker_id != record.entry.worker_id or not task.placed:
                    continue
                if (task.task_id, task.run) in listed:
                    continue
                if self._is_surely_absent(task, sent_at, min_clock_ms):
                    _LOG.info(
                        "run missing on its worker",
                        task=str(task.task_id),
                        run=task.run,
                        worker=record.entry.worker_id,
                        phase=task.phase.name,
                        born=record.born,
                        listed_by=task.listed_by,
                    )
                    self._release(job, task)

    def _is_surely_absent(
        self, task: Task, sent_at: float, min_clock_ms: float
    ) -> bool:
        if task.start_ruled_out_at is not None:
            return sent_at > task.start_ruled_out_at
        if task.confirmed_at is not None:
            return sent_at > task.confirmed_at
        if task.started_at == 0.0:
            # a previous owner's order, fenced off by the hold request with our epoch
            return True
        if not task.sent:
            # The intent is still being stored, and a slow store takes longer than a
            # report.
            return False
        return min_clock_ms > task.start_deadline_ms

    def log_done_tasks(self) -> None:
        """Log the tasks that were done since the last call, in one line.

        One line per report would make up most of the log of a busy owner.
        """
        if not self.unlogged_done:
            return
        _LOG.info(
            "tasks done",
            service=self.service,
            workers=list(self.unlogged_done),
            tasks=[task for tasks in self.unlogged_done.values() for task in tasks],
        )
        self.unlogged_done.clear()

    def apply_failure(
        self, worker_id: str, reply: Reply, now: float, sent_at: float | None = None
    ) -> bool:
        """Handle a hold request that got no report.

        :param worker_id: the worker.
        :param reply: the outcome of the request.
        :param now: monotonic seconds.
        :param sent_at: monotonic seconds when the request was sent, ``None`` for now.
        :returns: whether the failure proves nothing, so that the worker is to be asked
            again at once.
        """
        record = self.workers.get(worker_id)
        if record is None:
            return False
        if reply.kind is ReplyKind.OTHER_WORKER:
            self.remove_worker(worker_id, "another incarnation at its address", now)
            self.end_fencing(worker_id)
            return False
        if reply.kind is ReplyKind.NO_ANSWER and reply.overdue_s is None:
            # its system has just closed the connection
            record.alive_at = max(record.alive_at, now)
        record.timed_out = reply.overdue_s is not None
        if reply.overdue_s is not None:
            self.call_timeouts.note_timeout(worker_id)
            if record.unanswered_since is None:
                record.unanswered_since = now
            sent_at = now if sent_at is None else sent_at
            if self._is_inconclusive(record, reply.overdue_s, sent_at):
                record.inconclusive += 1
                return True
        if record.failing_since is None:
            record.failing_since = now
            ordered = self.departures.is_ordered(record, self.cordons.get(worker_id))
            if ordered:
                self.departures.note_left(worker_id)
            log = choose_log(record, ordered)
            log(
                "worker silent",
                worker=worker_id,
                service=self.service,
                reason=f"{reply.kind.value}: {reply.detail}",
                registered=record.registered,
                cordoned=record.cordoned,
                placed=record.count_present(),
                inconclusive=record.inconclusive,
            )
        return False

    def _is_inconclusive(
        self, record: WorkerRecord, overdue_s: float, sent_at: float
    ) -> bool:
        return (
            record.failing_since is None
            and record.inconclusive < MAX_INCONCLUSIVE
            and self.call_timeouts.is_inconclusive(sent_at, overdue_s)
        )

    def apply_start_reply(self, order: StartOrder, reply: Reply, now: float) -> None:
        """Apply the reply to a start order.

        :param order: the order.
        :param reply: the worker's reply, or why there is none.
        :param now: monotonic seconds.
        """
        job = self.jobs.get(order.task.job_id)
        task = job.find_task(order.task) if job else None
        record = self.workers.get(order.worker_id)
        if record is not None:
            proves = self._proves_delivery(task, reply, now)
            note_delivery(record, reply.kind, now, proves)
            if reply.kind is ReplyKind.NO_ANSWER:
                ordered = OrderedRun(order.task, order.run)
                self.note_unanswered_start(record, ordered, now)
            if reply.clock_ms is not None:
                record.alive_at = max(record.alive_at, now)
        if reply.overdue_s is not None:
            self.call_timeouts.note_timeout(order.worker_id)
        if job is None or task is None or not task.placed:
            return
        if (task.run, task.worker_id) != (order.run, order.worker_id):
            return
        if reply.clock_ms is not None:
            took_s = now - task.started_at
            self.call_timeouts.note_answer(order.worker_id, took_s, now)
        # a reply to an order for a previous incarnation may be on that one's clock
        clock_ms = reply.clock_ms if task.start_ruled_out_at is None else None
        if record is not None and record.clock and clock_ms is not None:
            record.clock.observe(clock_ms, now)
            record.last_clock_ms = max(record.last_clock_ms, clock_ms)
        if reply.kind is ReplyKind.DONE:
            job.started = True
            job.ran_at = now
            task.confirm(now, clock_ms)
            self.ticket_cache.note_started(get_step_key(task))
            return
        _LOG.info(
            "start not confirmed",
            task=str(order.task),
            run=order.run,
            worker=order.worker_id,
            reason=f"{reply.kind.value}: {reply.detail}",
        )
        if reply.kind is ReplyKind.NO_ANSWER:
            return
        if reply.kind is ReplyKind.NO_TICKET:
            self.ticket_cache.remove_tickets(get_step_key(task), now)
        if record is not None and reply.kind in _BLOCKING:
            record.blocked_until = max(record.blocked_until, now + REFUSAL_BLOCK_S)
        self._release(job, task)
        if reply.kind is not ReplyKind.TOO_LATE:
            task.not_before = now + RETRY_PAUSE_S

    def _proves_delivery(self, task: Task | None, reply: Reply, now: float) -> bool:
        """Tell whether the outcome of a start order says something of its worker."""
        if reply.overdue_s is None:
            return True
        sent_at = now if task is None else task.started_at
        return not self.call_timeouts.is_inconclusive(sent_at, reply.overdue_s)
