"""One member's way to the platform, which can be cut off or held up."""

import typing as t

import anyio
import attrs

from ..exceptions import PlatformUnavailableError
from ..ports import ListedTask
from ..ports import Put
from ..ports import Row
from ..ports import StartTask
from ..ports import VmAction
from ..ports import VmList
from ..ports import WriteOutcome
from ..ports import WriteResult
from ..sentinels import Missing
from .memory_platform import MemoryPlatform

CUT_TIMEOUT_S = 2.0


class KilledError(Exception):
    """The process that makes the call has been killed."""


@attrs.define
class PlatformGate:
    """Passes one member's calls on, unless it is cut off or frozen.

    A call made while frozen is held and has its effect after the thaw, as a
    paused process would send it late.

    :param platform: the platform.
    """

    platform: MemoryPlatform
    cut: bool = False
    killed: bool = False
    _frozen_at: float = 0.0
    _thawed: anyio.Event | None = None

    def freeze(self) -> None:
        """Hold every call from now on."""
        self._thawed = anyio.Event()
        self._frozen_at = anyio.current_time()

    @property
    def frozen(self) -> bool:
        """Whether calls are held at present."""
        return self._thawed is not None

    def count_frozen_s(self) -> float:
        """Count the seconds since the member was frozen, 0 if it is not."""
        return anyio.current_time() - self._frozen_at if self.frozen else 0.0

    def thaw(self) -> None:
        """Let the held calls go on."""
        if self._thawed is not None:
            self._thawed.set()
            self._thawed = None

    def kill(self) -> None:
        """Let nothing through any more; held calls end."""
        self.killed = True
        self.thaw()

    async def pass_freeze(self) -> None:
        """Wait while frozen.

        :raises KilledError: when the process is no more.
        """
        while self._thawed is not None:
            await self._thawed.wait()
        if self.killed:
            raise KilledError

    async def _enter(self) -> None:
        await self.pass_freeze()
        if self.cut:
            await anyio.sleep(CUT_TIMEOUT_S)
            raise PlatformUnavailableError("cut off")

    async def get(self, key: str) -> Row | Missing:
        """Read one row."""
        await self._enter()
        return await self.platform.get(key)

    async def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Read rows in key order."""
        await self._enter()
        return await self.platform.scan(prefix, after, limit)

    async def transact(self, puts: t.Sequence[Put]) -> WriteResult:
        """Apply all writes or none of them."""
        try:
            await self._enter()
        except PlatformUnavailableError:
            return WriteResult(WriteOutcome.UNKNOWN)
        return await self.platform.transact(puts)

    async def put_object(self, body: bytes) -> str:
        """Store an object."""
        await self._enter()
        return await self.platform.put_object(body)

    async def get_object(self, digest: str) -> bytes:
        """Read an object."""
        await self._enter()
        return await self.platform.get_object(digest)

    async def list_vms(self) -> VmList:
        """Read the lagging list of VMs."""
        await self._enter()
        return await self.platform.list_vms()

    async def act_on_vm(self, vm: str, action: VmAction, action_id: str) -> None:
        """Start a power action."""
        await self._enter()
        await self.platform.act_on_vm(vm, action, action_id)

    async def list_tasks(self) -> tuple[ListedTask, ...]:
        """Read the attempts the platform knows."""
        await self._enter()
        return await self.platform.list_tasks()

    async def start_task(self, order: StartTask) -> None:
        """Start an attempt."""
        await self._enter()
        await self.platform.start_task(order)

    async def stop_task(self, attempt: str) -> None:
        """Stop an attempt."""
        await self._enter()
        await self.platform.stop_task(attempt)
