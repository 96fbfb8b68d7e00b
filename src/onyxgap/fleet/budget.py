"""Limits voluntary disruptions of VMs to a pool's availability budget."""

import typing as t

import attrs

from ..manifest import Pool
from ..shared.records import VmRecord
from ..shared.records import VmState


def count_headroom(pool: Pool, records: t.Iterable[VmRecord]) -> int:
    """Count the VMs that may still be taken out of service voluntarily.

    Every VM that is not serving counts as out of service, whether it is failed,
    draining, down, quarantined, retired or has not joined yet.

    :param pool: the pool as declared in the manifest.
    :param records: the VMs of the pool.
    :returns: number of VMs; negative if more VMs are out than the budget allows.
    """
    serving = sum(record.state is VmState.SERVING for record in records)
    return serving - (pool.size - pool.max_out)


@attrs.define
class Budget:
    """Voluntary disruptions that one reconciliation pass may still start in a pool.

    :param remaining: number of disruptions left.
    :param blocked_reason: why no disruption is allowed at all, or empty.
    """

    remaining: int
    blocked_reason: str = ""

    def try_take(self) -> bool:
        """Take one disruption from the budget; return whether one was available."""
        if self.blocked_reason or self.remaining <= 0:
            return False
        self.remaining -= 1
        return True

    def explain_refusal(self, pool: Pool) -> str:
        """Explain why no further disruption is allowed.

        :param pool: the pool as declared in the manifest.
        """
        if self.blocked_reason:
            return self.blocked_reason
        return f"availability budget of {pool.max_out} VMs out is used up"
