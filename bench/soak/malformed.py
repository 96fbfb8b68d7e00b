"""Malformed worker registrations in the format of the platform."""

import typing as t

from onyxgap.standins.odd_values import TOO_LARGE
from onyxgap.standins.odd_values import encode_with
from onyxgap.standins.odd_values import nest


def list_malformed_registrations(service: str) -> tuple[bytes, ...]:
    """List registrations that must not be decoded into a worker.

    :param service: service named by the registrations that have one.
    """
    valid: dict[str, t.Any] = {
        "service": service,
        "address": "127.0.0.1:9",
        "zone": "zone",
        "state": "ready",
        "capacity": {"cpu": 64_000, "mem_mb": 256_000},
        "labels": ["a", "rack"],
        "born": 1,
    }
    without_address = {key: value for key, value in valid.items() if key != "address"}
    changes: tuple[dict[str, t.Any], ...] = (
        {"capacity": 7},
        {"capacity": "64 cores"},
        {"capacity": {"cpu": "many"}},
        {"address": "127.0.0.1:99999"},
        {"address": "127.0.0.1:65536"},
        {"address": "127.0.0.1:0"},
        {"address": "127.0.0.1:-9"},
        {"address": "127.0.0.1:" + "9" * 5_000},
        {"address": "user@host:80"},
        {"address": "127.0.0.1\n:80"},
        {"address": "[::1:80"},
        {"address": "h" * 70_000 + ":80"},
        {"address": nest(1_000)},
        {"address": ["127.0.0.1", 9]},
        {"service": [service]},
        {"state": "resting"},
        {"state": {}},
        {"labels": 5},
        {"labels": "rack"},
        {"labels": {"a": "rack"}},
        {"labels": nest(1_000)},
        {"zone": nest(1_000)},
        {"state": nest(1_000)},
        {"capacity": nest(1_000)},
        {"more": nest(2_000)},
        {"capacity": {"cpu": TOO_LARGE}},
        {"capacity": {"mem_mb": 1e300}},
        {"clock_ms": 1e300},
        {"clock_ms": -1e300},
        {"clock_ms": TOO_LARGE},
        {"born": "today"},
        {"born": TOO_LARGE},
        {"born": -(2**63)},
    )
    return (
        b"\xff\xfe\x00",
        b"",
        b"[]",
        encode_with(without_address, {}),
        *(encode_with(valid, change) for change in changes),
    )
