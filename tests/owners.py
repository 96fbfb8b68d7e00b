"""Builds owners of a shard for tests that need no store."""

import random
import typing as t

from onyxgap.clocks import Clocks
from onyxgap.daemons.fence import FencedWriter
from onyxgap.daemons.lag import LoopLag
from onyxgap.daemons.owner import ShardOwner
from onyxgap.daemons.owner_workers import OwnerContext
from onyxgap.jobs.health import StoreHealth
from onyxgap.jobs.leases import GrantPeriod
from onyxgap.jobs.settings import TimeLimits
from onyxgap.jobs.tables import OwnerRow
from onyxgap.jobs.workers import WorkerClient


def build_owner(workers: WorkerClient, clocks: Clocks) -> ShardOwner:
    """Build an owner of the shard ``shard`` that can't reach a store."""
    nothing: t.Any = None
    rng = random.Random(1)
    grants = GrantPeriod(clocks.read_boot, clocks.read_boot())
    row = OwnerRow("node", "boot", 1)
    writer = FencedWriter("shard", row, 1, "", nothing, rng, grants)
    context = OwnerContext(
        nothing,
        workers,
        clocks,
        StoreHealth(),
        TimeLimits(),
        rng,
        LoopLag(clocks),
        "workers",
        nothing,
        nothing,
    )
    return ShardOwner(writer, context=context)
