"""The fleet pipe: observe, compare, plan, guard, act and record."""

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

STEADY_ROTATION = 30
"""A pool with nothing to do is looked at in every 30th pass."""


def list_pools(state: FleetState) -> list[str]:
    """List declared pools and those that still have VMs, by name.

    :param state: the agreed state.
    """
    names = {name for name, vms in state.members.items() if vms}
    for chunk in state.chunks:
        part, _, name = chunk.partition("/")
        if part == "pools":
            names.add(name)
    return sorted(names)


def list_owned(state: FleetState, me: str, controls: t.Collection[str]) -> list[str]:
    """List the pools that this control looks after.

    Two controls that disagree for a while both plan; the journal lets only
    one of their entries stand.

    :param state: the agreed state.
    :param me: name of this control.
    :param controls: live controls.
    """
    return [name for name in list_pools(state) if pick_owner(name, controls) == me]


@attrs.define
class PoolSelector:
    """Chooses the pools of a pass: those with something to do, others in turn."""

    _turn: int = 0

    def choose(self, owned: t.Sequence[str], view: View) -> list[str]:
        """Choose the pools of the next pass.

        :param owned: pools of this control.
        :param view: what the pass looks at.
        """
        self._turn += 1
        chosen = []
        for index, name in enumerate(owned):
            due = (index + self._turn) % STEADY_ROTATION == 0
            if due or needs_attention(name, view):
                chosen.append(name)
        return chosen


def needs_attention(name: str, view: View) -> bool:
    """Tell whether a pool has anything that may call for a step.

    :param name: the pool.
    :param view: what the pass looks at.
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
    """Plan the next step of several pools on one state.

    :param pools: names of the pools.
    :param view: what the pass looks at.
    :param listed: attempts as the platform reports them.
    """
    free = FreeVms(view)
    team_cores = TeamCores(view.state)
    steps = []
    faulty = find_faulty(view.state.tasks)
    for name in pools:
        step = plan_pool(name, view, free)
        _quarantine(name, faulty, view, step)
        place_tasks(name, view.state, listed, team_cores, step)
        steps.append(step)
    return steps


def _quarantine(name: str, faulty: set[str], view: View, step: Step) -> None:
    pool = find_wanted(view.state, name)
    touched = {getattr(event, "vm", "") for event in step.events}
    records = [r for r in view.state.list_pool(name) if r.name not in touched]
    headroom = count_headroom(pool, records)
    for record in records:
        if record.name not in faulty or record.state is not VmState.SERVING:
            continue
        reason = "fails tasks that run well elsewhere"
        step.report(Finding.FAULTY_WORKER, record.name, reason)
        if headroom > 0 and not view.cautious:
            headroom -= 1
            step.events.append(ev.VmQuarantined(record.name, reason))
