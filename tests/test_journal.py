"""Tests of the journal and of the replicated state, against a small model.

A Hypothesis state machine lets two control processes append entries based on
states that may be outdated, with some answers lost. It compares the resulting
state with a model that is updated only by successful appends.
"""

import json
import random
import typing as t

import anyio
import attrs
import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies

from onyxgap.exceptions import ConflictError
from onyxgap.fleet.budget import count_headroom
from onyxgap.manifest import parse_manifest
from onyxgap.operations import apply_manifest
from onyxgap.operations import list_audit
from onyxgap.operations import load_state
from onyxgap.ports import Put
from onyxgap.shared import events as ev
from onyxgap.shared.events import Entry
from onyxgap.shared.journal import Journal
from onyxgap.shared.journal import format_key
from onyxgap.shared.records import VmState
from onyxgap.shared.snapshots import decode_snapshot
from onyxgap.shared.snapshots import encode_snapshot
from onyxgap.shared.state import FleetState
from onyxgap.standins.memory_platform import MemoryPlatform
from tests.conftest import EXAMPLES

VMS = ("vm-1", "vm-2", "vm-3")
POOLS = ("pool-a", "pool-b")
WRITERS = ("control-1", "control-2")
MANIFEST = {
    "format": 1,
    "deployment": "model",
    "zones": ["z"],
    "pools": [{"name": name, "zones": {"z": 2}, "max_out": 1} for name in POOLS],
}


def build_event(kind: str, vm: str, pool: str) -> ev.Event:
    events: dict[str, ev.Event] = {
        "join": ev.VmJoined(vm, pool, "z", "r", "a:1", 1),
        "drain": ev.VmDraining(vm, ev.Purpose.MAINTENANCE),
        "release": ev.VmReleased(vm),
        "restart": ev.VmRestarting(vm, "reboot", f"{vm}/x", 1),
        "return": ev.VmReturned(vm, 2, "a:1"),
        "fail": ev.VmFailed(vm, "gone"),
        "quarantine": ev.VmQuarantined(vm, "faulty"),
        "retire": ev.VmRetired(vm, "given up"),
    }
    return events[kind]


KINDS = (
    "join",
    "drain",
    "release",
    "restart",
    "return",
    "fail",
    "quarantine",
    "retire",
)


class JournalMachine(stateful.RuleBasedStateMachine):
    """Two writers append events that are legal in the last state each has read."""

    def __init__(self) -> None:
        super().__init__()
        self.platform = MemoryPlatform(random.Random(1))
        self.states = {name: FleetState() for name in WRITERS}
        self.owner: dict[str, str] = {}
        self.tokens = 0

    def run(self, function: t.Callable[..., t.Any], *args: t.Any) -> t.Any:
        return anyio.run(function, *args)

    @stateful.rule(writer=strategies.sampled_from(WRITERS))
    def catch_up(self, writer: str) -> None:
        journal = Journal(self.platform)
        for entry in self.run(journal.read_after, self.states[writer].sequence):
            self.states[writer].apply(entry)

    @stateful.rule(
        writer=strategies.sampled_from(WRITERS),
        kind=strategies.sampled_from(KINDS),
        vm=strategies.sampled_from(VMS),
        pool=strategies.sampled_from(POOLS),
        lost=strategies.booleans(),
    )
    def append(self, writer: str, kind: str, vm: str, pool: str, lost: bool) -> None:
        state = self.states[writer]
        event = build_event(kind, vm, pool)
        if not state.accepts(event):
            return
        self.tokens += 1
        entry = Entry(state.sequence + 1, writer, 0.0, "w", f"{self.tokens}", (event,))
        self.platform.faults.lose_answers = 0.5 if lost else 0.0
        applied = self.run(Journal(self.platform).append, entry)
        self.platform.faults.lose_answers = 0.0
        row = self.platform.peek(format_key(entry.sequence))
        assert applied == (row.value["token"] == entry.token)
        if applied:
            state.apply(entry)
            self._update_model(kind, vm, pool)

    def _update_model(self, kind: str, vm: str, pool: str) -> None:
        if kind == "join":
            assert vm not in self.owner
            self.owner[vm] = pool
        if kind == "release":
            del self.owner[vm]

    @stateful.invariant()
    def newest_state_matches_model(self) -> None:
        state = self.run(load_state, self.platform)
        assert {vm: record.pool for vm, record in state.vms.items()} == self.owner
        assert state.rejected_events == 0
        for pool, vm_names in state.pool_vms.items():
            assert all(state.vms[vm].pool == pool for vm in vm_names)

    @stateful.invariant()
    def snapshot_restores_vms(self) -> None:
        state = self.run(load_state, self.platform)
        assert decode_snapshot(encode_snapshot(state)).vms == state.vms


TestJournalMachine = JournalMachine.TestCase
TestJournalMachine.settings = hypothesis.settings(
    derandomize=True, max_examples=200, stateful_step_count=25, deadline=None
)


def build_platform(with_manifest: int = 0) -> MemoryPlatform:
    """Build a platform and, unless `with_manifest` is 0, apply the manifest."""
    platform = MemoryPlatform()
    manifest = parse_manifest(json.dumps(MANIFEST))
    if with_manifest:
        anyio.run(apply_manifest, platform, manifest, "operator")
    return platform


