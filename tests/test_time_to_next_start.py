"""Time from a loss to the next start of what waits: one budget for every loss."""

import pytest

from onyxgap.standins.emulator.faults import FaultyDay
from onyxgap.standins.emulator.script import parse_script
from onyxgap.standins.emulator.start_delays import StartDelay
from onyxgap.standins.emulator.start_delays import measure_start_delays
from onyxgap.standins.virtual import run_virtually

BUDGET_S = 3.0
"""Time within which a task starts again after a loss, for jobs and serving tasks."""
FINISH_S = 6.0
SEEDS = (1, 2, 3)

DAY = """
nodes 5
pool ring vms 6 cores 16 memory 32
pool herd vms 6 cores 16 memory 32
spare 4
serve ring tasks 4 cpu 5 memory 20 per-vm 1 may-miss 1
serve herd tasks 4 cpu 5 memory 20 per-vm 1 may-miss 1
load ring every 0.8 from 3 to 24 width 3 work 0.5 cpu 3 memory 4
load herd every 0.8 from 3 to 24 width 3 work 0.5 cpu 3 memory 4
turns 5
end 26
"""
LOSS_S = 15.0
REFUSED = "at 12.5 refuse vm-orders for 20"
UNANSWERED = "at 12.5 down vm-orders for 20"
VMS_CRASHED = ("at 15 crash vm ring for 30", "at 15 crash vm herd for 30")
LOSSES = {
    "vm-crashed": ("at 15 crash vm ring for 30",),
    "vm-halted": ("at 15 halt vm ring for 30",),
    "rack-crashed": ("at 15 crash rack ring for 30",),
    "rack-halted": ("at 15 halt rack ring for 30",),
    "rack-cut": ("at 15 cut rack ring for 8",),
    "owner-killed": ("at 15 kill owner ring for 4",),
    "holder-killed": ("at 15 kill holder for 4",),
    "owner-and-holder-killed": (
        "at 15 kill owner ring for 4",
        "at 15 kill holder for 4",
    ),
    "orders-refused-and-vms-crashed": (REFUSED, *VMS_CRASHED),
    "orders-unanswered-and-vms-crashed": (UNANSWERED, *VMS_CRASHED),
}
STORE_AWAY = "at 12 down store for 3"
"""An outage of the store; nothing starts before its end, which counts as the loss."""


def list_late_starts(*statements: str, seed: int) -> list[StartDelay]:
    """Play a day and list the waits that are over the budget."""
    script = parse_script("loss", "\n".join([DAY, *statements]))

    async def main() -> list[StartDelay]:
        day = FaultyDay(script, seed, finish_s=FINISH_S)
        await day.play()
        evidence = day.collect_evidence()
        return measure_start_delays(evidence, LOSS_S, script.end_s + FINISH_S)

    delays = run_virtually(main)
    assert delays
    return [delay for delay in delays if delay.seconds >= BUDGET_S]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("loss", LOSSES)
def test_next_start_comes_soon_after_a_loss(loss: str, seed: int) -> None:
    assert list_late_starts(*LOSSES[loss], seed=seed) == []


@pytest.mark.parametrize("seed", SEEDS)
def test_next_start_comes_soon_after_an_outage_of_the_store(seed: int) -> None:
    assert list_late_starts(STORE_AWAY, seed=seed) == []
