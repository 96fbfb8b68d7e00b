"""Validates submissions, and encodes them for the store."""

import typing as t

import attrs
import orjson

from ..exceptions import MALFORMED_ERRORS
from ..exceptions import DocumentError
from ..exceptions import Fault
from .messages import QueuePolicy
from .messages import Step
from .messages import Submission

MAX_INTEGER = 2**53 - 1
"""Largest integer of a submission; JSON numbers beyond it may have been rounded."""
MAX_SPEC_BYTES = 4_000
"""Maximum length of a spec; the limit that the platform publishes."""
MAX_TASKS = 1_500
"""Maximum tasks of all steps."""
MAX_OPEN_TASKS = 6_000
"""Maximum tasks of a job whose progress is stored at the same time. Other occurrences
wait, so that the progress fits into one call to the store."""
MAX_STEPS = 100
"""Limits the cost of validating a body. It is far above the five steps of the jobs
seen."""
MAX_OCCURRENCES = 10_000
"""Enough for one occurrence per minute for about a week."""


def _check_step(number: int, step: Step, count: int) -> t.Iterator[Fault]:
    path = f"$.steps[{number}]"
    if step.count < 1:
        yield Fault(f"{path}.count", "must be at least 1")
    for name in ("cpu", "memory_mb", "accelerators", "estimate_ms"):
        if getattr(step, name) < 0:
            yield Fault(f"{path}.{name}", "must not be negative")
    for earlier in step.after:
        if not 0 <= earlier < number:
            yield Fault(
                f"{path}.after",
                f"{earlier} is no earlier step of {count}",
            )


def _count_lasting_tasks(submission: Submission) -> int:
    """Count the tasks of all occurrences if these last until the job is cancelled."""
    if not any(step.long_running for step in submission.steps):
        return 0
    tasks = sum(step.count for step in submission.steps)
    return max(1, submission.times) * tasks


def check_submission(submission: Submission) -> Submission:
    """Validate a submission.

    :param submission: the submission.
    :returns: the submission.
    :raises DocumentError: with all faults found.
    """
    faults = []
    if len(submission.spec.encode()) > MAX_SPEC_BYTES:
        faults.append(Fault("$.spec", f"longer than {MAX_SPEC_BYTES} bytes"))
    if not 1 <= len(submission.steps) <= MAX_STEPS:
        faults.append(Fault("$.steps", f"must be 1 to {MAX_STEPS} steps"))
    if not 0 <= submission.times <= MAX_OCCURRENCES:
        faults.append(Fault("$.times", f"must be 0 to {MAX_OCCURRENCES}"))
    for number, step in enumerate(submission.steps):
        faults += _check_step(number, step, len(submission.steps))
    if sum(step.count for step in submission.steps) > MAX_TASKS:
        faults.append(Fault("$.steps", f"more than {MAX_TASKS} tasks"))
    if _count_lasting_tasks(submission) > MAX_OPEN_TASKS:
        reason = f"more than {MAX_OPEN_TASKS} tasks in occurrences that never end"
        faults.append(Fault("$.times", reason))
    if faults:
        raise DocumentError(faults)
    return submission


def encode_submission(submission: Submission) -> bytes:
    """Encode a submission for its row in the store.

    :param submission: the submission.
    """
    value = attrs.asdict(
        submission,
        filter=lambda attribute, value: value != attribute.default,
    )
    return orjson.dumps(value)


@attrs.frozen(slots=True)
class SubmissionPointer:
    """Stands in a shard for a job that another shard has.

    Written to the former services of the job's queue together with the submission. A
    write of the same submission under an older configuration, which may be carried out
    seconds later, then fails.

    :param service: service whose shard has the submission.
    """

    service: str


_POINTER_PREFIX = b'{"moved_to":'


def encode_pointer(pointer: SubmissionPointer) -> bytes:
    """Encode a pointer for its row in the store."""
    return orjson.dumps({"moved_to": pointer.service})


def is_pointer(value: bytes) -> bool:
    """Return whether the value of a row is a pointer rather than a submission."""
    return value.startswith(_POINTER_PREFIX)


def decode_row(value: bytes) -> Submission | SubmissionPointer:
    """Decode the row of a submission, which may be a pointer.

    :raises DocumentError: if the row is malformed.
    """
    if not is_pointer(value):
        return decode_submission(value)
    try:
        return SubmissionPointer(str(orjson.loads(value)["moved_to"]))
    except MALFORMED_ERRORS as error:
        raise DocumentError([Fault("$", f"no pointer to a job: {error!r}")]) from None


def _select_fields(kind: type, raw: t.Mapping[str, t.Any]) -> dict[str, t.Any]:
    """Leave out fields of later versions of the product."""
    known = {field.name for field in attrs.fields(kind)}
    return {name: value for name, value in raw.items() if name in known}


def _build_step(raw: t.Mapping[str, t.Any]) -> Step:
    fields = _select_fields(Step, raw)
    return Step(**{**fields, "after": tuple(raw.get("after", ()))})


def check_version(value: object) -> int:
    """Check the version of the configuration in a stored row.

    :param value: the version as it was stored, 0 if there is none.
    :returns: the version.
    :raises ValueError: if it is no version.
    """
    if type(value) is not int or value < 0:
        raise ValueError(f"{value!r} is no version of the configuration")
    return value


def decode_submission(value: bytes) -> Submission:
    """Decode a submission from its row in the store.

    :param value: output of :func:`encode_submission`.
    :raises DocumentError: if the row is not a valid submission.
    """
    try:
        raw = orjson.loads(value)
        raw["policy"] = QueuePolicy(**_select_fields(QueuePolicy, raw["policy"]))
        raw["steps"] = tuple(map(_build_step, raw["steps"]))
        check_version(raw.get("configuration", 0))
        return Submission(**_select_fields(Submission, raw))
    except MALFORMED_ERRORS as error:
        raise DocumentError([Fault("$", f"no stored job: {error!r}")]) from None


def is_same_request(first: Submission, second: Submission) -> bool:
    """Return whether two submissions with the same id are the same request.

    Compares spec, steps and schedule: number, first due time and interval of the
    occurrences.

    :param first: the stored submission.
    :param second: the new submission.
    """
    return _get_request(first) == _get_request(second)


def _get_request(submission: Submission) -> tuple[object, ...]:
    return (
        submission.spec,
        submission.steps,
        submission.times,
        submission.start_at_ms,
        submission.interval_ms,
    )
