"""Measures how long a process takes from its start to its first decisions."""

import enum
import time
import typing as t

import attrs
import structlog

from ..clocks import Clocks

_LOG = structlog.get_logger()


class StartStep(enum.Enum):
    """What a process reaches after its start, each once."""

    MODULES = "modules imported"
    LISTENING = "callers can connect"
    CONFIGURATION = "configuration read"
    REGISTERED = "registered"
    OWNERS = "owner rows read"
    CLAIM = "first shard claimed"
    LOADED = "first shard loaded"
    PASS = "first pass ended"
    TASK = "first task started"


@attrs.define(eq=False)
class StartTimes:
    """Times from the start of a process to the steps that it has reached.

    :param clocks: the process's clocks.
    :param started_at: seconds of the boot clock when the process started.
    :param read_processor: returns the processor time of the process in seconds.
    :param reached: seconds since the start of the process, by step.
    """

    clocks: Clocks
    started_at: float = 0.0
    read_processor: t.Callable[[], float] = time.process_time
    reached: dict[StartStep, float] = attrs.field(factory=dict)

    def note(self, step: StartStep) -> None:
        """Record that a step was reached; only the first time counts.

        :param step: the step.
        """
        if step in self.reached:
            return
        since_start_s = self.clocks.read_boot() - self.started_at
        self.reached[step] = since_start_s
        _LOG.info(
            "start step reached",
            step=step.value,
            since_start_s=round(since_start_s, 3),
            processor_s=round(self.read_processor(), 3),
        )

    def get_seconds(self, step: StartStep) -> float:
        """Return the seconds from the start to a step, -1 if it was not reached yet.

        :param step: the step.
        """
        return self.reached.get(step, -1.0)
