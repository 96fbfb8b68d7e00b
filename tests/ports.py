"""Allocates free ports on loopback to tests that listen."""

import os
import random
import socket

PORTS = range(15_000, 32_000)
"""Below the ephemeral ports. An outgoing connection could take one of those between its
allocation and the start of the process that listens on it."""

_allocated: set[int] = set()
_reserving: list[socket.socket] = []
_rng = random.Random(os.getpid())


def find_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Find a free port that this process has not allocated before.

    A port for connections stays bound until this process ends: only sockets with
    ``SO_REUSEADDR``, such as those of the processes under test, can then listen on it.

    :param kind: socket type, for connections or for datagrams.
    """
    while True:
        port = _rng.choice(PORTS)
        if port in _allocated:
            continue
        probe = socket.socket(socket.AF_INET, kind)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            probe.close()
            continue
        _allocated.add(port)
        if kind is socket.SOCK_STREAM:
            # set only now, so that the port was not bound by anyone else
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            _reserving.append(probe)
        else:
            probe.close()
        return port
