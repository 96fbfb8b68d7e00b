"""Selects and orders the VMs of a maintenance wave; halts it on too many failures."""

import collections
import typing as t

from ..manifest import Pool
from ..shared.events import Purpose
from ..shared.records import VmRecord
from ..shared.records import VmState

DAY_S = 86_400.0
LEAD_PER_VM_S = 1_200.0
MAX_LEAD_SHARE = 0.5
FAILED_SHARE_LIMIT = 0.1


def get_maintenance_start(record: VmRecord, pool: Pool, cycle_days: int) -> float:
    """Find the latest time at which a VM's maintenance should start.

    The lead time grows with the size of the pool, since its VMs are maintained
    one after another.

    :param record: the VM.
    :param pool: its pool.
    :param cycle_days: maintenance cycle in days; each VM is maintained once per cycle.
    :returns: wall-clock time in seconds.
    """
    cycle_s = cycle_days * DAY_S
    lead_s = min(pool.size * LEAD_PER_VM_S, cycle_s * MAX_LEAD_SHARE)
    return record.maintained_at + cycle_s - lead_s


def is_overdue(record: VmRecord, cycle_days: int, wall: float) -> bool:
    """Whether a VM was not maintained within the last cycle.

    :param record: the VM.
    :param cycle_days: maintenance cycle in days.
    :param wall: wall-clock time in seconds.
    """
    return wall > record.maintained_at + cycle_days * DAY_S


def get_halt_reason(records: t.Sequence[VmRecord]) -> str:
    """Explain why a maintenance wave must halt.

    :param records: VMs of the pool.
    :returns: the reason, or an empty string if the wave may go on.
    """
    failed = sum(record.state is VmState.FAILED for record in records)
    if failed > FAILED_SHARE_LIMIT * len(records):
        return f"{failed} of {len(records)} VMs have failed"
    return ""


def select_maintenance_wave(
    records: t.Sequence[VmRecord],
    pool: Pool,
    cycle_days: int,
    wall: float,
    count_tasks: t.Callable[[str], int],
) -> list[VmRecord]:
    """List the VMs due for maintenance in one zone, in the order to take them.

    Only one zone is maintained at a time, rack by rack. Within a rack, VMs with
    fewer tasks come first.

    :param records: VMs of the pool.
    :param pool: the declared pool.
    :param cycle_days: maintenance cycle in days.
    :param wall: wall-clock time in seconds.
    :param count_tasks: returns the number of running tasks of a VM, all of which
        have to move when it is drained.
    """
    due = [
        record
        for record in records
        if record.state is VmState.SERVING
        and wall >= get_maintenance_start(record, pool, cycle_days)
    ]
    if not due:
        return []
    zone = _find_active_zone(records) or _find_next_zone(due)
    wave = [record for record in due if record.zone == zone]

    def get_sort_key(record: VmRecord) -> tuple[str, int, float, str]:
        tasks = count_tasks(record.name)
        return record.rack, tasks, record.maintained_at, record.name

    return sorted(wave, key=get_sort_key)


def _find_next_zone(due: t.Iterable[VmRecord]) -> str:
    # The zone with the fewest due VMs is taken to be partly done; finish it first.
    counts = collections.Counter(record.zone for record in due)
    return min(counts, key=lambda zone: (counts[zone], zone))


def _find_active_zone(records: t.Iterable[VmRecord]) -> str | None:
    zones = [
        record.zone
        for record in records
        if record.purpose is Purpose.MAINTENANCE
        and record.state in (VmState.DRAINING, VmState.DOWN)
    ]
    return min(zones, default=None)
