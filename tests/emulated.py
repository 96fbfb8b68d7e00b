"""Plays days of the emulator for tests."""

import typing as t

import pytest

from onyxgap.standins.emulator.day import DayResult
from onyxgap.standins.emulator.fault_draws import draw_faults
from onyxgap.standins.emulator.faults import play_day
from onyxgap.standins.emulator.script import Script
from onyxgap.standins.emulator.script import load_script
from onyxgap.standins.emulator.script import parse_script
from onyxgap.standins.virtual import run_virtually
from tests.conftest import ROOT

DAYS = ROOT / "tests" / "days"


def load_day(name: str) -> Script:
    return load_script(DAYS / f"{name}.day")


def extend_day(name: str, *statements: str) -> Script:
    text = (DAYS / f"{name}.day").read_text() + "\n".join(statements)
    return parse_script(name, text)


def play(script: Script, seed: int, faults: int = 0) -> DayResult:
    if faults:
        script = draw_faults(script, seed, faults)
    result = run_virtually(play_day, script, seed)
    assert isinstance(result, DayResult)
    return result


def assert_noticed(
    script: Script,
    rule: str,
    seeds: t.Iterable[int],
    mutate: t.Callable[[pytest.MonkeyPatch], None],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Check that a day keeps a rule, and that some seed breaks it once mutated."""
    for seed in seeds:
        assert rule not in {item.rule for item in play(script, seed).breaches}
        with monkeypatch.context() as patch:
            mutate(patch)
            if rule in {item.rule for item in play(script, seed).breaches}:
                return
    pytest.fail(f"no seed breaks {rule} without the safeguard")
