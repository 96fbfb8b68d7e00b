"""What must last: rows in a transactional store, and how a write may end."""

import typing as t

import attrs

WRITE_TIMEOUT_S = 1.0
"""Longest wait for a write, where nothing is known of the store's speed."""
ABSENT = 0
"""Version of a row that does not exist."""


@attrs.frozen(slots=True)
class RowId:
    """Identity of a row.

    :param table: name of the table.
    :param part: partition; the rows of one transaction share it.
    :param key: key within the partition.
    """

    table: str
    part: str
    key: str


@attrs.frozen(slots=True)
class StoredRow:
    """A row as it was read.

    :param row_id: its identity.
    :param value: its bytes; empty for a row that was removed.
    :param version: version of its last change.
    :param removed: whether the row is gone.
    """

    row_id: RowId
    value: bytes
    version: int
    removed: bool = False


@attrs.frozen(slots=True)
class Batch:
    """Writes that apply together, under conditions, or not at all.

    :param expected: version that each of these rows must have.
    :param puts: rows to write.
    :param removals: rows to remove.
    """

    expected: t.Mapping[RowId, int]
    puts: t.Mapping[RowId, bytes]
    removals: tuple[RowId, ...] = ()


@attrs.frozen(slots=True)
class Applied:
    """The batch was applied.

    :param version: version of every row that it wrote.
    """

    version: int


@attrs.frozen(slots=True)
class Conflict:
    """A condition failed and nothing was written.

    :param rows: the present rows among those with a condition.
    """

    rows: tuple[StoredRow, ...]

    def find(self, row_id: RowId) -> StoredRow | None:
        """Find the present state of a row with a condition."""
        for row in self.rows:
            if row.row_id == row_id and not row.removed:
                return row
        return None


@attrs.frozen(slots=True)
class NotApplied:
    """The store refused the batch; nothing was written.

    :param reason: one phrase for the log.
    """

    reason: str


@attrs.frozen(slots=True)
class OutcomeUnknown:
    """No answer came; the batch may be applied, now or seconds later.

    :param reason: one phrase for the log.
    """

    reason: str


WriteOutcome = Applied | Conflict | NotApplied | OutcomeUnknown


@attrs.frozen(slots=True)
class Page:
    """Rows that were read at one moment.

    :param rows: in key order, or in order of change for a feed.
    :param version: newest version of the whole store at that moment.
    :param now_ms: the store's monotonic clock.
    """

    rows: tuple[StoredRow, ...]
    version: int
    now_ms: float


class Store(t.Protocol):
    """A transactional store of rows with a feed of changes."""

    async def write(
        self, batch: Batch, timeout_s: float = WRITE_TIMEOUT_S
    ) -> WriteOutcome:
        """Try a batch once; never raises for a failed call."""

    async def read(self, table: str, part: str, key: str = "") -> Page:
        """Read a partition, or one row of it.

        :raises PlatformUnavailableError: when no answer came.
        """

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """List the partitions of a table.

        :raises PlatformUnavailableError: when no answer came.
        """

    async def follow(self, table: str, after: int, wait_s: float) -> Page:
        """Wait for changes of a table after a version.

        :raises HistoryTruncatedError: when the store no longer has the changes.
        :raises PlatformUnavailableError: when no answer came.
        """
