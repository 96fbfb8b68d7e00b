"""Notices between emulated nodes: delayed, and lost where the script says so."""

import random
import typing as t

import anyio
import anyio.abc
import attrs

from ...jobs.notices import Notice
from ...jobs.notices import OnNotice
from ...jobs.passing import ForwardFailure
from ...jobs.passing import PassedAnswer
from ...jobs.passing import PassedCall
from .gate import NodeGate
from .gate import carry_out_elsewhere

DELAY_S = 0.002
Answer = t.Callable[[PassedCall], t.Awaitable[PassedAnswer]]


@attrs.define(eq=False)
class EmulatedNetwork:
    """Carries the notices of all nodes.

    :param group: runs deliveries.
    :param rng: draws losses.
    :param lose_share: share of the notices, and of answers to calls, that get lost.
    """

    group: anyio.abc.TaskGroup
    rng: random.Random
    lose_share: float = 0.0
    receivers: dict[str, tuple[NodeGate, OnNotice]] = attrs.field(factory=dict)
    answering: dict[str, tuple[NodeGate, Answer]] = attrs.field(factory=dict)

    async def deliver(self, address: str, notice: Notice) -> None:
        """Deliver a notice after a delay, if its receiver runs."""
        await anyio.sleep(DELAY_S)
        if self.lose_share and self.rng.random() < self.lose_share:
            return
        if address not in self.receivers:
            return
        gate, on_notice = self.receivers[address]
        with gate.occupy():
            await gate.pass_through()
            if self.receivers.get(address) == (gate, on_notice):
                on_notice(notice)


@attrs.define(eq=False)
class EmulatedPeers:
    """Other nodes as one node reaches them.

    :param node: name of the node, which is its address, too.
    :param network: carries the notices.
    :param gate: freezes and cuts of the node.
    """

    node: str
    network: EmulatedNetwork
    gate: NodeGate

    def get_address(self) -> str:
        """Give the address under which others reach this node."""
        return self.node

    def send(self, address: str, notice: Notice) -> None:
        """Send a notice to one node."""
        if "peers" not in self.gate.cut_from:
            self.network.group.start_soon(self.network.deliver, address, notice)

    async def run(self, on_notice: OnNotice) -> None:
        """Take in notices until cancelled."""
        self.network.receivers[self.node] = (self.gate, on_notice)
        await anyio.sleep_forever()


@attrs.define(eq=False)
class EmulatedCallLink:
    """Calls that one node passes on, and those that it answers.

    :param node: name of the node, which is its address, too.
    :param network: carries the calls.
    :param gate: freezes and cuts of the node.
    """

    node: str
    network: EmulatedNetwork
    gate: NodeGate

    def get_address(self) -> str:
        """Give the address under which others pass calls on."""
        return self.node

    @carry_out_elsewhere
    async def ask(
        self, address: str, call: PassedCall, timeout_s: float
    ) -> PassedAnswer | ForwardFailure:
        """Pass a call on to one node."""
        found = self.network.answering.get(address)
        if found is None or "peers" in self.gate.cut_from:
            await anyio.sleep(DELAY_S)
            return ForwardFailure.NOT_SENT
        gate, answer = found
        lose_share = self.network.lose_share
        with anyio.move_on_after(timeout_s):
            await anyio.sleep(2 * DELAY_S)
            with gate.occupy():
                await gate.pass_through()
                answered = await answer(call)
                await gate.pass_through()
            await anyio.sleep(DELAY_S)
            lost = bool(lose_share) and self.network.rng.random() < lose_share
            if self.network.answering.get(address) == found and not lost:
                return answered
        return ForwardFailure.NO_ANSWER

    async def run(self, answer: Answer) -> None:
        """Answer the calls of others until cancelled."""
        entry = (self.gate, answer)
        self.network.answering[self.node] = entry
        try:
            await anyio.sleep_forever()
        finally:
            if self.network.answering.get(self.node) is entry:
                del self.network.answering[self.node]
