"""Faults of the platform's interface for VMs."""

import anyio

from .cloud import LIST_ONLY
from .cloud import ORDERS_ONLY
from .cloud import WHOLE_CLOUD
from .fault_targets import FaultPlayers
from .fault_targets import FaultTargets
from .script import FaultLine
from .vm_list import ListState
from .vm_orders import OrderHandling
from .vm_orders import VmOrderFault

_LIST_STATES = {
    "down": ListState.SILENT,
    "refuse": ListState.REFUSED,
    "old": ListState.OLD,
}
_ORDER_HANDLINGS = {
    "down": OrderHandling.SILENT,
    "refuse": OrderHandling.REFUSED,
    "late": OrderHandling.LATE,
    "disown": OrderHandling.DISOWNED,
}
CLOUD_PARTS = {"": WHOLE_CLOUD, "list": LIST_ONLY, "vm-orders": ORDERS_ONLY}
"""Parts of the interface that a node can be cut off from, by the name of the fault."""


async def disturb_list(day: FaultTargets, fault: FaultLine) -> None:
    """Have the platform answer requests for the list of VMs wrongly or not."""
    day.cloud.vm_list.set_state(_LIST_STATES[fault.verb])
    await anyio.sleep(fault.seconds)
    day.cloud.vm_list.set_state(ListState.TRUE)


async def disturb_vm_orders(day: FaultTargets, fault: FaultLine) -> None:
    """Have the platform not carry out orders about VMs, or late and unanswered."""
    item = VmOrderFault(_ORDER_HANDLINGS[fault.verb], fault.strength)
    day.cloud.vm_orders.present.append(item)
    await anyio.sleep(fault.seconds)
    day.cloud.vm_orders.present.remove(item)


async def disturb_cloud(day: FaultTargets, fault: FaultLine) -> None:
    """Have the platform answer neither requests for lists of VMs nor orders."""
    state = _LIST_STATES[fault.verb]
    day.cloud.vm_list.outages.append(state)
    await disturb_vm_orders(day, fault)
    day.cloud.vm_list.outages.remove(state)


async def hang_upkeep(day: FaultTargets, fault: FaultLine) -> None:
    """Have VMs that are maintained not return before the fault ends."""
    until = anyio.current_time() + fault.seconds
    day.cloud.upkeep_hangs_until = max(day.cloud.upkeep_hangs_until, until)


async def cut_holder(day: FaultTargets, fault: FaultLine) -> None:
    """Cut the fleet controller's node off from the interface for VMs only."""
    gate = day.find_slot(fault.target, fault.name).gate
    part = CLOUD_PARTS[fault.name]
    gate.cut_from.add(part)
    await anyio.sleep(fault.seconds)
    gate.cut_from.discard(part)


VM_INTERFACE_FAULTS: FaultPlayers = {
    ("down", "list"): disturb_list,
    ("refuse", "list"): disturb_list,
    ("old", "list"): disturb_list,
    ("down", "cloud"): disturb_cloud,
    ("refuse", "cloud"): disturb_cloud,
    ("down", "vm-orders"): disturb_vm_orders,
    ("refuse", "vm-orders"): disturb_vm_orders,
    ("late", "vm-orders"): disturb_vm_orders,
    ("disown", "upkeep"): disturb_vm_orders,
    ("hang", "upkeep"): hang_upkeep,
    ("cut", "holder"): cut_holder,
}
"""What plays each of these faults."""
