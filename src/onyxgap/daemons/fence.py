"""Writes of an owner: fenced by a row whose version each of them expects."""

import math
import random
import typing as t

import anyio
import attrs

from ..exceptions import OwnershipLostError
from ..jobs import tables
from ..jobs.store import Applied
from ..jobs.store import Batch
from ..jobs.store import Conflict
from ..jobs.store import RowId
from ..jobs.store import Store
from ..jobs.tables import OwnerRow

BEAT_S = 0.7
"""Three renewals fit into the silence after which others claim the shard."""
RETRY_MIN_S = 0.03
"""About twice the time of a transaction."""
RETRY_MAX_S = 0.4
"""A store that returns is used again within this time."""


@attrs.define(eq=False)
class FencedWriter:
    """Writes rows of one shard while this process owns it.

    :param shard: the shard.
    :param owner: the owner row as it was claimed.
    :param version: version of the fence row.
    :param nonce: value of the fence row, unique to each write.
    :param store: the store.
    :param rng: spreads retries.
    """

    shard: str
    owner: OwnerRow
    version: int
    nonce: str
    store: Store
    rng: random.Random
    _beat_at: float = -math.inf
    _sequence: int = 0

    def is_beat_due(self, now: float) -> bool:
        """Tell whether the owner row must be renewed."""
        return now - self._beat_at >= BEAT_S

    def put_beat(
        self,
        puts: dict[RowId, bytes],
        now: float,
        waiting: t.Mapping[str, int],
        outlook: t.Mapping[str, t.Any] | None = None,
    ) -> None:
        """Add the renewed owner row to a write.

        :param puts: rows of the write.
        :param now: monotonic seconds.
        :param waiting: jobs of which nothing has started, by queue.
        :param outlook: how long the shard's line is.
        """
        self.owner = attrs.evolve(
            self.owner,
            beat=self.owner.beat + 1,
            waiting=waiting,
            outlook=outlook or {},
        )
        puts[tables.get_owner_row(self.shard)] = tables.encode_owner(self.owner)
        self._beat_at = now

    async def write(
        self, puts: t.Mapping[RowId, bytes], removals: tuple[RowId, ...] = ()
    ) -> None:
        """Write until the outcome is certain; the fence settles lost answers.

        :param puts: rows to write.
        :param removals: rows to remove.
        :raises OwnershipLostError: when another node has claimed the shard.
        """
        fence = tables.get_fence_row(self.shard)
        self._sequence += 1
        nonce = f"{self.owner.boot}/{self.owner.epoch}/{self._sequence}"
        fenced = {**puts, fence: nonce.encode()}
        delay = RETRY_MIN_S
        while True:
            batch = Batch({fence: self.version}, fenced, removals)
            outcome = await self.store.write(batch)
            if isinstance(outcome, Applied):
                self.version, self.nonce = outcome.version, nonce
                return
            if isinstance(outcome, Conflict):
                row = outcome.find(fence)
                written = row.value.decode() if row else ""
                if row is not None and written == nonce:
                    self.version, self.nonce = row.version, nonce
                    return
                if row is None or written != self.nonce:
                    raise OwnershipLostError(f"fence of {self.shard} is {written!r}")
                # only the version differs from what was written last
                self.version = row.version
                continue
            await anyio.sleep(delay * self.rng.uniform(0.5, 1.0))
            delay = min(delay * 2, RETRY_MAX_S)

    async def release(self) -> None:
        """Give the shard up, so that another node claims it at once.

        :raises OwnershipLostError: when another node has claimed it already.
        """
        self.owner = attrs.evolve(self.owner, released=True)
        row = tables.get_owner_row(self.shard)
        await self.write({row: tables.encode_owner(self.owner)})
