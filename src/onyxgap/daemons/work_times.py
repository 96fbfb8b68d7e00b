"""Measures the processor time of a node by kind of work."""

import contextlib
import enum
import time
import typing as t

import attrs


class WorkKind(enum.Enum):
    """Kind of work that a node does without a pause in between."""

    PASS = "scheduling pass"
    REPORT = "pool report"
    ENCODING = "encoding of progress"
    LOAD = "load estimate"
    ROWS = "applying of rows"
    WORKER_REPORTS = "worker reports"
    STANDSTILLS = "check for standing jobs"
    FLEET = "fleet plan"


@attrs.frozen(slots=True)
class WorkSample:
    """Work since the last sample.

    :param total_s: processor seconds of all kinds.
    :param slowest: kind that took most of them, ``None`` if there was no work.
    :param slowest_s: processor seconds of that kind.
    """

    total_s: float = 0.0
    slowest: WorkKind | None = None
    slowest_s: float = 0.0


@attrs.define(eq=False)
class WorkTimes:
    """Processor time by kind of work. Of nested work, each part counts once.

    :param read_cpu: returns the processor time of the thread in seconds.
    :param seconds: processor seconds since the start, by kind.
    """

    read_cpu: t.Callable[[], float] = time.thread_time
    seconds: dict[WorkKind, float] = attrs.field(
        factory=lambda: dict.fromkeys(WorkKind, 0.0)
    )
    _sampled: dict[WorkKind, float] = attrs.field(factory=dict)
    _nested_s: float = 0.0

    @contextlib.contextmanager
    def measure(self, kind: WorkKind) -> t.Iterator[None]:
        """Measure the work in a context, in which the caller must not wait.

        :param kind: kind of the work.
        """
        began, outer_nested_s = self.read_cpu(), self._nested_s
        self._nested_s = 0.0
        try:
            yield
        finally:
            took_s = self.read_cpu() - began
            self.seconds[kind] += took_s - self._nested_s
            self._nested_s = outer_nested_s + took_s

    def take_sample(self) -> WorkSample:
        """Return the work since the last call."""
        since = {
            kind: seconds - self._sampled.get(kind, 0.0)
            for kind, seconds in self.seconds.items()
        }
        self._sampled = dict(self.seconds)
        slowest = max(since, key=lambda kind: since[kind])
        if not since[slowest]:
            return WorkSample()
        return WorkSample(sum(since.values()), slowest, since[slowest])

    def list_seconds(self) -> dict[str, float]:
        """Return the processor seconds since the start, by the name of the kind."""
        return {kind.value: seconds for kind, seconds in self.seconds.items()}
