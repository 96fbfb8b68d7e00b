"""The journal: an append-only log in the platform's table, with conditional appends.

The row key of an entry contains its sequence number, and a row is inserted only
if the key is absent. A decision based on an outdated state therefore has no
effect, no matter which process made it or how long that process was suspended.
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
APPEND_ATTEMPTS = 4


class Store(Table, ObjectStore, t.Protocol):
    """The two storage services of the platform: table and object store."""


def format_key(sequence: int) -> str:
    """Build the row key of an entry.

    :param sequence: sequence number of the entry.
    """
    return f"{PREFIX}{sequence:012d}"


@attrs.define
class Journal:
    """Reads and appends journal entries and snapshots.

    :param store: table and object store.
    :param corrupt_keys: keys of the corrupt rows that were read.
    """

    store: Store
    corrupt_keys: list[str] = attrs.field(factory=list)

    async def read_after(self, sequence: int) -> list[Entry]:
        """Read one page of entries after a sequence number.

        A corrupt or foreign row is read as an entry without events, and its
        key is added to ``corrupt_keys``.

        :param sequence: sequence number of the last known entry.
        :raises PlatformUnavailableError: when the store does not answer.
        """
        after = format_key(sequence)
        rows = await self.store.scan(PREFIX, after, defaults.JOURNAL_PAGE_ROWS)
        entries: list[Entry] = []
        for expected, row in enumerate(rows, start=sequence + 1):
            entry = self._decode(row, expected)
            if entry is None:
                break
            entries.append(await self._load_entry_chunks(entry))
        return entries

    def _decode(self, row: Row, expected: int) -> Entry | None:
        if row.key != format_key(expected):
            return None
        entry = decode_entry(row.value)
        if entry is None or entry.sequence != expected:
            self.corrupt_keys.append(row.key)
            return Entry(expected, "", 0.0, "corrupt row", "", ())
        return entry

    async def _load_entry_chunks(self, entry: Entry) -> Entry:
        loaded = [await self._load_event_chunks(event) for event in entry.events]
        return attrs.evolve(entry, events=tuple(loaded))

    async def _load_event_chunks(self, event: Event) -> Event:
        if not isinstance(event, ManifestAccepted) or event.digest is None:
            return event
        body = await self.store.get_object(event.digest)
        return attrs.evolve(event, changed=json.loads(body), digest=None)

    async def append(self, entry: Entry) -> bool:
        """Append an entry if its sequence number is not taken.

        When the outcome of a write is unknown, the same insert is repeated. It
        is then applied or finds a row, and the token of that row shows whether
        the earlier write was applied.

        :param entry: the entry; its sequence is the newest known plus one.
        :returns: whether the entry is in the journal.
        :raises UnknownOutcomeError: when the outcome is still unknown after
            the last attempt.
        """
        value = encode_entry(await self._store_entry_chunks(entry))
        put = Put(format_key(entry.sequence), value, ABSENT)
        for _ in range(APPEND_ATTEMPTS):
            result = await self.store.transact([put])
            if result.outcome is WriteOutcome.APPLIED:
                return True
            if result.outcome is WriteOutcome.NOT_APPLIED:
                return await self._has_own_token(entry)
        raise UnknownOutcomeError(
            f"outcome of appending journal entry {entry.sequence} is unknown"
        )

    async def _has_own_token(self, entry: Entry) -> bool:
        try:
            row = await self.store.get(format_key(entry.sequence))
        except PlatformUnavailableError as error:
            raise UnknownOutcomeError(str(error)) from None
        if isinstance(row, Missing) or not isinstance(row.value, dict):
            return False
        return row.value.get("token") == entry.token

    async def _store_entry_chunks(self, entry: Entry) -> Entry:
        stored = [await self._store_event_chunks(event) for event in entry.events]
        return attrs.evolve(entry, events=tuple(stored))

    async def _store_event_chunks(self, event: Event) -> Event:
        if not isinstance(event, ManifestAccepted):
            return event
        body = json.dumps(event.changed, separators=(",", ":")).encode()
        if len(body) <= defaults.JOURNAL_INLINE_LIMIT_BYTES:
            return event
        digest = await self.store.put_object(body)
        return attrs.evolve(event, changed={}, digest=digest)

    async def load_state(self) -> FleetState:
        """Load the state of the latest snapshot.

        Returns the empty state when there is no snapshot or it is corrupt. The
        key of a corrupt snapshot is added to ``corrupt_keys``.

        :raises PlatformUnavailableError: when the store does not answer.
        """
        row = await self.store.get(SNAPSHOT_KEY)
        if not row:
            return FleetState()
        try:
            return decode_snapshot(await self.store.get_object(row.value["digest"]))
        except (ValueError, KeyError, TypeError):
            self.corrupt_keys.append(SNAPSHOT_KEY)
            return FleetState()

    async def save_snapshot(self, state: FleetState) -> bool:
        """Write a snapshot unless the stored one is as new or newer.

        :param state: the state to write.
        :returns: whether the snapshot is known to have been written.
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
