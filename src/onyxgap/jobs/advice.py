"""Cache of the tickets with which a policy service allows workers to run a step.

Some queues require a ticket for each start. The service takes time for each worker that
a request names, and answers one request of a node at a time. So a request names few
workers where that takes long, and no more than leave most of the time of their tickets
for starts. If the allowed ones are not enough, the next request names others. Workers
that were allowed before go first.
"""

import math
import typing as t

import attrs

from .messages import AdviceTerms
from .placing import StepKey
from .workers import MS_PER_S

MAX_WORKERS_PER_REQUEST = 30
"""Workers in one request; the objective of a job allows for one such call per step."""
MAX_REQUEST_SHARE = 0.5
"""Largest share of the time of its tickets that a request takes, unless it names one
worker, or tickets for a whole gang."""
REQUEST_S = 0.5
"""Time that a request should take: the tasks of the step wait for all of it, and often
few workers are enough."""
LINE_S = 1.5
"""Time that all waiting requests should take together: jobs behind them stand still."""
MAX_REDUCTION = 4
"""Largest divisor of the number of workers in a request while requests get no answer
or tickets are refused."""
EXPIRY_MARGIN_S = 0.3
"""A ticket is not used this shortly before it expires: the start order takes time to
arrive."""
EMPTY_RETRY_S = 0.5
"""Time until the next request for workers that may not run a step, or after a request
without an answer. It doubles with each answer that allows none."""
MAX_EMPTY_RETRY_S = 4.0
"""Longest such time: whether a worker may run a step does not change in its life."""

UNKNOWN_TERMS = AdviceTerms()


@attrs.frozen(slots=True)
class Advice:
    """A response of the policy service.

    :param tickets: ticket by worker, for the workers that may run the step.
    :param valid_s: seconds for which the tickets are valid.
    :param sent_at: monotonic seconds when the request was sent, ``None`` if not known.
    """

    tickets: t.Mapping[str, str]
    valid_s: float
    sent_at: float | None = None


@attrs.frozen(slots=True)
class TicketRequest:
    """A request for tickets.

    :param step_key: job, occurrence and number of the step.
    :param workers: workers that could run it, the best first.
    :param terms: how long the service takes, and tickets last.
    :param tasks: number of tasks that wait for tickets.
    :param together: whether these tasks start together, so that they need their tickets
        at the same time.
    """

    step_key: StepKey
    workers: tuple[str, ...]
    terms: AdviceTerms = UNKNOWN_TERMS
    tasks: int = 1
    together: bool = False

    def get_duration(self) -> float:
        """Return the seconds that the service takes for it, 0 if that is not known."""
        return self.terms.get_duration(len(self.workers))


class PolicyClient(t.Protocol):
    """Client of the policy service."""

    async def advise(
        self, step: str, workers: t.Sequence[str], duration_s: float
    ) -> Advice | None:
        """Request tickets for a step.

        :param step: job, occurrence and number of the step.
        :param workers: workers that could run it.
        :param duration_s: seconds that the service takes, 0 if that is not known.
        :returns: the response, or ``None`` if there was none.
        """


@attrs.frozen(slots=True)
class _Ticket:
    """A ticket, kept after its end to tell that its worker was allowed.

    :param value: the ticket.
    :param expires_at: monotonic seconds until which it is used.
    """

    value: str
    expires_at: float


@attrs.define(slots=True)
class _StepTickets:
    """What the service has answered for a step.

    :param tickets: newest ticket by worker.
    :param refused: monotonic seconds from which a worker that was not allowed is asked
        for again, by worker.
    :param retry_at: monotonic seconds before which no request is made.
    :param empty_answers: answers in a row that allowed no worker.
    :param refusals: starts in a row that were refused for want of a ticket.
    """

    tickets: dict[str, _Ticket] = attrs.field(factory=dict)
    refused: dict[str, float] = attrs.field(factory=dict)
    retry_at: float = -math.inf
    empty_answers: int = 0
    refusals: int = 0

    def get_valid(self, now: float) -> dict[str, str]:
        return {
            worker_id: ticket.value
            for worker_id, ticket in self.tickets.items()
            if now < ticket.expires_at
        }

    def get_rank(self, worker_id: str) -> int:
        """Return the turn of a worker: allowed before, never asked for, refused."""
        if worker_id in self.tickets:
            return 0
        return 2 if worker_id in self.refused else 1


def compute_retry(count: int) -> float:
    """Return the seconds until a request is repeated.

    :param count: how often in a row it was in vain, at least 1.
    """
    return min(EMPTY_RETRY_S * 2.0 ** min(count - 1, 8), MAX_EMPTY_RETRY_S)


