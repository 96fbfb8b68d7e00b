"""Claims by nodes that are late, and owners whose writes are late."""

import random
import typing as t

import anyio
import attrs
import pytest

from onyxgap.daemons.fence import MAX_UNWRITTEN_S
from onyxgap.daemons.fence import OVERDUE_S
from onyxgap.daemons.fence import RENEWAL_INTERVAL_S
from onyxgap.daemons.fence import FencedWriter
from onyxgap.daemons.node import OWNER_POLL_S
from onyxgap.daemons.node import READ_SLACK_S
from onyxgap.daemons.owned import RENEWAL_CHECK_S
from onyxgap.daemons.owned import OwnedShard
from onyxgap.exceptions import OwnershipLostError
from onyxgap.jobs import tables
from onyxgap.jobs.leases import GrantPeriod
from onyxgap.jobs.ownership import CLAIM_JITTER_S
from onyxgap.jobs.ownership import MAX_TAKEOVERS
from onyxgap.jobs.ownership import OWNER_TIMEOUT_S
from onyxgap.jobs.ownership import RECENT_TAKEOVER_S
from onyxgap.jobs.ownership import TAKEOVER_BACKOFF_S
from onyxgap.jobs.ownership import OwnerView
from onyxgap.jobs.store import WRITE_TIMEOUT_S
from onyxgap.jobs.store import Batch
from onyxgap.jobs.store import NotApplied
from onyxgap.jobs.store import WriteOutcome
from onyxgap.standins.emulator.gate import NodeGate
from onyxgap.standins.emulator.slots import EmulatedClocks
from onyxgap.standins.emulator.store import EmulatedStore
from onyxgap.standins.emulator.store import EmulatedStoreClient
from onyxgap.standins.virtual import run_virtually
from tests.test_node_parts import CLAIMANT
from tests.test_node_parts import OWNER_ROW
from tests.test_node_parts import ScriptedStore
from tests.test_node_parts import build_node
from tests.test_node_parts import is_claimable
from tests.test_node_parts import run_with_store

FENCE_ROW = tables.get_fence_row("s")
JOB_ROW = tables.get_progress_row("s", "j")
OTHER = attrs.evolve(OWNER_ROW, node="node-3", boot="boot-3", epoch=5)
UNSEEN_S = 1.5


@attrs.define
class RefusingStore:
    """Store that refuses the rows of jobs."""

    inner: EmulatedStoreClient

    async def write(
        self, batch: Batch, timeout_s: float = WRITE_TIMEOUT_S
    ) -> WriteOutcome:
        if JOB_ROW in batch.puts:
            await anyio.sleep(0.005)
            return NotApplied("busy")
        return await self.inner.write(batch, timeout_s)


def build_claimed_writer(store: EmulatedStore, client: t.Any) -> FencedWriter:
    """Build the writer of a shard right after its claim."""
    store.put(FENCE_ROW, b"boot-1/4/0")
    store.put(tables.get_owner_row("s"), tables.encode_owner(OWNER_ROW))
    clocks = EmulatedClocks()
    grants = GrantPeriod(clocks.read_boot, clocks.read_boot())
    version = store.rows[FENCE_ROW].version
    rng = random.Random(1)
    writer = FencedWriter("s", OWNER_ROW, version, "boot-1/4/0", client, rng, grants)
    writer.owner_version = store.rows[tables.get_owner_row("s")].version
    return writer


async def measure_longest_silence(store: EmulatedStore, for_s: float) -> float:
    """Return the most seconds between two versions of the owner row."""
    row = tables.get_owner_row("s")
    changed_at, version, longest_s = anyio.current_time(), 0, 0.0
    end = anyio.current_time() + for_s
    while anyio.current_time() < end:
        if store.rows[row].version != version:
            changed_at, version = anyio.current_time(), store.rows[row].version
        longest_s = max(longest_s, anyio.current_time() - changed_at)
        await anyio.sleep(0.01)
    return longest_s


def test_owner_whose_writes_are_refused_goes_on_to_renew() -> None:
    """Guards against a claim from an owner that waits for one of its writes."""

    async def run() -> None:
        async with anyio.create_task_group() as group:
            store = EmulatedStore(random.Random(1), group)
            client = RefusingStore(EmulatedStoreClient(store, NodeGate("n")))
            owned = OwnedShard(build_claimed_writer(store, client))

            async def load() -> None:
                pass

            async def work(tasks: anyio.abc.TaskGroup) -> None:
                tasks.start_soon(owned.writer.write, {JOB_ROW: b"1"})
                longest_s = await measure_longest_silence(store, 10.0)
                assert longest_s <= OVERDUE_S + 2 * RENEWAL_CHECK_S < OWNER_TIMEOUT_S
                assert owned.writer.grants.is_open()

            await owned._run_until_released(load, work)
            group.cancel_scope.cancel()

    run_virtually(run)


