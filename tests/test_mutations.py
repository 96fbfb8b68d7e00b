"""Removes one safeguard at a time; the checks of the emulator must report a breach."""

import typing as t

import pytest

from onyxgap.daemons.fence import FencedWriter
from onyxgap.daemons.owner import ShardOwner
from onyxgap.jobs import shard as shard_module
from onyxgap.jobs import tables
from onyxgap.jobs.shard import Shard
from onyxgap.jobs.store import Batch
from onyxgap.jobs.workers import Reply
from onyxgap.jobs.workers import ReplyKind
from onyxgap.pools.messages import FleetRow
from onyxgap.pools.planner import FleetPlanner
from tests.emulated import assert_noticed
from tests.emulated import extend_day
from tests.emulated import load_day

SEEDS = range(1, 9)


def remove_fence(patch: pytest.MonkeyPatch) -> None:
    async def write(
        self: FencedWriter, puts: t.Any, removals: tuple[t.Any, ...] = ()
    ) -> None:
        fence = tables.get_fence_row(self.shard)
        await self.store.write(Batch({}, {**puts, fence: b"any"}, removals))

    patch.setattr(FencedWriter, "write", write)


def send_before_write(patch: pytest.MonkeyPatch) -> None:
    commit = ShardOwner._commit

    async def send_first(self: ShardOwner, orders: t.Any) -> None:
        for order in orders:
            self._spawn(self._send_start, order)
        await commit(self, orders)

    patch.setattr(ShardOwner, "_commit", send_first)


def acknowledge_before_write(patch: pytest.MonkeyPatch) -> None:
    apply = Shard.apply_report

    def apply_and_acknowledge(
        self: Shard, worker_id: str, *args: t.Any, **keywords: t.Any
    ) -> bool:
        accepted = apply(self, worker_id, *args, **keywords)
        record = self.workers.get(worker_id)
        if record is not None:
            record.acknowledged = record.processed_sequence
        return accepted

    patch.setattr(Shard, "apply_report", apply_and_acknowledge)


def treat_unknown_as_failed(patch: pytest.MonkeyPatch) -> None:
    apply = Shard.apply_start_reply

    def apply_as_failed(self: Shard, order: t.Any, reply: Reply, now: float) -> None:
        if reply.kind is ReplyKind.NO_ANSWER:
            reply = Reply(ReplyKind.UNHEALTHY)
        apply(self, order, reply, now)

    patch.setattr(Shard, "apply_start_reply", apply_as_failed)


def extend_start_deadline(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(shard_module, "START_WINDOW_MS", 60_000.0)
    # the owner still assumes after the usual time that a lost order is void
    absent = Shard._is_surely_absent

    def is_surely_absent(self: Shard, task: t.Any, sent_at: float, low: float) -> bool:
        return absent(self, task, sent_at, low + 59_000.0)

    patch.setattr(Shard, "_is_surely_absent", is_surely_absent)


def remove_holder_pause(patch: pytest.MonkeyPatch) -> None:
    restore = FleetPlanner.restore

    def start_at_once(
        self: FleetPlanner,
        row: FleetRow,
        now: float,
        pause_s: float,
        store_ms: int | None = None,
    ) -> None:
        restore(self, row, now, 0.0, store_ms)

    patch.setattr(FleetPlanner, "restore", start_at_once)


MUTATIONS = {
    "fence": (
        remove_fence,
        "at 5 late store for 5 by 0.4\nat 6.5 kill owner ring for 2\n"
        "at 10 kill owner ring for 2",
        "twice",
    ),
    "write-ahead": (
        send_before_write,
        "at 5 slow store for 4 by 30\nat 6.5 kill owner ring for 2",
        "twice",
    ),
    "stored results": (
        acknowledge_before_write,
        "at 5 slow store for 5 by 30\nat 6.5 kill owner ring for 2",
        "twice",
    ),
    "unknown outcomes": (
        treat_unknown_as_failed,
        "at 4 lose orders for 8 by 0.3",
        "twice",
    ),
    "start deadline": (
        extend_start_deadline,
        "at 4 late orders for 8 by 0.3",
        "twice",
    ),
    "holder pause": (remove_holder_pause, "at 5.3 stop holder for 2", "one"),
}


@pytest.mark.parametrize("name", MUTATIONS)
def test_removed_safeguard_is_detected(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    mutate, statements, rule = MUTATIONS[name]
    script = extend_day("short", statements)
    assert_noticed(script, rule, SEEDS, mutate, monkeypatch)


def test_missing_waiting_counts_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    def remove_counts(patch: pytest.MonkeyPatch) -> None:
        patch.setattr(Shard, "count_waiting", lambda self: {})

    assert_noticed(load_day("backlog"), "mixed", SEEDS, remove_counts, monkeypatch)
