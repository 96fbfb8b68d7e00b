"""Faults of the store, and of answers to calls."""

import anyio

from .fault_targets import FaultPlayers
from .fault_targets import FaultTargets
from .script import FaultLine


async def slow_store(day: FaultTargets, fault: FaultLine) -> None:
    """Make each call to the store slower."""
    day.store.slowness = fault.strength
    await anyio.sleep(fault.seconds)
    day.store.slowness = 1.0


async def stop_store(day: FaultTargets, fault: FaultLine) -> None:
    """Have the store give no answer."""
    day.store.down = True
    await anyio.sleep(fault.seconds)
    day.store.down = False


async def lose_answers(day: FaultTargets, fault: FaultLine) -> None:
    """Lose answers of the store or of workers."""
    link = day.store.link if fault.target == "store" else day.workers.link
    link.lose_share = fault.strength
    await anyio.sleep(fault.seconds)
    link.lose_share = 0.0


async def delay_calls(day: FaultTargets, fault: FaultLine) -> None:
    """Have writes, orders or hold requests be carried out seconds late."""
    workers = day.workers
    links = {
        "store": day.store.link,
        "orders": workers.link,
        "holds": workers.hold_link,
    }
    link = links[fault.target]
    link.late_share = fault.strength
    await anyio.sleep(fault.seconds)
    link.late_share = 0.0


async def forget_history(day: FaultTargets, fault: FaultLine) -> None:
    """Drop the store's history."""
    day.store.forget_history()


async def deafen_feeds(day: FaultTargets, fault: FaultLine) -> None:
    """Have the store's feeds hear nothing, then drop its history."""
    now = anyio.current_time()
    day.tenancy.deaf.append((now, now + fault.seconds))
    await day.store.deafen(fault.seconds)


async def refuse_writes(day: FaultTargets, fault: FaultLine) -> None:
    """Have the store refuse the writes of the owner of a shard."""
    slot = day.find_slot("owner", fault.name)
    day.record_disturbance(slot.name, fault.seconds)
    day.store.refusing_writes.add(slot.name)
    await anyio.sleep(fault.seconds)
    day.store.refusing_writes.discard(slot.name)


STORE_FAULTS: FaultPlayers = {
    ("slow", "store"): slow_store,
    ("down", "store"): stop_store,
    ("lose", "store"): lose_answers,
    ("late", "store"): delay_calls,
    ("forget", "store"): forget_history,
    ("deaf", "store"): deafen_feeds,
    ("late", "orders"): delay_calls,
    ("late", "holds"): delay_calls,
    ("lose", "orders"): lose_answers,
    ("refuse", "writes"): refuse_writes,
}
"""What plays each of these faults."""
