"""Forecasts demand that comes by turns: which pool is busy now, and when again.

Answers a load in which each service in its turn asks several times its mean for
some seconds and little in between. A pool that is always busy, or never, is
handled as well: it has no turn to wait for. All bounds err towards being ready
early: a pool that is too small when its turn comes is late for half of it.
"""

import collections
import typing as t

import attrs

WINDOW_S = 1.5
"""Span of arrivals that is judged at once; turns last some seconds."""
MIN_JOBS = 3
"""Jobs within the window that begin a turn; in between, a service sees one job in
seconds."""
ENTER_SHARE = 0.25
"""Share of the busiest window seen that begins a turn: well above the twentieth
that is asked in between, well below the fivefold mean."""
LEAVE_SHARE = 0.12
"""Share of the busiest window below which a turn has ended."""
MIN_TURN_S = 2.5
"""A turn lasts at least this long; a shorter pause in it is chance."""
SAME_TURN_FACTOR = 2.0
"""Busy again within this many turn lengths is still the same turn."""
EARLY_SHARE = 0.85
"""Share of the period, reckoned from one turn's length, that a pool may rest. A
turn of few jobs looks shorter than it is, so the longest one seen counts."""
MEASURED_SHARE = 0.95
"""Share of a measured period that a pool may rest: a turn is seen to begin with its
third job, so that measured periods are off."""
KEPT_STARTS = 6
"""Turns remembered of each shard; older ones say little of the present."""


@attrs.define(slots=True)
class Arrivals:
    """Arrivals of one shard.

    :param recent: time and jobs of each look within the window.
    :param peak_jobs: most jobs seen in a window.
    :param busy: whether its turn is on.
    :param starts: monotonic seconds at which its turns began.
    :param lengths: seconds that its ended turns lasted.
    :param peak_need: most VMs that it asked for in its last turn.
    """

    recent: collections.deque[tuple[float, int]] = attrs.field(
        factory=collections.deque
    )
    peak_jobs: int = 0
    busy: bool = False
    starts: list[float] = attrs.field(factory=list)
    lengths: list[float] = attrs.field(factory=list)
    peak_need: float = 0.0

    def count_recent(self, now: float) -> int:
        """Count the jobs of the window."""
        while self.recent and self.recent[0][0] < now - WINDOW_S:
            self.recent.popleft()
        return sum(jobs for _, jobs in self.recent)

    def begin(self) -> None:
        """Begin a turn, or go on with one that only seemed to have ended."""
        start = self.recent[0][0]
        self.busy = True
        if self.starts and self.lengths:
            gap = start - self.starts[-1]
            if gap < SAME_TURN_FACTOR * max(self.lengths[-1], MIN_TURN_S):
                self.lengths.pop()
                return
        self.starts = [*self.starts, start][-KEPT_STARTS:]

    def end(self, now: float) -> None:
        """End the turn; the last jobs came within the window."""
        self.busy = False
        last = self.recent[-1][0] if self.recent else now - WINDOW_S
        length = max(last - self.starts[-1], MIN_TURN_S)
        self.lengths = [*self.lengths, length][-KEPT_STARTS:]


@attrs.define
class TurnForecast:
    """Learns the turns of all shards.

    :param shards: arrivals by shard.
    """

    shards: dict[str, Arrivals] = attrs.field(factory=dict)

    def observe(self, shard: str, now: float, jobs: int) -> None:
        """Take in what arrived since the last look.

        :param shard: the shard.
        :param now: monotonic seconds.
        :param jobs: number of jobs.
        """
        arrivals = self.shards.setdefault(shard, Arrivals())
        if jobs:
            arrivals.recent.append((now, jobs))
        count = arrivals.count_recent(now)
        if arrivals.busy:
            arrivals.peak_jobs = max(arrivals.peak_jobs, count)
            long_enough = now - arrivals.starts[-1] > MIN_TURN_S
            if long_enough and count <= LEAVE_SHARE * arrivals.peak_jobs:
                arrivals.end(now)
        elif count >= max(MIN_JOBS, ENTER_SHARE * arrivals.peak_jobs):
            arrivals.begin()
            arrivals.peak_jobs = max(arrivals.peak_jobs, count)

    def note_need(self, shard: str, need: float) -> None:
        """Remember the most VMs that a shard asked for during its turns."""
        arrivals = self.shards.get(shard)
        if arrivals is not None and arrivals.busy:
            arrivals.peak_need = max(arrivals.peak_need, need)

    def export(self, offset_s: float) -> dict[str, t.Any]:
        """Give what a successor should know, with times shifted to another clock.

        :param offset_s: seconds to add to this process's monotonic time.
        """
        return {
            shard: {
                "starts": [round(start + offset_s, 1) for start in arrivals.starts],
                "lengths": [round(length, 1) for length in arrivals.lengths],
                "busy": arrivals.busy,
                "peak_jobs": arrivals.peak_jobs,
            }
            for shard, arrivals in self.shards.items()
        }

    def restore(self, exported: t.Mapping[str, t.Any], offset_s: float) -> None:
        """Take over what an earlier holder exported.

        :param exported: what :meth:`export` gave.
        :param offset_s: what that clock is ahead of this process's monotonic time.
        """
        for shard, raw in exported.items():
            self.shards[shard] = Arrivals(
                peak_jobs=int(raw["peak_jobs"]),
                busy=bool(raw["busy"]) and bool(raw["starts"]),
                starts=[float(start) - offset_s for start in raw["starts"]],
                lengths=[float(length) for length in raw["lengths"]],
            )

    def list_busy(self) -> frozenset[str]:
        """List the shards whose turn is on."""
        return frozenset(
            shard for shard, arrivals in self.shards.items() if arrivals.busy
        )

    def awaits_first_turn(self, shard: str) -> bool:
        """Tell whether other shards have had a turn and this one has not."""
        own = self.shards.get(shard)
        if own is not None and own.starts:
            return False
        return any(arrivals.starts for arrivals in self.shards.values())

    def get_period(self) -> float | None:
        """Give the least seconds from a turn of a shard to its next, if known."""
        spans = [
            later - earlier
            for arrivals in self.shards.values()
            for earlier, later in zip(
                arrivals.starts, arrivals.starts[1:], strict=False
            )
        ]
        if spans:
            return MEASURED_SHARE * min(spans)
        lengths = [
            length for arrivals in self.shards.values() for length in arrivals.lengths
        ]
        if not lengths or len(self.shards) < 2:
            return None
        return EARLY_SHARE * max(lengths) * len(self.shards)

    def get_next_start(self, shard: str) -> float | None:
        """Forecast the earliest start of a shard's next turn, if that is known."""
        arrivals = self.shards.get(shard)
        period = self.get_period()
        if arrivals is None or not arrivals.starts or period is None:
            return None
        return arrivals.starts[-1] + period
