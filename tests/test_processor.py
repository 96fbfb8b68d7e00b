"""Processor time of emulated nodes: nothing of a busy node goes on."""

import typing as t

import anyio
import anyio.lowlevel
import pytest

from onyxgap.daemons.lag import LoopLag
from onyxgap.standins.emulator.faults import FaultyDay
from onyxgap.standins.emulator.processor import SLICE_S
from onyxgap.standins.emulator.processor import Processor
from onyxgap.standins.emulator.processor import hold_busy_nodes
from onyxgap.standins.emulator.script import parse_script
from onyxgap.standins.emulator.slots import EmulatedClocks
from onyxgap.standins.virtual import run_virtually
from tests.emulated import play

DAY = """
nodes 3
pool ring vms 4
spare 1
load ring every 0.5 from 2 to 8 width 4 work 0.5 cpu 3
end 10
"""


def run_on(
    processor: Processor, run: t.Callable[[Processor], t.Awaitable[t.Any]]
) -> t.Any:
    """Run a process on a processor in virtual time and return its result."""

    async def main() -> t.Any:
        results = []

        async def process() -> None:
            results.append(await run(processor))

        with hold_busy_nodes():
            await processor.host(process)
        return results[0]

    return run_virtually(main)


def test_timer_of_a_busy_process_fires_once_it_is_free() -> None:
    async def sleep_beside_work(processor: Processor) -> float:
        processor.charge(0.4)
        await anyio.sleep(0.1)
        return anyio.current_time()

    assert run_on(Processor(), sleep_beside_work) == pytest.approx(0.4)
    assert run_on(Processor(cores=0.5), sleep_beside_work) == pytest.approx(0.8)


def test_steps_of_a_pass_take_time_in_proportion_to_their_number() -> None:
    async def count(processor: Processor) -> float:
        processor.count_steps(3000)
        await anyio.lowlevel.checkpoint()
        return anyio.current_time()

    processor = Processor(cores=0.5, step_cost_s=0.0001)
    assert run_on(processor, count) == pytest.approx(0.6)


def test_call_goes_on_elsewhere_and_its_answer_is_seen_late() -> None:
    async def call(processor: Processor) -> list[float]:
        moments = []

        async def answer() -> None:
            await anyio.sleep(0.1)
            moments.append(anyio.current_time())

        processor.charge(0.4)
        await processor.run_elsewhere(answer)
        return [*moments, anyio.current_time()]

    assert run_on(Processor(), call) == pytest.approx([0.1, 0.4])


def test_timeout_that_expired_meanwhile_fires_though_the_answer_had_come() -> None:
    async def call(processor: Processor) -> tuple[bool, float]:
        processor.charge(0.4)
        with anyio.move_on_after(0.3) as scope:
            await processor.run_elsewhere(lambda: anyio.sleep(0.1))
        return scope.cancelled_caught, anyio.current_time()

    assert run_on(Processor(), call) == (True, pytest.approx(0.4))


def test_process_on_a_shared_core_waits_whenever_it_wakes_up() -> None:
    async def sleep_twice(processor: Processor) -> float:
        await anyio.sleep(1.0)
        await anyio.sleep(1.0)
        return anyio.current_time()

    processor = Processor(slowness=11.0)
    waits_s = 2 * 10 * SLICE_S
    assert run_on(processor, sleep_twice) == pytest.approx(2.0 + waits_s)


def test_work_shows_as_lag_of_the_event_loop() -> None:
    async def watch(processor: Processor) -> float:
        lag = LoopLag(EmulatedClocks())
        with anyio.move_on_after(1.0):
            async with anyio.create_task_group() as group:
                group.start_soon(lag.watch)
                await anyio.sleep(0.25)
                processor.charge(0.5)
                await anyio.sleep_forever()
        return lag.highest_s

    assert run_on(Processor(), watch) == pytest.approx(0.45)


def test_ended_process_holds_nothing() -> None:
    async def main() -> float:
        processor = Processor()

        async def process() -> None:
            processor.charge(5.0)
            await anyio.sleep(1.0)

        with hold_busy_nodes(), anyio.CancelScope() as scope:
            async with anyio.create_task_group() as group:
                group.start_soon(processor.host, process)
                await anyio.sleep(2.0)
                processor.end()
                scope.cancel()
        return anyio.current_time()

    assert run_virtually(main) == pytest.approx(2.0)


def measure_lag(*statements: str) -> tuple[float, list[str]]:
    """Play a day; return the highest lag of a node, and the broken rules."""
    script = parse_script("costs", "\n".join([DAY, *statements]))

    async def main() -> tuple[float, list[str]]:
        day = FaultyDay(script, 1, finish_s=8.0)
        result = await day.play()
        lags = [slot.node.lag.highest_s for slot in day.slots if slot.node]
        return max(lags), [item.rule for item in result.breaches]

    found: tuple[float, list[str]] = run_virtually(main)
    return found


def test_nodes_whose_passes_take_time_lag() -> None:
    assert measure_lag() == (pytest.approx(0.0), [])
    lag_s, broken = measure_lag("pass-cost 0.02", "cores 0.5")
    assert lag_s >= 0.04
    assert broken == []


def test_nodes_on_shared_cores_lag_until_these_are_free_again() -> None:
    lag_s, broken = measure_lag("at 4 slow node all for 2 by 11")
    assert lag_s >= 10 * SLICE_S
    assert broken == []


def test_day_with_costs_is_the_same_each_time() -> None:
    script = parse_script(
        "costs", DAY + "pass-cost 0.01\nat 4 slow node all for 2 by 8"
    )
    assert play(script, 2).account == play(script, 2).account
