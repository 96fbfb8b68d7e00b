"""Number of waiting jobs in a queue, with the source of the figure."""

import enum

import attrs


class CountSource(enum.Enum):
    """Source of a count of waiting jobs."""

    OWNER = "owner"
    """The memory of the shard's owner."""
    OWNER_ROW = "owner-row"
    """The owner's row as last read by this node."""
    NONE = "none"


@attrs.frozen(slots=True)
class WaitingCount:
    """Number of jobs in a queue that have not started, with its source.

    :param count: number of waiting jobs, ``None`` if it is not known.
    :param source: source of the count.
    :param age_s: seconds since the owner counted, at most; 0 for other sources.
    :param epoch: fencing token of the owner that counted, 0 if there is no source.
    """

    count: int | None
    source: CountSource
    age_s: float = 0.0
    epoch: int = 0
