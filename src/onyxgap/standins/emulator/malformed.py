"""Malformed worker registrations in the format of the emulator."""

import typing as t

import orjson

from ..odd_values import TOO_LARGE
from ..odd_values import encode_with
from ..odd_values import nest


def list_malformed_registrations(service: str) -> tuple[bytes, ...]:
    """List registrations that must not be decoded into a worker.

    :param service: service named by the registrations that have one.
    """
    valid: dict[str, t.Any] = {
        "worker_id": "other",
        "service": service,
        "address": "other:1",
        "zone": "zone",
        "state": "ready",
        "cpu": 64_000,
        "memory_mb": 256_000,
        "accelerators": 0,
        "labels": ["a", "rack"],
        "clock_ms": 1_000.0,
        "born": 1,
    }
    changes: tuple[dict[str, t.Any], ...] = (
        {"labels": 5},
        {"labels": "rack"},
        {"labels": {"a": "rack"}},
        {"labels": nest(1_000)},
        {"zone": nest(1_000)},
        {"more": nest(2_000)},
        {"address": nest(1_000)},
        *({name: TOO_LARGE} for name in ("cpu", "memory_mb", "clock_ms", "born")),
        {"clock_ms": 1e300},
        {"clock_ms": -1e300},
        {"state": "resting"},
    )
    return (
        b"\xff\xfe\x00",
        b"",
        b"[]",
        orjson.dumps({"service": service, "state": "ready", "labels": []}),
        *(encode_with(valid, change) for change in changes),
    )
