"""Checks of a finished day: which rules were broken, and what callers got."""

import collections
import itertools
import math
import typing as t

import attrs

from ...jobs.amounts import Amount
from ...jobs.amounts import get_task_amount
from ...jobs.desk import SubmitOutcome
from ...jobs.messages import JobState
from ...jobs.messages import TaskId
from ...jobs.tenants import KeyRejection
from ...pools.messages import VmActionKind
from ...pools.messages import Wave
from .breach import Breach
from .callers import Callers
from .cloud import OrderEffect
from .cloud import OrderRecord
from .count_callers import CountAnswer
from .disturbances import DisturbanceLog
from .job_notes import JobNotes
from .route_checks import check_in_force
from .route_checks import check_regressions
from .route_checks import check_services
from .route_checks import list_answer_effects
from .route_checks import list_handlings
from .route_checks import list_order_effects
from .route_history import RouteHistory
from .route_probes import ProbeAnswer
from .runs import RunRecord
from .serving_checks import check_absences
from .serving_checks import check_serving
from .standstill_checks import check_standstills
from .store import RefusedWrite
from .strangers import StrangerAnswer
from .tenancy import Tenancy
from .tenant_checks import check_caps
from .tenant_checks import check_keys
from .waiting_checks import check_counts
from .workers import EmulatedWorker

CANCEL_S = 3.0
"""A task may start this long after its job's cancel was confirmed."""
HOLDER_PAUSE_S = 3.0
CRASHES = 3
"""Workers that may crash under a task before its starts are counted."""
STARTS_AFTER_CRASHES = 3
"""Start after these crashes that breaks the rule."""
_BEGINNINGS = frozenset({OrderEffect.AT_ONCE, OrderEffect.LATE})
"""Effects of orders that begin maintenance; one that is repeated for want of an answer
begins nothing."""


@attrs.frozen
class Evidence:
    """Everything that the checks look at.

    :param callers: what callers did and were told.
    :param records: runs on workers.
    :param orders: orders about VMs.
    :param waves: waves that the operator asked for.
    :param maintained: waves that each VM has begun.
    :param tenancy: tenants with their keys and caps.
    :param counts: answers to requests for counts of waiting jobs.
    :param disturbances: faults that affected nodes, with their times.
    :param workers: all workers that ever started.
    :param routes: routes of all versions of the configuration.
    :param probes: answers to requests for counts on any route.
    :param stored_services: services under which jobs are stored, by job.
    :param refused_writes: calls that the store refused as over a limit.
    :param stranger_answers: answers about jobs of other queues.
    :param retention_s: time for which the state of an ended job must stay readable.
    :param asked_at: monotonic seconds at which each wave was asked for.
    :param down_since: monotonic seconds of the crash of each VM that is down by then.
    """

    callers: Callers
    records: list[RunRecord]
    orders: list[OrderRecord]
    waves: tuple[Wave, ...]
    maintained: t.Mapping[str, set[int]]
    tenancy: Tenancy
    counts: t.Sequence[CountAnswer] = ()
    disturbances: DisturbanceLog = attrs.field(factory=DisturbanceLog)
    workers: t.Sequence[EmulatedWorker] = ()
    routes: RouteHistory = attrs.field(factory=RouteHistory)
    probes: t.Sequence[ProbeAnswer] = ()
    stored_services: t.Mapping[str, str] = attrs.field(factory=dict)
    refused_writes: t.Sequence[RefusedWrite] = ()
    stranger_answers: t.Sequence[StrangerAnswer] = ()
    retention_s: float = math.inf
    asked_at: t.Mapping[int, float] = attrs.field(factory=dict)
    down_since: t.Mapping[str, float] = attrs.field(factory=dict)

    def measure_run(self, record: RunRecord) -> tuple[str, Amount]:
        """Give the tenant of a run, and what it has in use."""
        submission = self.callers.jobs[record.task.job_id].submission
        return submission.tenant, get_task_amount(submission.steps[record.task.step])


