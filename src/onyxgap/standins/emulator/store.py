"""The platform's store: rows, conditions, feeds, rates and outages."""

import bisect
import operator
import random
import typing as t

import anyio
import anyio.abc
import attrs

from ...exceptions import HistoryTruncatedError
from ...exceptions import PlatformUnavailableError
from ...jobs.store import WRITE_TIMEOUT_S
from ...jobs.store import Applied
from ...jobs.store import Batch
from ...jobs.store import Conflict
from ...jobs.store import Invalid
from ...jobs.store import NotApplied
from ...jobs.store import OutcomeUnknown
from ...jobs.store import Page
from ...jobs.store import RowId
from ...jobs.store import StoredRow
from ...jobs.store import StoreLimits
from ...jobs.store import WriteOutcome
from .gate import Link
from .gate import NodeGate
from .gate import carry_out_elsewhere
from .gate import run_late

NAME_BYTES = 40
"""Bytes of a call for an entry, beside its names and its value."""
TRANSACTION_S = 0.005
QUEUE_LIMIT_S = 1.0
CALL_TIMEOUT_S = 1.0


_get_version = operator.attrgetter("version")


@attrs.frozen
class RefusedWrite:
    """A call that was over a limit.

    :param at: monotonic seconds.
    :param node: node that sent it.
    :param reason: the limit, and by how much.
    """

    at: float
    node: str
    reason: str


