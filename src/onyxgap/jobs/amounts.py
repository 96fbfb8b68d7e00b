"""Amounts of what tasks ask for, workers offer and tenants may have in use."""

import typing as t

import attrs

from .messages import Step

NO_LIMIT = 1 << 53
"""Amount that no deployment reaches; a float still holds it exactly."""


@attrs.frozen(slots=True)
class Amount:
    """Cores, memory and accelerators.

    :param cpu: thousandths of a core.
    :param memory_mb: MB.
    :param accelerators: their number.
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

    def get_largest(self, other: "Amount") -> "Amount":
        """Give the larger of each."""
        return self._combine(other, max)

    def get_smallest(self, other: "Amount") -> "Amount":
        """Give the smaller of each."""
        return self._combine(other, min)

    def fits(self, limit: "Amount") -> bool:
        """Tell whether nothing is above a limit."""
        return (
            self.cpu <= limit.cpu
            and self.memory_mb <= limit.memory_mb
            and self.accelerators <= limit.accelerators
        )

    def divide(self, parts: int) -> "Amount":
        """Give one of equal parts, rounded down."""
        return Amount(
            self.cpu // parts, self.memory_mb // parts, self.accelerators // parts
        )


NOTHING = Amount()
UNLIMITED = Amount(NO_LIMIT, NO_LIMIT, NO_LIMIT)


def measure_task(step: Step) -> Amount:
    """Measure what a task of a step has in use while it runs.

    What fills the room that others leave counts for its tenant, too.
    """
    return Amount(step.cpu, step.memory_mb, step.accelerators)
