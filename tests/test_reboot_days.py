"""Days of workers that leave start orders unanswered, and reboot under their IDs.

They carry the orders out late, also before they have registered again.
"""

import random

import pytest

from onyxgap.standins.emulator.script import Script
from onyxgap.standins.emulator.script import load_script
from onyxgap.standins.emulator.script import parse_script
from tests.conftest import ROOT
from tests.emulated import play

DAY = """
nodes 3
pool ring vms 4
load ring every 0.1 from 2 to 24 width 4 work 0.4 cpu 1
end 40
"""


def draw_reboots(seed: int) -> Script:
    """Draw a day on which workers leave orders unanswered, and reboot soon after."""
    rng = random.Random(f"late-starts/{seed}")
    lines = [DAY]
    for begin in (5.0, 14.0):
        lines.append(f"at {begin} late orders for 2 by 0.3")
        at = begin + rng.uniform(0.5, 2.0)
        for number in range(2):
            down_s, first_beat_s = rng.uniform(0.3, 3.5), rng.uniform(0.8, 1.5)
            vm = f"ring-{number}"
            lines.append(
                f"at {at:.3f} reboot vm {vm} for {down_s:.3f} by {first_beat_s:.3f}"
            )
    return parse_script("late-starts", "\n".join(lines))


def list_broken_rules(script: Script, seed: int) -> list[str]:
    return [f"{item.rule}: {item.detail}" for item in play(script, seed).breaches]


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5, 6, 15, 46])
def test_late_starts_that_meet_a_rebooted_worker_break_no_rule(seed: int) -> None:
    assert list_broken_rules(draw_reboots(seed), seed) == []


@pytest.mark.parametrize("seed", [1, 5])
def test_what_crosses_two_parts_of_a_node_breaks_no_rule(seed: int) -> None:
    # an order of a killed owner met a rebooted worker in seed 5
    script = load_script(ROOT / "bench" / "soak" / "crossings.day")
    assert list_broken_rules(script, seed) == []