def group_runs(evidence: Evidence) -> dict[TaskId, list[RunRecord]]:
    """Group the runs of a day by their tasks."""
    runs: dict[TaskId, list[RunRecord]] = collections.defaultdict(list)
    for record in evidence.records:
        runs[record.task].append(record)
    return runs


def check_twice(evidence: Evidence) -> t.Iterator[Breach]:
    """Check that no task runs twice at once, nor again after it was done."""
    for task, runs in group_runs(evidence).items():
        for earlier, later in itertools.pairwise(sorted(runs, key=lambda r: r.began)):
            if earlier.ended is None or earlier.ended > later.began:
                yield Breach("twice", later.began, f"{task} runs twice at once")
            elif earlier.how == "done" and earlier.noted:
                yield Breach("twice", later.began, f"{task} runs again after done")


def check_order(evidence: Evidence) -> t.Iterator[Breach]:
    """Check that no step starts before those that it comes after are done."""
    done_at: dict[tuple[str, int, int], list[float]] = collections.defaultdict(list)
    for record in evidence.records:
        if record.how == "done" and record.ended is not None:
            done_at[record.task[:3]].append(record.ended)
    for record in evidence.records:
        task = record.task
        steps = evidence.callers.jobs[task.job_id].submission.steps
        for earlier in steps[task.step].after:
            ends = done_at[(task.job_id, task.occurrence, earlier)]
            before = sum(end <= record.began for end in ends)
            if before < steps[earlier].count:
                yield Breach("order", record.began, f"{task} before step {earlier}")


def check_budget(evidence: Evidence) -> t.Iterator[Breach]:
    """Check that no task starts after it has failed as often as it may."""
    for task, runs in group_runs(evidence).items():
        job = evidence.callers.jobs[task.job_id].submission
        if job.steps[task.step].long_running:
            continue
        for record in runs:
            failures = sum(
                run.how == "failed"
                and run.ended is not None
                and run.ended <= record.began
                for run in runs
            )
            if failures >= job.policy.max_attempts:
                yield Breach("budget", record.began, f"{task} after {failures} fails")


def check_crashes(evidence: Evidence) -> t.Iterator[Breach]:
    """Check that a task that crashes its workers is soon not started any more."""
    for task, runs in group_runs(evidence).items():
        if not evidence.callers.find_nature(task).crashes:
            continue
        ends = [
            run.ended for run in runs if run.how == "gone" and run.ended is not None
        ]
        if len(ends) < CRASHES:
            continue
        third_at = sorted(ends)[CRASHES - 1]
        later = sorted(run.began for run in runs if run.began > third_at)
        if len(later) >= STARTS_AFTER_CRASHES:
            at = later[STARTS_AFTER_CRASHES - 1]
            yield Breach("budget", at, f"{task} crashed {len(ends)} workers")


def check_room(evidence: Evidence) -> t.Iterator[Breach]:
    """Check that no start brings a worker over its capacity."""
    for record in evidence.records:
        if record.overfull:
            detail = f"{record.task} does not fit on {record.worker_id}"
            yield Breach("limit", record.began, detail)


def check_unasked(evidence: Evidence) -> t.Iterator[Breach]:
    """Check that nothing starts after a cancel, or of a job that was refused."""
    for record in evidence.records:
        notes = evidence.callers.jobs[record.task.job_id]
        cancelled = notes.cancelled_at
        if cancelled is not None and record.began > cancelled + CANCEL_S:
            yield Breach("unasked", record.began, f"{record.task} after its cancel")
        refusals = [
            item in (SubmitOutcome.REFUSED, SubmitOutcome.OVERLOADED)
            or isinstance(item, KeyRejection)
            for item in notes.outcomes
        ]
        if refusals and all(refusals):
            yield Breach("refused", record.began, f"{record.task} of a refused job")


