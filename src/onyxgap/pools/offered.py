"""Measures the load offered to each shard, to detect demand that rises within a second.

The queue of a pool grows only once its VMs are full, and a VM requested at that point
serves seconds later. The work of arriving jobs shows the rise earlier.
"""

import collections
import math

import attrs

from .messages import PoolReport

WINDOW_S = 1.0
"""Window over which arriving work is averaged. A VM requested now serves about 2.2 s
later, and a busy queue receives ten jobs a second."""
HALF_WEIGHT_JOBS = 1.0
"""Number of jobs whose work counts half when no others arrive in the window. One large
job is five VM seconds; without this, a pool of large jobs would grow for each of them
without need."""


@attrs.define(slots=True)
class _ArrivedWork:
    epoch: int
    jobs: int
    total: float
    recent: collections.deque[tuple[float, int, float]]


@attrs.define
class OfferedLoad:
    """Work that arrived at each shard within the last second."""

    _shards: dict[str, _ArrivedWork] = attrs.field(factory=dict)

    def observe(self, report: PoolReport, now: float) -> None:
        """Record the work that a shard has accepted since its previous report.

        :param report: the report; its counters restart with its epoch.
        :param now: monotonic seconds.
        """
        epoch, jobs, offered = report.epoch, report.arrived_jobs, report.offered
        arrived = self._shards.get(report.shard)
        if arrived is None:
            # a previous fleet controller may already have seen all or part of this sum
            arrived = _ArrivedWork(epoch, jobs, offered, collections.deque())
            self._shards[report.shard] = arrived
            return
        if arrived.epoch != epoch:
            arrived = _ArrivedWork(epoch, 0, 0.0, arrived.recent)
            self._shards[report.shard] = arrived
        if offered > arrived.total:
            arrived.recent.append((now, jobs - arrived.jobs, offered - arrived.total))
            arrived.jobs, arrived.total = jobs, offered

    def get_load(self, shard: str, now: float) -> float:
        """Return the VMs that the work arriving at a shard keeps busy.

        A single job says little about the next second, so the work is weighted less
        the fewer jobs arrived.

        :param shard: the shard.
        :param now: monotonic seconds.
        """
        jobs, work = self._sum_window(shard, now)
        return work / WINDOW_S * jobs / (jobs + HALF_WEIGHT_JOBS)

    def get_load_lower_bound(self, shard: str, now: float) -> float:
        """Return the VMs that arriving work keeps busy, less its random error.

        :param shard: the shard.
        :param now: monotonic seconds.
        """
        jobs, work = self._sum_window(shard, now)
        return work / WINDOW_S * (1 - 1 / math.sqrt(jobs)) if jobs else 0.0

    def _sum_window(self, shard: str, now: float) -> tuple[int, float]:
        """Return the number of jobs that arrived within the window, and their work."""
        arrived = self._shards.get(shard)
        if arrived is None:
            return 0, 0.0
        while arrived.recent and arrived.recent[0][0] < now - WINDOW_S:
            arrived.recent.popleft()
        jobs = sum(count for _, count, _ in arrived.recent)
        work = sum(item for _, _, item in arrived.recent)
        return jobs, work
