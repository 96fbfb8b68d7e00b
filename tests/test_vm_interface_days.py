"""Days on which the platform's interface for VMs is away while VMs are cordoned."""

import pytest

from onyxgap.standins.emulator.script import parse_script
from tests.emulated import play

DAY = """
nodes 6
pool ring vms 6 cores 16 memory 32
pool herd vms 6 cores 16 memory 32
spare 4
serve ring tasks 4 cpu 5 memory 20 per-vm 1 may-miss 1
serve herd tasks 4 cpu 5 memory 20 per-vm 1 may-miss 1
load ring every 0.4 from 3 to 34 width 3 work 0.5 cpu 3 memory 4
load herd every 0.4 from 3 to 34 width 3 work 0.5 cpu 3 memory 4
wave at 12 of 10 cap 8 within 16
end 50
"""
INTERFACES = {
    "silent": ("at 12.5 down cloud for 31.5",),
    "orders-silent": ("at 12.5 down vm-orders for 31.5",),
    "orders-refused": ("at 12.5 refuse vm-orders for 31.5",),
    "orders-late": ("at 12.5 late vm-orders for 31.5 by 0.5",),
    "holder-cut-off": ("at 12.5 cut holder for 31.5",),
}
DISTURBANCES = {
    "holder-killed": ("at 13 kill holder for 3",),
    "owner-killed": ("at 13 kill owner ring for 3",),
    "vms-crashed": ("at 15 crash vm ring for 100", "at 15 crash vm herd for 100"),
}


def list_broken_rules(interface: str, disturbance: str = "") -> list[str]:
    statements = (*INTERFACES[interface], *DISTURBANCES.get(disturbance, ()))
    script = parse_script("interface", "\n".join([DAY, *statements]))
    return [f"{item.rule}: {item.detail}" for item in play(script, 1).breaches]


@pytest.mark.parametrize(
    "interface",
    ["silent", "orders-silent", "orders-refused", "holder-cut-off"],
)
def test_jobs_do_not_stand_still_while_cordoned_vms_cannot_be_maintained(
    interface: str,
) -> None:
    assert list_broken_rules(interface) == []


@pytest.mark.parametrize(
    ("interface", "disturbance"),
    [
        ("silent", "owner-killed"),
        ("orders-silent", "owner-killed"),
        ("orders-silent", "holder-killed"),
        ("orders-refused", "owner-killed"),
        ("holder-cut-off", "owner-killed"),
    ],
)
def test_cordons_do_not_outlast_a_change_of_roles_while_the_interface_is_away(
    interface: str, disturbance: str
) -> None:
    assert list_broken_rules(interface, disturbance) == []


@pytest.mark.parametrize("interface", ["silent", "orders-silent"])
def test_tasks_of_crashed_vms_do_not_wait_beside_cordoned_ones(interface: str) -> None:
    assert list_broken_rules(interface, "vms-crashed") == []


@pytest.mark.parametrize(
    "disturbance",
    ["", "owner-killed", "vms-crashed"],
    ids=["nothing-else", "owner-killed", "vms-crashed"],
)
def test_late_orders_do_not_end_runs_of_vms_that_were_opened_meanwhile(
    disturbance: str,
) -> None:
    assert list_broken_rules("orders-late", disturbance) == []
