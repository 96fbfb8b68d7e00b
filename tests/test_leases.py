"""Bounds of the grants of former owners, and how nodes learn that these have ended."""

import random
import typing as t

import anyio
import attrs
import pytest

from onyxgap.daemons.former_owners import FormerOwners
from onyxgap.daemons.member_registration import MemberRegistration
from onyxgap.jobs import tables
from onyxgap.jobs.health import StoreHealth
from onyxgap.jobs.leases import GRANT_WITHOUT_STORE_S
from onyxgap.jobs.leases import bound_former_grants
from onyxgap.jobs.leases import find_grants_end
from onyxgap.jobs.members import LostShard
from onyxgap.jobs.members import Member
from onyxgap.jobs.members import decode_member
from onyxgap.jobs.members import encode_member
from onyxgap.jobs.ownership import OwnerView
from onyxgap.jobs.shard_leases import FORMER_LEASE_S
from onyxgap.jobs.shard_leases import LEASE_S
from onyxgap.jobs.store_clock import ClockReading
from onyxgap.jobs.store_clock import StoreClock
from onyxgap.jobs.tables import OwnerRow
from onyxgap.jobs.workers import MAX_CLOCK_DRIFT
from onyxgap.jobs.workers import MS_PER_S
from onyxgap.jobs.workers import WorkerClock
from onyxgap.standins.emulator.gate import NodeGate
from onyxgap.standins.emulator.slots import EmulatedClocks
from onyxgap.standins.emulator.store import EmulatedStore
from onyxgap.standins.emulator.store import EmulatedStoreClient
from onyxgap.standins.virtual import run_virtually

ROW = OwnerRow("node-1", "boot-1", 4, former_grants_end_ms=0)
SEEN_AT = 100.0
CLAIMED_AT = 103.0
CLOCKS = EmulatedClocks()


def build_view(**changes: t.Any) -> OwnerView:
    return OwnerView(attrs.evolve(ROW, **changes), 7, SEEN_AT)


def test_owner_may_have_granted_leases_for_a_time_after_its_last_renewal() -> None:
    grants = bound_former_grants(build_view(), 0.0, CLAIMED_AT)
    assert grants.until == SEEN_AT + GRANT_WITHOUT_STORE_S


def test_owner_grants_no_leases_after_its_release() -> None:
    grants = bound_former_grants(build_view(released=True), 0.0, CLAIMED_AT)
    assert grants.until == SEEN_AT


def test_owner_before_a_released_one_may_still_grant_leases() -> None:
    grants = bound_former_grants(build_view(released=True), 105.0, CLAIMED_AT)
    assert grants.until == 105.0
    assert not grants.note_end(101.0) and grants.until == 105.0


def test_owner_that_does_not_end_its_grants_in_time_is_not_taken_for_ended() -> None:
    grants = bound_former_grants(build_view(released=True), None, CLAIMED_AT)
    assert grants.until == CLAIMED_AT + GRANT_WITHOUT_STORE_S
    assert not grants.note_end(101.0)


def test_known_end_of_an_owner_lowers_the_bound_only() -> None:
    grants = bound_former_grants(build_view(), 0.0, CLAIMED_AT)
    assert grants.note_end(102.0)
    assert not grants.note_end(104.0)
    assert grants.until == 102.0


NEWER = Member("a", boot="boot-2", started_ms=9000, version=8)
SAME = Member("a", boot="boot-1", started_ms=1000, version=6)


@pytest.mark.parametrize(
    ("member", "end_ms"),
    [
        (NEWER, 9000),
        (attrs.evolve(NEWER, version=7), None),
        (attrs.evolve(NEWER, boot=""), None),
        (SAME, None),
        (attrs.evolve(SAME, lost={"s": LostShard(4, 9500)}), 9500),
        (attrs.evolve(SAME, lost={"s": LostShard(3, 9500)}), None),
        (attrs.evolve(SAME, lost={"other": LostShard(4, 9500)}), None),
    ],
)
def test_end_of_an_owner_follows_from_the_registration_of_its_node(
    member: Member, end_ms: int | None
) -> None:
    assert find_grants_end("s", build_view(), member) == end_ms


def test_member_row_tells_of_the_process_and_the_shards_that_it_has_lost() -> None:
    member = Member("a:1", 552, "a:2", "boot", 17, {"s": LostShard(4, 9500)}, 3)
    assert decode_member(encode_member(member), 3) == member


@pytest.mark.parametrize("jitter_s", [0.003, 0.01, 0.1, 0.3])
def test_estimate_of_a_slow_clock_does_not_run_ahead_for_longer(
    jitter_s: float,
) -> None:
    rng = random.Random(1)
    clock = WorkerClock(0.0, 0.0)
    ahead_ms = []
    for number in range(600):
        at = 0.5 * number
        true_ms = at * MS_PER_S * (1 - MAX_CLOCK_DRIFT)
        ahead_ms.append(clock.estimate(at) - true_ms)
        clock.observe(true_ms, at + rng.uniform(0.0, jitter_s))
    assert max(ahead_ms) <= (FORMER_LEASE_S - LEASE_S) * MS_PER_S


def test_store_clock_bounds_times_to_come_and_past_ones() -> None:
    clock = StoreClock()
    assert clock.get_latest_ms_at(1.0, 2.0) is None
    assert clock.get_longest_wait_s(5, 2.0) is None
    clock.observe(ClockReading(10_000.0, 2.0, 2.2))
    assert clock.get_longest_wait_s(12_000, 2.2) == pytest.approx(2.0)
    latest_ms = clock.get_latest_ms(2.2)
    assert latest_ms is not None
    assert clock.get_latest_ms_at(2.2, 2.2) == latest_ms
    later_ms = clock.get_latest_ms_at(12.2, 2.2)
    earlier_ms = clock.get_latest_ms_at(-7.8, 2.2)
    assert later_ms is not None and later_ms - latest_ms > 10_000
    assert earlier_ms is not None and latest_ms - earlier_ms < 10_000


