"""Tells apart the incarnations of a worker that restarts under the same id.

Messages of a worker may carry the time of its start. Its runs, the sequence numbers of
its ended runs, its clock and the highest fencing token that it has seen belong to one
incarnation. The owner raises its fencing token with each incarnation: once the new one
has been called, it rejects calls for the former one that come late.
"""

import enum
import math

import attrs

from .messages import TaskId
from .messages import WorkerEntry


class IncarnationMatch(enum.Enum):
    """Incarnation that a message comes from, compared with the known one."""

    SAME = "same"
    LATER = "later"
    FORMER = "former"


@attrs.frozen(slots=True)
class OrderedRun:
    """A run that an incarnation was ordered to start and has never listed.

    :param task: its task.
    :param run: its number.
    """

    task: TaskId
    run: int


@attrs.frozen(slots=True)
class FormerCalls:
    """Calls to a former incarnation of a worker that the next one may carry out.

    :param born: Unix milliseconds of the start of the former one, 0 if not known.
    :param until: monotonic seconds until which they may be carried out.
    :param starts: the start orders among them.
    :param entry: registration of the former one, ``None`` if its address is not known.
    :param unanswered: those of them that got no answer.
    :param of_former_owner: whether there may be start orders of the former owner, which
        are not known.
    :param held_back: runs whose tasks are not placed again before the next incarnation
        has answered, or a while has passed.
    """

    born: int = 0
    until: float = -math.inf
    starts: tuple[OrderedRun, ...] = ()
    entry: WorkerEntry | None = None
    unanswered: tuple[OrderedRun, ...] = ()
    of_former_owner: bool = False
    held_back: tuple[OrderedRun, ...] = ()

    def may_start_late(self) -> bool:
        """Return whether the next incarnation may carry out a start order."""
        return bool(self.unanswered) or self.of_former_owner


NO_FORMER_CALLS = FormerCalls()
TOKENS_PER_EPOCH = 10_000
"""Fencing tokens of one owner; those of its successor are higher."""


def compute_token(epoch: int, restarts: int) -> int:
    """Return the fencing token of an owner's calls to an incarnation of a worker.

    :param epoch: epoch of the owner.
    :param restarts: restarts of the worker that the owner knows.
    """
    return epoch * TOKENS_PER_EPOCH + min(restarts, TOKENS_PER_EPOCH - 1)


def compare_incarnations(known: int, told: int) -> IncarnationMatch:
    """Compare the start time in a message with the known start time of the worker.

    If either time is missing, the message counts as one of the known incarnation.

    :param known: Unix milliseconds, 0 if the start time is not known.
    :param told: Unix milliseconds, 0 if the message has no start time.
    """
    if not known or not told or known == told:
        return IncarnationMatch.SAME
    return IncarnationMatch.LATER if told > known else IncarnationMatch.FORMER
