"""Heaps of candidate workers for one scheduling pass, with the best worker on top.

They keep a pass cheap when the queue is longer than a pool has capacity for. A pass
checks each worker once a step instead of once a task. It checks none for a step that
needs at least as much as an earlier step that could not be placed.
"""

import heapq
import typing as t

import attrs

from .amounts import ZERO_AMOUNT
from .amounts import Amount
from .crashes import IsolationLevel
from .messages import Step
from .placing import Rank
from .placing import StepKey
from .placing import WorkerRecord
from .placing import choose_worker
from .placing import is_eligible
from .placing import rank_worker


@attrs.define
class Candidates:
    """Candidate workers for the tasks of one step.

    The choices are the same as those of :func:`choose_worker` for each task.
    Between two calls of :meth:`choose`, tasks may have been placed only on the worker
    that it returned last.

    :param records: workers that may be used.
    :param step: the step.
    :param step_key: job, occurrence and number of the step.
    :param now: monotonic seconds.
    """

    records: t.Sequence[WorkerRecord]
    step: Step
    step_key: StepKey
    now: float
    _heap: list[tuple[Rank, WorkerRecord]] | None = None
    _last: WorkerRecord | None = None

    def choose(
        self,
        avoid: t.Collection[str] = (),
        isolation: IsolationLevel = IsolationLevel.NONE,
    ) -> WorkerRecord | None:
        """Choose the best worker for a task of the step.

        :param avoid: ids of the workers on which the task has failed.
        :param isolation: isolation that the task needs.
        :returns: the worker, or ``None`` if no worker is eligible.
        """
        if avoid or isolation is not IsolationLevel.NONE:
            # rare, and the workers rank differently for such a task
            self._heap = None
            return choose_worker(
                self.records, self.step, self.step_key, self.now, avoid, isolation
            )
        if self._heap is None:
            self._heap = [
                (rank_worker(record, self.step, ()), record)
                for record in self.records
                if is_eligible(record, self.step, self.step_key, self.now)
            ]
            heapq.heapify(self._heap)
        elif self._last is not None:
            self._update_rank(self._last)
        self._last = self._heap[0][1] if self._heap else None
        return self._last

    def _update_rank(self, record: WorkerRecord) -> None:
        assert self._heap is not None
        if is_eligible(record, self.step, self.step_key, self.now):
            updated = rank_worker(record, self.step, ())
            heapq.heapreplace(self._heap, (updated, record))
        else:
            heapq.heappop(self._heap)


@attrs.define
class PassCapacity:
    """Free capacity that is left during one scheduling pass.

    Free capacity only shrinks during a pass. If a step could not be placed, no later
    step that needs at least as much can be placed either.

    :param records: workers that accept new tasks.
    :param now: monotonic seconds.
    """

    records: t.Sequence[WorkerRecord]
    now: float
    _unplaceable: list[Step] = attrs.field(factory=list)

    def build_candidates(
        self,
        step: Step,
        step_key: StepKey,
        allowed: t.Collection[str] | None = None,
    ) -> Candidates:
        """Return the candidate workers for the tasks of a step.

        :param step: the step.
        :param step_key: job, occurrence and number of the step.
        :param allowed: ids of the workers that the step may use; ``None`` for all.
        """
        records = self.records
        if allowed is not None:
            records = [item for item in records if item.entry.worker_id in allowed]
        return Candidates(records, step, step_key, self.now)

    def get_free_capacity(self) -> Amount:
        """Return the total free capacity of all workers."""
        free = ZERO_AMOUNT
        for record in self.records:
            entry = record.entry
            capacity = Amount(entry.cpu, entry.memory_mb, entry.accelerators)
            used = Amount(record.cpu_used, record.memory_used, record.accelerators_used)
            free += (capacity - used).get_elementwise_max(ZERO_AMOUNT)
        return free

    def note_unplaceable(self, step: Step) -> None:
        """Record that no worker has capacity for a step.

        Ignores steps with placement constraints: such a step may be refused although a
        worker has capacity for it.
        """
        if not step.requires and not step.anti_affinity:
            self._unplaceable.append(step)

    def is_unplaceable(self, step: Step) -> bool:
        """Return whether a step needs at least as much as one that was not placed."""
        return any(needs_as_much(step, other) for other in self._unplaceable)


def needs_as_much(step: Step, other: Step) -> bool:
    """Return whether the tasks of a step need at least as much of each resource.

    :param step: the step.
    :param other: the step to compare with.
    """
    cpu, other_cpu = (0 if item.fills else item.cpu for item in (step, other))
    return (
        cpu >= other_cpu
        and step.memory_mb >= other.memory_mb
        and step.accelerators >= other.accelerators
    )
