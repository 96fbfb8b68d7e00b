"""Request pipeline: identification, claim, slot, attempts and final answer."""

import hashlib
import random
import typing as t

import anyio
import attrs

from .. import defaults
from ..clocks import Clocks
from ..shared.records import VmState
from ..shared.state import FleetState
from ..verdict import Verdict
from ..verdict import join_verdicts
from .allocation import SlotBroker
from .claims import PREFIX as CLAIM_PREFIX
from .claims import Claim
from .claims import ClaimStore
from .identity import identify_request
from .messages import Answer
from .messages import CallerRequest
from .messages import Exchange
from .messages import IdentifiedRequest
from .messages import Outcome
from .messages import Reason
from .messages import Refusal
from .messages import Slot
from .messages import TargetClient
from .retries import RetryBudget
from .retries import decide_retry

_REFUSAL_STATUS = {Reason.DEADLINE: 504}
_EXCHANGE_STATUS = {
    Reason.TIMEOUT: 504,
    Reason.UNREACHABLE: 503,
    Reason.TARGET_REFUSED: 503,
}


class ServingNode(t.Protocol):
    """State of this process that the pipeline depends on."""

    @property
    def state(self) -> FleetState:
        """The replicated state as of the last applied journal entry."""

    def may_serve(self) -> bool:
        """Return whether the replicated state is loaded and fresh enough to serve."""


