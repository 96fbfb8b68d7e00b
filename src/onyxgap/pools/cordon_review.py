"""Decides which cordons are lifted before their VMs were moved or maintained.

A cordon ends with the worker, once its VM is moved or maintained. One whose order does
not come to an end would keep a VM closed for as long as the platform is silent. It is
lifted, unless an order about the VM may still be carried out: that order would end the
runs that were placed meanwhile.
"""

import enum
import typing as t

import attrs
import structlog

from .cordons import Cordon
from .cordons import CordonReason
from .fleet_state import LATE_ORDER_S
from .fleet_state import FleetControllerState
from .fleet_state import PendingOrder
from .fleet_state import WaveProgress
from .messages import PoolReport
from .messages import Vm
from .messages import VmOrder
from .messages import VmState

OVERDUE_S = 2.0
"""Time beyond the duration of a move or maintenance from which a VM hangs."""
MAX_DRAIN_S = 8.0
"""Time within which a worker is drained; serving tasks leave it one by one."""
REOPEN_S = 4.0
"""Time for which a VM is not cordoned again after it was not drained in time."""

_LOG = structlog.get_logger()


class LiftReason(enum.Enum):
    """Why a cordon is lifted."""

    NOT_DUE = "maintenance not due"
    INTERFACE_AWAY = "VM interface away"
    OTHERS_HANG = "maintenance of others hangs"
    NOT_ORDERED = "not ordered in time"


@attrs.frozen(slots=True)
class CordonedVm:
    """A cordoned VM.

    :param vm: the VM.
    :param cordon: its cordon.
    """

    vm: Vm
    cordon: Cordon


