"""Plans maintenance and moves of VMs; pure state, fed with lists and reports.

A VM is touched only when nothing runs on it: its worker is cordoned, the shard's
owner reports it empty, and only then is the order given. VMs of the spare pool
run nothing and need no cordon.
"""

import math
import typing as t

import attrs
import structlog

from .messages import FleetRow
from .messages import PoolReport
from .messages import Vm
from .messages import VmActionKind
from .messages import VmOrder
from .messages import VmReply
from .messages import VmState
from .messages import Wave
from .sizing import count_needed

UPKEEP_REASON = "upkeep"
MOVE_REASON = "move"
RESEND_S = 0.5
REFUSED_PAUSE_S = 5.0
SETTLE_S = 8.0
"""VMs start within seconds of each other; one that does not is down."""
LAND_MARGIN_S = 0.3
"""Maintenance is certainly over this long after the time that it takes."""
WAVE_MARGIN_S = 4.0
"""A wave is planned to begin its last VM this long before it is due."""
IDLE_SHARE = 0.5
"""Share of an idle pool that stays open during maintenance, which takes 2 s."""
DRAIN_S = 2.5
"""Time that a cordoned worker takes to become empty: most tasks end within 2 s."""

_LOG = structlog.get_logger()


@attrs.define(slots=True)
class Flight:
    """An order whose effect is not seen yet.

    :param order: the order.
    :param worker_id: worker of the VM before it.
    :param answered_at: monotonic seconds of the answer that it is done.
    :param resend_at: monotonic seconds when it is due again, if it is unknown.
    """

    order: VmOrder
    worker_id: str
    answered_at: float | None = None
    resend_at: float | None = None


@attrs.define(slots=True)
class WaveProgress:
    """A wave and how far it got.

    :param wave: what was asked for.
    :param seen_at: monotonic seconds when it was first seen.
    :param done: VMs that have begun.
    """

    wave: Wave
    seen_at: float
    done: set[str] = attrs.field(factory=set)


