"""What entry and control processes share: journal, members and gossip.

A node follows the journal by polling it, hears newer entries from its peers,
announces itself by a row and by heartbeats, and knows whether it may serve.
"""

import collections
import json
import random
import typing as t

import anyio
import attrs
import structlog
from cattrs import Converter

from .. import defaults
from ..clocks import Clocks
from ..exceptions import PlatformUnavailableError
from ..exceptions import UnknownOutcomeError
from ..ports import Platform
from ..ports import Put
from ..wire.peer import ttypes
from .events import Entry
from .events import Event
from .events import decode_entry
from .events import encode_entry
from .journal import Journal
from .membership import ENTRY_ROLE
from .membership import PREFIX as MEMBER_PREFIX
from .membership import Freshness
from .membership import MemberRow
from .membership import Membership
from .state import FleetState

SCAN_INTERVAL_S = 10.0
IDLE_HEARTBEAT_S = 3.0
ALARM_HEARTBEAT_S = 0.7
MEMBER_PAGE_ROWS = 500

_ROWS = Converter(omit_if_default=True)
_LOG = structlog.get_logger()


class PeerSender(t.Protocol):
    """Sends frames to other members; drops them when they cannot be sent."""

    def send(self, address: str, frame: ttypes.Frame) -> None:
        """Queue a frame for a member's address; never blocks."""


OnChange = t.Callable[[t.Sequence[Entry]], None]


