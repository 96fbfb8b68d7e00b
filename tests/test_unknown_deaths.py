"""Deaths of workers that the list of VMs does not tell of, beside other faults."""

import pytest

from onyxgap.standins.emulator.script import Script
from onyxgap.standins.emulator.script import parse_script
from tests.emulated import play

DAY = """
nodes 4
pool ring vms 8
spare 2
serve ring tasks 6 cpu 5 memory 20 per-vm 1 may-miss 1
load ring every 0.5 from 3 to 20 width 6 work 0.6 cpu 3.5
end 30
"""
REPLACED_DAY = """
nodes 3
pool ring vms 6
spare 2
serve ring tasks 4 cpu 5 memory 20 per-vm 1 may-miss 1
load ring every 0.5 from 3 to 20 width 6 work 1.0 cpu 3.5
end 30
"""
LISTS = {
    "silent": "at 11 down list for 19",
    "refused": "at 11 refuse list for 19",
    "old": "at 11 old list for 19",
}
OWNERS = {
    "killed": "at 13.9 kill owner ring for 2",
    "stopped": "at 13.9 stop owner ring for 2",
    "paused": "at 14.5 freeze owner ring for 4",
}
HALTED = ("at 14.0 halt vm ring for 60", "at 14.1 halt vm ring for 60")
ENDED = ("at 14.0 end worker ring for 60", "at 14.1 end worker ring for 60")
CUT_OFF = ("at 14.0 cut vm ring for 9", "at 14.1 cut vm ring for 9")


def build_day(*statements: str) -> Script:
    return parse_script("unknown-deaths", "\n".join([DAY, *statements]))


def list_broken_rules(script: Script, seed: int = 1) -> list[str]:
    return [f"{item.rule}: {item.detail}" for item in play(script, seed).breaches]


@pytest.mark.parametrize("owner", OWNERS)
@pytest.mark.parametrize("vm_list", LISTS)
def test_runs_of_a_dead_worker_are_not_kept_long_after_a_change_of_the_owner(
    vm_list: str, owner: str
) -> None:
    script = build_day(LISTS[vm_list], OWNERS[owner], *HALTED)
    assert list_broken_rules(script) == []


@pytest.mark.parametrize("owner", OWNERS)
def test_runs_of_a_worker_that_died_on_a_listed_vm_are_not_kept_long(
    owner: str,
) -> None:
    assert list_broken_rules(build_day(OWNERS[owner], *ENDED)) == []


@pytest.mark.parametrize("deaths", [HALTED, ENDED], ids=["halted", "ended"])
def test_jobs_do_not_stand_still_for_a_lease_if_the_vm_list_is_untrue(
    deaths: tuple[str, ...],
) -> None:
    assert list_broken_rules(build_day(LISTS["old"], *deaths), seed=2) == []


@pytest.mark.parametrize("owner", OWNERS)
@pytest.mark.parametrize("vm_list", LISTS)
def test_runs_of_a_worker_that_is_cut_off_are_not_started_twice(
    vm_list: str, owner: str
) -> None:
    script = build_day(LISTS[vm_list], OWNERS[owner], *CUT_OFF)
    assert list_broken_rules(script) == []


@pytest.mark.parametrize("seed", [2, 4])
def test_old_vm_list_does_not_end_runs_of_workers_that_joined_later(seed: int) -> None:
    replaced = [f"at {5 + 0.5 * n} crash vm ring for 0.5" for n in range(8)]
    cuts = [f"at {at} cut vm ring for 3" for at in (13, 14, 16)]
    script = parse_script(
        "old-list", "\n".join([REPLACED_DAY, "at 4 old list for 26", *replaced, *cuts])
    )
    assert list_broken_rules(script, seed) == []
