"""Client of the platform's service over HTTP, with a circuit per store."""

import hashlib
import json
import typing as t

import anyio
import attrs
import httpcore
from cattrs import Converter

from .. import defaults
from ..exceptions import PlatformUnavailableError
from ..ports import ListedTask
from ..ports import ListedVm
from ..ports import Put
from ..ports import Row
from ..ports import StartTask
from ..ports import VmAction
from ..ports import VmList
from ..ports import WriteOutcome
from ..ports import WriteResult
from ..sentinels import NOT_FOUND
from ..sentinels import Missing
from ..settings import Address

CONFLICT = 409
NOT_FOUND_STATUS = 404
SUCCESS = 200
NOT_MODIFIED = 304
_EXPECTED = (SUCCESS, NOT_MODIFIED, CONFLICT, NOT_FOUND_STATUS)
CONVERTER = Converter()


def _decode_json(content: bytes) -> t.Any:
    try:
        return json.loads(content)
    except ValueError:
        raise PlatformUnavailableError("answer is not JSON") from None


@attrs.define
class PlatformClient:
    """Speaks to the platform's service.

    :param address: where it listens.
    :param timeout_s: longest wait for one answer, in seconds.
    """

    address: Address
    timeout_s: float = defaults.PLATFORM_TIMEOUT_S
    reads: int = 0
    writes: int = 0
    bytes_moved: int = 0
    _vms_tag: str = ""
    _vms: tuple[ListedVm, ...] = ()
    _pool: httpcore.AsyncConnectionPool = attrs.field(
        factory=lambda: httpcore.AsyncConnectionPool(max_connections=32)
    )

    async def _call(
        self, method: str, path: str, body: bytes = b""
    ) -> tuple[int, bytes]:
        response = await self._send(method, path, body)
        return response.status, response.content

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: t.Sequence[tuple[str, str]] = (),
    ) -> httpcore.Response:
        url = f"http://{self.address}{path}"
        try:
            with anyio.fail_after(self.timeout_s):
                response = await self._pool.request(
                    method, url, content=body, headers=headers
                )
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise PlatformUnavailableError(repr(error)) from None
        except (httpcore.TimeoutException, TimeoutError):
            raise PlatformUnavailableError("timed out") from None
        self.bytes_moved += len(body) + len(response.content) + len(url)
        if response.status not in _EXPECTED:
            raise PlatformUnavailableError(f"status {response.status}")
        return response

    async def _ask(self, method: str, path: str, value: t.Any = None) -> t.Any:
        self.reads += 1
        body = b"" if value is None else json.dumps(value).encode()
        status, content = await self._call(method, path, body)
        return None if status == NOT_FOUND_STATUS else _decode_json(content)

    async def get(self, key: str) -> Row | Missing:
        """Read one row."""
        value = await self._ask("POST", "/table/get", {"key": key})
        return NOT_FOUND if value is None else Row(**value)

    async def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Read rows in key order."""
        query = {"prefix": prefix, "after": after, "limit": limit}
        return [Row(**row) for row in await self._ask("POST", "/table/scan", query)]

    async def transact(self, puts: t.Sequence[Put]) -> WriteResult:
        """Apply all writes or none of them."""
        self.writes += 1
        body = json.dumps([attrs.asdict(put) for put in puts]).encode()
        try:
            status, content = await self._call("POST", "/table/transact", body)
            if status == CONFLICT:
                conflicts = tuple(json.loads(content))
                return WriteResult(WriteOutcome.NOT_APPLIED, conflicts)
        except (PlatformUnavailableError, ValueError):
            return WriteResult(WriteOutcome.UNKNOWN)
        return WriteResult(WriteOutcome.APPLIED)

    async def put_object(self, body: bytes) -> str:
        """Store an object and return its hash."""
        digest = hashlib.sha256(body).hexdigest()
        self.writes += 1
        await self._call("PUT", f"/objects/{digest}", body)
        return digest

    async def get_object(self, digest: str) -> bytes:
        """Read an object and check it against its hash."""
        self.reads += 1
        _, body = await self._call("GET", f"/objects/{digest}")
        if hashlib.sha256(body).hexdigest() != digest:
            raise PlatformUnavailableError(f"object {digest} is damaged or gone")
        return body

    async def list_vms(self) -> VmList:
        """Read the lagging list of VMs; an unchanged one is not sent again."""
        self.reads += 1
        headers = [("If-None-Match", self._vms_tag)] if self._vms_tag else []
        response = await self._send("GET", "/vms", headers=headers)
        found = {name.lower(): value.decode() for name, value in response.headers}
        if response.status != NOT_MODIFIED:
            vms = CONVERTER.structure(
                _decode_json(response.content), tuple[ListedVm, ...]
            )
            self._vms_tag, self._vms = found.get(b"etag", ""), vms
        return VmList(float(found.get(b"age", "0")), self._vms)

    async def act_on_vm(self, vm: str, action: VmAction, action_id: str) -> None:
        """Start a power action."""
        order = {"vm": vm, "action": action.value, "action_id": action_id}
        await self._ask("POST", "/vms/act", order)

    async def list_tasks(self) -> tuple[ListedTask, ...]:
        """Read the attempts the platform knows."""
        value = await self._ask("GET", "/tasks")
        return CONVERTER.structure(value, tuple[ListedTask, ...])

    async def start_task(self, order: StartTask) -> None:
        """Start an attempt."""
        await self._ask("POST", "/tasks/start", attrs.asdict(order))

    async def stop_task(self, attempt: str) -> None:
        """Stop an attempt."""
        await self._ask("POST", "/tasks/stop", {"attempt": attempt})

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()
