"""A day of the emulator whose nodes are processes, in real time."""

import asyncio
import functools
import pathlib
import random
import time
import typing as t

import anyio
import anyio.abc
import attrs

from onyxgap.clocks import SystemClocks
from onyxgap.standins.emulator.breach import Breach
from onyxgap.standins.emulator.day import DayResult
from onyxgap.standins.emulator.faults import FaultyDay
from onyxgap.standins.emulator.script import FaultLine
from onyxgap.standins.emulator.script import Script

from .bytecode import compile_package
from .connection_faults import KINDS
from .connection_faults import ConnectionFaults
from .connections import Break
from .cores import CoreShare
from .lags import LoadMeter
from .lags import PlatformLag
from .lags import PlatformLoad
from .lags import read_last_start
from .lags import read_node_lag
from .lags import read_slowest_steps
from .malformed import list_malformed_registrations
from .processes import ProcessSlot

FINISH_S = 12.0
"""Time after the end of a day in which accepted jobs must end: days are short."""
RESTART = ("restart", "vm")
CLOSED_SHARE = 0.5
"""Share of the answers that close their connection on a day on which workers start
again: only connections that are made meanwhile reach the next incarnation."""


@attrs.frozen
class SoakResult(DayResult):
    """How a day with processes ended.

    :param platform: how late and how busy the platform's process was.
    :param node_lag_s: highest lag of a node's event loop that the nodes have logged.
    :param nodes_started_s: when the last node had started.
    :param slowest_steps: longest time from the start of a process to each step of its
        start, in seconds.
    """

    platform: PlatformLoad = PlatformLoad()
    node_lag_s: float = 0.0
    nodes_started_s: float = 0.0
    slowest_steps: t.Mapping[str, float] = attrs.field(factory=dict)


class LoopFromZero(asyncio.SelectorEventLoop):
    """An event loop whose clock begins at nought, as that of an emulated day."""

    def __init__(self) -> None:
        super().__init__()
        self._began = super().time()

    def time(self) -> float:
        """Read the clock."""
        return super().time() - getattr(self, "_began", 0.0)


@attrs.define(eq=False)
class SoakDay(FaultyDay):
    """One day with processes for nodes.

    :param folder: where they write.
    :param cores: processors of the nodes.
    :param lag: lag of this process, in which the platform and the callers run.
    """

    folder: pathlib.Path = pathlib.Path()
    finish_s: float = FINISH_S
    cores: CoreShare = CoreShare()
    lag: PlatformLag = attrs.field(factory=lambda: PlatformLag(SystemClocks()))
    _load: LoadMeter = attrs.field(factory=LoadMeter)
    _connection_faults: ConnectionFaults = attrs.field(init=False)

    def _build(self, group: anyio.abc.TaskGroup) -> None:
        super()._build(group)
        self.callers.wall_start_s = self._find_wall_start()
        slots = [
            ProcessSlot(slot.name, self, folder=self.folder, cores=self.cores)
            for slot in self.slots
        ]
        self.slots = [*slots]
        if any((item.verb, item.target) == RESTART for item in self.script.faults):
            for slot in slots:
                slot.connections.shares[Break.CLOSE_ANSWERED] = CLOSED_SHARE
        self._connection_faults = ConnectionFaults(
            [slot.connections for slot in slots],
            self.disturbances,
            random.Random(f"connections/{self.seed}"),
        )

    def _find_wall_start(self) -> float:
        return time.time() - anyio.current_time()

    def list_malformed_registrations(self, service: str) -> tuple[bytes, ...]:
        """List registrations of a service that the nodes' decoders cannot read."""
        return list_malformed_registrations(service)

    async def _play_fault(self, fault: FaultLine) -> None:
        if (fault.verb, fault.target) in KINDS:
            await self._connection_faults.play(fault)
        else:
            await super()._play_fault(fault)

    async def _start_nodes(self, group: anyio.abc.TaskGroup) -> None:
        group.start_soon(self.lag.watch)
        group.start_soon(self._keep_cores_busy)
        for slot in self.slots:
            assert isinstance(slot, ProcessSlot)
            await slot.listen(group)
        await super()._start_nodes(group)

    async def _keep_cores_busy(self) -> None:
        """Run the busy processes once all nodes listen: beside them that takes long."""
        for slot in self.slots:
            assert isinstance(slot, ProcessSlot)
            await slot.wait_until_listening()
        with self.cores.keep_busy():
            await anyio.sleep_forever()

    def _judge(self) -> SoakResult:
        load = self._load.measure(self.lag)
        result = super()._judge()
        breaches = list(result.breaches)
        for slot in self.slots:
            assert isinstance(slot, ProcessSlot)
            breaches += [
                Breach("ends", 0.0, f"{slot.name} ended by itself with {code}")
                for code in slot.ended
            ]
            if slot.outlived:
                detail = f"{slot.name} outlived its grace {slot.outlived} times"
                breaches.append(Breach("ends", 0.0, detail))
            for call in slot.lost_calls.list_lost():
                detail = (
                    f"{slot.name} stopped, {call.what} unanswered {call.waited_s:.2f} s"
                )
                breaches.append(Breach("lost", call.at, detail))
        return SoakResult(
            breaches,
            result.account,
            result.hindsight,
            load,
            read_node_lag(self.folder),
            read_last_start(self.folder, self.callers.wall_start_s),
            read_slowest_steps(self.folder),
        )


def play_soak(
    script: Script,
    seed: int,
    folder: pathlib.Path,
    finish_s: float = FINISH_S,
    cores: CoreShare | None = None,
) -> SoakResult:
    """Play a day in real time.

    :param script: the day.
    :param seed: seed of everything that is drawn.
    :param folder: where the processes write.
    :param finish_s: seconds after the end of the day by which accepted jobs must end.
    :param cores: processors of the nodes; without it all, beside nothing else.
    """
    cores = cores or CoreShare()
    compile_package()
    day = SoakDay(script, seed, folder=folder, finish_s=finish_s, cores=cores)
    run = functools.partial(anyio.run, day.play, backend="asyncio")
    with cores.confine_soak():
        result = run(backend_options={"loop_factory": LoopFromZero})
    assert isinstance(result, SoakResult)
    return result
