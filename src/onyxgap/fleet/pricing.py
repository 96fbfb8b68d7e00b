"""Prices a plan by what the operator weighs: moves, buffer and roll-out."""

import math
import typing as t

import attrs

from ..manifest import Weights

STEP_S = 60.0
"""Estimated time to drain and restart one VM, in seconds."""


@attrs.frozen(slots=True)
class Measures:
    """The three measures of a plan.

    :param moves: tasks and VMs that are relocated.
    :param buffer: VMs held back at once.
    :param roll_out_s: seconds until the plan is in force.
    """

    moves: int
    buffer: int
    roll_out_s: float


@attrs.frozen(slots=True)
class Option:
    """One way to take VMs out.

    :param parallel: how many VMs are out at once.
    :param measures: its measures.
    :param price: their weighted sum.
    """

    parallel: int
    measures: Measures
    price: float


def price_measures(measures: Measures, weights: Weights) -> float:
    """Weigh the measures of a plan.

    :param measures: the measures.
    :param weights: the operator's weights.
    """
    return (
        weights.moves * measures.moves
        + weights.buffer * measures.buffer
        + weights.roll_out * measures.roll_out_s / STEP_S
    )


def list_options(
    tasks_by_vm: t.Sequence[int], headroom: int, weights: Weights
) -> list[Option]:
    """List the ways to take a number of VMs out, cheapest first.

    VMs taken one after another let the tasks of later ones end by
    themselves; taken together, all their tasks move.

    :param tasks_by_vm: running tasks of each VM that has to go, in order.
    :param headroom: most VMs that may be out at once.
    :param weights: the operator's weights.
    """
    wanted = len(tasks_by_vm)
    options = []
    for parallel in sorted({1, max(1, headroom // 2), headroom}):
        if not 0 < parallel <= headroom or not wanted:
            continue
        rounds = math.ceil(wanted / parallel)
        measures = Measures(
            moves=sum(tasks_by_vm[:parallel]),
            buffer=min(parallel, wanted),
            roll_out_s=rounds * STEP_S,
        )
        options.append(Option(parallel, measures, price_measures(measures, weights)))
    return sorted(options, key=lambda option: (option.price, option.parallel))
