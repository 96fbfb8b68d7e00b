"""Registers a node as a member, and tells other nodes of shards that it has lost."""

import math

import anyio
import attrs

from ..clocks import Clocks
from ..jobs import tables
from ..jobs.health import StoreHealth
from ..jobs.members import LostShard
from ..jobs.members import Member
from ..jobs.members import decode_member
from ..jobs.members import encode_member
from ..jobs.store import Applied
from ..jobs.store import Batch
from ..jobs.store import Conflict
from ..jobs.store import Store
from ..jobs.store import StoredRow

RETRY_INTERVAL_S = 0.5
"""Pause between two attempts to write the member row."""
CLOCK_CHECK_INTERVAL_S = 0.01
"""Time between two checks whether the store's clock is known."""
CLOCK_TIMEOUT_S = 1.0
"""Time to wait for the store's clock before the first write. The row tells when the
process started once the clock is known."""


@attrs.define(eq=False)
class MemberRegistration:
    """Keeps the member row of this node up to date.

    The row is written on condition of its version, so that a late write of a former
    process cannot replace that of a newer one.

    :param node: name of the node.
    :param store: the store.
    :param health: knows the store's clock.
    :param clocks: the process's clocks.
    :param member: what the row tells, but for the shards that were lost.
    :param started_at: seconds of the boot clock when the node started to run; the
        former process of the node had ended by then.
    :param registered: whether the row names this process.
    :param lost: shards that this process has lost, by name.
    """

    node: str
    store: Store
    health: StoreHealth
    clocks: Clocks
    member: Member
    started_at: float = 0.0
    registered: bool = False
    lost: dict[str, LostShard] = attrs.field(factory=dict)
    _version: int = 0
    _replaced: bool = False
    _changed: anyio.Event = attrs.field(factory=anyio.Event)

    async def run(self) -> None:
        """Write the row, and again when a shard was lost, until cancelled.

        Returns if a newer process of the node has registered.
        """
        await self._wait_for_store_clock(CLOCK_TIMEOUT_S)
        await self._write()
        if self.member.started_ms is None:
            await self._wait_for_store_clock(math.inf)
            await self._write()
        while not self._replaced:
            await self._changed.wait()
            self._changed = anyio.Event()
            await self._write()

    def note_lost(self, shard: str, epoch: int) -> None:
        """Record that this process owns a shard no longer.

        :param shard: the shard.
        :param epoch: fencing token with which it owned the shard.
        """
        now = self.clocks.read_boot()
        ended_ms = self.health.store_clock.get_latest_ms(now)
        if ended_ms is not None:
            self.lost[shard] = LostShard(epoch, ended_ms)
            self._changed.set()

    async def _wait_for_store_clock(self, longest_s: float) -> None:
        with anyio.move_on_after(longest_s):
            while self.health.store_clock.reading is None:
                await anyio.sleep(CLOCK_CHECK_INTERVAL_S)

    async def _write(self) -> None:
        row = tables.get_member_row(self.node)
        self._note_start()
        value = encode_member(attrs.evolve(self.member, lost=dict(self.lost)))
        while True:
            outcome = await self.store.write(Batch({row: self._version}, {row: value}))
            if isinstance(outcome, Applied):
                self._version, self.registered = outcome.version, True
                return
            if not isinstance(outcome, Conflict):
                await anyio.sleep(RETRY_INTERVAL_S)
            elif self._is_settled(outcome.find(row), value):
                return

    def _note_start(self) -> None:
        if self.member.started_ms is None:
            now = self.clocks.read_boot()
            started_ms = self.health.store_clock.get_latest_ms_at(self.started_at, now)
            self.member = attrs.evolve(self.member, started_ms=started_ms)

    def _is_settled(self, stored: StoredRow | None, value: bytes) -> bool:
        """Learn the stored row's version; tell whether the row is to be kept."""
        self._version = stored.version if stored is not None else 0
        if stored is None:
            return False
        if stored.value == value:
            self.registered = True
            return True
        is_own = decode_member(stored.value).boot == self.member.boot
        self._replaced = self.registered and not is_own
        return self._replaced
