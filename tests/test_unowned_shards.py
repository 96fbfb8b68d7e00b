"""Log lines about shards that have no live owner, and about their loading."""

import typing as t

import anyio
import attrs
import pytest
import structlog.testing

from onyxgap.daemons.unowned_shards import MAX_REPORTED_SHARDS
from onyxgap.daemons.unowned_shards import REPORT_AFTER_S
from onyxgap.daemons.unowned_shards import REPORT_INTERVAL_S
from onyxgap.daemons.unowned_shards import ClaimProgress
from onyxgap.daemons.unowned_shards import UnclaimedReason
from onyxgap.daemons.unowned_shards import UnownedShardReporter
from onyxgap.jobs import tables
from onyxgap.jobs.ownership import OWNER_TIMEOUT_S
from onyxgap.jobs.ownership import Claimant
from onyxgap.jobs.ownership import OwnerView
from onyxgap.jobs.routing import Configuration
from onyxgap.jobs.tables import OwnerRow
from onyxgap.standins.emulator.store import EmulatedStore
from tests.emulated import load_day
from tests.emulated import play
from tests.test_node_parts import OWNER_ROW
from tests.test_node_parts import ROUTE
from tests.test_node_parts import ScriptedStore
from tests.test_node_parts import build_node
from tests.test_node_parts import run_with_store

NOW = 100.0
LIMIT_S = 3.0
"""Time without an owner within which a node has to say so."""
ROW = OwnerRow("node-1", "boot-1", 7)
PROGRESS = ClaimProgress(Claimant("node-2", "boot-2", 1), 0.0, True, True, False)


def check(
    reporter: UnownedShardReporter,
    views: t.Mapping[str, OwnerView | None],
    now: float,
    progress: ClaimProgress = PROGRESS,
) -> list[t.Any]:
    with structlog.testing.capture_logs() as lines:
        reporter.check(views, progress, 0.4, now)
    return list(lines)


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({}, UnclaimedReason.OWNER_TIMEOUT),
        ({"stopping": True}, UnclaimedReason.STOPPING),
        ({"reachable_since": None}, UnclaimedReason.STORE_UNREACHABLE),
        ({"owners_known": False}, UnclaimedReason.OWNERS_UNKNOWN),
        ({"may_claim": False}, UnclaimedReason.NOT_REGISTERED),
        ({"claiming": {"s"}}, UnclaimedReason.CLAIMING),
        ({"paused_until": {"s": NOW + 0.5}}, UnclaimedReason.CLAIM_PAUSE),
    ],
)
def test_shard_whose_owner_row_stays_unchanged_is_logged_with_what_delays_the_claim(
    changes: dict[str, t.Any], reason: UnclaimedReason
) -> None:
    views = {"s": OwnerView(ROW, 3, NOW - REPORT_AFTER_S)}
    progress = attrs.evolve(PROGRESS, **changes)
    (line,) = check(UnownedShardReporter(), views, NOW, progress)
    assert line["event"] == "shard without owner"
    assert (line["shard"], line["owner"], line["epoch"]) == ("s", "node-1", 7)
    assert (line["unchanged_s"], line["lag_s"]) == (REPORT_AFTER_S, 0.4)
    assert line["reason"] == reason.value


def test_released_shard_is_logged_with_the_delay_of_the_claim() -> None:
    claimant = Claimant("node-2", "boot-2", owned=9, small_vm=True)
    progress = attrs.evolve(PROGRESS, claimant=claimant)
    released = attrs.evolve(ROW, released=True)
    views = {"s": OwnerView(released, 3, NOW - REPORT_AFTER_S)}
    (line,) = check(UnownedShardReporter(), views, NOW, progress)
    assert line["reason"] == UnclaimedReason.CLAIM_DELAY.value
    assert (line["owned"], line["small_vm"]) == (9, True)
    assert line["claim_in_s"] > 0.0


def test_shard_whose_claim_is_due_says_so() -> None:
    views = {"s": OwnerView(ROW, 3, NOW - 2 * OWNER_TIMEOUT_S)}
    (line,) = check(UnownedShardReporter(), views, NOW)
    assert line["reason"] == UnclaimedReason.CLAIM_DUE.value


def test_shard_of_which_no_owner_was_ever_seen_is_logged() -> None:
    reporter = UnownedShardReporter()
    progress = attrs.evolve(PROGRESS, may_claim=False)
    assert check(reporter, {"s": None}, NOW, progress) == []
    (line,) = check(reporter, {"s": None}, NOW + REPORT_AFTER_S, progress)
    assert (line["owner"], line["epoch"]) == ("", 0)


def test_lines_about_shards_without_owner_are_bounded_and_repeated() -> None:
    reporter = UnownedShardReporter()
    shards = [f"s{number}" for number in range(2 * MAX_REPORTED_SHARDS)]
    views = {shard: OwnerView(ROW, 3, NOW - REPORT_AFTER_S) for shard in shards}
    lines = check(reporter, views, NOW)
    assert len(lines) == MAX_REPORTED_SHARDS + 1
    named = {line["shard"] for line in lines[:-1]}
    assert named | set(lines[-1]["shards"]) == set(shards)
    lines += check(reporter, views, NOW + 1)
    assert {line.get("shard") for line in lines} - {None} == set(shards)
    assert check(reporter, views, NOW + REPORT_INTERVAL_S) != []


def test_shard_whose_owner_renews_its_row_is_not_logged() -> None:
    views = {"s": OwnerView(ROW, 3, NOW - REPORT_AFTER_S / 2)}
    assert check(UnownedShardReporter(), views, NOW) == []


def test_node_says_within_three_seconds_that_a_shard_has_no_owner() -> None:
    async def test(scripted: ScriptedStore, store: EmulatedStore) -> None:
        store.put(tables.get_owner_row("s"), tables.encode_owner(OWNER_ROW))
        node = build_node(scripted)
        node.routes.adopt(Configuration(1, (ROUTE,), {}))
        (shard,) = node.routes.list_shards()
        node._claim_after[shard] = 1e9
        with structlog.testing.capture_logs() as lines:
            async with anyio.create_task_group() as group:
                node._group = group
                group.start_soon(node._watch_owners)
                await anyio.sleep(LIMIT_S + 0.2)
                group.cancel_scope.cancel()
        (line,) = [line for line in lines if line["event"] == "shard without owner"]
        assert line["reason"] == UnclaimedReason.CLAIM_PAUSE.value

    run_with_store(test)


def test_loaded_shard_is_logged_with_the_times_from_claim_to_first_start() -> None:
    with structlog.testing.capture_logs() as lines:
        play(load_day("calm"), 1)
    loaded = [line for line in lines if line["event"] == "shard loaded"]
    assert loaded
    for line in loaded:
        assert line["claim_s"] > 0.0
        assert line["load_s"] > 0.0
    started = [line for line in lines if line["event"] == "first task started"]
    assert {line["shard"] for line in started} <= {line["shard"] for line in loaded}
    assert all(line["since_claim_s"] > line["since_load_s"] for line in started)
    assert started
