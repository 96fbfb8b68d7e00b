"""Days of the emulator on which ended jobs are removed soon."""

import pytest

from onyxgap.daemons import owner as owner_module
from onyxgap.standins.emulator.script import parse_script
from tests.emulated import DAYS
from tests.emulated import play

FAULTS = """
at 5 slow store for 8 by 30
at 8 kill owner ring for 1
at 8 kill owner herd for 1
at 11 kill owner ring for 1
at 11 kill owner herd for 1
"""


def test_removed_job_does_not_run_again_under_the_next_owner(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(owner_module, "RETENTION_FACTOR", 0.02)
    # a request that is sent again after so short a retention would be a new job
    day = (DAYS / "short.day").read_text().replace(" resend 0.2", "")
    for seed in range(1, 4):
        breaches = play(parse_script("short", day + FAULTS), seed).breaches
        assert [item for item in breaches if item.rule == "twice"] == []
