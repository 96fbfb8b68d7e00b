"""Plays days of the emulator for tests."""

from onyxgap.standins.emulator.day import DayResult
from onyxgap.standins.emulator.faults import draw_faults
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