def find_excess(batch: Batch, limits: StoreLimits) -> str:
    """Describe the limit that a call exceeds, an empty string if there is none.

    :param batch: what the call writes.
    :param limits: limits of the store.
    """
    for row_id, value in batch.puts.items():
        if len(value) > limits.row_bytes:
            return f"row {row_id.table}/{row_id.key} of {len(value)} bytes"
    row_ids = [*batch.expected, *batch.puts, *batch.removals]
    if len(row_ids) > limits.call_entries:
        return f"{len(row_ids)} entries"
    names = sum(len(row.table + row.part + row.key) + NAME_BYTES for row in row_ids)
    size = names + sum(len(value) * 4 // 3 + 4 for value in batch.puts.values())
    return f"call of {size} bytes" if size > limits.call_bytes else ""


@attrs.define(eq=False)
class EmulatedStore:
    """State of the store, shared by all nodes.

    :param rng: draws losses.
    :param group: runs late writes.
    :param down: whether it gives no answer to anybody.
    :param refusing: nodes that it turns away.
    :param refusing_writes: nodes of which it refuses writes, and answers reads.
    :param slowness: factor on the time of each call.
    :param deaf: whether feeds hear nothing of what changes.
    :param deaf_nodes: nodes whose feeds hear nothing of what changes.
    :param limits: limits on a call.
    :param refused: calls that were over a limit.
    """

    rng: random.Random
    group: anyio.abc.TaskGroup
    down: bool = False
    refusing: set[str] = attrs.field(factory=set)
    refusing_writes: set[str] = attrs.field(factory=set)
    slowness: float = 1.0
    deaf: bool = False
    deaf_nodes: set[str] = attrs.field(factory=set)
    limits: StoreLimits = StoreLimits()
    refused: list[RefusedWrite] = attrs.field(factory=list)
    link: Link = attrs.field(init=False)
    version: int = 0
    calls: int = 0
    rows: dict[RowId, StoredRow] = attrs.field(factory=dict)
    _history: dict[str, list[StoredRow]] = attrs.field(factory=dict)
    _forgotten: int = 0
    _changed: anyio.Event = attrs.field(factory=anyio.Event)
    _busy_until: dict[str, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.link = Link(0.002, self.rng)

    def put(self, row_id: RowId, value: bytes) -> None:
        """Write a row as the operator or a worker does."""
        self.apply(Batch({}, {row_id: value}))

    def remove(self, row_id: RowId) -> None:
        """Remove a row as the platform does."""
        self.apply(Batch({}, {}, (row_id,)))

    def apply(self, batch: Batch) -> WriteOutcome:
        """Apply a batch at this moment."""
        for row_id, version in batch.expected.items():
            row = self.rows.get(row_id)
            if (row.version if row else 0) != version:
                return self._report_conflict(batch)
        self.version += 1
        for row_id, value in batch.puts.items():
            self._change(StoredRow(row_id, value, self.version))
        for row_id in batch.removals:
            if row_id in self.rows:
                self._change(StoredRow(row_id, b"", self.version, removed=True))
        self._changed.set()
        self._changed = anyio.Event()
        return Applied(self.version)

    def _report_conflict(self, batch: Batch) -> Conflict:
        rows = tuple(self.rows[item] for item in batch.expected if item in self.rows)
        return Conflict(rows)

    def _change(self, row: StoredRow) -> None:
        if row.removed:
            del self.rows[row.row_id]
        else:
            self.rows[row.row_id] = row
        # by table and in the order of versions: most feeds look for the newest few
        self._history.setdefault(row.row_id.table, []).append(row)

    async def deafen(self, seconds: float) -> None:
        """Have feeds hear nothing for a while, then drop what changed meanwhile.

        :param seconds: for how long.
        """
        self.deaf = True
        await anyio.sleep(seconds)
        self.deaf = False
        self.forget_history()
        self._changed.set()
        self._changed = anyio.Event()

    def forget_history(self) -> None:
        """Drop all changes made so far, so that feeds must begin anew."""
        self._history.clear()
        self._forgotten = self.version

    def is_deaf(self, node: str) -> bool:
        """Return whether the feeds of a node hear nothing of what changes."""
        return self.deaf or node in self.deaf_nodes

    def list_changes(self, node: str, table: str, after: int) -> list[StoredRow]:
        """List the changes of a table after a version, as a node hears of them.

        :raises HistoryTruncatedError: when they were dropped.
        """
        if after < self._forgotten:
            raise HistoryTruncatedError
        if self.is_deaf(node):
            return []
        changes = self._history.get(table, [])
        return changes[bisect.bisect_right(changes, after, key=_get_version) :]

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until something is written, or for a time."""
        with anyio.move_on_after(timeout_s):
            await self._changed.wait()

    def reserve_partitions(self, parts: t.Collection[str]) -> float:
        """Queue a transaction; returns its waiting time, negative when refused.

        A transaction across partitions takes twice as long.
        """
        now = anyio.current_time()
        start = max([now, *(self._busy_until.get(part, 0.0) for part in parts)])
        if start - now > QUEUE_LIMIT_S:
            return -1.0
        factor = 1 if len(parts) == 1 else 2
        end = start + factor * TRANSACTION_S * self.slowness
        self._busy_until.update(dict.fromkeys(parts, end))
        return end - now


@attrs.define(eq=False)
class EmulatedStoreClient:
    """The store as one node reaches it.

    :param store: the store.
    :param gate: freezes and cuts of the node.
    """

    store: EmulatedStore
    gate: NodeGate

    def _is_unreachable(self) -> bool:
        return self.store.down or "store" in self.gate.cut_from

    async def _enter(self, timeout_s: float = CALL_TIMEOUT_S) -> None:
        await self.gate.pass_through()
        self.store.calls += 1
        if self._is_unreachable():
            await anyio.sleep(timeout_s)
            await self.gate.pass_through()
            raise PlatformUnavailableError("no answer")
        await anyio.sleep(self.store.link.delay_s * self.store.slowness)
        if self.gate.node in self.store.refusing:
            raise PlatformUnavailableError("turned away")

    @carry_out_elsewhere
    async def write(
        self, batch: Batch, timeout_s: float = WRITE_TIMEOUT_S
    ) -> WriteOutcome:
        """Try a batch once; never raises for a failed call."""
        try:
            await self._enter(timeout_s)
        except PlatformUnavailableError as error:
            if str(error) == "turned away":
                return NotApplied(str(error))
            return OutcomeUnknown(str(error))
        if self.gate.node in self.store.refusing_writes:
            return NotApplied("write turned away")
        excess = find_excess(batch, self.store.limits)
        if excess:
            refused = RefusedWrite(anyio.current_time(), self.gate.node, excess)
            self.store.refused.append(refused)
            return Invalid(excess)
        parts = {row_id.part for row_id in [*batch.expected, *batch.puts]}
        parts |= {row_id.part for row_id in batch.removals}
        in_one = len(parts) == 1
        assert in_one or batch.across, f"transaction over several partitions: {parts}"
        wait_s = self.store.reserve_partitions(parts)
        if wait_s < 0:
            return NotApplied("partition is full")
        late_s = self.store.link.draw_late()
        if late_s or wait_s > timeout_s:
            late_s = max(late_s, wait_s)
            self.store.group.start_soon(run_late, late_s, self.store.apply, batch)
            await anyio.sleep(timeout_s)
            return OutcomeUnknown("no answer")
        await anyio.sleep(wait_s)
        outcome = self.store.apply(batch)
        if self.store.link.draw_loss():
            await anyio.sleep(timeout_s)
            outcome = OutcomeUnknown("no answer")
        await anyio.sleep(self.store.link.delay_s)
        await self.gate.pass_through()
        return outcome

    @carry_out_elsewhere
    async def read(self, table: str, part: str, key: str = "") -> Page:
        """Read a partition, or one row of it."""
        await self._enter()
        rows = sorted(
            (
                row
                for row_id, row in self.store.rows.items()
                if (row_id.table, row_id.part) == (table, part)
                and key in ("", row_id.key)
            ),
            key=lambda row: row.row_id.key,
        )
        page = Page(tuple(rows), self.store.version, anyio.current_time() * 1000)
        await anyio.sleep(self.store.link.delay_s)
        await self.gate.pass_through()
        return page

    @carry_out_elsewhere
    async def list_parts(self, table: str) -> tuple[str, ...]:
        """List the partitions of a table."""
        await self._enter()
        return tuple(
            sorted({row.part for row in self.store.rows if row.table == table})
        )

    @carry_out_elsewhere
    async def follow(self, table: str, after: int, wait_s: float) -> Page:
        """Wait for changes of a table after a version."""
        await self._enter()
        give_up = anyio.current_time() + wait_s
        node = self.gate.node
        rows = self.store.list_changes(node, table, after)
        while not rows and anyio.current_time() < give_up:
            await self.store.wait_for_change(give_up - anyio.current_time())
            rows = self.store.list_changes(node, table, after)
        version = after if self.store.is_deaf(node) else self.store.version
        page = Page(tuple(rows), version, anyio.current_time() * 1000)
        if self._is_unreachable():
            await anyio.sleep(CALL_TIMEOUT_S)
            raise PlatformUnavailableError("no answer")
        await self.gate.pass_through()
        return page
