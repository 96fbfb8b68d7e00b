"""Builds owners of a shard for tests."""

import math
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
from onyxgap.jobs.store import Store
from onyxgap.jobs.tables import OwnerRow
from onyxgap.jobs.workers import WorkerClient


def build_owner(
    workers: WorkerClient,
    clocks: Clocks,
    store: Store | None = None,
    build: type[ShardOwner] = ShardOwner,
) -> ShardOwner:
    """Build an owner of the shard ``shard`` that may grant leases.

    :param store: the store, ``None`` if the test needs none.
    :param build: class of the owner.
    """
    nothing: t.Any = None
    rng = random.Random(1)
    grants = GrantPeriod(lambda: clocks.read_boot(), confirmed_at=math.inf)
    row = OwnerRow("node", "boot", 1)
    writer = FencedWriter("shard", row, 1, "", store or nothing, rng, grants)
    context = OwnerContext(
        store or nothing,
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
    return build(writer, context=context)
