"""Days on which racks fail beside a wave, turns and serving tasks."""

import pytest

from onyxgap.standins.emulator.fault_draws import draw_rack_faults
from tests.emulated import extend_day
from tests.emulated import play

HALF_A_CORE = ("cores 0.5", "pass-cost 0.0075")


def list_broken_rules(seed: int, *statements: str) -> list[str]:
    script = draw_rack_faults(extend_day("racks", *statements), seed, 2)
    return [f"{item.rule}: {item.detail}" for item in play(script, seed).breaches]


@pytest.mark.parametrize("seed", [7101, 7109, 7117])
def test_dark_racks_break_no_rule(seed: int) -> None:
    assert list_broken_rules(seed) == []


@pytest.mark.parametrize("seed", [7121, 7123, 7134, 7140])
def test_dark_racks_break_no_rule_on_nodes_with_half_a_core(seed: int) -> None:
    assert list_broken_rules(seed, *HALF_A_CORE) == []
