"""Which processes of the deployment are live, and whether we may serve."""

import hashlib
import typing as t

import attrs

from .. import defaults

PREFIX = "member/"
ENTRY_ROLE = "entry"
CONTROL_ROLE = "control"


@attrs.frozen(slots=True)
class MemberRow:
    """What a process writes about itself.

    :param name: unique name of the process.
    :param role: ``entry`` or ``control``.
    :param peer: ``host:port`` for other processes.
    :param incarnation: token of this start of the process.
    :param sequence: last journal entry it has folded.
    :param stopping: whether a planned stop is under way.
    :param draining: requests in flight by leaving VM.
    :param http: ``host:port`` for callers or metrics.
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
class _Seen:
    row: MemberRow
    version: int
    changed_at: float
    heard_at: float


@attrs.define
class Membership:
    """Live members as seen by one process, on its own monotonic clock.

    A member lapses when neither its row has changed nor a heartbeat of it
    has been heard for ``lapse_s``; no wall clock of another machine counts.

    :param me: name of this process.
    :param lapse_s: silence after which a member has lapsed, in seconds.
    """

    me: str
    lapse_s: float = defaults.MEMBER_LAPSE_S
    _seen: dict[str, _Seen] = attrs.field(factory=dict)

    def observe(self, rows: t.Iterable[tuple[MemberRow, int]], now: float) -> None:
        """Take over the member rows of one scan.

        :param rows: each row with its version.
        :param now: monotonic seconds before the scan was sent.
        """
        present = set()
        for row, version in rows:
            present.add(row.name)
            seen = self._seen.get(row.name)
            if seen is None or seen.row.incarnation != row.incarnation:
                self._seen[row.name] = _Seen(row, version, now, now)
            elif seen.version != version:
                seen.row, seen.version, seen.changed_at = row, version, now
        for name in set(self._seen) - present:
            del self._seen[name]

    def hear(
        self,
        name: str,
        sequence: int,
        draining: t.Mapping[str, int],
        stopping: bool,
        now: float,
    ) -> bool:
        """Take over a heartbeat.

        :param name: the sender.
        :param sequence: last journal entry it has folded.
        :param draining: its requests in flight by leaving VM.
        :param stopping: whether its planned stop is under way.
        :param now: monotonic seconds.
        :returns: whether the set of members that count has changed.
        """
        seen = self._seen.get(name)
        if seen is None:
            return False
        changed = stopping != seen.row.stopping
        changed = changed or self._silence(name, now) > self.lapse_s
        seen.heard_at = now
        seen.row = attrs.evolve(
            seen.row,
            sequence=max(sequence, seen.row.sequence),
            draining=dict(draining),
            stopping=stopping,
        )
        return changed

    def is_anyone_silent(self, now: float, limit_s: float) -> bool:
        """Tell whether another member has not been heard for a while.

        :param now: monotonic seconds.
        :param limit_s: how long, in seconds.
        """
        return any(
            now - seen.heard_at > limit_s
            for name, seen in self._seen.items()
            if name != self.me
        )

    def find_address(self, name: str) -> str | None:
        """Find the peer address of a known member, or ``None``.

        :param name: the member.
        """
        seen = self._seen.get(name)
        return None if seen is None else seen.row.peer

    def list_known(self) -> list[MemberRow]:
        """List every member that has a row, by name."""
        return [self._seen[name].row for name in sorted(self._seen)]

    def list_live(self, now: float, role: str | None = None) -> list[MemberRow]:
        """List members that have not lapsed, by name.

        :param now: monotonic seconds.
        :param role: only members of this role.
        """
        live = []
        for row in self.list_known():
            if role not in (None, row.role):
                continue
            if row.name == self.me or self._silence(row.name, now) <= self.lapse_s:
                live.append(row)
        return live

    def list_lapsed(self, now: float, role: str | None = None) -> list[MemberRow]:
        """List members that have a row but have lapsed, by name.

        :param now: monotonic seconds.
        :param role: only members of this role.
        """
        live = {row.name for row in self.list_live(now)}
        return [
            row
            for row in self.list_known()
            if row.name not in live and role in (None, row.role)
        ]

    def list_forgotten(self, now: float, limit_s: float) -> list[tuple[str, int]]:
        """List members silent for long, with the version of their row.

        :param now: monotonic seconds.
        :param limit_s: silence, in seconds.
        """
        return [
            (name, seen.version)
            for name, seen in sorted(self._seen.items())
            if name != self.me and self._silence(name, now) > limit_s
        ]

    def _silence(self, name: str, now: float) -> float:
        seen = self._seen[name]
        return now - max(seen.changed_at, seen.heard_at)


@attrs.define
class Freshness:
    """Decides whether a process knows enough of the present to serve.

    It does while it has heard the store, or the majority of the members it
    knows, within the limit. An outage of the store alone does not stop it;
    being cut off from both does.

    :param limit_s: greatest age of what was heard, in seconds.
    """

    limit_s: float = defaults.FRESHNESS_LIMIT_S
    _store_at: float = float("-inf")
    _peers: dict[str, float] = attrs.field(factory=dict)

    def hear_store(self, asked_at: float) -> None:
        """Note an answer of the store.

        :param asked_at: monotonic seconds before the question was sent.
        """
        self._store_at = max(self._store_at, asked_at)

    def hear_peer(self, name: str, now: float) -> None:
        """Note a heartbeat of a peer.

        :param name: the peer.
        :param now: monotonic seconds.
        """
        self._peers[name] = now

    def is_fresh(self, now: float, others: t.Collection[str]) -> bool:
        """Tell whether this process may serve.

        :param now: monotonic seconds.
        :param others: names of the other members that count.
        """
        if now - self._store_at <= self.limit_s:
            return True
        if self._store_at == float("-inf") and not others:
            return False
        heard = sum(
            now - self._peers.get(name, float("-inf")) <= self.limit_s
            for name in others
        )
        return 2 * (heard + 1) > len(others) + 1


def rank_by_hash(key: str, names: t.Iterable[str]) -> list[str]:
    """Order names by rendezvous hashing, the owner of the key first.

    :param key: what is to be owned.
    :param names: the candidates.
    """

    def weigh(name: str) -> bytes:
        return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()

    return sorted(names, key=weigh, reverse=True)


def pick_owner(key: str, names: t.Iterable[str]) -> str | None:
    """Pick the owner of a key by rendezvous hashing, or ``None``.

    :param key: what is to be owned.
    :param names: the candidates.
    """
    return next(iter(rank_by_hash(key, names)), None)
