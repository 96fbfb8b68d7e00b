"""The part of a shard's owner that reads the shard's jobs from the store."""

import typing as t

import anyio
import attrs
import structlog

from ..exceptions import PlatformUnavailableError
from ..jobs import tables
from ..jobs.encoding import restore_job
from ..jobs.job import Job
from ..jobs.progress_rows import StoredProgress
from ..jobs.progress_rows import join_progress
from ..jobs.store import RowId
from ..jobs.store import StoredRow
from ..jobs.submissions import is_pointer
from ..jobs.tables import UNKNOWN_LOAD
from ..pools.cordons import Moment
from ..pools.cordons import receive_cordons
from ..pools.messages import decode_fleet_row
from .expiry import JobRemover
from .expiry import MarkerRemover
from .expiry import build_pointer_remover
from .expiry import build_tombstone_remover
from .feed_watch import FeedWatch
from .fence import RENEWAL_INTERVAL_S
from .fleet_row_refresh import FleetRowRefresher
from .follower import Follower
from .job_versions import JobVersions
from .owner_workers import OwnerWorkers
from .reading import read_partitions
from .rows import decode_rows
from .start_times import StartStep
from .version_observer import VersionSource
from .work_times import WorkKind

LOADED_ROWS = 200
"""Rows of submissions that are decoded at a time while a shard is loaded."""
NOTICE_WAITS_S = (0.1, 0.2, 0.4, 0.8, 1.6)
"""Times to wait before the reads of a row of which a notice came. The change feed
mostly brings the row within the first; the others follow a failed read."""

_LOG = structlog.get_logger()


