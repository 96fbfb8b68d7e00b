"""Checks that no accepted job stands still while a task of it could run."""

import itertools
import math
import typing as t

import attrs

from ...jobs.amounts import get_task_amount
from ...jobs.messages import Step
from ...jobs.messages import TaskId
from .breach import Breach
from .disturbances import DisturbanceLog
from .job_notes import JobNotes
from .runs import RunRecord
from .tenancy import Tenancy
from .workers import EmulatedWorker

MAX_STANDSTILL_S = 3.0
"""Time for which a job may have nothing running although a task of it could run."""
CALM_BEFORE_S = 4.0
"""Time before that in which nothing may have disturbed the nodes."""
JOIN_S = 1.0
"""Time after its start from which a worker counts: it has to register first."""
CAPACITY_FACTOR = 2
"""Number of tasks for which there must be capacity, so that a race is no standstill."""

Span = tuple[float, float]
"""Begin and end in monotonic seconds."""


@attrs.define
class _Pool:
    """Workers and runs of one pool over time.

    :param workers: its workers, which count until a fault affects them.
    :param runs: all runs, by the worker on which they were.
    """

    workers: list[EmulatedWorker]
    runs: dict[str, list[RunRecord]]
    find_step: t.Callable[[TaskId], Step]

    def list_changes(self, span: Span) -> list[float]:
        """List the moments in a span at which its free capacity may change."""
        begin, end = span
        moments = {begin, end}
        for worker in self.workers:
            moments |= {worker.born_at + JOIN_S, worker.died_at, worker.sound_until}
            for run in self.runs.get(worker.entry.worker_id, ()):
                moments |= {run.began, math.inf if run.ended is None else run.ended}
        return sorted(at for at in moments if begin <= at <= end)

    def count_places(self, task: TaskId, at: float) -> int:
        """Count the tasks of a step that its workers could start at a moment."""
        return sum(
            self._count_places_on(worker, task, at)
            for worker in self.workers
            if worker.born_at + JOIN_S <= at < min(worker.died_at, worker.sound_until)
        )

    def _count_places_on(self, worker: EmulatedWorker, task: TaskId, at: float) -> int:
        step = self.find_step(task)
        present = [
            run
            for run in self.runs.get(worker.entry.worker_id, ())
            if run.began <= at and (run.ended is None or at < run.ended)
        ]
        steps = [self.find_step(run.task) for run in present]
        cpu = worker.entry.cpu - sum(item.cpu for item in steps)
        memory_mb = worker.entry.memory_mb - sum(item.memory_mb for item in steps)
        places = min(cpu // max(1, step.cpu), memory_mb // max(1, step.memory_mb))
        if step.anti_affinity:
            beside = sum(run.task[:3] == task[:3] for run in present)
            places = min(places, step.anti_affinity - beside)
        return max(0, places)


@attrs.define
class Standstills:
    """Searches a day for jobs that stood still.

    :param jobs: what callers were told, by job.
    :param services: services of the jobs, by job.
    :param records: runs on workers.
    :param workers: all workers that ever started.
    :param tenancy: tenants with their caps.
    :param disturbances: faults of nodes, the store and orders.
    """

    jobs: t.Mapping[str, JobNotes]
    services: t.Mapping[str, str]
    records: t.Sequence[RunRecord]
    workers: t.Sequence[EmulatedWorker]
    tenancy: Tenancy
    disturbances: DisturbanceLog
    _pools: dict[str, _Pool] = attrs.field(factory=dict)

    def find_in_job(self, notes: JobNotes, end_s: float) -> t.Iterator[Span]:
        """Yield the times in which a job stood still."""
        for begin, end in self._list_idle_spans(notes, end_s):
            if end - begin < MAX_STANDSTILL_S:
                continue
            for task, since in self._list_waiting_tasks(notes, begin, end):
                yield from self._find_in_span(task, (since, end))

    def list_waits(
        self, notes: JobNotes, begin_s: float, end_s: float
    ) -> t.Iterator[tuple[TaskId, Span]]:
        """Yield the times in which a job had nothing running and a task could run.

        :param notes: what its caller was told.
        :param begin_s: monotonic seconds from which they count.
        :param end_s: when the day ended.
        """
        for begin, end in self._list_idle_spans(notes, end_s):
            if end <= begin_s:
                continue
            for task, since in self._list_waiting_tasks(notes, begin, end):
                for span in self._list_open_spans(task, (max(since, begin_s), end)):
                    yield task, span

    def _list_open_spans(self, task: TaskId, span: Span) -> t.Iterator[Span]:
        """Yield the parts of a span in which a task could run."""
        pool = self._get_pool(task)
        since: float | None = None
        for at, following in itertools.pairwise(pool.list_changes(span)):
            could_run = self._could_run(task, pool, at)
            if could_run:
                since = at if since is None else since
                end = following
            elif since is not None:
                yield since, end
                since = None
        if since is not None:
            yield since, end

    def _list_idle_spans(self, notes: JobNotes, end_s: float) -> t.Iterator[Span]:
        """Yield the times in which nothing of a job ran, from its acceptance on."""
        assert notes.accepted_at is not None
        at = notes.accepted_at
        until = notes.find_final_at() or end_s
        runs = self._list_runs(notes)
        for run in sorted(runs, key=lambda item: item.began):
            if run.began > at:
                yield at, min(run.began, until)
            at = max(at, until if run.ended is None else run.ended)
        if at < until:
            yield at, until

    def _list_runs(self, notes: JobNotes) -> list[RunRecord]:
        job_id = notes.submission.job_id
        return [run for run in self.records if run.task.job_id == job_id]

    def _list_waiting_tasks(
        self, notes: JobNotes, begin: float, end: float
    ) -> t.Iterator[tuple[TaskId, float]]:
        """Yield tasks that could start in a span, and since when."""
        for number in notes.list_due(end):
            since = max(begin, notes.get_due_s(number))
            for task in self._list_ready_tasks(notes, number, begin):
                yield task, since

    def _list_ready_tasks(
        self, notes: JobNotes, occurrence: int, at: float
    ) -> list[TaskId]:
        """List a task of each step of an occurrence that could start at a moment."""
        done = {
            run.task
            for run in self._list_runs(notes)
            if run.how == "done" and run.ended is not None and run.ended <= at
        }
        left = []
        for number, step in enumerate(notes.submission.steps):
            job_id = notes.submission.job_id
            tasks = [
                TaskId(job_id, occurrence, number, item) for item in range(step.count)
            ]
            left.append([task for task in tasks if task not in done])
        return [
            tasks[0]
            for tasks, step in zip(left, notes.submission.steps, strict=True)
            if tasks and not any(left[earlier] for earlier in step.after)
        ]

    def _find_in_span(self, task: TaskId, span: Span) -> t.Iterator[Span]:
        pool = self._get_pool(task)
        since: float | None = None
        for at, following in itertools.pairwise(pool.list_changes(span)):
            could_run = self._could_run(task, pool, at)
            since = (at if since is None else since) if could_run else None
            if since is not None and self._is_breach(since, following):
                yield since, following
                return

    def _could_run(self, task: TaskId, pool: _Pool, at: float) -> bool:
        if pool.count_places(task, at) < CAPACITY_FACTOR:
            return False
        tenant = self.jobs[task.job_id].submission.tenant
        if not tenant:
            return True
        used = get_task_amount(self._find_step(task)) * CAPACITY_FACTOR
        for run in self.records:
            notes = self.jobs[run.task.job_id]
            is_present = run.began <= at and (run.ended is None or at < run.ended)
            if is_present and notes.submission.tenant == tenant:
                used += get_task_amount(self._find_step(run.task))
        # shares of a cap move between services with a delay
        caps = [change.cap for change in self.tenancy.caps[tenant]]
        return all((used + used).fits(cap) for cap in caps)

    def _is_breach(self, begin: float, end: float) -> bool:
        """Tell whether there were calm seconds enough in which the job stood still."""
        calm_again = [ended + CALM_BEFORE_S for ended in self._list_ends()]
        return any(
            at + MAX_STANDSTILL_S <= end
            and self.disturbances.is_calm(at - CALM_BEFORE_S, at + MAX_STANDSTILL_S)
            for at in (begin, *(max(begin, at) for at in calm_again))
        )

    def _list_ends(self) -> list[float]:
        return [end + 0.001 for _, end in self.disturbances.list_all()]

    def _find_step(self, task: TaskId) -> Step:
        return self.jobs[task.job_id].submission.steps[task.step]

    def _get_pool(self, task: TaskId) -> _Pool:
        service = self.services[task.job_id]
        if service not in self._pools:
            workers = [item for item in self.workers if item.entry.service == service]
            runs: dict[str, list[RunRecord]] = {}
            for run in self.records:
                runs.setdefault(run.worker_id, []).append(run)
            self._pools[service] = _Pool(workers, runs, self._find_step)
        return self._pools[service]


def check_standstills(
    jobs: t.Mapping[str, JobNotes],
    services: t.Mapping[str, str],
    records: t.Sequence[RunRecord],
    workers: t.Sequence[EmulatedWorker],
    tenancy: Tenancy,
    disturbances: DisturbanceLog,
    end_s: float,
) -> t.Iterator[Breach]:
    """Check that no accepted job has nothing running for long while a task could run.

    Jobs that are cancelled, fail by their own fault or crash workers are left out.

    :param jobs: what callers were told, by job.
    :param services: services of the jobs, by job.
    :param records: runs on workers.
    :param workers: all workers that ever started.
    :param tenancy: tenants with their caps.
    :param disturbances: faults of nodes, the store and orders; beside them a job may
        stand still.
    :param end_s: when the day ended.
    """
    search = Standstills(jobs, services, records, workers, tenancy, disturbances)
    for job_id, notes in jobs.items():
        excused = notes.poison or notes.crashing or notes.cancel_requested
        if notes.accepted_at is None or excused:
            continue
        for begin, end in search.find_in_job(notes, end_s):
            detail = f"{job_id} stood still for {end - begin:.1f} s, a task could run"
            yield Breach("lost", begin, detail)
