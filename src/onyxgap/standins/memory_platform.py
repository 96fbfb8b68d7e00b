"""A small platform in memory, with faults, for tests, bench and demo."""

import copy
import hashlib
import random
import typing as t

import anyio
import attrs
import sortedcontainers

from ..exceptions import PlatformUnavailableError
from ..ports import ListedTask
from ..ports import ListedVm
from ..ports import Put
from ..ports import Row
from ..ports import StartTask
from ..ports import TaskStatus
from ..ports import VmAction
from ..ports import VmList
from ..ports import VmStatus
from ..ports import WriteOutcome
from ..ports import WriteResult
from ..sentinels import NOT_FOUND
from ..sentinels import Missing


@attrs.define
class Faults:
    """Faults of the stand-in; all off by default.

    :param down: no call is answered or has an effect.
    :param delay_s: time each call takes, in seconds.
    :param lose_answers: share of writes that apply but are not answered.
    :param stale_vms_s: how old the list of VMs is, in seconds.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: float = 0.0
    stale_vms_s: float = 0.0


@attrs.define
class _Boot:
    vm: str
    ready_at: float


@attrs.define
class _Run:
    order: StartTask
    started_at: float
    status: TaskStatus = TaskStatus.RUNNING
    run_time_s: float = 0.0


TaskJudge = t.Callable[[StartTask], tuple[TaskStatus, float]]
"""Decides how a started attempt ends, and after how many seconds."""


def run_as_declared(order: StartTask) -> tuple[TaskStatus, float]:
    """Let an attempt end well after its declared time.

    :param order: the attempt.
    """
    return TaskStatus.DONE, order.run_time_s


@attrs.define
class MemoryPlatform:
    """The platform's table, object store and VMs in one object.

    :param rng: seeded generator for lost answers.
    :param boot_s: time that a power action takes, in seconds.
    :param judge: decides how attempts at tasks end.
    """

    rng: random.Random = attrs.field(factory=lambda: random.Random(1))
    boot_s: float = 5.0
    judge: TaskJudge = run_as_declared
    faults: Faults = attrs.field(factory=Faults)
    reads: int = 0
    writes: int = 0
    actions: dict[str, str] = attrs.field(factory=dict)
    vms: dict[str, ListedVm] = attrs.field(factory=dict)
    runs: dict[str, _Run] = attrs.field(factory=dict)
    on_action: t.Callable[[str, VmStatus, str], None] = lambda vm, before, action: None
    _rows: t.Any = attrs.field(factory=sortedcontainers.SortedDict)
    _versions: dict[str, int] = attrs.field(factory=dict)
    _objects: dict[str, bytes] = attrs.field(factory=dict)
    _boots: list[_Boot] = attrs.field(factory=list)
    _old_list: tuple[float, tuple[ListedVm, ...]] = (float("-inf"), ())

    async def _enter(self) -> None:
        if self.faults.delay_s:
            await anyio.sleep(self.faults.delay_s)
        if self.faults.down:
            await anyio.lowlevel.checkpoint()
            raise PlatformUnavailableError("platform is down")

    # table

    async def get(self, key: str) -> Row | Missing:
        """Read one row."""
        await self._enter()
        self.reads += 1
        row: Row | Missing = self._rows.get(key, NOT_FOUND)
        return row

    async def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Read rows in key order."""
        await self._enter()
        self.reads += 1
        found: list[Row] = []
        for key in self._rows.irange(max(prefix, after), inclusive=(False, True)):
            if len(found) == limit or not key.startswith(prefix):
                break
            found.append(self._rows[key])
        return found

    async def transact(self, puts: t.Sequence[Put]) -> WriteResult:
        """Apply all writes or none of them."""
        try:
            await self._enter()
        except PlatformUnavailableError:
            return WriteResult(WriteOutcome.UNKNOWN)
        result = self.write(puts)
        if self.faults.lose_answers and self.rng.random() < self.faults.lose_answers:
            return WriteResult(WriteOutcome.UNKNOWN)
        return result

    def write(self, puts: t.Sequence[Put]) -> WriteResult:
        """Apply all writes or none of them, at once.

        :param puts: the conditional writes.
        """
        self.writes += 1
        conflicts = tuple(put.key for put in puts if not self._holds(put))
        if conflicts:
            return WriteResult(WriteOutcome.NOT_APPLIED, conflicts)
        for put in puts:
            self._put(put)
        return WriteResult(WriteOutcome.APPLIED)

    def _holds(self, put: Put) -> bool:
        row = self._rows.get(put.key)
        return put.expect in (None, row.version if row else 0)

    def _put(self, put: Put) -> None:
        if put.value is None:
            self._rows.pop(put.key, None)
            return
        # versions go on after a deletion, so that no old condition holds again
        version = self._versions.get(put.key, 0) + 1
        self._versions[put.key] = version
        self._rows[put.key] = Row(put.key, copy.deepcopy(put.value), version)

    def peek(self, key: str) -> Row:
        """Read a row past all faults, for tests.

        :param key: its key.
        """
        row: Row = self._rows[key]
        return row

    def list_keys(self, prefix: str) -> list[str]:
        """List the keys with a prefix, for tests.

        :param prefix: the prefix.
        """
        return [key for key in self._rows if key.startswith(prefix)]

    # object store

    async def put_object(self, body: bytes) -> str:
        """Store an object and return its hash."""
        await self._enter()
        self.writes += 1
        digest = hashlib.sha256(body).hexdigest()
        self._objects[digest] = body
        return digest

    async def get_object(self, digest: str) -> bytes:
        """Read an object and check it against its hash."""
        await self._enter()
        self.reads += 1
        if digest not in self._objects:
            raise PlatformUnavailableError(f"no object {digest}")
        return self._objects[digest]

    # VMs

    async def list_vms(self) -> VmList:
        """Read the lagging list of VMs."""
        await self._enter()
        self.reads += 1
        self.advance(anyio.current_time())
        now = anyio.current_time()
        made_at, vms = self._old_list
        if now - made_at >= self.faults.stale_vms_s:
            made_at, vms = now, tuple(self.vms.values())
            self._old_list = (made_at, vms)
        return VmList(now - made_at, vms)

    async def act_on_vm(self, vm: str, action: VmAction, action_id: str) -> None:
        """Start a power action; a known id does nothing more."""
        await self._enter()
        self.writes += 1
        if action_id in self.actions or vm not in self.vms:
            return
        self.actions[action_id] = f"{action.value} {vm}"
        before = self.vms[vm].status
        self.set_status(vm, VmStatus.DOWN)
        self.on_action(vm, before, action_id)
        self._boots.append(_Boot(vm, anyio.current_time() + self.boot_s))

    def set_status(self, vm: str, status: VmStatus) -> None:
        """Set the status of a VM.

        :param vm: the VM.
        :param status: its status.
        """
        self.vms[vm] = attrs.evolve(self.vms[vm], status=status)

    def advance(self, now: float) -> None:
        """Finish the power actions and tasks that are due.

        :param now: monotonic seconds.
        """
        due = [boot for boot in self._boots if boot.ready_at <= now]
        for boot in due:
            self._boots.remove(boot)
            vm = self.vms.get(boot.vm)
            if vm is not None:
                self.vms[boot.vm] = attrs.evolve(
                    vm, status=VmStatus.LIVE, boots=vm.boots + 1
                )
        for run in self.runs.values():
            self._advance_run(run, now)

    def _advance_run(self, run: _Run, now: float) -> None:
        if run.status is not TaskStatus.RUNNING:
            return
        run.run_time_s = now - run.started_at
        vm = self.vms.get(run.order.vm)
        if vm is None or vm.status is VmStatus.DOWN:
            run.status = TaskStatus.LOST
            return
        status, ends_after_s = self.judge(run.order)
        if run.run_time_s >= ends_after_s:
            run.status = status
            run.run_time_s = ends_after_s

    # tasks

    def list_running(self, vm: str) -> list[str]:
        """List the attempts that run on a VM, for tests.

        :param vm: the VM.
        """
        return [
            attempt
            for attempt, run in self.runs.items()
            if run.order.vm == vm and run.status is TaskStatus.RUNNING
        ]

    async def list_tasks(self) -> tuple[ListedTask, ...]:
        """Read the attempts the platform knows."""
        await self._enter()
        self.reads += 1
        self.advance(anyio.current_time())
        return tuple(
            ListedTask(
                attempt=attempt,
                vm=run.order.vm,
                status=run.status,
                memory_gb=run.order.memory_gb,
                cores=run.order.cores,
                run_time_s=run.run_time_s,
            )
            for attempt, run in self.runs.items()
        )

    async def start_task(self, order: StartTask) -> None:
        """Start an attempt; a known id starts nothing more."""
        await self._enter()
        self.writes += 1
        if order.attempt not in self.runs:
            self.runs[order.attempt] = _Run(order, anyio.current_time())

    async def stop_task(self, attempt: str) -> None:
        """Stop an attempt; an unknown id can no longer be started."""
        await self._enter()
        self.writes += 1
        run = self.runs.get(attempt)
        if run is None:
            order = StartTask(attempt, "", 0, 0, 0)
            self.runs[attempt] = _Run(order, anyio.current_time(), TaskStatus.STOPPED)
        elif run.status is TaskStatus.RUNNING:
            run.status = TaskStatus.STOPPED
