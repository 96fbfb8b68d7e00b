"""Resource amounts: task requests, worker capacity, and caps and usage of tenants."""

import typing as t

import attrs

from .messages import Step

NO_LIMIT = 1 << 53
"""Stands for no limit: no deployment reaches it, and a float represents it exactly."""


@attrs.frozen(slots=True)
class Amount:
    """An amount of CPU, memory and accelerators.

    :param cpu: CPU in thousandths of a core.
    :param memory_mb: memory in MB.
    :param accelerators: number of accelerators.
    """

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Amount") -> "Amount":
        return self._combine(other, lambda one, two: one + two)

    def __sub__(self, other: "Amount") -> "Amount":
        return self._combine(other, lambda one, two: one - two)

    def __mul__(self, factor: int) -> "Amount":
        return Amount(
            self.cpu * factor, self.memory_mb * factor, self.accelerators * factor
        )

    def _combine(
        self, other: "Amount", combine: t.Callable[[int, int], int]
    ) -> "Amount":
        return Amount(
            combine(self.cpu, other.cpu),
            combine(self.memory_mb, other.memory_mb),
            combine(self.accelerators, other.accelerators),
        )

    def get_elementwise_max(self, other: "Amount") -> "Amount":
        """Return the larger value of each resource."""
        return self._combine(other, max)

    def get_elementwise_min(self, other: "Amount") -> "Amount":
        """Return the smaller value of each resource."""
        return self._combine(other, min)

    def fits(self, limit: "Amount") -> bool:
        """Tell whether no resource exceeds its limit."""
        return (
            self.cpu <= limit.cpu
            and self.memory_mb <= limit.memory_mb
            and self.accelerators <= limit.accelerators
        )

    def divide(self, parts: int) -> "Amount":
        """Divide each resource by a number of parts, rounding down."""
        return Amount(
            self.cpu // parts, self.memory_mb // parts, self.accelerators // parts
        )


ZERO_AMOUNT = Amount()
UNLIMITED = Amount(NO_LIMIT, NO_LIMIT, NO_LIMIT)


def get_task_amount(step: Step) -> Amount:
    """Return the resources that a task of a step uses while it runs.

    Tasks that run on capacity left idle by others count for their tenant, too.
    """
    return Amount(step.cpu, step.memory_mb, step.accelerators)
