"""Targets in memory: what really ran where, whatever callers are told."""

import collections
import enum
import random
import typing as t

import anyio
import attrs

from ..ports import VmStatus
from ..request.messages import Exchange
from ..request.messages import IdentifiedRequest
from ..request.messages import Outcome
from ..request.messages import Reason
from ..verdict import Verdict
from .memory_platform import MemoryPlatform

DELAY_S = 0.0015
REFUSE_S = 0.0005


class Fault(enum.Enum):
    """How a target misbehaves."""

    FAILS = "fails"
    TRUNCATES = "truncates"
    HANGS = "hangs"
    SLOW = "slow"


SLOW_FACTOR = 10.0


@attrs.define(slots=True)
class Execution:
    """One run of a request on a target.

    :param cut: whether it was ended by a power action or loss of its VM.
    """

    request_id: str
    key: str
    vm: str
    service: str
    job: str
    started_at: float
    ended_at: float = 0.0
    cut: bool = False
    done: bool = False


def build_body(vm: str, request_id: str) -> bytes:
    """Build the body by which a whole answer is known.

    :param vm: the VM that ran it.
    :param request_id: the request.
    """
    return f"{vm} ran {request_id}".encode()


WorkTime = t.Callable[[str, str, random.Random], float]
"""Draws the run time of a job of a service, in seconds."""


@attrs.define
class MemoryTargets:
    """All workers, by address.

    :param platform: tells which VMs run.
    :param rng: seeded generator for run times.
    :param draw_work: draws run times.
    :param slots: requests that one worker runs at once.
    """

    platform: MemoryPlatform
    rng: random.Random
    draw_work: WorkTime
    slots: int = 8
    faults: dict[str, Fault] = attrs.field(factory=dict)
    executions: list[Execution] = attrs.field(factory=list)
    running: collections.Counter[str] = attrs.field(factory=collections.Counter)
    sent: int = 0
    refused_full: int = 0

    def find_vm(self, address: str) -> str:
        """Find the VM behind an address.

        :param address: ``host:port``.
        """
        return next(
            (vm.name for vm in self.platform.vms.values() if vm.address == address), ""
        )

    def is_up(self, vm: str) -> bool:
        """Tell whether a VM runs.

        :param vm: the VM.
        """
        self.platform.advance(anyio.current_time())
        listed = self.platform.vms.get(vm)
        return listed is not None and listed.status is not VmStatus.DOWN

    async def exchange(
        self, request: IdentifiedRequest, address: str, timeout_s: float
    ) -> Exchange:
        """Carry out one attempt, as a target client does."""
        vm = self.find_vm(address)
        self.sent += 1
        await anyio.sleep(DELAY_S)
        if not self.is_up(vm):
            return Exchange(
                Verdict.NOT_RUN, Outcome.UNREACHABLE, reason=Reason.UNREACHABLE
            )
        if self.running[vm] >= self.slots:
            self.refused_full += 1
            await anyio.sleep(REFUSE_S)
            return Exchange(
                Verdict.NOT_RUN, Outcome.OVERLOADED, reason=Reason.TARGET_REFUSED
            )
        with anyio.move_on_after(timeout_s):
            return await self._run(request, vm)
        return Exchange(Verdict.MAY_HAVE_RUN, Outcome.FAILED, reason=Reason.TIMEOUT)

    async def _run(self, request: IdentifiedRequest, vm: str) -> Exchange:
        caller = request.caller
        execution = Execution(
            caller.request_id,
            caller.key or "",
            vm,
            caller.service,
            caller.job,
            anyio.current_time(),
        )
        self.executions.append(execution)
        self.running[vm] += 1
        boots = self.platform.vms[vm].boots
        try:
            await self._work(caller.service, caller.job, vm)
        finally:
            self.running[vm] -= 1
            execution.ended_at = anyio.current_time()
        if not self.is_up(vm) or self.platform.vms[vm].boots != boots:
            execution.cut = True
            return _break_answer()
        execution.done = True
        return _ANSWER.get(self.faults.get(vm), _answer_whole)(vm, request)

    async def _work(self, service: str, job: str, vm: str) -> None:
        work_s = self.draw_work(service, job, self.rng)
        fault = self.faults.get(vm)
        if fault is Fault.HANGS:
            await anyio.sleep_forever()
        if fault is Fault.SLOW:
            work_s *= SLOW_FACTOR
        await anyio.sleep(work_s)


def _answer_whole(vm: str, request: IdentifiedRequest) -> Exchange:
    body = build_body(vm, request.caller.request_id)
    return Exchange(Verdict.RAN, Outcome.SERVED, 200, (), body)


def _answer_failure(vm: str, request: IdentifiedRequest) -> Exchange:
    body = build_body(vm, request.caller.request_id)
    return Exchange(Verdict.RAN, Outcome.FAILED, 500, (), body)


def _break_answer(vm: str = "", request: IdentifiedRequest | None = None) -> Exchange:
    return Exchange(Verdict.MAY_HAVE_RUN, Outcome.FAILED, reason=Reason.BROKEN_ANSWER)


_ANSWER: dict[Fault | None, t.Callable[[str, IdentifiedRequest], Exchange]] = {
    Fault.FAILS: _answer_failure,
    Fault.TRUNCATES: _break_answer,
}
