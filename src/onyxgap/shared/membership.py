"""Membership: which processes are live, and whether this one may serve requests."""

import hashlib
import typing as t

import attrs

from .. import defaults

PREFIX = "member/"
ENTRY_ROLE = "entry"
CONTROL_ROLE = "control"


@attrs.frozen(slots=True)
class MemberRow:
    """The row by which a process announces itself to the others.

    :param name: unique name of the process.
    :param role: ``entry`` or ``control``.
    :param peer: ``host:port`` on which it accepts frames of other processes.
    :param incarnation: token of this start of the process.
    :param sequence: last journal entry it has applied.
    :param stopping: whether a planned stop is in progress.
    :param draining: number of its requests in flight, by draining VM.
    :param http: ``host:port`` of its HTTP server, for callers or metrics.
    :param zone: availability zone.
    """

    name: str
    role: str
    peer: str
    incarnation: str
    sequence: int = 0
    stopping: bool = False
    draining: dict[str, int] = attrs.field(factory=dict)
    http: str = ""
    zone: str = ""


@attrs.define(slots=True)
class _MemberStatus:
    row: MemberRow
    version: int
    row_changed_at: float
    last_heartbeat_at: float


@attrs.define
class Membership:
    """Live members as seen by one process, by its own monotonic clock.

    A member times out when for ``timeout_s`` its row has not changed and no
    heartbeat from it has been received. Clocks of other machines are not used.

    :param own_name: name of this process.
    :param timeout_s: seconds without a heartbeat or a change of its row after which
        a member has timed out.
    """

    own_name: str
    timeout_s: float = defaults.MEMBER_TIMEOUT_S
    _statuses: dict[str, _MemberStatus] = attrs.field(factory=dict)

    def observe(self, rows: t.Iterable[tuple[MemberRow, int]], now: float) -> None:
        """Update the members from one scan of the member rows.

        :param rows: each row with its version.
        :param now: monotonic seconds, read before the scan was sent.
        """
        present = set()
        for row, version in rows:
            present.add(row.name)
            status = self._statuses.get(row.name)
            if status is None or status.row.incarnation != row.incarnation:
                self._statuses[row.name] = _MemberStatus(row, version, now, now)
            elif status.version != version:
                status.row, status.version, status.row_changed_at = row, version, now
        for name in set(self._statuses) - present:
            del self._statuses[name]

    def record_heartbeat(
        self,
        name: str,
        sequence: int,
        draining: t.Mapping[str, int],
        stopping: bool,
        now: float,
    ) -> bool:
        """Record a heartbeat.

        :param name: the sender.
        :param sequence: last journal entry the sender has applied.
        :param draining: number of its requests in flight, by draining VM.
        :param stopping: whether its planned stop is in progress.
        :param now: monotonic seconds.
        :returns: whether the set of live members that are not stopping has
            changed.
        """
        status = self._statuses.get(name)
        if status is None:
            return False
        changed = stopping != status.row.stopping
        changed = changed or self._get_silent_s(name, now) > self.timeout_s
        status.last_heartbeat_at = now
        status.row = attrs.evolve(
            status.row,
            sequence=max(sequence, status.row.sequence),
            draining=dict(draining),
            stopping=stopping,
        )
        return changed

    def has_silent_peer(self, now: float, limit_s: float) -> bool:
        """Tell whether heartbeats of another member are overdue.

        :param now: monotonic seconds.
        :param limit_s: longest time since its last heartbeat, in seconds.
        """
        return any(
            now - status.last_heartbeat_at > limit_s
            for name, status in self._statuses.items()
            if name != self.own_name
        )

    def find_address(self, name: str) -> str | None:
        """Return the peer address of a member, or ``None`` if it has no row.

        :param name: the member.
        """
        status = self._statuses.get(name)
        return None if status is None else status.row.peer

    def list_known(self) -> list[MemberRow]:
        """List all members that have a row, sorted by name."""
        return [self._statuses[name].row for name in sorted(self._statuses)]

    def list_live(self, now: float, role: str | None = None) -> list[MemberRow]:
        """List the members that have not timed out, sorted by name.

        :param now: monotonic seconds.
        :param role: only members of this role.
        """
        live = []
        for row in self.list_known():
            if role not in (None, row.role):
                continue
            if (
                row.name == self.own_name
                or self._get_silent_s(row.name, now) <= self.timeout_s
            ):
                live.append(row)
        return live

    def list_timed_out(self, now: float, role: str | None = None) -> list[MemberRow]:
        """List the members that have a row but have timed out, sorted by name.

        :param now: monotonic seconds.
        :param role: only members of this role.
        """
        live = {row.name for row in self.list_live(now)}
        return [
            row
            for row in self.list_known()
            if row.name not in live and role in (None, row.role)
        ]

    def list_expired_rows(self, now: float, limit_s: float) -> list[tuple[str, int]]:
        """List members whose rows may be removed, with the version of each row.

        :param now: monotonic seconds.
        :param limit_s: minimum time without a heartbeat or a change of the row,
            in seconds.
        """
        return [
            (name, status.version)
            for name, status in sorted(self._statuses.items())
            if name != self.own_name and self._get_silent_s(name, now) > limit_s
        ]

    def _get_silent_s(self, name: str, now: float) -> float:
        status = self._statuses[name]
        return now - max(status.row_changed_at, status.last_heartbeat_at)


@attrs.define
class Freshness:
    """Decides whether the state of a process is fresh enough to serve requests.

    It is fresh if, within the limit, the store has answered or a majority of
    the members, this process included, has confirmed the state by heartbeats.
    So an outage of the store alone does not stop the process, but losing both
    does. A process without other members stays fresh after the first answer of
    the store.

    :param limit_s: greatest age of an answer or a heartbeat, in seconds.
    """

    limit_s: float = defaults.FRESHNESS_LIMIT_S
    _store_read_at: float = float("-inf")
    _peer_heartbeats: dict[str, float] = attrs.field(factory=dict)

    def record_store_answer(self, sent_at: float) -> None:
        """Record that the store answered a read.

        :param sent_at: monotonic seconds, read before the request was sent.
        """
        self._store_read_at = max(self._store_read_at, sent_at)

    def record_peer_heartbeat(self, name: str, now: float) -> None:
        """Record a heartbeat of a peer that confirms the state.

        :param name: the peer.
        :param now: monotonic seconds.
        """
        self._peer_heartbeats[name] = now

    def is_fresh(self, now: float, others: t.Collection[str]) -> bool:
        """Tell whether the state is fresh.

        :param now: monotonic seconds.
        :param others: names of the other members that count for the majority.
        """
        if now - self._store_read_at <= self.limit_s:
            return True
        if self._store_read_at == float("-inf") and not others:
            return False
        confirmed = sum(
            now - self._peer_heartbeats.get(name, float("-inf")) <= self.limit_s
            for name in others
        )
        return 2 * (confirmed + 1) > len(others) + 1


def rank_by_hash(key: str, names: t.Iterable[str]) -> list[str]:
    """Order names by rendezvous hashing; the owner of the key comes first.

    :param key: the key to assign.
    :param names: the candidates.
    """

    def get_weight(name: str) -> bytes:
        return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()

    return sorted(names, key=get_weight, reverse=True)


def pick_owner(key: str, names: t.Iterable[str]) -> str | None:
    """Choose the owner of a key by rendezvous hashing.

    Returns ``None`` without candidates.

    :param key: the key to assign.
    :param names: the candidates.
    """
    return next(iter(rank_by_hash(key, names)), None)
