"""Workers that answer hold requests while start orders do not reach them."""

import pytest

from onyxgap.standins.emulator.script import parse_script
from tests.emulated import play

SERVING_DAY = """
nodes 3
pool ring vms 3
spare 3
serve ring tasks 3 cpu 40 memory 20 per-vm 1 may-miss 1
at 0.9 refuse vm ring for 60
end 10
"""


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_serving_task_gets_another_vm_if_starts_do_not_reach_a_worker(
    seed: int,
) -> None:
    script = parse_script("undelivered-starts", SERVING_DAY)
    assert [item.detail for item in play(script, seed).breaches] == []
