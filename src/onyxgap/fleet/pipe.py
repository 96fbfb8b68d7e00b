"""Reconciliation of pools: chooses the pools of a pass and plans their changes."""

import typing as t

import attrs

from ..ports import ListedTask
from ..shared import events as ev
from ..shared.membership import pick_owner
from ..shared.records import VmState
from ..shared.state import FleetState
from .budget import count_headroom
from .diagnosis import find_faulty
from .maintenance import find_due_at
from .messages import Finding
from .messages import Step
from .messages import View
from .messages import find_wanted
from .placement import TeamCores
from .placement import place_tasks
from .planning import FreeVms
from .planning import plan_pool

IDLE_POOL_INTERVAL_PASSES = 30
"""A pool that needs no change is still reconciled in every 30th pass."""


def list_pools(state: FleetState) -> list[str]:
    """List the names of declared pools and of pools that still have VMs.

    :param state: replicated state.
    :returns: sorted names.
    """
    names = {name for name, vms in state.members.items() if vms}
    for chunk in state.chunks:
        part, _, name = chunk.partition("/")
        if part == "pools":
            names.add(name)
    return sorted(names)


def list_owned(
    state: FleetState, own_name: str, controls: t.Collection[str]
) -> list[str]:
    """List the pools that this control process reconciles.

    While two control processes disagree on which of them are live, both may plan the
    same pool. The journal accepts only one of their entries.

    :param state: replicated state.
    :param own_name: name of this control process.
    :param controls: names of the live control processes.
    """
    return [
        name for name in list_pools(state) if pick_owner(name, controls) == own_name
    ]


@attrs.define
class PoolSelector:
    """Chooses the pools of a pass: those that need changes and some of the others.

    The others are chosen in turn; see :data:`IDLE_POOL_INTERVAL_PASSES`.
    """

    _pass_number: int = 0

    def choose(self, owned: t.Sequence[str], view: View) -> list[str]:
        """Choose the pools of the next pass.

        :param owned: names of the pools that this control process reconciles.
        :param view: input of the reconciliation pass.
        """
        self._pass_number += 1
        chosen = []
        for index, name in enumerate(owned):
            due = (index + self._pass_number) % IDLE_POOL_INTERVAL_PASSES == 0
            if due or needs_reconciliation(name, view):
                chosen.append(name)
        return chosen


def needs_reconciliation(name: str, view: View) -> bool:
    """Whether a pool may need events or orders.

    :param name: name of the pool.
    :param view: input of the reconciliation pass.
    """
    pool = find_wanted(view.state, name)
    members = view.state.members.get(name, set())
    if len(members) != pool.size:
        return True
    days = view.state.maintenance_days
    for vm in members:
        record = view.state.vms[vm]
        if record.state is not VmState.SERVING:
            return True
        listed = view.observation.listed.get(vm)
        if listed is None or listed.boots != record.boots:
            return True
        if not view.observation.is_live(vm):
            return True
        if view.wall >= find_due_at(record, pool, days):
            return True
    return bool(view.state.tasks_in.get(name) or view.state.attempts_in.get(name))


def plan_pass(
    pools: t.Iterable[str], view: View, listed: t.Mapping[str, ListedTask]
) -> list[Step]:
    """Plan the changes of several pools against the same state.

    :param pools: names of the pools.
    :param view: input of the reconciliation pass.
    :param listed: task attempts as the platform reports them, by attempt ID.
    :returns: one plan per pool.
    """
    free = FreeVms(view)
    team_cores = TeamCores(view.state)
    steps = []
    faulty_vms = find_faulty(view.state.tasks)
    for name in pools:
        step = plan_pool(name, view, free)
        _quarantine_faulty_vms(name, faulty_vms, view, step)
        place_tasks(name, view.state, listed, team_cores, step)
        steps.append(step)
    return steps


def _quarantine_faulty_vms(
    name: str, faulty_vms: set[str], view: View, step: Step
) -> None:
    pool = find_wanted(view.state, name)
    changed_vms = {getattr(event, "vm", "") for event in step.events}
    records = [r for r in view.state.list_pool(name) if r.name not in changed_vms]
    headroom = count_headroom(pool, records)
    for record in records:
        if record.name not in faulty_vms or record.state is not VmState.SERVING:
            continue
        reason = "fails tasks that run well elsewhere"
        step.report(Finding.FAULTY_WORKER, record.name, reason)
        if headroom > 0 and not view.cautious:
            headroom -= 1
            step.events.append(ev.VmQuarantined(record.name, reason))
