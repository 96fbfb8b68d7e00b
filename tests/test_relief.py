"""Tests that owners on small or slow VMs offer their shards to nodes on larger VMs."""

import anyio
import pytest

from onyxgap.jobs.members import Member
from onyxgap.jobs.members import list_large_vm_nodes
from onyxgap.jobs.ownership import PREVIOUS_SHARD_DELAY_S
from onyxgap.jobs.ownership import Claimant
from onyxgap.jobs.ownership import OwnerView
from onyxgap.jobs.ownership import get_claim_time
from onyxgap.jobs.relief import LAG_DURATION_S
from onyxgap.jobs.relief import LAG_THRESHOLD_S
from onyxgap.jobs.relief import MIN_OWNED_S
from onyxgap.jobs.relief import OFFER_DURATION_S
from onyxgap.jobs.relief import OFFER_PAUSE_S
from onyxgap.jobs.relief import ShardOfferPolicy
from onyxgap.jobs.tables import OwnerRow
from onyxgap.standins.emulator.faults import FaultyDay
from onyxgap.standins.emulator.script import Script
from onyxgap.standins.virtual import run_virtually
from tests.emulated import extend_day
from tests.emulated import play

MEMBERS = {
    "small": Member("small:1", 200),
    "large": Member("large:1", 552),
    "other": Member("other:1", 552),
    "deaf": Member("", 552),
}


def test_shards_are_offered_to_nodes_on_large_vms() -> None:
    assert list_large_vm_nodes("small", MEMBERS) == ["large", "other"]
    assert list_large_vm_nodes("large", MEMBERS) == ["other"]


def test_node_on_a_large_vm_keeps_its_shards() -> None:
    assert not ShardOfferPolicy().should_offer("s", 1, 99.0, 200.0)


def test_node_on_a_small_vm_offers_a_shard_after_the_minimum_time() -> None:
    policy = ShardOfferPolicy(small_vm=True)
    assert not policy.should_offer("s", 1, MIN_OWNED_S - 0.1, 100.0)
    assert policy.should_offer("s", 1, MIN_OWNED_S, 100.0)


def test_offer_without_a_claim_is_repeated_only_after_a_pause() -> None:
    policy = ShardOfferPolicy(small_vm=True)
    times = [100.0 + 0.3 * number for number in range(120)]
    offered = [at for at in times if policy.should_offer("s", 1, 60.0, at)]
    pauses = [later - at for at, later in zip(offered, offered[1:], strict=False)]
    assert max(pauses) >= OFFER_PAUSE_S
    assert (
        sum(at < 100.0 + OFFER_DURATION_S + OFFER_PAUSE_S for at in offered)
        <= OFFER_DURATION_S / 0.3 + 1
    )


def test_only_lasting_lag_makes_a_node_offer_its_shards() -> None:
    policy = ShardOfferPolicy()
    policy.observe_lag(3.0, 100.0)
    policy.observe_lag(0.1, 100.3)
    policy.observe_lag(LAG_THRESHOLD_S, 100.6)
    assert not policy.should_offer("s", 1, 60.0, 100.6 + LAG_DURATION_S / 2)
    assert policy.should_offer("s", 1, 60.0, 100.6 + LAG_DURATION_S)


@pytest.mark.parametrize(
    ("yields", "wait_s"), [(False, 0.0), (True, PREVIOUS_SHARD_DELAY_S)]
)
def test_small_vm_lets_others_claim_shards_of_its_previous_process_first(
    yields: bool, wait_s: float
) -> None:
    view = OwnerView(OwnerRow("small", "former", 3), 7, 100.0)
    claimant = Claimant("small", "present", 0, small_vm=True, yields=yields)
    at = get_claim_time(view, "s", claimant, 0.0, 101.0)
    assert at == pytest.approx(100.0 + wait_s)


def list_small_owners(script: Script, seed: int) -> list[tuple[float, str]]:
    """Play a day; return the shards owned on small VMs, sampled every 0.5 s."""
    day = FaultyDay(script, seed)
    seen: list[tuple[float, str]] = []

    async def watch() -> None:
        while True:
            await anyio.sleep(0.5)
            for slot in day.slots[: script.small]:
                if slot.node is not None:
                    seen.extend(
                        (anyio.current_time(), name) for name in slot.node.owners
                    )

    async def run() -> object:
        async with anyio.create_task_group() as group:
            group.start_soon(watch)
            result = await day.play()
            group.cancel_scope.cancel()
        return result

    result = run_virtually(run)
    assert result.breaches == []  # type: ignore[attr-defined]
    return seen


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_shards_move_off_small_vms_after_a_power_loss_of_all_nodes(seed: int) -> None:
    """Guards against shards that stay on small VMs.

    All nodes restart 1 s after the power loss. Nodes on larger VMs then find shards
    that nodes on small VMs have claimed.
    """
    script = extend_day("tenants", "nodes 5", "small 3", "contended")
    day = extend_day(
        "tenants", "nodes 5", "small 3", "contended", "at 6 kill all for 1"
    )
    assert [at for at, _ in list_small_owners(script, seed) if at > 8.0] == []
    assert [at for at, _ in list_small_owners(day, seed) if at > 11.0] == []


FAULTS = {
    "the taker is killed": "at 5 kill owner ring for 1\nat 6 kill owner herd for 1",
    "takers are turned away": "at 4 refuse node for 6 by 0.6",
    "an owner is frozen": "at 5 freeze owner ring for 3\nat 9 freeze owner herd for 3",
    "all lose power": "at 6 kill all for 1\nat 10 kill all for 1",
}


@pytest.mark.parametrize("name", FAULTS)
def test_invariants_hold_while_shards_are_offered(name: str) -> None:
    for seed in (1, 2):
        statements = ("nodes 5", "small 3", "contended", FAULTS[name])
        assert play(extend_day("tenants", *statements), seed).breaches == []
