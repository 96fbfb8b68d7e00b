"""Typed messages that flow through the request pipe."""

import enum
import typing as t

import attrs

from ..manifest import Job
from ..verdict import Verdict

REQUEST_ID_HEADER = "Onyxgap-Request-Id"
VERDICT_HEADER = "Onyxgap-Verdict"
REASON_HEADER = "Onyxgap-Reason"
STARTED_HEADER = "Onyxgap-Started"
KEY_HEADER = "Idempotency-Key"
DEADLINE_HEADER = "Onyxgap-Deadline-Ms"
TRACE_HEADER = "Traceparent"
NOT_STARTED = "no"
"""Value of ``Onyxgap-Started`` by which a target proves it did not start."""


class Reason(enum.Enum):
    """Why a request was not answered by a target."""

    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_JOB = "unknown-job"
    BAD_REQUEST = "bad-request"
    KEY_REQUIRED = "key-required"
    KEY_REUSED = "key-reused"
    KEY_IN_USE = "key-in-use"
    TOO_LARGE = "too-large"
    NOT_FRESH = "not-fresh"
    STORE_OUT = "store-out"
    OVERLOADED = "overloaded"
    QUEUE_FULL = "queue-full"
    DEADLINE = "deadline"
    NO_TARGET = "no-target"
    STOPPING = "stopping"
    UNREACHABLE = "unreachable"
    TARGET_REFUSED = "target-refused"
    BROKEN_ANSWER = "broken-answer"
    CROSSED_ANSWER = "crossed-answer"
    ANSWER_TOO_LARGE = "answer-too-large"
    TIMEOUT = "timeout"


class Outcome(enum.IntEnum):
    """How a granted slot was used; part of the peer protocol."""

    SERVED = 0
    FAILED = 1
    OVERLOADED = 2
    UNREACHABLE = 3
    UNUSED = 4


Headers = t.Sequence[tuple[str, str]]


@attrs.frozen(slots=True)
class CallerRequest:
    """A caller's request as the HTTP front hands it over.

    :param request_id: unique id, ours or the caller's trace.
    :param service: addressed service.
    :param job: addressed job.
    :param body: the whole body.
    :param key: idempotency key, or ``None``.
    :param content_type: media type of the body.
    :param trace: W3C trace context to pass on, or empty.
    :param strict: the caller asks to treat the job as non-idempotent.
    """

    request_id: str
    service: str
    job: str
    body: bytes = b""
    key: str | None = None
    content_type: str = "application/octet-stream"
    trace: str = ""
    strict: bool = False


@attrs.frozen(slots=True)
class IdentifiedRequest:
    """A request whose job is known.

    :param caller: the request as it came.
    :param job: declaration of its job.
    :param pool: pool that runs it.
    :param idempotent: whether it may be sent twice.
    :param deadline: monotonic seconds by which it must be answered.
    """

    caller: CallerRequest
    job: Job
    pool: str
    idempotent: bool
    deadline: float


@attrs.frozen(slots=True)
class Answer:
    """The final answer to a caller.

    :param verdict: whether a target may have run the request.
    :param status: HTTP status.
    :param headers: headers of the target's answer that are passed on.
    :param body: the whole body.
    :param reason: why no target's answer is given, or ``None``.
    :param retry_after_s: when to come back, in seconds, or ``None``.
    :param vm: the VM that answered, or empty.
    """

    verdict: Verdict
    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    reason: Reason | None = None
    retry_after_s: float | None = None
    vm: str = ""


@attrs.frozen(slots=True)
class Slot:
    """A granted place on a target.

    :param ask: id of the ask within this entry.
    :param vm: granted VM.
    :param owner: member that granted it.
    """

    ask: int
    service: str
    vm: str
    owner: str
    team: str | None = None


@attrs.frozen(slots=True)
class Refusal:
    """No slot was granted.

    :param reason: why.
    :param retry_after_s: measured time until the backlog has drained.
    """

    reason: Reason
    retry_after_s: float


@attrs.frozen(slots=True)
class Exchange:
    """How one attempt with one target ended.

    :param verdict: whether the target may have run it.
    :param outcome: what it says of the target.
    :param status: HTTP status, 0 without a whole answer.
    :param headers: headers of the answer that are passed on.
    :param body: the whole body.
    :param reason: why there is no whole answer, or ``None``.
    """

    verdict: Verdict
    outcome: Outcome
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    reason: Reason | None = None


class TargetClient(t.Protocol):
    """Carries out one attempt with one target."""

    async def exchange(
        self, request: IdentifiedRequest, address: str, timeout_s: float
    ) -> Exchange:
        """Send the request once and read the whole answer.

        :param request: the request.
        :param address: ``host:port`` of the target.
        :param timeout_s: time left for the attempt.
        """
