"""How late the event loop of the process is; tells when it has too much to do."""

import anyio
import attrs

from ..clocks import Clocks

LOOK_S = 0.1
"""Pause between two looks: a fifth of the time that an order stays valid."""
DECAY = 0.7
"""Share of an earlier lateness that still counts at the next look: half of it
is forgotten after 0.2 s."""


@attrs.define(eq=False)
class LoopLag:
    """Measures how late timers of the process fire.

    :param clocks: the process's clocks.
    :param seconds: lateness, the newest one or what is left of earlier ones.
    """

    clocks: Clocks
    seconds: float = 0.0

    async def watch(self) -> None:
        """Measure until cancelled."""
        while True:
            due = self.clocks.read_monotonic() + LOOK_S
            await anyio.sleep(LOOK_S)
            late_s = max(0.0, self.clocks.read_monotonic() - due)
            self.seconds = max(late_s, self.seconds * DECAY)
