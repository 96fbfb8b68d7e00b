"""Registrations as another writer may leave them: malformed, each in its own way."""

import orjson


def list_malformed(service: str) -> tuple[bytes, ...]:
    """List registrations that name no worker to use.

    :param service: service that they are for, where they can be read at all.
    """
    return (
        b"\xff\xfe\x00",
        b"",
        b"[]",
        orjson.dumps({"service": service, "state": "ready", "labels": []}),
        orjson.dumps({"service": service, "state": "resting", "labels": []}),
        orjson.dumps({"service": service, "state": "ready", "labels": 5}),
    )
