"""HTTP client of the platform: its table, object store, VMs and tasks."""

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

CONFLICT_STATUS = 409
NOT_FOUND_STATUS = 404
SUCCESS_STATUS = 200
NOT_MODIFIED_STATUS = 304
_EXPECTED_STATUSES = (
    SUCCESS_STATUS,
    NOT_MODIFIED_STATUS,
    CONFLICT_STATUS,
    NOT_FOUND_STATUS,
)
CONVERTER = Converter()
T = t.TypeVar("T")


def _decode_json(content: bytes) -> t.Any:
    try:
        return json.loads(content)
    except ValueError:
        raise PlatformUnavailableError(
            "answer of the platform is not valid JSON"
        ) from None


def _structure(value: t.Any, kind: type[T]) -> T:
    try:
        return CONVERTER.structure(value, kind)
    except Exception as error:
        raise PlatformUnavailableError(f"malformed answer: {error!r}") from None


def _decode_list(content: bytes, kind: type[T]) -> list[T]:
    value = _decode_json(content)
    if not isinstance(value, list):
        raise PlatformUnavailableError("answer of the platform is not a list")
    return [_structure(item, kind) for item in value]


def _require_success(status: int) -> None:
    if status != SUCCESS_STATUS:
        raise PlatformUnavailableError(f"platform answered with HTTP status {status}")


@attrs.define
class PlatformClient:
    """Calls the platform over HTTP.

    :param address: address of the platform.
    :param timeout_s: time-out of one call, in seconds.
    :param writes: number of calls that write to the table or the object store.
    :param reads: number of all other calls, including VM actions and task starts
        and stops.
    :param bytes_transferred: bytes of URLs and bodies sent and received; headers are
        not counted.
    """

    address: Address
    timeout_s: float = defaults.PLATFORM_TIMEOUT_S
    reads: int = 0
    writes: int = 0
    bytes_transferred: int = 0
    _vms_etag: str = ""
    _vms: tuple[ListedVm, ...] = ()
    _pool: httpcore.AsyncConnectionPool = attrs.field(
        factory=lambda: httpcore.AsyncConnectionPool(max_connections=32)
    )

    async def _request(
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
            raise PlatformUnavailableError(
                "platform did not answer within the time-out"
            ) from None
        self.bytes_transferred += len(body) + len(response.content) + len(url)
        if response.status not in _EXPECTED_STATUSES:
            raise PlatformUnavailableError(
                f"platform answered with HTTP status {response.status}"
            )
        return response

    async def _request_json(self, method: str, path: str, value: t.Any = None) -> t.Any:
        self.reads += 1
        body = b"" if value is None else json.dumps(value).encode()
        status, content = await self._request(method, path, body)
        return None if status == NOT_FOUND_STATUS else _decode_json(content)

    async def _read_list(
        self, method: str, path: str, kind: type[T], query: t.Any = None
    ) -> list[T]:
        self.reads += 1
        body = b"" if query is None else json.dumps(query).encode()
        status, content = await self._request(method, path, body)
        _require_success(status)
        return _decode_list(content, kind)

    async def get(self, key: str) -> Row | Missing:
        """Read one row."""
        self.reads += 1
        body = json.dumps({"key": key}).encode()
        status, content = await self._request("POST", "/table/get", body)
        if status == NOT_FOUND_STATUS:
            return NOT_FOUND
        _require_success(status)
        return _structure(_decode_json(content), Row)

    async def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Read rows in key order."""
        query = {"prefix": prefix, "after": after, "limit": limit}
        return await self._read_list("POST", "/table/scan", Row, query)

    async def transact(self, puts: t.Sequence[Put]) -> WriteResult:
        """Apply all writes or none of them; a lost answer gives ``UNKNOWN``."""
        self.writes += 1
        body = json.dumps([attrs.asdict(put) for put in puts]).encode()
        try:
            status, content = await self._request("POST", "/table/transact", body)
            if status == CONFLICT_STATUS:
                conflicts = tuple(json.loads(content))
                return WriteResult(WriteOutcome.NOT_APPLIED, conflicts)
            _require_success(status)
        except (PlatformUnavailableError, ValueError, TypeError):
            return WriteResult(WriteOutcome.UNKNOWN)
        return WriteResult(WriteOutcome.APPLIED)

    async def put_object(self, body: bytes) -> str:
        """Store an object and return its hash.

        :raises PlatformUnavailableError: when the platform did not confirm it.
        """
        digest = hashlib.sha256(body).hexdigest()
        self.writes += 1
        status, _ = await self._request("PUT", f"/objects/{digest}", body)
        _require_success(status)
        return digest

    async def get_object(self, digest: str) -> bytes:
        """Read an object and verify its hash.

        :raises PlatformUnavailableError: when no answer came or the object is
            missing or corrupt.
        """
        self.reads += 1
        _, body = await self._request("GET", f"/objects/{digest}")
        if hashlib.sha256(body).hexdigest() != digest:
            raise PlatformUnavailableError(
                f"object {digest} is missing or does not match its hash"
            )
        return body

    async def list_vms(self) -> VmList:
        """Read the VM list, which lags.

        Sends the ETag of the previous list, so that an unchanged one is not sent again.
        """
        self.reads += 1
        headers = [("If-None-Match", self._vms_etag)] if self._vms_etag else []
        response = await self._send("GET", "/vms", headers=headers)
        received = {name.lower(): value.decode() for name, value in response.headers}
        if response.status != NOT_MODIFIED_STATUS or not self._vms_etag:
            _require_success(response.status)
            vms = _decode_list(response.content, ListedVm)
            self._vms_etag, self._vms = received.get(b"etag", ""), tuple(vms)
        return VmList(float(received.get(b"age", "0")), self._vms)

    async def act_on_vm(self, vm: str, action: VmAction, action_id: str) -> None:
        """Start a power action on a VM."""
        order = {"vm": vm, "action": action.value, "action_id": action_id}
        await self._request_json("POST", "/vms/act", order)

    async def list_tasks(self) -> tuple[ListedTask, ...]:
        """Read the attempts that the platform reports."""
        return tuple(await self._read_list("GET", "/tasks", ListedTask))

    async def start_task(self, order: StartTask) -> None:
        """Start an attempt at a task."""
        await self._request_json("POST", "/tasks/start", attrs.asdict(order))

    async def stop_task(self, attempt: str) -> None:
        """Stop an attempt at a task."""
        await self._request_json("POST", "/tasks/stop", {"attempt": attempt})

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()
