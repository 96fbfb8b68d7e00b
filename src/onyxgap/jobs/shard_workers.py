"""The workers of a shard: registered, cordoned, silent, dead, and their load."""

import math
import typing as t

import attrs
import structlog

from ..pools.messages import PoolReport
from ..pools.messages import WorkerLoad
from .crashes import LostRun
from .crashes import weigh_blame
from .job import Job
from .job import Task
from .lives import LifeSign
from .lives import compare_life
from .load import get_demand
from .load import measure_share
from .load import measure_work
from .messages import JobState
from .messages import WorkerEntry
from .messages import WorkerState
from .placing import WorkerRecord
from .priorities import rate_urgency
from .shard_jobs import ShardJobs
from .shard_jobs import get_group
from .workers import Reply
from .workers import ReplyKind
from .workers import StartOrder
from .workers import StopOrder
from .workers import WorkerClock

ORPHAN_WAIT_S = 13.0
"""An earlier owner without the store stops extending leases after 8 s, and the
last lease that it gave lasts 5 s."""


_LOG = structlog.get_logger()


def _was_sent(task: Task) -> bool:
    """Tell whether a run may have reached its worker.

    What an earlier owner intended may have been sent; see :class:`Task`.
    """
    return task.sent or task.started_at == 0.0


def _describe_run(task: Task) -> tuple[str, int, bool, float]:
    """Give task, run, whether its start was confirmed, and for how long it was listed.

    What crashes its worker at its start is never listed for long.
    """
    confirmed = task.confirmed_at is not None
    return str(task.task_id), task.run, confirmed, round(task.listed_ms)


