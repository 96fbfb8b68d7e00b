"""Guard: grants voluntary disruptions within a pool's availability budget."""

import typing as t

import attrs

from ..manifest import Pool
from ..shared.records import VmRecord
from ..shared.records import VmState


def count_headroom(pool: Pool, records: t.Iterable[VmRecord]) -> int:
    """Count the VMs that may still be taken out by choice.

    Whatever is not serving counts as out: failed, draining, down,
    quarantined, retired and not yet joined alike.

    :param pool: the pool's declaration.
    :param records: its VMs.
    """
    serving = sum(record.state is VmState.SERVING for record in records)
    return serving - (pool.size - pool.max_out)


@attrs.define
class Budget:
    """The voluntary disruptions that one pass may still grant in one pool.

    :param left: how many.
    :param barred: why none is granted at all, or empty.
    """

    left: int
    barred: str = ""

    def grant(self) -> bool:
        """Take one disruption from the budget if there is one."""
        if self.barred or self.left <= 0:
            return False
        self.left -= 1
        return True

    def explain(self, pool: Pool) -> str:
        """Say why nothing more is granted.

        :param pool: the pool's declaration.
        """
        if self.barred:
            return self.barred
        return f"availability budget of {pool.max_out} VMs out is used up"
