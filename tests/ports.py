"""Free ports for tests that listen."""

import contextlib
import os
import random
import socket

PORTS = range(15_000, 32_000)
"""Below the ports that the system gives to outgoing connections: one of those could
take a port between its choice and the start of the process that listens there."""

_given: set[int] = set()
_rng = random.Random(os.getpid())


def find_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Find a free port that was not given before.

    :param kind: whether it is for connections or for datagrams.
    """
    while True:
        port = _rng.choice(PORTS)
        if port in _given:
            continue
        with socket.socket(socket.AF_INET, kind) as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            _given.add(port)
            return port
