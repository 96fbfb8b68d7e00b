"""Calls that a node cannot answer without the store, passed on to one that hears it.

Answers a store that turns some nodes away, or cannot be reached by them, while it
serves the others: their callers would be refused, though there is room for their jobs.
The other node answers as for a caller of its own and passes nothing on.
"""

import enum
import math
import typing as t

import attrs

from .desk import SubmitOutcome
from .members import Member

MOST_TRIES = 3
"""Nodes that are asked for one call: with half of all nodes turned away seven of eight
calls find one that is not."""
UNABLE_S = 1.0
"""Time for which a node that could not help is not asked again."""
HOPELESS = 8
"""Nodes found unable one after the other, after which the store counts as away from
all: calls are then refused at once until one of these may be asked again."""


class CallKind(enum.Enum):
    """What a caller asked for."""

    SUBMIT = "submit"
    STATE = "state"
    CANCEL = "cancel"


@attrs.frozen(slots=True)
class PassedCall:
    """A caller's call as one node passes it on to another.

    :param kind: what was asked for.
    :param job_id: the job.
    :param tenant: tenant of the caller, or empty.
    :param queue: name of the queue.
    :param service: pool whose workers run its jobs.
    :param submission: the job as it would be stored, empty for other calls.
    """

    kind: CallKind
    job_id: str
    tenant: str
    queue: str
    service: str
    submission: bytes = b""


@attrs.frozen(slots=True)
class PassedAnswer:
    """The answer to such a call.

    :param outcome: value of its kind's outcome, or :data:`UNABLE`.
    :param reason: for the caller and the log.
    :param retry_after_s: when a refused caller should come back.
    """

    outcome: str
    reason: str = ""
    retry_after_s: int = 1


UNABLE = "unable"
"""Outcome of a call that the other node could not answer, and has not begun."""


class PassFailure(enum.Enum):
    """How far a call got that has no answer."""

    NOT_SENT = "not-sent"
    NO_ANSWER = "no-answer"


class CallLink(t.Protocol):
    """Carries calls between nodes."""

    def get_address(self) -> str:
        """Give the address under which others pass calls on, or an empty text."""

    async def ask(
        self, address: str, call: PassedCall, timeout_s: float
    ) -> PassedAnswer | PassFailure:
        """Pass a call on to one node; never raises for a failed call."""

    async def run(
        self, answer: t.Callable[[PassedCall], t.Awaitable[PassedAnswer]]
    ) -> None:
        """Answer the calls of others until cancelled."""


@attrs.define
class NoCallLink:
    """Stands where calls are not passed on."""

    def get_address(self) -> str:
        """Give no address."""
        return ""

    async def ask(
        self, address: str, call: PassedCall, timeout_s: float
    ) -> PassedAnswer | PassFailure:
        """Pass nothing on."""
        return PassFailure.NOT_SENT

    async def run(
        self, answer: t.Callable[[PassedCall], t.Awaitable[PassedAnswer]]
    ) -> None:
        """Answer nothing."""


@attrs.define
class Helpers:
    """Chooses the nodes to which calls are passed on.

    :param node: name of this node.
    :param members: all nodes.
    :param draw: draws some of several addresses, to spread the calls over them.
    """

    node: str
    members: t.Mapping[str, Member]
    draw: t.Callable[[t.Sequence[str], int], list[str]]
    _unable_until: dict[str, float] = attrs.field(factory=dict)
    _in_a_row: int = 0
    _hopeless_until: float = -math.inf

    def choose(self, now: float) -> list[str]:
        """Choose whom to ask, in this order; nobody while nobody is able.

        :param now: monotonic seconds.
        :returns: addresses.
        """
        if self.is_hopeless(now):
            return []
        addresses = [
            member.call_address
            for name, member in self.members.items()
            if name != self.node
            and member.call_address
            and self._unable_until.get(member.call_address, 0.0) <= now
        ]
        return self.draw(addresses, min(MOST_TRIES, len(addresses)))

    def is_hopeless(self, now: float) -> bool:
        """Tell whether the store is away from all, as far as others told.

        :param now: monotonic seconds.
        """
        return now < self._hopeless_until

    def note_able(self, address: str) -> None:
        """Take in that a node answered."""
        self._unable_until.pop(address, None)
        self._in_a_row = 0

    def note_unable(self, address: str, now: float) -> None:
        """Take in that a node could not help.

        :param address: its address.
        :param now: monotonic seconds.
        """
        self._unable_until[address] = now + UNABLE_S
        self._in_a_row += 1
        if self._in_a_row >= HOPELESS:
            # one try after that shows whether it is still so
            self._hopeless_until = now + UNABLE_S
            self._in_a_row = HOPELESS - 1


_CERTAIN = frozenset(
    {
        SubmitOutcome.ACCEPTED,
        SubmitOutcome.OTHER_REQUEST,
        SubmitOutcome.OTHER_TENANT,
    }
)
"""Outcomes that hold whatever became of earlier tries."""


def join_outcomes(earlier: SubmitOutcome, later: SubmitOutcome) -> SubmitOutcome:
    """Give the outcome of two tries of one submission.

    A refusal says that the job never runs: it does not hold while an earlier try may
    have stored it.

    :param earlier: outcome of the tries so far.
    :param later: outcome of the newest.
    """
    if earlier is SubmitOutcome.UNKNOWN and later not in _CERTAIN:
        return SubmitOutcome.UNKNOWN
    return later
