"""Notices between emulated nodes: delayed, and lost where the script says so."""

import random

import anyio
import anyio.abc
import attrs

from ...jobs.notices import Notice
from ...jobs.notices import OnNotice
from .gate import NodeGate

DELAY_S = 0.002


@attrs.define(eq=False)
class EmulatedNetwork:
    """Carries the notices of all nodes.

    :param group: runs deliveries.
    :param rng: draws losses.
    :param lose_share: share of the notices that get lost.
    """

    group: anyio.abc.TaskGroup
    rng: random.Random
    lose_share: float = 0.0
    receivers: dict[str, tuple[NodeGate, OnNotice]] = attrs.field(factory=dict)

    async def deliver(self, address: str, notice: Notice) -> None:
        """Deliver a notice after a delay, if its receiver runs."""
        await anyio.sleep(DELAY_S)
        if self.lose_share and self.rng.random() < self.lose_share:
            return
        if address not in self.receivers:
            return
        gate, on_notice = self.receivers[address]
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
