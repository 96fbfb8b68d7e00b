"""The real node on days of the emulator: calm, with scripted and random faults."""

import typing as t

import pytest
import structlog.testing

from onyxgap.exceptions import DocumentError
from onyxgap.jobs.ownership import OWNER_TIMEOUT_S
from onyxgap.standins.emulator.faults import play_day
from onyxgap.standins.emulator.policies import FixedSizer
from onyxgap.standins.emulator.script import Script
from onyxgap.standins.emulator.script import parse_script
from onyxgap.standins.virtual import run_virtually
from tests.emulated import extend_day
from tests.emulated import load_day
from tests.emulated import play

RANDOM_SEEDS = range(1, 51)
CALM_SEEDS = (2, 3, 4, 5)

# statement of the fault, and the least share of jobs that must still be in time
SCRIPTED = {
    "owner killed": ("at 6 kill owner ring for 3", 0.3),
    "owner killed twice": (
        "at 5 kill owner ring for 1\nat 8.5 kill owner ring for 2",
        0.2,
    ),
    "holder killed": ("at 6 kill holder for 3", 0.5),
    "owner frozen": ("at 6 freeze owner ring for 4", 0.2),
    "holder frozen": ("at 6 freeze holder for 5", 0.4),
    "owner stopped": ("at 6 stop owner ring for 2", 0.5),
    "owner cut from store": ("at 6 cut owner ring for 5", 0.2),
    "all killed": ("at 7 kill all for 1", 0.2),
    "store down": ("at 6 down store for 4", 0.2),
    "store slow": ("at 6 slow store for 5 by 40", 0.0),
    "store loses answers": ("at 5 lose store for 5 by 0.3", 0.1),
    "store writes late": ("at 5 late store for 5 by 0.3", 0.1),
    "store forgets": ("at 6 forget store\nat 9 forget store", 0.5),
    "feeds deaf": ("at 5 deaf store for 2", 0.5),
    "nodes turned away": ("at 5 refuse node for 6 by 0.4", 0.2),
    "VM crashed": ("at 6 crash vm ring for 4", 0.3),
    "VM cut off": ("at 6 cut vm ring for 7", 0.2),
    "VM fails all": ("at 6 fail vm ring for 4", 0.3),
    "VM hangs": ("at 6 hang vm ring for 4", 0.2),
    "orders late": ("at 5 late orders for 6 by 0.2", 0.2),
    "answers lost": ("at 5 lose orders for 6 by 0.2", 0.2),
    "configurations in a row": ("at 6 configure routes for 8 by 0.1", 0.5),
    "crash and owner killed": (
        "at 6 crash vm ring for 5\nat 6.2 kill owner ring for 4",
        0.1,
    ),
    "outage and all killed": ("at 5 down store for 3\nat 8.5 kill all for 1", 0.1),
}


@pytest.mark.parametrize("seed", CALM_SEEDS)
def test_calm_day_serves_in_time(seed: int) -> None:
    result = play(load_day("calm"), seed)
    assert result.breaches == []
    assert result.account.refused == 0
    account = result.account
    owed = account.accepted - account.cancelled
    assert account.in_time + account.late == owed
    assert account.in_time >= 0.95 * owed > 0


def test_burst_beyond_the_pool_is_served_as_well_as_by_fixed_pools() -> None:
    # 14 jobs of two steps within 3 s, more than the pool of four VMs holds
    ours = play(load_day("calm"), seed=1)
    fixed = run_virtually(play_day, load_day("calm"), 1, FixedSizer)
    assert ours.breaches == []
    assert ours.account.refused == 0
    assert ours.account.accepted == fixed.account.accepted
    assert ours.account.in_time >= fixed.account.in_time > 0


def test_same_seed_gives_the_same_day() -> None:
    first = play(load_day("short"), seed=3, faults=4)
    second = play(load_day("short"), seed=3, faults=4)
    assert first.account == second.account


@pytest.mark.parametrize("name", SCRIPTED)
def test_fault_breaks_no_rule(name: str) -> None:
    statement, least = SCRIPTED[name]
    result = play(extend_day("short", statement), seed=11)
    assert result.breaches == []
    assert result.account.in_time >= least * result.account.accepted


@pytest.mark.parametrize("seed", RANDOM_SEEDS)
def test_random_faults_break_no_rule(seed: int) -> None:
    result = play(load_day("short"), seed, faults=2 + seed % 5)
    assert result.breaches == []


def test_faulty_lines_are_all_reported() -> None:
    text = "nodes three\nat 5 kick owner ring\nload ring sometimes\nfly\nnodes 2"
    with pytest.raises(DocumentError) as caught:
        parse_script("bad", text)
    assert [fault.path for fault in caught.value.faults] == [
        "line 1",
        "line 2",
        "line 3",
        "line 4",
    ]


def list_events(script: Script, seed: int, event: str) -> list[t.Any]:
    with structlog.testing.capture_logs() as lines:
        result = play(script, seed)
    assert result.breaches == []
    return [line for line in lines if line["event"] == event]


def test_job_starts_while_feeds_deliver_nothing() -> None:
    script = extend_day("short", "at 5 deaf store for 3")
    read = list_events(script, 3, "noticed row read")
    assert len(read) >= 3


def test_calm_day_reads_nothing_on_notices() -> None:
    assert list_events(load_day("short"), 3, "noticed row read") == []


def test_shard_of_a_cut_off_owner_is_claimed_before_the_owner_timeout() -> None:
    script = extend_day("short", "at 6 cut owner ring for 5")
    claims = [
        line["unchanged_s"]
        for line in list_events(script, 3, "claiming shard")
        if line["epoch"] == 1
    ]
    assert claims
    assert max(claims) < OWNER_TIMEOUT_S
