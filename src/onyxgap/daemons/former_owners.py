"""Learns until when former owners of this node's shards may have granted leases."""

import typing as t

import attrs
import structlog

from ..clocks import Clocks
from ..jobs.health import StoreHealth
from ..jobs.leases import FormerGrants
from ..jobs.leases import bound_former_grants
from ..jobs.leases import find_grants_end
from ..jobs.members import Member
from ..jobs.ownership import OwnerView
from .member_registration import MemberRegistration

_LOG = structlog.get_logger()


@attrs.define(eq=False)
class FormerOwners:
    """Bounds the grants of former owners by what is known of their processes.

    :param clocks: the process's clocks.
    :param health: knows the store's clock.
    :param members: all registered nodes by name.
    :param registration: registration of this node.
    """

    clocks: Clocks
    health: StoreHealth
    members: t.Mapping[str, Member]
    registration: MemberRegistration

    def bound(self, shard: str, view: OwnerView) -> FormerGrants:
        """Bound the grants before a claim that succeeds now.

        :param shard: the claimed shard.
        :param view: what was known of the previous owner.
        """
        end_ms = view.row.former_grants_end_ms if view.row else None
        inherited_until = None if end_ms is None else self._convert(end_ms)
        now = self.clocks.read_monotonic()
        grants = bound_former_grants(view, inherited_until, now)
        self.update(shard, grants)
        return grants

    def get_claim_end_ms(self, shard: str, view: OwnerView) -> int | None:
        """Return the bound that a claim tells the next owner, before it succeeds.

        :param shard: the shard to be claimed.
        :param view: what is known of the previous owner.
        :returns: milliseconds of the store's clock; ``None`` if the bound depends on
            when the claim succeeds.
        """
        if view.row is not None and view.row.former_grants_end_ms is None:
            return None
        return self.get_end_ms(self.bound(shard, view))

    def update(self, shard: str, grants: FormerGrants) -> bool:
        """Lower a bound if the previous owner is known to have stopped.

        :param shard: the shard.
        :param grants: the bound.
        :returns: whether it was lowered.
        """
        ended_at = self._find_end(shard, grants.view)
        if ended_at is None or not grants.note_end(ended_at):
            return False
        row = grants.view.row
        _LOG.info(
            "former owner known to have ended",
            shard=shard,
            owner=row.node if row else "",
            epoch=row.epoch if row else 0,
            ended_s=round(self.clocks.read_monotonic() - ended_at, 3),
        )
        return True

    def get_end_ms(self, grants: FormerGrants) -> int | None:
        """Return a bound as milliseconds of the store's clock, ``None`` if unknown.

        :param grants: the bound.
        """
        # the clock that is read first is that of the bound, in case of a pause between
        wait_s = grants.until - self.clocks.read_monotonic()
        now = self.clocks.read_boot()
        return self.health.store_clock.get_latest_ms_at(now + wait_s, now)

    def _find_end(self, shard: str, view: OwnerView) -> float | None:
        row = view.row
        if row is None:
            return None
        own = self.registration
        if row.node == own.node:
            # a process claims no shard that it owns
            is_own = row.boot == own.member.boot
            now = self.clocks.read_monotonic()
            return now if is_own else self._get_process_start()
        member = self.members.get(row.node)
        end_ms = None if member is None else find_grants_end(shard, view, member)
        return None if end_ms is None else self._convert(end_ms)

    def _get_process_start(self) -> float:
        age_s = self.clocks.read_boot() - self.registration.started_at
        return self.clocks.read_monotonic() - age_s

    def _convert(self, store_ms: int) -> float | None:
        """Return the latest monotonic second at which the store's clock shows it."""
        now = self.clocks.read_boot()
        wait_s = self.health.store_clock.get_longest_wait_s(store_ms, now)
        return None if wait_s is None else self.clocks.read_monotonic() + wait_s
