"""HTTP client of the platform's policy service, which issues tickets for steps.

Implements :class:`~onyxgap.jobs.advice.PolicyClient`.
"""

import typing as t

import anyio
import attrs

from ..exceptions import MALFORMED_ERRORS
from ..jobs.advice import Advice
from .http import Answer
from .http import HttpClient

ADVICE_TIMEOUT_S = 3.0
"""Time allowed for an answer beyond that which the service takes to decide. It answers
one call of a node at a time, also those that were given up."""


def _decode_ticket(row: t.Sequence[t.Any]) -> tuple[str, str]:
    worker_id, ticket = row[0], row[1]
    if not isinstance(worker_id, str) or not isinstance(ticket, str | int):
        raise TypeError("expected a worker ID and a ticket")
    return worker_id, str(ticket)


def decode_advice(answer: Answer) -> Advice | None:
    """Decode the tickets for the workers that may run a step.

    :param answer: the service's answer, or why there is none.
    :returns: the tickets and how long they are valid; ``None`` for any status but 200
        and for a malformed body.
    """
    if answer.status != 200:
        return None
    try:
        tickets = dict(map(_decode_ticket, answer.read_list("good")))
        return Advice(tickets, float(answer.read_object()["valid_ms"]) / 1000)
    except MALFORMED_ERRORS:
        return None


@attrs.define
class PlatformPolicyClient:
    """Calls the policy service over HTTP, one call at a time.

    :param http: HTTP client for the service's address.
    """

    http: HttpClient
    _lock: anyio.Lock = attrs.field(factory=anyio.Lock)

    async def advise(
        self, step: str, workers: t.Sequence[str], duration_s: float
    ) -> Advice | None:
        """Request tickets for a step.

        :param step: ID of the step.
        :param workers: IDs of the workers to ask about.
        :param duration_s: seconds that the service takes, 0 if that is not known.
        :returns: the tickets; ``None`` without a valid answer.
        """
        body = {"step": step, "workers": list(workers)}
        timeout_s = ADVICE_TIMEOUT_S + duration_s
        async with self._lock:
            sent_at = anyio.current_time()
            answer = await self.http.call("POST", "/advise", body, timeout_s=timeout_s)
        advice = decode_advice(answer)
        return None if advice is None else attrs.evolve(advice, sent_at=sent_at)
