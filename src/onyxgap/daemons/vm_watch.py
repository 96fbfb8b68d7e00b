"""Finds out which silent workers are dead, by the platform's list of VMs."""

import typing as t

import anyio
import attrs
import structlog

from ..clocks import Clocks
from ..exceptions import PlatformUnavailableError
from ..pools.messages import CloudClient
from ..pools.messages import VmState

LIST_INTERVAL_S = 0.4
"""Time between two requests for the list while a worker is silent. All nodes together
may send 64 requests a second."""
IDLE_CHECK_INTERVAL_S = 0.1
"""Time between two checks for silent workers, which need no call."""

_LOG = structlog.get_logger()


class SilentWorkerOwner(t.Protocol):
    """Shard owner that may have silent workers."""

    def has_silent_workers(self) -> bool:
        """Tell whether any worker is silent."""

    def apply_live_workers(self, live: t.Collection[str], sent_at: float) -> None:
        """Remove silent workers that the platform's list of VMs does not show as up.

        :param live: ids of the workers of VMs that are up.
        :param sent_at: monotonic seconds when the list was requested.
        """


@attrs.define
class VmWatch:
    """Lists VMs while workers are silent and tells their owners which VMs are up.

    The platform lists a crashed VM as down at once, and one that is only unreachable
    as up. So the runs of a dead worker are released before their lease ends.

    :param cloud: calls about VMs.
    :param clocks: the process's clocks.
    :param list_owners: lists the owners of shards on this node.
    """

    cloud: CloudClient
    clocks: Clocks
    list_owners: t.Callable[[], t.Sequence[SilentWorkerOwner]]

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            owners = [item for item in self.list_owners() if item.has_silent_workers()]
            if not owners:
                await anyio.sleep(IDLE_CHECK_INTERVAL_S)
                continue
            sent_at = self.clocks.read_monotonic()
            try:
                vms = await self.cloud.list_vms()
            except PlatformUnavailableError as error:
                _LOG.info("VMs not listed", reason=str(error))
            else:
                live = {vm.worker_id for vm in vms if vm.state is VmState.UP}
                for owner in owners:
                    owner.apply_live_workers(live, sent_at)
            await anyio.sleep(LIST_INTERVAL_S)
