"""Autoscaling of pools: chooses the size of each pool as demand shifts among pools.

A VM in a pool is billed by the second, and a VM in the spare pool is not. A move costs
as much as about 1.2 billed seconds.
"""

import math
import typing as t

import attrs

from .allocation import PoolClaim
from .allocation import allocate_vms
from .bursts import BurstForecast
from .messages import PoolReport
from .offered import WINDOW_S
from .offered import OfferedLoad

HEADROOM = 1.1
"""Tasks do not fill a VM to its last core, and the known demand is up to 0.3 s old."""
QUEUE_SHARE = 0.5
"""Fraction of the queue that a pool is sized for: tasks last about a second, and a VM
requested now serves 2.2 s later."""
MIN_VMS = 2
"""Minimum size of a pool, so that the loss of one VM does not stop its urgent jobs."""
BEFORE_FIRST_BURST_SHARE = 0.625
"""Fraction of its base size that a pool keeps while other pools have had a burst and it
has not. The start of its first burst is unknown, and a smaller pool would be full
before more VMs arrive."""
BURST_SIZE = 2.0
"""Multiple of its base size that a pool gets, of VMs that nobody needs, while a burst
begins that will outgrow it."""
OUTGROWN_LOAD = 0.75
"""Least load, as a fraction of the base size, by which a burst that begins will outgrow
its pool: the rate of arrivals still rises then."""
MIN_RISE_S = 0.3
"""Least time over which the work of a burst that begins is averaged; about the interval
of reports."""
BURST_RISE_S = 2.0
"""Time from the start of a burst until the load of its first second is measured and the
VMs that follow from it are on their way."""
EXPECTED_LOAD_GROWTH = 1.5
"""Multiple of its base size up to which a pool grows with the expected offered load.
Beyond that, it grows only with the lower bound of the offered load and with queued and
running work: three large jobs that arrive by chance look like a burst."""
SCALE_UP_LEAD_S = 2.6
"""How long before an expected burst a pool is scaled up. A move takes 1.5 s, then the
worker registers and is sent its first hold request."""
SCALE_DOWN_WINDOW_S = 2.0
"""A pool is not scaled below the largest size that it needed within this window.
Releasing a VM and requesting it again costs two moves and 1.5 s without the VM."""

RecentCounts = dict[str, list[tuple[float, int]]]
"""Counts of VMs by shard, each with the monotonic seconds at which it was observed."""


class Sizer(t.Protocol):
    """Policy that chooses the sizes of pools from the reports of shards."""

    def observe(self, report: PoolReport, now: float) -> None:
        """Record the report of a shard."""

    def advance(self, now: float) -> None:
        """Advance the clock for shards without a new report."""

    def list_busy(self) -> frozenset[str]:
        """List the pools that are in a burst."""

    def export(self, offset_s: float) -> dict[str, t.Any]:
        """Return the state for a successor, with times converted to another clock."""

    def restore(self, exported: t.Mapping[str, t.Any], offset_s: float) -> None:
        """Restore the state that a previous fleet controller exported."""

    def choose_sizes(
        self,
        reports: t.Mapping[str, PoolReport],
        base: t.Mapping[str, int],
        total: int,
        now: float,
    ) -> dict[str, int]:
        """Choose the size of each pool; a pool that is left out keeps its VMs."""


