"""Tests how the processor cost of calls to workers limits the capacity of an owner."""

import pytest

from tests.emulated import extend_day
from tests.emulated import play

GENERAL_CLIENT_S = 0.000621
CONNECTIONS_S = 0.000155
"""Processor time per call in seconds, including the server's share, as measured by
`python -m bench.calls`."""


@pytest.mark.parametrize(
    ("cost_s", "least", "most"), [(GENERAL_CLIENT_S, 0, 129), (CONNECTIONS_S, 250, 258)]
)
def test_only_an_owner_with_cheap_calls_serves_a_burst_in_time(
    cost_s: float, least: int, most: int
) -> None:
    """Guards against costly calls to workers, which make an owner miss deadlines.

    Of 258 jobs, 97 are in time with the general client and 257 with dedicated
    connections. A low first count shows that an owner can fail on this day.
    """
    result = play(extend_day("orders", f"call-cost {cost_s}"), 1)
    assert result.breaches == []
    assert result.account.accepted == 258
    assert least <= result.account.in_time <= most
