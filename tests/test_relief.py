"""Owners on small or slow VMs offer their shards to larger ones."""

import anyio
import pytest

from onyxgap.jobs.members import Member
from onyxgap.jobs.members import list_stronger
from onyxgap.jobs.ownership import YIELD_S
from onyxgap.jobs.ownership import Claimant
from onyxgap.jobs.ownership import OwnerView
from onyxgap.jobs.ownership import get_claim_time
from onyxgap.jobs.relief import BEHIND_FOR_S
from onyxgap.jobs.relief import BEHIND_S
from onyxgap.jobs.relief import OFFER_S
from onyxgap.jobs.relief import PAUSE_S
from onyxgap.jobs.relief import STAY_S
from onyxgap.jobs.relief import Relief
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
    assert list_stronger("small", MEMBERS) == ["large", "other"]
    assert list_stronger("large", MEMBERS) == ["other"]


def test_node_on_a_large_vm_keeps_what_it_owns() -> None:
    assert not Relief().offers("s", 1, 99.0, 200.0)


def test_weak_node_offers_a_shard_once_it_has_settled() -> None:
    relief = Relief(weak=True)
    assert not relief.offers("s", 1, STAY_S - 0.1, 100.0)
    assert relief.offers("s", 1, STAY_S, 100.0)


def test_offer_that_nobody_takes_is_not_repeated_at_once() -> None:
    relief = Relief(weak=True)
    moments = [100.0 + 0.3 * number for number in range(120)]
    offered = [at for at in moments if relief.offers("s", 1, 60.0, at)]
    pauses = [later - at for at, later in zip(offered, offered[1:], strict=False)]
    assert max(pauses) >= PAUSE_S
    assert sum(at < 100.0 + OFFER_S + PAUSE_S for at in offered) <= OFFER_S / 0.3 + 1


def test_node_that_stays_late_offers_and_one_slow_moment_does_not_count() -> None:
    relief = Relief()
    relief.observe_lag(3.0, 100.0)
    relief.observe_lag(0.1, 100.3)
    relief.observe_lag(BEHIND_S, 100.6)
    assert not relief.offers("s", 1, 60.0, 100.6 + BEHIND_FOR_S / 2)
    assert relief.offers("s", 1, 60.0, 100.6 + BEHIND_FOR_S)


@pytest.mark.parametrize(("yields", "wait_s"), [(False, 0.0), (True, YIELD_S)])
def test_small_node_leaves_its_former_shards_to_others_first(
    yields: bool, wait_s: float
) -> None:
    view = OwnerView(OwnerRow("small", "former", 3), 7, 100.0)
    claimant = Claimant("small", "present", 0, weak=True, yields=yields)
    at = get_claim_time(view, "s", claimant, 0.0, 101.0)
    assert at == pytest.approx(100.0 + wait_s)


def list_small_owners(script: Script, seed: int) -> list[tuple[float, str]]:
    """Play a day; list owners on small VMs that were seen each half second."""
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
def test_shards_leave_small_nodes_after_all_lost_power(seed: int) -> None:
    """The larger ones come back a second later and find what the small ones claimed."""
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
def test_rules_hold_where_shards_are_offered(name: str) -> None:
    for seed in (1, 2):
        statements = ("nodes 5", "small 3", "contended", FAULTS[name])
        assert play(extend_day("tenants", *statements), seed).breaches == []
