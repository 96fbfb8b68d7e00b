"""Monotonic, wall and boot clocks of a process, as an object that tests can replace."""

import os
import pathlib
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


PROCESS_STATUS = pathlib.Path("/proc/self/stat")
"""What the operating system knows of this process, on Linux."""
START_FIELD = 19
"""Position of the start of the process, in clock ticks of the boot clock, among the
fields after its name."""


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


def read_process_start() -> float:
    """Read when this process started, before it imported anything.

    :returns: seconds of the boot clock; the current ones if the system does not tell.
    """
    try:
        fields = PROCESS_STATUS.read_text().rpartition(")")[2].split()
        return int(fields[START_FIELD]) / os.sysconf("SC_CLK_TCK")
    except (OSError, LookupError, ValueError):
        return SystemClocks().read_boot()
