"""Faults of nodes: killed, stopped, frozen, cut off, deaf."""

import anyio

from .fault_targets import FaultPlayers
from .fault_targets import FaultTargets
from .script import FaultLine


async def kill_one(day: FaultTargets, fault: FaultLine) -> None:
    """Kill the node that owns a shard; it starts again later."""
    await day.restart([day.find_slot(fault.target, fault.name)], fault.seconds)


async def kill_all(day: FaultTargets, fault: FaultLine) -> None:
    """Kill every node at once; all start again later."""
    await day.restart(day.slots, fault.seconds)


async def freeze_one(day: FaultTargets, fault: FaultLine) -> None:
    """Have a node stand still at its calls."""
    slot = day.find_slot(fault.target, fault.name)
    gate = slot.gate
    day.record_disturbance(slot.name, fault.seconds)
    gate.freeze()
    await anyio.sleep(fault.seconds)
    gate.thaw()


async def stop_one(day: FaultTargets, fault: FaultLine) -> None:
    """Stop a node as planned; it starts again later."""
    slot = day.find_slot(fault.target, fault.name)
    day.record_disturbance(slot.name, fault.seconds)
    if slot.node is not None:
        with anyio.move_on_after(2.0):
            await slot.node.release()
    await day.restart([slot], fault.seconds)


async def cut_one(day: FaultTargets, fault: FaultLine) -> None:
    """Cut a node off from the store."""
    slot = day.find_slot(fault.target, fault.name)
    gate = slot.gate
    day.record_disturbance(slot.name, fault.seconds)
    gate.cut_from.add("store")
    await anyio.sleep(fault.seconds)
    gate.cut_from.discard("store")


async def deafen_nodes(day: FaultTargets, fault: FaultLine) -> None:
    """Have the feeds of a share of the nodes hear nothing for a while."""
    await _deafen(day, day.draw_nodes(fault.strength), fault)


async def deafen_one(day: FaultTargets, fault: FaultLine) -> None:
    """Have the feeds of the node with a role hear nothing for a while."""
    await _deafen(day, {day.find_slot(fault.target, fault.name).name}, fault)


async def _deafen(day: FaultTargets, names: set[str], fault: FaultLine) -> None:
    now = anyio.current_time()
    day.tenancy.deaf.append((now, now + fault.seconds))
    for name in names:
        day.record_disturbance(name, fault.seconds)
    day.store.deaf_nodes |= names
    await anyio.sleep(fault.seconds)
    day.store.deaf_nodes -= names


async def refuse_node(day: FaultTargets, fault: FaultLine) -> None:
    """Have the store turn a share of the nodes away."""
    names = day.draw_nodes(fault.strength)
    day.store.refusing |= names
    await anyio.sleep(fault.seconds)
    day.store.refusing -= names


async def split_workers(day: FaultTargets, fault: FaultLine) -> None:
    """Let the owner of a shard reach one worker, and the other nodes the others."""
    name = day.find_vm(fault.name)
    if name is None:
        return
    owner = day.find_slot("owner", fault.name)
    addresses = {f"{vm.name}:1" for vm in day.cloud.vms.values()}
    near = f"{name}:1"
    cuts = [
        (slot.gate, addresses - {near} if slot is owner else {near})
        for slot in day.slots
    ]
    for gate, cut in cuts:
        gate.cut_from |= cut
    await anyio.sleep(fault.seconds)
    for gate, cut in cuts:
        gate.cut_from -= cut


NODE_FAULTS: FaultPlayers = {
    ("kill", "owner"): kill_one,
    ("kill", "holder"): kill_one,
    ("kill", "node"): kill_one,
    ("kill", "all"): kill_all,
    ("freeze", "owner"): freeze_one,
    ("freeze", "holder"): freeze_one,
    ("stop", "owner"): stop_one,
    ("stop", "holder"): stop_one,
    ("cut", "owner"): cut_one,
    ("deaf", "node"): deafen_nodes,
    ("refuse", "node"): refuse_node,
    ("deaf", "holder"): deafen_one,
    ("deaf", "owner"): deafen_one,
    ("split", "workers"): split_workers,
}
"""What plays each of these faults."""
