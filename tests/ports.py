"""Allocates free ports on loopback to tests that listen."""

import contextlib
import os
import random
import socket

PORTS = range(15_000, 32_000)
"""Below the ephemeral ports. An outgoing connection could take one of those between its
allocation and the start of the process that listens on it."""

_allocated: set[int] = set()
_rng = random.Random(os.getpid())


def find_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Find a free port that this process has not allocated before.

    :param kind: socket type, for connections or for datagrams.
    """
    while True:
        port = _rng.choice(PORTS)
        if port in _allocated:
            continue
        with socket.socket(socket.AF_INET, kind) as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            _allocated.add(port)
            return port
