"""Interface of the transactional store: rows, conditional writes and their outcomes."""

import typing as t

import attrs

WRITE_TIMEOUT_S = 1.0
"""Default timeout of a write, used when the store's latency is not known."""
ABSENT = 0
"""Version of a row that does not exist, as a condition of a batch."""


@attrs.frozen(slots=True)
class StoreLimits:
    """Limits of the store on what one call may write.

    :param row_bytes: largest value of a row.
    :param call_bytes: largest call, as it is encoded.
    :param call_entries: most conditions, writes and removals of a call.
    """

    row_bytes: int = 65_536
    call_bytes: int = 1_000_000
    call_entries: int = 100


@attrs.frozen(slots=True)
class RowId:
    """Identifier of a row.

    :param table: name of the table.
    :param part: partition; all rows of a transaction must be in the same one, unless it
        is declared to go across partitions.
    :param key: key within the partition.
    """

    table: str
    part: str
    key: str


@attrs.frozen(slots=True)
class StoredRow:
    """A row as read from the store.

    :param row_id: identifier of the row.
    :param value: value of the row, empty if it was removed.
    :param version: version of its last change.
    :param removed: whether the row was removed.
    """

    row_id: RowId
    value: bytes
    version: int
    removed: bool = False


@attrs.frozen(slots=True)
class Batch:
    """Writes and removals that are applied atomically if all conditions hold.

    :param expected: required version of each of these rows.
    :param puts: rows to write.
    :param removals: rows to remove.
    :param across: whether the rows may be in several partitions, which takes longer.
    """

    expected: t.Mapping[RowId, int]
    puts: t.Mapping[RowId, bytes]
    removals: tuple[RowId, ...] = ()
    across: bool = False


@attrs.frozen(slots=True)
class Applied:
    """The batch was applied.

    :param version: new version of all rows that it wrote.
    """

    version: int


@attrs.frozen(slots=True)
class Conflict:
    """A condition failed; nothing was written.

    :param rows: the current rows among those with a condition.
    """

    rows: tuple[StoredRow, ...]

    def find(self, row_id: RowId) -> StoredRow | None:
        """Return the current state of a row with a condition, ``None`` if absent."""
        for row in self.rows:
            if row.row_id == row_id and not row.removed:
                return row
        return None


@attrs.frozen(slots=True)
class NotApplied:
    """The store rejected the batch for now; nothing was written.

    :param reason: short reason for the log.
    """

    reason: str


@attrs.frozen(slots=True)
class Invalid:
    """The batch is malformed or over a limit of the store; it can never be applied.

    :param reason: short reason for the log.
    """

    reason: str


@attrs.frozen(slots=True)
class OutcomeUnknown:
    """The store did not answer; the batch may be applied now, seconds later or never.

    :param reason: short reason for the log.
    """

    reason: str


WriteOutcome = Applied | Conflict | NotApplied | Invalid | OutcomeUnknown


@attrs.frozen(slots=True)
class Page:
    """Result of a consistent read.

    :param rows: in key order, or in the order of their changes for a change feed.
    :param version: newest version of the whole store at the time of the read.
    :param now_ms: milliseconds of the store's monotonic clock at that time, 0 if the
        answer does not tell.
    """

    rows: tuple[StoredRow, ...]
    version: int
    now_ms: float


class Store(t.Protocol):
    """A transactional row store with a change feed."""

    async def write(
        self, batch: Batch, timeout_s: float = WRITE_TIMEOUT_S
    ) -> WriteOutcome:
        """Attempt a batch once; failed calls are returned as outcomes, not raised."""

    async def read(self, table: str, part: str, key: str = "") -> Page:
        """Read a partition, or one of its rows.

        :raises PlatformUnavailableError: if the store does not answer.
        """

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """Return the partitions of a table.

        :raises PlatformUnavailableError: if the store does not answer.
        """

    async def follow(self, table: str, after: int, wait_s: float) -> Page:
        """Wait for changes of a table that are newer than a version.

        :param table: name of the table.
        :param after: version after which changes are returned.
        :param wait_s: maximum wait in seconds.
        :raises HistoryTruncatedError: if the store no longer has all of these changes.
        :raises PlatformUnavailableError: if the store does not answer.
        """
