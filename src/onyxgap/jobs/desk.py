"""The API for callers (submit, read, cancel and count jobs) and its results."""

import enum
import typing as t

import attrs

from .messages import JobState
from .messages import Submission
from .routing import Route
from .tenants import ANONYMOUS
from .tenants import Caller
from .tenants import KeyRejection


class SubmitOutcome(enum.Enum):
    """Outcome of a submission."""

    ACCEPTED = "accepted"
    OTHER_REQUEST = "other-request"
    OTHER_TENANT = "other-tenant"
    ABOVE_CAP = "above-cap"
    TOO_LARGE = "too-large"
    CANCELLED = "cancelled"
    """The job was cancelled before it was stored, and never runs."""
    OVERLOADED = "overloaded"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.frozen(slots=True)
class SubmitResult:
    """Result of a submission.

    :param outcome: the outcome.
    :param reason: explanation for the caller and the log.
    :param retry_after_s: seconds after which a rejected caller should retry.
    """

    outcome: SubmitOutcome
    reason: str = ""
    retry_after_s: int = 1


class Unavailable(enum.Enum):
    """Why a request cannot be answered now; returned in place of a result."""

    STORE = "the store gives no answer"
    STORED_JOB = "the stored job could not be decoded"
    CONFIGURATION = "no configuration yet"
    QUEUE_MOVES = "no record of moved queues yet"
    COUNT = "how many jobs wait is not known here"
    QUEUE = "the queue was moved or removed while the request was handled"
    CONFIGURATION_AGE = "whether the configuration is the newest is not known here"


class Denied(enum.Enum):
    """Why a caller may not have a result; returned in its place."""

    OTHER_TENANT = "the job belongs to another tenant"


class JobApi(t.Protocol):
    """Answers requests of callers; the HTTP front end only translates them."""

    async def find_route(self, host: str, path: str) -> Route | None | Unavailable:
        """Find the route of a request, ``None`` if there is no such queue."""

    async def identify(
        self, route: Route, keys: t.Sequence[bytes], job_id: str
    ) -> Caller | KeyRejection | Unavailable:
        """Identify the caller of a request by its keys."""

    def get_max_body_bytes(self) -> int:
        """Return the maximum size of a request body, in bytes."""

    async def submit(self, submission: Submission) -> SubmitResult:
        """Submit a job; the result tells whether it was accepted."""

    async def get_state(
        self, route: Route, job_id: str, caller: Caller = ANONYMOUS
    ) -> JobState | None | Unavailable | Denied:
        """Return the state of a job, ``None`` if there is no such job."""

    async def cancel(
        self, route: Route, job_id: str, caller: Caller = ANONYMOUS
    ) -> bool | Unavailable | Denied:
        """Cancel a job; returns false if there is no such job."""

    def count_waiting(self, route: Route) -> int | Unavailable:
        """Count the jobs of a queue of which no task has started."""

    def is_ready(self) -> bool:
        """Return whether the node is ready for new connections."""
