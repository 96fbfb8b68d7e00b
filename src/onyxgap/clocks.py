"""The clocks of a process, behind one object that tests can replace."""

import time
import typing as t

import anyio


class Clocks(t.Protocol):
    """The clocks that a process reads."""

    def read_monotonic(self) -> float:
        """Read monotonic seconds; no other process's clock compares."""

    def read_wall(self) -> float:
        """Read wall-clock seconds, for people and long cycles only."""

    def read_boot(self) -> float:
        """Read monotonic seconds that also count while the VM is suspended."""


class SystemClocks:
    """Reads the event loop's clock and the wall clock."""

    def read_monotonic(self) -> float:
        """Read monotonic seconds of the running event loop."""
        return anyio.current_time()

    def read_wall(self) -> float:
        """Read wall-clock seconds since the epoch."""
        return time.time()

    def read_boot(self) -> float:
        """Read monotonic seconds that also count while the VM is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
