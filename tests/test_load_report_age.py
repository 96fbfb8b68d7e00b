"""Guards against counts of waiting jobs that are older than they are taken for.

Each test holds the order of events: the owner of a shard counts its jobs and is killed,
jobs are accepted that it never counts, and a node that reads the owner's last row late
is asked for the number of waiting jobs.
"""

import typing as t

import anyio
import attrs
import pytest

from onyxgap.jobs.shard import Shard
from onyxgap.jobs.store_clock import ClockReading
from onyxgap.standins.emulator.count_callers import CountAnswer
from onyxgap.standins.emulator.disturbances import DisturbanceLog
from onyxgap.standins.emulator.faults import FaultyDay
from onyxgap.standins.emulator.gate import Link
from onyxgap.standins.emulator.route_history import build_prefix
from onyxgap.standins.emulator.script import parse_script
from onyxgap.standins.emulator.slots import NodeSlot
from onyxgap.standins.emulator.waiting_checks import check_counts
from onyxgap.standins.virtual import run_virtually

from .exchanges import ManualClocks
from .owners import build_owner

STORE_MS = 50_000
SHARD = "ring"
OTHER_SHARD = "herd"
QUEUE = "queue-ring"
DAY = """
nodes 3
pool ring vms 1
pool herd vms 1
load ring every 0.05 from 8 to 9.4 width 1 work 8 cpu 30
end 10
"""
SHARD_OWNED_AT = 6.0
"""Time at which the shard has an owner that has renewed its row."""
FAULT_AT = 7.0
OWNER_KILLED_AT = 8.0
JOBS_ACCEPTED_AT = 9.5
"""Time before which jobs are accepted. Until then, no other node claims the shard."""
RESTARTED_AT = 15.0
NODES_KILLED_AFTER_S = 0.1
FIRST_READING_S = 0.2
"""Time in which a node that starts reads its configuration and the owner rows."""
ASKED_FOR_S = 3.0
ASK_INTERVAL_S = 0.05


@attrs.define
class HeldLink(Link):
    """A link whose calls are carried out late while a delay is set."""

    held_s: float = 0.0

    def draw_late(self) -> float:
        return self.held_s


@attrs.define(eq=False)
class HeldDay(FaultyDay):
    """A day whose steps are given by a test."""

    answers: list[CountAnswer] = attrs.field(factory=list)

    def assign_nodes(self) -> tuple[NodeSlot, NodeSlot, NodeSlot]:
        """Return the shard's owner, if possible the other shard's, and the third."""
        (owner,) = (slot for slot in self.slots if self.owns(slot, SHARD))
        others = [slot for slot in self.slots if slot is not owner]
        others.sort(key=lambda slot: not self.owns(slot, OTHER_SHARD))
        return owner, others[0], others[1]

    @staticmethod
    def owns(slot: NodeSlot, shard: str) -> bool:
        return slot.node is not None and shard in slot.node.owners

    def move_queue(self) -> None:
        """Move the queue to the other shard."""
        self.routes.services[build_prefix(SHARD)] = OTHER_SHARD
        self._configure()

    def start(self, slot: NodeSlot) -> None:
        assert self._group is not None
        self._group.start_soon(slot.run)

    async def kill_owner(self, owner: NodeSlot, accepting: NodeSlot) -> None:
        """Kill the owner, and a node that accepts jobs before it claims the shard."""
        await anyio.sleep_until(OWNER_KILLED_AT)
        owner.kill()
        await anyio.sleep_until(JOBS_ACCEPTED_AT)
        accepting.kill()

    async def ask(self, slot: NodeSlot) -> None:
        """Ask a node for the count every :data:`ASK_INTERVAL_S`."""
        route = self._get_route(SHARD)
        end = anyio.current_time() + ASKED_FOR_S
        while anyio.current_time() < end:
            sent_at = anyio.current_time()
            count = await slot.count_waiting(route, "")
            if isinstance(count, int):
                now = anyio.current_time()
                self.answers.append(CountAnswer(slot.name, QUEUE, sent_at, now, count))
            await anyio.sleep(ASK_INTERVAL_S)

    def list_wrong(self, answers: t.Iterable[CountAnswer]) -> list[str]:
        """List the counts that omit jobs, also those of nodes that were disturbed."""
        jobs, records = self.callers.jobs, self.workers.records
        breaches = check_counts(answers, jobs, records, DisturbanceLog())
        return [breach.detail for breach in breaches]


