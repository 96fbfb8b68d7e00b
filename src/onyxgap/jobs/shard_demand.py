"""Measures the demand of a shard for VMs, which its owner reports."""

import collections
import typing as t

import attrs

from ..pools.cordons import CordonSummary
from ..pools.cordons import summarize_cordons
from ..pools.messages import PoolReport
from ..pools.messages import WorkerLoad
from .job import Job
from .job import Occurrence
from .job import TaskPhase
from .late_demand import LateDemand
from .load import estimate_vm_seconds
from .load import get_load_kind
from .load import get_worker_fraction
from .messages import Step
from .priorities import rate_urgency
from .redundancy import count_redundant_workers
from .shard_jobs import get_step_key
from .shard_stops import ShardStops
from .shortage import WideStep
from .shortage import count_needed_workers
from .shortage import list_unreached_workers


@attrs.define
class ShardDemand(ShardStops):
    """The demand of one shard for VMs."""

    def get_largest_worker_capacity(self) -> tuple[int, int]:
        """Return the CPU (thousandths of a core) and memory (MB) of the largest worker.

        Workers are compared by CPU, then by memory; ``(0, 0)`` if there are none.
        """
        return max(
            ((item.entry.cpu, item.entry.memory_mb) for item in self.workers.values()),
            default=(0, 0),
        )

    def build_report(
        self, now: float, stored_jobs: t.Collection[str] = ()
    ) -> PoolReport:
        """Build the load report for the fleet controller.

        :param now: monotonic seconds.
        :param stored_jobs: jobs that are stored in the same transaction.
        """
        capacity = self.get_largest_worker_capacity()
        self._measure_arrivals(capacity)
        drained = self.list_drained_workers(stored_jobs)
        self.undrained_cordons.note_reported(drained)
        return PoolReport(
            self.service,
            self._measure_worker_loads(),
            drained,
            **self._sum_load(capacity, now),
            serving_vms=count_needed_workers(
                [*self._list_wide_steps(), *self._list_steps_beside_unreached()],
                self.workers.values(),
            ),
            late_vms=self._count_late_vms(capacity, now),
            redundant_vms=self._count_redundant_vms(now),
            arrived_jobs=self.arrived_jobs,
            offered=round(self.offered, 3),
            epoch=self.epoch,
        )

    def _measure_arrivals(self, capacity: tuple[int, int]) -> None:
        if capacity == (0, 0):
            return
        self.offered += sum(
            estimate_vm_seconds(job, capacity) for job in self.unmeasured_jobs
        )
        self.unmeasured_jobs.clear()

    def _sum_load(self, capacity: tuple[int, int], now: float) -> dict[str, float]:
        """Sum the fractions of a VM that tasks take, by the kind of their load."""
        sums = dict.fromkeys(("queued", "batch", "serving"), 0.0)
        for job, occurrence, number in self._list_ready_steps():
            step = job.submission.steps[number]
            fraction = get_worker_fraction(step, capacity)
            justified = self._justifies_more_vms(job, number, now)
            for task in occurrence.steps[number]:
                kind = get_load_kind(step, task, "queued" if justified else "")
                if kind:
                    sums[kind] += fraction
        return {kind: round(total, 3) for kind, total in sums.items()}

    def _count_late_vms(self, capacity: tuple[int, int], now: float) -> int:
        demand = LateDemand(self.workers.values(), now)
        for job, occurrence, number in self._list_ready_steps():
            step, tasks = job.submission.steps[number], occurrence.steps[number]
            if not rate_urgency(job, number, now, self.forecast).late:
                continue
            # a VM does not help a job that its tenant's cap holds back
            if not self._is_within_cap(job, step):
                continue
            fraction = get_worker_fraction(step, capacity)
            waiting = sum(
                task.phase is TaskPhase.WAITING and now >= task.not_before
                for task in tasks
            )
            demand.add_step(step, get_step_key(tasks[0]), waiting * fraction)
        return demand.count_vms()

    def _count_redundant_vms(self, now: float) -> int:
        records = self.workers.values()
        wide = list(self._list_wide_steps())
        serving = {item.step_key: item.step for item in wide if item.step.long_running}
        count = count_redundant_workers(serving, records)
        unreached = list_unreached_workers(records, now)
        if not unreached:
            return count
        return max(count, count_needed_workers(wide, records, unreached))

    def _measure_worker_loads(self) -> dict[str, WorkerLoad]:
        serving = collections.Counter(
            task.worker_id
            for item in self._list_wide_steps()
            for task in item.tasks
            if item.step.long_running and task.placed
        )
        return {
            worker_id: WorkerLoad(
                record.count_present(), serving[worker_id], record.cpu_used
            )
            for worker_id, record in self.workers.items()
            if record.registered
        }

    def _list_ready_steps(self) -> t.Iterator[tuple[Job, Occurrence, int]]:
        for job in self.jobs.values():
            if not job.state.final:
                for occurrence, number in job.list_ready():
                    yield job, occurrence, number

    def _list_wide_steps(self) -> t.Iterator[WideStep]:
        for job, occurrence, number in self._list_ready_steps():
            step = job.submission.steps[number]
            if step.long_running or step.gang:
                tasks = occurrence.steps[number]
                yield WideStep(step, get_step_key(tasks[0]), tasks)

    def _list_steps_beside_unreached(self) -> t.Iterator[WideStep]:
        """Yield a waiting task of each finite step if starts do not reach a worker.

        What is free there hides from the sums of fractions that the pool is full.
        """
        if all(item.takes_starts for item in self.workers.values() if item.registered):
            return
        for job, occurrence, number in self._list_ready_steps():
            step = job.submission.steps[number]
            if step.long_running or step.gang or step.fills:
                continue
            tasks = occurrence.steps[number]
            waiting = [task for task in tasks if task.phase is TaskPhase.WAITING]
            if waiting:
                yield WideStep(step, get_step_key(waiting[0]), waiting[:1])

    def list_drained_workers(
        self, stored_jobs: t.Collection[str] = ()
    ) -> dict[str, str]:
        """Return the cordon IDs of drained workers, by worker id.

        A drained worker is cordoned, has no runs left, and the results of its runs are
        stored: once its VM has moved, no other owner can ask for them.

        :param stored_jobs: jobs that are stored in the same transaction as the list.
        """
        return {
            worker_id: self.cordons[worker_id]
            for worker_id, record in self.workers.items()
            if record.cordoned
            and record.held
            and not record.present
            and record.unstored_jobs <= set(stored_jobs)
        }

    def _is_within_cap(self, job: Job, step: Step) -> bool:
        """Return whether the cap of a job's tenant allows another task of a step."""
        return True

    def summarize_cordons(self, now: float) -> CordonSummary | None:
        """Summarize the cordons for the log, ``None`` if no worker is cordoned.

        :param now: monotonic seconds.
        """
        cordoned = {
            worker_id: self.cordons[worker_id]
            for worker_id, record in self.workers.items()
            if record.cordoned and worker_id in self.cordons
        }
        if not cordoned:
            return None
        drained = self.list_drained_workers()
        return summarize_cordons(cordoned, drained, self.received_cordons, now)

    def _justifies_more_vms(self, job: Job, step: int, now: float) -> bool:
        """Return whether a waiting step justifies more VMs for the pool."""
        urgency = rate_urgency(job, step, now, self.forecast)
        return self.forecast.justifies_more_vms(urgency, now)
