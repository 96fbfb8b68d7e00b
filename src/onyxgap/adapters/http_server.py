"""Runs an ASGI application with uvicorn inside an anyio task group."""

import asyncio
import contextlib
import functools
import socket
import typing as t

import anyio
import anyio.abc
import attrs
import uvicorn

from ..settings import Address
from .bounded_protocol import BoundedHttpProtocol
from .bounded_protocol import RefusalHeaders
from .connection_guard import ConnectionGuard
from .connection_limits import derive_machine_limits

BACKLOG = 2048
"""Connections that may wait to be accepted."""
ACCEPTED_AT_ONCE = 8
"""Connections that are accepted before the guard sees them. With more, a late event
loop would open as many sockets as callers wait, beyond the limit of descriptors."""
RECEIVE_BUFFER_BYTES = 32_768
SEND_BUFFER_BYTES = 65_536
"""Sizes of a connection's buffers in the kernel, which doubles them. Without them the
kernel keeps up to some megabytes of unread answers of each caller. Answers of a
megabyte take over 0.4 s on loopback with half of the latter."""
START_POLL_S = 0.01


def _limit_buffers(listener: socket.socket) -> None:
    """Limit the kernel's buffers of the connections that a socket accepts."""
    sizes = {
        socket.SO_RCVBUF: RECEIVE_BUFFER_BYTES,
        socket.SO_SNDBUF: SEND_BUFFER_BYTES,
    }
    for option, size in sizes.items():
        # a system that does not allow it has sizes of its own
        with contextlib.suppress(OSError):
            listener.setsockopt(socket.SOL_SOCKET, option, size)


class _UvicornServer(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> t.Iterator[None]:
        # the process that runs the server handles signals
        yield


@attrs.define
class HttpServer:
    """HTTP server for one ASGI application.

    :param app: the application.
    :param listen: address to listen on; port 0 selects a free port.
    :param grace_s: seconds that open requests may take after :meth:`stop`; applied
        as whole seconds, at least one.
    :param guard: bounds the connections, also those of other servers that share it.
    :param list_refusal_headers: lists additional headers, by status, of the answer to a
        request that the server refuses before the application has it in full.
    :param ended: set when the server has shut down after :meth:`stop`.
    """

    app: t.Any
    listen: Address
    grace_s: float = 30.0
    guard: ConnectionGuard = attrs.field(
        factory=lambda: ConnectionGuard(derive_machine_limits())
    )
    list_refusal_headers: RefusalHeaders = lambda status: ()
    ended: anyio.Event = attrs.field(factory=anyio.Event)
    _server: _UvicornServer | None = None

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[Address] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until stopped.

        Reports the bound address through ``task_status`` once it accepts connections.
        """
        # asyncio sets TCP_NODELAY, which disables Nagle's algorithm, only on sockets
        # that are created with IPPROTO_TCP
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _limit_buffers(listener)
        listener.bind((self.listen.host, self.listen.port))
        config = uvicorn.Config(
            self.app,
            http=t.cast(
                type[asyncio.Protocol],
                functools.partial(
                    BoundedHttpProtocol,
                    guard=self.guard,
                    list_refusal_headers=self.list_refusal_headers,
                ),
            ),
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            backlog=ACCEPTED_AT_ONCE,
            timeout_graceful_shutdown=max(1, int(self.grace_s)),
        )
        self._server = _UvicornServer(config)
        async with anyio.create_task_group() as group:
            group.start_soon(self._serve, listener)
            while not self._server.started:
                await anyio.sleep(START_POLL_S)
            # asyncio accepts as many connections at once as its backlog
            listener.listen(BACKLOG)
            port = listener.getsockname()[1]
            task_status.started(Address(self.listen.host, port))

    async def _serve(self, listener: socket.socket) -> None:
        assert self._server is not None
        await self._server.serve(sockets=[listener])
        self.ended.set()

    def stop(self) -> None:
        """Stop accepting connections.

        :meth:`run` returns once open requests are answered or the grace period ends.
        """
        if self._server is not None:
            self._server.should_exit = True
