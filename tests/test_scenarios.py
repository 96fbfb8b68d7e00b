"""Each promise in scripted scenarios: ours keeps it, the naive version breaks it."""

import pytest

from tests.conftest import SCENARIOS
from tests.conftest import play_scenario

NAMES = sorted(path.stem for path in SCENARIOS.glob("*.scn"))


@pytest.mark.parametrize("name", NAMES)
def test_promise_is_kept(name: str) -> None:
    stage, breaches = play_scenario(name, naive=False)
    assert breaches == []
    answered = [call for call in stage.deployment.calls if call.answer]
    assert len(answered) > 0.9 * len(stage.deployment.calls) > 0


@pytest.mark.parametrize("name", NAMES)
def test_naive_version_breaks_promise(name: str) -> None:
    stage, breaches = play_scenario(name, naive=True)
    assert stage.scenario.promise in {breach.promise for breach in breaches}
