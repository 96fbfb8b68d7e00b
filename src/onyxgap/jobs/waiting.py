"""Counts of waiting jobs and their sources."""

import enum

import attrs


class CountSource(enum.Enum):
    """Source of a count of waiting jobs."""

    OWNER = "owner"
    OWNER_ROW = "owner-row"
    NONE = "none"


@attrs.frozen(slots=True)
class WaitingCount:
    """Number of jobs in a queue that have not started, with its source.

    :param count: number of waiting jobs, ``None`` if it is not known.
    :param source: the owner's memory, the owner's row, or none.
    :param age_s: seconds since this node read the owner's row, 0 for other sources.
    :param epoch: fencing token of the owner that counted, 0 without a source.
    """

    count: int | None
    source: CountSource
    age_s: float = 0.0
    epoch: int = 0
