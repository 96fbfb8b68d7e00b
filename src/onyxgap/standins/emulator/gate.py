"""What stands between a node and the services that it calls."""

import contextlib
import functools
import random
import typing as t

import anyio
import attrs

from .processor import Processor

_T = t.TypeVar("_T")
_P = t.ParamSpec("_P")


@attrs.define(eq=False)
class NodeGate:
    """Freezes, cuts or slows one node at the edges of its calls.

    :param node: name of the node.
    :param cut_from: services that it does not reach: ``store``, ``workers``,
        ``cloud``, of the latter only ``list`` or ``vm-orders``, and addresses of
        workers.
    :param call_cost_s: processor time that a call to a worker takes the node, which
        makes one at a time.
    :param processor: the node's processor, ``None`` if its work takes no time.
    """

    node: str
    cut_from: set[str] = attrs.field(factory=set)
    call_cost_s: float = 0.0
    processor: Processor | None = None
    _busy_until: float = 0.0
    _freezes: int = 0
    _open: anyio.Event = attrs.field(factory=anyio.Event)

    def __attrs_post_init__(self) -> None:
        self._open.set()

    def freeze(self) -> None:
        """Have every call wait, also those whose answer is under way."""
        if not self._freezes:
            self._open = anyio.Event()
        self._freezes += 1

    def thaw(self) -> None:
        """Let the calls go on, once each freeze is over."""
        self._freezes -= 1
        if not self._freezes:
            self._open.set()

    async def pass_through(self) -> None:
        """Wait while the node stands still."""
        await self._open.wait()

    async def take_processor(self) -> None:
        """Wait for the processor, and for as long as a call takes it."""
        if not self.call_cost_s:
            return
        if self.processor is not None:
            self.processor.charge(self.call_cost_s)
            return
        start = max(self._busy_until, anyio.current_time())
        self._busy_until = start + self.call_cost_s
        await anyio.sleep_until(self._busy_until)

    def occupy(self) -> t.ContextManager[None]:
        """Have this task need the node's processor in the meantime."""
        if self.processor is None:
            return contextlib.nullcontext()
        return self.processor.occupy()


def carry_out_elsewhere(
    method: t.Callable[t.Concatenate[t.Any, _P], t.Coroutine[t.Any, t.Any, _T]],
) -> t.Callable[t.Concatenate[t.Any, _P], t.Coroutine[t.Any, t.Any, _T]]:
    """Let a call of a client go on while the processor of its node is busy.

    :param method: method of a client with a gate.
    """

    async def call(client: t.Any, /, *args: _P.args, **kwargs: _P.kwargs) -> _T:
        processor: Processor | None = client.gate.processor
        if processor is None:
            return await method(client, *args, **kwargs)
        return await processor.run_elsewhere(
            functools.partial(method, client, *args, **kwargs)
        )

    functools.update_wrapper(call, method)
    return call


@attrs.define
class Link:
    """Delays and losses of one kind of call.

    :param delay_s: one-way delay in seconds.
    :param rng: draws losses.
    :param lose_share: share of calls whose answer is lost after they were done.
    :param late_share: share of calls that are done seconds later, unanswered.
    """

    delay_s: float
    rng: random.Random
    lose_share: float = 0.0
    late_share: float = 0.0

    def draw_loss(self) -> bool:
        """Draw whether an answer is lost."""
        return bool(self.lose_share) and self.rng.random() < self.lose_share

    def draw_late(self) -> float:
        """Draw how many seconds late a call is done, 0 for at once."""
        if self.late_share and self.rng.random() < self.late_share:
            return self.rng.uniform(1.0, 6.0)
        return 0.0


async def run_late(delay_s: float, run: t.Callable[..., t.Any], *args: t.Any) -> None:
    """Do something after a delay.

    :param delay_s: seconds.
    :param run: what to do.
    :param args: its arguments.
    """
    await anyio.sleep(delay_s)
    run(*args)
