"""Forecasts bursts of demand: which pools are in a burst, and when the next one starts.

Expects services that burst one after the other: each demands several times its mean
for some seconds and little in between. A pool that is always or never busy is also
handled, as it has no next burst. All bounds err towards early scale-up: a pool that is
too small when its burst starts is late for half of the burst.
"""

import collections
import math
import typing as t

import attrs
import structlog

WINDOW_S = 1.5
"""Window over which arrivals are counted; bursts last some seconds."""
MIN_BURST_JOBS = 3
"""Minimum jobs in the window to start a burst. Between bursts, a service receives one
job in several seconds."""
BURST_START_SHARE = 0.25
"""Fraction of the jobs in the busiest window so far that starts a burst. It is well
above the demand between bursts (a twentieth) and well below that of a burst, which is
five times the mean."""
MIN_BURST_LOAD = 0.25
"""Least load that starts a burst, as a fraction of the pool's base size. Small jobs
that arrive by chance between bursts are enough in number, but not in work."""
BURST_END_SHARE = 0.12
"""Fraction of the busiest window at or below which a burst has ended."""
MIN_BURST_S = 2.5
"""Minimum length of a burst; an earlier pause in arrivals is taken for chance."""
SAME_BURST_FACTOR = 2.0
"""A burst that starts within this multiple of the previous burst's length, counted from
the start of the previous one, continues it."""
ESTIMATED_PERIOD_SHARE = 0.85
"""Fraction of the estimated period after which the next burst is expected. The period
is estimated from the longest burst, since a burst of few jobs seems shorter than it
is."""
MEASURED_PERIOD_SHARE = 0.95
"""Fraction of the measured period after which the next burst is expected. A burst is
detected at its third job, so measured periods are inexact."""
MAX_BURSTS_KEPT = 6
"""Bursts remembered for each shard; older ones say little about the present."""

_LOG = structlog.get_logger()


@attrs.define(slots=True)
class ArrivalHistory:
    """Arrivals and bursts of one shard.

    :param recent: time and number of jobs of each observation within the window.
    :param peak_jobs: most jobs in a window during a burst.
    :param busy: whether it is in a burst.
    :param starts: monotonic seconds at which its bursts started.
    :param lengths: lengths of its ended bursts in seconds.
    :param peak_demand: most VMs that it demanded during its bursts.
    """

    recent: collections.deque[tuple[float, int]] = attrs.field(
        factory=collections.deque
    )
    peak_jobs: int = 0
    busy: bool = False
    starts: list[float] = attrs.field(factory=list)
    lengths: list[float] = attrs.field(factory=list)
    peak_demand: float = 0.0

    def count_recent(self, now: float) -> int:
        """Count the jobs within the window."""
        while self.recent and self.recent[0][0] < now - WINDOW_S:
            self.recent.popleft()
        return sum(jobs for _, jobs in self.recent)

    def has_burst_rate(self, count: int) -> bool:
        """Tell whether so many jobs within the window are enough to start a burst."""
        return count >= max(MIN_BURST_JOBS, BURST_START_SHARE * self.peak_jobs)

    def begin_burst(self) -> None:
        """Start a burst, or continue one that only seemed to have ended."""
        start = self.recent[0][0]
        self.busy = True
        if self.starts and self.lengths:
            gap = start - self.starts[-1]
            if gap < SAME_BURST_FACTOR * max(self.lengths[-1], MIN_BURST_S):
                self.lengths.pop()
                return
        self.starts = [*self.starts, start][-MAX_BURSTS_KEPT:]

    def end_burst(self, now: float) -> None:
        """End the burst at the last arrival within the window."""
        self.busy = False
        last = self.recent[-1][0] if self.recent else now - WINDOW_S
        length = max(last - self.starts[-1], MIN_BURST_S)
        self.lengths = [*self.lengths, length][-MAX_BURSTS_KEPT:]


