"""Processors of nodes: while one is busy, nothing of its node goes on.

A process that has been computing for some time answers late, sends late, and finds
its timers expired when it goes on. The tasks of a node are marked by a context
variable; one that becomes runnable while the node's processor is busy is held until it
is free.
"""

import contextlib
import contextvars
import functools
import math
import typing as t

import anyio
import anyio.lowlevel
import attrs
import trio

SLICE_S = 0.004
"""Time for which a busy process keeps a core before another one gets it."""

_T = t.TypeVar("_T")
_scheduler: t.Any = trio._core._run


@attrs.define(eq=False)
class Processor:
    """The processor time of one process of a node.

    :param cores: share of a core that the process has for itself.
    :param step_cost_s: time of a whole core that each step of a scheduling pass or of a
        report takes.
    :param slowness: factor by which all work takes longer, as on a core that is shared
        with one busy process less than that; each time that the node wakes up, it waits
        for all of them.
    """

    cores: float = 1.0
    step_cost_s: float = 0.0
    slowness: float = 1.0
    _busy_until: float = -math.inf
    _awake_at: float = -math.inf
    _ended: bool = False
    _held: list[t.Any] = attrs.field(factory=list)
    _charged: anyio.Event = attrs.field(factory=anyio.Event)

    def count_steps(self, steps: int) -> None:
        """Take the time that a pass or a report with a number of steps takes."""
        self.charge(steps * self.step_cost_s)

    def charge(self, seconds: float) -> None:
        """Be busy for some time, after what it is busy with.

        :param seconds: time that the work takes a whole core.
        """
        if seconds > 0.0 and not self._ended:
            start = max(trio.current_time(), self._busy_until)
            self._busy_until = start + seconds * self.slowness / self.cores
            self._charged.set()

    def admit(self, task: t.Any) -> bool:
        """Return whether a task may run now; otherwise hold it until it may."""
        now = trio.current_time()
        if self._ended:
            return True
        if now >= self._busy_until and self.slowness > 1.0 and now > self._awake_at:
            self._busy_until = now + SLICE_S * (self.slowness - 1.0)
            self._charged.set()
        if now >= self._busy_until:
            return True
        self._held.append(task)
        return False

    async def host(self, run: t.Callable[[], t.Awaitable[None]]) -> None:
        """Run a process on this processor until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._release_when_free)
            with self.occupy():
                await run()
            group.cancel_scope.cancel()

    @contextlib.contextmanager
    def occupy(self) -> t.Iterator[None]:
        """Have this task need the processor in the meantime."""
        with _mark(self):
            yield

    async def run_elsewhere(self, call: t.Callable[[], t.Awaitable[_T]]) -> _T:
        """Await a call that another process carries out.

        The call goes on while this processor is busy; its answer or its time-out takes
        effect once the processor is free. A time-out that has expired by then wins.
        """
        try:
            with _mark(None):
                answer = await call()
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.lowlevel.checkpoint()
        await anyio.lowlevel.checkpoint_if_cancelled()
        return answer

    def end(self) -> None:
        """End the process: what is held goes on, to be cancelled."""
        self._ended = True
        self._release()

    async def _release_when_free(self) -> None:
        try:
            while True:
                await self._charged.wait()
                self._charged = anyio.Event()
                while trio.current_time() < self._busy_until:
                    await anyio.sleep_until(self._busy_until)
                self._awake_at = trio.current_time()
                self._release()
        finally:
            self.end()

    def _release(self) -> None:
        _scheduler.GLOBAL_RUN_CONTEXT.runner.runq.extend(self._held)
        self._held.clear()


_present: contextvars.ContextVar[Processor | None] = contextvars.ContextVar(
    "processor", default=None
)


@contextlib.contextmanager
def _mark(processor: Processor | None) -> t.Iterator[None]:
    token = _present.set(processor)
    try:
        yield
    finally:
        _present.reset(token)


@contextlib.contextmanager
def hold_busy_nodes() -> t.Iterator[None]:
    """Have the scheduler ask processors before it runs tasks of their nodes."""
    runner_class = _scheduler.Runner
    reschedule = runner_class.reschedule

    @functools.wraps(reschedule)
    def reschedule_if_free(runner: t.Any, task: t.Any, *args: t.Any) -> None:
        reschedule(runner, task, *args)
        processor = task.context.get(_present)
        if processor is not None and not processor.admit(task):
            runner.runq.remove(task)

    runner_class.reschedule = reschedule_if_free
    try:
        yield
    finally:
        runner_class.reschedule = reschedule
