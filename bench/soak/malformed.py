"""Registrations in the platform's words as another writer may leave them."""

import typing as t

import orjson


def list_malformed(service: str) -> tuple[bytes, ...]:
    """List registrations that name no worker to use.

    :param service: service that they are for, where they can be read at all.
    """
    sound: dict[str, t.Any] = {
        "service": service,
        "address": "127.0.0.1:9",
        "zone": "zone",
        "state": "ready",
        "capacity": {"cpu": 64_000, "mem_mb": 256_000},
        "labels": ["a", "rack"],
        "born": 1,
    }
    without_address = {key: value for key, value in sound.items() if key != "address"}
    changes: tuple[dict[str, t.Any], ...] = (
        {"capacity": 7},
        {"capacity": "64 cores"},
        {"capacity": {"cpu": "many"}},
        {"address": "127.0.0.1:99999"},
        {"address": ["127.0.0.1", 9]},
        {"service": [service]},
        {"state": "resting"},
        {"state": {}},
        {"labels": 5},
        {"born": "today"},
    )
    documents = [without_address, *({**sound, **change} for change in changes)]
    return (
        b"\xff\xfe\x00",
        b"",
        b"[]",
        *map(orjson.dumps, documents),
    )