Steps = t.Callable[[HeldDay], t.Awaitable[None]]


def play_steps(steps: Steps) -> HeldDay:
    day = HeldDay(parse_script("held", DAY), 1)
    run_virtually(_play_steps, day, steps)
    return day


async def _play_steps(day: HeldDay, steps: Steps) -> None:
    async with anyio.create_task_group() as group:
        group.start_soon(day.play)
        await anyio.sleep(SHARD_OWNED_AT)
        await steps(day)
        group.cancel_scope.cancel()


async def start_again(day: HeldDay) -> None:
    owner, asked, accepting = day.assign_nodes()
    await day.kill_owner(owner, accepting)
    asked.kill()
    await anyio.sleep_until(RESTARTED_AT)
    day.start(asked)
    await day.ask(asked)


async def lose_the_store(day: HeldDay) -> None:
    owner, asked, accepting = day.assign_nodes()
    await anyio.sleep_until(FAULT_AT)
    asked.gate.cut_from.add("store")
    await day.kill_owner(owner, accepting)
    await anyio.sleep_until(RESTARTED_AT)
    asked.gate.cut_from.discard("store")
    await day.ask(asked)


async def stand_still(day: HeldDay) -> None:
    owner, asked, accepting = day.assign_nodes()
    await anyio.sleep_until(FAULT_AT)
    asked.gate.freeze()
    await day.kill_owner(owner, accepting)
    await anyio.sleep_until(RESTARTED_AT)
    asked.gate.thaw()
    await day.ask(asked)


async def read_a_late_renewal(day: HeldDay) -> None:
    owner, asked, accepting = day.assign_nodes()
    link = HeldLink(day.store.link.delay_s, day.rng)
    day.store.link = link
    await anyio.sleep_until(FAULT_AT)
    link.held_s = 6.0
    await anyio.sleep_until(OWNER_KILLED_AT)
    link.held_s = 0.0
    await day.kill_owner(owner, accepting)
    asked.kill()
    await anyio.sleep_until(12.0)
    day.start(asked)
    await anyio.sleep_until(13.0)
    await day.ask(asked)


async def start_again_after_a_move_of_the_queue(day: HeldDay) -> None:
    owner, asked, accepting = day.assign_nodes()
    assert day.owns(asked, OTHER_SHARD)
    await day.kill_owner(owner, accepting)
    day.move_queue()
    await anyio.sleep(NODES_KILLED_AFTER_S)
    asked.kill()
    await anyio.sleep_until(RESTARTED_AT)
    day.start(asked)
    await day.ask(asked)


@pytest.mark.parametrize(
    "steps",
    [
        start_again,
        start_again_after_a_move_of_the_queue,
        lose_the_store,
        stand_still,
        read_a_late_renewal,
    ],
)
def test_last_count_of_a_killed_owner_is_not_taken_for_a_new_one(steps: Steps) -> None:
    day = play_steps(steps)
    times = [13.0 + ASK_INTERVAL_S * number for number in range(60)]
    zeros = [CountAnswer("", QUEUE, time, time, 0) for time in times]
    assert day.list_wrong(zeros), "no job waits long enough to be counted"
    assert not day.list_wrong(day.answers)


async def start_beside_the_owner(day: HeldDay) -> None:
    _, asked, _ = day.assign_nodes()
    asked.kill()
    await anyio.sleep_until(FAULT_AT)
    day.start(asked)
    await anyio.sleep(FIRST_READING_S)
    await day.ask(asked)


def test_count_of_a_running_owner_is_known_from_the_first_reading() -> None:
    day = play_steps(start_beside_the_owner)
    first = day.answers[0]
    assert first.sent_at < FAULT_AT + FIRST_READING_S + ASK_INTERVAL_S


def test_pause_while_the_owner_counts_does_not_make_its_count_younger(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clocks = ManualClocks()
    workers: t.Any = None
    owner = build_owner(workers, clocks)
    reading = ClockReading(STORE_MS, clocks.now, clocks.now)
    owner.context.health.store_clock.observe(reading)

    def pause(state: Shard) -> dict[str, int]:
        clocks.now += 4.0
        return {}

    monkeypatch.setattr(Shard, "count_waiting", pause)
    counted_at_ms = owner._measure_load(clocks.now).counted_at_ms
    assert counted_at_ms is not None
    assert counted_at_ms <= STORE_MS
