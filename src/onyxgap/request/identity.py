"""Identifies the service and job of a request and validates its idempotency key."""

from ..shared.state import FleetState
from ..verdict import Verdict
from .messages import Answer
from .messages import CallerRequest
from .messages import IdentifiedRequest
from .messages import Reason

MAX_KEY_CHARS = 200

_STATUS = {
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_JOB: 404,
    Reason.KEY_REQUIRED: 400,
    Reason.BAD_REQUEST: 400,
}


def _refuse(reason: Reason) -> Answer:
    return Answer(Verdict.NOT_RUN, _STATUS[reason], reason=reason)


def identify_request(
    request: CallerRequest, state: FleetState, now: float
) -> IdentifiedRequest | Answer:
    """Look up the job and determine whether the request is idempotent.

    The manifest declares whether a job is idempotent. A caller may ask to treat an
    idempotent job as non-idempotent, but not the other way round.

    :param request: the request as received.
    :param state: the replicated state.
    :param now: current time in monotonic seconds.
    :returns: the identified request, or the refusal.
    """
    service = state.find_chunk(f"services/{request.service}")
    if service is None:
        return _refuse(Reason.UNKNOWN_SERVICE)
    job = next((job for job in service.jobs if job.name == request.job), None)
    if job is None:
        return _refuse(Reason.UNKNOWN_JOB)
    if request.key is not None and not _is_valid_key(request.key):
        return _refuse(Reason.BAD_REQUEST)
    idempotent = job.idempotent and not request.strict
    if not idempotent and request.key is None:
        return _refuse(Reason.KEY_REQUIRED)
    deadline = now + job.deadline_ms / 1000
    return IdentifiedRequest(request, job, service.pool, idempotent, deadline)


def _is_valid_key(key: str) -> bool:
    return 0 < len(key) <= MAX_KEY_CHARS and key.isascii() and key.isprintable()
