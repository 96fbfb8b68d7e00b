"""The journal: ordered entries in the platform's table, appended by condition.

An entry's row key is its sequence number, and a row is only ever inserted
where none stands. A decision taken on a state that is no longer the newest
therefore has no effect, whoever took it and however long it was paused.
"""

import json
import typing as t

import attrs

from .. import defaults
from ..exceptions import PlatformUnavailableError
from ..exceptions import UnknownOutcomeError
from ..ports import ABSENT
from ..ports import ObjectStore
from ..ports import Put
from ..ports import Row
from ..ports import Table
from ..ports import WriteOutcome
from ..sentinels import Missing
from .events import Entry
from .events import Event
from .events import ManifestAccepted
from .events import decode_entry
from .events import encode_entry
from .snapshots import decode_snapshot
from .snapshots import encode_snapshot
from .state import FleetState

PREFIX = "journal/"
SNAPSHOT_KEY = "snapshot"
SETTLE_ATTEMPTS = 4


class Store(Table, ObjectStore, t.Protocol):
    """The two services of the platform that keep data."""


def format_key(sequence: int) -> str:
    """Build the row key of an entry.

    :param sequence: its number.
    """
    return f"{PREFIX}{sequence:012d}"


@attrs.define
class Journal:
    """Reads and appends entries.

    :param store: table and object store.
    """

    store: Store
    corrupt: list[str] = attrs.field(factory=list)

    async def read_after(self, sequence: int) -> list[Entry]:
        """Read the entries that follow a sequence number.

        A corrupt or foreign row counts as an empty entry and is reported
        in ``corrupt``.

        :param sequence: last entry already known.
        :raises PlatformUnavailableError: when the store does not answer.
        """
        after = format_key(sequence)
        rows = await self.store.scan(PREFIX, after, defaults.JOURNAL_PAGE_ROWS)
        entries: list[Entry] = []
        for expected, row in enumerate(rows, start=sequence + 1):
            entry = self._decode(row, expected)
            if entry is None:
                break
            entries.append(await self._inflate(entry))
        return entries

    def _decode(self, row: Row, expected: int) -> Entry | None:
        if row.key != format_key(expected):
            return None
        entry = decode_entry(row.value)
        if entry is None or entry.sequence != expected:
            self.corrupt.append(row.key)
            return Entry(expected, "", 0.0, "corrupt row", "", ())
        return entry

    async def _inflate(self, entry: Entry) -> Entry:
        inflated = [await self._load_chunks(event) for event in entry.events]
        return attrs.evolve(entry, events=tuple(inflated))

    async def _load_chunks(self, event: Event) -> Event:
        if not isinstance(event, ManifestAccepted) or event.digest is None:
            return event
        body = await self.store.get_object(event.digest)
        return attrs.evolve(event, changed=json.loads(body), digest=None)

    async def append(self, entry: Entry) -> bool:
        """Append an entry if its number is still free.

        An unknown outcome is settled by repeating the same insert: it either
        applies now or meets a row, whose token tells whose it is.

        :param entry: the entry; its sequence is the newest known plus one.
        :returns: whether it stands in the journal.
        :raises UnknownOutcomeError: when it could not be settled.
        """
        value = encode_entry(await self._deflate(entry))
        put = Put(format_key(entry.sequence), value, ABSENT)
        for _ in range(SETTLE_ATTEMPTS):
            result = await self.store.transact([put])
            if result.outcome is WriteOutcome.APPLIED:
                return True
            if result.outcome is WriteOutcome.NOT_APPLIED:
                return await self._is_ours(entry)
        raise UnknownOutcomeError(f"journal entry {entry.sequence}")

    async def _is_ours(self, entry: Entry) -> bool:
        try:
            row = await self.store.get(format_key(entry.sequence))
        except PlatformUnavailableError as error:
            raise UnknownOutcomeError(str(error)) from None
        return not isinstance(row, Missing) and row.value.get("token") == entry.token

    async def _deflate(self, entry: Entry) -> Entry:
        deflated = [await self._store_chunks(event) for event in entry.events]
        return attrs.evolve(entry, events=tuple(deflated))

    async def _store_chunks(self, event: Event) -> Event:
        if not isinstance(event, ManifestAccepted):
            return event
        body = json.dumps(event.changed, separators=(",", ":")).encode()
        if len(body) <= defaults.INLINE_LIMIT_BYTES:
            return event
        digest = await self.store.put_object(body)
        return attrs.evolve(event, changed={}, digest=digest)

    async def load_state(self) -> FleetState:
        """Read the newest snapshot, or the empty state.

        :raises PlatformUnavailableError: when the store does not answer.
        """
        row = await self.store.get(SNAPSHOT_KEY)
        if not row:
            return FleetState()
        try:
            return decode_snapshot(await self.store.get_object(row.value["digest"]))
        except (ValueError, KeyError, TypeError):
            self.corrupt.append(SNAPSHOT_KEY)
            return FleetState()

    async def save_snapshot(self, state: FleetState) -> bool:
        """Write a snapshot unless a newer one stands.

        :param state: the state to write.
        :returns: whether it stands.
        :raises PlatformUnavailableError: when the store does not answer.
        """
        row = await self.store.get(SNAPSHOT_KEY)
        if row and row.value["sequence"] >= state.sequence:
            return False
        digest = await self.store.put_object(encode_snapshot(state))
        value = {"digest": digest, "sequence": state.sequence}
        put = Put(SNAPSHOT_KEY, value, row.version if row else ABSENT)
        result = await self.store.transact([put])
        return result.outcome is WriteOutcome.APPLIED
