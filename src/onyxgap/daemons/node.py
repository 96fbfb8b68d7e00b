"""Scheduler node: claims shards, runs their schedulers and releases them."""

import typing as t

import anyio
import anyio.abc
import attrs
import structlog

from ..exceptions import OwnershipLostError
from ..exceptions import PlatformUnavailableError
from ..jobs import tables
from ..jobs.leases import GrantPeriod
from ..jobs.members import is_small_vm
from ..jobs.ownership import CLAIM_BACKOFF_S
from ..jobs.ownership import Claimant
from ..jobs.ownership import OwnerView
from ..jobs.ownership import list_claimable
from ..jobs.store import Applied
from ..jobs.store import Batch
from ..jobs.store import Conflict
from ..jobs.store import StoredRow
from ..jobs.tables import OwnerRow
from .fence import FencedWriter
from .fleet_controller import FleetController
from .follower import Follower
from .node_peers import NodePeers
from .owner import ShardOwner
from .rows import decode_rows
from .start_times import StartStep
from .unowned_shards import ClaimProgress
from .vm_watch import VmWatch

OWNER_POLL_S = 0.7
"""Interval of polling the owner rows; owners renew their rows at the same interval."""
READ_SLACK_S = 0.1
"""Delay of a read of the owner rows that counts as none."""
MAX_ANSWER_GAP_S = 2.0
"""After a longer gap between two answers of the store, owner time-outs start again: a
renewal that was not seen during the gap proves nothing about the owner."""
CLAIM_CHECK_S = 0.1
"""Interval of checking for shards that this node may claim."""
MAX_REGISTRATION_WAIT_S = 10.0
"""Time for which a node that cannot register as a member claims no shards. By then, no
late write can register a former process of the node any more."""
CLAIM_ATTEMPTS = 2
"""Write attempts of a claim that is refused or gets no answer. After them, the claim is
abandoned and the shard is checked again."""
CLAIM_RETRY_S = 0.1
"""Pause between two write attempts of a claim."""

_LOG = structlog.get_logger()


@attrs.frozen(eq=False)
class _Claim:
    """A claim that the store has confirmed.

    :param shard: the shard.
    :param previous: what was known of its previous owner.
    :param row: the new owner row.
    :param version: version of that row.
    :param nonce: value of the fence row.
    :param grants: when the new owner may grant leases.
    """

    shard: str
    previous: OwnerView
    row: OwnerRow
    version: int
    nonce: str
    grants: GrantPeriod


