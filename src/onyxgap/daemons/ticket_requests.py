"""Sends a shard's requests for tickets to the policy service, one after the other."""

import typing as t

import anyio
import attrs
import structlog

from ..jobs.advice import Advice
from ..jobs.advice import PolicyClient
from ..jobs.advice import TicketRequest
from ..jobs.shard import Shard

_LOG = structlog.get_logger()


@attrs.define(eq=False)
class TicketRequester:
    """Requests the tickets that the steps of a shard need.

    :param state: state of the shard.
    :param read_monotonic: reads the monotonic clock, in seconds.
    :param wake: wakes the owner once tickets have arrived.
    """

    state: Shard
    read_monotonic: t.Callable[[], float]
    wake: t.Callable[[], None]
    _needed: anyio.Event = attrs.field(factory=anyio.Event)

    def notify(self) -> None:
        """Continue if requests are pending."""
        if self.state.ticket_cache.wanted:
            self._needed.set()

    async def run(self, policy_client: PolicyClient) -> t.NoReturn:
        """Request tickets from the policy service, for one step at a time."""
        while True:
            request = self.state.ticket_cache.pop_request()
            if request is None:
                self._needed = anyio.Event()
                await self._needed.wait()
                continue
            requested_at = self.read_monotonic()
            advice = await self._request_tickets(policy_client, request)
            if request.step_key[0] in self.state.jobs:
                cache = self.state.ticket_cache
                cache.store_advice(request.step_key, advice, self.read_monotonic())
            self._log_tickets(request, advice, requested_at)
            self.wake()

    @staticmethod
    async def _request_tickets(
        policy_client: PolicyClient, request: TicketRequest
    ) -> Advice | None:
        step = ".".join(map(str, request.step_key))
        duration_s = request.get_duration()
        return await policy_client.advise(step, request.workers, duration_s)

    def _log_tickets(
        self, request: TicketRequest, advice: Advice | None, requested_at: float
    ) -> None:
        now = self.read_monotonic()
        cache = self.state.ticket_cache
        in_line_s = None
        if advice is not None and advice.sent_at is not None:
            in_line_s = round(advice.sent_at - requested_at, 3)
        _LOG.info(
            "tickets received",
            job=request.step_key[0],
            step=".".join(map(str, request.step_key)),
            asked=len(request.workers),
            allowed=None if advice is None else len(advice.tickets),
            usable=len(cache.get_tickets(request.step_key, now)),
            took_s=round(now - requested_at, 3),
            in_line_s=in_line_s,
            expected_s=round(request.get_duration(), 3),
            waiting=len(cache.wanted),
        )
