"""What a day could have cost, had its jobs and their run times been known before.

The plan starts every job when it arrives and has exactly the VMs that its tasks fill,
ordered as early as a move takes. It is a yardstick for policies, not a policy: what a
policy loses against it is what not knowing costs.
"""

import math
import typing as t

import attrs

from .checks import Evidence
from .cloud import MOVE_S
from .job_notes import JobNotes

GRID_S = 0.1
"""Resolution of the plan; tasks take 0.6 s and more."""
MOVE_COST_S = 1.2
"""VM seconds that a move costs; see ``pools/sizing.py``."""
ACCEPT_S = 0.02
"""From a caller's request to the first start, and from the last end to the state that
the caller is shown: a transaction each."""
BREAK_EVEN_S = MOVE_S + 2 * MOVE_COST_S
"""A VM that is wanted again within this time is kept: giving it back costs two moves,
and it is paid while it moves."""


class Use(t.NamedTuple):
    """Time in which a task fills a part of a VM.

    :param pool: its pool.
    :param start: seconds.
    :param end: seconds.
    :param share: part of a VM.
    """

    pool: str
    start: float
    end: float
    share: float


@attrs.frozen
class Plan:
    """What the plan gives callers, and what it takes.

    :param in_time: jobs that end within their objective.
    :param late: jobs that cannot, however early they start.
    :param vm_s: seconds of VMs in pools.
    :param moves: moves of VMs.
    :param short_s: seconds in which all VMs together would not do; what the plan
        gives is out of reach then.
    """

    in_time: int
    late: int
    vm_s: float
    moves: int
    short_s: float


def list_uses(evidence: Evidence, vm_cpu: t.Mapping[str, int], end: float) -> list[Use]:
    """List when each task would run if each job started as it arrives.

    :param evidence: what happened on the day.
    :param vm_cpu: thousandths of a core of a VM, by pool.
    :param end: end of the day in seconds.
    """
    uses: list[Use] = []
    for notes in evidence.callers.jobs.values():
        if notes.accepted_at is None or notes.cancelled_at is not None:
            continue
        if notes.is_scheduled():
            continue
        pool = notes.submission.policy.service
        start = notes.sent_at + ACCEPT_S
        for number, step in enumerate(notes.submission.steps):
            share = step.cpu / vm_cpu[pool]
            works = _list_works(notes, number)
            if step.long_running:
                works = [end - start] * step.count
            uses += [Use(pool, start, start + work_s, share) for work_s in works]
            start += max(works)
    return uses


def _list_works(notes: JobNotes, number: int) -> list[float]:
    step = notes.submission.steps[number]
    estimate_s = step.estimate_ms / 1000
    # a task that never started has no drawn run time
    drawn = [work_s for task, work_s in notes.work_s.items() if task.step == number]
    return drawn + [estimate_s] * (step.count - len(drawn))


def measure_chain(notes: JobNotes) -> float:
    """Measure the longest chain of a job's run times, in seconds."""
    return sum(
        max(_list_works(notes, number)) for number in range(len(notes.submission.steps))
    )


def build_profile(uses: t.Iterable[Use], pool: str, end: float) -> list[int]:
    """Give the VMs that a pool's tasks fill, for each moment of the grid.

    :param uses: uses of all pools.
    :param pool: the pool.
    :param end: end of the day in seconds.
    """
    shares = [0.0] * (math.ceil(end / GRID_S) + 1)
    for use in uses:
        if use.pool != pool:
            continue
        first, last = int(use.start / GRID_S), math.ceil(min(use.end, end) / GRID_S)
        for moment in range(first, last):
            shares[moment] += use.share
    return [math.ceil(round(share, 6)) for share in shares]


def list_stays(profile: t.Sequence[int], level: int) -> list[tuple[int, int]]:
    """List when the VM of a level is in the pool, in moments of the grid.

    Gaps that are shorter than what giving it back costs are stayed through.

    :param profile: VMs needed at each moment.
    :param level: number of the VM, from 1.
    """
    gap = BREAK_EVEN_S / GRID_S
    stays: list[tuple[int, int]] = []
    for moment, needed in enumerate(profile):
        if needed < level:
            continue
        if stays and moment - stays[-1][1] <= gap:
            stays[-1] = (stays[-1][0], moment + 1)
        else:
            stays.append((moment, moment + 1))
    return stays


def _bill_pool(profile: t.Sequence[int], base: int) -> tuple[float, int]:
    """Give VM seconds and moves of a pool that begins with some VMs."""
    vm_s, moves = 0.0, 0
    for level in range(1, max(max(profile), base) + 1):
        stays = list_stays(profile, level)
        present = level <= base
        if present and not stays:
            moves += 1
        for start, stop in stays:
            early = present and start <= BREAK_EVEN_S / GRID_S
            vm_s += (stop - (0 if early else start)) * GRID_S
            if not early:
                vm_s += MOVE_S
                moves += 1 + present
            present = False
            moves += stop < len(profile) - 1
    return vm_s, moves


def plan_in_hindsight(
    evidence: Evidence,
    vm_cpu: t.Mapping[str, int],
    base: t.Mapping[str, int],
    vms: int,
    end: float,
) -> Plan:
    """Plan a finished day anew with all that is known of it now.

    :param evidence: what happened.
    :param vm_cpu: thousandths of a core of a VM, by pool.
    :param base: VMs of each pool in the beginning.
    :param vms: all VMs, spare ones among them.
    :param end: end of the day in seconds.
    """
    uses = list_uses(evidence, vm_cpu, end)
    profiles = {pool: build_profile(uses, pool, end) for pool in base}
    bills = [_bill_pool(profile, base[pool]) for pool, profile in profiles.items()]
    short = sum(sum(needs) > vms for needs in zip(*profiles.values(), strict=True))
    owed = [
        notes
        for notes in evidence.callers.jobs.values()
        if notes.cancelled_at is None
        and not notes.submission.steps[0].long_running
        and not notes.is_scheduled()
    ]
    in_time = sum(
        measure_chain(notes) + 2 * ACCEPT_S <= notes.objective_s for notes in owed
    )
    return Plan(
        in_time,
        len(owed) - in_time,
        round(sum(vm_s for vm_s, _ in bills), 1),
        sum(moves for _, moves in bills),
        round(short * GRID_S, 1),
    )
