"""Cache of the tickets with which a policy service allows workers to run a step.

Some queues require a ticket for each start. A step requests tickets once for all
workers that could run it, and again when they expire. If the allowed ones are not
enough, it requests them for workers that have capacity and were not asked for yet.
"""

import math
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
    """Tickets of a step, and the workers that they were requested for.

    :param tickets: ticket by worker.
    :param expires_at: monotonic seconds until which the tickets are used.
    :param asked: workers that were in a request that got a response.
    :param more_at: monotonic seconds from which more workers may be asked.
    """

    tickets: dict[str, str]
    expires_at: float
    asked: set[str]
    more_at: float


@attrs.define
class TicketCache:
    """Tickets of the steps of a shard, and the pending requests for them.

    :param wanted: pending requests: workers by step, the most urgent step first.
    """

    wanted: dict[StepKey, tuple[str, ...]] = attrs.field(factory=dict)
    _in_flight: dict[StepKey, tuple[str, ...]] = attrs.field(factory=dict)
    _entries: dict[StepKey, _CachedAdvice] = attrs.field(factory=dict)

    def get_tickets(self, step_key: StepKey, now: float) -> t.Mapping[str, str] | None:
        """Give the valid tickets of a step, or ``None`` if it has to request them."""
        entry = self._entries.get(step_key)
        if entry is None or now >= entry.expires_at:
            return None
        return entry.tickets

    def list_unasked(
        self, step_key: StepKey, workers: t.Iterable[str], now: float
    ) -> list[str]:
        """List the workers that may be asked for in addition to earlier ones.

        :param step_key: job, occurrence and number of a step with valid tickets.
        :param workers: workers that could run it.
        :param now: monotonic seconds.
        """
        entry = self._entries.get(step_key)
        if entry is None or now < entry.more_at:
            return []
        return [worker for worker in workers if worker not in entry.asked]

    def request_tickets(self, step_key: StepKey, workers: t.Sequence[str]) -> None:
        """Add a request for tickets, unless one for the step is in flight.

        :param step_key: job, occurrence and number of the step.
        :param workers: workers that could run it, the best first.
        """
        if step_key not in self._in_flight:
            self.wanted[step_key] = tuple(workers[:MAX_WORKERS_PER_REQUEST])

    def pop_request(self) -> tuple[StepKey, tuple[str, ...]] | None:
        """Remove and return the first pending request, which is in flight then."""
        for step_key in self.wanted:
            workers = self.wanted.pop(step_key)
            self._in_flight[step_key] = workers
            return step_key, workers
        return None

    def store_advice(
        self, step_key: StepKey, advice: Advice | None, now: float
    ) -> None:
        """Store a response, or record that there was none.

        :param step_key: job, occurrence and number of the step.
        :param advice: the response, ``None`` if there was none.
        :param now: monotonic seconds when the request was sent.
        """
        asked = self._in_flight.pop(step_key, ())
        entry = self._entries.get(step_key)
        if asked and entry is not None and now < entry.expires_at:
            self._add_advice(entry, advice, asked, now)
            return
        more_at = now if advice is not None and asked else math.inf
        if advice is None or not advice.tickets:
            advice = Advice({}, EMPTY_RETRY_S + EXPIRY_MARGIN_S)
        expires_at = now + advice.valid_s - EXPIRY_MARGIN_S
        self._entries[step_key] = _CachedAdvice(
            dict(advice.tickets), expires_at, set(asked), more_at
        )

    @staticmethod
    def _add_advice(
        entry: _CachedAdvice,
        advice: Advice | None,
        asked: t.Collection[str],
        now: float,
    ) -> None:
        if advice is None:
            entry.more_at = now + EMPTY_RETRY_S
            return
        entry.asked.update(asked)
        if advice.tickets:
            expires_at = now + advice.valid_s - EXPIRY_MARGIN_S
            # an empty response expires early, to be requested again
            entry.expires_at = (
                min(entry.expires_at, expires_at) if entry.tickets else expires_at
            )
            entry.tickets.update(advice.tickets)

    def remove_tickets(self, step_key: StepKey) -> None:
        """Remove the tickets of a step, one of which was refused."""
        self._entries.pop(step_key, None)

    def forget_job(self, job_id: str) -> None:
        """Remove the tickets and pending requests of a job that has ended."""
        for by_step in (self._entries, self.wanted):
            for step_key in [key for key in by_step if key[0] == job_id]:
                del by_step[step_key]
