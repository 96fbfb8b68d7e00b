"""Waiting asks of one service: by priority, and in turn between teams."""

import collections
import typing as t

import attrs

RANKS = 3


@attrs.frozen(slots=True)
class Ask:
    """An entry's ask for a slot.

    :param member: the entry that asks.
    :param ask: id of the ask within that entry.
    :param rank: priority, 0 first.
    :param deadline: monotonic seconds of the owner after which it is useless.
    :param team: whose quota it uses, or ``None``.
    :param avoid: VMs and zones that earlier attempts failed in.
    """

    member: str
    ask: int
    rank: int
    deadline: float
    team: str | None = None
    avoid: tuple[str, ...] = ()


@attrs.define
class AskQueue:
    """Asks in the order of service.

    Within one priority the teams take turns, so that one team's backlog does
    not hold up another's.
    """

    _teams: list[dict[str | None, collections.deque[Ask]]] = attrs.field(
        factory=lambda: [{} for _ in range(RANKS)]
    )
    _counts: list[int] = attrs.field(factory=lambda: [0] * RANKS)

    def push(self, ask: Ask) -> None:
        """Append an ask.

        :param ask: the ask.
        """
        teams = self._teams[ask.rank]
        teams.setdefault(ask.team, collections.deque()).append(ask)
        self._counts[ask.rank] += 1

    def count_ahead(self, rank: int) -> int:
        """Count the asks that a new one of this rank has to wait for.

        :param rank: its priority.
        """
        return sum(self._counts[: rank + 1])

    def count_all(self) -> int:
        """Count all waiting asks."""
        return sum(self._counts)

    def count_rank(self, rank: int) -> int:
        """Count the waiting asks of one rank.

        :param rank: the priority.
        """
        return self._counts[rank]

    def pop(self, rank: int, may_run: t.Callable[[str | None], bool]) -> Ask | None:
        """Take the next ask of a rank whose team is below its quota.

        :param rank: the priority.
        :param may_run: tells whether a team is below its quota.
        """
        teams = self._teams[rank]
        for team in list(teams):
            if not may_run(team):
                continue
            waiting = teams.pop(team)
            ask = waiting.popleft()
            if waiting:
                # back of the line: the other teams go first
                teams[team] = waiting
            self._counts[rank] -= 1
            return ask
        return None

    def remove(self, keep: t.Callable[[Ask], bool]) -> list[Ask]:
        """Remove the asks that are not to be kept.

        :param keep: tells which ones stay.
        :returns: the removed ones.
        """
        removed: list[Ask] = []
        for rank, teams in enumerate(self._teams):
            for team, waiting in list(teams.items()):
                kept = collections.deque(ask for ask in waiting if keep(ask))
                removed.extend(ask for ask in waiting if not keep(ask))
                if kept:
                    teams[team] = kept
                else:
                    del teams[team]
            self._counts[rank] = sum(map(len, teams.values()))
        return removed
