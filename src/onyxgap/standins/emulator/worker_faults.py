"""Faults of VMs, racks and the workers on them."""

import anyio

from ...jobs.store import RowId
from .cloud import WORKER_TABLE
from .fault_targets import FaultPlayers
from .fault_targets import FaultTargets
from .script import FaultLine
from .workers import Mood


async def crash_vm(day: FaultTargets, fault: FaultLine) -> None:
    """Crash a VM of a pool."""
    name = day.find_vm(fault.name)
    if name is not None:
        day.cloud.crash(name, fault.seconds)


async def halt_vm(day: FaultTargets, fault: FaultLine) -> None:
    """Take the power from a VM of a pool."""
    name = day.find_vm(fault.name)
    if name is not None:
        day.cloud.halt(name, fault.seconds)


async def cut_vm(day: FaultTargets, fault: FaultLine) -> None:
    """Cut a VM off from everything; it runs on."""
    name = day.find_vm(fault.name)
    if name is not None:
        day.cloud.cut(name, fault.seconds)


async def crash_rack(day: FaultTargets, fault: FaultLine) -> None:
    """Crash all VMs of a rack."""
    for name in day.find_rack(fault.name):
        day.cloud.crash(name, fault.seconds)


async def halt_rack(day: FaultTargets, fault: FaultLine) -> None:
    """Take the power from all VMs of a rack."""
    for name in day.find_rack(fault.name):
        day.cloud.halt(name, fault.seconds)


async def cut_rack(day: FaultTargets, fault: FaultLine) -> None:
    """Cut all VMs of a rack off from everything; they run on."""
    for name in day.find_rack(fault.name):
        day.cloud.cut(name, fault.seconds)


async def end_worker(day: FaultTargets, fault: FaultLine) -> None:
    """End the process of a worker whose VM stays up."""
    name = day.find_vm(fault.name)
    if name is not None:
        day.cloud.end_worker(name, fault.seconds)


async def rebear_vm(day: FaultTargets, fault: FaultLine) -> None:
    """Have a worker crash and start again under its id."""
    name = day.find_vm(fault.name)
    if name is not None:
        day.cloud.rebear(name, fault.seconds)


async def restart_vm(day: FaultTargets, fault: FaultLine) -> None:
    """Take the power from a VM; its worker starts again under its id."""
    name = day.find_vm(fault.name)
    if name is not None:
        day.cloud.restart(name, fault.seconds)


async def reboot_vm(day: FaultTargets, fault: FaultLine) -> None:
    """Restart a VM; its worker takes calls a while before it registers again."""
    name = day.find_vm(fault.name)
    if name is not None:
        day.cloud.reboot(name, fault.seconds, fault.strength)


async def refuse_orders(day: FaultTargets, fault: FaultLine) -> None:
    """Have a worker refuse new connections; hold requests go over open ones."""
    name = day.find_vm(fault.name)
    worker = None if name is None else day.cloud.get_worker(name)
    if worker is not None:
        worker.note_fault()
        worker.refusing = True
        await anyio.sleep(fault.seconds)
        worker.refusing = False


async def _set_mood(day: FaultTargets, fault: FaultLine, mood: Mood) -> None:
    name = day.find_vm(fault.name)
    worker = None if name is None else day.cloud.get_worker(name)
    if worker is not None:
        worker.set_mood(mood)
        await anyio.sleep(fault.seconds)
        worker.set_mood(Mood.SOUND)


async def fail_vm(day: FaultTargets, fault: FaultLine) -> None:
    """Have a worker fail everything that it starts."""
    await _set_mood(day, fault, Mood.FAILING)


async def hang_vm(day: FaultTargets, fault: FaultLine) -> None:
    """Have the tasks of a worker stand still."""
    await _set_mood(day, fault, Mood.HANGING)


async def shrink_vm(day: FaultTargets, fault: FaultLine) -> None:
    """Have a worker offer a share of its capacity."""
    name = day.find_vm(fault.name)
    if name is not None:
        await day.cloud.shrink(name, fault.strength, fault.seconds)


async def malform_rows(day: FaultTargets, fault: FaultLine) -> None:
    """Write malformed registrations, one of them over that of a running worker."""
    values = day.list_malformed_registrations(fault.name)
    rows = [RowId(WORKER_TABLE, "", f"other-{n}") for n in range(len(values))]
    for row, value in zip(rows, values, strict=True):
        day.store.put(row, value)
    name = day.find_vm(fault.name)
    worker = None if name is None else day.cloud.get_worker(name)
    if worker is not None:
        worker.note_fault()
        row = RowId(WORKER_TABLE, "", worker.entry.worker_id)
        day.store.put(row, values[-1])
    await anyio.sleep(fault.seconds)
    for row in rows:
        day.store.remove(row)
    if worker is not None and worker.alive:
        day.cloud.register(worker.entry)


async def overwrite_entry(day: FaultTargets, fault: FaultLine) -> None:
    """Write an entry of another writer under the ID of a running worker."""
    name = day.find_vm(fault.name)
    worker = None if name is None else day.cloud.get_worker(name)
    if worker is None:
        return
    day.cloud.register(day.cloud.build_foreign_entry(worker.entry))
    await anyio.sleep(fault.seconds)
    if worker.alive:
        day.cloud.register(worker.entry)


WORKER_FAULTS: FaultPlayers = {
    ("cut", "vm"): cut_vm,
    ("crash", "vm"): crash_vm,
    ("fail", "vm"): fail_vm,
    ("hang", "vm"): hang_vm,
    ("shrink", "vm"): shrink_vm,
    ("rebear", "vm"): rebear_vm,
    ("restart", "vm"): restart_vm,
    ("reboot", "vm"): reboot_vm,
    ("halt", "vm"): halt_vm,
    ("crash", "rack"): crash_rack,
    ("halt", "rack"): halt_rack,
    ("cut", "rack"): cut_rack,
    ("end", "worker"): end_worker,
    ("refuse", "vm"): refuse_orders,
    ("malform", "rows"): malform_rows,
    ("overwrite", "entry"): overwrite_entry,
}
"""What plays each of these faults."""
