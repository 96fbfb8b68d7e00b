"""Messages about slots between entries, and what carries them."""

import typing as t

import attrs

from .messages import Outcome
from .messages import Slot
from .scheduling import Decision


@attrs.frozen(slots=True)
class AskMessage:
    """An ask as it travels to the owner of its service."""

    ask: int
    service: str
    rank: int
    remaining_s: float
    team: str | None
    avoid: tuple[str, ...]


class SlotLink(t.Protocol):
    """Sends slot messages to other entries; never blocks."""

    def send_ask(self, owner: str, message: AskMessage) -> None:
        """Ask the owner for a slot."""

    def send_release(
        self, owner: str, ask: int, outcome: Outcome, took_s: float
    ) -> None:
        """Release a slot or withdraw an ask."""

    def send_held(self, owner: str, slot: Slot) -> None:
        """Tell a new owner of a slot that is in use."""

    def send_decision(self, decision: Decision) -> None:
        """Tell an entry what became of its ask."""

    def send_probe(self, owner: str) -> None:
        """Ask for a sign of life."""
