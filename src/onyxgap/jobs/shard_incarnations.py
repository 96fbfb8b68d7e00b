"""Keeps calls to a former incarnation of a worker from doing harm to the next one.

A worker that starts again under its ID has seen no fencing token. It carries out an
order for its former incarnation that comes late, unless the owner has called it before.
So the owner calls the addresses of removed workers that have left start orders
unanswered until they answer, or the orders can no longer arrive. Meanwhile, tasks that
a running worker has left unanswered are not placed elsewhere, for some seconds at most.
"""

import math
import typing as t

import attrs
import structlog

from .job import Job
from .job import Task
from .job import TaskPhase
from .lives import FormerCalls
from .lives import OrderedRun
from .messages import WorkerEntry
from .placing import WorkerRecord
from .shard_jobs import get_step_key
from .shard_leases import LATE_CALL_S
from .shard_losses import ShardLosses
from .shard_losses import may_have_been_sent
from .workers import HoldOrder
from .workers import Reply
from .workers import ReplyKind
from .workers import StopOrder
from .workers import WorkerClock

HOLD_BACK_S = 5.0
"""Longest time for which a task is not placed elsewhere after its worker has left the
start order unanswered and is gone. Most workers are back by then, and a job may stand
still for 7 s after a disruption."""
UNANSWERED_S = 0.1
"""Time after which a running worker counts as having left an order unanswered; it
answers within milliseconds."""
FENCING_TIMEOUT_S = 0.15
"""Timeout of a call to the next incarnation of a worker. A connection attempt that is
under way when a VM starts is not repeated by the kernel for a second."""

FIRST_EPOCH = 1
"""Epoch of an owner that has no former one."""

_LOG = structlog.get_logger()


def _may_reach_next_incarnation(task: Task) -> bool:
    """Return whether the start order of a run may reach the worker after its restart.

    A worker carries out an order once, so not if the previous incarnation listed the
    run.
    """
    return may_have_been_sent(task) and not task.listed_by


def _get_ordered_run(task: Task) -> OrderedRun:
    return OrderedRun(task.task_id, task.run)