def test_owner_that_stores_nothing_for_long_leaves_its_shard_to_others() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        writer = build_claimed_writer(store, scripted)
        await anyio.sleep(MAX_UNWRITTEN_S + 0.1)
        row_id = tables.get_owner_row(writer.shard)
        version = store.rows[row_id].version
        await writer.renew_if_overdue()
        assert store.rows[row_id].version == version

    run_with_store(test)


def test_renewal_apart_does_not_disturb_the_write_that_it_overtakes() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        writer = build_claimed_writer(store, scripted)
        await anyio.sleep(OVERDUE_S)
        await writer.renew_if_overdue()
        puts = {JOB_ROW: b"1"}
        writer.add_renewal(puts, 0.0)
        await writer.write(puts)
        assert store.rows[JOB_ROW].value == b"1"
        await anyio.sleep(OVERDUE_S)
        await writer.renew_if_overdue()
        assert writer.owner_version == store.rows[tables.get_owner_row("s")].version

    run_with_store(test)


def test_punctual_owner_renews_nothing_apart() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        writer = build_claimed_writer(store, scripted)
        await anyio.sleep(RENEWAL_INTERVAL_S)
        await writer.renew_if_overdue()
        assert scripted.writes == 0

    run_with_store(test)


def test_lost_answer_of_a_renewal_apart_is_not_taken_for_a_claim() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        writer = build_claimed_writer(store, scripted)
        await anyio.sleep(OVERDUE_S)
        for _ in range(3):
            await writer.renew_if_overdue()
        assert writer.owner_version == store.rows[tables.get_owner_row("s")].version
        assert writer.grants.read_boot() - writer.grants.confirmed_at < OVERDUE_S

    run_with_store(test, "lose")


def test_renewal_apart_never_replaces_a_claim() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        writer = build_claimed_writer(store, scripted)
        confirmed_at = writer.grants.confirmed_at
        row = tables.get_owner_row("s")
        store.put(row, tables.encode_owner(OTHER))
        await anyio.sleep(OVERDUE_S)
        with pytest.raises(OwnershipLostError):
            await writer.renew_if_overdue()
        assert tables.decode_owner(store.rows[row].value) == OTHER
        assert writer.grants.confirmed_at == confirmed_at

    run_with_store(test)


def test_owner_that_releases_its_shard_renews_nothing_apart() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        writer = build_claimed_writer(store, scripted)
        await writer.release()
        await anyio.sleep(OVERDUE_S)
        await writer.renew_if_overdue()
        released = tables.decode_owner(store.rows[tables.get_owner_row("s")].value)
        assert released.released

    run_with_store(test)


def test_claimant_that_is_late_waits_for_longer() -> None:
    view = OwnerView(OWNER_ROW, 7, changed_at=10.0)
    due = 10.0 + OWNER_TIMEOUT_S + CLAIM_JITTER_S
    late = attrs.evolve(CLAIMANT, unseen_s=UNSEEN_S)
    assert is_claimable(view, due)
    assert not is_claimable(view, due, late)
    assert is_claimable(view, due + UNSEEN_S, late)


def test_node_measures_how_late_it_sees_renewals() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        node = build_node(scripted)
        assert node._measure_unseen(100.0) == 0.0
        node._note_owners_read(100.0)
        assert node._measure_unseen(100.0 + OWNER_POLL_S + READ_SLACK_S) == 0.0
        late_s = OWNER_POLL_S + READ_SLACK_S + UNSEEN_S
        assert node._measure_unseen(100.0 + late_s) == pytest.approx(UNSEEN_S)
        node.lag.seconds = 0.5
        assert node._measure_unseen(100.0) == 0.5

    run_with_store(test)


def test_repeated_takeovers_of_a_shard_are_further_apart() -> None:
    """Guards against late nodes that take a shard from each other again and again."""
    view, now = OwnerView(OWNER_ROW, 7, changed_at=10.0), 12.0
    for count in range(1, MAX_TAKEOVERS + 3):
        row = attrs.evolve(OTHER, node=f"node-{2 + count}", epoch=4 + count)
        view = view.replace_row(row, 7 + count, now)
        backoff_s = TAKEOVER_BACKOFF_S * (min(count, MAX_TAKEOVERS) - 1)
        assert view.get_takeover_backoff(now) == pytest.approx(backoff_s)
        assert not is_claimable(view, now + OWNER_TIMEOUT_S + backoff_s - 0.01)
        due = now + OWNER_TIMEOUT_S + CLAIM_JITTER_S + backoff_s
        assert is_claimable(view, due)
        now += 0.1
    assert view.get_takeover_backoff(now + RECENT_TAKEOVER_S) == 0.0


@pytest.mark.parametrize(
    "changes", [{"released": True}, {"node": OTHER.node}], ids=["released", "restarted"]
)
def test_release_and_restart_are_no_takeovers(changes: dict[str, t.Any]) -> None:
    view = OwnerView(attrs.evolve(OWNER_ROW, **changes), 7, changed_at=10.0)
    assert view.replace_row(OTHER, 8, 12.0).get_takeover_backoff(12.0) == 0.0
