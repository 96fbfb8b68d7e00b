"""Slot messages between entries, and the protocol of the link that carries them."""

import typing as t

import attrs

from .messages import Outcome
from .messages import Slot
from .scheduling import Decision


@attrs.frozen(slots=True)
class SlotRequestMessage:
    """A slot request as it is sent to the owner of the service.

    :param ask: ID of the slot request, unique within the requesting entry.
    :param service: the service.
    :param rank: priority; 0 is the most urgent.
    :param remaining_s: seconds until the deadline.
    :param team: team whose quota is charged, or ``None``.
    :param avoid: VMs and zones in which earlier attempts failed.
    """

    ask: int
    service: str
    rank: int
    remaining_s: float
    team: str | None
    avoid: tuple[str, ...]


class SlotLink(t.Protocol):
    """Sends slot messages to other entries without blocking."""

    def send_request(self, owner: str, message: SlotRequestMessage) -> None:
        """Request a slot from the owner of the service."""

    def send_release(
        self, owner: str, ask_id: int, outcome: Outcome, took_s: float
    ) -> None:
        """Release a slot or cancel a slot request."""

    def send_held(self, owner: str, slot: Slot) -> None:
        """Report a slot in use to the new owner of its service."""

    def send_decision(self, decision: Decision) -> None:
        """Send a grant or a refusal to the entry that requested the slot."""

    def send_probe(self, owner: str) -> None:
        """Request a reply that shows that the owner is alive."""
