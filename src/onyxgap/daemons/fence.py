"""Fenced writes of a shard's owner: each expects the version of the fence row."""

import math
import random
import typing as t

import anyio
import attrs
import structlog

from ..exceptions import DocumentError
from ..exceptions import OwnershipLostError
from ..exceptions import WriteRefusedError
from ..jobs import tables
from ..jobs.leases import GrantPeriod
from ..jobs.store import Applied
from ..jobs.store import Batch
from ..jobs.store import Conflict
from ..jobs.store import Invalid
from ..jobs.store import RowId
from ..jobs.store import Store
from ..jobs.store import StoredRow
from ..jobs.store import StoreLimits
from ..jobs.tables import NO_LOAD
from ..jobs.tables import UNKNOWN_LOAD
from ..jobs.tables import OwnerRow
from ..jobs.tables import ShardLoad

RENEWAL_INTERVAL_S = 0.7
"""Time between two renewals of the owner row. Three of them fit into the owner
time-out, after which other nodes claim the shard."""
OVERDUE_S = 2 * RENEWAL_INTERVAL_S
"""Age of the last confirmed renewal from which the owner row is renewed apart from the
other writes. A renewal that is sent then arrives within the owner time-out."""
MAX_UNWRITTEN_S = 12.0
"""Time without a fenced write after which the owner row is not renewed apart any more:
an owner that stores nothing for longer leaves the shard to another node."""
RETRY_MIN_S = 0.03
"""First delay before a write is repeated: about twice the time of a transaction."""
RETRY_MAX_S = 0.4
"""Longest delay before a write is repeated, so that a store that has become available
again is used within this time."""

_LOG = structlog.get_logger()