def _count_done(evidence: Evidence, notes: JobNotes, until: float) -> int:
    job_id = notes.submission.job_id
    return len(
        {
            record.task
            for record in evidence.records
            if record.task.job_id == job_id
            and record.how == "done"
            and record.ended is not None
            and record.ended <= until
        }
    )


def _may_be_removed(evidence: Evidence, notes: JobNotes, at: float) -> bool:
    """Return whether the state of a job need not be readable any more."""
    job_id = notes.submission.job_id
    runs = [run for run in evidence.records if run.task.job_id == job_id]
    if any(run.ended is None for run in runs) or not (runs or notes.cancelled_at):
        return False
    ends = [run.ended for run in runs if run.ended is not None]
    ended = max([*ends, notes.cancelled_at or 0.0])
    return ended + evidence.retention_s <= at


def check_strangers(evidence: Evidence) -> t.Iterator[Breach]:
    """Check that no job is reached through a queue of which it is not."""
    for item in evidence.stranger_answers:
        if item.reveals_the_job():
            detail = f"{item.job_id} {item.call} through another queue: {item.answer}"
            yield Breach("lost", item.at, detail)


def check_states(evidence: Evidence) -> t.Iterator[Breach]:
    """Check that what callers are shown is true, and that no job is lost."""
    for job_id, notes in evidence.callers.jobs.items():
        tasks = sum(step.count for step in notes.submission.steps)
        tasks *= max(1, notes.submission.times)
        for at, state in notes.shown:
            done = _count_done(evidence, notes, at)
            if state is JobState.SUCCEEDED and done < tasks:
                yield Breach("mixed", at, f"{job_id} succeeded with {done} of {tasks}")
            if state is None and not _may_be_removed(evidence, notes, at):
                yield Breach("lost", at, f"{job_id} is not known")
            if state is JobState.CANCELLED and not notes.cancel_requested:
                yield Breach("lost", at, f"{job_id} cancelled without cause")
            if state is JobState.FAILED and not (notes.poison or notes.crashing):
                yield Breach("lost", at, f"{job_id} failed without cause")
        serving = notes.submission.steps[0].long_running
        unasked = evidence.routes.was_dropped(notes.route.prefix)
        open_ended = notes.accepted_at is None or serving or unasked
        removed = any(state is None for _, state in notes.shown)
        if not open_ended and not removed and notes.find_final_at() is None:
            yield Breach("lost", 0.0, f"{job_id} never ended")


def _is_excused(evidence: Evidence, wave: Wave, name: str) -> bool:
    """Return whether a VM could not be maintained, or was not due by the platform.

    One that is down for good could be maintained until it crashed: it is excused only
    if that was within the time in which the wave had to begin.
    """
    deadline = evidence.asked_at.get(wave.number, 0.0) + wave.duration_s
    if evidence.down_since.get(name, math.inf) <= deadline:
        return True
    return any(
        record.effect is OrderEffect.DISOWNED
        and record.order.vm == name
        and record.order.wave == wave.number
        for record in evidence.orders
    )


def check_waves(evidence: Evidence) -> t.Iterator[Breach]:
    """Check that waves keep their cap and that every VM is maintained."""
    for wave in evidence.waves:
        begun = [
            record
            for record in evidence.orders
            if record.order.kind is VmActionKind.UPKEEP
            and record.order.wave == wave.number
            and record.effect in _BEGINNINGS
        ]
        for record in begun:
            down = {
                other.order.vm
                for other in begun
                if other.at <= record.at < other.at + other.down_s
            }
            if len(down) > wave.cap:
                yield Breach(
                    "limit", record.at, f"{len(down)} VMs down, cap {wave.cap}"
                )
        for name in wave.vms:
            maintained = wave.number in evidence.maintained.get(name, set())
            if not maintained and not _is_excused(evidence, wave, name):
                yield Breach("wave", 0.0, f"{name} was not maintained")


