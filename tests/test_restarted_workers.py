"""Days of workers that restart under their IDs and are cut off soon after.

Calls for the former incarnation that reach the next one extend its lease by a deadline
on another clock, and acknowledge ends that have other numbers.
"""

import random
import typing as t

import pytest

from onyxgap.standins.emulator.script import Script
from onyxgap.standins.emulator.script import parse_script
from tests.emulated import play

DAY = """
nodes 3
pool ring vms {vms}
pool herd vms 2
load ring every {every} from 2 to 24 width 4 work {work} cpu 3.5
end 40
"""
DARK_S = 0.6
CUT_S = 9.0
RESTARTS_AT = (8.0, 24.0)


def draw_cuts(seed: int, options: t.Collection[str] = ()) -> Script:
    """Draw a day on which workers restart and are cut off 0.9 to 2.6 s later.

    :param seed: seed of the draw.
    :param options: faults to add, of ``owner``, ``orders`` and ``holds``.
    """
    rng = random.Random(f"restarted/{seed}")
    vms = rng.choice((2, 3))
    work = rng.choice((5, 6))
    lines = [DAY.format(vms=vms, work=work, every=rng.choice((0.5, 0.8)))]
    for begin in RESTARTS_AT:
        at = begin + rng.uniform(0.0, 2.0)
        vm = f"ring-{rng.randrange(vms)}"
        cut_at = at + DARK_S + rng.uniform(0.9, 2.6)
        kill_at = rng.uniform(at, cut_at)
        lines += [
            f"at {at:.3f} restart vm {vm} for {DARK_S}",
            f"at {cut_at:.3f} cut vm {vm} for {CUT_S}",
        ]
        if "owner" in options:
            lines.append(f"at {kill_at:.3f} kill owner ring for 2")
        lines += [
            f"at {at - 3:.3f} late {calls} for 4 by 0.2"
            for calls in ("orders", "holds")
            if calls in options
        ]
    return parse_script("restarted", "\n".join(lines))


def list_broken_rules(script: Script, seed: int) -> list[str]:
    return [f"{item.rule}: {item.detail}" for item in play(script, seed).breaches]


@pytest.mark.parametrize("seed", [1, 12, 20])
def test_calls_that_wait_for_a_restarting_worker_break_no_rule(seed: int) -> None:
    assert list_broken_rules(draw_cuts(seed), seed) == []


@pytest.mark.parametrize("seed", [1, 12])
def test_calls_of_a_killed_owner_for_a_former_incarnation_break_no_rule(
    seed: int,
) -> None:
    assert list_broken_rules(draw_cuts(seed, ("owner",)), seed) == []


@pytest.mark.parametrize("seed", [4, 5, 9, 12])
def test_late_start_orders_for_a_former_incarnation_break_no_rule(seed: int) -> None:
    assert list_broken_rules(draw_cuts(seed, ("orders",)), seed) == []


@pytest.mark.parametrize("seed", [2, 6, 7, 14])
def test_late_hold_requests_for_a_former_incarnation_break_no_rule(seed: int) -> None:
    assert list_broken_rules(draw_cuts(seed, ("holds",)), seed) == []