@attrs.define(eq=False)
class FencedWriter:
    """Writes rows of one shard while this process owns it.

    :param shard: the shard.
    :param owner: the owner row as last put into a write; at first as it was claimed.
    :param version: expected version of the fence row.
    :param nonce: last known value of the fence row, unique to each write.
    :param store: the store.
    :param rng: source of the jitter of retries.
    :param grants: when the owner may grant leases.
    :param row_bytes: largest row of the store.
    :param owner_version: highest version of the owner row that is known to be ours.
    """

    shard: str
    owner: OwnerRow
    version: int
    nonce: str
    store: Store
    rng: random.Random
    grants: GrantPeriod
    row_bytes: int = StoreLimits().row_bytes
    owner_version: int = attrs.field(init=False)
    _renewed_at: float = -math.inf
    _sequence: int = 0
    _written_at: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._written_at = self.grants.confirmed_at
        # a claim writes both rows
        self.owner_version = self.version

    def is_renewal_due(self, now: float) -> bool:
        """Tell whether the owner row must be renewed."""
        return now - self._renewed_at >= RENEWAL_INTERVAL_S

    def add_renewal(
        self, puts: dict[RowId, bytes], now: float, load: ShardLoad = NO_LOAD
    ) -> None:
        """Add the renewed owner row to the rows of a write.

        :param puts: rows of the write; the owner row is added to them.
        :param now: monotonic seconds.
        :param load: load of the shard.
        """
        renewed = self.owner.renew(load)
        if len(tables.encode_owner(renewed)) > self.row_bytes:
            _LOG.error("load too large for the owner row", shard=self.shard)
            renewed = self.owner.renew(UNKNOWN_LOAD)
        self.owner = renewed
        puts[tables.get_owner_row(self.shard)] = tables.encode_owner(renewed)
        self._renewed_at = now

    async def write(
        self, puts: t.Mapping[RowId, bytes], removals: tuple[RowId, ...] = ()
    ) -> None:
        """Write rows, retrying until the outcome is certain.

        If the answer to an attempt is lost, the value of the fence row tells whether
        the attempt was applied.

        :param puts: rows to write.
        :param removals: rows to remove.
        :raises OwnershipLostError: when another node has claimed the shard.
        :raises WriteRefusedError: when the store will never apply the write.
        """
        fence = tables.get_fence_row(self.shard)
        self._sequence += 1
        nonce = f"{self.owner.boot}/{self.owner.epoch}/{self._sequence}"
        fenced = {**puts, fence: nonce.encode()}
        renews = tables.get_owner_row(self.shard) in puts
        first_sent_at = self.grants.read_boot()
        delay = RETRY_MIN_S
        while True:
            batch = Batch({fence: self.version}, fenced, removals)
            sent_at = self.grants.read_boot()
            outcome = await self.store.write(batch)
            if isinstance(outcome, Applied):
                self._note_applied(outcome.version, nonce, sent_at if renews else None)
                return
            if isinstance(outcome, Invalid):
                if renews:
                    self._renewed_at = -math.inf
                raise WriteRefusedError(outcome.reason)
            if isinstance(outcome, Conflict):
                row = outcome.find(fence)
                written = row.value.decode() if row else ""
                if row is not None and written == nonce:
                    # which of the earlier attempts was applied is not known
                    confirmed_at = first_sent_at if renews else None
                    self._note_applied(row.version, nonce, confirmed_at)
                    return
                if row is None or written != self.nonce:
                    raise OwnershipLostError(
                        f"fence row of shard {self.shard} was changed to {written!r}"
                    )
                # the fence row has our last value: only its version differs
                self.version = row.version
                continue
            await anyio.sleep(delay * self.rng.uniform(0.5, 1.0))
            delay = min(delay * 2, RETRY_MAX_S)

    def _note_applied(
        self, version: int, nonce: str, confirmed_at: float | None
    ) -> None:
        self.version, self.nonce = version, nonce
        self._written_at = self.grants.read_boot()
        if confirmed_at is not None:
            self._note_renewed(version, confirmed_at)

    def _note_renewed(self, version: int, confirmed_at: float) -> None:
        self.owner_version = max(self.owner_version, version)
        self.grants.confirm(confirmed_at)

    def get_overdue_wait(self) -> float:
        """Return the seconds until the last confirmed renewal is overdue."""
        return self.grants.confirmed_at + OVERDUE_S - self.grants.read_boot()

    async def renew_if_overdue(self) -> None:
        """Renew the owner row if the other writes have not done so in time.

        A write that the store refuses or answers late, and the rows that wait behind
        it, must not look like the failure of the owner. The renewal expects the version
        of the owner row in place of that of the fence row, so that it goes beside such
        a write. It is tried once.

        :raises OwnershipLostError: when another node has claimed the shard.
        """
        sent_at = self.grants.read_boot()
        if self.grants.closed or self.get_overdue_wait() > 0.0:
            return
        if sent_at - self._written_at > MAX_UNWRITTEN_S:
            return
        self.owner = attrs.evolve(self.owner, beat=self.owner.beat + 1)
        row_id = tables.get_owner_row(self.shard)
        value = tables.encode_owner(self.owner)
        batch = Batch({row_id: self.owner_version}, {row_id: value})
        outcome = await self.store.write(batch)
        if isinstance(outcome, Applied):
            self._note_renewed(outcome.version, sent_at)
        elif isinstance(outcome, Conflict):
            self._learn_owner_version(outcome.find(row_id))

    def _learn_owner_version(self, row: StoredRow | None) -> None:
        """Use the version of an owner row that another of our writes has renewed."""
        if row is None or self.grants.closed:
            return
        try:
            found = tables.decode_owner(row.value)
        except DocumentError:
            # the next write of the owner replaces it
            return
        if (found.boot, found.epoch) != (self.owner.boot, self.owner.epoch):
            raise OwnershipLostError(
                f"shard {self.shard} was claimed by {found.node} with {found.epoch}"
            )
        self.owner_version = max(self.owner_version, row.version)

    async def release(self) -> None:
        """Release the shard, so that another node can claim it at once.

        No leases are granted from then on.

        :raises OwnershipLostError: when another node has claimed it already.
        """
        self.grants.closed = True
        self.owner = attrs.evolve(self.owner, released=True)
        row = tables.get_owner_row(self.shard)
        await self.write({row: tables.encode_owner(self.owner)})
