"""Common core of entry and control processes: journal, membership and gossip.

A node polls the journal, pulls newer entries from its peers, announces itself by
a member row and by heartbeats, and decides whether its state is fresh enough to
serve requests.
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

MEMBER_SCAN_INTERVAL_S = 10.0
HEARTBEAT_INTERVAL_S = 3.0
FAST_HEARTBEAT_INTERVAL_S = 0.7
MEMBER_PAGE_ROWS = 500

_ROW_CONVERTER = Converter(omit_if_default=True)
_LOG = structlog.get_logger()


class PeerSender(t.Protocol):
    """Sends frames to other members; drops frames that cannot be sent."""

    def send(self, address: str, frame: ttypes.Frame) -> None:
        """Queue a frame for the address of a member without blocking."""


OnChange = t.Callable[[t.Sequence[Entry]], None]


@attrs.define
class Node:
    """One process of the deployment.

    :param row: its member row.
    :param platform: the platform's services.
    :param peers: sends frames to other members.
    :param clocks: wall clock and monotonic clock.
    :param rng: seeded generator for tokens and jitter.
    :param poll_interval_s: interval of journal reads, in seconds.
    :param loaded: whether the state has been loaded at start-up.
    :param on_change: hooks that are called with the entries just applied.
    :param on_membership_change: hooks that are called when the membership may have
        changed.
    :param count_draining: returns the number of requests in flight by draining
        VM.
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
    on_membership_change: list[t.Callable[[], None]] = attrs.field(factory=list)
    count_draining: t.Callable[[], dict[str, int]] = dict
    # the peers whose majority decides on freshness: those that were live at the
    # last successful scan of the member rows
    _freshness_peers: frozenset[str] = frozenset()
    _recent_entries: collections.deque[tuple[int, bytes]] = attrs.field(
        factory=lambda: collections.deque(maxlen=defaults.JOURNAL_RETAINED_ENTRIES)
    )
    _scan_requested: anyio.Event = attrs.field(factory=anyio.Event)
    _row_write_requested: anyio.Event = attrs.field(factory=anyio.Event)
    _apply_lock: anyio.Lock = attrs.field(factory=anyio.Lock)

    def __attrs_post_init__(self) -> None:
        self.journal = Journal(self.platform)
        self.membership = Membership(self.row.name)

    @property
    def name(self) -> str:
        """Name of this process."""
        return self.row.name

    def now(self) -> float:
        """Read the monotonic clock, in seconds."""
        return self.clocks.read_monotonic()

    def may_serve(self) -> bool:
        """Tell whether the state is loaded and fresh enough to serve requests."""
        return self.loaded and self.freshness.is_fresh(
            self.now(), self._freshness_peers
        )

    def store_age(self) -> float:
        """Age in seconds of the last journal read that reached the end of the journal.

        It counts from when the read was sent.
        """
        return self.now() - self.freshness._store_read_at

    # start-up and journal

    async def run(self) -> None:
        """Load the state, then follow the journal and the members until cancelled."""
        async with anyio.create_task_group() as group:
            await self._load()
            group.start_soon(self._poll_journal)
            group.start_soon(self._renew_row)
            group.start_soon(self._scan_members)
            group.start_soon(self._send_heartbeats)

    async def _load(self) -> None:
        while not self.loaded:
            try:
                self.state = await self.journal.load_state()
                await self.catch_up()
                await self._write_row()
                await self._read_member_rows()
            except PlatformUnavailableError as error:
                _LOG.warning("load-failed", member=self.name, reason=str(error))
                await anyio.sleep(self.poll_interval_s)
                continue
            self.loaded = True
            _LOG.info("loaded", member=self.name, sequence=self.state.sequence)
            self._run_change_hooks([])

    async def _poll_journal(self) -> None:
        interval_s = self.poll_interval_s
        while True:
            jitter = 0.9 + 0.2 * self.rng.random()
            await anyio.sleep(interval_s * jitter)
            try:
                await self.catch_up()
                interval_s = self.poll_interval_s
            except PlatformUnavailableError as error:
                interval_s = min(interval_s * 2, defaults.PLATFORM_BACKOFF_MAX_S)
                _LOG.warning("poll-failed", member=self.name, reason=str(error))

    async def catch_up(self) -> None:
        """Read new entries from the store and apply them.

        :raises PlatformUnavailableError: when the store does not answer.
        """
        while True:
            sent_at = self.now()
            entries = await self.journal.read_after(self.state.sequence)
            self._apply_entries(entries)
            if len(entries) < defaults.JOURNAL_PAGE_ROWS:
                # the page is not full: every entry that existed when this read was
                # sent has been applied
                self.freshness.record_store_answer(sent_at)
                return

    def _apply_entries(self, entries: t.Iterable[Entry]) -> None:
        applied = []
        for entry in entries:
            if entry.sequence != self.state.sequence + 1:
                continue
            self.state.apply(entry)
            body = json.dumps(encode_entry(entry), separators=(",", ":"))
            self._recent_entries.append((entry.sequence, body.encode()))
            applied.append(entry)
        if applied:
            self._run_change_hooks(applied)
            self._broadcast_heartbeat()
            self._row_write_requested.set()

    def _run_change_hooks(self, entries: t.Sequence[Entry]) -> None:
        for hook in self.on_change:
            hook(entries)

    async def append(self, events: t.Sequence[Event], why: str) -> bool:
        """Append one entry that follows the current state.

        :param events: the events; all of them legal in the current state.
        :param why: reason, as a short phrase.
        :returns: whether the entry is known to be appended. ``False`` means
            that another entry took its place or that the outcome is unknown;
            the decision must then be made anew.
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
            self._apply_entries([entry])
        return applied

    # membership

    def refresh_row(self) -> MemberRow:
        """Update the member row of this process and return it."""
        self.row = attrs.evolve(
            self.row,
            sequence=self.state.sequence,
            draining=self.count_draining(),
        )
        return self.row

    async def _write_row(self) -> None:
        value = _ROW_CONVERTER.unstructure(self.refresh_row())
        await self.platform.transact([Put(f"{MEMBER_PREFIX}{self.name}", value)])

    async def _renew_row(self) -> None:
        while True:
            with anyio.move_on_after(defaults.MEMBER_ROW_INTERVAL_S):
                await self._row_write_requested.wait()
            self._row_write_requested = anyio.Event()
            await self._write_row()
            # one write acknowledges all entries of a burst
            await anyio.sleep(defaults.PLATFORM_BACKOFF_MIN_S)

    async def leave(self) -> None:
        """Remove the member row of this process at a planned stop."""
        await self.platform.transact([Put(f"{MEMBER_PREFIX}{self.name}", None)])

    def mark_stopping(self) -> None:
        """Announce to the other members that a planned stop is in progress."""
        self.row = attrs.evolve(self.row, stopping=True)
        self._row_write_requested.set()
        self._broadcast_heartbeat()

    async def _scan_members(self) -> None:
        while True:
            with anyio.move_on_after(self._get_scan_interval_s()):
                await self._scan_requested.wait()
            self._scan_requested = anyio.Event()
            try:
                await self._read_member_rows()
            except PlatformUnavailableError as error:
                _LOG.warning("scan-failed", member=self.name, reason=str(error))
            await anyio.sleep(self.poll_interval_s)

    def _get_scan_interval_s(self) -> float:
        # heartbeats of a peer are overdue: check whether it still renews its row
        silent = self.membership.has_silent_peer(self.now(), HEARTBEAT_INTERVAL_S * 1.5)
        return self.poll_interval_s if silent else MEMBER_SCAN_INTERVAL_S

    async def _read_member_rows(self) -> None:
        sent_at = self.now()
        rows = await self.platform.scan(MEMBER_PREFIX, MEMBER_PREFIX, MEMBER_PAGE_ROWS)
        members = []
        for row in rows:
            try:
                members.append(
                    (_ROW_CONVERTER.structure(row.value, MemberRow), row.version)
                )
            except Exception as error:  # a foreign row may hold any value
                _LOG.warning("foreign-row", key=row.key, reason=str(error))
        self.membership.observe(members, sent_at)
        live = self.membership.list_live(self.now())
        self._freshness_peers = frozenset(row.name for row in live) - {self.name}
        self.run_membership_hooks()

    def run_membership_hooks(self) -> None:
        """Call the hooks for changes of the membership."""
        for hook in self.on_membership_change:
            hook()

    def find_address(self, name: str) -> str | None:
        """Return the peer address of a member, or ``None`` if it has no row.

        :param name: the member.
        """
        return self.membership.find_address(name)

    # gossip

    async def _send_heartbeats(self) -> None:
        while True:
            store_overdue = self.store_age() > defaults.FRESHNESS_LIMIT_S / 2
            self._broadcast_heartbeat(probe=store_overdue)
            if store_overdue:
                self.run_membership_hooks()
            await anyio.sleep(
                FAST_HEARTBEAT_INTERVAL_S if store_overdue else HEARTBEAT_INTERVAL_S
            )

    def _broadcast_heartbeat(self, probe: bool = False) -> None:
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
        """Handle a frame of another member.

        :param frame: the frame.
        """
        address = self.find_address(frame.sender)
        if address is None:
            # a new member: read its row before answering it
            self._scan_requested.set()
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
        changed = self.membership.record_heartbeat(
            sender,
            heartbeat.sequence,
            heartbeat.draining or {},
            heartbeat.stopping,
            self.now(),
        )
        if heartbeat.sequence <= self.state.sequence:
            # the heartbeat of a peer with more entries does not count for freshness,
            # since it shows that this state is outdated
            self.freshness.record_peer_heartbeat(sender, self.now())
        elif self.loaded:
            pull = ttypes.JournalPull(after=self.state.sequence)
            self.peers.send(address, ttypes.Frame(sender=self.name, pull=pull))
        if changed:
            self.run_membership_hooks()

    def _build_page(self, after: int) -> ttypes.Frame:
        bodies = [body for sequence, body in self._recent_entries if sequence > after]
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
        self._apply_entries(entries)

    def list_entry_processes(self) -> list[str]:
        """List the names of the live entry processes that are not stopping."""
        live = self.membership.list_live(self.now(), ENTRY_ROLE)
        return [row.name for row in live if not row.stopping]
