"""Fixtures that the tests share."""

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
    """Draw a run time: bulk jobs take seconds, others tens of milliseconds."""
    mean = 2.0 if job in ("rebuild", "reconcile", "export") else 0.05
    return rng.expovariate(1 / mean)


def build_deployment(example: str, naive: bool = False, seed: int = 1) -> Deployment:
    """Build a deployment of an example, ours or the naive one."""
    manifest, fleet = load_example(EXAMPLES / example)
    deployment = Deployment(manifest, fleet, draw_work, seed)
    if naive:
        deployment.builders = NAIVE_BUILDERS
        deployment.apply_with = apply_naively
    return deployment


def play_scenario(name: str, naive: bool, seed: int = 1) -> tuple[Stage, list[Breach]]:
    """Play a scenario file and return its stage and breaches."""
    scenario = parse_scenario((SCENARIOS / f"{name}.scn").read_text())
    stage = Stage(scenario, build_deployment(scenario.example, naive, seed))
    return stage, run_virtually(stage.play)


@pytest.fixture(autouse=True)
def quiet_logs() -> None:
    """Keep log lines out of the tests' output."""
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())


@pytest.fixture
def example_folder() -> pathlib.Path:
    """Folder of the first example."""
    return EXAMPLES / "pampa-lance"
