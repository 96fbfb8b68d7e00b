"""Client of the platform's store; implements :class:`~onyxgap.jobs.store.Store`."""

import base64
import typing as t
import urllib.parse

import attrs

from ..exceptions import MALFORMED_ERRORS
from ..exceptions import HistoryTruncatedError
from ..exceptions import PlatformUnavailableError
from ..jobs.store import WRITE_TIMEOUT_S
from ..jobs.store import Applied
from ..jobs.store import Batch
from ..jobs.store import Conflict
from ..jobs.store import Invalid
from ..jobs.store import NotApplied
from ..jobs.store import OutcomeUnknown
from ..jobs.store import Page
from ..jobs.store import RowId
from ..jobs.store import StoredRow
from ..jobs.store import WriteOutcome
from .http import Answer
from .http import CallFailure
from .http import HttpClient

READ_TIMEOUT_S = 1.0
"""A read takes 4 ms, or 240 ms when the store is 60 times slower."""
FOLLOW_MARGIN_S = 0.7
"""Time allowed beyond the requested wait; detects a connection that is dead."""
PAGE_ROWS = 500
"""Maximum rows that the store returns in one answer."""
_REJECTED_STATUSES = (429, 503)
_INVALID_STATUSES = (400, 403, 404, 405, 413, 414, 415, 422, 431)


def _encode_id(row_id: RowId) -> dict[str, t.Any]:
    return {"table": row_id.table, "part": row_id.part, "key": row_id.key}


def _decode_row(raw: t.Mapping[str, t.Any]) -> StoredRow:
    row_id = RowId(raw["table"], raw.get("part", ""), raw["key"])
    value = base64.b64decode(raw.get("value") or "")
    return StoredRow(
        row_id, value, int(raw.get("ver", 0)), bool(raw.get("deleted", False))
    )


def encode_batch(batch: Batch) -> dict[str, t.Any]:
    """Encode the request body of a transaction.

    :param batch: the writes and their conditions.
    """
    return {
        "expected": [
            {**_encode_id(row_id), "ver": version}
            for row_id, version in batch.expected.items()
        ],
        "puts": [
            {**_encode_id(row_id), "value": base64.b64encode(value).decode()}
            for row_id, value in batch.puts.items()
        ],
        "remove": [_encode_id(row_id) for row_id in batch.removals],
        **({"across": True} if batch.across else {}),
    }


def decode_outcome(answer: Answer) -> WriteOutcome:
    """Decode the outcome of a transaction.

    :param answer: the store's answer, or the failure of the call.
    """
    if answer.failure is CallFailure.NOT_SENT or answer.status in _REJECTED_STATUSES:
        return NotApplied(answer.reason or f"status {answer.status}")
    if answer.status in _INVALID_STATUSES:
        return Invalid(f"status {answer.status}")
    body = answer.read_object()
    try:
        if answer.status == 200:
            return Applied(int(body["ver"]))
        if answer.status == 412:
            return Conflict(tuple(map(_decode_row, body.get("rows", ()))))
    except MALFORMED_ERRORS as error:
        return OutcomeUnknown(f"malformed answer: {error!r}")
    return OutcomeUnknown(answer.reason or f"status {answer.status}")


def _decode_page(answer: Answer) -> tuple[Page, bool]:
    if answer.status == 410:
        raise HistoryTruncatedError
    if answer.status != 200:
        raise PlatformUnavailableError(answer.reason or f"status {answer.status}")
    body = answer.read_object()
    try:
        rows = tuple(map(_decode_row, body.get("rows", ())))
        page = Page(rows, int(body["ver"]), float(body.get("now_ms", 0)))
    except MALFORMED_ERRORS as error:
        raise PlatformUnavailableError(f"malformed answer: {error!r}") from None
    return page, bool(body.get("has_more", False))


def _decode_parts(answer: Answer) -> list[str]:
    try:
        parts = answer.read_list("parts")
    except MALFORMED_ERRORS as error:
        raise PlatformUnavailableError(f"malformed answer: {error!r}") from None
    if not all(isinstance(part, str) for part in parts):
        raise PlatformUnavailableError("malformed answer: a partition has no name")
    return parts


@attrs.define
class PlatformStore:
    """Reads, writes and follows rows of the platform's store over HTTP.

    :param http: HTTP client of the store.
    :param calls: number of calls made so far, by kind.
    :param get_lag: returns the seconds to add to the timeouts of reads, as the process
        is late.
    """

    http: HttpClient
    calls: dict[str, int] = attrs.field(factory=dict)
    get_lag: t.Callable[[], float] = float

    def _count(self, kind: str) -> None:
        self.calls[kind] = self.calls.get(kind, 0) + 1

    async def write(
        self, batch: Batch, timeout_s: float = WRITE_TIMEOUT_S
    ) -> WriteOutcome:
        """Write a batch, without retries; never raises for a failed call."""
        self._count("write")
        answer = await self.http.call(
            "POST", "/rows-tx", encode_batch(batch), timeout_s=timeout_s
        )
        return decode_outcome(answer)

    async def _get(
        self, path: str, timeout_s: float, **query: str | int
    ) -> tuple[Page, bool]:
        target = f"{path}?{urllib.parse.urlencode(query)}"
        timeout_s += self.get_lag()
        return _decode_page(await self.http.call("GET", target, timeout_s=timeout_s))

    async def read(self, table: str, part: str, key: str = "") -> Page:
        """Read a partition, or one row of it.

        :raises PlatformUnavailableError: without a valid answer.
        """
        query: dict[str, str | int] = {"table": table, "part": part}
        if key:
            query |= {"from": key, "to": key + "\0", "limit": 1}
        else:
            query |= {"limit": PAGE_ROWS}
        first: Page | None = None
        rows: list[StoredRow] = []
        more = True
        while more:
            self._count("read")
            page, more = await self._get("/rows-get", READ_TIMEOUT_S, **query)
            first = first or page
            rows += page.rows
            more = more and not key and bool(page.rows)
            if more:
                query["from"] = page.rows[-1].row_id.key + "\0"
        assert first is not None
        # The version of the first page: a change feed that starts there also has the
        # changes made while later pages were read.
        return Page(tuple(rows), first.version, first.now_ms)

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """List the partitions of a table.

        :raises PlatformUnavailableError: without a valid answer.
        """
        parts: list[str] = []
        while True:
            self._count("read")
            query = urllib.parse.urlencode(
                {"table": table, **({"after": parts[-1]} if parts else {})}
            )
            timeout_s = READ_TIMEOUT_S + self.get_lag()
            answer = await self.http.call(
                "GET", f"/rows-parts?{query}", timeout_s=timeout_s
            )
            if answer.status != 200:
                raise PlatformUnavailableError(answer.reason or str(answer.status))
            listed = _decode_parts(answer)
            parts += listed
            if not (listed and answer.read_object().get("has_more")):
                return tuple(parts)

    async def follow(self, table: str, after: int, wait_s: float) -> Page:
        """Wait for changes of a table after a version.

        :raises HistoryTruncatedError: when the store no longer keeps these changes.
        :raises PlatformUnavailableError: without a valid answer.
        """
        self._count("follow")
        page, _ = await self._get(
            "/rows-feed",
            wait_s + FOLLOW_MARGIN_S,
            table=table,
            after=after,
            wait_ms=int(wait_s * 1000),
        )
        return page
