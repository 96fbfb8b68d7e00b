"""A day with the faults of its script."""

import typing as t

import anyio
import anyio.abc
import attrs

from ...pools.sizing import PoolSizer
from ...pools.sizing import Sizer
from .configuration_faults import CONFIGURATION_FAULTS
from .day import DayResult
from .disturbances import ALL_NODES
from .fault_targets import FaultPlayers
from .fault_targets import FaultTargets
from .interface_faults import VM_INTERFACE_FAULTS
from .node_faults import NODE_FAULTS
from .script import FaultLine
from .script import Script
from .store_faults import STORE_FAULTS
from .worker_faults import WORKER_FAULTS

_FAULTS: FaultPlayers = {
    **NODE_FAULTS,
    **WORKER_FAULTS,
    **STORE_FAULTS,
    **VM_INTERFACE_FAULTS,
    **CONFIGURATION_FAULTS,
}


@attrs.define(eq=False)
class FaultyDay(FaultTargets):
    """A day with the faults of its script."""

    def _start_faults(self, group: anyio.abc.TaskGroup) -> None:
        """Start the faults of the script."""
        for fault in self.script.faults:
            group.start_soon(self._run_fault, fault)

    async def _run_fault(self, fault: FaultLine) -> None:
        await anyio.sleep(fault.at)
        if fault.target == "store" or (fault.verb, fault.target) == ("refuse", "node"):
            self.record_disturbance(ALL_NODES, fault.seconds)
        now = anyio.current_time()
        if fault.target in ("orders", "holds"):
            self.disturbances.order_spans.append((now, now + fault.seconds))
        if fault.verb == "cut" and fault.target in ("vm", "rack"):
            # a run on a worker out of reach is given up once its lease has ended
            self.disturbances.cut_spans.append((now, now + fault.seconds))
        await self._play_fault(fault)

    async def _play_fault(self, fault: FaultLine) -> None:
        await _FAULTS[fault.verb, fault.target](self, fault)


async def play_day(
    script: Script, seed: int, build_sizer: t.Callable[[], Sizer] = PoolSizer
) -> DayResult:
    """Play a day of a script.

    :param script: the day.
    :param seed: seed of everything that is drawn.
    :param build_sizer: builds what chooses the sizes of pools.
    """
    return await FaultyDay(script, seed, build_sizer).play()
