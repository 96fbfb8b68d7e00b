"""The workers that one plan may still use, the best for each step first.

Answers queues that are longer than a pool has room for: a plan looks at each worker
once a step in place of once a task, and not at all for a step that asks for at least
as much as one that found no room before.
"""

import heapq
import typing as t

import attrs

from .amounts import NOTHING
from .amounts import Amount
from .crashes import Care
from .messages import Step
from .placing import Group
from .placing import Rank
from .placing import WorkerRecord
from .placing import choose_worker
from .placing import is_eligible
from .placing import rank_worker


@attrs.define
class Candidates:
    """Workers for the tasks of one step; equal to choosing among all for each task.

    Only what :meth:`choose` returned may have been given more to do between two calls.

    :param records: the workers that may be used.
    :param step: the step.
    :param group: job, occurrence and number of the step.
    :param now: monotonic seconds.
    """

    records: t.Sequence[WorkerRecord]
    step: Step
    group: Group
    now: float
    _heap: list[tuple[Rank, WorkerRecord]] | None = None
    _last: WorkerRecord | None = None

    def choose(
        self, avoid: t.Collection[str] = (), care: Care = Care.NONE
    ) -> WorkerRecord | None:
        """Choose the best worker, or ``None`` when none has room.

        :param avoid: workers on which the task failed before.
        :param care: what it may share its worker with.
        """
        if avoid or care is not Care.NONE:
            # rare, and its rank differs from that of the other tasks
            self._heap = None
            return choose_worker(
                self.records, self.step, self.group, self.now, avoid, care
            )
        if self._heap is None:
            self._heap = [
                (rank_worker(record, self.step, ()), record)
                for record in self.records
                if is_eligible(record, self.step, self.group, self.now)
            ]
            heapq.heapify(self._heap)
        elif self._last is not None:
            self._rank_again(self._last)
        self._last = self._heap[0][1] if self._heap else None
        return self._last

    def _rank_again(self, record: WorkerRecord) -> None:
        assert self._heap is not None
        if is_eligible(record, self.step, self.group, self.now):
            rank = rank_worker(record, self.step, ())
            heapq.heapreplace(self._heap, (rank, record))
        else:
            heapq.heappop(self._heap)


@attrs.define
class PlanRoom:
    """The room that is left in the course of one plan.

    Room only shrinks while a plan is made, so that a step which found none speaks for
    all later ones that ask for as much.

    :param records: workers that are open.
    :param now: monotonic seconds.
    """

    records: t.Sequence[WorkerRecord]
    now: float
    _refused: list[Step] = attrs.field(factory=list)

    def rank(
        self,
        step: Step,
        group: Group,
        allowed: t.Collection[str] | None = None,
    ) -> Candidates:
        """Give the workers for the tasks of a step.

        :param step: the step.
        :param group: job, occurrence and number of the step.
        :param allowed: ids of the workers that it may use; ``None`` for all.
        """
        records = self.records
        if allowed is not None:
            records = [item for item in records if item.entry.worker_id in allowed]
        return Candidates(records, step, group, self.now)

    def measure_free(self) -> Amount:
        """Measure what is free on all workers together."""
        free = NOTHING
        for record in self.records:
            entry = record.entry
            offered = Amount(entry.cpu, entry.memory_mb, entry.accelerators)
            used = Amount(record.cpu_used, record.memory_used, record.accelerators_used)
            free += (offered - used).get_largest(NOTHING)
        return free

    def note_refused(self, step: Step) -> None:
        """Remember that no worker has room for a step that any worker may run."""
        if not step.requires and not step.anti_affinity:
            self._refused.append(step)

    def is_refused(self, step: Step) -> bool:
        """Tell whether a step asks for as much as one that found no room."""
        return any(asks_as_much(step, refused) for refused in self._refused)


def asks_as_much(step: Step, other: Step) -> bool:
    """Tell whether a step's tasks ask for at least as much of everything.

    :param step: the step.
    :param other: the step that it is compared with.
    """
    cpu, other_cpu = (0 if item.fills else item.cpu for item in (step, other))
    return (
        cpu >= other_cpu
        and step.memory_mb >= other.memory_mb
        and step.accelerators >= other.accelerators
    )
