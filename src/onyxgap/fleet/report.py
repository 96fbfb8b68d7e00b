"""Summarizes the costs of the current plan and the price of the next best one."""

import typing as t

import attrs

from ..shared.records import VmState
from .maintenance import select_maintenance_wave
from .messages import PassInput
from .messages import get_declared_pool
from .pipe import list_pools
from .planning import FreeVms
from .planning import list_pool_options
from .pricing import MaintenanceOption


@attrs.frozen
class PlanSummary:
    """Costs of the current plan, and the price of the next best one.

    :param buffer_vms: number of free VMs and of pool VMs that are not serving.
    :param moves: number of tasks that the plan relocates.
    :param roll_out_s: seconds until the plan is carried out.
    :param price: weighted sum of the costs.
    :param next_price: price of the next best plan, or ``None``.
    """

    buffer_vms: int
    moves: int
    roll_out_s: float
    price: float
    next_price: float | None

    def render(self) -> t.Iterator[str]:
        """Yield the lines of a report for people."""
        yield f"buffer: {self.buffer_vms} VMs free or out of service"
        yield f"moves: {self.moves}"
        yield f"roll-out: {self.roll_out_s:.0f} s"
        yield f"price: {self.price:.2f}"
        if self.next_price is not None:
            yield f"next best plan: {self.next_price:.2f}"


def summarize_plan(pass_input: PassInput) -> PlanSummary:
    """Summarize the maintenance plan of all pools: the cheapest option of each.

    :param pass_input: input of the reconciliation pass.
    """
    options = [_list_options(name, pass_input) for name in list_pools(pass_input.state)]
    chosen = [pool_options[0] for pool_options in options if pool_options]
    free = sum(map(len, FreeVms(pass_input).collect().values()))
    out_of_service = sum(
        record.state is not VmState.SERVING for record in pass_input.state.vms.values()
    )
    price = sum(option.price for option in chosen)
    return PlanSummary(
        buffer_vms=free + out_of_service,
        moves=sum(option.costs.moves for option in chosen),
        roll_out_s=max((o.costs.roll_out_s for o in chosen), default=0.0),
        price=price,
        next_price=_compute_next_price(options, price),
    )


def _list_options(name: str, pass_input: PassInput) -> list[MaintenanceOption]:
    manifest = pass_input.state.manifest
    if manifest is None:
        return []
    pool = get_declared_pool(pass_input.state, name)
    wave = select_maintenance_wave(
        pass_input.state.list_pool(name),
        pool,
        manifest.maintenance_days,
        pass_input.wall,
        pass_input.state.count_attempts(name),
    )
    return list_pool_options(pool, pass_input, wave, pool.max_out)


def _compute_next_price(
    options: t.Iterable[list[MaintenanceOption]], price: float
) -> float | None:
    increases = [pool[1].price - pool[0].price for pool in options if len(pool) > 1]
    return price + min(increases) if increases else None
