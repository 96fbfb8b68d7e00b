"""Counts the waiting jobs of queues from owned shards and the rows of other owners."""

import typing as t

import attrs

from ..jobs.messages import QueuePolicy
from ..jobs.ownership import OwnerView
from ..jobs.store_clock import StoreClock
from ..jobs.waiting import CountSource
from ..jobs.waiting import WaitingCount
from .owner import ShardOwner


@attrs.define(eq=False)
class QueueLengths:
    """Knows how many jobs of a queue have not started.

    :param owners: owned shards by name.
    :param views: newest owner row of each shard, as seen by this node.
    :param store_clock: clock by which owners tell when they have counted.
    """

    owners: t.Mapping[str, ShardOwner]
    views: t.Mapping[str, OwnerView]
    store_clock: StoreClock

    def count(self, policy: QueuePolicy, now: float) -> WaitingCount:
        """Count the waiting jobs of a queue.

        :param policy: policy of the queue.
        :param now: seconds of the boot clock.
        """
        current = self._count_in_shard(policy, now)
        if current.count is None:
            return current
        other = self._count_in_other_shards(policy)
        return attrs.evolve(current, count=current.count + other)

    def _count_in_shard(self, policy: QueuePolicy, now: float) -> WaitingCount:
        owner = self.owners.get(policy.service)
        if owner is not None and owner.loaded:
            count = owner.state.count_waiting().get(policy.queue, 0)
            return WaitingCount(count, CountSource.OWNER, epoch=owner.epoch)
        view = self.views.get(policy.service)
        store_ms = self.store_clock.get_latest_ms(now)
        report = view.get_load_report(store_ms) if view is not None else None
        if report is None:
            return WaitingCount(None, CountSource.NONE)
        count = report.row.get_waiting_count(policy.queue)
        epoch = report.row.epoch
        return WaitingCount(count, CountSource.OWNER_ROW, report.age_s, epoch)

    def _count_in_other_shards(self, policy: QueuePolicy) -> int:
        """Count the waiting jobs in the shards of the queue's previous services.

        New jobs go to the current service, so reports of other shards are used at any
        age.
        """
        return sum(
            view.load_report.get_waiting_count(policy.queue)
            for shard, view in self.views.items()
            if shard != policy.service and view.load_report is not None
        )
