"""Owner of a shard: runs scheduling passes, stores their results, then sends orders."""

import typing as t

import anyio
import anyio.abc
import attrs
import structlog

from ..exceptions import WriteRefusedError
from ..jobs import tables
from ..jobs.admission import encode_delay_estimate
from ..jobs.messages import JobState
from ..jobs.placing import WorkerRecord
from ..jobs.progress_rows import build_part_key
from ..jobs.progress_rows import encode_progress_rows
from ..jobs.standstill_causes import OwnerProgress
from ..jobs.standstills import CHECK_INTERVAL_S
from ..jobs.standstills import StandstillReporter
from ..jobs.store import RowId
from ..jobs.tables import ShardLoad
from ..jobs.workers import StartOrder
from ..pools.messages import PoolReport
from ..pools.messages import encode_report
from .job_batches import REFUSED_RETRY_S
from .job_batches import EncodedJob
from .job_batches import JobBatches
from .owner_jobs import OwnerJobs
from .start_times import StartStep
from .work_times import WorkKind

MAX_PASS_INTERVAL_S = 0.2
"""Longest time between two scheduling passes; occurrences may start 250 ms early."""
REPORT_INTERVAL_S = 0.3
"""Time between two reports of demand to the fleet controller, which sizes the pools by
them."""
MIN_REPORT_INTERVAL_S = 0.05
"""Least time between two reports, also if the list of drained workers has changed."""
REFUSED_PAUSE_S = 0.4
"""Pause after the store has refused the owner's own rows."""
RETENTION_FACTOR = 1.5
"""Factor by which the states of ended jobs stay readable longer than configured."""

_LOG = structlog.get_logger()


@attrs.frozen
class _Commit:
    """Contents of one transaction, and what to do once it is stored.

    :param puts: rows to write.
    :param removals: rows to remove.
    :param jobs: the jobs that are written, as they are encoded.
    :param states: states of the jobs that are written.
    :param orders: start orders that may be sent once their jobs are stored.
    :param processed: newest result processed of each worker, to be acknowledged;
        without workers of which some results are left to a later transaction.
    :param expired: jobs whose progress is removed.
    """

    puts: dict[RowId, bytes]
    removals: tuple[RowId, ...]
    jobs: t.Mapping[str, EncodedJob]
    states: dict[str, JobState]
    orders: tuple[StartOrder, ...]
    processed: t.Sequence[tuple[WorkerRecord, int]]
    expired: tuple[str, ...]

    def has_only_jobs(self) -> bool:
        """Return whether all rows are those of jobs."""
        rows = sum(job.count_entries() for job in self.jobs.values())
        return rows == len(self.puts) + len(self.removals)


