"""Shared fixtures, and builders of deployments of the examples."""

import pathlib
import random

import pytest
import structlog

from bench.naive import NAIVE_BUILDERS
from bench.naive import apply_naively
from onyxgap.standins.deployment import Deployment
from onyxgap.standins.examples import load_example
from onyxgap.standins.promises import Breach
from onyxgap.standins.scenario import parse_scenario
from onyxgap.standins.stage import Stage
from onyxgap.standins.virtual import run_virtually

pytest_plugins = ["tests.known_red"]

ROOT = pathlib.Path(__file__).parent.parent
EXAMPLES = ROOT / "examples"
SCENARIOS = ROOT / "tests" / "scenarios"


def draw_work(service: str, job: str, rng: random.Random) -> float:
    """Draw an exponential run time, of mean 2 s for bulk jobs and 50 ms for others."""
    mean = 2.0 if job in ("rebuild", "reconcile", "export") else 0.05
    return rng.expovariate(1 / mean)


def build_deployment(example: str, naive: bool = False, seed: int = 1) -> Deployment:
    """Build a deployment of an example, with onyxgap or with the naive baseline."""
    manifest, fleet = load_example(EXAMPLES / example)
    deployment = Deployment(manifest, fleet, draw_work, seed)
    if naive:
        deployment.builders = NAIVE_BUILDERS
        deployment.apply_with = apply_naively
    return deployment


def play_scenario(name: str, naive: bool, seed: int = 1) -> tuple[Stage, list[Breach]]:
    """Run a scenario file in virtual time and return its stage and breaches."""
    scenario = parse_scenario((SCENARIOS / f"{name}.scn").read_text())
    stage = Stage(scenario, build_deployment(scenario.example, naive, seed))
    return stage, run_virtually(stage.play)


@pytest.fixture(autouse=True)
def quiet_logs() -> None:
    """Discard log lines instead of writing them to the output of the tests."""
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
