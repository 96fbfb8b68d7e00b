"""Ways to choose the sizes of pools, to be compared in experiments."""

import typing as t

import attrs

from ...pools.messages import PoolReport
from ...pools.sizing import MIN_VMS
from ...pools.sizing import PoolSizer
from ...pools.sizing import Sizer
from ...pools.sizing import count_needed_vms


@attrs.define
class FixedSizer:
    """Leaves every pool as it is."""

    def observe(self, report: PoolReport, now: float) -> None:
        """Take in a shard's report."""

    def advance(self, now: float) -> None:
        """Let time pass."""

    def list_busy(self) -> frozenset[str]:
        """List the pools whose turn is on: none is known."""
        return frozenset()

    def export(self, offset_s: float) -> dict[str, t.Any]:
        """Give what a successor should know: nothing."""
        return {}

    def restore(self, exported: t.Mapping[str, t.Any], offset_s: float) -> None:
        """Take over what an earlier holder exported: nothing."""

    def choose_sizes(
        self,
        reports: t.Mapping[str, PoolReport],
        base: t.Mapping[str, int],
        total: int,
        now: float,
    ) -> dict[str, int]:
        """Leave all pools as they are."""
        return {}


@attrs.define
class ReactiveSizer(FixedSizer):
    """Follows the present need, with no memory and no forecast."""

    def choose_sizes(
        self,
        reports: t.Mapping[str, PoolReport],
        base: t.Mapping[str, int],
        total: int,
        now: float,
    ) -> dict[str, int]:
        """Choose what each pool needs at this moment."""
        return {
            shard: max(count_needed_vms(report), MIN_VMS)
            for shard, report in reports.items()
        }


POLICIES: t.Mapping[str, t.Callable[[], Sizer]] = {
    "forecast": PoolSizer,
    "fixed": FixedSizer,
    "reactive": ReactiveSizer,
}
