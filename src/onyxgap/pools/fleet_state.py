"""State of the fleet controller: VMs, maintenance waves, reports and pending orders."""

import typing as t

import attrs
import structlog

from .cordons import Cordon
from .cordons import CordonInForce
from .cordons import CordonReason
from .cordons import Moment
from .cordons import OrderProgress
from .cordons import read_cordons
from .messages import FleetRow
from .messages import PoolReport
from .messages import Vm
from .messages import VmActionKind
from .messages import VmOrder
from .messages import VmReply
from .messages import VmState
from .messages import Wave
from .vm_interface import VmInterface

RESEND_S = 0.5
"""Delay before an order is sent again; about the interval at which VMs are listed."""
REFUSED_PAUSE_S = 5.0
"""Pause after an order was refused as invalid: most such orders are refused again."""
LATE_ORDER_S = 13.0
"""Time after which an order without an answer is certainly not carried out."""
UPKEEP_MARGIN_S = 0.3
"""Margin after the duration of maintenance until it is certainly over."""

_LOG = structlog.get_logger()


@attrs.define(slots=True)
class PendingOrder:
    """Order whose effect the VM list does not show yet.

    :param order: the order.
    :param worker_id: worker of the VM before the order.
    :param answered_at: monotonic seconds of the reply that it was carried out.
    :param resend_at: monotonic seconds when it is sent again, if its outcome is
        unknown.
    :param sent_at: monotonic seconds of the pass that last sent it.
    """

    order: VmOrder
    worker_id: str
    answered_at: float | None = None
    resend_at: float | None = None
    sent_at: float | None = None

    def describe(self, now: float) -> OrderProgress:
        """Describe the progress of the order for the log.

        :param now: monotonic seconds.
        """
        sent_s = None if self.sent_at is None else round(now - self.sent_at, 3)
        return OrderProgress(
            self.order.kind.value, self.answered_at is not None, sent_s
        )


@attrs.define(slots=True)
class WaveProgress:
    """Progress of a maintenance wave.

    :param wave: the wave.
    :param seen_at: monotonic seconds when it was first seen.
    :param done: VMs whose maintenance has started.
    """

    wave: Wave
    seen_at: float
    done: set[str] = attrs.field(factory=set)


