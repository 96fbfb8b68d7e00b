"""The platform's policy service behind :class:`~onyxgap.jobs.advice.PolicyClient`."""

import typing as t

import anyio
import attrs

from ..exceptions import MALFORMED_ERRORS
from ..jobs.advice import Advice
from .http import Answer
from .http import HttpClient

ADVICE_TIMEOUT_S = 3.0
"""The service decides for a while, and answers one call of a node at a time."""


def decode_advice(answer: Answer) -> Advice | None:
    """Read which workers may run a step.

    :param answer: the service's answer, or why there is none.
    """
    if answer.status != 200:
        return None
    body = answer.read_object()
    try:
        tickets = {str(row[0]): str(row[1]) for row in body.get("good") or ()}
        return Advice(tickets, float(body.get("valid_ms", 0)) / 1000)
    except MALFORMED_ERRORS:
        return None


@attrs.define
class PlatformAdvice:
    """The policy service over HTTP, one call at a time.

    :param http: client of its address.
    """

    http: HttpClient
    _lock: anyio.Lock = attrs.field(factory=anyio.Lock)

    async def advise(self, step: str, workers: t.Sequence[str]) -> Advice | None:
        """Ask which of some workers may run a step; ``None`` without an answer."""
        body = {"step": step, "workers": list(workers)}
        async with self._lock:
            answer = await self.http.call(
                "POST", "/advise", body, timeout_s=ADVICE_TIMEOUT_S
            )
        return decode_advice(answer)
