"""What the fleet controller stores for shards and its successor, and its cordons."""

import attrs

from .cordons import Cordon
from .cordons import CordonInForce
from .cordons import Moment
from .cordons import read_cordons
from .messages import FleetRow
from .messages import Vm
from .order_outcomes import OrderOutcomes


@attrs.define
class StoredState(OrderOutcomes):
    """Restores the state of the fleet controller, and describes it."""

    def restore(
        self, row: FleetRow, now: float, pause_s: float, store_ms: int | None = None
    ) -> None:
        """Restore the state that a previous fleet controller stored.

        The previous controller stored the name of each VM before it sent an order
        about that VM. Orders of two controllers about one VM must be at least
        ``pause_s`` apart, so these VMs receive no orders for that time. For all other
        VMs, no previous order can be in flight. An order whose outcome is known is not
        carried out late.

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
        for name in row.list_late_orders():
            self._unanswered_at[name] = now
        self.restore_maintained_vms(row)

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
            self._list_unanswered(),
        )

    def _list_unanswered(self) -> frozenset[str]:
        without_reply = {
            name
            for name, pending in self.pending_orders.items()
            if pending.answered_at is None
        }
        return frozenset(without_reply | self._unanswered_at.keys())

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