@attrs.define
class PoolSizer:
    """Chooses the sizes of pools by current demand and by a forecast of bursts.

    :param forecast: forecast of the bursts of all shards.
    :param load: offered load by shard.
    """

    forecast: BurstForecast = attrs.field(factory=BurstForecast)
    load: OfferedLoad = attrs.field(factory=OfferedLoad)
    _base: t.Mapping[str, int] = attrs.field(factory=dict)
    _job_counters: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    _recent_needed: RecentCounts = attrs.field(factory=dict)
    _recent_late: RecentCounts = attrs.field(factory=dict)
    _recent_redundant: RecentCounts = attrs.field(factory=dict)
    _outgrown_until: dict[str, float] = attrs.field(factory=dict)

    def observe(self, report: PoolReport, now: float) -> None:
        """Record the report of a shard.

        :param report: the report.
        :param now: monotonic seconds.
        """
        epoch, jobs = self._job_counters.get(
            report.shard, (report.epoch, report.arrived_jobs)
        )
        if epoch != report.epoch:
            jobs = 0
        self._job_counters[report.shard] = (report.epoch, report.arrived_jobs)
        self.load.observe(report, now)
        self._observe_arrivals(report.shard, max(0, report.arrived_jobs - jobs), now)
        self.forecast.record_demand(report.shard, get_vm_demand(report))

    def advance(self, now: float) -> None:
        """Advance the clock for shards without a new report."""
        for shard in self._job_counters:
            self._observe_arrivals(shard, 0, now)

    def _observe_arrivals(self, shard: str, jobs: int, now: float) -> None:
        base = self._base.get(shard, 0)
        # without a base size there is nothing that a burst could be compared with
        load = self.load.get_load_lower_bound(shard, now) / base if base else 0.0
        self.forecast.observe(shard, now, jobs, load)

    def list_busy(self) -> frozenset[str]:
        """List the pools that are in a burst."""
        return self.forecast.list_busy()

    def export(self, offset_s: float) -> dict[str, t.Any]:
        """Return the state for a successor, with times converted to another clock.

        :param offset_s: seconds to add to this process's monotonic time.
        """
        return self.forecast.export(offset_s)

    def restore(self, exported: t.Mapping[str, t.Any], offset_s: float) -> None:
        """Restore the state that a previous fleet controller exported.

        :param exported: result of :meth:`export`.
        :param offset_s: seconds by which the clock of the exported times is ahead of
            this process's monotonic time.
        """
        self.forecast.restore(exported, offset_s)

    def choose_sizes(
        self,
        reports: t.Mapping[str, PoolReport],
        base: t.Mapping[str, int],
        total: int,
        now: float,
    ) -> dict[str, int]:
        """Choose the size of each pool that runs jobs.

        :param reports: latest report by shard.
        :param base: base size of each pool, in VMs.
        :param total: VMs of the fleet, including those of the spare pool.
        :param now: monotonic seconds.
        """
        self._base = base
        claims = {
            shard: self._build_claim(report, base.get(shard, MIN_VMS), now)
            for shard, report in reports.items()
        }
        return allocate_vms(claims, total)

    def _build_claim(self, report: PoolReport, base: int, now: float) -> PoolClaim:
        expected = count_needed_vms(report, self.load.get_load(report.shard, now))
        lower_bound = count_needed_vms(
            report, self.load.get_load_lower_bound(report.shard, now)
        )
        needed = max(
            lower_bound, min(expected, math.ceil(base * EXPECTED_LOAD_GROWTH)), MIN_VMS
        )
        recent_max = _update_recent_max(self._recent_needed, report.shard, needed, now)
        wanted = max(recent_max, self._get_min_size(report.shard, base, now))
        late = _update_recent_max(self._recent_late, report.shard, report.late_vms, now)
        redundant = _update_recent_max(
            self._recent_redundant, report.shard, report.redundant_vms, now
        )
        return PoolClaim(needed, wanted, report.serving_vms, late, redundant)

    def _get_min_size(self, shard: str, base: int, now: float) -> int:
        """Return the minimum size of a pool, regardless of its current demand."""
        if self._is_between_bursts(shard, now):
            return MIN_VMS
        if self.forecast.awaits_first_burst(shard):
            return max(MIN_VMS, math.ceil(base * BEFORE_FIRST_BURST_SHARE))
        if self._outgrows_base(shard, base, now):
            return math.ceil(base * BURST_SIZE)
        return base

    def _outgrows_base(self, shard: str, base: int, now: float) -> bool:
        """Tell whether a burst has begun that will outgrow its pool's base size.

        The load of a whole second shows that too late. Once told, it is told until the
        load is measured, so that VMs do not come and go.
        """
        arrivals = self.forecast.shards.get(shard)
        if arrivals is None or not arrivals.busy:
            return False
        rising_s = now - arrivals.starts[-1]
        if rising_s >= BURST_RISE_S:
            return False
        work = self.load.get_load_lower_bound(shard, now)
        load = work / min(max(rising_s, MIN_RISE_S), WINDOW_S)
        if load >= OUTGROWN_LOAD * base:
            self._outgrown_until[shard] = arrivals.starts[-1] + BURST_RISE_S
        return now < self._outgrown_until.get(shard, 0.0)

    def _is_between_bursts(self, shard: str, now: float) -> bool:
        """Tell whether a shard's burst is over and the next one is not imminent."""
        arrivals = self.forecast.shards.get(shard)
        if arrivals is None or arrivals.busy:
            return False
        start = self.forecast.get_next_start(shard)
        return start is not None and now < start - SCALE_UP_LEAD_S


def _update_recent_max(
    counts: RecentCounts, shard: str, needed: int, now: float
) -> int:
    """Record what a pool needs; return the maximum within the scale-down window."""
    recent = [
        (at, earlier)
        for at, earlier in counts.get(shard, ())
        if at > now - SCALE_DOWN_WINDOW_S and earlier > needed
    ]
    counts[shard] = [*recent, (now, needed)]
    return max(earlier for _, earlier in counts[shard])


def get_vm_demand(report: PoolReport, offered_load: float = 0.0) -> float:
    """Return the VMs that a shard can fill with its current and arriving work.

    :param report: its report.
    :param offered_load: VMs that arriving work keeps busy; see :class:`OfferedLoad`.
    """
    return (
        QUEUE_SHARE * report.queued + max(report.batch, offered_load) + report.serving
    )


def count_needed_vms(report: PoolReport, offered_load: float = 0.0) -> int:
    """Count the VMs that a shard needs now, including headroom.

    :param report: its report.
    :param offered_load: VMs that arriving work keeps busy.
    """
    filled = math.ceil(get_vm_demand(report, offered_load) * HEADROOM)
    return max(filled, report.serving_vms)
