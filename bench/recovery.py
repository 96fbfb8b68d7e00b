"""Measures how long the fleet takes to recover, in virtual time."""

import argparse
import json
import random
import typing as t

import anyio
import attrs
import structlog

from onyxgap.manifest import Priority
from onyxgap.manifest import Task
from onyxgap.ports import VmStatus
from onyxgap.shared.records import VmState
from onyxgap.standins.deployment import Deployment
from onyxgap.standins.examples import load_example
from onyxgap.standins.memory_platform import Faults
from onyxgap.standins.virtual import run_virtually

from .measure import ROOT

SETTLE_S = 8.0
POLL_S = 0.05
LIMIT_S = 60.0
ENTRIES = 9
CONTROLS = 9


def draw_work(service: str, job: str, rng: random.Random) -> float:
    """Draw a run time of 50 ms on average."""
    return rng.expovariate(20)


@attrs.define
class Trial:
    """One deployment at today's size.

    :param seed: seed.
    """

    seed: int
    deployment: Deployment = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        manifest, fleet = load_example(ROOT / "examples" / "pampa-lance")
        task = Task(
            "settle-lots", "live-bidding", Priority.URGENT, True, None, 8, 32, 600, 8
        )
        manifest = attrs.evolve(manifest, tasks=[*manifest.tasks, task])
        self.deployment = Deployment(manifest, fleet, draw_work, self.seed)

    async def play(self, measure: t.Callable[["Trial"], t.Awaitable[float]]) -> float:
        """Set the deployment up and measure one thing."""
        deployment = self.deployment
        async with anyio.create_task_group() as group:
            group.start_soon(deployment.network.run)
            for role, count in (("entry", ENTRIES), ("control", CONTROLS)):
                for number in range(1, count + 1):
                    group.start_soon(deployment.run_member, f"{role}-{number}", role)
            await anyio.sleep(1)
            await deployment.apply(deployment.manifest)
            await anyio.sleep(SETTLE_S + random.Random(self.seed).random())
            seconds = await measure(self)
            group.cancel_scope.cancel()
        return seconds

    async def wait_for(self, check: t.Callable[[], bool]) -> float:
        """Wait until something holds; returns the seconds it took."""
        started = anyio.current_time()
        with anyio.move_on_after(LIMIT_S):
            while not check():
                await anyio.sleep(POLL_S)
        return anyio.current_time() - started

    def newest(self) -> t.Any:
        """Pick the state of the member that knows most."""
        states = [r.parts.node.state for r in self.deployment.running.values()]
        return max(states, key=lambda state: state.sequence)

    async def apply_change(self) -> int:
        """Apply a manifest with one change."""
        manifest = attrs.evolve(self.deployment.manifest, maintenance_days=30)
        return await self.deployment.apply(manifest)

    def is_in_force(self, version: int) -> bool:
        """Tell whether a version is in force on every entry that serves."""
        return all(
            self.deployment.running[name].parts.version >= version
            for name in self.deployment.list_entry_processes()
        )


async def measure_roll_out(trial: Trial) -> float:
    """Measure the roll-out of one change."""
    started = anyio.current_time()
    version = await trial.apply_change()
    await trial.wait_for(lambda: trial.is_in_force(version))
    return anyio.current_time() - started


async def measure_slow_roll_out(trial: Trial) -> float:
    """Measure it with an entry frozen and 500 ms a platform call."""
    trial.deployment.freeze("entry-3")
    trial.deployment.platform.faults = Faults(delay_s=0.5)
    await anyio.sleep(3)
    return await measure_roll_out(trial)


async def measure_dead_control(trial: Trial) -> float:
    """Measure until a failed VM of a dead control's pool is dealt with."""
    deployment = trial.deployment
    owner = next(
        name
        for name, running in deployment.running.items()
        if running.role == "control" and running.parts.list_owned_pools()
    )
    pool = deployment.running[owner].parts.list_owned_pools()[0]
    vm = trial.newest().list_pool(pool)[0].name
    deployment.kill(owner)
    deployment.platform.set_status(vm, VmStatus.DOWN)
    return await trial.wait_for(
        lambda: trial.newest().vms[vm].state is not VmState.SERVING
    )


async def measure_lost_zone(trial: Trial) -> float:
    """Measure from the detection of a lost zone to its urgent tasks' new start."""
    deployment = trial.deployment
    for vm in list(deployment.platform.vms.values()):
        if vm.zone == "sur-a":
            deployment.platform.set_status(vm.name, VmStatus.DOWN)

    def is_detected() -> bool:
        return any(
            record.state is VmState.FAILED for record in trial.newest().vms.values()
        )

    def is_placed() -> bool:
        running = [
            attempt
            for attempt in trial.newest().attempts.values()
            if attempt.task == "settle-lots"
        ]
        vms = trial.newest().vms
        return len(running) == 8 and all(
            vms[attempt.vm].zone != "sur-a" for attempt in running
        )

    await trial.wait_for(is_detected)
    return await trial.wait_for(is_placed)


MEASURES: dict[str, tuple[float, t.Callable[[Trial], t.Awaitable[float]]]] = {
    "roll_out_s": (3.0, measure_roll_out),
    "roll_out_slow_s": (9.0, measure_slow_roll_out),
    "dead_control_s": (10.0, measure_dead_control),
    "lost_zone_s": (3.8, measure_lost_zone),
}


def main() -> None:
    """Print each measure over several seeds, beside what is wanted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    arguments = parser.parse_args()
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    for name, (wanted, measure) in MEASURES.items():
        seconds = [
            round(run_virtually(Trial(seed).play, measure), 2)
            for seed in range(1, arguments.seeds + 1)
        ]
        row = {"measure": name, "wanted_at_most": wanted, "seconds": seconds}
        print(json.dumps(row), flush=True)


if __name__ == "__main__":
    main()
