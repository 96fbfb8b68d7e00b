"""Maintenance waves: which VMs are due, and in which order they go."""

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


def find_due_at(record: VmRecord, pool: Pool, cycle_days: int) -> float:
    """Find when a VM's maintenance should start at the latest.

    Large pools start earlier, since their VMs go one after another.

    :param record: the VM.
    :param pool: its pool.
    :param cycle_days: every VM is maintained once in so many days.
    :returns: wall-clock seconds.
    """
    cycle_s = cycle_days * DAY_S
    lead_s = min(pool.size * LEAD_PER_VM_S, cycle_s * MAX_LEAD_SHARE)
    return record.maintained_at + cycle_s - lead_s


def is_overdue(record: VmRecord, cycle_days: int, wall: float) -> bool:
    """Tell whether a VM has missed its cycle.

    :param record: the VM.
    :param cycle_days: length of the cycle.
    :param wall: wall-clock seconds.
    """
    return wall > record.maintained_at + cycle_days * DAY_S


def find_halt(records: t.Sequence[VmRecord]) -> str:
    """Say why a wave has to halt, or return an empty string.

    :param records: VMs of the pool.
    """
    failed = sum(record.state is VmState.FAILED for record in records)
    if failed > FAILED_SHARE_LIMIT * len(records):
        return f"{failed} of {len(records)} VMs have failed"
    return ""


def order_wave(
    records: t.Sequence[VmRecord],
    pool: Pool,
    cycle_days: int,
    wall: float,
    count_tasks: t.Callable[[str], int],
) -> list[VmRecord]:
    """Order the VMs that are due: one zone at a time, rack by rack.

    :param records: VMs of the pool.
    :param pool: its declaration.
    :param cycle_days: length of the cycle.
    :param wall: wall-clock seconds.
    :param count_tasks: counts the running tasks of a VM; each would move.
    """
    due = [
        record
        for record in records
        if record.state is VmState.SERVING
        and wall >= find_due_at(record, pool, cycle_days)
    ]
    if not due:
        return []
    zone = _find_wave_zone(records) or _find_next_zone(due)
    wave = [record for record in due if record.zone == zone]

    def rank(record: VmRecord) -> tuple[str, int, float, str]:
        tasks = count_tasks(record.name)
        return record.rack, tasks, record.maintained_at, record.name

    return sorted(wave, key=rank)


def _find_next_zone(due: t.Iterable[VmRecord]) -> str:
    # the zone with the fewest left has been begun and is finished first
    counts = collections.Counter(record.zone for record in due)
    return min(counts, key=lambda zone: (counts[zone], zone))


def _find_wave_zone(records: t.Iterable[VmRecord]) -> str | None:
    zones = [
        record.zone
        for record in records
        if record.purpose is Purpose.MAINTENANCE
        and record.state in (VmState.DRAINING, VmState.DOWN)
    ]
    return min(zones, default=None)