@attrs.define(eq=False)
class Processes:
    """Processes of one node that register in an emulated store."""

    store: EmulatedStore

    def build(self, boot: str) -> MemberRegistration:
        health = StoreHealth()
        now = CLOCKS.read_boot()
        health.store_clock.observe(ClockReading(now * 1000 + 1.0, now, now))
        client = EmulatedStoreClient(self.store, NodeGate(boot))
        member = Member("node-1:1", boot=boot)
        return MemberRegistration("node-1", client, health, CLOCKS, member, now)

    def read(self) -> Member:
        row = self.store.rows[tables.get_member_row("node-1")]
        return decode_member(row.value, row.version)


def run_with_processes(
    test: t.Callable[[Processes], t.Coroutine[t.Any, t.Any, None]],
) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            await test(Processes(EmulatedStore(random.Random(1), group)))
            group.cancel_scope.cancel()

    run_virtually(main)


async def run_for(registration: MemberRegistration, seconds: float) -> None:
    with anyio.move_on_after(seconds):
        await registration.run()


def test_process_that_has_ended_does_not_replace_the_row_of_the_next_one() -> None:
    async def test(processes: Processes) -> None:
        former, newer = processes.build("boot-1"), processes.build("boot-2")
        await run_for(former, 1.0)
        await run_for(newer, 1.0)
        former.note_lost("s", 4)
        await run_for(former, 1.0)
        assert newer.registered
        assert processes.read().boot == "boot-2"

    run_with_processes(test)


def test_shard_that_was_lost_is_told_to_other_nodes() -> None:
    async def test(processes: Processes) -> None:
        registration = processes.build("boot-1")
        await run_for(registration, 1.0)
        registration.note_lost("s", 4)
        await run_for(registration, 1.0)
        lost = processes.read().lost["s"]
        assert lost.epoch == 4
        assert lost.ended_ms >= 1000

    run_with_processes(test)


def test_start_of_a_process_is_told_once_the_store_clock_is_known() -> None:
    async def test(processes: Processes) -> None:
        registration = processes.build("boot-1")
        registration.health.store_clock.reading = None
        await run_for(registration, 2.0)
        assert processes.read().started_ms is None

        async def learn() -> None:
            await anyio.sleep(1.5)
            now = CLOCKS.read_boot()
            reading = ClockReading(now * 1000 + 1.0, now, now)
            registration.health.store_clock.observe(reading)

        async with anyio.create_task_group() as group:
            group.start_soon(learn)
            await run_for(registration, 4.0)
        assert processes.read().started_ms is not None

    run_with_processes(test)


def test_claiming_node_learns_of_the_end_of_the_former_process() -> None:
    async def test(processes: Processes) -> None:
        own = processes.build("boot-9")
        own.node = "node-2"
        members: dict[str, Member] = {}
        owners = FormerOwners(CLOCKS, own.health, members, own)
        await anyio.sleep(100.0)
        now = CLOCKS.read_monotonic()
        view = OwnerView(ROW, 7, now - 3.0)
        grants = owners.bound("s", view)
        assert grants.until == pytest.approx(now - 3.0 + GRANT_WITHOUT_STORE_S)
        started_ms = int((now - 1.0) * 1000)
        members["node-1"] = Member("a", boot="boot-2", started_ms=started_ms, version=8)
        assert owners.update("s", grants)
        assert grants.until == pytest.approx(now - 1.0, abs=0.3)

    run_with_processes(test)


def test_claim_tells_the_next_owner_of_the_bound_before_any_renewal() -> None:
    async def test(processes: Processes) -> None:
        await anyio.sleep(100.0)
        owners = FormerOwners(CLOCKS, StoreHealth(), {}, processes.build("boot-9"))
        owners.registration.node = "node-2"
        owners.health = owners.registration.health
        now = CLOCKS.read_monotonic()
        view = OwnerView(ROW, 7, now - 3.0)
        end_ms = owners.get_claim_end_ms("s", view)
        assert end_ms is not None
        assert end_ms / MS_PER_S == pytest.approx(now + 5.0, abs=0.1)
        unknown = attrs.evolve(ROW, former_grants_end_ms=None)
        assert owners.get_claim_end_ms("s", OwnerView(unknown, 7, now)) is None

    run_with_processes(test)


def test_process_that_claims_its_own_former_shard_knows_that_it_grants_none() -> None:
    async def test(processes: Processes) -> None:
        await anyio.sleep(100.0)
        own = processes.build("boot-1")
        owners = FormerOwners(CLOCKS, own.health, {}, own)
        now = CLOCKS.read_monotonic()
        grants = owners.bound("s", OwnerView(ROW, 7, now - 1.0))
        assert grants.until == pytest.approx(now)

    run_with_processes(test)


def test_process_knows_that_the_former_one_of_its_node_has_ended() -> None:
    async def test(processes: Processes) -> None:
        await anyio.sleep(100.0)
        own = processes.build("boot-2")
        owners = FormerOwners(CLOCKS, own.health, {}, own)
        grants = owners.bound("s", OwnerView(ROW, 7, CLOCKS.read_monotonic() - 3.0))
        assert grants.until == pytest.approx(CLOCKS.read_monotonic())

    run_with_processes(test)