@attrs.define
class ShardIncarnations(ShardLosses):
    """Calls to the former incarnations of the workers of one shard.

    :param former_calls: calls to workers that were removed, which they may carry out
        if they start again under their IDs.
    """

    former_calls: dict[str, FormerCalls] = attrs.field(factory=dict)

    def _find_task(self, ordered: OrderedRun) -> tuple[Job, Task] | None:
        """Find the task of a run if no newer run was placed and its job goes on."""
        job = self.jobs.get(ordered.task.job_id)
        task = job.find_task(ordered.task) if job else None
        if job is None or task is None or job.state.final:
            return None
        is_newest = task.phase is TaskPhase.WAITING and task.run == ordered.run
        return (job, task) if is_newest else None

    def _expect_former_calls(self, record: WorkerRecord, calls: FormerCalls) -> None:
        """Reckon with calls to the former incarnation of a worker.

        A task that it was ordered to start stays placed on the new incarnation until
        that one confirms that it will not start it, unless the task has been placed
        elsewhere.
        """
        record.former_lease_until = calls.until + self.longest_lease_s
        worker_id = record.entry.worker_id
        self.restarts[worker_id] = self.restarts.get(worker_id, 0) + 1
        for ordered in calls.starts:
            found = self._find_task(ordered)
            if found is not None:
                self._bar(record, *found)

    @staticmethod
    def _keep_unanswered(record: WorkerRecord, calls: FormerCalls) -> None:
        """Keep unanswered orders, which may reach a later incarnation, too."""
        noted_at = calls.until - LATE_CALL_S
        for ordered in calls.unanswered:
            record.unanswered_starts.setdefault(ordered, noted_at)

    def _bar(self, record: WorkerRecord, job: Job, task: Task) -> None:
        # the deadline of the order is on the clock of the previous incarnation
        task.place(record.entry.worker_id, 0.0, 0.0, task.run)
        task.not_before = 0.0
        task.start_ruled_out_at = math.inf
        record.reserve(job.get_step(task), get_step_key(task))
        self._mark_stopping(task)
        self.dirty.add(job.submission.job_id)

    def apply_stop_reply(self, order: StopOrder, reply: Reply, now: float) -> None:
        """Record that a worker will not start a run of a previous incarnation.

        Replies to other stop orders are ignored; the worker reports the ends of the
        runs.

        :param order: the stop order.
        :param reply: the worker's reply.
        :param now: monotonic seconds.
        """
        job = self.jobs.get(order.task.job_id)
        task = job.find_task(order.task) if job else None
        if task is None or task.start_ruled_out_at is None or task.run != order.run:
            return
        if reply.kind is ReplyKind.DONE:
            task.start_ruled_out_at = min(task.start_ruled_out_at, now)

    def _add_next_incarnation(
        self, former: WorkerEntry, registered: bool, born: int, now: float
    ) -> WorkerRecord:
        """Add a worker that has started again under its ID.

        No capacity, clock or report of the new incarnation is known yet.

        :param former: registration of its former incarnation.
        :param registered: whether the worker is registered.
        :param born: Unix milliseconds of its start.
        :param now: monotonic seconds.
        """
        entry = attrs.evolve(
            former, cpu=0, memory_mb=0, accelerators=0, clock_ms=0.0, born=born
        )
        record = WorkerRecord(entry, registered, WorkerClock(0.0, now))
        record.born = born
        record.heard_at = now
        record.replaces_incarnation = True
        self.workers[entry.worker_id] = record
        return record

    def _list_unanswered_starts(
        self, record: WorkerRecord, now: float
    ) -> list[OrderedRun]:
        """List the runs whose start orders a worker may still carry out."""
        placed = [
            _get_ordered_run(task)
            for _, task in self._list_runs_on(record)
            if task.confirmed_at is None and _may_reach_next_incarnation(task)
        ]
        given_up = [
            ordered
            for ordered, at in record.unanswered_starts.items()
            if now < at + LATE_CALL_S
        ]
        return list(dict.fromkeys([*given_up, *placed]))

    def has_unanswered_starts(self, worker_id: str, now: float) -> bool:
        """Return whether a worker may still carry out a start order without an answer.

        :param worker_id: the worker.
        :param now: monotonic seconds.
        """
        record = self.workers.get(worker_id)
        if record is None:
            return False
        return any(now < at + LATE_CALL_S for at in record.unanswered_starts.values())

    def _keep_former_calls(
        self, record: WorkerRecord, now: float, returns: bool = True
    ) -> FormerCalls:
        """Keep what a worker that is removed was told, and forget what is over.

        :param record: the worker.
        :param now: monotonic seconds.
        :param returns: whether it may start again for this service. One that belongs to
            another service must not get the fencing token of this owner.
        """
        for worker_id, calls in list(self.former_calls.items()):
            if calls.until <= now:
                del self.former_calls[worker_id]
        placed = [
            task
            for _, task in self._list_runs_on(record)
            if _may_reach_next_incarnation(task)
        ]
        unanswered = self._list_unanswered_starts(record, now)
        worker_id = record.entry.worker_id
        of_former_owner = self._may_have_former_owners_orders(now)
        if unanswered or of_former_owner:
            # the next call to the worker, of whichever incarnation, fences them off
            self.restarts[worker_id] = self.restarts.get(worker_id, 0) + 1
        starts = dict.fromkeys([*map(_get_ordered_run, placed), *unanswered])
        kept = FormerCalls(
            record.born,
            now + LATE_CALL_S,
            tuple(starts),
            record.entry if returns and record.born and record.entry.address else None,
            tuple(unanswered),
            of_former_owner,
        )
        self.former_calls[worker_id] = kept
        return kept

    def _may_have_former_owners_orders(self, now: float) -> bool:
        """Return whether workers may still carry out orders of a former owner."""
        if self.epoch == FIRST_EPOCH or self.get_former_takeover() == math.inf:
            return False
        return now < self.get_former_grants_end() + LATE_CALL_S

    def note_unanswered_start(
        self, record: WorkerRecord, ordered: OrderedRun, now: float
    ) -> None:
        """Record that a start order got no answer, so that it may come late.

        :param record: the worker.
        :param ordered: the run.
        :param now: monotonic seconds.
        """
        for earlier, at in list(record.unanswered_starts.items()):
            if now >= at + LATE_CALL_S:
                del record.unanswered_starts[earlier]
        record.unanswered_starts[ordered] = now

    def _note_lapsed_starts(self, record: WorkerRecord, now: float) -> None:
        """Record the unanswered start orders of a worker whose lease has expired."""
        for _, task in self._list_runs_on(record):
            if task.confirmed_at is None and _may_reach_next_incarnation(task):
                self.note_unanswered_start(record, _get_ordered_run(task), now)

    def _list_left_unanswered(self, record: WorkerRecord) -> list[OrderedRun]:
        """List the runs whose orders a worker has left unanswered while it was running.

        An order that was on its way when the worker ended was most likely lost with it.
        """
        given_up = [
            self._find_task(ordered)
            for ordered, at in record.unanswered_starts.items()
            if at <= record.alive_at
        ]
        found = [item for item in given_up if item is not None]
        for job, task in self._list_runs_on(record):
            waited_s = record.alive_at - task.started_at
            is_unanswered = task.sent and task.confirmed_at is None
            if is_unanswered and not task.listed_by and waited_s >= UNANSWERED_S:
                found.append((job, task))
        return [
            _get_ordered_run(task)
            for job, task in found
            if not job.get_step(task).speculative
        ]

    def _hold_back(
        self, worker_id: str, runs: t.Sequence[OrderedRun], now: float
    ) -> None:
        """Delay the next runs of tasks whose orders a worker has left unanswered.

        :param worker_id: the worker, after its removal.
        :param runs: the runs.
        :param now: monotonic seconds.
        """
        calls = self.former_calls[worker_id]
        if calls.entry is None:
            return
        held_back = []
        for ordered in runs:
            found = self._find_task(ordered)
            if found is None:
                continue
            _, task = found
            task.not_before = max(task.not_before, now + HOLD_BACK_S)
            held_back.append(ordered)
        self.former_calls[worker_id] = attrs.evolve(calls, held_back=tuple(held_back))

    def list_unfenced(self, now: float) -> list[str]:
        """List the removed workers that may carry out start orders after a restart.

        :param now: monotonic seconds.
        """
        return [
            worker_id
            for worker_id, calls in self.former_calls.items()
            if calls.may_start_late()
            and calls.entry is not None
            and now < calls.until
            and worker_id not in self.workers
        ]

    def build_fencing_call(self, worker_id: str, now: float) -> HoldOrder | None:
        """Build a call that makes a restarted worker reject orders from before.

        It neither grants a lease nor acknowledges ends.

        :param worker_id: the worker.
        :param now: monotonic seconds.
        :returns: the call, ``None`` if none is due.
        """
        calls = self.former_calls.get(worker_id)
        if calls is None or calls.entry is None or not calls.may_start_late():
            return None
        if now >= calls.until or worker_id in self.workers:
            return None
        return HoldOrder(
            worker_id,
            calls.entry.address,
            self.get_worker_token(worker_id),
            0,
            None,
            0,
            FENCING_TIMEOUT_S,
        )

    def end_fencing(self, worker_id: str) -> None:
        """Call a removed worker no more, and place the tasks that it kept.

        :param worker_id: a worker that is running, or whose address is another's.
        """
        calls = self.former_calls.get(worker_id)
        if calls is None:
            return
        self._end_hold_back(calls)
        self.former_calls[worker_id] = attrs.evolve(calls, entry=None, held_back=())

    def _end_hold_back(self, calls: FormerCalls) -> None:
        for ordered in calls.held_back:
            found = self._find_task(ordered)
            if found is not None:
                _, task = found
                task.not_before = 0.0

    def _adopt_next_incarnation(self, worker_id: str, born: int, now: float) -> bool:
        """Add the next incarnation of a removed worker, before it registers.

        :param worker_id: the worker.
        :param born: Unix milliseconds of its start, as it told, 0 if it did not.
        :param now: monotonic seconds.
        :returns: whether it was added.
        """
        calls = self.former_calls.get(worker_id)
        if calls is None or calls.entry is None or worker_id in self.workers:
            return False
        if born in (0, calls.born):
            self.end_fencing(worker_id)
            return False
        del self.former_calls[worker_id]
        record = self._add_next_incarnation(calls.entry, False, born, now)
        self._expect_former_calls(record, calls)
        self._keep_unanswered(record, calls)
        _LOG.info(
            "restarted worker fenced",
            worker=worker_id,
            service=self.service,
            epoch=self.epoch,
            former_born=calls.born,
            born=born,
            unanswered=len(calls.unanswered),
            held_back=len(calls.held_back),
        )
        return True
