"""Monotonic, wall and boot clocks of a process, as an object that tests can replace."""

import time
import typing as t

import anyio


class Clocks(t.Protocol):
    """The clocks that a process reads."""

    def read_monotonic(self) -> float:
        """Read monotonic seconds; not comparable between processes."""

    def read_wall(self) -> float:
        """Read wall-clock seconds since the epoch.

        Only for times shown to people and for periods of days.
        """

    def read_boot(self) -> float:
        """Read monotonic seconds that also count while the VM is suspended."""


class SystemClocks:
    """Reads the clocks of the event loop and the operating system."""

    def read_monotonic(self) -> float:
        """Read monotonic seconds of the running event loop."""
        return anyio.current_time()

    def read_wall(self) -> float:
        """Read wall-clock seconds since the epoch."""
        return time.time()

    def read_boot(self) -> float:
        """Read monotonic seconds that also count while the VM is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
