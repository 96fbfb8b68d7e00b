"""Decoding of the store's rows that skips and counts malformed rows."""

import collections
import typing as t

import structlog

from ..exceptions import DocumentError
from ..jobs.store import StoredRow

T = t.TypeVar("T")
SkippedRows = collections.Counter[str]
"""Number of rows that could not be decoded, by table."""

_LOG = structlog.get_logger()


def decode_rows(
    rows: t.Iterable[StoredRow],
    decode: t.Callable[[StoredRow], T],
    skipped: SkippedRows,
    event: str,
) -> t.Iterator[tuple[StoredRow, T | None]]:
    """Decode rows one by one; log and count those that cannot be decoded.

    Errors of ``decode`` are not raised: an error would cancel the caller's task group,
    and would do so again after every restart until the row is removed.

    :param rows: the rows.
    :param decode: decodes one row that has not been removed.
    :param skipped: incremented for each row that could not be decoded.
    :param event: log event for a row that could not be decoded.
    :returns: each row with its value, or ``None`` if the row was removed or could not
        be decoded.
    """
    for row in rows:
        value = None
        if not row.removed:
            try:
                value = decode(row)
            except DocumentError as error:
                _count_skipped(row, skipped)
                _LOG.warning(event, row=row.row_id.key, reason=str(error))
            except Exception:
                _count_skipped(row, skipped)
                _LOG.exception(event, row=row.row_id.key, reason="unexpected error")
        yield row, value


def _count_skipped(row: StoredRow, skipped: SkippedRows) -> None:
    skipped[row.row_id.table] += 1
