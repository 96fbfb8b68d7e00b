"""Debounces the platform's VM list, which lags and may omit running VMs."""

import typing as t

import attrs

from .. import defaults
from ..ports import ListedVm
from ..ports import VmList
from ..ports import VmStatus


@attrs.frozen
class Observation:
    """Status of the VMs at one moment, as derived from the platform's lists.

    :param listed: VMs of the newest list by name, without contradictory ones.
    :param missing: VMs that several consecutive lists omitted or showed as down.
    :param contradictory: VMs that the newest list contains twice with different data.
    :param age_s: age of the newest list in seconds.
    """

    listed: t.Mapping[str, ListedVm] = attrs.field(factory=dict)
    missing: frozenset[str] = frozenset()
    contradictory: frozenset[str] = frozenset()
    age_s: float = float("inf")

    @property
    def is_stale(self) -> bool:
        """Whether the list is too old to start voluntary disruptions."""
        return self.age_s > defaults.MAX_VM_LIST_AGE_S

    def is_live(self, vm: str) -> bool:
        """Whether the newest list shows a VM as running.

        :param vm: name of the VM.
        """
        listed = self.listed.get(vm)
        return listed is not None and listed.status is VmStatus.LIVE

    def is_leaving(self, vm: str) -> bool:
        """Whether the platform has announced that it will remove a VM.

        :param vm: name of the VM.
        """
        listed = self.listed.get(vm)
        return listed is not None and listed.status is VmStatus.LEAVING


@attrs.define
class Observer:
    """Counts the consecutive lists in which each VM is absent.

    Lists lag and may omit a running VM, so one absence is no proof. A VM is missing
    after several consecutive absences, and present again after one appearance.

    :param min_absences: consecutive absences after which a VM is missing.
    """

    min_absences: int = defaults.MIN_CONSECUTIVE_ABSENCES
    _absences: dict[str, int] = attrs.field(factory=dict)
    _listed: dict[str, ListedVm] = attrs.field(factory=dict)
    _contradictory: frozenset[str] = frozenset()
    _vms: tuple[ListedVm, ...] | None = None
    _made_at: float = float("-inf")

    def record_list(
        self, vm_list: VmList, known: t.Collection[str], now: float
    ) -> None:
        """Record a list; one that is not newer than the last is ignored.

        :param vm_list: the list.
        :param known: names of the VMs that belong to a pool.
        :param now: monotonic time in seconds.
        """
        made_at = now - vm_list.age_s
        if made_at <= self._made_at:
            return
        self._made_at = made_at
        if vm_list.vms is self._vms:
            # The platform sent the same list again, so each absence is counted once
            # more.
            for vm in self._absences:
                self._absences[vm] += 1
            return
        self._vms = vm_list.vms
        self._index_vms(vm_list.vms)
        for vm in known:
            listed = self._listed.get(vm)
            if listed is not None and listed.status is not VmStatus.DOWN:
                self._absences.pop(vm, None)
            elif vm not in self._contradictory:
                self._absences[vm] = self._absences.get(vm, 0) + 1

    def _index_vms(self, vms: t.Iterable[ListedVm]) -> None:
        listed: dict[str, ListedVm] = {}
        conflicting = set()
        for vm in vms:
            if vm.name in listed and listed[vm.name] != vm:
                conflicting.add(vm.name)
            listed[vm.name] = vm
        for name in conflicting:
            del listed[name]
        self._listed = listed
        self._contradictory = frozenset(conflicting)

    def observe(self, now: float) -> Observation:
        """Build the observation from the lists recorded so far.

        :param now: monotonic time in seconds.
        """
        missing = frozenset(
            vm for vm, count in self._absences.items() if count >= self.min_absences
        )
        return Observation(
            listed=self._listed,
            missing=missing,
            contradictory=self._contradictory,
            age_s=now - self._made_at,
        )