@attrs.define
class FleetControllerState:
    """State of the fleet controller.

    :param upkeep_s: seconds that maintenance takes.
    :param epoch: fencing token of the fleet controller.
    :param startup_over: whether the start-up of the deployment was over under a
        previous fleet controller.
    :param spare_pool: service whose VMs are off, or empty.
    :param shards: services that run jobs.
    :param vms: VMs by name, as last listed.
    :param waves: progress of maintenance waves by number.
    :param reports: latest report by shard.
    :param cordons: cordon by worker to be drained.
    :param pending_orders: pending order by VM.
    :param sizes: desired number of VMs by pool; other pools keep their VMs.
    :param busy: pools that are in a burst.
    :param base: base size by pool: its VMs when the first fleet controller started.
    :param listed: time when the VM list in use was requested, ``None`` before the
        first.
    """

    upkeep_s: float
    epoch: int = 0
    startup_over: bool = False
    spare_pool: str = ""
    shards: frozenset[str] = frozenset()
    vms: dict[str, Vm] = attrs.field(factory=dict)
    waves: dict[int, WaveProgress] = attrs.field(factory=dict)
    reports: dict[str, PoolReport] = attrs.field(factory=dict)
    cordons: dict[str, Cordon] = attrs.field(factory=dict)
    pending_orders: dict[str, PendingOrder] = attrs.field(factory=dict)
    sizes: dict[str, int] = attrs.field(factory=dict)
    busy: frozenset[str] = frozenset()
    base: dict[str, int] = attrs.field(factory=dict)
    listed: Moment | None = None
    interface: VmInterface = attrs.field(factory=VmInterface)
    _pass_moment: Moment = Moment(0.0)
    _last_ordered_at: dict[str, float] = attrs.field(factory=dict)
    _unanswered_at: dict[str, float] = attrs.field(factory=dict)
    _not_up_since: dict[str, float] = attrs.field(factory=dict)
    _cordon_count: int = 0
    _startup_complete: bool = False
    _first_plan_at: float | None = None
    _paused_until: dict[str, float] = attrs.field(factory=dict)
    _refused_moves: set[tuple[str, str]] = attrs.field(factory=set)
    _reported_at: dict[str, float] = attrs.field(factory=dict)

    def restore(
        self, row: FleetRow, now: float, pause_s: float, store_ms: int | None = None
    ) -> None:
        """Restore the state that a previous fleet controller stored.

        The previous controller stored the name of each VM before it sent an order
        about that VM. Orders of two controllers about one VM must be at least
        ``pause_s`` apart, so these VMs receive no orders for that time. For all other
        VMs, no previous order can be in flight.

        :param row: the stored state.
        :param now: monotonic seconds of the claim.
        :param pause_s: minimum seconds between orders of two fleet controllers about
            one VM.
        :param store_ms: milliseconds of the store's clock at ``now``, if known.
        """
        self.cordons = read_cordons(row, Moment(now, store_ms))
        self.base = dict(row.base)
        self.startup_over = row.startup_over
        for name in row.ordered:
            self._last_ordered_at[name] = now
            self._paused_until[name] = now + pause_s
            self._unanswered_at[name] = now
        self.restore_maintained_vms(row)

    def forget_orders(self, before: float) -> None:
        """Forget which VMs received orders, except for recent and pending orders.

        :param before: monotonic seconds; earlier orders are forgotten.
        """
        self._last_ordered_at = {
            name: at
            for name, at in self._last_ordered_at.items()
            if at >= before
            or name in self.pending_orders
            or name in self._unanswered_at
        }

    def restore_maintained_vms(self, row: FleetRow) -> None:
        """Restore which VMs have started their maintenance."""
        for number, names in row.done.items():
            progress = self.waves.get(number)
            if progress is not None:
                progress.done |= names

    def get_row(self, written_at_ms: int | None = None) -> FleetRow:
        """Return the state to store for shards and for a successor.

        :param written_at_ms: milliseconds of the store's clock, if known.
        """
        done = {
            number: frozenset(progress.done) for number, progress in self.waves.items()
        }
        due = {
            self.vms[name].worker_id
            for progress in self.waves.values()
            for name in self._list_remaining(progress)
        }
        return FleetRow(
            {key: cordon.cordon_id for key, cordon in self.cordons.items()},
            done,
            frozenset(due - {""}),
            self.base,
            frozenset(self._last_ordered_at),
            self.startup_over or self._startup_complete,
            {
                key: cordon.set_at_ms
                for key, cordon in self.cordons.items()
                if cordon.set_at_ms is not None
            },
            {key: cordon.wave for key, cordon in self.cordons.items() if cordon.wave},
            self._list_ordered_workers(),
            self.epoch,
            self.listed.store_ms if self.listed is not None else None,
            written_at_ms,
        )

    def _list_ordered_workers(self) -> frozenset[str]:
        return frozenset(
            vm.worker_id
            for vm in self.vms.values()
            if vm.worker_id
            and vm.worker_id in self.cordons
            and vm.name in self._last_ordered_at
        )

    def list_cordons_in_force(self, now: float) -> list[CordonInForce]:
        """List the cordons with what is known of their workers and VMs.

        :param now: monotonic seconds.
        """
        vms = {vm.worker_id: vm for vm in self.vms.values()}
        return [
            self._describe_cordon(worker_id, cordon, vms.get(worker_id), now)
            for worker_id, cordon in self.cordons.items()
        ]

    def _describe_cordon(
        self, worker_id: str, cordon: Cordon, vm: Vm | None, now: float
    ) -> CordonInForce:
        pending = self.pending_orders.get(vm.name) if vm is not None else None
        return CordonInForce(
            worker_id,
            vm.name if vm is not None else "",
            vm.pool if vm is not None else "",
            cordon.cordon_id,
            cordon.reason.value if cordon.reason is not None else "",
            cordon.wave,
            cordon.get_age_s(now),
            pending.describe(now) if pending is not None else None,
            vm is not None and self._is_drained(vm),
        )

    def get_vm_list_age_s(self, now: float) -> float | None:
        """Return the age of the VM list in use, ``None`` before the first.

        :param now: monotonic seconds.
        """
        return None if self.listed is None else round(now - self.listed.at, 3)

    def add_wave(self, wave: Wave, now: float) -> None:
        """Add a maintenance wave, unless it is known already."""
        if wave.number not in self.waves:
            self.waves[wave.number] = WaveProgress(wave, now)
            _LOG.info(
                "maintenance wave added",
                wave=wave.number,
                vms=len(wave.vms),
                cap=wave.cap,
                duration_s=wave.duration_s,
            )

    def _get_list_age_in_pass_s(self) -> float | None:
        return self.get_vm_list_age_s(self._pass_moment.at)

    def apply_vm_list(
        self, vms: t.Iterable[Vm], sent_at: float, sent_at_ms: int | None = None
    ) -> None:
        """Update the VMs from a list of the platform.

        :param vms: all VMs.
        :param sent_at: monotonic seconds when the list was requested.
        :param sent_at_ms: the same time on the store's clock, if known.
        """
        self.listed = Moment(sent_at, sent_at_ms)
        self.interface.note_list(sent_at)
        self.vms = {vm.name: vm for vm in vms}
        self._not_up_since = {
            vm.name: self._not_up_since.get(vm.name, sent_at)
            for vm in self.vms.values()
            if vm.state is not VmState.UP
        }
        if not self.base:
            for vm in self.vms.values():
                self.base[vm.pool] = self.base.get(vm.pool, 0) + 1
        for name, pending in list(self.pending_orders.items()):
            if pending.answered_at is not None and sent_at > pending.answered_at:
                self._remove_if_complete(name, pending, sent_at)
        live = {vm.worker_id for vm in self.vms.values()}
        for worker_id in self.cordons.keys() - live:
            del self.cordons[worker_id]

    def _remove_if_complete(
        self, name: str, pending: PendingOrder, sent_at: float
    ) -> None:
        """Remove a pending order if the VM list shows its effect."""
        assert pending.answered_at is not None
        vm = self.vms.get(name)
        if vm is None or vm.state is VmState.DOWN:
            del self.pending_orders[name]
            return
        # a VM of the spare pool has no worker, neither before the order nor after it
        over = sent_at > pending.answered_at + self.upkeep_s + UPKEEP_MARGIN_S
        if vm.state is VmState.UP and (vm.worker_id != pending.worker_id or over):
            del self.pending_orders[name]

    def apply_reply(self, order: VmOrder, reply: VmReply, now: float) -> None:
        """Record the reply to an order.

        :param order: the order.
        :param reply: the platform's reply.
        :param now: monotonic seconds.
        """
        pending = self.pending_orders.get(order.vm)
        if pending is None or pending.order != order:
            return
        self._last_ordered_at[order.vm] = now
        _LOG.info(
            "reply to VM order received",
            vm=order.vm,
            kind=order.kind.value,
            wave=order.wave,
            pool=order.pool,
            reply=reply.value,
        )
        self.interface.note_reply(reply, now)
        if reply is VmReply.UNKNOWN:
            self._unanswered_at[order.vm] = now
        elif reply is VmReply.DONE and order.kind is VmActionKind.UPKEEP:
            # maintenance is carried out once for each wave, a move once more each time
            self._unanswered_at.pop(order.vm, None)
        # a refusal tells nothing of an earlier order that was not answered
        refused_later = reply is VmReply.RETRY and order.vm in self._unanswered_at
        if reply is VmReply.UNKNOWN or refused_later:
            pending.resend_at = now + RESEND_S
            return
        if order.kind is VmActionKind.UPKEEP and reply in (
            VmReply.DONE,
            VmReply.NOT_DUE,
        ):
            self.waves[order.wave].done.add(order.vm)
        if reply is VmReply.DONE:
            pending.answered_at = now
            pending.resend_at = None
            return
        del self.pending_orders[order.vm]
        self._paused_until[order.vm] = now + RESEND_S
        if reply is VmReply.INVALID:
            self._refused_moves.add((order.vm, order.pool))
            self._paused_until[order.vm] = now + REFUSED_PAUSE_S

    def withdraw_order(self, order: VmOrder, now: float) -> None:
        """Remove a pending order that was not sent.

        :param order: the order.
        :param now: monotonic seconds.
        """
        pending = self.pending_orders.get(order.vm)
        if pending is None or pending.order != order:
            return
        if order.vm in self._unanswered_at:
            pending.resend_at = now + RESEND_S
            return
        del self.pending_orders[order.vm]
        self._paused_until[order.vm] = now + RESEND_S

    def list_complete_waves(self) -> list[int]:
        """List maintenance waves whose VMs have all started maintenance or are gone."""
        return [
            number
            for number, progress in self.waves.items()
            if self.vms and not self._list_remaining(progress)
        ]

    def _list_remaining(self, progress: WaveProgress) -> list[str]:
        return [
            name
            for name in progress.wave.vms
            if name not in progress.done and name in self.vms
        ]

    def _is_available(self, name: str, now: float) -> bool:
        vm = self.vms[name]
        return (
            vm.state is VmState.UP
            and name not in self.pending_orders
            and now >= self._paused_until.get(name, 0.0)
            and (name not in self._unanswered_at or self._may_be_ordered_again(vm))
        )

    def _may_be_ordered_again(self, vm: Vm) -> bool:
        """Tell whether an earlier order about a VM, carried out late, would do no harm.

        Nothing runs on the VM, or the orders are for maintenance, which is carried out
        once for each wave.
        """
        is_idle = vm.pool not in self.shards
        return is_idle or self._is_cordoned(vm, CordonReason.UPKEEP)

    def _is_drained(self, vm: Vm) -> bool:
        if vm.pool not in self.shards:
            return True
        report = self.reports.get(vm.pool)
        return (
            report is not None
            and vm.worker_id in self.cordons
            and report.emptied.get(vm.worker_id) == self.cordons[vm.worker_id].cordon_id
        )

    def _cordon(self, vm: Vm, reason: CordonReason, wave: int = 0) -> None:
        # the cordon ID is unique: a shard that reported the worker drained under an
        # earlier cordon says nothing about this one
        self._cordon_count += 1
        self.cordons[vm.worker_id] = Cordon(
            f"{reason.value}#{self.epoch}.{self._cordon_count}",
            reason,
            wave,
            self._pass_moment.at,
            self._pass_moment.store_ms,
        )

    def _is_cordoned(self, vm: Vm, reason: CordonReason) -> bool:
        cordon = self.cordons.get(vm.worker_id)
        return cordon is not None and cordon.reason is reason

    def _add_pending(self, vm: Vm, order: VmOrder) -> VmOrder:
        self.pending_orders[vm.name] = PendingOrder(order, vm.worker_id)
        return order

    def count_vms(self) -> int:
        """Count the VMs that are not down."""
        return sum(vm.state is not VmState.DOWN for vm in self.vms.values())

    def _count_schedulable(self, pool: str) -> int:
        return sum(self._is_schedulable(vm, pool) for vm in self.vms.values())

    def _is_schedulable(self, vm: Vm, pool: str) -> bool:
        return (
            vm.pool == pool
            and vm.state is VmState.UP
            and vm.worker_id not in self.cordons
            and vm.name not in self.pending_orders
        )
