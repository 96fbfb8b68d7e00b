"""Answers callers, through other nodes where this one cannot reach the store."""

import typing as t

import attrs
import structlog

from ..clocks import Clocks
from ..exceptions import DocumentError
from ..jobs.desk import Denied
from ..jobs.desk import SubmitOutcome
from ..jobs.desk import SubmitResult
from ..jobs.desk import Unavailable
from ..jobs.health import StoreHealth
from ..jobs.messages import JobState
from ..jobs.messages import QueuePolicy
from ..jobs.messages import Submission
from ..jobs.passing import UNABLE
from ..jobs.passing import CallKind
from ..jobs.passing import CallLink
from ..jobs.passing import Helpers
from ..jobs.passing import PassedAnswer
from ..jobs.passing import PassedCall
from ..jobs.passing import PassFailure
from ..jobs.passing import join_outcomes
from ..jobs.routing import Route
from ..jobs.submissions import decode_submission
from ..jobs.submissions import encode_submission
from ..jobs.tenants import ANYONE
from ..jobs.tenants import Caller
from ..jobs.tenants import KeyFault
from .desk import NodeDesk

PATIENCE_S = 2.7
"""Time for a call with all its tries; callers wait for 3 s."""
PASS_TIMEOUT_S = 1.2
"""Time for one try: what the other node's write may take in a slow store."""
GONE = "gone"
"""Outcome of a question for a job that nobody knows."""
DENIED = "denied"
"""Outcome of a call about another tenant's job."""

_LOG = structlog.get_logger()


