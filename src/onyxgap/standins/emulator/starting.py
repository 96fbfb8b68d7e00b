"""The machine on which the processes of nodes start: they share its processors."""

import random

import anyio
import attrs

SLICE_S = 0.02
"""Time after which the processors are shared out anew."""
SPREAD = 0.15
"""Largest part of a start's work by which one start differs from another."""


@attrs.define(eq=False)
class StartHost:
    """Processors that the starting processes of a day share.

    :param work_s: processor time that the start of a process takes.
    :param cores: processors of the machine.
    :param rng: draws how the starts differ.
    """

    work_s: float
    cores: float
    rng: random.Random
    _starting: int = 0

    async def start(self) -> None:
        """Take the time of a start, which other starts make longer."""
        if not self.work_s:
            return
        left_s = self.work_s * self.rng.uniform(1.0 - SPREAD, 1.0 + SPREAD)
        self._starting += 1
        try:
            while left_s > 0.0:
                await anyio.sleep(SLICE_S)
                left_s -= SLICE_S * min(1.0, self.cores / self._starting)
        finally:
            self._starting -= 1
