"""What a caller was told of one of its jobs."""

import enum

import attrs

from ...jobs.desk import SubmitOutcome
from ...jobs.messages import JobState
from ...jobs.messages import Submission
from ...jobs.messages import TaskId
from ...jobs.routing import Route
from ...jobs.tenants import KeyRejection


class NoQueue(enum.Enum):
    """Answer of a node that has no route for a request."""

    NOT_FOUND = "no such queue"


SubmitAnswer = SubmitOutcome | KeyRejection | NoQueue | None
"""Answer to a submission, ``None`` when the connection broke."""


@attrs.frozen(slots=True)
class Attempt:
    """An attempt to hand a job in.

    :param node: name of the node.
    :param sent_at: monotonic seconds when it was sent.
    :param answered_at: monotonic seconds when it was answered or given up.
    :param outcome: the answer.
    """

    node: str
    sent_at: float
    answered_at: float
    outcome: SubmitAnswer


@attrs.define
class JobNotes:
    """What a caller was told of a job.

    :param submission: the job.
    :param route: where it was handed in.
    :param sent_at: monotonic seconds of the first try.
    :param objective_s: seconds within which it should end.
    :param outcomes: answers to each try to hand it in.
    :param attempts: the tries that were sent to a node.
    :param accepted_at: monotonic seconds of the first acceptance.
    :param cancelled_at: monotonic seconds when a cancel was confirmed.
    :param shown: states that it was shown in, with the time of each change.
    :param poison: whether its tasks always fail.
    :param crashing: whether its first task crashes each worker that starts it.
    :param cancel_requested: whether its caller has sent a request to cancel it.
    :param withdrawn: whether its caller cancels it, in place of handing it in again,
        if a submission gets no definite answer.
    :param work_s: run time of its tasks.
    :param first_due_s: monotonic seconds when its first occurrence is due.
    """

    submission: Submission
    route: Route
    sent_at: float
    objective_s: float
    poison: bool = False
    crashing: bool = False
    outcomes: list[SubmitAnswer] = attrs.field(factory=list)
    attempts: list[Attempt] = attrs.field(factory=list)
    accepted_at: float | None = None
    cancelled_at: float | None = None
    cancel_requested: bool = False
    withdrawn: bool = False
    shown: list[tuple[float, JobState | None]] = attrs.field(factory=list)
    work_s: dict[TaskId, float] = attrs.field(factory=dict)
    first_due_s: float = 0.0

    def is_scheduled(self) -> bool:
        """Return whether it runs many times."""
        return self.submission.times > 0

    def list_due(self, at: float) -> range:
        """List the numbers of the occurrences that are due at a moment.

        :param at: monotonic seconds.
        """
        submission = self.submission
        if not submission.times:
            return range(1)
        late_ms = (at - self.first_due_s) * 1000
        due = 1 + int(late_ms // max(1, submission.interval_ms))
        return range(min(submission.times, max(0, due)))

    def get_due_s(self, occurrence: int) -> float:
        """Return when an occurrence is due, in monotonic seconds."""
        return self.first_due_s + occurrence * self.submission.interval_ms / 1000

    def get_last_state(self) -> JobState | None:
        """Give the last state that the caller was shown."""
        return self.shown[-1][1] if self.shown else None

    def find_final_at(self) -> float | None:
        """Give the second at which a final state was first shown."""
        for at, state in self.shown:
            if state is not None and state.final:
                return at
        return None
