"""Forwards calls from nodes that cannot reach the store to nodes that can.

The store may reject or be unreachable for some nodes while it serves the others.
Without forwarding, callers of those nodes would be refused although there is capacity
for their jobs. The other node answers a forwarded call like one of its own callers and
does not forward it again.
"""

import enum
import math
import typing as t

import attrs

from .desk import SubmitOutcome
from .members import Member

MAX_PEERS_PER_CALL = 3
"""Maximum number of nodes that are asked for one call. If the store rejects half of all
nodes, seven of eight calls still reach one that it serves."""
PEER_RETRY_S = 1.0
"""Time for which a node that could not answer is not asked again."""
FAILURES_UNTIL_UNREACHABLE = 8
"""Consecutive failures of other nodes after which the store counts as unreachable for
all of them. Calls are then refused immediately until one of these nodes may be
asked again."""


class CallKind(enum.Enum):
    """Operation that a caller requested."""

    SUBMIT = "submit"
    STATE = "state"
    CANCEL = "cancel"


@attrs.frozen(slots=True)
class PassedCall:
    """A call that one node forwards to another on behalf of a caller.

    :param kind: the requested operation.
    :param job_id: id of the job.
    :param tenant: tenant of the caller, or an empty string.
    :param queue: name of the queue.
    :param service: pool whose workers run the jobs of the queue.
    :param submission: the encoded submission, empty for other operations.
    :param configuration: newest version of the configuration that the forwarding node
        knows to exist.
    :param endpoint: host and path prefix of the queue.
    """

    kind: CallKind
    job_id: str
    tenant: str
    queue: str
    service: str
    submission: bytes = b""
    configuration: int = 0
    endpoint: str = ""


@attrs.frozen(slots=True)
class PassedAnswer:
    """Answer to a forwarded call.

    :param outcome: outcome of the operation, or :data:`UNABLE`.
    :param reason: reason for the caller and the log.
    :param retry_after_s: seconds after which a refused caller should retry.
    :param configuration: newest version of the configuration that the answering node
        knows to exist.
    """

    outcome: str
    reason: str = ""
    retry_after_s: int = 1
    configuration: int = 0


UNABLE = "unable"
"""Outcome of a call that the other node could not answer and did not begin."""


class ForwardFailure(enum.Enum):
    """How far a forwarded call without an answer got."""

    NOT_SENT = "not-sent"
    NO_ANSWER = "no-answer"


class CallLink(t.Protocol):
    """Transport for forwarded calls between nodes."""

    def get_address(self) -> str:
        """Return the address for calls to this node, or an empty string."""

    async def ask(
        self, address: str, call: PassedCall, timeout_s: float
    ) -> PassedAnswer | ForwardFailure:
        """Forward a call to a node; failures are returned, not raised."""

    async def run(
        self, answer: t.Callable[[PassedCall], t.Awaitable[PassedAnswer]]
    ) -> None:
        """Answer calls from other nodes until cancelled."""


@attrs.define
class NoCallLink:
    """Null implementation of :class:`CallLink` for nodes that do not forward calls."""

    def get_address(self) -> str:
        """Return an empty address."""
        return ""

    async def ask(
        self, address: str, call: PassedCall, timeout_s: float
    ) -> PassedAnswer | ForwardFailure:
        """Return that the call was not sent."""
        return ForwardFailure.NOT_SENT

    async def run(
        self, answer: t.Callable[[PassedCall], t.Awaitable[PassedAnswer]]
    ) -> None:
        """Answer no calls."""


@attrs.define
class PeerSelector:
    """Selects the nodes to which calls are forwarded.

    :param node: name of this node.
    :param members: all nodes by name.
    :param sample: random sampling function, which distributes the calls.
    """

    node: str
    members: t.Mapping[str, Member]
    sample: t.Callable[[t.Sequence[str], int], list[str]]
    _retry_at: dict[str, float] = attrs.field(factory=dict)
    _consecutive_failures: int = 0
    _unreachable_until: float = -math.inf

    def choose(self, now: float) -> list[str]:
        """Return the nodes to ask for a call.

        :param now: monotonic seconds.
        :returns: addresses in the order in which to ask them; empty while the store
            counts as unreachable.
        """
        if self.is_store_unreachable(now):
            return []
        addresses = [
            member.call_address
            for name, member in self.members.items()
            if name != self.node
            and member.call_address
            and self._retry_at.get(member.call_address, 0.0) <= now
        ]
        return self.sample(addresses, min(MAX_PEERS_PER_CALL, len(addresses)))

    def is_store_unreachable(self, now: float) -> bool:
        """Return whether the store counts as unreachable for all nodes.

        :param now: monotonic seconds.
        """
        return now < self._unreachable_until

    def record_success(self, address: str) -> None:
        """Record that a node answered a forwarded call."""
        self._retry_at.pop(address, None)
        self._consecutive_failures = 0

    def record_failure(self, address: str, now: float) -> None:
        """Record that a node could not answer a forwarded call.

        :param address: address of the node.
        :param now: monotonic seconds.
        """
        self._retry_at[address] = now + PEER_RETRY_S
        self._consecutive_failures += 1
        if self._consecutive_failures >= FAILURES_UNTIL_UNREACHABLE:
            # one more failure after that shows that it is still unreachable
            self._unreachable_until = now + PEER_RETRY_S
            self._consecutive_failures = FAILURES_UNTIL_UNREACHABLE - 1


_DEFINITE_OUTCOMES = frozenset(
    {
        SubmitOutcome.ACCEPTED,
        SubmitOutcome.OTHER_REQUEST,
        SubmitOutcome.OTHER_TENANT,
        SubmitOutcome.TOO_LARGE,
        SubmitOutcome.CANCELLED,
    }
)
"""Outcomes that hold regardless of the outcome of earlier attempts."""


def merge_outcomes(earlier: SubmitOutcome, later: SubmitOutcome) -> SubmitOutcome:
    """Return the combined outcome of two attempts to submit one job.

    A refusal means that the job will never run, so it does not hold if an earlier
    attempt may have stored the job.

    :param earlier: combined outcome of the previous attempts.
    :param later: outcome of the latest attempt.
    """
    if earlier is SubmitOutcome.UNKNOWN and later not in _DEFINITE_OUTCOMES:
        return SubmitOutcome.UNKNOWN
    return later
