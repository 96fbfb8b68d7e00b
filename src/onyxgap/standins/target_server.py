"""A stand-in target: a worker that runs requests in a number of slots."""

import collections
import typing as t

import anyio
import anyio.abc
import attrs
import structlog

from ..adapters.asgi import Receive
from ..adapters.asgi import Scope
from ..adapters.asgi import Send
from ..adapters.asgi import read_body
from ..adapters.asgi import send_answer
from ..adapters.http_server import HttpServer
from ..request.messages import KEY_HEADER
from ..request.messages import NOT_STARTED
from ..request.messages import REQUEST_ID_HEADER
from ..request.messages import STARTED_HEADER
from ..settings import Address

MAX_BODY = 64 * 1_048_576
_LOG = structlog.get_logger()


@attrs.define
class Worker:
    """ASGI application of one worker.

    :param vm: name of its VM.
    :param slots: requests it runs at once; the next is refused with proof.
    :param work_s: time a request takes, in seconds.
    """

    vm: str
    slots: int = 8
    work_s: float = 0.02
    running: int = 0
    ran: collections.Counter[str] = attrs.field(factory=collections.Counter)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        if scope["type"] != "http":
            return
        headers = {
            name.decode(): value.decode("latin-1") for name, value in scope["headers"]
        }
        request_id = headers.get(REQUEST_ID_HEADER.lower(), "")
        body = await read_body(receive, MAX_BODY)
        echo = [(REQUEST_ID_HEADER, request_id)]
        if self.running >= self.slots:
            refusal = [*echo, (STARTED_HEADER, NOT_STARTED)]
            await send_answer(send, 503, b"", refusal)
            return
        self.running += 1
        try:
            self.ran[headers.get(KEY_HEADER.lower(), request_id)] += 1
            await anyio.sleep(self.work_s)
        finally:
            self.running -= 1
        answer = f"{self.vm} ran {scope['path']}: ".encode() + body
        await send_answer(send, 200, answer, [*echo, ("Content-Type", "text/plain")])


async def run_target(
    worker: Worker,
    listen: Address,
    stop: anyio.Event,
    *,
    task_status: anyio.abc.TaskStatus[t.Any] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Run a stand-in target until it is asked to stop.

    :param worker: the worker.
    :param listen: address to listen on.
    :param stop: set to stop.
    """
    server = HttpServer(worker, listen, 5)
    async with anyio.create_task_group() as group:
        address = await group.start(server.run)
        _LOG.info("started", vm=worker.vm, http=str(address))
        task_status.started(address)
        await stop.wait()
        server.stop()