@attrs.define
class FleetPlanner:
    """State of the holder of the fleet duty.

    :param upkeep_s: seconds that maintenance takes.
    :param epoch: fencing token of the holder.
    :param successor: whether the deployment ran under an earlier holder.
    :param spare_pool: service whose VMs are off, or empty.
    :param shards: services that run jobs.
    :param vms: VMs by name, as last listed.
    :param waves: waves by number.
    :param reports: newest report by shard.
    :param cordons: workers to be emptied, with the reason.
    :param flights: orders under way, by VM.
    :param busy: pools whose turn is on.
    :param base: VMs of each pool when the first holder began.
    :param sizes: wanted number of VMs by pool; pools without one keep theirs.
    """

    upkeep_s: float
    epoch: int = 0
    successor: bool = False
    spare_pool: str = ""
    shards: frozenset[str] = frozenset()
    vms: dict[str, Vm] = attrs.field(factory=dict)
    waves: dict[int, WaveProgress] = attrs.field(factory=dict)
    reports: dict[str, PoolReport] = attrs.field(factory=dict)
    cordons: dict[str, str] = attrs.field(factory=dict)
    flights: dict[str, Flight] = attrs.field(factory=dict)
    sizes: dict[str, int] = attrs.field(factory=dict)
    busy: frozenset[str] = frozenset()
    base: dict[str, int] = attrs.field(factory=dict)
    _cordons_made: int = 0
    _settled: bool = False
    _first_plan_at: float | None = None
    _pauses: dict[str, float] = attrs.field(factory=dict)
    _barred: set[tuple[str, str]] = attrs.field(factory=set)

    # inputs

    def restore(self, row: FleetRow) -> None:
        """Take over what an earlier holder stored."""
        self.cordons = dict(row.cordons)
        self.base = dict(row.base)
        self.restore_done(row)

    def restore_done(self, row: FleetRow) -> None:
        """Take over which VMs had begun their maintenance."""
        for number, names in row.done.items():
            progress = self.waves.get(number)
            if progress is not None:
                progress.done |= names

    def get_row(self) -> FleetRow:
        """Give what shards and successors must know."""
        done = {
            number: frozenset(progress.done) for number, progress in self.waves.items()
        }
        due = {
            self.vms[name].worker_id
            for progress in self.waves.values()
            for name in self._list_left(progress)
        }
        return FleetRow(dict(self.cordons), done, frozenset(due - {""}), self.base)

    def add_wave(self, wave: Wave, now: float) -> None:
        """Take in a wave."""
        if wave.number not in self.waves:
            self.waves[wave.number] = WaveProgress(wave, now)
            _LOG.info(
                "wave seen",
                wave=wave.number,
                vms=len(wave.vms),
                cap=wave.cap,
                duration_s=wave.duration_s,
            )

    def apply_list(self, vms: t.Iterable[Vm], sent_at: float) -> None:
        """Take in a list of all VMs.

        :param vms: the VMs.
        :param sent_at: monotonic seconds when the list was asked for.
        """
        self.vms = {vm.name: vm for vm in vms}
        if not self.base:
            for vm in self.vms.values():
                self.base[vm.pool] = self.base.get(vm.pool, 0) + 1
        for name, flight in list(self.flights.items()):
            if flight.answered_at is not None and sent_at > flight.answered_at:
                self._land(name, flight, sent_at)
        live = {vm.worker_id for vm in self.vms.values()}
        for worker_id in self.cordons.keys() - live:
            del self.cordons[worker_id]

    def _land(self, name: str, flight: Flight, sent_at: float) -> None:
        assert flight.answered_at is not None
        vm = self.vms.get(name)
        if vm is None or vm.state is VmState.DOWN:
            del self.flights[name]
            return
        # a VM of the spare pool has no worker, before as well as after
        over = sent_at > flight.answered_at + self.upkeep_s + LAND_MARGIN_S
        if vm.state is VmState.UP and (vm.worker_id != flight.worker_id or over):
            del self.flights[name]

    def apply_reply(self, order: VmOrder, reply: VmReply, now: float) -> None:
        """Take in what became of an order.

        :param order: the order.
        :param reply: the platform's reply.
        :param now: monotonic seconds.
        """
        flight = self.flights.get(order.vm)
        if flight is None or flight.order != order:
            return
        _LOG.info(
            "order on VM answered",
            vm=order.vm,
            kind=order.kind.value,
            wave=order.wave,
            pool=order.pool,
            reply=reply.value,
        )
        if reply is VmReply.UNKNOWN:
            flight.resend_at = now + RESEND_S
            return
        if order.kind is VmActionKind.UPKEEP and reply in (
            VmReply.DONE,
            VmReply.NOT_DUE,
        ):
            self.waves[order.wave].done.add(order.vm)
        if reply is VmReply.DONE:
            flight.answered_at = now
            flight.resend_at = None
            return
        del self.flights[order.vm]
        self._pauses[order.vm] = now + RESEND_S
        if reply is VmReply.INVALID:
            self._barred.add((order.vm, order.pool))
            self._pauses[order.vm] = now + REFUSED_PAUSE_S

    # decisions

    def plan(self, now: float) -> list[VmOrder]:
        """Choose orders, and which workers are to be emptied.

        :param now: monotonic seconds.
        """
        orders = [
            flight.order
            for flight in self.flights.values()
            if flight.resend_at is not None and now >= flight.resend_at
        ]
        for order in orders:
            self.flights[order.vm].resend_at = None
        for progress in self.waves.values():
            orders += self._plan_wave(progress, now)
        orders += self._plan_moves(now)
        return orders

    def find_complete(self) -> list[int]:
        """List waves of which each VM has begun or left."""
        return [
            number
            for number, progress in self.waves.items()
            if self.vms and not self._list_left(progress)
        ]

    def _list_left(self, progress: WaveProgress) -> list[str]:
        return [
            name
            for name in progress.wave.vms
            if name not in progress.done and name in self.vms
        ]

    def _is_free(self, name: str, now: float) -> bool:
        vm = self.vms[name]
        return (
            vm.state is VmState.UP
            and name not in self.flights
            and now >= self._pauses.get(name, 0.0)
        )

    def _is_empty(self, vm: Vm) -> bool:
        if vm.pool not in self.shards:
            return True
        report = self.reports.get(vm.pool)
        return (
            report is not None
            and vm.worker_id in self.cordons
            and report.emptied.get(vm.worker_id) == self.cordons[vm.worker_id]
        )

    def _cordon(self, vm: Vm, reason: str) -> None:
        # a name that is used once: a shard's answer to an earlier cordon of the
        # same worker says nothing of this one
        self._cordons_made += 1
        self.cordons[vm.worker_id] = f"{reason}#{self.epoch}.{self._cordons_made}"

    def _is_cordoned(self, vm: Vm, reason: str) -> bool:
        return self.cordons.get(vm.worker_id, "").startswith(reason + "#")

    def _start(self, vm: Vm, order: VmOrder) -> VmOrder:
        self.flights[vm.name] = Flight(order, vm.worker_id)
        return order

    # maintenance

    def _plan_wave(self, progress: WaveProgress, now: float) -> t.Iterator[VmOrder]:
        wave = progress.wave
        left = [name for name in self._list_left(progress) if self._is_free(name, now)]
        slots = wave.cap - self._count_down(wave)
        ready = [name for name in left if self._is_empty(self.vms[name])]
        for name in ready[: max(0, slots)]:
            order = VmOrder(name, VmActionKind.UPKEEP, wave=wave.number)
            yield self._start(self.vms[name], order)
        self._cordon_wave(progress, [name for name in left if name not in ready], now)

    def _count_down(self, wave: Wave) -> int:
        down = {
            name
            for name, flight in self.flights.items()
            if flight.order.kind is VmActionKind.UPKEEP and name in wave.vms
        }
        down |= {
            name
            for name in wave.vms
            if name in self.vms and self.vms[name].state is VmState.UPKEEP
        }
        return len(down)

    def _cordon_wave(
        self, progress: WaveProgress, names: t.Sequence[str], now: float
    ) -> None:
        pending = sum(self.vms[name].worker_id in self.cordons for name in names)
        fresh = [
            self.vms[name]
            for name in names
            if self.vms[name].worker_id not in self.cordons
        ]
        fresh.sort(key=self._rate_load)
        forced = self._count_forced(progress, len(names), now)
        for vm in fresh:
            if pending >= progress.wave.cap:
                return
            if pending >= forced and self._count_slack(vm.pool) < 1:
                continue
            self._cordon(vm, UPKEEP_REASON)
            pending += 1
            _LOG.info(
                "worker cordoned",
                worker=vm.worker_id,
                vm=vm.name,
                pool=vm.pool,
                wave=progress.wave.number,
                forced=pending <= forced,
            )

    def _count_forced(self, progress: WaveProgress, left: int, now: float) -> int:
        """Count VMs that must be emptied at once for the wave to end in time."""
        due = progress.seen_at + progress.wave.duration_s - WAVE_MARGIN_S
        rounds = math.floor((due - now) / (self.upkeep_s + DRAIN_S))
        return left - progress.wave.cap * max(0, rounds - 1)

    def _rate_load(self, vm: Vm) -> tuple[int, int, int, str]:
        report = self.reports.get(vm.pool)
        load = report.workers.get(vm.worker_id) if report else None
        spare = -self._count_slack(vm.pool)
        if load is None:
            return (spare, 0, 0, vm.name)
        return (spare, load.serving, load.cpu_used, vm.name)

    def _count_open(self, pool: str) -> int:
        return sum(
            vm.pool == pool
            and vm.state is VmState.UP
            and vm.worker_id not in self.cordons
            and vm.name not in self.flights
            for vm in self.vms.values()
        )

    def _count_slack(self, pool: str) -> int:
        """Count open VMs of a pool that could be maintained without being missed.

        An idle pool keeps half of its VMs, in case its turn comes; a busy one keeps
        its size, since its need rises and falls within a second.
        """
        report = self.reports.get(pool)
        if report is None or pool not in self.sizes:
            # nothing is known of its need yet
            return 0
        needed = count_needed(report)
        share = 1.0 if pool in self.busy else IDLE_SHARE
        kept = max(needed, math.ceil(self.sizes.get(pool, 0) * share))
        return self._count_open(pool) - kept

    # moves

    def _plan_moves(self, now: float) -> t.Iterator[VmOrder]:
        if not self.sizes or not self.spare_pool or not self._is_settled(now):
            return
        lacks = self._count_lacks()
        self._cordon_surplus(lacks)
        for vm in self._list_movable(now):
            pool = self._choose_pool(vm, lacks)
            if pool == vm.pool:
                continue
            if pool in lacks:
                lacks[pool] -= 1
            order = VmOrder(vm.name, VmActionKind.MOVE, pool=pool)
            _LOG.info(
                "VM moves",
                vm=vm.name,
                source=vm.pool,
                pool=pool,
                wanted=self.sizes.get(pool, 0),
                open=self._count_open(pool),
            )
            yield self._start(vm, order)

    def _is_settled(self, now: float) -> bool:
        """Tell whether the deployment has started as far as it will.

        VMs that start one after the other would be taken for a lack of VMs.
        """
        if not self._settled and self.vms:
            if self._first_plan_at is None:
                self._first_plan_at = now
            all_up = all(vm.state is VmState.UP for vm in self.vms.values())
            reported = self.shards <= self.reports.keys()
            late = self.successor or now - self._first_plan_at > SETTLE_S
            self._settled = reported and (all_up or late)
        return self._settled

    def _count_lacks(self) -> dict[str, int]:
        """Count the VMs that each pool lacks; negative where it has too many."""
        lacks = {}
        for pool, wanted in self.sizes.items():
            coming = sum(
                flight.order.kind is VmActionKind.MOVE and flight.order.pool == pool
                for flight in self.flights.values()
            )
            mending = sum(
                vm.pool == pool
                and (
                    vm.state in (VmState.UPKEEP, VmState.MOVING)
                    or self._is_cordoned(vm, UPKEEP_REASON)
                )
                and not self._is_leaving(vm)
                for vm in self.vms.values()
            )
            lacks[pool] = wanted - self._count_open(pool) - coming - mending
        return lacks

    def _is_leaving(self, vm: Vm) -> bool:
        flight = self.flights.get(vm.name)
        return flight is not None and flight.order.kind is VmActionKind.MOVE

    def _cordon_surplus(self, lacks: t.Mapping[str, int]) -> None:
        for pool, lack in lacks.items():
            leaving = [
                vm
                for vm in self.vms.values()
                if vm.pool == pool
                and self._is_cordoned(vm, MOVE_REASON)
                and vm.name not in self.flights
            ]
            if lack > 0:
                for vm in leaving[:lack]:
                    del self.cordons[vm.worker_id]
            elif lack < 0:
                self._cordon_idle(pool, -lack)

    def _cordon_idle(self, pool: str, count: int) -> None:
        report = self.reports.get(pool)
        if report is None:
            return
        idle = []
        for vm in self.vms.values():
            load = report.workers.get(vm.worker_id)
            if vm.pool != pool or vm.state is not VmState.UP or load is None:
                continue
            if vm.worker_id in self.cordons or vm.name in self.flights:
                continue
            if not load.serving:
                idle.append((load.runs, load.cpu_used, vm.name, vm))
        for *_, vm in sorted(idle, key=lambda item: item[:3])[:count]:
            self._cordon(vm, MOVE_REASON)

    def _list_movable(self, now: float) -> list[Vm]:
        """List VMs that may move now, those that are off first."""
        movable = [
            vm
            for vm in self.vms.values()
            if self._is_free(vm.name, now)
            and self._is_empty(vm)
            and (vm.pool == self.spare_pool or self._is_cordoned(vm, MOVE_REASON))
        ]
        return sorted(movable, key=lambda vm: (vm.pool != self.spare_pool, vm.name))

    def _choose_pool(self, vm: Vm, lacks: t.Mapping[str, int]) -> str:
        """Choose the pool that lacks most, else the spare pool."""
        wanting = [
            (-lack, pool)
            for pool, lack in lacks.items()
            if lack > 0 and pool != vm.pool and (vm.name, pool) not in self._barred
        ]
        return min(wanting)[1] if wanting else self.spare_pool
