"""The request pipe: identify, claim, get a slot, dispatch, judge, answer."""

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
from .claims import ClaimKeeper
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


class Serving(t.Protocol):
    """What the pipe asks of its process."""

    @property
    def state(self) -> FleetState:
        """The agreed state as last folded."""

    def may_serve(self) -> bool:
        """Tell whether this process knows enough of the present."""


@attrs.define
class RequestPipe:
    """Takes callers' requests to their final answers.

    :param serving: the process.
    :param broker: gets slots.
    :param claims: keeps idempotency keys.
    :param client: carries out one attempt.
    :param clocks: the clocks.
    :param rng: seeded generator for writer tokens.
    """

    serving: Serving
    broker: SlotBroker
    claims: ClaimKeeper
    client: TargetClient
    clocks: Clocks
    rng: random.Random
    budget: RetryBudget = attrs.field(factory=RetryBudget)
    in_flight: int = 0
    retries: int = 0

    async def answer(self, request: CallerRequest) -> Answer:
        """Take one request to its final answer.

        :param request: the request as it came.
        """
        now = self.clocks.read_monotonic()
        identified = identify_request(request, self.serving.state, now)
        if isinstance(identified, Answer):
            return identified
        if not self.serving.may_serve():
            return _refuse_not_fresh()
        self.in_flight += 1
        try:
            return await self._answer_claimed(identified)
        finally:
            self.in_flight -= 1

    async def _answer_claimed(self, request: IdentifiedRequest) -> Answer:
        if request.idempotent:
            return await self._run(request)
        # a caller that leaves and asks again finds the answer under its key
        with anyio.CancelScope(shield=True):
            answer = await self._answer_once(request)
        return answer

    async def _answer_once(self, request: IdentifiedRequest) -> Answer:
        claim = self._build_claim(request)
        refusal = await self.claims.claim(claim)
        if refusal is not None:
            return refusal
        answer = Answer(Verdict.MAY_HAVE_RUN, 502, reason=Reason.BROKEN_ANSWER)
        try:
            answer = await self._run(request)
        finally:
            self.claims.settle(claim, answer)
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
        self.budget.earn()
        verdict = Verdict.NOT_RUN
        avoid: tuple[str, ...] = ()
        attempts = 0
        while True:
            slot = await self._acquire(request, avoid)
            if isinstance(slot, Refusal):
                return _answer_refusal(slot, verdict)
            exchange = await self._attempt(request, slot)
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
        record = self.serving.state.vms.get(vm)
        return (*avoid, vm, record.zone) if record else (*avoid, vm)

    async def _acquire(
        self, request: IdentifiedRequest, avoid: tuple[str, ...]
    ) -> Slot | Refusal:
        done = anyio.Event()
        result: list[Slot | Refusal] = []

        def finish(decision: Slot | Refusal) -> None:
            result.append(decision)
            done.set()

        now = self.clocks.read_monotonic()
        ask = self.broker.acquire(
            service=request.caller.service,
            rank=request.job.priority.rank,
            team=request.job.team,
            avoid=avoid,
            deadline=request.deadline,
            now=now,
            on_done=finish,
        )
        try:
            with anyio.move_on_after(max(0.0, request.deadline - now)):
                await done.wait()
        except BaseException:
            self._abandon(ask, result)
            raise
        if result:
            return result[0]
        self._abandon(ask, result)
        return Refusal(Reason.DEADLINE, defaults.MIN_RETRY_AFTER_S)

    def _abandon(self, ask: int, result: list[Slot | Refusal]) -> None:
        now = self.clocks.read_monotonic()
        self.broker.withdraw(ask, now)
        for decision in result:
            if isinstance(decision, Slot):
                self.broker.release(decision, Outcome.UNUSED, 0.0, now)

    async def _attempt(self, request: IdentifiedRequest, slot: Slot) -> Exchange:
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
        record = self.serving.state.vms.get(slot.vm)
        # the process may have been paused since the slot was granted
        if not self.serving.may_serve():
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