@attrs.define
class ShardWorkers(ShardJobs):
    """Workers of one shard."""

    def observe_worker(self, entry: WorkerEntry, now: float) -> WorkerRecord:
        """Take in a registration.

        :param entry: the registration.
        :param now: monotonic seconds.
        """
        record = self.workers.get(entry.worker_id)
        if record is None:
            record = WorkerRecord(entry, born=entry.born)
            self.workers[entry.worker_id] = record
        sign = self._take_life(record, entry.born, now)
        if sign is LifeSign.FORMER:
            return record
        if sign is LifeSign.LATER:
            record = self.workers[entry.worker_id]
            record.clock = WorkerClock(entry.clock_ms, now)
        record.entry = entry
        record.registered = True
        record.room_until = now + self.room_valid_s
        record.cordoned = entry.worker_id in self.cordons
        record.due = entry.worker_id in self.due
        if record.clock is None:
            record.clock = WorkerClock(entry.clock_ms, now)
        return record

    def _take_life(self, record: WorkerRecord, born: int, now: float) -> LifeSign:
        """Take in the start that a worker tells; ends its earlier life if it is later.

        :param record: what is known of the worker.
        :param born: Unix milliseconds of its start, 0 where it does not tell.
        :param now: monotonic seconds.
        """
        sign = compare_life(record.born, born)
        if sign is LifeSign.LATER:
            self._begin_life(record, born, now)
        elif sign is LifeSign.SAME:
            record.born = record.born or born
        return sign

    def _begin_life(self, former: WorkerRecord, born: int, now: float) -> None:
        """Begin with nothing known of a worker but its id and its start.

        An order for the former life may have reached the new one before anybody knew
        of it: that knows neither the fence nor, on its new clock, the deadline. So what
        was ordered stays placed until the new life has been told to stop it, and a
        report asked for after that does not list it.
        """
        worker_id = former.entry.worker_id
        ordered = [
            (job, task, task.run, task.start_deadline_ms)
            for job in self.jobs.values()
            for task in job.list_placed()
            if task.worker_id == worker_id and _was_sent(task)
        ]
        self.end_worker(worker_id, "started again under its id", now)
        entry = attrs.evolve(
            former.entry, cpu=0, memory_mb=0, accelerators=0, clock_ms=0.0, born=born
        )
        record = WorkerRecord(entry, former.registered, WorkerClock(0.0, now))
        record.born = born
        self.workers[worker_id] = record
        for job, task, run, deadline_ms in ordered:
            if not job.state.final:
                self._bar(record, job, task, run, deadline_ms)

    def _bar(
        self, record: WorkerRecord, job: Job, task: Task, run: int, deadline_ms: float
    ) -> None:
        task.place(record.entry.worker_id, 0.0, deadline_ms, run)
        task.barred_at = math.inf
        record.reserve(job.get_step(task), get_group(task))
        record.lease_ms = max(record.lease_ms, deadline_ms)
        self._mark_stopping(task)
        self.dirty.add(job.submission.job_id)

    def apply_stop_reply(self, order: StopOrder, reply: Reply, now: float) -> None:
        """Take in that a worker will not start a run that a former life was ordered to.

        :param order: the order to stop it.
        :param reply: the worker's reply.
        :param now: monotonic seconds.
        """
        job = self.jobs.get(order.task.job_id)
        task = job.find_task(order.task) if job else None
        if task is None or task.barred_at is None or task.run != order.run:
            return
        if reply.kind is ReplyKind.DONE:
            task.barred_at = min(task.barred_at, now)

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
        if capacity != (0, 0):
            self.offered += sum(measure_work(job, capacity) for job in self.arrived)
            self.arrived.clear()
        sums = dict.fromkeys(("queued", "batch", "serving"), 0.0)
        serving: dict[str, int] = {}
        for job in self.jobs.values():
            if job.state.final:
                continue
            for occurrence, number in job.list_ready():
                step = job.submission.steps[number]
                share = measure_share(step, capacity)
                waits = "queued" if self._is_pressed(job, number, now) else ""
                for task in occurrence.steps[number]:
                    if step.long_running and task.placed:
                        serving[task.worker_id] = serving.get(task.worker_id, 0) + 1
                    kind = get_demand(step, task, waits)
                    if kind:
                        sums[kind] += share
        workers = {
            worker_id: WorkerLoad(
                record.count_present(), serving.get(worker_id, 0), record.cpu_used
            )
            for worker_id, record in self.workers.items()
            if record.registered
        }
        return PoolReport(
            self.service,
            workers,
            self.list_emptied(),
            **{name: round(value, 3) for name, value in sums.items()},
            arrived_jobs=self.arrived_jobs,
            offered=round(self.offered, 3),
            epoch=self.epoch,
        )

    def list_emptied(self) -> dict[str, str]:
        """List cordoned workers on which nothing runs any more, with the cordon."""
        return {
            worker_id: self.cordons[worker_id]
            for worker_id, record in self.workers.items()
            if record.cordoned and record.held and not record.present
        }

    def _is_pressed(self, job: Job, step: int, now: float) -> bool:
        """Tell whether a waiting step should have VMs that are not there yet."""
        urgency = rate_urgency(job, step, now, self.forecast)
        return self.forecast.is_worth_vms(urgency, now)

    def miss_worker(self, worker_id: str) -> None:
        """Take in that a registration is gone; the worker may still run on."""
        record = self.workers.get(worker_id)
        if record is not None:
            record.registered = False

    def end_worker(
        self, worker_id: str, reason: str, now: float, crashed: bool = True
    ) -> None:
        """Take in that a life of a worker is over and nothing runs there.

        :param worker_id: the worker.
        :param reason: what shows it, for the log.
        :param now: monotonic seconds.
        :param crashed: whether its VM is known to be gone, not only unheard.
        """
        record = self.workers.get(worker_id)
        if record is None or record.gone:
            return
        record.gone = True
        freed = self._free_worker(record, crashed, now)
        _LOG.info(
            "worker ended",
            worker=worker_id,
            service=self.service,
            reason=reason,
            freed=freed,
        )
        del self.workers[worker_id]

    def is_isolated(self, order: StartOrder) -> bool:
        """Tell whether nothing else is started beside a run until it proves itself."""
        record = self.workers.get(order.worker_id)
        return record is not None and order.task in record.isolated

    def set_room_validity(self, valid_s: float) -> None:
        """Set how long what workers say of their capacity may be relied on.

        :param valid_s: seconds since a registration was read.
        """
        if valid_s == self.room_valid_s:
            return
        self.room_valid_s = valid_s
        for record in self.workers.values():
            # when they told their capacity is not known: they must tell it again
            record.room_until = math.inf if math.isinf(valid_s) else 0.0

    def list_registered(self) -> list[WorkerRecord]:
        """List workers whose registration stands."""
        return [record for record in self.workers.values() if record.registered]

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
                self.end_worker(
                    record.entry.worker_id, "its VM is down or reborn", sent_at
                )

    def expire_workers(self, now: float) -> None:
        """Release the runs of silent workers whose lease is certainly over."""
        for record in list(self.workers.values()):
            if record.failing_since is None and record.registered:
                continue
            if not self._is_lease_over(record, now):
                continue
            if not record.registered:
                self.end_worker(
                    record.entry.worker_id, "silent, lease over", now, False
                )
            elif record.present:
                freed = self._free_worker(record, False, now)
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

    def _free_worker(self, record: WorkerRecord, crashed: bool, now: float) -> int:
        lost = [
            (job, task)
            for job in self.jobs.values()
            for task in job.list_placed()
            if task.worker_id == record.entry.worker_id
        ]
        tasks = [task for _, task in lost]
        if tasks:
            self._log_lost(record, tasks)
        if record.entry.state is not WorkerState.DRAINING:
            sent = [task for task in tasks if _was_sent(task)]
            self._suspect(sent, crashed, record.heard_ms)
        if crashed and tasks:
            # one that was emptied has moved or is in maintenance
            self.crashes.note([task.task_id.job_id for task in tasks], now)
        for job, task in lost:
            self._release(job, task)
        for job, task in lost:
            if job.state.final:
                continue
            if task.suspicion.is_proved(self.crashes.get_doubt(job.submission.job_id)):
                self._give_up(job, task)
        return len(lost)

    def _log_lost(self, record: WorkerRecord, tasks: t.Sequence[Task]) -> None:
        _LOG.info(
            "runs lost",
            worker=record.entry.worker_id,
            service=self.service,
            epoch=self.epoch,
            runs=[_describe_run(task) for task in tasks],
        )

    @staticmethod
    def _suspect(tasks: t.Sequence[Task], crashed: bool, heard_ms: float) -> None:
        """Count the runs that were lost with a worker as tried.

        Released as if they had never been started, they would be started without end.

        :param tasks: the tasks.
        :param crashed: whether the worker crashed; one that is only cut off ends its
            runs, too, but none of them is to blame.
        :param heard_ms: latest reading of the worker's clock: what it had started
            before had not crashed it by then, listed or not.
        """
        runs = [
            LostRun(
                task.task_id.job_id,
                task.confirmed_at is not None,
                task.measure_stand_ms(heard_ms),
            )
            for task in tasks
        ]
        blames = weigh_blame(runs) if crashed else [0] * len(runs)
        for task, run, blame in zip(tasks, runs, blames, strict=True):
            task.suspicion = task.suspicion.add_loss(run.young, blame)

    def _give_up(self, job: Job, task: Task) -> None:
        _LOG.info(
            "job failed",
            job=job.submission.job_id,
            task=str(task.task_id),
            failures=task.failures,
            losses=task.suspicion.losses,
            blame=task.suspicion.blame,
        )
        self._finish(job, JobState.FAILED)
