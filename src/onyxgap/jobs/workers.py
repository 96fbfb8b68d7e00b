"""Orders to workers, their replies, and estimates of their clocks."""

import enum
import typing as t

import attrs

from .call_timeouts import HOLD_MARGIN_S
from .call_timeouts import START_TIMEOUT_S
from .messages import EndedTask
from .messages import RunningTask
from .messages import TaskId

MAX_CLOCK_DRIFT = 0.02
"""Largest share by which a worker's clock runs slow, as published by the platform."""
MS_PER_S = 1000.0
"""Milliseconds in a second."""
MAX_READING_AGE_S = 10.0
"""Age from which a reading of a worker's clock is replaced by any newer one: the
estimate of a slow clock runs ahead by 2% of that age."""


class ReplyKind(enum.Enum):
    """Outcome of an order to a worker."""

    DONE = "done"
    STALE_OWNER = "stale-owner"
    STALE_RUN = "stale-run"
    TOO_LATE = "too-late"
    NO_ROOM = "no-room"
    NO_TICKET = "no-ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"
    OTHER_WORKER = "other-life"
    NOT_SENT = "not-sent"
    OTHER_INCARNATION = "other-incarnation"
    """The order was not sent: another incarnation answers at the worker's address."""
    WITHHELD = "withheld"
    """The owner did not send the order, since its ownership was not confirmed."""
    NO_ANSWER = "no-answer"


@attrs.frozen(slots=True)
class Reply:
    """A worker's reply to an order.

    :param kind: outcome of the order.
    :param clock_ms: milliseconds on the worker's clock, if the reply has them.
    :param detail: details for the log.
    :param overdue_s: seconds by which the timeout of the call has fired late; ``None``
        if it did not fire.
    """

    kind: ReplyKind
    clock_ms: float | None = None
    detail: str = ""
    overdue_s: float | None = None


@attrs.frozen(slots=True)
class StartOrder:
    """An order to start a run.

    :param worker_id: id of the intended worker; another one at the address refuses.
    :param address: address of the worker.
    :param task: the task.
    :param run: number of the run, which increases with each start of the task.
    :param spec: opaque specification from the job.
    :param deadline_ms: milliseconds on the worker's clock after which the run must not
        start.
    :param epoch: fencing token, from the epoch of the owner and the restarts of the
        worker that it knows.
    :param checkpoint: checkpoint to resume from, or empty.
    :param ticket: ticket of the policy service, or empty.
    :param timeout_s: seconds allowed for the reply.
    :param incarnation: start of the incarnation of the worker that it is meant for,
        Unix milliseconds, 0 if not known.
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
    timeout_s: float = START_TIMEOUT_S
    incarnation: int = 0


@attrs.frozen(slots=True)
class StopOrder:
    """An order to stop a run on a worker, or to set its pace.

    :param worker_id: id of the intended worker; another one at the address refuses.
    :param address: address of the worker.
    :param task: the task.
    :param run: number of the run.
    :param epoch: fencing token, from the epoch of the owner and the restarts of the
        worker that it knows.
    :param incarnation: start of the incarnation of the worker that it is meant for,
        Unix milliseconds, 0 if not known.
    """

    worker_id: str
    address: str
    task: TaskId
    run: int
    epoch: int
    incarnation: int = 0


@attrs.frozen(slots=True)
class HoldOrder:
    """A hold request: renews the leases of a worker's runs and asks for a report.

    :param worker_id: id of the intended worker; another one at the address refuses.
    :param address: address of the worker.
    :param epoch: fencing token, from the epoch of the owner and the restarts of the
        worker that it knows.
    :param acknowledged: sequence number up to which the ended runs are stored.
    :param deadline_ms: new lease deadline in milliseconds on the worker's clock, or
        ``None`` to leave the leases as they are.
    :param wait_ms: how long the worker may wait for a run to end before it answers.
    :param margin_s: seconds allowed for the answer beyond that wait.
    :param incarnation: start of the incarnation of the worker that it is meant for,
        Unix milliseconds, 0 if not known.
    """

    worker_id: str
    address: str
    epoch: int
    acknowledged: int
    deadline_ms: float | None
    wait_ms: int
    margin_s: float = HOLD_MARGIN_S
    incarnation: int = 0


@attrs.frozen(slots=True)
class HoldReport:
    """A worker's answer to a hold request: its present and its ended runs.

    :param clock_ms: milliseconds on the worker's clock.
    :param running: runs that are present.
    :param ended: ended runs that are not acknowledged yet, in order.
    :param born: Unix milliseconds of the start of the worker, 0 if not reported.
    """

    clock_ms: float
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    born: int = 0


class WorkerClient(t.Protocol):
    """Client for calls to workers; no method raises for a failed call.

    An order goes only to the incarnation that it is meant for, unless the worker itself
    carries it out late.
    """

    async def start(self, order: StartOrder) -> Reply:
        """Start a run."""

    async def stop(self, order: StopOrder) -> Reply:
        """Stop a run; the worker will not start it after that."""

    async def set_pace(self, order: StopOrder, percent: int) -> Reply:
        """Limit the speed of a run.

        :param order: the run.
        :param percent: percent of its full speed, 0 to 100.
        """

    async def hold(self, order: HoldOrder) -> HoldReport | Reply:
        """Renew the leases of all runs on a worker and get its report.

        If it is not known that the intended incarnation answers, the request neither
        renews a lease nor acknowledges ends.
        """

    async def forget(self, worker_id: str) -> None:
        """Close the connections to a worker that this node no longer calls."""


@attrs.define(slots=True)
class WorkerClock:
    """Estimate of a worker's clock from its readings and our monotonic clock.

    :param sample_ms: reading of the worker's clock that gives the highest lower bound,
        in milliseconds.
    :param read_at: monotonic seconds when that reading arrived.
    :param recent_ms: the same of the recent readings, for estimates.
    :param recent_at: monotonic seconds when that reading arrived.
    """

    sample_ms: float
    read_at: float
    recent_ms: float = attrs.field(init=False)
    recent_at: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.recent_ms, self.recent_at = self.sample_ms, self.read_at

    def observe(self, sample_ms: float, now: float) -> None:
        """Use a new reading, unless the present one gives a higher lower bound."""
        if sample_ms >= self.get_lower_bound(now):
            self.sample_ms, self.read_at = sample_ms, now
        is_old = now - self.recent_at >= MAX_READING_AGE_S
        recent_bound = get_slowest_reading(self.recent_ms, now - self.recent_at)
        if is_old or sample_ms >= recent_bound:
            self.recent_ms, self.recent_at = sample_ms, now

    def estimate(self, now: float) -> float:
        """Return the estimated reading of the worker's clock, in milliseconds."""
        return self.recent_ms + (now - self.recent_at) * MS_PER_S

    def get_lower_bound(self, now: float) -> float:
        """Return the lowest possible reading of the worker's clock, in milliseconds."""
        return get_slowest_reading(self.sample_ms, now - self.read_at)


def get_slowest_reading(sample_ms: float, age_s: float) -> float:
    """Return what the slowest clock shows some time after a reading.

    :param sample_ms: the reading, in milliseconds.
    :param age_s: seconds since the reading.
    """
    return sample_ms + age_s * MS_PER_S * (1 - MAX_CLOCK_DRIFT)
