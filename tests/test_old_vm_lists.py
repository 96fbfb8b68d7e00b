"""Lists of VMs that are older than the only worker which joined since."""

from onyxgap.standins.emulator.script import parse_script
from tests.emulated import play

DAY = """
nodes 3
pool ring vms 2
spare 0
load ring every 0.4 from 3 to 20 width 4 work 2.0 cpu 3.5
at 4 old list for 26
at 5 crash vm ring for 0.5
at 13 cut vm ring for 3
end 26
"""


def test_old_vm_list_does_not_end_runs_of_the_only_worker_that_joined_later() -> None:
    assert play(parse_script("old-list", DAY), 2).breaches == []
