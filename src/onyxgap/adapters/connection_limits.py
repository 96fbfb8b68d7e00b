"""Limits of a process on what its callers may send and hold."""

import os
import resource

import attrs

BYTES_PER_MB = 2**20
RESERVED_DESCRIPTORS = 200
"""File descriptors that sockets may not use."""
CONNECTION_BYTES = 32_768
"""Memory of an open connection: buffers of its socket, parser and objects."""
MEMORY_DIVISOR = 4
"""Part of the memory that open connections may use."""
BUFFER_DIVISOR = 8
"""Part of the memory that buffered requests and answers may use."""
DESCRIPTOR_DIVISOR = 2
"""Part of the sockets that callers may use; the rest is for workers and the store."""


@attrs.frozen
class ConnectionLimits:
    """Limits of a process on its callers' connections.

    :param head_bytes: bytes that a request may send without completing its head, or
        without any progress of its body; also bytes of empty lines before it. Bytes
        that are parsed together with progress of the body are not counted.
    :param headers: number of headers of a request.
    :param discarded_bytes: bytes of a body that are read after the answer to its
        request.
    :param idle_s: time without a byte of a request.
    :param head_s: time from the first byte of a head to its last one.
    :param body_s: time from the end of a head to the end of the body.
    :param write_s: time in which a caller must read at least ``write_bytes`` of an
        answer that fills the buffers.
    :param write_bytes: see ``write_s``.
    :param linger_s: time for which a refused caller may read its answer.
    :param spared_s: time for which a connection that waits for its caller is not
        closed in favor of others.
    :param connections: number of open connections of the process.
    :param buffered_bytes: bytes of requests that are not answered and of answers that
        are not read, in the process.
    """

    head_bytes: int = 32_768
    headers: int = 128
    discarded_bytes: int = 1_048_576
    idle_s: float = 75.0
    head_s: float = 10.0
    body_s: float = 30.0
    write_s: float = 30.0
    write_bytes: int = 65_536
    linger_s: float = 1.0
    spared_s: float = 1.0
    connections: int = 10_000
    buffered_bytes: int = 256 * BYTES_PER_MB


def derive_limits(memory_mb: int, max_fds: int) -> ConnectionLimits:
    """Derive the limits of a process from those of its machine.

    :param memory_mb: memory of the machine, in MB, 0 if unknown.
    :param max_fds: file descriptors of the process, 0 if unknown.
    """
    limits = ConnectionLimits()
    connections, buffered = limits.connections, limits.buffered_bytes
    if memory_mb:
        memory = memory_mb * BYTES_PER_MB
        connections = min(connections, memory // MEMORY_DIVISOR // CONNECTION_BYTES)
        buffered = min(buffered, memory // BUFFER_DIVISOR)
    if max_fds:
        sockets = max(max_fds - RESERVED_DESCRIPTORS, DESCRIPTOR_DIVISOR)
        connections = min(connections, sockets // DESCRIPTOR_DIVISOR)
    return attrs.evolve(limits, connections=connections, buffered_bytes=buffered)


def read_memory_mb() -> int:
    """Return the memory of the machine, in MB."""
    pages, page_size = os.sysconf("SC_PHYS_PAGES"), os.sysconf("SC_PAGE_SIZE")
    return pages * page_size // BYTES_PER_MB


def read_max_fds() -> int:
    """Return the file descriptors that the process may use, 0 if not limited."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return 0 if soft == resource.RLIM_INFINITY else soft


def derive_machine_limits(memory_mb: int = 0, max_fds: int = 0) -> ConnectionLimits:
    """Derive the limits of this process.

    :param memory_mb: memory that it may use, in MB, 0 for that of the machine.
    :param max_fds: file descriptors that it may use, 0 for its resource limit.
    """
    return derive_limits(memory_mb or read_memory_mb(), max_fds or read_max_fds())
