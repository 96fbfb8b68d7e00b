"""The clocks of a process, behind one object that tests can replace."""

import time

import anyio


class SystemClocks:
    """Reads the event loop's clock and the wall clock."""

    def read_monotonic(self) -> float:
        """Read monotonic seconds of the running event loop."""
        return anyio.current_time()

    def read_wall(self) -> float:
        """Read wall-clock seconds since the epoch."""
        return time.time()
