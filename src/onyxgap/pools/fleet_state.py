"""State of the fleet controller: VMs, maintenance waves, reports and pending orders."""

import attrs
import structlog

from .cordons import Cordon
from .cordons import CordonReason
from .cordons import Moment
from .messages import PoolReport
from .messages import Vm
from .messages import VmOrder
from .messages import VmState
from .messages import Wave
from .pending_orders import PendingOrder
from .vm_interface import VmInterface

_LOG = structlog.get_logger()


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

    def list_complete_waves(self) -> list[int]:
        """List maintenance waves whose VMs have all started maintenance or are gone.

        A list of VMs that is older than a wave may lack a VM that was added since.
        """
        return [
            number
            for number, progress in self.waves.items()
            if self.vms
            and not self._list_remaining(progress)
            and (self._is_list_newer(progress) or self._have_all_started(progress))
        ]

    def _is_list_newer(self, progress: WaveProgress) -> bool:
        return self.listed is not None and self.listed.at >= progress.seen_at

    @staticmethod
    def _have_all_started(progress: WaveProgress) -> bool:
        return progress.done.issuperset(progress.wave.vms)

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