@attrs.define
class TicketCache:
    """Tickets of the steps of a shard, and the pending requests for them.

    :param wanted: pending requests by step; those that were answered go last.
    :param reduction: divisor of the number of workers in a request.
    """

    wanted: dict[StepKey, TicketRequest] = attrs.field(factory=dict)
    reduction: int = 1
    _in_flight: dict[StepKey, TicketRequest] = attrs.field(factory=dict)
    _steps: dict[StepKey, _StepTickets] = attrs.field(factory=dict)

    def get_tickets(self, step_key: StepKey, now: float) -> t.Mapping[str, str]:
        """Return the valid tickets of a step by worker."""
        step = self._steps.get(step_key)
        return {} if step is None else step.get_valid(now)

    def list_unasked(
        self, step_key: StepKey, workers: t.Iterable[str], now: float
    ) -> list[str]:
        """List the workers that may be asked for now, those allowed before first.

        :param step_key: job, occurrence and number of the step.
        :param workers: workers that could run it, the best first.
        :param now: monotonic seconds.
        """
        step = self._steps.get(step_key)
        if step is None:
            return list(workers)
        if now < step.retry_at:
            return []
        valid = step.get_valid(now)
        unasked = [
            worker_id
            for worker_id in workers
            if worker_id not in valid and now >= step.refused.get(worker_id, -math.inf)
        ]
        return sorted(unasked, key=step.get_rank)

    def request_tickets(self, request: TicketRequest) -> None:
        """Add a request for tickets, unless one for the step is in flight."""
        if request.step_key not in self._in_flight:
            self.wanted[request.step_key] = request

    def _get_limit(self, request: TicketRequest) -> int:
        """Return how many workers a request names, beside those that wait."""
        terms = request.terms
        if request.together:
            return MAX_WORKERS_PER_REQUEST
        limit = MAX_WORKERS_PER_REQUEST
        if terms.each_ms > 0 and terms.valid_ms > 0:
            longest_ms = terms.valid_ms * MAX_REQUEST_SHARE - terms.decide_ms
            turn_s = min(REQUEST_S, LINE_S / (1 + len(self.wanted)))
            turn_ms = turn_s * MS_PER_S - terms.decide_ms
            # fewer would have the time go into decisions, or into further requests
            least = max(request.tasks, math.ceil(terms.decide_ms / terms.each_ms))
            in_turn = max(least, int(turn_ms / terms.each_ms))
            limit = min(limit, in_turn, int(longest_ms / terms.each_ms))
        return max(1, limit // self.reduction)

    def pop_request(self) -> TicketRequest | None:
        """Remove and return the first pending request, which is in flight then."""
        for step_key in self.wanted:
            request = self.wanted.pop(step_key)
            workers = request.workers[: self._get_limit(request)]
            request = attrs.evolve(request, workers=workers)
            self._in_flight[step_key] = request
            return request
        return None

    def store_advice(
        self, step_key: StepKey, advice: Advice | None, now: float
    ) -> None:
        """Store a response, or record that there was none.

        :param step_key: job, occurrence and number of the step.
        :param advice: the response, ``None`` if there was none.
        :param now: monotonic seconds when the response arrived.
        """
        request = self._in_flight.pop(step_key, TicketRequest(step_key, ()))
        step = self._steps.setdefault(step_key, _StepTickets())
        if advice is None:
            self.reduction = min(self.reduction * 2, MAX_REDUCTION)
            step.retry_at = now + EMPTY_RETRY_S
            return
        if not step.refusals:
            self.reduction = max(1, self.reduction // 2)
        issued_at = _get_issue_time(request, advice, now)
        expires_at = issued_at + advice.valid_s - EXPIRY_MARGIN_S
        for worker_id, value in advice.tickets.items():
            step.refused.pop(worker_id, None)
            step.tickets[worker_id] = _Ticket(value, expires_at)
        self._store_refused(step, request, advice, now)

    @staticmethod
    def _store_refused(
        step: _StepTickets, request: TicketRequest, advice: Advice, now: float
    ) -> None:
        step.empty_answers = 0 if advice.tickets else step.empty_answers + 1
        retry_s = advice.valid_s
        if not advice.tickets:
            retry_s = compute_retry(step.empty_answers)
        if not request.workers and not advice.tickets:
            # no worker was named
            step.retry_at = now + retry_s
        for worker_id in request.workers:
            if worker_id not in advice.tickets:
                step.tickets.pop(worker_id, None)
                step.refused[worker_id] = now + retry_s

    def note_started(self, step_key: StepKey) -> None:
        """Record that a ticket of a step was accepted."""
        step = self._steps.get(step_key)
        if step is not None:
            step.refusals = 0

    def remove_tickets(self, step_key: StepKey, now: float) -> None:
        """Use the tickets of a step no more, since one of them was refused.

        They are requested again at once the first time, and then after a pause.

        :param step_key: job, occurrence and number of the step.
        :param now: monotonic seconds.
        """
        step = self._steps.get(step_key)
        if step is None or not step.get_valid(now):
            # another start of the same pass was refused before
            return
        for worker_id, ticket in step.tickets.items():
            step.tickets[worker_id] = _Ticket(ticket.value, -math.inf)
        if step.refusals:
            self.reduction = min(self.reduction * 2, MAX_REDUCTION)
            step.retry_at = now + compute_retry(step.refusals)
        step.refusals += 1

    def forget_job(self, job_id: str) -> None:
        """Remove the tickets and pending requests of a job that has ended."""
        for by_step in (self._steps, self.wanted, self._in_flight):
            for step_key in [key for key in by_step if key[0] == job_id]:
                del by_step[step_key]


def _get_issue_time(request: TicketRequest, advice: Advice, now: float) -> float:
    """Return the earliest monotonic second at which an answer can have been given.

    The tickets are valid from the answer that brings them.
    """
    if advice.sent_at is None:
        return now
    return min(now, advice.sent_at + request.get_duration())
