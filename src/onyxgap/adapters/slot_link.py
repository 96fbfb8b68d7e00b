"""Turns slot messages into frames and frames back into calls of the broker."""

import attrs

from ..request.allocation import SlotBroker
from ..request.link import AskMessage
from ..request.messages import Outcome
from ..request.messages import Reason
from ..request.messages import Refusal
from ..request.messages import Slot
from ..request.scheduling import Decision
from ..request.scheduling import Granted
from ..shared.node import Node
from ..wire.peer import ttypes


@attrs.define
class NodeSlotLink:
    """Sends a broker's messages through its node's peer connections.

    :param node: the node.
    """

    node: Node

    def _send(self, member: str, frame: ttypes.Frame) -> None:
        address = self.node.find_address(member)
        if address is not None:
            self.node.peers.send(address, frame)

    def _frame(self) -> ttypes.Frame:
        return ttypes.Frame(sender=self.node.name)

    def send_ask(self, owner: str, message: AskMessage) -> None:
        """Ask the owner for a slot."""
        frame = self._frame()
        frame.asks = [
            ttypes.SlotAsk(
                ask=message.ask,
                service_name=message.service,
                priority=message.rank,
                remaining_ms=int(message.remaining_s * 1000),
                team=message.team,
                avoid=list(message.avoid) or None,
            )
        ]
        self._send(owner, frame)

    def send_release(
        self, owner: str, ask: int, outcome: Outcome, took_s: float
    ) -> None:
        """Release a slot or withdraw an ask."""
        frame = self._frame()
        took_us = int(took_s * 1_000_000)
        frame.releases = [
            ttypes.SlotRelease(ask=ask, outcome=int(outcome), took_us=took_us)
        ]
        self._send(owner, frame)

    def send_held(self, owner: str, slot: Slot) -> None:
        """Tell a new owner of a slot that is in use."""
        frame = self._frame()
        frame.held = [
            ttypes.SlotHeld(
                ask=slot.ask, service_name=slot.service, vm=slot.vm, team=slot.team
            )
        ]
        self._send(owner, frame)

    def send_decision(self, decision: Decision) -> None:
        """Tell an entry what became of its ask."""
        frame = self._frame()
        ask = decision.ask.ask
        if isinstance(decision, Granted):
            frame.grants = [ttypes.SlotGrant(ask=ask, vm=decision.vm)]
        else:
            retry_after_ms = int(decision.retry_after_s * 1000)
            frame.refusals = [
                ttypes.SlotRefusal(
                    ask=ask,
                    reason=decision.reason.value,
                    retry_after_ms=retry_after_ms,
                )
            ]
        self._send(decision.ask.member, frame)

    def send_probe(self, owner: str) -> None:
        """Ask for a sign of life."""
        frame = self._frame()
        frame.probe = True
        self._send(owner, frame)


def feed_broker(broker: SlotBroker, frame: ttypes.Frame, now: float) -> None:
    """Hand the slot messages of a frame to the broker.

    :param broker: this entry's broker.
    :param frame: the frame.
    :param now: monotonic seconds.
    """
    sender = frame.sender
    broker.hear(sender, now)
    for held in frame.held or ():
        slot = Slot(held.ask, held.service_name, held.vm, broker.me, held.team)
        broker.handle_held(sender, slot, now)
    for release in frame.releases or ():
        outcome = Outcome(release.outcome)
        took_s = release.took_us / 1_000_000
        broker.handle_release(sender, release.ask, outcome, took_s, now)
    for ask in frame.asks or ():
        message = AskMessage(
            ask=ask.ask,
            service=ask.service_name,
            rank=min(max(ask.priority, 0), 2),
            remaining_s=ask.remaining_ms / 1000,
            team=ask.team,
            avoid=tuple(ask.avoid or ()),
        )
        broker.handle_ask(sender, message, now)
    for grant in frame.grants or ():
        slot = Slot(grant.ask, "", grant.vm, sender)
        broker.handle_decision(sender, grant.ask, slot)
    for refused in frame.refusals or ():
        refusal = Refusal(Reason(refused.reason), refused.retry_after_ms / 1000)
        broker.handle_decision(sender, refused.ask, refusal)
