"""Measures how much work arrives; answers a demand that rises within a second.

The queue of a pool grows only once its VMs are full, and a VM that is asked for
then serves seconds later. The work of the jobs that arrive tells it before.
"""

import collections

import attrs

WINDOW_S = 1.0
"""Span over which arriving work is averaged: a VM asked for now serves about 2.2 s
later, and jobs of a busy queue arrive ten a second."""


@attrs.define(slots=True)
class _Arrivals:
    epoch: int
    total: float
    recent: collections.deque[tuple[float, float]]


@attrs.define
class OfferedLoad:
    """Work that arrived within the last second, by shard."""

    _shards: dict[str, _Arrivals] = attrs.field(factory=dict)

    def observe(self, shard: str, epoch: int, offered: float, now: float) -> None:
        """Take in how much work a shard's owner has taken in.

        :param shard: the shard.
        :param epoch: fencing token of the owner; its sum begins anew with it.
        :param offered: VM seconds of work since the owner began.
        :param now: monotonic seconds.
        """
        known = self._shards.get(shard)
        if known is None:
            # a sum that an earlier holder has seen already, in part or whole
            self._shards[shard] = _Arrivals(epoch, offered, collections.deque())
            return
        if known.epoch != epoch:
            known = _Arrivals(epoch, 0.0, known.recent)
            self._shards[shard] = known
        if offered > known.total:
            known.recent.append((now, offered - known.total))
            known.total = offered

    def get_rate(self, shard: str, now: float) -> float:
        """Give the VMs that the work arriving at a shard keeps busy.

        :param shard: the shard.
        :param now: monotonic seconds.
        """
        known = self._shards.get(shard)
        if known is None:
            return 0.0
        while known.recent and known.recent[0][0] < now - WINDOW_S:
            known.recent.popleft()
        return sum(work for _, work in known.recent) / WINDOW_S