@attrs.define(eq=False)
class Node(NodePeers):
    """Node without its listeners, which the process starts.

    It follows the operator's rows and the owner rows, claims shards and runs the owner
    of each shard that it has claimed. An owner schedules the shard's jobs; the owner of
    :data:`~onyxgap.jobs.tables.FLEET_SHARD` is the fleet controller.
    """

    async def run(self) -> None:
        """Run the node until cancelled."""
        self.registration.started_at = self.clocks.read_boot()
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._follow_operator().run)
            group.start_soon(self.exchange.run)
            group.start_soon(self.queue_moves.run)
            group.start_soon(self._watch_owners)
            group.start_soon(self.lag.watch)
            group.start_soon(self._run_peers)
            if self.cloud is not None:
                watch = VmWatch(self.cloud, self.clocks, self._list_owners)
                group.start_soon(watch.run)

    async def _watch_owners(self) -> None:
        follower = Follower(
            self.store,
            tables.OWNER_TABLE,
            self._list_shards,
            self._apply_owner_rows,
            self.rng,
            wait_s=0.0,
            pause_s=OWNER_POLL_S,
            on_caught_up=self._note_owners_read,
            read_boot=self.clocks.read_monotonic,
        )
        assert self._group is not None
        self._group.start_soon(follower.run)
        while True:
            await anyio.sleep(CLAIM_CHECK_S)
            self._note_start_steps(follower)
            if self.routes.configuration is not None and not self._stopping:
                self._claim_next_shard(follower)
            self._report_unowned_shards(follower)

    def _note_start_steps(self, follower: Follower) -> None:
        if self.registration.registered:
            self.start_times.note(StartStep.REGISTERED)
        if follower.after:
            self.start_times.note(StartStep.OWNERS)

    def _report_unowned_shards(self, follower: Follower) -> None:
        now = self.clocks.read_monotonic()
        if not self.unowned_shards.is_due(now):
            return
        views = {
            shard: self.views.get(shard)
            for shard in self._list_shards()
            if not self._owns(shard)
        }
        progress = ClaimProgress(
            self._build_claimant(),
            self._store_reachable_since,
            bool(follower.after),
            self._may_claim(),
            self._stopping,
            self._claiming,
            self._claim_after,
        )
        self.unowned_shards.check(views, progress, self.lag.seconds, now)

    def _note_owners_read(self, sent_at: float) -> None:
        self._owners_read_at = sent_at

    def _measure_unseen(self, now: float) -> float:
        """Return by how many seconds this node may see a renewal late."""
        read_age_s = now - self._owners_read_at
        delay_s = max(0.0, read_age_s - OWNER_POLL_S - READ_SLACK_S)
        return self.health.get_lag() + delay_s

    def _list_shards(self) -> t.Sequence[str]:
        if self.routes.configuration is None:
            return ()
        fleet_shards = [tables.FLEET_SHARD] if self.cloud is not None else []
        return [*self.routes.list_shards(), *fleet_shards]

    def _list_owners(self) -> list[ShardOwner]:
        return list(self.owners.values())

    def _count_owned(self) -> int:
        return len(self.owners) + (self.fleet_controller is not None)

    def _apply_owner_rows(self, rows: t.Sequence[StoredRow], snapshot: bool) -> None:
        now = self.clocks.read_monotonic()
        for row, owner in decode_rows(
            rows,
            lambda row: tables.decode_owner(row.value),
            self.skipped,
            "owner row skipped",
        ):
            if owner is not None and row.version > self._get_known_version(row):
                self._update_owner_view(row.row_id.part, owner, row.version, now)

    def _update_owner_view(
        self, shard: str, owner: OwnerRow, version: int, now: float
    ) -> None:
        view = self.views.get(shard) or OwnerView(None, 0, now)
        store_ms = self.health.store_clock.get_earliest_ms(self.clocks.read_boot())
        self.views[shard] = view.replace_row(owner, version, now, store_ms)

    def _get_known_version(self, row: StoredRow) -> int:
        view = self.views.get(row.row_id.part)
        return view.version if view is not None else -1

    def _claim_next_shard(self, follower: Follower) -> None:
        now = self.clocks.read_monotonic()
        reachable_since = self._update_store_reachable_since(now)
        if reachable_since is None or not follower.after or not self._may_claim():
            return
        for shard in self._list_shards():
            self.views.setdefault(shard, OwnerView(None, 0, now))
        views = {
            shard: view
            for shard, view in self.views.items()
            if not self._owns(shard)
            and shard not in self._claiming
            and now >= self._claim_after.get(shard, 0.0)
            and shard in self._list_shards()
        }
        claimant = self._build_claimant()
        assert self._group is not None
        for shard in list_claimable(views, claimant, reachable_since, now)[:1]:
            self._claiming.add(shard)
            view = views[shard]
            _LOG.info(
                "claiming shard",
                shard=shard,
                owner=view.row.node if view.row else "",
                epoch=view.row.epoch if view.row else 0,
                version=view.version,
                unchanged_s=round(now - view.changed_at, 2),
                heard_s=round(now - reachable_since, 2),
                unseen_s=round(claimant.unseen_s, 2),
                takeovers=len(view.takeovers),
            )
            self._group.start_soon(self._claim, shard, view)

    def _build_claimant(self) -> Claimant:
        small_vm = is_small_vm(self.memory_mb, self.members.values())
        return Claimant(
            self.settings.node,
            self.boot,
            self._count_owned(),
            self.health.latency_s,
            small_vm,
            yields=small_vm and self.settings.contended,
            unseen_s=self._measure_unseen(self.clocks.read_monotonic()),
        )

    def _may_claim(self) -> bool:
        # other nodes take an owner of another process for ended once a later one of
        # its node has registered
        if self.registration.registered or not self.peers.get_address():
            return True
        age_s = self.clocks.read_boot() - self.registration.started_at
        return age_s >= MAX_REGISTRATION_WAIT_S

    def _update_store_reachable_since(self, now: float) -> float | None:
        answered_at = self.health.answered_at
        if self.health.is_down(now) or not answered_at:
            self._store_reachable_since = None
        elif (
            self._store_reachable_since is None
            or answered_at - self._store_answered_at > MAX_ANSWER_GAP_S
        ):
            self._store_reachable_since = now
        self._store_answered_at = answered_at
        return self._store_reachable_since

    def _owns(self, shard: str) -> bool:
        if shard == tables.FLEET_SHARD:
            return self.fleet_controller is not None
        return shard in self.owners

    async def _claim(self, shard: str, view: OwnerView) -> None:
        # While this claim is in progress, the shard stays in _claiming. A concurrent
        # claim would write an equal row, and could mistake this claim for its own.
        try:
            await self._try_claim(shard, view)
        finally:
            self._claiming.discard(shard)
            pause_s = CLAIM_BACKOFF_S * self.rng.uniform(0.5, 1.0)
            self._claim_after[shard] = self.clocks.read_monotonic() + pause_s

    async def _try_claim(self, shard: str, view: OwnerView) -> None:
        # Expect the version on which the decision to claim was based. self.views may
        # hold a newer row by now, for example the claim of another node.
        previous_epoch = view.row.epoch if view.row else 0
        row = OwnerRow(
            self.settings.node,
            self.boot,
            previous_epoch + 1,
            former_grants_end_ms=self.former_owners.get_claim_end_ms(shard, view),
        )
        owner_row = tables.get_owner_row(shard)
        nonce = f"{self.boot}/{row.epoch}/0"
        batch = Batch(
            {owner_row: view.version},
            {
                owner_row: tables.encode_owner(row),
                tables.get_fence_row(shard): nonce.encode(),
            },
        )
        sent_at = self.clocks.read_boot()
        for _ in range(CLAIM_ATTEMPTS):
            outcome = await self.store.write(batch)
            now = self.clocks.read_monotonic()
            version = 0
            if isinstance(outcome, Applied):
                version = outcome.version
            elif isinstance(outcome, Conflict):
                stored_row = outcome.find(owner_row)
                if stored_row and stored_row.value == tables.encode_owner(row):
                    version = stored_row.version
                else:
                    self._apply_owner_rows(outcome.rows, False)
                    return
            if version:
                self._update_owner_view(shard, row, version, now)
                grants = GrantPeriod(self.clocks.read_boot, sent_at)
                self._start_owner(_Claim(shard, view, row, version, nonce, grants))
                return
            await anyio.sleep(CLAIM_RETRY_S)

    def _start_owner(self, claim: _Claim) -> None:
        shard, row = claim.shard, claim.row
        _LOG.info("shard claimed", shard=shard, epoch=row.epoch, version=claim.version)
        self.start_times.note(StartStep.CLAIM)
        if shard == tables.FLEET_SHARD:
            self.fleet_controller = self._build_fleet_controller(claim)
            run = self.fleet_controller.run
        else:
            self.owners[shard] = self._build_shard_owner(claim)
            run = self.owners[shard].run
        assert self._group is not None
        self._group.start_soon(self._run_owner, shard, row.epoch, run)

    def _build_writer(self, claim: _Claim) -> FencedWriter:
        return FencedWriter(
            claim.shard,
            claim.row,
            claim.version,
            claim.nonce,
            self.store,
            self.rng,
            claim.grants,
            self.settings.store_limits.row_bytes,
        )

    def _build_fleet_controller(self, claim: _Claim) -> FleetController:
        assert self.cloud is not None
        return FleetController(
            self._build_writer(claim),
            self.cloud,
            self.store,
            self.clocks,
            self.settings.limits,
            self.routes,
            self.waves,
            self.decoders.encode_wave_status,
            self.rng,
            sizer=self.build_sizer(),
            skipped=self.skipped,
            health=self.health,
            work=self.lag.work,
        )

    def _build_shard_owner(self, claim: _Claim) -> ShardOwner:
        former_grants = self.former_owners.bound(claim.shard, claim.previous)
        writer, context = self._build_writer(claim), self._build_owner_context()
        owner = ShardOwner(writer, context, former_grants)
        owner.set_former_grants_end(self.former_owners.get_end_ms(former_grants))
        return owner

    async def _run_owner(
        self, shard: str, epoch: int, run: t.Callable[[], t.Awaitable[None]]
    ) -> None:
        try:
            await run()
        except OwnershipLostError as error:
            _LOG.info("shard lost", shard=shard, reason=str(error))
            self.registration.note_lost(shard, epoch)
        except PlatformUnavailableError as error:
            _LOG.info("shard not loaded", shard=shard, reason=str(error))
            self.registration.note_lost(shard, epoch)
        except Exception:
            # An error in one shard must not stop the others; the shard is claimed anew.
            self.shards_failed += 1
            _LOG.exception("shard failed", shard=shard, epoch=epoch)
            self.registration.note_lost(shard, epoch)
        finally:
            if shard == tables.FLEET_SHARD:
                self.fleet_controller = None
            else:
                self.owners.pop(shard, None)
        now = self.clocks.read_monotonic()
        view = self.views[shard]
        self.views[shard] = attrs.evolve(view, changed_at=now, renewed_at=None)

    async def release(self) -> None:
        """Release all owned shards, and return once that is done; claim none again."""
        self._stopping = True
        self.job_api.stopping = True
        owners: list[ShardOwner | FleetController] = list(self.owners.values())
        if self.fleet_controller is not None:
            owners.append(self.fleet_controller)
        for owner in owners:
            owner.releasing = True
            owner.wake()
        for owner in owners:
            await owner.released.wait()
