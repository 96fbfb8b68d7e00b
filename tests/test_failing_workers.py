"""A worker that fails everything, in a pool whose other workers are sound."""

import pytest

from onyxgap.standins.emulator.script import parse_script
from tests.emulated import play

DAY = """
nodes 2
pool herd vms 3
load herd every 1.2 from 4 to 15 width 5 work 0.8 cpu 6 steps 2
at 6 fail vm herd for 5
end 16
"""


@pytest.mark.parametrize("seed", [10, 22])
def test_task_does_not_use_up_its_attempts_on_one_failing_worker(seed: int) -> None:
    # the sound workers have no place left for tasks of its step, which are spread
    assert play(parse_script("failing", DAY), seed).breaches == []