@attrs.define
class CordonReview(FleetControllerState):
    """Lifts cordons that would not come to an end."""

    def _remove_void_orders(self, now: float) -> None:
        """Remove orders without an answer that are not carried out any more."""
        self._unanswered_at = {
            name: at
            for name, at in self._unanswered_at.items()
            if now - at < LATE_ORDER_S
        }
        for name, pending in list(self.pending_orders.items()):
            if pending.resend_at is not None and name not in self._unanswered_at:
                del self.pending_orders[name]

    def _list_resends(self, now: float) -> list[VmOrder]:
        """List the orders to send again; a single one while orders are away.

        It is always the same one, preferably about a VM that is not in use, so that the
        others become void.
        """
        due = [
            pending
            for pending in self.pending_orders.values()
            if pending.resend_at is not None and now >= pending.resend_at
        ]
        if due and self.interface.are_orders_away(now):
            may_probe = self.interface.is_probe_due(now) and not self._awaits_reply()
            due = [self._choose_probe()] if may_probe else []
        for pending in due:
            pending.resend_at = None
        return [pending.order for pending in due]

    def _awaits_reply(self) -> bool:
        return any(
            pending.answered_at is None and pending.resend_at is None
            for pending in self.pending_orders.values()
        )

    def _choose_probe(self) -> PendingOrder:
        unanswered = [
            pending
            for pending in self.pending_orders.values()
            if pending.resend_at is not None
        ]
        return max(unanswered, key=self._get_probe_key)

    def _get_probe_key(self, pending: PendingOrder) -> tuple[bool, float, str]:
        name = pending.order.vm
        is_spare = name in self.vms and self.vms[name].pool == self.spare_pool
        return is_spare, self._last_ordered_at.get(name, 0.0), name

    def _may_order(self, vm: Vm, now: float) -> bool:
        """Tell whether a new order about a VM may be sent."""
        if self.interface.are_orders_away(now):
            return self._may_probe(now)
        return vm.pool == self.spare_pool or not self.interface.are_lists_away(now)

    def _may_probe(self, now: float) -> bool:
        """Tell whether a new order may find out if orders are answered again."""
        without_reply = any(
            pending.answered_at is None for pending in self.pending_orders.values()
        )
        return self.interface.is_probe_due(now) and not without_reply

    def _may_cordon(self, now: float) -> bool:
        """Tell whether another worker may be cordoned."""
        if self.interface.are_lists_away(now):
            return False
        if self.interface.are_orders_away(now):
            return not self.cordons and self._may_probe(now)
        return True

    def _may_be_carried_out(self, name: str) -> bool:
        """Tell whether an order about a VM is in flight, or may be carried out late."""
        return name in self.pending_orders or name in self._unanswered_at

    def _lift_idle_cordons(self, now: float) -> None:
        """Lift the cordons whose orders would not come to an end."""
        cordoned = self._list_liftable()
        lifted = self._list_undue(cordoned)
        lifted |= self._list_unavailable(cordoned, now)
        for progress in self.waves.values():
            lifted |= self._list_behind_hanging(progress, cordoned, now)
        lifted |= self._list_not_drained(cordoned, now)
        for item in cordoned:
            reason = lifted.get(item.vm.name)
            if reason is not None:
                self._lift(item, reason, now)

    def _list_liftable(self) -> list[CordonedVm]:
        return [
            CordonedVm(vm, self.cordons[vm.worker_id])
            for vm in self.vms.values()
            if vm.worker_id in self.cordons and not self._may_be_carried_out(vm.name)
        ]

    def _list_undue(self, cordoned: t.Sequence[CordonedVm]) -> dict[str, LiftReason]:
        due = {
            name
            for progress in self.waves.values()
            for name in self._list_remaining(progress)
        }
        return {
            item.vm.name: LiftReason.NOT_DUE
            for item in cordoned
            if item.cordon.reason is CordonReason.UPKEEP and item.vm.name not in due
        }

    def _list_unavailable(
        self, cordoned: t.Sequence[CordonedVm], now: float
    ) -> dict[str, LiftReason]:
        if not self.interface.is_away(now):
            return {}
        kept = not self.interface.are_lists_away(now) and self._may_probe(now)
        return {
            item.vm.name: LiftReason.INTERFACE_AWAY
            for item in cordoned[1 if kept else 0 :]
        }

    def _list_behind_hanging(
        self, progress: WaveProgress, cordoned: t.Sequence[CordonedVm], now: float
    ) -> dict[str, LiftReason]:
        """List VMs of a wave that wait for others whose maintenance hangs."""
        room = self._count_wave_room(progress, now)
        names = [
            item.vm.name
            for item in cordoned
            if item.cordon.reason is CordonReason.UPKEEP
            and item.vm.name in progress.wave.vms
        ]
        return dict.fromkeys(names[room:], LiftReason.OTHERS_HANG)

    def _count_wave_room(self, progress: WaveProgress, now: float) -> int:
        """Count the VMs that may be down for a wave beside those that hang."""
        hanging = sum(
            self.vms[name].state is VmState.UPKEEP and self._hangs(name, now)
            for name in progress.wave.vms
            if name in self.vms
        )
        return max(0, progress.wave.cap - hanging)

    def _hangs(self, name: str, now: float) -> bool:
        since = self._not_up_since.get(name, now)
        return now - since > self.upkeep_s + OVERDUE_S

    def _list_not_drained(
        self, cordoned: t.Sequence[CordonedVm], now: float
    ) -> dict[str, LiftReason]:
        return {
            item.vm.name: LiftReason.NOT_ORDERED
            for item in cordoned
            if self._waits_for_long(item, now)
            and has_waiting_work(self.reports.get(item.vm.pool))
        }

    def _waits_for_long(self, item: CordonedVm, now: float) -> bool:
        age_s = item.cordon.get_age_s(now)
        if age_s is None or age_s <= MAX_DRAIN_S:
            return False
        # a wave must end, however long its workers take to drain
        refused = now < self._paused_until.get(item.vm.name, 0.0)
        return item.cordon.reason is CordonReason.MOVE or refused

    def _lift(self, item: CordonedVm, reason: LiftReason, now: float) -> None:
        del self.cordons[item.vm.worker_id]
        if reason is LiftReason.NOT_ORDERED:
            self._paused_until[item.vm.name] = now + REOPEN_S
        _LOG.info(
            "cordon lifted",
            worker=item.vm.worker_id,
            vm=item.vm.name,
            pool=item.vm.pool,
            cordon=item.cordon.cordon_id,
            since_s=item.cordon.get_age_s(now),
            reason=reason.value,
            vm_list_age_s=self._get_list_age_in_pass_s(),
        )


def has_waiting_work(report: PoolReport | None) -> bool:
    """Return whether tasks of a pool wait for a worker.

    :param report: report of its shard, ``None`` if there is none.
    """
    return report is not None and bool(
        report.queued or report.serving_vms or report.late_vms
    )
