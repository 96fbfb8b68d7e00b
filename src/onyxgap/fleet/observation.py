"""First filter: turn the platform's lagging list into facts one can act on."""

import typing as t

import attrs

from .. import defaults
from ..ports import ListedVm
from ..ports import VmList
from ..ports import VmStatus


@attrs.frozen
class Observation:
    """What is known of the VMs at one moment.

    :param listed: VMs of the newest list by name, without contradictory ones.
    :param missing: VMs that several lists in a row did not show as running.
    :param contradictory: VMs that one list shows twice.
    :param age_s: age of the newest list, in seconds.
    """

    listed: t.Mapping[str, ListedVm] = attrs.field(factory=dict)
    missing: frozenset[str] = frozenset()
    contradictory: frozenset[str] = frozenset()
    age_s: float = float("inf")

    @property
    def is_stale(self) -> bool:
        """Whether it is too old for anything voluntary."""
        return self.age_s > defaults.STALE_VIEW_LIMIT_S

    def is_live(self, vm: str) -> bool:
        """Tell whether the newest list shows a VM as running.

        :param vm: the VM.
        """
        listed = self.listed.get(vm)
        return listed is not None and listed.status is VmStatus.LIVE

    def is_leaving(self, vm: str) -> bool:
        """Tell whether the platform is about to take a VM away.

        :param vm: the VM.
        """
        listed = self.listed.get(vm)
        return listed is not None and listed.status is VmStatus.LEAVING


@attrs.define
class Observer:
    """Keeps count of absences over successive lists.

    One list without a VM proves little, since lists lag and flicker; the VM
    counts as missing after several in a row, and as present after one.

    :param needed: lists in a row.
    """

    needed: int = defaults.ABSENT_OBSERVATIONS
    _absences: dict[str, int] = attrs.field(factory=dict)
    _listed: dict[str, ListedVm] = attrs.field(factory=dict)
    _contradictory: frozenset[str] = frozenset()
    _vms: tuple[ListedVm, ...] | None = None
    _made_at: float = float("-inf")

    def take(self, vm_list: VmList, known: t.Collection[str], now: float) -> None:
        """Take in one list.

        :param vm_list: the list.
        :param known: VMs that belong to a pool.
        :param now: monotonic seconds.
        """
        made_at = now - vm_list.age_s
        if made_at <= self._made_at:
            return
        self._made_at = made_at
        if vm_list.vms is self._vms:
            # the same list again: whoever was absent is absent once more
            for vm in self._absences:
                self._absences[vm] += 1
            return
        self._vms = vm_list.vms
        self._sort_listed(vm_list.vms)
        for vm in known:
            listed = self._listed.get(vm)
            if listed is not None and listed.status is not VmStatus.DOWN:
                self._absences.pop(vm, None)
            elif vm not in self._contradictory:
                self._absences[vm] = self._absences.get(vm, 0) + 1

    def _sort_listed(self, vms: t.Iterable[ListedVm]) -> None:
        listed: dict[str, ListedVm] = {}
        twice = set()
        for vm in vms:
            if vm.name in listed and listed[vm.name] != vm:
                twice.add(vm.name)
            listed[vm.name] = vm
        for name in twice:
            del listed[name]
        self._listed = listed
        self._contradictory = frozenset(twice)

    def observe(self, now: float) -> Observation:
        """Sum up what is known now.

        :param now: monotonic seconds.
        """
        missing = frozenset(
            vm for vm, count in self._absences.items() if count >= self.needed
        )
        return Observation(
            listed=self._listed,
            missing=missing,
            contradictory=self._contradictory,
            age_s=now - self._made_at,
        )
