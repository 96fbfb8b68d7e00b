"""Looks up the targets and quotas of a service in the replicated state."""

import typing as t

from ..manifest import Team
from ..shared.records import VmState
from ..shared.state import FleetState


def list_targets(
    state: FleetState, service: str
) -> t.Iterator[tuple[str, str, str, int]]:
    """Yield VM, zone, rack and number of slots of each serving target of a service.

    :param state: the replicated state.
    :param service: the service.
    """
    declared = state.find_chunk(f"services/{service}")
    pool = state.find_pool(declared.pool) if declared else None
    if pool is None:
        return
    for record in state.list_pool(pool.name):
        if record.state is VmState.SERVING:
            yield record.name, record.zone, record.rack, pool.slots


def find_quotas(state: FleetState, service: str) -> dict[str, int]:
    """Get the quota of each team that has one for a service.

    :param state: the replicated state.
    :param service: the service.
    """
    quotas = {}
    for name in state.chunks:
        team = state.find_chunk(name)
        if isinstance(team, Team) and service in team.quotas:
            quotas[team.name] = team.quotas[service]
    return quotas
