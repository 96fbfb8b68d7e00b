"""Tracks the workers of a shard: registrations, cordons, leases, crashes and load."""

import math
import typing as t

import attrs
import structlog

from .departures import Departures
from .departures import choose_log
from .lives import NO_FORMER_CALLS
from .lives import IncarnationMatch
from .lives import compare_incarnations
from .messages import WorkerEntry
from .placing import RemovedLapses
from .placing import WorkerRecord
from .shard_incarnations import ShardIncarnations
from .shard_leases import LATE_CALL_S
from .workers import MS_PER_S
from .workers import StartOrder
from .workers import WorkerClock

WALL_CLOCK_ERROR_S = 5.0
"""Most by which the wall clocks of a node and a worker differ, jumps included."""
FORMER_MESSAGE_S = 5.0
"""Time after the last message of a worker's known incarnation from which a report of
one with an earlier start time is that of a later one, whose wall clock was set back. A
report of a former incarnation comes before: a request waits for 2 s at most, and may be
carried out seconds late."""

_LOG = structlog.get_logger()


@attrs.define
class ShardWorkers(ShardIncarnations):
    """The workers of one shard.

    :param listed_workers: workers that a list of VMs has shown as up.
    :param last_live: workers of all VMs that were up in the last list, ``None`` before.
    :param removed_lapses: lapses of workers that were removed while they were silent.
    :param departures: workers that leave as ordered.
    """

    listed_workers: set[str] = attrs.field(factory=set)
    removed_lapses: dict[str, RemovedLapses] = attrs.field(factory=dict)
    last_live: frozenset[str] | None = None
    departures: Departures = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        super().__attrs_post_init__()
        self.departures = Departures(self.service)

    def observe_worker(
        self, entry: WorkerEntry, now: float, wall_ms: float | None = None
    ) -> WorkerRecord:
        """Record a registration.

        :param entry: the registration.
        :param now: monotonic seconds.
        :param wall_ms: Unix milliseconds, ``None`` if not known.
        :returns: the worker's record.
        """
        record = self.workers.get(entry.worker_id)
        if record is None:
            record = self._add_worker(entry, now, wall_ms)
        match = self._update_incarnation(record, entry.born, now)
        if match is IncarnationMatch.FORMER:
            record.former_entry = entry
            return record
        if match is IncarnationMatch.LATER:
            record = self.workers[entry.worker_id]
            record.clock = WorkerClock(entry.clock_ms, now)
        record.entry = entry
        record.registered = True
        record.capacity_valid_until = now + self.capacity_valid_s
        record.cordoned = entry.worker_id in self.cordons
        record.due = entry.worker_id in self.due
        if record.clock is None:
            record.clock = WorkerClock(entry.clock_ms, now)
        return record

    def _add_worker(
        self, entry: WorkerEntry, now: float, wall_ms: float | None
    ) -> WorkerRecord:
        record = WorkerRecord(entry, born=entry.born, heard_at=now)
        self.workers[entry.worker_id] = record
        removed = self.removed_lapses.pop(entry.worker_id, None)
        if removed is not None and removed.born == entry.born:
            record.lapses = removed.lapses
        own = self.former_calls.pop(entry.worker_id, NO_FORMER_CALLS)
        if compare_incarnations(own.born, entry.born) is not IncarnationMatch.SAME:
            self._expect_former_calls(record, own)
        else:
            self._end_hold_back(own)
        self._keep_unanswered(record, own)
        until = self._bound_former_owners_calls(entry, now, wall_ms)
        record.former_lease_until = max(
            record.former_lease_until, until + self.longest_lease_s
        )
        return record

    def _bound_former_owners_calls(
        self, entry: WorkerEntry, now: float, wall_ms: float | None
    ) -> float:
        """Return until when a worker may carry out calls for a former incarnation.

        This is about calls of the former owner. It granted leases until a known time,
        and called the former incarnation, if there was one since its claim, until the
        known one started.

        :param entry: its registration.
        :param now: monotonic seconds.
        :param wall_ms: Unix milliseconds, ``None`` if not known.
        :returns: monotonic seconds, minus infinity if there are no such calls.
        """
        if not entry.born or wall_ms is None:
            return -math.inf
        started_at = now - (wall_ms - entry.born) / MS_PER_S
        if started_at <= self.get_former_takeover():
            return -math.inf
        latest_at = min(started_at + WALL_CLOCK_ERROR_S, self.get_former_grants_end())
        return latest_at + LATE_CALL_S

    def _update_incarnation(
        self, record: WorkerRecord, born: int, now: float
    ) -> IncarnationMatch:
        """Compare a message's start time with the worker's known incarnation.

        If the message is from a newer incarnation, that replaces the known one.

        :param record: the worker's record.
        :param born: start time in the message, Unix milliseconds, 0 if it has none.
        :param now: monotonic seconds.
        :returns: which incarnation the message is from.
        """
        match = compare_incarnations(record.born, born)
        if match is IncarnationMatch.LATER:
            self._replace_incarnation(record, born, now)
        elif match is IncarnationMatch.SAME:
            record.born = record.born or born
            record.heard_at = now
        return match

    def _accept_earlier_start(
        self, record: WorkerRecord, born: int, sent_at: float, now: float
    ) -> None:
        """Replace an incarnation that is silent by one with an earlier start time.

        :param record: the worker's record.
        :param born: start time in the report, Unix milliseconds.
        :param sent_at: monotonic seconds when the report was requested.
        :param now: monotonic seconds.
        """
        if sent_at < record.heard_at + FORMER_MESSAGE_S:
            return
        self._replace_incarnation(record, born, now)
        entry = record.former_entry
        if entry is not None and entry.born == born:
            self.observe_worker(entry, now)

    def _replace_incarnation(
        self, previous: WorkerRecord, born: int, now: float
    ) -> None:
        """Replace a worker's record by that of a new incarnation.

        A start order for the previous incarnation may have reached the new one before
        the owner learned of the restart. The new incarnation does not know the owner's
        fencing token, and the order's deadline means nothing on its new clock. So a run
        whose order may have been sent, and that the previous incarnation did not list,
        stays placed until the new incarnation has confirmed a stop order for it, and a
        report requested after that does not list the run. If the new incarnation is
        silent, its runs are released once each lease that a call for the previous one
        may have granted has ended.
        """
        worker_id = previous.entry.worker_id
        self.remove_worker(worker_id, "worker restarted under the same id", now)
        record = self._add_next_incarnation(
            previous.entry, previous.registered, born, now
        )
        calls = self.former_calls.pop(worker_id)
        self._expect_former_calls(record, calls)
        self._keep_unanswered(record, calls)
        self._log_restart(previous, record, now)

    def _log_restart(
        self, previous: WorkerRecord, record: WorkerRecord, now: float
    ) -> None:
        """Log a restart with what the calls for the former incarnation may tell.

        Calls that are still under way carry its lease deadline and its sequence number
        of ends.
        """
        lease_s = None
        if previous.clock is not None:
            lease_ms = previous.lease_ms - previous.clock.get_lower_bound(now)
            lease_s = round(lease_ms / MS_PER_S, 3)
        _LOG.info(
            "worker restarted",
            worker=record.entry.worker_id,
            service=self.service,
            epoch=self.epoch,
            former_born=previous.born,
            born=record.born,
            former_lease_s=lease_s,
            former_acknowledged=previous.acknowledged,
            former_ended=previous.processed_sequence,
            runs_ruled_out=record.count_present(),
        )

    def set_cordons(
        self, cordons: t.Mapping[str, str], due: frozenset[str] = frozenset()
    ) -> None:
        """Set which workers are cordoned, and which are due for maintenance.

        :param cordons: cordon IDs by worker id. A cordoned worker is drained: it gets
            no new tasks, and its serving tasks are moved.
        :param due: ids of workers whose VMs are due for maintenance.
        """
        self.undrained_cordons.update(cordons)
        self.cordons, self.due = cordons, due
        for worker_id, record in self.workers.items():
            record.cordoned = worker_id in cordons
            record.due = worker_id in due

    def mark_unregistered(self, worker_id: str) -> None:
        """Mark a worker as unregistered; it may still be running."""
        record = self.workers.get(worker_id)
        if record is not None:
            record.registered = False

    def remove_worker(
        self,
        worker_id: str,
        reason: str,
        now: float,
        crashed: bool = True,
        *,
        returns: bool = True,
    ) -> None:
        """Remove a worker whose incarnation is over, and release the runs on it.

        :param worker_id: the worker.
        :param reason: how that is known, for the log.
        :param now: monotonic seconds.
        :param crashed: whether the worker is known to be gone, and not only out of
            reach.
        :param returns: whether it may start again for this service.
        """
        record = self.workers.get(worker_id)
        if record is None or record.gone:
            return
        record.gone = True
        self.listed_workers.discard(worker_id)
        ordered = self.departures.is_ordered(record, self.cordons.get(worker_id))
        log = choose_log(record, ordered)
        calls = self._keep_former_calls(record, now, returns and not ordered)
        left_unanswered = self._list_left_unanswered(record) if crashed else []
        freed = self._release_runs(record, crashed, now)
        if ordered:
            self.departures.note_left(worker_id)
        self.departures.forget(worker_id)
        log(
            "worker removed",
            worker=worker_id,
            service=self.service,
            reason=reason,
            freed=freed,
            unanswered=len(calls.unanswered),
            left_unanswered=len(left_unanswered),
        )
        del self.workers[worker_id]
        self._hold_back(worker_id, left_unanswered, now)
        if record.lapses and not crashed:
            self.removed_lapses[worker_id] = RemovedLapses(record.born, record.lapses)

    def is_isolated(self, order: StartOrder) -> bool:
        """Return whether a run still keeps runs of other jobs off its worker.

        That lasts until the run is known not to crash the worker.
        """
        record = self.workers.get(order.worker_id)
        return record is not None and order.task in record.isolated

    def set_capacity_validity(self, valid_s: float) -> None:
        """Set how long the capacity in a registration may be relied on.

        :param valid_s: seconds since the registration was read, or infinity.
        """
        if valid_s == self.capacity_valid_s:
            return
        self.capacity_valid_s = valid_s
        for record in self.workers.values():
            # The time of the last registration is not kept, so wait for the next one.
            record.capacity_valid_until = math.inf if math.isinf(valid_s) else 0.0

    def list_registered(self) -> list[WorkerRecord]:
        """List the workers that are registered."""
        return [record for record in self.workers.values() if record.registered]

    def apply_live_workers(self, live: t.Collection[str], sent_at: float) -> None:
        """Remove silent workers that the platform's list of VMs no longer shows as up.

        A list may be older than a worker that it lacks. So that worker must have been
        in an earlier list, or the list must show all workers that answer, and the
        worker must not have answered after a list that lacked it. If no worker answers,
        the list must differ from the one before.

        :param live: ids of the workers of VMs that are up.
        :param sent_at: monotonic seconds when the list was requested.
        """
        answering = {
            worker_id
            for worker_id, record in self.workers.items()
            if record.is_answering()
        }
        missing = answering - set(live)
        has_changed = self.last_live != frozenset(live)
        is_current = not missing and (bool(answering) or has_changed)
        if not is_current:
            self._log_doubtful_list(missing)
        for worker_id in missing:
            record = self.workers[worker_id]
            record.missed_at = min(record.missed_at, sent_at)
        self.listed_at = sent_at
        for record in self.list_unanswered():
            worker_id = record.entry.worker_id
            silent_since = (
                record.unanswered_since or record.failing_since or self.claimed_at
            )
            is_known = is_current and record.answered_at <= record.missed_at
            is_proof = is_known or worker_id in self.listed_workers
            if worker_id not in live and is_proof and sent_at > silent_since:
                reason = "VM is down or runs another worker"
                self.remove_worker(worker_id, reason, sent_at)
        self.last_live = frozenset(live)
        self.listed_workers = self.workers.keys() & (self.listed_workers | set(live))

    def _log_doubtful_list(self, missing: t.Collection[str]) -> None:
        _LOG.info("list of VMs in doubt", service=self.service, missing=sorted(missing))

    def expire_workers(self, now: float) -> None:
        """Release the runs of silent workers whose lease has certainly expired."""
        for record in list(self.workers.values()):
            if record.failing_since is None and record.registered:
                continue
            if not self._has_lease_expired(record, now):
                continue
            if not record.registered:
                self.remove_worker(
                    record.entry.worker_id, "unregistered, lease expired", now, False
                )
            elif record.present:
                self._note_lapsed_starts(record, now)
                freed = self._release_runs(record, False, now)
                _LOG.info(
                    "lease expired",
                    worker=record.entry.worker_id,
                    service=self.service,
                    freed=freed,
                    silent_s=now - (record.failing_since or now),
                )
