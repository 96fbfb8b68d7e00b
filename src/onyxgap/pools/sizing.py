"""How many VMs each pool should have; answers a demand that moves between pools.

A VM in a pool is paid by the second, a VM in the spare pool is not, and a move
costs as much as about 1.2 of those seconds.
"""

import math
import typing as t

import attrs

from .allocation import PoolClaim
from .allocation import allocate_vms
from .messages import PoolReport
from .offered import OfferedLoad
from .turns import TurnForecast

HEADROOM = 1.1
"""Tasks do not fill a VM to the last core, and the need is up to 0.3 s old."""
QUEUE_SHARE = 0.5
"""Share of the queue that a pool is sized for: tasks last about a second, and a VM
that is asked for now serves 2.2 s later."""
MIN_VMS = 2
"""A pool keeps two VMs, so that losing one does not stop its urgent jobs."""
FIRST_SHARE = 0.625
"""Share of its size that a pool keeps while others have had a turn and it has not:
nothing tells when its turn comes, and a smaller pool is full before VMs come."""
USUAL_GROWTH = 1.5
"""Multiple of its first size up to which a pool grows by whatever work arrives; beyond
it by what surely arrives, queues or runs. Three large jobs by chance look like a
turn."""
LEAD_S = 2.6
"""A move takes 1.5 s; then the worker registers and is held for the first time."""
HOLD_S = 2.0
"""A pool keeps the size that it needed within this time: giving a VM back and asking
for it again costs two moves and 1.5 s without it."""


class Sizer(t.Protocol):
    """Chooses the sizes of the pools from the shards' reports."""

    def observe(self, report: PoolReport, now: float) -> None:
        """Take in a shard's report."""

    def advance(self, now: float) -> None:
        """Let time pass for shards that reported nothing new."""

    def list_busy(self) -> frozenset[str]:
        """List the pools whose turn is on."""

    def export(self, offset_s: float) -> dict[str, t.Any]:
        """Give what a successor should know, with times on another clock."""

    def restore(self, exported: t.Mapping[str, t.Any], offset_s: float) -> None:
        """Take over what an earlier holder exported."""

    def choose_sizes(
        self,
        reports: t.Mapping[str, PoolReport],
        base: t.Mapping[str, int],
        total: int,
        now: float,
    ) -> dict[str, int]:
        """Choose the number of VMs for each pool; none to leave all as they are."""


@attrs.define
class PoolSizer:
    """Chooses the sizes of the pools by need and by the forecast of turns.

    :param forecast: turns of the shards.
    """

    forecast: TurnForecast = attrs.field(factory=TurnForecast)
    load: OfferedLoad = attrs.field(factory=OfferedLoad)
    _counts: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    _recent: dict[str, list[tuple[float, int]]] = attrs.field(factory=dict)

    def observe(self, report: PoolReport, now: float) -> None:
        """Take in a shard's report.

        :param report: the report.
        :param now: monotonic seconds.
        """
        epoch, jobs = self._counts.get(
            report.shard, (report.epoch, report.arrived_jobs)
        )
        if epoch != report.epoch:
            jobs = 0
        self._counts[report.shard] = (report.epoch, report.arrived_jobs)
        self.forecast.observe(report.shard, now, max(0, report.arrived_jobs - jobs))
        self.load.observe(report, now)
        self.forecast.note_need(report.shard, get_need(report))

    def advance(self, now: float) -> None:
        """Let time pass for shards that reported nothing new."""
        for shard in self._counts:
            self.forecast.observe(shard, now, 0)

    def list_busy(self) -> frozenset[str]:
        """List the pools whose turn is on."""
        return self.forecast.list_busy()

    def export(self, offset_s: float) -> dict[str, t.Any]:
        """Give what a successor should know, with times on another clock.

        :param offset_s: seconds to add to this process's monotonic time.
        """
        return self.forecast.export(offset_s)

    def restore(self, exported: t.Mapping[str, t.Any], offset_s: float) -> None:
        """Take over what an earlier holder exported.

        :param exported: what :meth:`export` gave.
        :param offset_s: what that clock is ahead of this process's monotonic time.
        """
        self.forecast.restore(exported, offset_s)

    def choose_sizes(
        self,
        reports: t.Mapping[str, PoolReport],
        base: t.Mapping[str, int],
        total: int,
        now: float,
    ) -> dict[str, int]:
        """Choose the number of VMs for each pool that runs jobs.

        :param reports: newest report by shard.
        :param base: VMs of each pool in the beginning.
        :param total: VMs that there are, those of the spare pool included.
        :param now: monotonic seconds.
        """
        claims = {
            shard: self._claim(report, base.get(shard, MIN_VMS), now)
            for shard, report in reports.items()
        }
        return allocate_vms(claims, total)

    def _claim(self, report: PoolReport, base: int, now: float) -> PoolClaim:
        usual = count_needed(report, self.load.get_rate(report.shard, now))
        sure = count_needed(report, self.load.get_sure_rate(report.shard, now))
        needed = max(sure, min(usual, math.ceil(base * USUAL_GROWTH)), MIN_VMS)
        held = self._hold_need(report.shard, needed, now)
        return PoolClaim(needed, max(held, self._get_floor(report.shard, base, now)))

    def _get_floor(self, shard: str, base: int, now: float) -> int:
        """Give the VMs that a pool keeps, however little it needs now."""
        if self._is_quiet(shard, now):
            return MIN_VMS
        if self.forecast.awaits_first_turn(shard):
            return max(MIN_VMS, math.ceil(base * FIRST_SHARE))
        return base

    def _hold_need(self, shard: str, need: int, now: float) -> int:
        recent = [
            (at, earlier)
            for at, earlier in self._recent.get(shard, ())
            if at > now - HOLD_S and earlier > need
        ]
        self._recent[shard] = [*recent, (now, need)]
        return max(earlier for _, earlier in self._recent[shard])

    def _is_quiet(self, shard: str, now: float) -> bool:
        """Tell whether a shard's turn is over and the next one is not near."""
        arrivals = self.forecast.shards.get(shard)
        if arrivals is None or arrivals.busy:
            return False
        start = self.forecast.get_next_start(shard)
        return start is not None and now < start - LEAD_S


def get_need(report: PoolReport, rate: float = 0.0) -> float:
    """Give the VMs that a shard could fill at once, or will by what arrives.

    :param report: its report.
    :param rate: VMs that the arriving work keeps busy; see :class:`OfferedLoad`.
    """
    return QUEUE_SHARE * report.queued + max(report.batch, rate) + report.serving


def count_needed(report: PoolReport, rate: float = 0.0) -> int:
    """Count the VMs that a shard needs now, with headroom.

    :param report: its report.
    :param rate: VMs that the arriving work keeps busy.
    """
    return math.ceil(get_need(report, rate) * HEADROOM)
