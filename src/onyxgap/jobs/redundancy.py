"""Counts the VMs with which a pool has room for its serving tasks after a loss.

A pool is cut to the VMs on which tasks serve. If these tasks may not share a worker, or
fill it, the task of a VM that fails then fits on no other one, and is away until a VM
has moved: for as long as the platform's VM interface is away.
"""

import typing as t

from .messages import Step
from .placing import StepKey
from .placing import WorkerRecord
from .shortage import WorkerSpace
from .shortage import place_together

_Load = tuple[tuple[StepKey, int], ...]
"""Serving tasks on a worker, by step."""


def count_redundant_workers(
    steps: t.Mapping[StepKey, Step], records: t.Iterable[WorkerRecord]
) -> int:
    """Count the workers with which the serving tasks of any one of them find room.

    Workers on which nothing serves are not counted one by one, so that the count stays
    the same whether the pool has them or not.

    :param steps: long-running steps by key.
    :param records: workers of the shard.
    :returns: number of workers, 0 if those with serving tasks have the room.
    """
    serving = {
        item.entry.worker_id: (item, load)
        for item in records
        if item.registered and not item.cordoned and (load := _list_load(item, steps))
    }
    # workers with the same tasks are alike, so one of them is tried
    examples = {load: worker_id for worker_id, (_, load) in serving.items()}
    workers = {worker_id: item for worker_id, (item, _) in serving.items()}
    lacking = max(
        (
            _count_lacking(worker_id, load, steps, workers)
            for load, worker_id in examples.items()
        ),
        default=0,
    )
    return len(serving) + lacking if lacking else 0


def _list_load(record: WorkerRecord, steps: t.Mapping[StepKey, Step]) -> _Load:
    present = (item for item in record.present.items() if item[0] in steps)
    return tuple(sorted(present))


def _count_lacking(
    lost: str,
    load: _Load,
    steps: t.Mapping[StepKey, Step],
    workers: t.Mapping[str, WorkerRecord],
) -> int:
    """Count the workers that are lacking once one of them is lost."""
    spaces = [
        WorkerSpace(item, item.serving)
        for worker_id, item in workers.items()
        if worker_id != lost
    ]
    for step_key, count in load:
        place_together(steps[step_key], step_key, count, spaces, list(workers.values()))
    return sum(space.added for space in spaces)
