"""Counts the waiting jobs of queues from owned shards and the rows of other owners."""

import typing as t

import attrs

from ..jobs.ownership import OwnerView
from ..jobs.routing import Route
from ..jobs.routing import RouteTable
from ..jobs.store_clock import StoreClock
from ..jobs.waiting import CountSource
from ..jobs.waiting import WaitingCount
from .owner import ShardOwner

_UNKNOWN = WaitingCount(None, CountSource.NONE)


@attrs.define(eq=False)
class QueueLengths:
    """Knows how many jobs of a queue have not started.

    :param owners: owned shards by name.
    :param views: newest owner row of each shard, as seen by this node.
    :param store_clock: clock by which owners tell when they have counted.
    :param routes: knows the former services of queues.
    """

    owners: t.Mapping[str, ShardOwner]
    views: t.Mapping[str, OwnerView]
    store_clock: StoreClock
    routes: RouteTable

    def count(self, route: Route, now: float) -> WaitingCount:
        """Count the waiting jobs of a queue.

        :param route: the route of the queue.
        :param now: seconds of the boot clock.
        """
        queue = route.policy.queue
        shards = (route.policy.service, *self._list_former_shards(route))
        counts = [self._count_in_shard(shard, queue, now) for shard in shards]
        total = self._count_in_rows_except(shards, queue)
        for item in counts:
            if item.count is None:
                return _UNKNOWN
            total += item.count
        age_s = max(item.age_s for item in counts)
        return attrs.evolve(counts[0], count=total, age_s=age_s)

    def _list_former_shards(self, route: Route) -> tuple[str, ...]:
        """List the shards of the queue's former services that have owners."""
        shards = self.routes.list_shards()
        former = self.routes.list_other_services(
            route.get_queue(), route.policy.service
        )
        return tuple(shard for shard in former if shard in shards)

    def _count_in_shard(self, shard: str, queue: str, now: float) -> WaitingCount:
        owner = self.owners.get(shard)
        if owner is not None and owner.loaded:
            count = owner.state.count_waiting().get(queue, 0)
            return WaitingCount(count, CountSource.OWNER, epoch=owner.epoch)
        view = self.views.get(shard)
        store_ms = self.store_clock.get_latest_ms(now)
        report = view.get_load_report(store_ms) if view is not None else None
        if report is None:
            return _UNKNOWN
        count = report.row.get_waiting_count(queue)
        epoch = report.row.epoch
        return WaitingCount(count, CountSource.OWNER_ROW, report.age_s, epoch)

    def _count_in_rows_except(self, shards: t.Collection[str], queue: str) -> int:
        """Count the waiting jobs of a queue in shards that it is not known to have had.

        They receive no new jobs of the queue, so reports of any age are used.

        :param shards: the shards that are left out.
        :param queue: the queue.
        """
        return sum(
            view.load_report.get_waiting_count(queue)
            for shard, view in self.views.items()
            if shard not in shards and view.load_report is not None
        )