@pytest.mark.promise("config")
def test_concurrent_manifest_change_conflict_names_the_winner() -> None:
    platform = build_platform(1)
    manifest = parse_manifest(json.dumps(MANIFEST))
    first = attrs.evolve(manifest, maintenance_days=10)
    second = attrs.evolve(manifest, maintenance_days=20)
    assert anyio.run(apply_manifest, platform, first, "ana", 1) == 2
    with pytest.raises(ConflictError) as caught:
        anyio.run(apply_manifest, platform, second, "bela", 1)
    assert (caught.value.version, caught.value.author) == (2, "ana")
    with pytest.raises(ConflictError):
        anyio.run(apply_manifest, platform, second, "bela", 9)


@pytest.mark.promise("config")
def test_append_with_lost_answer_is_retried_or_reported_unknown() -> None:
    platform = build_platform()
    platform.faults.lose_answers = 0.9
    manifest = parse_manifest(json.dumps(MANIFEST))
    versions = set()
    for days in range(1, 12):
        changed = attrs.evolve(manifest, maintenance_days=days)
        try:
            versions.add(anyio.run(apply_manifest, platform, changed, "ana"))
        except Exception as error:  # the outcome may stay unknown
            assert type(error).__name__ == "UnknownOutcomeError"
    platform.faults.lose_answers = 0.0
    state = anyio.run(load_state, platform)
    assert max(versions, default=0) <= state.version
    assert state.rejected_events == 0


def test_large_manifest_is_kept_in_the_object_store() -> None:
    platform = MemoryPlatform()
    text = (EXAMPLES / "pampa-lance" / "manifest.json").read_text()
    document = json.loads(text)
    document["teams"].extend(
        {"name": f"team-{n}", "quotas": {"catalogue": 1}} for n in range(2000)
    )
    manifest = parse_manifest(json.dumps(document))
    anyio.run(apply_manifest, platform, manifest, "ana")
    row = platform.peek(format_key(1))
    assert len(json.dumps(row.value)) < 500
    state = anyio.run(load_state, platform)
    assert state.manifest is not None
    assert len(state.manifest.teams) == len(document["teams"])


def test_foreign_rows_are_reported_and_not_changed() -> None:
    platform = build_platform(1)
    platform.write([Put(format_key(2), {"foreign": True}, 0)])
    platform.write([Put("journal/zzz", [1, 2], 0)])
    manifest = parse_manifest(json.dumps(MANIFEST))
    changed = attrs.evolve(manifest, maintenance_days=9)
    assert anyio.run(apply_manifest, platform, changed, "ana") == 2
    journal = Journal(platform)
    entries = anyio.run(journal.read_after, 0)
    assert [entry.sequence for entry in entries] == [1, 2, 3]
    assert journal.corrupt_keys == [format_key(2)]
    assert platform.peek(format_key(2)).value == {"foreign": True}


@pytest.mark.parametrize("value", [{"foreign": True}, ["foreign"], "foreign", 7])
def test_append_where_a_foreign_row_is_stored_reports_a_conflict(
    value: object,
) -> None:
    platform = build_platform(1)
    platform.write([Put(format_key(2), value, 0)])
    entry = Entry(2, "c", 0.0, "w", "t", ())
    assert anyio.run(Journal(platform).append, entry) is False


def test_corrupt_snapshot_falls_back_to_the_journal() -> None:
    platform = build_platform(1)
    platform.write([Put("snapshot", {"digest": "none", "sequence": 1}, 0)])
    with pytest.raises(Exception, match="no object"):
        anyio.run(Journal(platform).load_state)
    digest = anyio.run(platform.put_object, b"nonsense")
    platform.write([Put("snapshot", {"digest": digest, "sequence": 1})])
    assert anyio.run(load_state, platform).version == 1


def test_snapshot_and_journal_give_the_same_state() -> None:
    platform = build_platform(1)
    before = anyio.run(load_state, platform)
    journal = Journal(platform)
    assert anyio.run(journal.save_snapshot, before)
    assert not anyio.run(journal.save_snapshot, before)
    assert anyio.run(journal.load_state).chunks == before.chunks


def test_audit_lists_every_entry_with_its_author() -> None:
    platform = build_platform(1)
    entries = anyio.run(list_audit, platform)
    assert [(e.sequence, e.author, e.why) for e in entries] == [
        (1, "operator", "apply manifest")
    ]


@pytest.mark.promise("budget")
def test_every_vm_that_is_not_serving_uses_up_headroom() -> None:
    state = anyio.run(load_state, build_platform(1))
    joins = [ev.VmJoined(vm, "pool-a", "z", "r", "a:1", 1) for vm in VMS[:2]]
    state.apply(Entry(2, "c", 0.0, "w", "t", tuple(joins)))
    pool = state.find_pool("pool-a")
    assert pool is not None
    assert count_headroom(pool, state.list_pool("pool-a")) == 1
    for kind in ("fail", "restart"):
        event = build_event(kind, "vm-1", "pool-a")
        state.apply(Entry(state.sequence + 1, "c", 0.0, "w", "t", (event,)))
        assert count_headroom(pool, state.list_pool("pool-a")) == 0
    assert state.vms["vm-1"].state is VmState.DOWN
