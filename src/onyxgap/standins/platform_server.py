"""Serves the stand-in platform over HTTP, for separate processes."""

import hashlib
import json
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
from ..adapters.asgi import send_json
from ..adapters.http_server import HttpServer
from ..adapters.platform_client import CONVERTER
from ..exceptions import PlatformUnavailableError
from ..ports import ListedVm
from ..ports import Put
from ..ports import StartTask
from ..ports import VmAction
from ..ports import VmStatus
from ..ports import WriteOutcome
from ..settings import Address
from .memory_platform import Faults
from .memory_platform import MemoryPlatform

MAX_BODY = 64 * 1_048_576
DROP_STATUS = 599
_LOG = structlog.get_logger()
_Reply = tuple[int, t.Any]


@attrs.define
class PlatformServer:
    """ASGI application in front of a memory platform.

    :param platform: the platform.
    """

    platform: MemoryPlatform

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        if scope["type"] != "http":
            return
        body = await read_body(receive, MAX_BODY)
        path = scope["path"]
        if path.startswith("/objects/"):
            await self._serve_object(scope["method"], path, body, send)
            return
        if (scope["method"], path) == ("GET", "/vms"):
            await self._serve_list(scope, send)
            return
        route = _ROUTES.get((scope["method"], path))
        if route is None:
            await send_json(send, 404, None)
            return
        try:
            value = json.loads(body) if body else None
            status, reply = await route(self.platform, value)
        except PlatformUnavailableError:
            status, reply = DROP_STATUS, None
        await send_json(send, status, reply)

    async def _serve_list(self, scope: Scope, send: Send) -> None:
        try:
            vm_list = await self.platform.list_vms()
        except PlatformUnavailableError:
            await send_answer(send, DROP_STATUS, b"")
            return
        body = json.dumps(CONVERTER.unstructure(vm_list.vms)).encode()
        tag = hashlib.sha256(body).hexdigest()
        headers = [("ETag", tag), ("Age", f"{vm_list.age_s:.3f}")]
        known = dict(scope["headers"]).get(b"if-none-match", b"").decode()
        if known == tag:
            await send_answer(send, 304, b"", headers)
        else:
            await send_answer(send, 200, body, headers)

    async def _serve_object(
        self, method: str, path: str, body: bytes, send: Send
    ) -> None:
        try:
            if method == "PUT":
                await self.platform.put_object(body)
                await send_answer(send, 200, b"")
            else:
                found = await self.platform.get_object(path.rpartition("/")[2])
                await send_answer(send, 200, found)
        except PlatformUnavailableError:
            await send_answer(send, DROP_STATUS, b"")


async def _get(platform: MemoryPlatform, value: t.Any) -> _Reply:
    row = await platform.get(value["key"])
    return (200, attrs.asdict(row)) if row else (404, None)


async def _scan(platform: MemoryPlatform, value: t.Any) -> _Reply:
    rows = await platform.scan(value["prefix"], value["after"], value["limit"])
    return 200, [attrs.asdict(row) for row in rows]


async def _transact(platform: MemoryPlatform, value: t.Any) -> _Reply:
    result = await platform.transact([Put(**put) for put in value])
    if result.outcome is WriteOutcome.UNKNOWN:
        return DROP_STATUS, None
    if result.outcome is WriteOutcome.NOT_APPLIED:
        return 409, list(result.conflicts)
    return 200, None


async def _act(platform: MemoryPlatform, value: t.Any) -> _Reply:
    action = VmAction(value["action"])
    await platform.act_on_vm(value["vm"], action, value["action_id"])
    return 200, None


async def _list_tasks(platform: MemoryPlatform, value: t.Any) -> _Reply:
    return 200, CONVERTER.unstructure(await platform.list_tasks())


async def _start_task(platform: MemoryPlatform, value: t.Any) -> _Reply:
    await platform.start_task(StartTask(**value))
    return 200, None


async def _stop_task(platform: MemoryPlatform, value: t.Any) -> _Reply:
    await platform.stop_task(value["attempt"])
    return 200, None


async def _set_faults(platform: MemoryPlatform, value: t.Any) -> _Reply:
    platform.faults = Faults(**value)
    return 200, None


async def _set_status(platform: MemoryPlatform, value: t.Any) -> _Reply:
    platform.set_status(value["vm"], VmStatus(value["status"]))
    return 200, None


async def _count(platform: MemoryPlatform, value: t.Any) -> _Reply:
    return 200, {"reads": platform.reads, "writes": platform.writes}


_ROUTES: dict[
    tuple[str, str], t.Callable[[MemoryPlatform, t.Any], t.Awaitable[_Reply]]
] = {
    ("POST", "/table/get"): _get,
    ("POST", "/table/scan"): _scan,
    ("POST", "/table/transact"): _transact,
    ("POST", "/vms/act"): _act,
    ("GET", "/tasks"): _list_tasks,
    ("POST", "/tasks/start"): _start_task,
    ("POST", "/tasks/stop"): _stop_task,
    ("POST", "/standin/faults"): _set_faults,
    ("POST", "/standin/status"): _set_status,
    ("GET", "/standin/counts"): _count,
}


def load_fleet(text: str | bytes) -> dict[str, ListedVm]:
    """Read the VMs that the stand-in platform starts with.

    :param text: JSON array of VMs.
    """
    vms = CONVERTER.structure(json.loads(text), list[ListedVm])
    return {vm.name: vm for vm in vms}


async def run_platform(
    listen: Address,
    fleet: dict[str, ListedVm],
    stop: anyio.Event,
    *,
    boot_s: float = 5.0,
    task_status: anyio.abc.TaskStatus[t.Any] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Run the stand-in platform until it is asked to stop.

    :param listen: address to listen on.
    :param fleet: VMs it starts with.
    :param stop: set to stop.
    :param boot_s: time that a power action takes, in seconds.
    """
    platform = MemoryPlatform(boot_s=boot_s)
    platform.vms.update(fleet)
    server = HttpServer(PlatformServer(platform), listen, 1)
    async with anyio.create_task_group() as group:
        address = await group.start(server.run)
        _LOG.info("started", http=str(address))
        task_status.started((address, platform))
        await stop.wait()
        server.stop()