def check_limits(evidence: Evidence) -> t.Iterator[Breach]:
    """Check that no write exceeds a limit of the store."""
    for refused in evidence.refused_writes:
        yield Breach("store", refused.at, f"{refused.node}: {refused.reason}")


def check_holders(evidence: Evidence) -> t.Iterator[Breach]:
    """Check that orders for one VM come from one holder, with rising numbers."""
    by_vm: dict[str, list[OrderRecord]] = {}
    holders: dict[tuple[str, int], str] = {}
    given = [item for item in evidence.orders if item.effect is not OrderEffect.LATE]
    for record in given:
        by_vm.setdefault(record.order.vm, []).append(record)
        key = (record.order.vm, record.token)
        if holders.setdefault(key, record.holder) != record.holder:
            yield Breach("one", record.at, "two holders with one number")
    for records in by_vm.values():
        for earlier, later in itertools.pairwise(records):
            if later.token < earlier.token:
                yield Breach("one", later.at, "an earlier holder after a later one")
            taken = later.holder != earlier.holder
            if taken and later.at - earlier.at < HOLDER_PAUSE_S:
                yield Breach("one", later.at, "two holders take turns")


def find_services(evidence: Evidence) -> dict[str, str]:
    """Find the service of each job: that of its workers, else that of its row."""
    services = {
        job_id: notes.submission.policy.service
        for job_id, notes in evidence.callers.jobs.items()
    }
    services.update(evidence.stored_services)
    by_worker = _list_worker_services(evidence)
    for record in evidence.records:
        services[record.task.job_id] = by_worker[record.worker_id]
    return services


def _list_worker_services(evidence: Evidence) -> dict[str, str]:
    return {worker.entry.worker_id: worker.entry.service for worker in evidence.workers}


def check_routes(evidence: Evidence) -> t.Iterator[Breach]:
    """Check that requests are handled by the routes of a version in force."""
    jobs, history = evidence.callers.jobs, evidence.routes
    if len({tuple(item.services.items()) for item in history.versions}) <= 1:
        return
    services = _list_worker_services(evidence)
    runs: dict[str, list[RunRecord]] = collections.defaultdict(list)
    for record in evidence.records:
        runs[record.task.job_id].append(record)
    handlings = list_handlings(jobs, evidence.probes, runs, services, history)
    yield from check_in_force(handlings, history, evidence.tenancy)
    shown = [
        *list_order_effects(jobs, evidence.records, services, history),
        *list_answer_effects(jobs, runs, services, history),
    ]
    yield from check_regressions(handlings, shown, history)
    yield from check_services(jobs, evidence.records, services, history)


def list_breaches(evidence: Evidence, end_s: float) -> list[Breach]:
    """List the broken rules of a day, in order of time.

    :param evidence: what happened.
    :param end_s: when the day ended.
    """
    checks = (
        check_twice,
        check_order,
        check_budget,
        check_crashes,
        check_room,
        check_unasked,
        check_states,
        check_waves,
        check_holders,
        check_limits,
        check_strangers,
    )
    breaches = [breach for check in checks for breach in check(evidence)]
    jobs = evidence.callers.jobs
    breaches += check_serving(jobs, evidence.records, end_s)
    breaches += check_absences(jobs, evidence.records, evidence.disturbances)
    breaches += check_standstills(
        jobs,
        find_services(evidence),
        evidence.records,
        evidence.workers,
        evidence.tenancy,
        evidence.disturbances,
        end_s,
    )
    breaches += check_keys(evidence.tenancy)
    breaches += check_routes(evidence)
    breaches += check_counts(
        evidence.counts, evidence.callers.jobs, evidence.records, evidence.disturbances
    )
    breaches += check_caps(evidence.tenancy, evidence.records, evidence.measure_run)
    return sorted(breaches, key=lambda breach: breach.at)
