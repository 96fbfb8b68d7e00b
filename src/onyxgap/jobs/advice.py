"""Cache of the tickets with which a policy service allows workers to run a step.

Some queues require a ticket for each start. A step requests tickets once for all
workers that could run it, and again when they expire.
"""

import typing as t

import attrs

from .placing import StepKey

MAX_WORKERS_PER_REQUEST = 30
"""Workers in one request; the objective of a job allows for one such call per step."""
EXPIRY_MARGIN_S = 0.3
"""A ticket is not used this shortly before it expires: the start order takes time to
arrive."""
EMPTY_RETRY_S = 0.5
"""Time until the next request for a step that no worker may run or that got no
response."""


@attrs.frozen(slots=True)
class Advice:
    """A response of the policy service.

    :param tickets: ticket by worker, for the workers that may run the step.
    :param valid_s: seconds for which the tickets are valid.
    """

    tickets: t.Mapping[str, str]
    valid_s: float


class PolicyClient(t.Protocol):
    """Client of the policy service."""

    async def advise(self, step: str, workers: t.Sequence[str]) -> Advice | None:
        """Request tickets for a step.

        :param step: job, occurrence and number of the step.
        :param workers: workers that could run it.
        :returns: the response, or ``None`` if there was none.
        """


@attrs.define(slots=True)
class _CachedAdvice:
    advice: Advice
    expires_at: float


@attrs.define
class TicketCache:
    """Tickets of the steps of a shard, and the pending requests for them.

    :param wanted: pending requests: workers by step, the most urgent step first.
    """

    wanted: dict[StepKey, tuple[str, ...]] = attrs.field(factory=dict)
    _entries: dict[StepKey, _CachedAdvice] = attrs.field(factory=dict)

    def get_tickets(self, step_key: StepKey, now: float) -> t.Mapping[str, str] | None:
        """Give the valid tickets of a step, or ``None`` if it has to request them."""
        entry = self._entries.get(step_key)
        if entry is None or now >= entry.expires_at:
            return None
        return entry.advice.tickets

    def request_tickets(self, step_key: StepKey, workers: t.Sequence[str]) -> None:
        """Add a request for tickets.

        :param step_key: job, occurrence and number of the step.
        :param workers: workers that could run it, the best first.
        """
        self.wanted[step_key] = tuple(workers[:MAX_WORKERS_PER_REQUEST])

    def pop_request(self) -> tuple[StepKey, tuple[str, ...]] | None:
        """Remove and return the first pending request."""
        for step_key in self.wanted:
            return step_key, self.wanted.pop(step_key)
        return None

    def store_advice(
        self, step_key: StepKey, advice: Advice | None, now: float
    ) -> None:
        """Store a response, or record that there was none.

        :param step_key: job, occurrence and number of the step.
        :param advice: the response, ``None`` if there was none.
        :param now: monotonic seconds when the request was sent.
        """
        if advice is None or not advice.tickets:
            advice = Advice({}, EMPTY_RETRY_S + EXPIRY_MARGIN_S)
        self._entries[step_key] = _CachedAdvice(
            advice, now + advice.valid_s - EXPIRY_MARGIN_S
        )

    def remove_tickets(self, step_key: StepKey) -> None:
        """Remove the tickets of a step, one of which was refused."""
        self._entries.pop(step_key, None)

    def forget_job(self, job_id: str) -> None:
        """Remove the tickets and pending requests of a job that has ended."""
        for step_key in [
            step_key for step_key in self._entries if step_key[0] == job_id
        ]:
            del self._entries[step_key]
        for step_key in [step_key for step_key in self.wanted if step_key[0] == job_id]:
            del self.wanted[step_key]