@attrs.define(eq=False)
class ShardOwner(OwnerJobs):
    """Runs one shard, from its claim to its loss or release."""

    _batches: JobBatches = attrs.field(init=False)
    _standstills: StandstillReporter = attrs.field(init=False)
    _orders_to_store: t.Sequence[StartOrder] = ()
    _pass_began_at: float | None = None
    _write_began_at: float | None = None

    def __attrs_post_init__(self) -> None:
        super().__attrs_post_init__()
        self._standstills = StandstillReporter(self.state)
        self._batches = JobBatches(self.shard, self.context.store_limits)

    async def run(self) -> None:
        """Load and run the shard until it is released.

        :raises OwnershipLostError: when another node has claimed it.
        """
        await self._run_until_released(self._load, self._work)

    async def _work(self, group: anyio.abc.TaskGroup) -> None:
        for worker_id in list(self.state.workers):
            self._start_hold_loop(worker_id)
        group.start_soon(self._follow_workers(self._workers_version).run)
        group.start_soon(self._job_follower.run)
        group.start_soon(self._fleet_follower.run)
        group.start_soon(self._build_fleet_refresher().run)
        if self.share_synchronizer is not None:
            group.start_soon(self.share_synchronizer.build_follower().run)
        if self.context.policy_client is not None:
            group.start_soon(self._ticket_requester.run, self.context.policy_client)
        group.start_soon(self._report_changes)
        await self._schedule_until_released()

    async def _schedule_until_released(self) -> None:
        while not self.releasing:
            await self._wait_for_wake(self._get_max_wait_s())
            self._pass_began_at = self._now()
            with self.work.measure(WorkKind.PASS):
                self._update_capacity_validity()
                self.state.expire_workers(self._now())
                self.state.report_doubtful_runs(self._now())
                orders = self.state.plan(self._now(), self._wall_ms())
            self.context.start_times.note(StartStep.PASS)
            self.context.work_meter.count_steps(self.state.ready_steps)
            self._ticket_requester.notify()
            if self.share_synchronizer is not None and self._group is not None:
                self.share_synchronizer.start_due_writes(self._group)
            self._send_stops(self.state.list_stops(self._now()))
            self._fence_restarts()
            await self._commit(orders)
        await self._release()

    async def _report_changes(self) -> None:
        """Report standing jobs and workers that left, also while a write lasts."""
        while True:
            now = self._now()
            with self.work.measure(WorkKind.STANDSTILLS):
                progress = self._measure_progress(now)
                self._standstills.check(progress, now, self._wall_ms())
            self.state.departures.log()
            self._feed_watch.check(now)
            await anyio.sleep(CHECK_INTERVAL_S)

    def _measure_progress(self, now: float) -> OwnerProgress:
        def measure(began_at: float | None) -> float | None:
            return None if began_at is None else now - began_at

        return OwnerProgress(
            measure(self._pass_began_at),
            measure(self._write_began_at),
            frozenset(order.task for order in self._orders_to_store),
            self._batches.list_refused(now),
        )

    def _get_max_wait_s(self) -> float:
        due_s = self.state.get_next_due_wait_ms(self._wall_ms()) / 1000
        return max(0.0, min(MAX_PASS_INTERVAL_S, due_s))

    async def _commit(self, orders: t.Sequence[StartOrder]) -> None:
        while True:
            orders = self._withdraw_refused(orders)
            self._orders_to_store = orders
            with self.work.measure(WorkKind.ENCODING):
                commit = self._build_commit(orders)
            if commit is None:
                self._acknowledge_results(self._read_processed(frozenset()))
                return
            self._write_began_at = self._now()
            try:
                await self.writer.write(commit.puts, commit.removals)
            except WriteRefusedError as error:
                await self._revert_commit(commit, str(error))
                continue
            finally:
                self._write_began_at = None
            self._apply_commit(commit)
            sent = set(commit.orders)
            orders = [order for order in orders if order not in sent]
            self._orders_to_store = orders
            if not orders and not self._batches.has_suspects():
                return

    async def _revert_commit(self, commit: _Commit, reason: str) -> None:
        """Have the jobs of a refused transaction stored again, one by one."""
        self._reported = None
        if not commit.jobs:
            _LOG.error("write refused by the store", shard=self.shard, reason=reason)
            await anyio.sleep(REFUSED_PAUSE_S)
            return
        job_ids = commit.jobs.keys()
        alone = commit.has_only_jobs()
        self._batches.note_refused(job_ids, alone, self._now(), reason)
        self.state.dirty |= job_ids
        for record in self.state.workers.values():
            if record.acknowledged < record.processed_sequence:
                record.unstored_jobs |= job_ids

    def _withdraw_refused(self, orders: t.Sequence[StartOrder]) -> list[StartOrder]:
        """Withdraw the orders of jobs whose progress is not stored for now."""
        now = self._now()
        kept = []
        for order in orders:
            job_id = order.task.job_id
            if self._batches.is_refused(job_id, now) or job_id not in self.state.jobs:
                self.state.withdraw_start(order, now + REFUSED_RETRY_S)
            else:
                kept.append(order)
        return kept

    def _read_processed(
        self, stored_jobs: frozenset[str]
    ) -> list[tuple[WorkerRecord, int]]:
        """Return the results that will be stored: the newest of each such worker.

        :param stored_jobs: jobs that are about to be stored; from now on, further
            results count as not stored again.
        """
        processed = []
        for record in self.state.workers.values():
            record.unstored_jobs -= stored_jobs
            if not record.unstored_jobs:
                processed.append((record, record.processed_sequence))
        return processed

    def _build_commit(self, orders: t.Sequence[StartOrder]) -> _Commit | None:
        now = self._now()
        renewal_due = self.writer.is_renewal_due(now)
        expired = self._remover.list_removed() if renewal_due else ()
        jobs = self._choose_jobs(orders, renewal_due, len(expired))
        chosen = frozenset(jobs)
        # a job that may be refused is stored apart from the owner's own rows
        apart = self._batches.has_suspects() and bool(jobs)
        report = None if apart else self._build_due_report(now, chosen)
        if not jobs and not renewal_due and report is None:
            return None
        self.state.dirty -= chosen
        processed = self._read_processed(chosen)
        puts = {row: value for job in jobs.values() for row, value in job.puts.items()}
        removals = [row for job in jobs.values() for row in job.removals]
        if renewal_due:
            removals += self._list_progress_rows(expired)
            self._remove_expired_submissions(now)
            self.writer.add_renewal(puts, now, self._measure_load(now))
        if report is not None:
            self._add_report(puts, report, now)
        return _Commit(
            puts,
            tuple(removals),
            jobs,
            {job_id: self.state.jobs[job_id].state for job_id in jobs},
            tuple(order for order in orders if order.task.job_id in chosen),
            processed,
            expired,
        )

    def _choose_jobs(
        self, orders: t.Sequence[StartOrder], renewal_due: bool, removals: int
    ) -> dict[str, EncodedJob]:
        """Choose the jobs of the next transaction, none if the renewal goes first.

        :param orders: orders to be sent; their jobs go first.
        :param renewal_due: whether the owner row has to be renewed.
        :param removals: number of rows that the transaction removes.
        """
        self.state.dirty &= self.state.jobs.keys()
        if renewal_due and self._batches.has_suspects():
            return {}
        wanted = [order.task.job_id for order in orders]
        return self._batches.choose(
            dict.fromkeys([*wanted, *self.state.dirty]),
            self._encode_job,
            self._now(),
            removals,
        )

    def _encode_job(self, job_id: str) -> EncodedJob:
        job = self.state.jobs[job_id]
        values = encode_progress_rows(job, self.context.store_limits)
        puts = {self._get_part(job_id, n): value for n, value in enumerate(values)}
        outdated = range(len(values), job.progress_parts + 1)
        return EncodedJob(puts, tuple(self._get_part(job_id, n) for n in outdated))

    def _get_part(self, job_id: str, part: int) -> RowId:
        return tables.get_progress_row(self.shard, build_part_key(job_id, part))

    def _add_report(
        self, puts: dict[RowId, bytes], report: PoolReport, now: float
    ) -> None:
        """Add the report to the rows of a transaction, unless it exceeds a row."""
        self._reported, self._reported_at = report, now
        value = encode_report(report)
        if len(value) > self.context.store_limits.row_bytes:
            _LOG.error("report too large", shard=self.shard, size=len(value))
            return
        puts[tables.get_report_row(self.shard)] = value

    def _measure_load(self, now: float) -> ShardLoad:
        # the time first: the process may be paused before it has counted
        counted_at_ms = self.context.health.store_clock.get_earliest_ms(
            self.context.clocks.read_boot()
        )
        with self.work.measure(WorkKind.LOAD):
            outlook = encode_delay_estimate(self.state.build_delay_estimate(now))
        return ShardLoad(self.state.count_waiting(), outlook, counted_at_ms)

    def _build_due_report(
        self, now: float, stored_jobs: frozenset[str]
    ) -> PoolReport | None:
        """Build the report if one is due and has changed, else return ``None``.

        :param now: monotonic seconds.
        :param stored_jobs: jobs that are stored in the same transaction.
        """
        age_s = now - self._reported_at
        if age_s < MIN_REPORT_INTERVAL_S:
            return None
        emptied = self._reported.emptied if self._reported else {}
        drained = self.state.list_drained_workers(stored_jobs)
        if age_s < REPORT_INTERVAL_S and drained == emptied:
            return None
        with self.work.measure(WorkKind.REPORT):
            report = self.state.build_report(now, stored_jobs)
        self.context.work_meter.count_steps(self.state.ready_steps)
        return None if report == self._reported else report

    def _remove_expired_submissions(self, now: float) -> None:
        retention_s = self.context.limits.status_s * RETENTION_FACTOR
        expired = self.state.list_expired(now, retention_s)
        for job_id in self._remover.select_due(expired):
            version = self._versions.get_stored(job_id)
            self._spawn(self._remover.remove_submission, job_id, version)
        for remover in (self._pointer_remover, self._tombstone_remover):
            for marker in remover.select_due(now, retention_s):
                self._spawn(remover.remove, marker, now)
        self._versions.forget_removals(self._job_follower.after)

    def _list_progress_rows(self, job_ids: t.Iterable[str]) -> tuple[RowId, ...]:
        return tuple(tables.get_progress_row(self.shard, job_id) for job_id in job_ids)

    def _apply_commit(self, commit: _Commit) -> None:
        now = self._now()
        self._batches.note_stored(commit.jobs)
        if self._reported is not None:
            self.state.departures.note_drained(self._reported.emptied)
        for job_id, encoded in commit.jobs.items():
            job = self.state.jobs.get(job_id)
            if job is not None:
                job.progress_parts = len(encoded.puts) - 1
        for job_id, state in commit.states.items():
            self.state.mark_stored(job_id, state, now)
        removed = self._remover.forget(commit.expired)
        self.state.forget_jobs(removed)
        self._versions.note_removed(removed, self.writer.version)
        self._acknowledge_results(commit.processed)
        for order in commit.orders:
            self._spawn(self._send_start, order)

    def _acknowledge_results(
        self, processed: t.Sequence[tuple[WorkerRecord, int]]
    ) -> None:
        # by record, not by ID: sequences of one incarnation mean nothing to the next
        for record, sequence in processed:
            record.acknowledged = max(record.acknowledged, sequence)
        self._progress_stored.set()
        self._progress_stored = anyio.Event()

    async def _release(self) -> None:
        self.state.departures.log()
        await self.writer.release()
        _LOG.info("shard released", shard=self.shard, epoch=self.epoch)
