"""Looks at the list of VMs while workers are silent, to tell dead from cut off."""

import typing as t

import anyio
import attrs
import structlog

from ..clocks import Clocks
from ..exceptions import PlatformUnavailableError
from ..pools.messages import Cloud
from ..pools.messages import VmState

PAUSE_S = 0.4
"""Pause between two lists while a worker is silent; all nodes share 64 a second."""
IDLE_PAUSE_S = 0.1
"""Pause between two looks for silent workers; it costs no call."""

_LOG = structlog.get_logger()


class Watcher(t.Protocol):
    """Somebody who may have silent workers."""

    def has_silent_workers(self) -> bool:
        """Tell whether any worker gives no answer."""

    def apply_live_workers(self, live: t.Collection[str], sent_at: float) -> None:
        """Take in which workers are alive by the platform's list."""


@attrs.define
class VmWatch:
    """Tells owners which silent workers are dead.

    A crashed VM is listed as down at once, one that is only cut off as up, so
    that the runs of a dead worker need not wait for the end of their lease.

    :param cloud: calls about VMs.
    :param clocks: the process's clocks.
    :param watchers: gives those that may have silent workers.
    """

    cloud: Cloud
    clocks: Clocks
    watchers: t.Callable[[], t.Sequence[Watcher]]

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            watchers = [item for item in self.watchers() if item.has_silent_workers()]
            if not watchers:
                await anyio.sleep(IDLE_PAUSE_S)
                continue
            sent_at = self.clocks.read_monotonic()
            try:
                vms = await self.cloud.list_vms()
            except PlatformUnavailableError as error:
                _LOG.info("VMs not listed", reason=str(error))
            else:
                live = {vm.worker_id for vm in vms if vm.state is VmState.UP}
                for watcher in watchers:
                    watcher.apply_live_workers(live, sent_at)
            await anyio.sleep(PAUSE_S)
