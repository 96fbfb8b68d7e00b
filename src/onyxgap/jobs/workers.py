"""Orders to workers, their replies, and what is known of a worker's clock."""

import enum
import typing as t

import attrs

from .messages import EndedTask
from .messages import RunningTask
from .messages import TaskId

CLOCK_DRIFT = 0.02
"""A worker's clock may run this share slow; the platform's published bound."""
MS = 1000.0
"""Milliseconds in a second."""


class ReplyKind(enum.Enum):
    """What a worker did with an order."""

    DONE = "done"
    STALE_OWNER = "stale-owner"
    STALE_RUN = "stale-run"
    TOO_LATE = "too-late"
    NO_ROOM = "no-room"
    NO_TICKET = "no-ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"
    OTHER_LIFE = "other-life"
    NOT_SENT = "not-sent"
    NO_ANSWER = "no-answer"


@attrs.frozen(slots=True)
class Reply:
    """A worker's reply to an order.

    :param kind: what it did.
    :param clock_ms: its clock, if it told.
    :param detail: for the log.
    """

    kind: ReplyKind
    clock_ms: float | None = None
    detail: str = ""


@attrs.frozen(slots=True)
class StartOrder:
    """An order to start a run.

    :param worker_id: the intended life of the worker.
    :param address: its address.
    :param task: the task.
    :param run: number of the run; rises with each start of the task.
    :param spec: the job's opaque text.
    :param deadline_ms: time on the worker's clock after which it must not start.
    :param epoch: fencing token of the owner.
    :param checkpoint: checkpoint to resume from, or empty.
    :param ticket: ticket of the policy service, or empty.
    """

    worker_id: str
    address: str
    task: TaskId
    run: int
    spec: str
    deadline_ms: float
    epoch: int
    checkpoint: str = ""
    ticket: str = ""


@attrs.frozen(slots=True)
class StopOrder:
    """An order about a run that is on a worker.

    :param worker_id: the intended life of the worker.
    :param address: its address.
    :param task: the task.
    :param run: number of the run.
    :param epoch: fencing token of the owner.
    """

    worker_id: str
    address: str
    task: TaskId
    run: int
    epoch: int


@attrs.frozen(slots=True)
class HoldOrder:
    """An order to keep what runs alive, and to report.

    :param worker_id: the intended life of the worker.
    :param address: its address.
    :param epoch: fencing token of the owner.
    :param acknowledged: sequence up to which ends are stored.
    :param deadline_ms: new end of the lease on the worker's clock, or ``None``.
    :param wait_ms: how long the worker may wait for an end before it answers.
    """

    worker_id: str
    address: str
    epoch: int
    acknowledged: int
    deadline_ms: float | None
    wait_ms: int


@attrs.frozen(slots=True)
class HoldReport:
    """What a worker runs and what has ended there.

    :param clock_ms: its clock.
    :param running: runs that are present.
    :param ended: ends that are not acknowledged yet, in order.
    :param born: Unix milliseconds of its start, 0 where it does not tell.
    """

    clock_ms: float
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    born: int = 0


class Workers(t.Protocol):
    """Calls to workers; none raises for a failed call."""

    async def start(self, order: StartOrder) -> Reply:
        """Order a run to start."""

    async def stop(self, order: StopOrder) -> Reply:
        """Order a run to stop; it never starts afterwards."""

    async def set_pace(self, order: StopOrder, percent: int) -> Reply:
        """Order a run to work at a share of its speed."""

    async def hold(self, order: HoldOrder) -> HoldReport | Reply:
        """Extend the lease of everything on a worker and read its lists."""

    async def forget(self, worker_id: str) -> None:
        """Close the connections to a worker that is gone."""


@attrs.define(slots=True)
class WorkerClock:
    """What is known of a worker's clock, from samples and our monotonic clock.

    :param sample_ms: newest reading of the worker's clock.
    :param read_at: monotonic seconds when that reading arrived.
    """

    sample_ms: float
    read_at: float

    def observe(self, sample_ms: float, now: float) -> None:
        """Take a new reading, unless an older one says that more time has passed."""
        if sample_ms >= self.bound_low(now):
            self.sample_ms, self.read_at = sample_ms, now

    def estimate(self, now: float) -> float:
        """Estimate the worker's clock in milliseconds."""
        return self.sample_ms + (now - self.read_at) * MS

    def bound_low(self, now: float) -> float:
        """Give the least that the worker's clock can show."""
        return self.sample_ms + (now - self.read_at) * MS * (1 - CLOCK_DRIFT)
