"""Faults of connections between nodes and the platform, which only the soak plays."""

import random
import typing as t

import anyio
import attrs

from onyxgap.standins.emulator.disturbances import ALL_NODES
from onyxgap.standins.emulator.disturbances import DisturbanceLog
from onyxgap.standins.emulator.script import FaultLine
from onyxgap.standins.emulator.script import Script

from .connections import Break
from .connections import PlatformConnections

ABORT = "abort"
ABORTS = ((ABORT, "node"), (ABORT, "all"))
BREAKS: t.Mapping[tuple[str, str], Break] = {
    ("reset", "calls"): Break.RESET_ANSWER,
    ("cut", "answers"): Break.CUT_ANSWER,
    ("close", "idle"): Break.CLOSE_IDLE,
}
KINDS = (*ABORTS, *BREAKS)
"""Verb and target of each kind."""
STRENGTH = 0.3
"""Share of the calls of which the connection breaks."""


def draw_connection_faults(script: Script, seed: int, count: int) -> Script:
    """Add random faults of connections to a script.

    They are drawn apart from the other faults, which stay the same.

    :param script: the day.
    :param seed: seed of the draw.
    :param count: number of faults.
    """
    rng = random.Random(f"connections/{seed}")
    faults = []
    for _ in range(count):
        verb, target = rng.choice(KINDS)
        at = rng.uniform(4.0, script.end_s)
        seconds = 0.0 if verb == ABORT else rng.uniform(1.0, 6.0)
        faults.append(FaultLine(at, verb, target, "", seconds, STRENGTH))
    return attrs.evolve(script, faults=[*script.faults, *faults])


@attrs.define
class ConnectionFaults:
    """Plays the faults of connections of a day.

    An abort is no disturbance that excuses anything: clients reconnect at once.

    :param nodes: connections of each node to the platform.
    :param disturbances: log of the faults that affected nodes.
    :param rng: draws the node of a fault.
    """

    nodes: t.Sequence[PlatformConnections]
    disturbances: DisturbanceLog
    rng: random.Random

    async def play(self, fault: FaultLine) -> None:
        """Play one fault.

        :param fault: the fault, of a kind in :data:`KINDS`.
        """
        if fault.verb == ABORT:
            self._abort(fault.target)
        else:
            await self._break_calls(fault)

    def _abort(self, target: str) -> None:
        hit = self.nodes if target == "all" else [self.rng.choice(self.nodes)]
        for connections in hit:
            connections.reset_all()

    async def _break_calls(self, fault: FaultLine) -> None:
        kind, now = BREAKS[fault.verb, fault.target], anyio.current_time()
        self.disturbances.record(ALL_NODES, now, now + fault.seconds)
        for connections in self.nodes:
            connections.shares[kind] = fault.strength
        await anyio.sleep(fault.seconds)
        for connections in self.nodes:
            connections.shares.pop(kind, None)
