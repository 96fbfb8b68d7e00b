"""How late the platform's process and the nodes of a soak were."""

import datetime
import pathlib
import time
import typing as t

import attrs

from onyxgap.cli.tracing import EVENT_FIELD
from onyxgap.cli.tracing import LogLine
from onyxgap.cli.tracing import parse_lines
from onyxgap.daemons.lag import REPORTED_LAG_S
from onyxgap.daemons.lag import LoopLag

LAG_EVENT = "event loop late"
"""Event of the log lines of nodes whose event loop is late."""
START_EVENT = "start"
"""Event of the log line that a node writes first."""
STEP_EVENT = "start step reached"
"""Event of the log lines of what a process reaches after its start."""
ALLOWED_LAG_S = 0.3
"""Lag of the platform from which nodes give up calls that it would have answered."""
SCHEDULER_STATISTICS = pathlib.Path("/proc/self/schedstat")
"""Nanoseconds for which this thread ran and waited for a processor, on Linux."""


def read_processor_wait() -> float:
    """Read for how long this thread has waited for a processor; 0 if not known.

    :returns: seconds since its start.
    """
    try:
        return int(SCHEDULER_STATISTICS.read_text().split()[1]) / 1e9
    except OSError:
        return 0.0


@attrs.define(eq=False)
class PlatformLag(LoopLag):
    """Measures how late the event loop of the platform's process is.

    :param late_s: sum of the lags that were high enough to be logged, in seconds.
    """

    late_s: float = 0.0

    def record(self, lag_s: float, cpu_s: float, now: float) -> None:
        """Record a sample.

        :param lag_s: how late the timer fired, in seconds.
        :param cpu_s: processor time that the process used meanwhile.
        :param now: monotonic seconds.
        """
        super().record(lag_s, cpu_s, now)
        if lag_s >= REPORTED_LAG_S:
            self.late_s += lag_s


@attrs.frozen
class PlatformLoad:
    """How late and how busy the platform's process was during a day.

    :param highest_lag_s: highest lag of its event loop.
    :param late_s: seconds for which its event loop was late.
    :param cpu_share: processor time that it used, in cores.
    :param wait_s: seconds for which it waited for a processor.
    """

    highest_lag_s: float = 0.0
    late_s: float = 0.0
    cpu_share: float = 0.0
    wait_s: float = 0.0

    def is_excessive(self) -> bool:
        """Return whether it was later than nodes allow, so that it may be the cause."""
        return self.highest_lag_s > ALLOWED_LAG_S


@attrs.define
class LoadMeter:
    """Measures the load of this process from its creation on.

    :param read_wait: reads the seconds for which it has waited for a processor.
    """

    read_wait: t.Callable[[], float] = read_processor_wait
    _began: float = attrs.field(factory=time.monotonic)
    _cpu_began: float = attrs.field(factory=time.process_time)
    _wait_began: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._wait_began = self.read_wait()

    def measure(self, lag: PlatformLag) -> PlatformLoad:
        """Return the load so far.

        :param lag: lag of the event loop.
        """
        elapsed_s = time.monotonic() - self._began
        cpu_s = time.process_time() - self._cpu_began
        return PlatformLoad(
            lag.highest_s,
            lag.late_s,
            cpu_s / elapsed_s,
            self.read_wait() - self._wait_began,
        )


def _read_lines(folder: pathlib.Path, event: str) -> t.Iterator[LogLine]:
    """Yield the lines of an event in the logs of all nodes, node by node."""
    for path in sorted(folder.glob("*.log")):
        for line in parse_lines(path.name, path.read_text(errors="replace")):
            if line.fields[EVENT_FIELD] == event:
                yield line


def read_node_lag(folder: pathlib.Path) -> float:
    """Read the highest lag that the nodes have logged, 0 if none was late.

    :param folder: folder with their logs.
    """
    lines = _read_lines(folder, LAG_EVENT)
    return max((line.fields["lag_s"] for line in lines), default=0.0)


def read_slowest_steps(folder: pathlib.Path) -> dict[str, float]:
    """Read the longest time from the start of a process to each step of its start.

    :param folder: folder with the logs of the nodes.
    :returns: seconds by step.
    """
    slowest: dict[str, float] = {}
    for line in _read_lines(folder, STEP_EVENT):
        step, seconds = line.fields["step"], line.fields["since_start_s"]
        slowest[step] = max(seconds, slowest.get(step, 0.0))
    return slowest


def read_last_start(folder: pathlib.Path, wall_start_s: float) -> float:
    """Read when the last of the nodes had started, each for the first time.

    :param folder: folder with their logs.
    :param wall_start_s: wall-clock time at the start of the day.
    :returns: seconds of the day, 0 if no node has started.
    """
    first: dict[str, float] = {}
    for line in _read_lines(folder, START_EVENT):
        at = datetime.datetime.fromisoformat(line.at).timestamp()
        first.setdefault(line.source, at - wall_start_s)
    return max(first.values(), default=0.0)
