"""Bounds of the numbers that are read from bytes of other writers.

JSON has numbers that fit into no 64-bit integer, and none may be written to the store
or sent to a worker. Sums of amounts and times with a lease added must fit, too.
"""

import typing as t

MAX_COUNT = 2**53 - 1
"""Largest number that is read: a larger one is not exact in every JSON decoder."""
MAX_AMOUNT = 2**40
"""Largest capacity of a worker, in thousandths of a core, MB or accelerators. The sum
over a million workers fits into 64 bits."""


def read_count(value: t.Any, largest: int = MAX_COUNT) -> int:
    """Convert a decoded number into an integer within bounds.

    :param value: the decoded value.
    :param largest: largest absolute value that is accepted.
    :raises ValueError: if it is out of bounds, or a text that is no number.
    :raises TypeError: if it is of a type that has no integer value.
    """
    number = int(value)
    if abs(number) > largest:
        raise ValueError(f"number beyond {largest}")
    return number


def read_time_ms(value: t.Any) -> float:
    """Convert a decoded number into milliseconds within bounds.

    :param value: the decoded value.
    :raises ValueError: if it is not within :data:`MAX_COUNT`, or is no number.
    :raises TypeError: if it is of a type that has no numeric value.
    """
    time_ms = float(value)
    if not abs(time_ms) <= MAX_COUNT:
        raise ValueError(f"time beyond {MAX_COUNT} ms")
    return time_ms