@attrs.define
class PassingDesk:
    """Answers callers of one node; see :mod:`onyxgap.jobs.passing`.

    :param desk: answers them from the store.
    :param health: whether the store answers.
    :param clocks: the process's clocks.
    :param helpers: chooses other nodes.
    :param link: carries calls to them.
    """

    desk: NodeDesk
    health: StoreHealth
    clocks: Clocks
    helpers: Helpers
    link: CallLink

    def __attrs_post_init__(self) -> None:
        self.desk.may_pass = self.may_pass

    def _now(self) -> float:
        return self.clocks.read_monotonic()

    def may_pass(self) -> bool:
        """Tell whether another node is likelier to answer than the store is to."""
        now = self._now()
        return self.health.is_suspect(now) and bool(self.helpers.choose(now))

    def _is_store_away(self) -> bool:
        now = self._now()
        return self.health.is_suspect(now) and self.helpers.is_hopeless(now)

    async def find_route(self, host: str, path: str) -> Route | None | Unavailable:
        """Find the queue that a request is for."""
        return await self.desk.find_route(host, path)

    async def identify(
        self, route: Route, keys: t.Sequence[bytes], job_id: str
    ) -> Caller | KeyFault | Unavailable:
        """Find out who calls."""
        return await self.desk.identify(route, keys, job_id)

    def get_max_body_bytes(self) -> int:
        """Give the longest body that is read."""
        return self.desk.get_max_body_bytes()

    def count_waiting(self, route: Route) -> int | Unavailable:
        """Count the jobs of a queue of which nothing has started."""
        return self.desk.count_waiting(route)

    def is_ready(self) -> bool:
        """Tell whether new connections should come here."""
        return self.desk.is_ready()

    async def submit(self, submission: Submission) -> SubmitResult:
        """Accept a job, or say why not."""
        give_up = self._now() + PATIENCE_S
        result = SubmitResult(SubmitOutcome.REFUSED, Unavailable.STORE.value)
        if self._is_store_away():
            # a write now would most likely end as uncertain, which helps nobody
            return result
        if not self.may_pass():
            result = await self.desk.submit(submission)
            if result.outcome not in (SubmitOutcome.REFUSED, SubmitOutcome.UNKNOWN):
                return result
        if not self.desk.is_configuration_current():
            # the queue may be gone by now, and the other node would not know
            return result
        call = PassedCall(
            CallKind.SUBMIT,
            submission.job_id,
            submission.tenant,
            submission.policy.queue,
            submission.policy.service,
            encode_submission(submission),
        )
        async for answer in self._pass(call, give_up):
            result = _join(result, answer)
            if result.outcome not in (SubmitOutcome.REFUSED, SubmitOutcome.UNKNOWN):
                return result
        return result

    async def _pass(
        self, call: PassedCall, give_up: float
    ) -> t.AsyncIterator[PassedAnswer | None]:
        """Ask one node after the other; ``None`` for a call that may have been done."""
        for address in self.helpers.choose(self._now()):
            left_s = give_up - self._now()
            if left_s <= 0:
                return
            started = self._now()
            answer = await self.link.ask(address, call, min(PASS_TIMEOUT_S, left_s))
            self._log(call, address, answer, self._now() - started)
            if answer is PassFailure.NOT_SENT or _is_unable(answer):
                self.helpers.note_unable(address, self._now())
                continue
            if isinstance(answer, PassFailure):
                self.helpers.note_unable(address, self._now())
                yield None
                continue
            self.helpers.note_able(address)
            yield answer

    def _log(
        self,
        call: PassedCall,
        address: str,
        answer: PassedAnswer | PassFailure,
        took_s: float,
    ) -> None:
        failed = isinstance(answer, PassFailure)
        outcome = answer.value if isinstance(answer, PassFailure) else answer.outcome
        self.desk.on_answer("passed-on", outcome, took_s)
        _LOG.info(
            "call passed on",
            job=call.job_id,
            kind=call.kind.value,
            queue=call.queue,
            to=address,
            outcome=outcome,
            failed=failed,
            took_s=round(took_s, 4),
        )

    async def get_state(
        self, route: Route, job_id: str, caller: Caller = ANYONE
    ) -> JobState | None | Unavailable | Denied:
        """Give the state of a job, ``None`` where there is no such job."""
        give_up = self._now() + PATIENCE_S
        state = await self.desk.get_state(route, job_id, caller)
        if state is not Unavailable.STORE:
            return state
        call = _build_call(CallKind.STATE, route, job_id, caller)
        answer = await self._ask_others(call, give_up)
        if answer is None:
            return state
        if answer.outcome == DENIED:
            return Denied.OTHER_TENANT
        return None if answer.outcome == GONE else JobState(answer.outcome)

    async def cancel(
        self, route: Route, job_id: str, caller: Caller = ANYONE
    ) -> bool | Unavailable | Denied:
        """Cancel a job; false where there is no such job."""
        give_up = self._now() + PATIENCE_S
        known = await self.desk.cancel(route, job_id, caller)
        if known is not Unavailable.STORE:
            return known
        call = _build_call(CallKind.CANCEL, route, job_id, caller)
        answer = await self._ask_others(call, give_up)
        if answer is None:
            return known
        if answer.outcome == DENIED:
            return Denied.OTHER_TENANT
        return answer.outcome != GONE

    async def _ask_others(
        self, call: PassedCall, give_up: float
    ) -> PassedAnswer | None:
        """Pass on a call that may be done twice; ``None`` where nobody answers."""
        async for answer in self._pass(call, give_up):
            if answer is not None:
                return answer
        return None

    async def answer(self, call: PassedCall) -> PassedAnswer:
        """Answer a call that another node passed on, from the store alone.

        :param call: the call.
        """
        if self.health.is_suspect(self._now()) or self.desk.stopping:
            return PassedAnswer(UNABLE, Unavailable.STORE.value)
        if call.kind is CallKind.SUBMIT:
            return await self._answer_submission(call)
        policy = QueuePolicy(call.queue, call.service)
        route = Route("", "", policy)
        caller = Caller(call.tenant)
        if call.kind is CallKind.STATE:
            return _describe(await self.desk.get_state(route, call.job_id, caller))
        return _describe(await self.desk.cancel(route, call.job_id, caller))

    async def _answer_submission(self, call: PassedCall) -> PassedAnswer:
        try:
            submission = decode_submission(call.submission)
        except DocumentError as error:
            return PassedAnswer(UNABLE, str(error))
        result = await self.desk.submit(submission)
        return PassedAnswer(result.outcome.value, result.reason, result.retry_after_s)


def _is_unable(answer: PassedAnswer | PassFailure) -> bool:
    return isinstance(answer, PassedAnswer) and answer.outcome == UNABLE


def _join(result: SubmitResult, answer: PassedAnswer | None) -> SubmitResult:
    """Join the result so far with the answer of another node."""
    if answer is None:
        reason = "another node gave no answer"
        return SubmitResult(SubmitOutcome.UNKNOWN, reason)
    outcome = join_outcomes(result.outcome, SubmitOutcome(answer.outcome))
    return SubmitResult(outcome, answer.reason, answer.retry_after_s)


def _build_call(
    kind: CallKind, route: Route, job_id: str, caller: Caller
) -> PassedCall:
    policy = route.policy
    return PassedCall(kind, job_id, caller.tenant, policy.queue, policy.service)


_Found = JobState | bool | None | Unavailable | Denied


def _describe(found: _Found) -> PassedAnswer:
    """Describe what was found of a job as an answer."""
    if isinstance(found, Unavailable):
        return PassedAnswer(UNABLE, found.value)
    if isinstance(found, Denied):
        return PassedAnswer(DENIED, found.value)
    if isinstance(found, JobState):
        return PassedAnswer(found.value)
    return PassedAnswer("known" if found else GONE)
