"""VMs that are listed as up although their workers have ended, and sizes of pools."""

from onyxgap.standins.emulator.script import parse_script
from tests.emulated import play

DAY = """
nodes 3
pool ring vms 6
pool herd vms 4
spare 4
serve ring tasks 6 cpu 5 memory 20 per-vm 1 may-miss 1
load ring every 1.5 from 3 to 30 width 2 work 0.6 cpu 3.5
load herd every 1.5 from 3 to 30 width 2 work 0.6 cpu 3.5
at 24 end worker ring for 90
at 27 kill holder for 6
end 70
"""


def test_new_fleet_controller_does_not_count_a_vm_whose_worker_was_gone_before() -> (
    None
):
    breaches = play(parse_script("vms-without-workers", DAY), 1).breaches
    assert [item.detail for item in breaches if "lacks" in item.detail] == []
