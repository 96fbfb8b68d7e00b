"""What callers may ask for, and how each request can end."""

import enum
import typing as t

import attrs

from .messages import JobState
from .messages import Submission
from .routing import Route
from .tenants import ANYONE
from .tenants import Caller
from .tenants import KeyFault


class SubmitOutcome(enum.Enum):
    """How a submission ended."""

    ACCEPTED = "accepted"
    OTHER_REQUEST = "other-request"
    OTHER_TENANT = "other-tenant"
    ABOVE_CAP = "above-cap"
    OVERLOADED = "overloaded"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.frozen(slots=True)
class SubmitResult:
    """The answer to a submission.

    :param outcome: how it ended.
    :param reason: for the caller and the log.
    :param retry_after_s: when a refused caller should come back.
    """

    outcome: SubmitOutcome
    reason: str = ""
    retry_after_s: int = 1


class Unavailable(enum.Enum):
    """Sentinels for an answer that cannot be given now."""

    STORE = "the store gives no answer"
    CONFIGURATION = "no configuration yet"
    COUNT = "how many jobs wait is not known here"
    CONFIGURATION_AGE = "whether the configuration is the newest is not known here"


class Denied(enum.Enum):
    """Sentinels for an answer that is for others only."""

    OTHER_TENANT = "the job belongs to another tenant"


class Desk(t.Protocol):
    """Answers callers; the HTTP front only translates."""

    async def find_route(self, host: str, path: str) -> Route | None | Unavailable:
        """Find the queue that a request is for."""

    async def identify(
        self, route: Route, keys: t.Sequence[bytes], job_id: str
    ) -> Caller | KeyFault | Unavailable:
        """Find out who calls."""

    def get_max_body_bytes(self) -> int:
        """Give the longest body that is read."""

    async def submit(self, submission: Submission) -> SubmitResult:
        """Accept a job, or say why not."""

    async def get_state(
        self, route: Route, job_id: str, caller: Caller = ANYONE
    ) -> JobState | None | Unavailable | Denied:
        """Give the state of a job, ``None`` where there is no such job."""

    async def cancel(
        self, route: Route, job_id: str, caller: Caller = ANYONE
    ) -> bool | Unavailable | Denied:
        """Cancel a job; false where there is no such job."""

    def count_waiting(self, route: Route) -> int | Unavailable:
        """Count the jobs of a queue of which nothing has started."""

    def is_ready(self) -> bool:
        """Tell whether new connections should come here."""
