"""Reconciliation of pools: chooses the pools of a pass and plans their changes."""

import typing as t

import attrs

from ..ports import ListedTask
from ..shared import events as ev
from ..shared.membership import pick_owner
from ..shared.records import VmState
from ..shared.state import FleetState
from .budget import count_headroom
from .diagnosis import find_faulty_vms
from .maintenance import get_maintenance_start
from .messages import Finding
from .messages import PassInput
from .messages import PoolPlan
from .messages import get_declared_pool
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
    names = {name for name, vms in state.pool_vms.items() if vms}
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

    def choose(self, owned: t.Sequence[str], pass_input: PassInput) -> list[str]:
        """Choose the pools of the next pass.

        :param owned: names of the pools that this control process reconciles.
        :param pass_input: input of the reconciliation pass.
        """
        self._pass_number += 1
        chosen = []
        for index, name in enumerate(owned):
            due = (index + self._pass_number) % IDLE_POOL_INTERVAL_PASSES == 0
            if due or needs_reconciliation(name, pass_input):
                chosen.append(name)
        return chosen


def needs_reconciliation(name: str, pass_input: PassInput) -> bool:
    """Whether a pool may need events or orders.

    :param name: name of the pool.
    :param pass_input: input of the reconciliation pass.
    """
    pool = get_declared_pool(pass_input.state, name)
    pool_vms = pass_input.state.pool_vms.get(name, set())
    if len(pool_vms) != pool.size:
        return True
    days = pass_input.state.maintenance_days
    for vm in pool_vms:
        record = pass_input.state.vms[vm]
        if record.state is not VmState.SERVING:
            return True
        listed = pass_input.observation.listed.get(vm)
        if listed is None or listed.boots != record.boots:
            return True
        if not pass_input.observation.is_live(vm):
            return True
        if pass_input.wall >= get_maintenance_start(record, pool, days):
            return True
    return bool(
        pass_input.state.pool_tasks.get(name)
        or pass_input.state.pool_attempts.get(name)
    )


def plan_pass(
    pools: t.Iterable[str], pass_input: PassInput, listed: t.Mapping[str, ListedTask]
) -> list[PoolPlan]:
    """Plan the changes of several pools against the same state.

    :param pools: names of the pools.
    :param pass_input: input of the reconciliation pass.
    :param listed: task attempts as the platform reports them, by attempt ID.
    :returns: one plan per pool.
    """
    free = FreeVms(pass_input)
    team_cores = TeamCores(pass_input.state)
    pool_plans = []
    faulty_vms = find_faulty_vms(pass_input.state.tasks)
    for name in pools:
        pool_plan = plan_pool(name, pass_input, free)
        _quarantine_faulty_vms(name, faulty_vms, pass_input, pool_plan)
        place_tasks(name, pass_input.state, listed, team_cores, pool_plan)
        pool_plans.append(pool_plan)
    return pool_plans


def _quarantine_faulty_vms(
    name: str, faulty_vms: set[str], pass_input: PassInput, pool_plan: PoolPlan
) -> None:
    pool = get_declared_pool(pass_input.state, name)
    changed_vms = {getattr(event, "vm", "") for event in pool_plan.events}
    records = [r for r in pass_input.state.list_pool(name) if r.name not in changed_vms]
    headroom = count_headroom(pool, records)
    for record in records:
        if record.name not in faulty_vms or record.state is not VmState.SERVING:
            continue
        reason = "fails tasks that run well elsewhere"
        pool_plan.report(Finding.FAULTY_WORKER, record.name, reason)
        if headroom > 0 and not pass_input.safe_mode:
            headroom -= 1
            pool_plan.events.append(ev.VmQuarantined(record.name, reason))