@attrs.define
class RequestPipeline:
    """Runs callers' requests on targets and builds the final answers.

    :param node: provides the replicated state as known to this process.
    :param broker: requests and releases slots of targets.
    :param claims: claims idempotency keys and stores results.
    :param client: makes single attempts.
    :param clocks: monotonic and wall clock.
    :param rng: seeded generator for the tokens of claims.
    :param budget: limits retries.
    :param in_flight: number of requests in flight.
    :param retries: number of retries made.
    """

    node: ServingNode
    broker: SlotBroker
    claims: ClaimStore
    client: TargetClient
    clocks: Clocks
    rng: random.Random
    budget: RetryBudget = attrs.field(factory=RetryBudget)
    in_flight: int = 0
    retries: int = 0

    async def answer(self, request: CallerRequest) -> Answer:
        """Run one request, with retries, and return its final answer.

        :param request: the request as received.
        """
        now = self.clocks.read_monotonic()
        identified = identify_request(request, self.node.state, now)
        if isinstance(identified, Answer):
            return identified
        if not self.node.may_serve():
            return _refuse_not_fresh()
        self.in_flight += 1
        try:
            return await self._answer_identified(identified)
        finally:
            self.in_flight -= 1

    async def _answer_identified(self, request: IdentifiedRequest) -> Answer:
        if request.idempotent:
            return await self._run(request)
        # not cancelled when the caller disconnects: a retry with the same key then
        # gets the stored answer
        with anyio.CancelScope(shield=True):
            answer = await self._answer_with_claim(request)
        return answer

    async def _answer_with_claim(self, request: IdentifiedRequest) -> Answer:
        claim = self._build_claim(request)
        refusal = await self.claims.claim(claim)
        if refusal is not None:
            return refusal
        answer = Answer(Verdict.MAY_HAVE_RUN, 502, reason=Reason.BROKEN_ANSWER)
        try:
            answer = await self._run(request)
        finally:
            self.claims.record_result(claim, answer)
        return answer

    def _build_claim(self, request: IdentifiedRequest) -> Claim:
        caller = request.caller
        return Claim(
            key=f"{CLAIM_PREFIX}{caller.service}/{caller.job}/{caller.key}",
            token=f"{self.rng.getrandbits(128):032x}",
            digest=hashlib.sha256(caller.body).hexdigest(),
            at=self.clocks.read_wall(),
        )

    async def _run(self, request: IdentifiedRequest) -> Answer:
        self.budget.deposit()
        verdict = Verdict.NOT_RUN
        avoid: tuple[str, ...] = ()
        attempts = 0
        while True:
            slot = await self._acquire_slot(request, avoid)
            if isinstance(slot, Refusal):
                return _answer_refusal(slot, verdict)
            exchange = await self._make_attempt(request, slot)
            attempts += 1
            verdict = join_verdicts(verdict, exchange.verdict)
            remaining = request.deadline - self.clocks.read_monotonic()
            if not decide_retry(
                exchange.verdict, request.idempotent, attempts, remaining, self.budget
            ):
                return _answer_exchange(exchange, verdict, slot.vm)
            self.retries += 1
            avoid = self._extend_avoid(avoid, slot.vm)

    def _extend_avoid(self, avoid: tuple[str, ...], vm: str) -> tuple[str, ...]:
        record = self.node.state.vms.get(vm)
        return (*avoid, vm, record.zone) if record else (*avoid, vm)

    async def _acquire_slot(
        self, request: IdentifiedRequest, avoid: tuple[str, ...]
    ) -> Slot | Refusal:
        decided = anyio.Event()
        decisions: list[Slot | Refusal] = []

        def record_decision(decision: Slot | Refusal) -> None:
            decisions.append(decision)
            decided.set()

        now = self.clocks.read_monotonic()
        ask_id = self.broker.acquire(
            service=request.caller.service,
            rank=request.job.priority.rank,
            team=request.job.team,
            avoid=avoid,
            deadline=request.deadline,
            now=now,
            on_done=record_decision,
        )
        try:
            with anyio.move_on_after(max(0.0, request.deadline - now)):
                await decided.wait()
        except BaseException:
            self._cancel_slot_request(ask_id, decisions)
            raise
        if decisions:
            return decisions[0]
        self._cancel_slot_request(ask_id, decisions)
        return Refusal(Reason.DEADLINE, defaults.MIN_RETRY_AFTER_S)

    def _cancel_slot_request(
        self, ask_id: int, decisions: list[Slot | Refusal]
    ) -> None:
        now = self.clocks.read_monotonic()
        self.broker.cancel(ask_id, now)
        for decision in decisions:
            if isinstance(decision, Slot):
                self.broker.release(decision, Outcome.UNUSED, 0.0, now)

    async def _make_attempt(self, request: IdentifiedRequest, slot: Slot) -> Exchange:
        started = self.clocks.read_monotonic()
        exchange = Exchange(Verdict.MAY_HAVE_RUN, Outcome.UNUSED)
        try:
            exchange = await self._send(request, slot, started)
        finally:
            now = self.clocks.read_monotonic()
            self.broker.release(slot, exchange.outcome, now - started, now)
        return exchange

    async def _send(
        self, request: IdentifiedRequest, slot: Slot, now: float
    ) -> Exchange:
        record = self.node.state.vms.get(slot.vm)
        # the process may have been paused since the slot was granted, so the state
        # is checked again
        if not self.node.may_serve():
            return Exchange(Verdict.NOT_RUN, Outcome.UNUSED, reason=Reason.NOT_FRESH)
        if record is None or record.state is not VmState.SERVING:
            return Exchange(Verdict.NOT_RUN, Outcome.UNUSED, reason=Reason.NO_TARGET)
        remaining = request.deadline - now
        if remaining <= 0:
            return Exchange(Verdict.NOT_RUN, Outcome.UNUSED, reason=Reason.DEADLINE)
        return await self.client.exchange(request, record.address, remaining)


def _refuse_not_fresh() -> Answer:
    return Answer(
        Verdict.NOT_RUN,
        503,
        reason=Reason.NOT_FRESH,
        retry_after_s=defaults.FRESHNESS_LIMIT_S,
    )


def _answer_refusal(refusal: Refusal, verdict: Verdict) -> Answer:
    return Answer(
        verdict,
        _REFUSAL_STATUS.get(refusal.reason, 503),
        reason=refusal.reason,
        retry_after_s=refusal.retry_after_s,
    )


def _answer_exchange(exchange: Exchange, verdict: Verdict, vm: str) -> Answer:
    if exchange.verdict is Verdict.RAN:
        return Answer(
            Verdict.RAN, exchange.status, exchange.headers, exchange.body, vm=vm
        )
    reason = exchange.reason or Reason.BROKEN_ANSWER
    status = _EXCHANGE_STATUS.get(reason, 502)
    retry_after = None
    if verdict is Verdict.NOT_RUN:
        status = 504 if reason is Reason.DEADLINE else 503
        retry_after = float(defaults.MIN_RETRY_AFTER_S)
    return Answer(verdict, status, reason=reason, retry_after_s=retry_after, vm=vm)
