"""Cordons under which the owner of a shard has not reported the worker drained.

The fleet controller sends an order about a VM only once the owner has reported its
worker drained under the ID of its cordon. So until it reports that, an owner may place
tasks on such a worker: the order then waits. It does so for jobs that stand still
beside a worker cordoned as surplus, since the controller may know too late that the
pool needs the VM, and beside one whose serving tasks find no room elsewhere, since it
is not drained before they do.
"""

import typing as t

import attrs

from ..pools.cordons import CordonReason
from ..pools.cordons import parse_reason

STANDING_S = 1.0
"""Time for which a job has nothing running before it may use a cordoned worker. Most
cordons of workers that a pool needs again are lifted within this time."""


@attrs.define
class UndrainedCordons:
    """Cordons under which the workers of one shard were not reported drained.

    :param cordons: their IDs, by worker.
    """

    cordons: dict[str, str] = attrs.field(factory=dict)
    _latest: frozenset[str] | None = None

    def update(self, cordons: t.Mapping[str, str]) -> None:
        """Note the cordons in a row of the fleet controller.

        A former owner may have reported drained workers under the cordons in the first
        row that this owner reads, but under no later ones.

        :param cordons: cordon IDs by worker.
        """
        previous, self._latest = self._latest, frozenset(cordons.values())
        if previous is None:
            return
        self.cordons = {
            worker_id: cordon_id
            for worker_id, cordon_id in cordons.items()
            if cordon_id not in previous or self.cordons.get(worker_id) == cordon_id
        }

    def note_reported(self, drained: t.Mapping[str, str]) -> None:
        """Note the workers that are about to be reported drained.

        :param drained: IDs of their cordons, by worker.
        """
        for worker_id, cordon_id in drained.items():
            if self.cordons.get(worker_id) == cordon_id:
                del self.cordons[worker_id]

    def is_surplus(self, worker_id: str) -> bool:
        """Return whether a worker is cordoned as surplus and not reported drained.

        :param worker_id: the worker.
        """
        reason = parse_reason(self.cordons.get(worker_id, ""))
        return reason is CordonReason.MOVE
