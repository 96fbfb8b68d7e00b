"""Encodes slot messages as frames; dispatches received ones to the slot broker."""

import attrs

from ..request.allocation import SlotBroker
from ..request.link import SlotRequestMessage
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
    """Sends slot messages of a broker over the peer connections of its node.

    :param node: node that the broker belongs to.
    """

    node: Node

    def _send(self, member: str, frame: ttypes.Frame) -> None:
        address = self.node.find_address(member)
        if address is not None:
            self.node.peers.send(address, frame)

    def _create_frame(self) -> ttypes.Frame:
        return ttypes.Frame(sender=self.node.name)

    def send_request(self, owner: str, message: SlotRequestMessage) -> None:
        """Send a slot request to the owner."""
        frame = self._create_frame()
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
        """Release a slot or cancel a slot request."""
        frame = self._create_frame()
        took_us = int(took_s * 1_000_000)
        frame.releases = [
            ttypes.SlotRelease(ask=ask, outcome=int(outcome), took_us=took_us)
        ]
        self._send(owner, frame)

    def send_held(self, owner: str, slot: Slot) -> None:
        """Report a slot in use to a new owner."""
        frame = self._create_frame()
        frame.held = [
            ttypes.SlotHeld(
                ask=slot.ask, service_name=slot.service, vm=slot.vm, team=slot.team
            )
        ]
        self._send(owner, frame)

    def send_decision(self, decision: Decision) -> None:
        """Send an entry the decision on its slot request."""
        frame = self._create_frame()
        ask_id = decision.request.ask
        if isinstance(decision, Granted):
            frame.grants = [ttypes.SlotGrant(ask=ask_id, vm=decision.vm)]
        else:
            retry_after_ms = int(decision.retry_after_s * 1000)
            frame.refusals = [
                ttypes.SlotRefusal(
                    ask=ask_id,
                    reason=decision.reason.value,
                    retry_after_ms=retry_after_ms,
                )
            ]
        self._send(decision.request.member, frame)

    def send_probe(self, owner: str) -> None:
        """Send a liveness probe to the owner."""
        frame = self._create_frame()
        frame.probe = True
        self._send(owner, frame)


def dispatch_slot_messages(broker: SlotBroker, frame: ttypes.Frame, now: float) -> None:
    """Dispatch the slot messages of a frame to the broker.

    :param broker: broker of this entry process.
    :param frame: the frame.
    :param now: monotonic seconds.
    """
    sender = frame.sender
    broker.record_contact(sender, now)
    for held in frame.held or ():
        slot = Slot(held.ask, held.service_name, held.vm, broker.own_name, held.team)
        broker.handle_held(sender, slot, now)
    for release in frame.releases or ():
        outcome = Outcome(release.outcome)
        took_s = release.took_us / 1_000_000
        broker.handle_release(sender, release.ask, outcome, took_s, now)
    for request in frame.asks or ():
        message = SlotRequestMessage(
            ask=request.ask,
            service=request.service_name,
            rank=min(max(request.priority, 0), 2),
            remaining_s=request.remaining_ms / 1000,
            team=request.team,
            avoid=tuple(request.avoid or ()),
        )
        broker.handle_request(sender, message, now)
    for grant in frame.grants or ():
        slot = Slot(grant.ask, "", grant.vm, sender)
        broker.handle_decision(sender, grant.ask, slot)
    for refused in frame.refusals or ():
        refusal = Refusal(Reason(refused.reason), refused.retry_after_ms / 1000)
        broker.handle_decision(sender, refused.ask, refusal)
