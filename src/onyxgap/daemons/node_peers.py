"""Notices between nodes: registers the node, sends and handles notices."""

import typing as t

import anyio
import attrs
import structlog

from ..jobs import tables
from ..jobs.members import decode_member
from ..jobs.members import is_small_vm
from ..jobs.members import list_large_vm_nodes
from ..jobs.notices import ConfigurationPart
from ..jobs.notices import ConfigurationQuestion
from ..jobs.notices import HandOver
from ..jobs.notices import JobNotice
from ..jobs.notices import Notice
from ..jobs.relief import ShardOfferPolicy
from ..jobs.store import StoredRow
from .follower import Follower
from .node_base import NodeBase
from .owned import OwnedShard
from .rows import decode_rows

MEMBERS_WAIT_S = 10.0
"""Maximum wait of one call that follows the member table. Members change only when
nodes start; until a change is read, the new member gets no notices."""
HAND_OVER_INTERVAL_S = 0.3
"""Interval of checking whether to offer shards to other nodes, and of repeating the
hand-over notices."""

_LOG = structlog.get_logger()


@attrs.define(eq=False)
class NodePeers(NodeBase):
    """Part of a node that exchanges notices; see :mod:`onyxgap.jobs.notices`."""

    def __attrs_post_init__(self) -> None:
        super().__attrs_post_init__()
        self.job_api.on_stored = self._notify_owner

    async def _run_peers(self) -> None:
        if not self.peers.get_address():
            return
        members = Follower(
            self.store,
            tables.MEMBER_TABLE,
            lambda: [tables.MEMBER_PART],
            self._apply_member_rows,
            self.rng,
            wait_s=MEMBERS_WAIT_S,
        )
        async with anyio.create_task_group() as group:
            group.start_soon(self.peers.run, self._handle_notice)
            group.start_soon(self.registration.run)
            group.start_soon(members.run)
            group.start_soon(self._send_hand_overs)
            if self.settings.contended:
                group.start_soon(self._offer_shards)
            if self.forwarding_api is not None:
                group.start_soon(self.calls.run, self.forwarding_api.answer)

    def _apply_member_rows(self, rows: t.Sequence[StoredRow], snapshot: bool) -> None:
        for row, member in decode_rows(
            rows,
            lambda row: decode_member(row.value, row.version),
            self.skipped,
            "member row skipped",
        ):
            if member is not None:
                self.members[row.row_id.key] = member
        self._update_former_grants()

    def _update_former_grants(self) -> None:
        for shard, owner in self.owners.items():
            grants = owner.former_grants
            if grants is not None and self.former_owners.update(shard, grants):
                owner.set_former_grants_end(self.former_owners.get_end_ms(grants))

    def _notify_owner(self, shard: str, key: str) -> None:
        owner = self.owners.get(shard)
        if owner is not None:
            owner.fetch_if_missing(key)
            return
        view = self.views.get(shard)
        if view is None or view.row is None:
            return
        member = self.members.get(view.row.node)
        if member is not None and member.address:
            self.peers.send(member.address, JobNotice(shard, key))

    async def _send_hand_overs(self) -> None:
        """Send hand-over notices for all owned shards while the store is down."""
        logged = False
        while True:
            await anyio.sleep(HAND_OVER_INTERVAL_S)
            if not self.health.is_down(self.clocks.read_monotonic()):
                logged = False
                continue
            owned: list[OwnedShard] = [*self.owners.values()]
            if self.fleet_controller is not None:
                owned.append(self.fleet_controller)
            if owned and not logged:
                _LOG.info(
                    "sending hand-over notices", shards=[item.shard for item in owned]
                )
                logged = True
            for item in owned:
                self._notify_all_nodes(HandOver(item.shard, self.boot, item.epoch))

    async def _offer_shards(self) -> None:
        """Offer shards to nodes on large VMs.

        Does so while this node's VM is small or its event loop lags.
        """
        offer_policy = ShardOfferPolicy()
        while True:
            await anyio.sleep(HAND_OVER_INTERVAL_S)
            now = self.clocks.read_monotonic()
            offer_policy.small_vm = is_small_vm(self.memory_mb, self.members.values())
            offer_policy.observe_lag(self.lag.seconds, now)
            if offer_policy.small_vm:
                self._offer_previous_shards()
            for owner in list(self.owners.values()):
                if owner.loaded_at is None or self._stopping:
                    continue
                owned_s = now - owner.loaded_at
                if offer_policy.should_offer(owner.shard, owner.epoch, owned_s, now):
                    _LOG.info(
                        "shard offered",
                        shard=owner.shard,
                        epoch=owner.epoch,
                        weak=offer_policy.small_vm,
                        lag_s=round(self.lag.seconds, 3),
                    )
                    self._notify_large_vm_nodes(
                        HandOver(owner.shard, self.boot, owner.epoch)
                    )

    def _offer_previous_shards(self) -> None:
        """Offer the shards of a previous process of this node, which no longer runs."""
        for shard, view in self.views.items():
            row = view.row
            if shard == tables.FLEET_SHARD or row is None or row.released:
                continue
            if row.node == self.settings.node and row.boot != self.boot:
                self._notify_large_vm_nodes(HandOver(shard, row.boot, row.epoch))

    def _notify_large_vm_nodes(self, notice: HandOver) -> None:
        for node in list_large_vm_nodes(self.settings.node, self.members):
            self.peers.send(self.members[node].address, notice)

    def _notify_all_nodes(self, notice: Notice) -> None:
        for node, member in self.members.items():
            if node != self.settings.node:
                self.peers.send(member.address, notice)

    def _handle_notice(self, notice: Notice) -> None:
        if isinstance(notice, JobNotice):
            owner = self.owners.get(notice.shard)
            if owner is not None:
                owner.fetch_if_missing(notice.key)
        elif isinstance(notice, HandOver):
            self._handle_hand_over(notice)
        elif isinstance(notice, ConfigurationQuestion):
            self.exchange.answer(notice)
        elif isinstance(notice, ConfigurationPart):
            self.exchange.handle_answer(notice)

    def _handle_hand_over(self, notice: HandOver) -> None:
        view = self.views.get(notice.shard)
        row = view.row if view is not None else None
        if view is None or row is None:
            return
        if (row.boot, row.epoch) != (notice.boot, notice.epoch):
            return
        handed_over = view.record_hand_over(self.clocks.read_monotonic())
        if handed_over.handed_over_at != view.handed_over_at:
            _LOG.info(
                "hand-over notice received",
                shard=notice.shard,
                owner=row.node,
                epoch=row.epoch,
            )
        self.views[notice.shard] = handed_over