@attrs.define
class Node:
    """One process of the deployment.

    :param row: what it says of itself.
    :param platform: the platform's services.
    :param peers: sends frames.
    :param clocks: the clocks.
    :param rng: seeded generator for tokens and jitter.
    :param poll_interval_s: seconds between two reads of the journal.
    """

    row: MemberRow
    platform: Platform
    peers: PeerSender
    clocks: Clocks
    rng: random.Random
    poll_interval_s: float = defaults.POLL_INTERVAL_S
    state: FleetState = attrs.field(factory=FleetState)
    journal: Journal = attrs.field(init=False)
    membership: Membership = attrs.field(init=False)
    freshness: Freshness = attrs.field(factory=Freshness)
    loaded: bool = False
    on_change: list[OnChange] = attrs.field(factory=list)
    on_members: list[t.Callable[[], None]] = attrs.field(factory=list)
    count_draining: t.Callable[[], dict[str, int]] = dict
    # peers that count for freshness: those live when the store last answered
    _quorum: frozenset[str] = frozenset()
    _retained: collections.deque[tuple[int, bytes]] = attrs.field(
        factory=lambda: collections.deque(maxlen=defaults.JOURNAL_RETAINED_ENTRIES)
    )
    _scan_due: anyio.Event = attrs.field(factory=anyio.Event)
    _row_due: anyio.Event = attrs.field(factory=anyio.Event)
    _folding: anyio.Lock = attrs.field(factory=anyio.Lock)

    def __attrs_post_init__(self) -> None:
        self.journal = Journal(self.platform)
        self.membership = Membership(self.row.name)

    @property
    def name(self) -> str:
        """Name of this member."""
        return self.row.name

    def now(self) -> float:
        """Read monotonic seconds."""
        return self.clocks.read_monotonic()

    def may_serve(self) -> bool:
        """Tell whether this process knows enough of the present to serve."""
        return self.loaded and self.freshness.is_fresh(self.now(), self._quorum)

    def store_age(self) -> float:
        """Seconds since the question of the last answered store read."""
        return self.now() - self.freshness._store_at

    # life

    async def run(self) -> None:
        """Load the state, then follow, announce and gossip until cancelled."""
        async with anyio.create_task_group() as group:
            await self._load()
            group.start_soon(self._follow)
            group.start_soon(self._announce)
            group.start_soon(self._scan)
            group.start_soon(self._beat)

    async def _load(self) -> None:
        while not self.loaded:
            try:
                self.state = await self.journal.load_state()
                await self.catch_up()
                await self._write_row()
                await self._read_members()
            except PlatformUnavailableError as error:
                _LOG.warning("load-failed", member=self.name, reason=str(error))
                await anyio.sleep(self.poll_interval_s)
                continue
            self.loaded = True
            _LOG.info("loaded", member=self.name, sequence=self.state.sequence)
            self._notify([])

    async def _follow(self) -> None:
        pause = self.poll_interval_s
        while True:
            jitter = 0.9 + 0.2 * self.rng.random()
            await anyio.sleep(pause * jitter)
            try:
                await self.catch_up()
                pause = self.poll_interval_s
            except PlatformUnavailableError as error:
                pause = min(pause * 2, defaults.PLATFORM_BACKOFF_MAX_S)
                _LOG.warning("poll-failed", member=self.name, reason=str(error))

    async def catch_up(self) -> None:
        """Read and fold the entries that are new in the store.

        :raises PlatformUnavailableError: when the store does not answer.
        """
        while True:
            asked_at = self.now()
            entries = await self.journal.read_after(self.state.sequence)
            self._fold(entries)
            if len(entries) < defaults.JOURNAL_PAGE_ROWS:
                # only now nothing that stood when we asked is unknown to us
                self.freshness.hear_store(asked_at)
                return

    def _fold(self, entries: t.Iterable[Entry]) -> None:
        fresh = []
        for entry in entries:
            if entry.sequence != self.state.sequence + 1:
                continue
            self.state.apply(entry)
            body = json.dumps(encode_entry(entry), separators=(",", ":"))
            self._retained.append((entry.sequence, body.encode()))
            fresh.append(entry)
        if fresh:
            self._notify(fresh)
            self._beat_now()
            self._row_due.set()

    def _notify(self, entries: t.Sequence[Entry]) -> None:
        for hook in self.on_change:
            hook(entries)

    async def append(self, events: t.Sequence[Event], why: str) -> bool:
        """Append one entry on top of the state as folded now.

        :param events: what happens; all legal in the present state.
        :param why: reason in a phrase.
        :returns: whether it was appended; ``False`` means that the state has
            moved on, or that nobody can tell, and the decision is void.
        """
        entry = Entry(
            sequence=self.state.sequence + 1,
            author=self.name,
            at=self.clocks.read_wall(),
            why=why,
            token=f"{self.rng.getrandbits(128):032x}",
            events=tuple(events),
        )
        try:
            applied = await self.journal.append(entry)
        except (UnknownOutcomeError, PlatformUnavailableError) as error:
            _LOG.warning("append-unknown", member=self.name, reason=str(error))
            return False
        if applied:
            self._fold([entry])
        return applied

    # membership

    def refresh_row(self) -> MemberRow:
        """Bring the row that this member shows up to date."""
        self.row = attrs.evolve(
            self.row,
            sequence=self.state.sequence,
            draining=self.count_draining(),
        )
        return self.row

    async def _write_row(self) -> None:
        value = _ROWS.unstructure(self.refresh_row())
        await self.platform.transact([Put(f"{MEMBER_PREFIX}{self.name}", value)])

    async def _announce(self) -> None:
        while True:
            with anyio.move_on_after(defaults.MEMBER_ROW_INTERVAL_S):
                await self._row_due.wait()
            self._row_due = anyio.Event()
            await self._write_row()
            # a burst of entries is acknowledged by one write
            await anyio.sleep(defaults.PLATFORM_BACKOFF_MIN_S)

    async def leave(self) -> None:
        """Remove this member's row at a planned stop."""
        await self.platform.transact([Put(f"{MEMBER_PREFIX}{self.name}", None)])

    def mark_stopping(self) -> None:
        """Tell the others that a planned stop is under way."""
        self.row = attrs.evolve(self.row, stopping=True)
        self._row_due.set()
        self._beat_now()

    async def _scan(self) -> None:
        while True:
            with anyio.move_on_after(self._next_scan_s()):
                await self._scan_due.wait()
            self._scan_due = anyio.Event()
            try:
                await self._read_members()
            except PlatformUnavailableError as error:
                _LOG.warning("scan-failed", member=self.name, reason=str(error))
            await anyio.sleep(self.poll_interval_s)

    def _next_scan_s(self) -> float:
        # someone is silent: look whether it still renews its row
        silent = self.membership.is_anyone_silent(self.now(), IDLE_HEARTBEAT_S * 1.5)
        return self.poll_interval_s if silent else SCAN_INTERVAL_S

    async def _read_members(self) -> None:
        asked_at = self.now()
        rows = await self.platform.scan(MEMBER_PREFIX, MEMBER_PREFIX, MEMBER_PAGE_ROWS)
        members = []
        for row in rows:
            try:
                members.append((_ROWS.structure(row.value, MemberRow), row.version))
            except Exception as error:  # foreign rows hold anything
                _LOG.warning("foreign-row", key=row.key, reason=str(error))
        self.membership.observe(members, asked_at)
        live = self.membership.list_live(self.now())
        self._quorum = frozenset(row.name for row in live) - {self.name}
        self.notify_members()

    def notify_members(self) -> None:
        """Run the hooks for a change of membership."""
        for hook in self.on_members:
            hook()

    def find_address(self, name: str) -> str | None:
        """Find the peer address of a member, or ``None``.

        :param name: the member.
        """
        return self.membership.find_address(name)

    # gossip

    async def _beat(self) -> None:
        while True:
            alarmed = self.store_age() > defaults.FRESHNESS_LIMIT_S / 2
            self._beat_now(probe=alarmed)
            if alarmed:
                self.notify_members()
            await anyio.sleep(ALARM_HEARTBEAT_S if alarmed else IDLE_HEARTBEAT_S)

    def _beat_now(self, probe: bool = False) -> None:
        frame = self._build_heartbeat()
        frame.probe = probe or None
        for row in self.membership.list_known():
            if row.name != self.name:
                self.peers.send(row.peer, frame)

    def _build_heartbeat(self) -> ttypes.Frame:
        heartbeat = ttypes.Heartbeat(
            sequence=self.state.sequence,
            fresh=self.store_age() <= defaults.FRESHNESS_LIMIT_S,
            stopping=self.row.stopping,
            draining=self.count_draining() or None,
        )
        return ttypes.Frame(sender=self.name, heartbeat=heartbeat)

    def handle_frame(self, frame: ttypes.Frame) -> None:
        """Take in a frame of another member.

        :param frame: the frame.
        """
        address = self.find_address(frame.sender)
        if address is None:
            # a newcomer: learn its row before answering it
            self._scan_due.set()
            return
        if frame.heartbeat is not None:
            self._handle_heartbeat(frame.sender, address, frame.heartbeat)
        if frame.probe:
            self.peers.send(address, self._build_heartbeat())
        if frame.pull is not None:
            self.peers.send(address, self._build_page(frame.pull.after))
        if frame.page is not None:
            self._handle_page(frame.page)

    def _handle_heartbeat(
        self, sender: str, address: str, heartbeat: ttypes.Heartbeat
    ) -> None:
        changed = self.membership.hear(
            sender,
            heartbeat.sequence,
            heartbeat.draining or {},
            heartbeat.stopping,
            self.now(),
        )
        if heartbeat.sequence <= self.state.sequence:
            # a peer that knows more proves that we are behind, not fresh
            self.freshness.hear_peer(sender, self.now())
        elif self.loaded:
            pull = ttypes.JournalPull(after=self.state.sequence)
            self.peers.send(address, ttypes.Frame(sender=self.name, pull=pull))
        if changed:
            self.notify_members()

    def _build_page(self, after: int) -> ttypes.Frame:
        bodies = [body for sequence, body in self._retained if sequence > after]
        page = ttypes.JournalPage(entries=bodies[: defaults.JOURNAL_PAGE_ROWS])
        return ttypes.Frame(sender=self.name, page=page)

    def _handle_page(self, page: ttypes.JournalPage) -> None:
        entries = []
        for body in page.entries:
            try:
                entry = decode_entry(json.loads(body))
            except ValueError:
                entry = None
            if entry is None:
                _LOG.warning("bad-page", member=self.name)
                return
            entries.append(entry)
        self._fold(entries)

    def list_entries(self) -> list[str]:
        """List the live entries that are not stopping."""
        live = self.membership.list_live(self.now(), ENTRY_ROLE)
        return [row.name for row in live if not row.stopping]
