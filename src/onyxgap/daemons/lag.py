"""Measures the lag of the event loop, which grows while the process is overloaded."""

import anyio
import attrs

from ..clocks import Clocks

SAMPLE_INTERVAL_S = 0.1
"""Time between two samples: a fifth of the time for which a start order is valid."""
DECAY = 0.7
"""Factor by which a measured lag decreases with each sample: it halves in 0.2 s."""


@attrs.define(eq=False)
class LoopLag:
    """Measures how late timers of the event loop fire.

    :param clocks: the process's clocks.
    :param seconds: lag; the newest sample, or the decayed value of an earlier one if
        that is larger.
    """

    clocks: Clocks
    seconds: float = 0.0

    async def watch(self) -> None:
        """Measure until cancelled."""
        while True:
            due = self.clocks.read_monotonic() + SAMPLE_INTERVAL_S
            await anyio.sleep(SAMPLE_INTERVAL_S)
            lag_s = max(0.0, self.clocks.read_monotonic() - due)
            self.seconds = max(lag_s, self.seconds * DECAY)
