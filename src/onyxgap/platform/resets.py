"""Resets connections whose calls were given up.

After an orderly close, the kernel goes on to deliver what was sent, for as long as a
partition holds it up. A reset takes it back.
"""

import socket
import ssl
import struct
import typing as t

import httpcore

_NO_LINGER = struct.pack("ii", 1, 0)


def reset_on_close(raw_socket: socket.socket) -> None:
    """Have a socket reset its connection, and drop what it has to send, when closed.

    :param raw_socket: the socket.
    """
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)


class ResettingStream(httpcore.AsyncNetworkStream):
    """Connection that is reset when it is closed after a failure.

    :param stream: the connection.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read some bytes."""
        try:
            return await self._stream.read(max_bytes, timeout)
        except BaseException:
            self._reset_on_close()
            raise

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write all bytes."""
        try:
            await self._stream.write(buffer, timeout)
        except BaseException:
            self._reset_on_close()
            raise

    def _reset_on_close(self) -> None:
        raw_socket = self._stream.get_extra_info("socket")
        if raw_socket is not None and raw_socket.fileno() >= 0:
            reset_on_close(raw_socket)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Start TLS on the connection."""
        return await self._stream.start_tls(ssl_context, server_hostname, timeout)

    def get_extra_info(self, info: str) -> t.Any:
        """Return what is known of the connection."""
        return self._stream.get_extra_info(info)


class ResettingBackend(httpcore.AsyncNetworkBackend):
    """Opens connections that are reset when they are closed after a failure."""

    def __init__(self) -> None:
        self._backend = httpcore.AnyIOBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: t.Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection."""
        stream = await self._backend.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return ResettingStream(stream)

    async def sleep(self, seconds: float) -> None:
        """Wait before the next attempt to connect."""
        await self._backend.sleep(seconds)
