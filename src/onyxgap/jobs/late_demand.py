"""Counts the VMs that a pool needs so that its late tasks go on.

Late tasks get the capacity that others leave. If others leave none, e.g. because
serving tasks fill all workers, the sum of the fractions of a VM that tasks take does
not show it: the free part of each worker may be too small for a task.
"""

import math
import typing as t

import attrs

from .amounts import ZERO_AMOUNT
from .messages import Step
from .placing import StepKey
from .placing import WorkerRecord
from .placing import count_places
from .placing import is_eligible

LATE_SHARE = 0.25
"""Fraction of the late tasks for which VMs are requested at a time: the tasks can take
turns, and a VM that is added for a short time costs a move."""


@attrs.define
class LateDemand:
    """Sums the late tasks of a pool that no worker has room for.

    :param records: workers of the shard.
    :param now: monotonic seconds.
    """

    records: t.Collection[WorkerRecord]
    now: float
    _waiting: float = 0.0
    _lacking: dict[t.Hashable, bool] = attrs.field(factory=dict)

    def add_step(self, step: Step, step_key: StepKey, fraction: float) -> None:
        """Add the waiting tasks of a late step.

        :param step: the step.
        :param step_key: job, occurrence and number of the step.
        :param fraction: VMs that the waiting tasks fill.
        """
        if fraction and self._lacks_room(step, step_key):
            self._waiting += fraction

    def count_vms(self) -> int:
        """Count the VMs of the pool with those for late tasks, 0 if none lacks room."""
        if not self._waiting:
            return 0
        present = sum(
            record.registered and not record.cordoned for record in self.records
        )
        return present + math.ceil(self._waiting * LATE_SHARE)

    def _lacks_room(self, step: Step, step_key: StepKey) -> bool:
        # hundreds of steps may wait, most of them alike
        kind = (
            step.cpu,
            step.memory_mb,
            step.accelerators,
            step.fills,
            step.requires,
            step_key if step.anti_affinity else None,
        )
        if kind not in self._lacking:
            self._lacking[kind] = self._find_lack(step, step_key)
        return self._lacking[kind]

    def _find_lack(self, step: Step, step_key: StepKey) -> bool:
        """Tell whether a task fits on a worker of the pool, but on none of them now."""
        if any(is_eligible(item, step, step_key, self.now) for item in self.records):
            return False
        return any(
            item.registered and count_places(item, step, ZERO_AMOUNT, 0)
            for item in self.records
        )
