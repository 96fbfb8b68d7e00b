"""Lives of a worker; answers workers that start again under the id that they had.

What a worker says of itself may carry the moment of its start. What it runs, the
numbers of its ends, its clock and the highest fence that it saw belong to one life.
"""

import enum


class LifeSign(enum.Enum):
    """What a message tells of the life of its worker."""

    SAME = "same"
    LATER = "later"
    FORMER = "former"


def compare_life(known: int, told: int) -> LifeSign:
    """Compare the start that a message tells with the one that is known.

    A worker that never told its start, or does not tell it in this message, counts as
    the one that is known.

    :param known: Unix milliseconds, 0 where the start is not known.
    :param told: the same, as the message has it.
    """
    if not known or not told or known == told:
        return LifeSign.SAME
    return LifeSign.LATER if told > known else LifeSign.FORMER
