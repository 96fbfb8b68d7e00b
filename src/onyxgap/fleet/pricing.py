"""Prices maintenance options by the operator's weights for their costs."""

import math
import typing as t

import attrs

from ..manifest import Weights

MAINTENANCE_ROUND_S = 60.0
"""Estimated time to drain and restart one VM, or several at once, in seconds."""


@attrs.frozen(slots=True)
class PlanCosts:
    """Unweighted costs of a plan.

    :param moves: number of tasks that are relocated.
    :param buffer: number of VMs out of service at once.
    :param roll_out_s: seconds until the plan is carried out.
    """

    moves: int
    buffer: int
    roll_out_s: float


@attrs.frozen(slots=True)
class MaintenanceOption:
    """One way to take a number of VMs out of service for maintenance.

    :param parallel: number of VMs out of service at once.
    :param costs: costs of this option.
    :param price: weighted sum of the costs.
    """

    parallel: int
    costs: PlanCosts
    price: float


def compute_price(costs: PlanCosts, weights: Weights) -> float:
    """Compute the weighted sum of a plan's costs.

    :param costs: the costs; the roll-out counts in units of ``MAINTENANCE_ROUND_S``.
    :param weights: the operator's weights.
    """
    return (
        weights.moves * costs.moves
        + weights.buffer * costs.buffer
        + weights.roll_out * costs.roll_out_s / MAINTENANCE_ROUND_S
    )


def list_maintenance_options(
    tasks_by_vm: t.Sequence[int], headroom: int, weights: Weights
) -> list[MaintenanceOption]:
    """List options for taking a number of VMs out of service, cheapest first.

    All tasks of the ``parallel`` VMs that are drained first count as relocated. Tasks
    of VMs that are drained later do not, since they can end by themselves before.

    :param tasks_by_vm: number of running tasks of each VM, in the order of draining.
    :param headroom: maximum number of VMs out of service at once.
    :param weights: the operator's weights.
    """
    vm_count = len(tasks_by_vm)
    options = []
    for parallel in sorted({1, max(1, headroom // 2), headroom}):
        if not 0 < parallel <= headroom or not vm_count:
            continue
        rounds = math.ceil(vm_count / parallel)
        costs = PlanCosts(
            moves=sum(tasks_by_vm[:parallel]),
            buffer=min(parallel, vm_count),
            roll_out_s=rounds * MAINTENANCE_ROUND_S,
        )
        options.append(
            MaintenanceOption(parallel, costs, compute_price(costs, weights))
        )
    return sorted(options, key=lambda option: (option.price, option.parallel))
