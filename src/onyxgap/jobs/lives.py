"""Tells apart the incarnations of a worker that restarts under the same id.

Messages of a worker may carry the time of its start. Its runs, the sequence numbers of
its ended runs, its clock and the highest fencing token that it has seen belong to one
incarnation.
"""

import enum


class IncarnationMatch(enum.Enum):
    """Incarnation that a message comes from, compared with the known one."""

    SAME = "same"
    LATER = "later"
    FORMER = "former"


def compare_incarnations(known: int, told: int) -> IncarnationMatch:
    """Compare the start time in a message with the known start time of the worker.

    If either time is missing, the message counts as one of the known incarnation.

    :param known: Unix milliseconds, 0 if the start time is not known.
    :param told: Unix milliseconds, 0 if the message has no start time.
    """
    if not known or not told or known == told:
        return IncarnationMatch.SAME
    return IncarnationMatch.LATER if told > known else IncarnationMatch.FORMER
