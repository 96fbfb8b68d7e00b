"""Tests of retention, membership, freshness and rendezvous hashing."""

import random

import anyio

from onyxgap import defaults
from onyxgap.daemons.retention import Sweeper
from onyxgap.ports import Put
from onyxgap.shared.membership import Freshness
from onyxgap.shared.membership import MemberRow
from onyxgap.shared.membership import Membership
from onyxgap.shared.membership import pick_owner
from onyxgap.shared.membership import rank_by_hash
from onyxgap.standins.memory_platform import MemoryPlatform
from onyxgap.standins.virtual import run_virtually


def build_member_row(name: str, incarnation: str = "1", sequence: int = 0) -> MemberRow:
    return MemberRow(name, "entry", name, incarnation, sequence)


def test_expired_claims_are_removed_page_by_page() -> None:
    async def run() -> list[str]:
        platform = MemoryPlatform(random.Random(1))
        for number in range(450):
            at = 0.0 if number % 3 else 1_000_000.0
            platform.write([Put(f"claim/s/j/{number:04d}", {"at": at}, 0)])
        sweeper = Sweeper(platform)
        for _ in range(4):
            await sweeper.sweep_claims(defaults.CLAIM_RETENTION_S + 1.0)
        assert sweeper.removed == 300
        return platform.list_keys("claim/")

    assert len(run_virtually(run)) == 150


def test_malformed_claims_are_kept_and_do_not_end_the_sweep() -> None:
    malformed = [{}, {"at": None}, {"at": "0"}, ["at"], "at", 7]

    async def run() -> list[str]:
        platform = MemoryPlatform(random.Random(1))
        for number, value in enumerate(malformed):
            platform.write([Put(f"claim/s/j/{number}", value, 0)])
        platform.write([Put("claim/s/j/9", {"at": 0.0}, 0)])
        sweeper = Sweeper(platform)
        await sweeper.sweep_claims(defaults.CLAIM_RETENTION_S + 1.0)
        assert sweeper.removed == 1
        return platform.list_keys("claim/")

    assert len(run_virtually(run)) == len(malformed)


def test_row_of_a_dead_member_is_removed_and_of_a_live_one_kept() -> None:
    async def run() -> list[str]:
        platform = MemoryPlatform(random.Random(1))
        membership = Membership("me")
        for name in ("me", "dead", "live"):
            platform.write([Put(f"member/{name}", {"name": name}, 0)])
        membership.observe(
            [(build_member_row(n), 1) for n in ("me", "dead", "live")], 0.0
        )
        membership.record_heartbeat("live", 1, {}, False, 650.0)
        sweeper = Sweeper(platform)
        await sweeper.sweep_members(membership, 700.0)
        return platform.list_keys("member/")

    assert run_virtually(run) == ["member/live", "member/me"]


def test_member_times_out_by_silence_on_the_local_clock_only() -> None:
    membership = Membership("me", timeout_s=6.0)
    rows = [(build_member_row("me"), 1), (build_member_row("other"), 1)]
    membership.observe(rows, 0.0)
    assert [row.name for row in membership.list_live(6.0)] == ["me", "other"]
    assert [row.name for row in membership.list_timed_out(6.1)] == ["other"]
    membership.observe([rows[0], (build_member_row("other"), 2)], 7.0)
    assert [row.name for row in membership.list_live(13.0)] == ["me", "other"]
    assert membership.record_heartbeat("other", 9, {"vm": 1}, False, 20.0)
    (other,) = [row for row in membership.list_live(25.0) if row.name == "other"]
    assert (other.sequence, other.draining) == (9, {"vm": 1})


def test_restart_of_a_member_resets_its_acknowledged_sequence() -> None:
    membership = Membership("me")
    membership.observe([(build_member_row("other", "1"), 4)], 0.0)
    membership.record_heartbeat("other", 50, {}, False, 1.0)
    membership.observe([(build_member_row("other", "2", 3), 5)], 2.0)
    (other,) = membership.list_known()
    assert other.sequence == 3


def test_freshness_needs_the_store_or_a_majority_of_members() -> None:
    freshness = Freshness(limit_s=2.0)
    others = ["a", "b", "c", "d"]
    assert not freshness.is_fresh(0.0, others)
    freshness.record_store_answer(0.0)
    assert freshness.is_fresh(2.0, others)
    assert not freshness.is_fresh(2.1, others)
    freshness.record_peer_heartbeat("a", 3.0)
    assert not freshness.is_fresh(3.0, others)
    freshness.record_peer_heartbeat("b", 3.5)
    assert freshness.is_fresh(4.5, others)
    assert not freshness.is_fresh(5.1, others)
    # a process without peers cannot tell an outage of the store from a network
    # partition, so it goes on serving
    assert freshness.is_fresh(100.0, [])


def test_only_keys_of_a_removed_member_change_their_owner() -> None:
    names = [f"entry-{number}" for number in range(9)]
    keys = [f"service-{number}" for number in range(400)]
    before = {key: pick_owner(key, names) for key in keys}
    after = {key: pick_owner(key, names[1:]) for key in keys}
    moved = [key for key in keys if before[key] != after[key]]
    assert all(before[key] == names[0] for key in moved)
    assert 20 < len(moved) < 80
    assert rank_by_hash("k", names)[0] == pick_owner("k", names)


def test_sleep_advances_virtual_time() -> None:
    async def run() -> float:
        await anyio.sleep(3600)
        return anyio.current_time()

    assert run_virtually(run) == 3600.0
