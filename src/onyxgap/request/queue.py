"""Queue of slot requests for one service: by priority, round-robin between teams."""

import collections
import typing as t

import attrs

RANK_COUNT = 3


@attrs.frozen(slots=True)
class SlotRequest:
    """A slot request as the owner of the service schedules it.

    :param member: the entry that sent it.
    :param ask: ID of the slot request, unique within that entry.
    :param rank: priority; 0 is the most urgent.
    :param deadline: monotonic seconds, by the owner's clock, after which a slot is of
        no use.
    :param team: team whose quota is charged, or ``None``.
    :param avoid: VMs and zones in which earlier attempts failed.
    """

    member: str
    ask: int
    rank: int
    deadline: float
    team: str | None = None
    avoid: tuple[str, ...] = ()


@attrs.define
class SlotRequestQueue:
    """Slot requests in the order in which they are granted.

    Requests of one priority are taken round-robin from the teams, so that the backlog
    of one team does not delay the others.
    """

    _teams: list[dict[str | None, collections.deque[SlotRequest]]] = attrs.field(
        factory=lambda: [{} for _ in range(RANK_COUNT)]
    )
    _counts: list[int] = attrs.field(factory=lambda: [0] * RANK_COUNT)

    def push(self, request: SlotRequest) -> None:
        """Append a slot request.

        :param request: the slot request.
        """
        teams = self._teams[request.rank]
        teams.setdefault(request.team, collections.deque()).append(request)
        self._counts[request.rank] += 1

    def count_ahead(self, rank: int) -> int:
        """Count the queued requests that a new one of this priority has to wait for.

        :param rank: priority of the new request.
        """
        return sum(self._counts[: rank + 1])

    def count_all(self) -> int:
        """Count all queued requests."""
        return sum(self._counts)

    def count_rank(self, rank: int) -> int:
        """Count the queued requests of one priority.

        :param rank: the priority.
        """
        return self._counts[rank]

    def pop(
        self, rank: int, is_below_quota: t.Callable[[str | None], bool]
    ) -> SlotRequest | None:
        """Remove and return the next request of a priority whose team is below quota.

        :param rank: the priority.
        :param is_below_quota: tells whether a team is below its quota.
        """
        teams = self._teams[rank]
        for team in list(teams):
            if not is_below_quota(team):
                continue
            waiting = teams.pop(team)
            request = waiting.popleft()
            if waiting:
                # round-robin: the team moves behind the other teams
                teams[team] = waiting
            self._counts[rank] -= 1
            return request
        return None

    def remove_unless(self, keep: t.Callable[[SlotRequest], bool]) -> list[SlotRequest]:
        """Remove the requests for which a predicate is false.

        :param keep: tells which requests stay.
        :returns: the removed requests.
        """
        removed: list[SlotRequest] = []
        for rank, teams in enumerate(self._teams):
            for team, waiting in list(teams.items()):
                kept = collections.deque(item for item in waiting if keep(item))
                removed.extend(item for item in waiting if not keep(item))
                if kept:
                    teams[team] = kept
                else:
                    del teams[team]
            self._counts[rank] = sum(map(len, teams.values()))
        return removed
