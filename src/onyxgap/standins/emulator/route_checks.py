"""Checks that requests are handled by a version of the configuration in force."""

import collections
import typing as t

import attrs

from ...jobs.desk import SubmitOutcome
from ...jobs.tenants import KeyRejection
from .breach import Breach
from .job_notes import Attempt
from .job_notes import JobNotes
from .job_notes import NoQueue
from .route_history import NOT_FOUND
from .route_history import RouteHistory
from .route_history import RouteVersion
from .route_probes import ProbeAnswer
from .runs import RunRecord
from .tenancy import Tenancy
from .tenant_checks import get_configuration_bound

ROLLBACK_SLACK_S = 0.25
"""Time after the effect of a version from which its node may use no older one."""
_REFUSALS = (SubmitOutcome.REFUSED, SubmitOutcome.OVERLOADED)


@attrs.frozen(slots=True)
class Handling:
    """How a node handled a request.

    :param node: name of the node; empty if another one may have handled the request.
    :param prefix: path prefix of the request.
    :param sent_at: monotonic seconds when the request was first sent.
    :param answered_at: monotonic seconds when it was answered.
    :param services: services that may have handled it; :data:`NOT_FOUND` if the node
        knew no route.
    :param effect_at: monotonic seconds when the effect was seen.
    """

    node: str
    prefix: str
    sent_at: float
    answered_at: float
    services: frozenset[str]
    effect_at: float

    def is_allowed_by(self, version: RouteVersion) -> bool:
        """Return whether a version allows that the request is handled like this."""
        found = version.find_service(self.prefix)
        if found == NOT_FOUND:
            return NOT_FOUND in self.services
        return found in self.services


@attrs.frozen(slots=True)
class Effect:
    """The first version that explains what was seen of a node.

    :param at: monotonic seconds.
    :param version: number of the version.
    """

    at: float
    version: int


def list_handlings(
    jobs: t.Mapping[str, JobNotes],
    probes: t.Iterable[ProbeAnswer],
    runs: t.Mapping[str, t.Sequence[RunRecord]],
    services: t.Mapping[str, str],
    history: RouteHistory,
) -> list[Handling]:
    """List how requests were handled.

    :param jobs: what callers were told, by job.
    :param probes: answers to requests for counts.
    :param runs: runs on workers, by job.
    :param services: services of workers, by worker.
    :param history: routes of the day.
    """
    handlings = []
    for probe in probes:
        found = history.list_services(probe.prefix) if probe.found else {NOT_FOUND}
        handlings.append(
            Handling(
                probe.node,
                probe.prefix,
                probe.sent_at,
                probe.answered_at,
                frozenset(found),
                probe.answered_at,
            )
        )
    for job_id, notes in jobs.items():
        handlings += _list_of_job(notes, runs.get(job_id, ()), services)
    return handlings


def _list_of_job(
    notes: JobNotes, runs: t.Sequence[RunRecord], services: t.Mapping[str, str]
) -> t.Iterator[Handling]:
    prefix = notes.route.prefix
    first: Attempt | None = None
    for attempt in sorted(notes.attempts, key=lambda item: item.sent_at):
        if attempt.outcome is NoQueue.NOT_FOUND:
            found = frozenset({NOT_FOUND})
            at = attempt.answered_at
            yield Handling(attempt.node, prefix, attempt.sent_at, at, found, at)
            continue
        if attempt.outcome in _REFUSALS or isinstance(attempt.outcome, KeyRejection):
            continue
        first = first or attempt
        if attempt.outcome is SubmitOutcome.ACCEPTED and runs:
            # an earlier attempt without an answer may have stored the job elsewhere
            node = attempt.node if attempt is first else ""
            began = min(run.began for run in runs)
            yield Handling(
                node,
                prefix,
                first.sent_at,
                attempt.answered_at,
                frozenset(services[run.worker_id] for run in runs),
                max(began, attempt.answered_at),
            )


def check_in_force(
    handlings: t.Iterable[Handling], history: RouteHistory, tenancy: Tenancy
) -> t.Iterator[Breach]:
    """Check that each request is handled by a version that may be in force.

    :param handlings: how requests were handled.
    :param history: routes of the day.
    :param tenancy: knows when feeds of the store delivered nothing.
    """
    for handling in handlings:
        begin = handling.sent_at - get_configuration_bound(tenancy, handling.sent_at)
        versions = history.list_in_force(begin, handling.answered_at)
        if versions and not any(map(handling.is_allowed_by, versions)):
            handled = ", ".join(sorted(handling.services)).strip() or "no queue"
            detail = (
                f"{handling.node} handled {handling.prefix} by {handled}, "
                f"not by versions {[version.number for version in versions]}"
            )
            yield Breach("config", handling.sent_at, detail)