@attrs.define
class BurstForecast:
    """Learns when shards have bursts, and forecasts the next ones.

    :param shards: arrival history by shard.
    """

    shards: dict[str, ArrivalHistory] = attrs.field(factory=dict)

    def observe(
        self, shard: str, now: float, jobs: int, load: float = math.inf
    ) -> None:
        """Record the jobs that arrived since the previous observation.

        :param shard: the shard.
        :param now: monotonic seconds.
        :param jobs: number of jobs.
        :param load: load that the arriving work offers, as a fraction of the pool's
            base size; infinite if it is not known.
        """
        arrivals = self.shards.setdefault(shard, ArrivalHistory())
        if jobs:
            arrivals.recent.append((now, jobs))
        count = arrivals.count_recent(now)
        if arrivals.busy:
            arrivals.peak_jobs = max(arrivals.peak_jobs, count)
            long_enough = now - arrivals.starts[-1] > MIN_BURST_S
            if long_enough and count <= BURST_END_SHARE * arrivals.peak_jobs:
                arrivals.end_burst(now)
                self._log_burst("burst over", shard, now)
        elif load >= MIN_BURST_LOAD and arrivals.has_burst_rate(count):
            arrivals.begin_burst()
            arrivals.peak_jobs = max(arrivals.peak_jobs, count)
            self._log_burst("burst begun", shard, now)

    def _log_burst(self, event: str, shard: str, now: float) -> None:
        arrivals, period = self.shards[shard], self.get_period()
        _LOG.info(
            event,
            service=shard,
            jobs=arrivals.count_recent(now),
            peak_jobs=arrivals.peak_jobs,
            peak_vms=round(arrivals.peak_demand, 1),
            began_s=[round(now - start, 1) for start in arrivals.starts],
            period_s=None if period is None else round(period, 1),
        )

    def record_demand(self, shard: str, vms: float) -> None:
        """Record the most VMs that a shard demanded during its bursts."""
        arrivals = self.shards.get(shard)
        if arrivals is not None and arrivals.busy:
            arrivals.peak_demand = max(arrivals.peak_demand, vms)

    def export(self, offset_s: float) -> dict[str, t.Any]:
        """Return the state for a successor, with times converted to another clock.

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
        """Restore the state that a previous fleet controller exported.

        :param exported: result of :meth:`export`.
        :param offset_s: seconds by which the clock of the exported times is ahead of
            this process's monotonic time.
        """
        for shard, raw in exported.items():
            self.shards[shard] = ArrivalHistory(
                peak_jobs=int(raw["peak_jobs"]),
                busy=bool(raw["busy"]) and bool(raw["starts"]),
                starts=[float(start) - offset_s for start in raw["starts"]],
                lengths=[float(length) for length in raw["lengths"]],
            )

    def list_busy(self) -> frozenset[str]:
        """List the shards that are in a burst."""
        return frozenset(
            shard for shard, arrivals in self.shards.items() if arrivals.busy
        )

    def awaits_first_burst(self, shard: str) -> bool:
        """Tell whether other shards have had a burst and this one has not."""
        own = self.shards.get(shard)
        if own is not None and own.starts:
            return False
        return any(arrivals.starts for arrivals in self.shards.values())

    def get_period(self) -> float | None:
        """Return the minimum seconds between burst starts of a shard, if known."""
        intervals = [
            later - earlier
            for arrivals in self.shards.values()
            for earlier, later in zip(
                arrivals.starts, arrivals.starts[1:], strict=False
            )
        ]
        if intervals:
            return MEASURED_PERIOD_SHARE * min(intervals)
        lengths = [
            length for arrivals in self.shards.values() for length in arrivals.lengths
        ]
        if not lengths or len(self.shards) < 2:
            return None
        return ESTIMATED_PERIOD_SHARE * max(lengths) * len(self.shards)

    def get_next_start(self, shard: str) -> float | None:
        """Return the earliest expected start of a shard's next burst, if known."""
        arrivals = self.shards.get(shard)
        period = self.get_period()
        if arrivals is None or not arrivals.starts or period is None:
            return None
        return arrivals.starts[-1] + period