@attrs.define(eq=False)
class OwnerJobs(OwnerWorkers):
    """The part of a shard's owner that loads the shard and follows its submissions."""

    _workers_version: int = 0
    _remover: JobRemover = attrs.field(init=False)
    _pointer_remover: MarkerRemover = attrs.field(init=False)
    _tombstone_remover: MarkerRemover = attrs.field(init=False)
    _feed_watch: FeedWatch = attrs.field(init=False)
    _job_follower: Follower = attrs.field(init=False)
    _fleet_follower: Follower = attrs.field(init=False)
    _fleet_version: int = 0
    _versions: JobVersions = attrs.field(factory=JobVersions)

    def __attrs_post_init__(self) -> None:
        super().__attrs_post_init__()
        self._remover = JobRemover(self.shard, self.context.store)
        self._pointer_remover = build_pointer_remover(self.shard, self.context.store)
        self._tombstone_remover = build_tombstone_remover(
            self.shard, self.context.store
        )
        self._feed_watch = FeedWatch(self.shard, self.epoch, self._now())
        self._job_follower = self._follow_jobs()
        self._fleet_follower = self._follow_fleet()

    def _follow_jobs(self) -> Follower:
        return Follower(
            self.context.store,
            tables.get_job_table(self.shard),
            self._list_job_parts,
            self._apply_job_rows,
            self.context.rng,
            on_caught_up=self._feed_watch.note_heard,
            read_boot=self._now,
        )

    def _follow_fleet(self) -> Follower:
        return Follower(
            self.context.store,
            tables.FLEET_TABLE,
            lambda: [tables.FLEET_SHARD],
            self._apply_fleet_rows,
            self.context.rng,
        )

    def _build_fleet_refresher(self) -> FleetRowRefresher:
        return FleetRowRefresher(
            self.context.store,
            self._fleet_follower,
            self._apply_fleet_rows,
            self._has_cordoned_workers,
        )

    def _has_cordoned_workers(self) -> bool:
        return any(record.cordoned for record in self.state.workers.values())

    async def _load(self) -> None:
        """Load the shard; other nodes would claim it if its row did not change."""
        # the claim is the first write that confirms the ownership
        claim_sent_at = self.writer.grants.confirmed_at
        self.claim_s = max(0.0, self.context.clocks.read_boot() - claim_sent_at)
        read = anyio.Event()
        failure: PlatformUnavailableError | None = None
        async with anyio.create_task_group() as group:
            group.start_soon(self._renew_until, read)
            try:
                await self._read_shard()
            except PlatformUnavailableError as error:
                failure = error
            finally:
                read.set()
        if failure is not None:
            raise failure

    async def _renew_until(self, read: anyio.Event) -> None:
        while not read.is_set():
            with anyio.move_on_after(RENEWAL_INTERVAL_S):
                await read.wait()
            if not read.is_set():
                _LOG.info(
                    "shard is being loaded",
                    shard=self.shard,
                    epoch=self.epoch,
                    since_claim_s=round(self._now() - self.state.claimed_at, 3),
                )
                puts: dict[RowId, bytes] = {}
                self.writer.add_renewal(puts, self._now(), UNKNOWN_LOAD)
                await self.writer.write(puts)

    async def _read_shard(self) -> None:
        table = tables.get_job_table(self.shard)
        wanted = [(table, part) for part in self._list_job_parts()]
        wanted.append((tables.PROGRESS_TABLE, self.shard))
        wanted.append((tables.FLEET_TABLE, tables.FLEET_SHARD))
        wanted.append((self.context.worker_table, ""))
        *jobs, progress, fleet, workers = await read_partitions(
            self.context.store, wanted
        )
        self._apply_worker_rows(workers.rows, True)
        self._workers_version = workers.version
        stored = join_progress(progress.rows)
        self._apply_fleet_rows(fleet.rows, True)
        rows = [row for page in jobs for row in page.rows]
        versions = [page.version for page in jobs]
        for start in range(0, len(rows), LOADED_ROWS):
            self._apply_job_rows(rows[start : start + LOADED_ROWS], True, stored)
            # the owner row is renewed meanwhile
            await anyio.sleep(0)
        self._remover.note_removed(stored.keys() - {row.row_id.key for row in rows})
        self._job_follower.resume(
            dict(zip(self._list_job_parts(), versions, strict=True))
        )
        self.loaded = True
        self.loaded_at = self._now()
        self.context.start_times.note(StartStep.LOADED)
        self._feed_watch.note_heard(self.loaded_at)
        _LOG.info(
            "shard loaded",
            shard=self.shard,
            epoch=self.epoch,
            jobs=len(self.state.jobs),
            ended=len(self.state.final),
            version=min(versions),
            claim_s=round(self.claim_s, 3),
            load_s=round(self.loaded_at - self.state.claimed_at, 3),
        )

    def _list_job_parts(self) -> t.Sequence[str]:
        return tables.list_job_parts(self.shard)

    def _apply_job_rows(
        self,
        rows: t.Sequence[StoredRow],
        snapshot: bool,
        progress: t.Mapping[str, StoredProgress] | None = None,
    ) -> None:
        with self.work.measure(WorkKind.ROWS):
            self._apply_submissions(rows, progress)

    def _apply_submissions(
        self,
        rows: t.Sequence[StoredRow],
        progress: t.Mapping[str, StoredProgress] | None,
    ) -> None:
        now, wall_ms = self._now(), self._wall_ms()
        parts = frozenset(self._list_job_parts())
        cancels: list[StoredRow] = []
        submissions: list[StoredRow] = []
        for row in rows:
            if row.row_id.part not in parts or row.removed:
                continue
            if tables.is_tombstone(row.row_id):
                job_id = row.row_id.key.removesuffix(tables.TOMBSTONE_SUFFIX)
                self._tombstone_remover.note(job_id, row.version, now)
            elif is_pointer(row.value):
                self._pointer_remover.note(row.row_id.key, row.version, now)
            elif self._versions.is_outdated(row):
                _LOG.debug("outdated row skipped", row=row.row_id.key)
            else:
                is_cancel = row.row_id.key.endswith(tables.CANCEL_SUFFIX)
                (cancels if is_cancel else submissions).append(row)
        for row in cancels:
            self.state.cancel(row.row_id.key.removesuffix(tables.CANCEL_SUFFIX))

        decoder = self.context.submission_decoder

        def restore(row: StoredRow) -> Job:
            stored = (progress or {}).get(row.row_id.key)
            value = stored.value if stored is not None else None
            submission = decoder.decode(row.value, VersionSource.OWNED_JOB)
            job = restore_job(submission, value, row.version)
            job.progress_parts = stored.parts if stored is not None else 0
            return job

        skipped = self.context.skipped
        for row, job in decode_rows(submissions, restore, skipped, "row skipped"):
            if job is not None:
                self._forget_earlier(job, row.version)
                self.state.add_job(job, now, wall_ms)
        if rows:
            self.wake()

    def _forget_earlier(self, job: Job, version: int) -> None:
        """Forget an ended job under whose ID a new one was stored after its removal."""
        job_id = job.submission.job_id
        if self._versions.get_stored(job_id):
            self.state.forget_jobs([job_id])
        self._remover.keep(job_id)
        self._versions.note_stored(job_id, version)

    def fetch_if_missing(self, key: str) -> None:
        """Read a stored submission or cancellation unless the change feed brings it.

        :param key: key of the row in the shard's job table.
        """
        if self.loaded and self._group is not None:
            self._group.start_soon(self._fetch_unless_known, key)

    async def _fetch_unless_known(self, key: str) -> None:
        job_id = key.removesuffix(tables.CANCEL_SUFFIX)
        for wait_s in NOTICE_WAITS_S:
            await anyio.sleep(wait_s)
            if self.state.knows(job_id, cancelled=job_id != key):
                return
            if await self._fetch(job_id, key):
                return

    async def _fetch(self, job_id: str, key: str) -> bool:
        """Read a row of a job; return whether the store answered."""
        row = tables.get_job_row(self.shard, job_id)
        try:
            page = await self.context.store.read(row.table, row.part, key)
        except PlatformUnavailableError as error:
            _LOG.info("noticed row could not be read", row=key, reason=str(error))
            return False
        _LOG.info("noticed row read", row=key, shard=self.shard, version=page.version)
        if page.version >= self._job_follower.delivered:
            self._apply_job_rows(page.rows, False)
        return True

    def _apply_fleet_rows(self, rows: t.Sequence[StoredRow], snapshot: bool) -> None:
        # the feed may deliver a row that was read before, or an older one
        newer = [row for row in rows if row.version >= self._fleet_version]
        for row, fleet in decode_rows(
            newer,
            lambda row: decode_fleet_row(row.value),
            self.context.skipped,
            "fleet row skipped",
        ):
            if fleet is None:
                continue
            self._fleet_version = row.version
            self.state.set_cordons(fleet.cordons, fleet.due)
            self.state.received_cordons = receive_cordons(fleet, self._get_moment())
            self.state.fleet_vms = sum(fleet.base.values())
            self.wake()

    def _get_moment(self) -> Moment:
        clocks, store_clock = self.context.clocks, self.context.health.store_clock
        store_ms = store_clock.get_earliest_ms(clocks.read_boot())
        return Moment(self._now(), store_ms)