def check_regressions(
    handlings: t.Sequence[Handling],
    shown: t.Iterable[tuple[str, Effect]],
    history: RouteHistory,
) -> t.Iterator[Breach]:
    """Check that no process handles a request by an older version than before.

    :param handlings: how requests were handled.
    :param shown: further effects, with the nodes that have shown them.
    :param history: routes of the day.
    """
    effects: dict[tuple[str, int], list[Effect]] = collections.defaultdict(list)
    for handling in handlings:
        allowing = _list_allowing(handling, history)
        if handling.node and allowing:
            start = history.count_starts(handling.node, handling.effect_at)
            effect = Effect(handling.effect_at, allowing[0])
            effects[handling.node, start].append(effect)
    for node, effect in shown:
        effects[node, history.count_starts(node, effect.at)].append(effect)
    for handling in handlings:
        allowing = _list_allowing(handling, history)
        if not handling.node or not allowing:
            continue
        start = history.count_starts(handling.node, handling.answered_at)
        seen = [
            effect.version
            for effect in effects[handling.node, start]
            if effect.at + ROLLBACK_SLACK_S < handling.sent_at
        ]
        if seen and max(seen) > allowing[-1]:
            detail = (
                f"{handling.node} went back from version {max(seen)} or newer "
                f"to {allowing[-1]} or older for {handling.prefix}"
            )
            yield Breach("config", handling.sent_at, detail)


def _list_allowing(handling: Handling, history: RouteHistory) -> list[int]:
    return [
        version.number
        for version in history.versions
        if version.written_at <= handling.effect_at and handling.is_allowed_by(version)
    ]


def list_order_effects(
    jobs: t.Mapping[str, JobNotes],
    records: t.Iterable[RunRecord],
    services: t.Mapping[str, str],
    history: RouteHistory,
) -> t.Iterator[tuple[str, Effect]]:
    """Yield the effects of orders to workers, with the nodes that sent them.

    :param jobs: what callers were told, by job.
    :param records: runs on workers.
    :param services: services of workers, by worker.
    :param history: routes of the day.
    """
    for record in records:
        prefix = jobs[record.task.job_id].route.prefix
        service = services[record.worker_id]
        allowing = history.list_allowing(prefix, service, record.began)
        if allowing:
            yield record.node, Effect(record.began, allowing[0])


def list_answer_effects(
    jobs: t.Mapping[str, JobNotes],
    runs: t.Mapping[str, t.Sequence[RunRecord]],
    services: t.Mapping[str, str],
    history: RouteHistory,
) -> t.Iterator[tuple[str, Effect]]:
    """Yield the effects of accepted submissions, with the nodes that answered them.

    A node that answers a repeated submission need not have stored the job, but takes
    part in the version under which the job runs.

    :param jobs: what callers were told, by job.
    :param runs: runs on workers, by job.
    :param services: services of workers, by worker.
    :param history: routes of the day.
    """
    for job_id, notes in jobs.items():
        found = runs.get(job_id, ())
        if not found:
            continue
        began = min(run.began for run in found)
        used = {services[run.worker_id] for run in found}
        for attempt in notes.attempts:
            if attempt.outcome is not SubmitOutcome.ACCEPTED:
                continue
            at = max(began, attempt.answered_at)
            allowing = [
                number
                for service in used
                for number in history.list_allowing(notes.route.prefix, service, at)
            ]
            if allowing:
                yield attempt.node, Effect(at, min(allowing))


def check_services(
    jobs: t.Mapping[str, JobNotes],
    records: t.Iterable[RunRecord],
    services: t.Mapping[str, str],
    history: RouteHistory,
) -> t.Iterator[Breach]:
    """Check that tasks run only on workers of services that their queue has had.

    :param jobs: what callers were told, by job.
    :param records: runs on workers.
    :param services: services of workers, by worker.
    :param history: routes of the day.
    """
    for record in records:
        prefix = jobs[record.task.job_id].route.prefix
        service = services[record.worker_id]
        if not history.list_allowing(prefix, service, record.began):
            detail = f"{record.task} on a worker of {service}"
            yield Breach("route", record.began, detail)
