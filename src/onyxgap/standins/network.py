"""Peer connections in memory, which can be cut and frozen."""

import heapq
import itertools
import typing as t

import anyio
import attrs

from ..wire.peer import ttypes

DELAY_S = 0.0015

OnFrame = t.Callable[[ttypes.Frame], None]


@attrs.define
class MemoryNetwork:
    """Carries frames between members after a fixed delay.

    :param delay_s: one-way delay, in seconds.
    """

    delay_s: float = DELAY_S
    frames: int = 0
    cut: set[str] = attrs.field(factory=set)
    frozen: set[str] = attrs.field(factory=set)
    _handlers: dict[str, OnFrame] = attrs.field(factory=dict)
    _held: dict[str, list[ttypes.Frame]] = attrs.field(factory=dict)
    _due: list[tuple[float, int, str, str, ttypes.Frame]] = attrs.field(factory=list)
    _count: t.Iterator[int] = attrs.field(factory=itertools.count)
    _wake: anyio.Event = attrs.field(factory=anyio.Event)

    def attach(self, address: str, handler: OnFrame) -> "MemoryPort":
        """Connect a member.

        :param address: its address; in memory, its name.
        :param handler: called for each frame that arrives.
        """
        self._handlers[address] = handler
        return MemoryPort(self, address)

    def detach(self, address: str) -> None:
        """Disconnect a member.

        :param address: its address.
        """
        self._handlers.pop(address, None)

    def send(self, source: str, target: str, frame: ttypes.Frame) -> None:
        """Send a frame; it is lost when either end is cut off.

        :param source: address of the sender.
        :param target: address of the receiver.
        :param frame: the frame.
        """
        if source in self.cut or target in self.cut or source in self.frozen:
            return
        due = anyio.current_time() + self.delay_s
        heapq.heappush(self._due, (due, next(self._count), source, target, frame))
        self.frames += 1
        self._wake.set()

    async def run(self) -> None:
        """Deliver frames until cancelled."""
        while True:
            if not self._due:
                self._wake = anyio.Event()
                await self._wake.wait()
            due, *_ = self._due[0]
            await anyio.sleep(max(0.0, due - anyio.current_time()))
            while self._due and self._due[0][0] <= anyio.current_time():
                *_, target, frame = heapq.heappop(self._due)
                self._deliver(target, frame)

    def _deliver(self, target: str, frame: ttypes.Frame) -> None:
        if target in self.frozen:
            self._held.setdefault(target, []).append(frame)
        elif target in self._handlers and target not in self.cut:
            self._handlers[target](frame)

    def thaw(self, address: str) -> None:
        """End a member's pause; what arrived meanwhile is delivered now.

        :param address: its address.
        """
        self.frozen.discard(address)
        for frame in self._held.pop(address, []):
            self._deliver(address, frame)


@attrs.frozen
class MemoryPort:
    """One member's connection to the network."""

    network: MemoryNetwork
    address: str

    def send(self, address: str, frame: ttypes.Frame) -> None:
        """Send a frame to another member."""
        self.network.send(self.address, address, frame)
