"""Job API of a node that forwards calls while the node cannot reach the store."""

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
from ..jobs.passing import ForwardFailure
from ..jobs.passing import PassedAnswer
from ..jobs.passing import PassedCall
from ..jobs.passing import PeerSelector
from ..jobs.passing import merge_outcomes
from ..jobs.routing import Route
from ..jobs.submissions import encode_submission
from ..jobs.tenants import ANONYMOUS
from ..jobs.tenants import Caller
from ..jobs.tenants import KeyRejection
from .desk import LocalJobApi
from .version_observer import VersionObserver
from .version_observer import VersionSource

CALL_TIMEOUT_S = 2.7
"""Timeout of a call including all attempts; callers time out after 3 s."""
FORWARD_TIMEOUT_S = 1.2
"""Timeout of one attempt: how long the other node's write may take in a slow store."""
NOT_FOUND = "gone"
"""Outcome of a forwarded call about a job that does not exist."""
DENIED = "denied"
"""Outcome of a forwarded call about another tenant's job."""

_LOG = structlog.get_logger()


@attrs.define
class ForwardingJobApi:
    """Answers API calls and forwards those that need the store while it fails.

    See :mod:`onyxgap.jobs.passing`.

    :param local: answers calls from this node's store and shards.
    :param health: whether the store answers.
    :param clocks: the process's clocks.
    :param peer_selector: chooses the nodes to which calls are forwarded.
    :param link: sends calls to other nodes.
    """

    local: LocalJobApi
    health: StoreHealth
    clocks: Clocks
    peer_selector: PeerSelector
    link: CallLink

    def __attrs_post_init__(self) -> None:
        self.local.should_forward = self.should_forward

    @property
    def _versions(self) -> VersionObserver:
        return self.local.versions

    def _now(self) -> float:
        return self.clocks.read_monotonic()

    def should_forward(self) -> bool:
        """Return whether another node is more likely to answer than the store."""
        now = self._now()
        return self.health.is_suspect(now) and bool(self.peer_selector.choose(now))

    def _is_store_unreachable(self) -> bool:
        """Return whether calls to the store fail here and on the other nodes."""
        now = self._now()
        return self.health.is_suspect(now) and self.peer_selector.is_store_unreachable(
            now
        )

    async def find_route(self, host: str, path: str) -> Route | None | Unavailable:
        """Find the route of a request, ``None`` if there is none."""
        return await self.local.find_route(host, path)

    async def identify(
        self, route: Route, keys: t.Sequence[bytes], job_id: str
    ) -> Caller | KeyRejection | Unavailable:
        """Identify the caller of a queue."""
        return await self.local.identify(route, keys, job_id)

    def get_max_body_bytes(self) -> int:
        """Return the maximum size of a request body."""
        return self.local.get_max_body_bytes()

    def count_waiting(self, route: Route) -> int | Unavailable:
        """Return the number of jobs of a queue that have not started."""
        return self.local.count_waiting(route)

    def is_ready(self) -> bool:
        """Return whether the node should get new connections."""
        return self.local.is_ready()

    async def submit(self, submission: Submission) -> SubmitResult:
        """Accept a job or return why it was not accepted."""
        deadline = self._now() + CALL_TIMEOUT_S
        too_large = self.local.check_size(submission)
        if too_large is not None:
            return too_large
        result = SubmitResult(SubmitOutcome.REFUSED, Unavailable.STORE.value)
        if self._is_store_unreachable():
            # the outcome of a write would most likely be unknown, so the caller gets a
            # rejection with a definite outcome instead
            return result
        if not self.should_forward():
            result = await self.local.submit(submission)
            if result.outcome not in (SubmitOutcome.REFUSED, SubmitOutcome.UNKNOWN):
                return result
        if not self.local.is_configuration_current():
            # the queue may have been removed, and the other node does not check that
            return result
        submission = self.local.binder.bind(submission)
        if not self.local.binder.is_bound(submission):
            return SubmitResult(result.outcome, Unavailable.QUEUE.value)
        call = PassedCall(
            CallKind.SUBMIT,
            submission.job_id,
            submission.tenant,
            submission.policy.queue,
            submission.policy.service,
            encode_submission(submission),
            self._versions.get_newest(),
            submission.endpoint,
        )
        async for answer in self._forward(call, deadline):
            result = _merge_result(result, answer)
            if result.outcome not in (SubmitOutcome.REFUSED, SubmitOutcome.UNKNOWN):
                return result
            if self._versions.is_outdated():
                # the queue may have been moved or removed in the newer version
                return result
        return result

    async def _forward(
        self, call: PassedCall, deadline: float
    ) -> t.AsyncIterator[PassedAnswer | None]:
        """Forward a call to one node after the other until the deadline.

        Yields an answer, or ``None`` where the call failed but may have been executed.
        Nodes that did not execute the call are skipped.
        """
        for address in self.peer_selector.choose(self._now()):
            remaining_s = deadline - self._now()
            if remaining_s <= 0:
                return
            started = self._now()
            answer = await self.link.ask(
                address, call, min(FORWARD_TIMEOUT_S, remaining_s)
            )
            self._log_forwarded(call, address, answer, self._now() - started)
            if isinstance(answer, PassedAnswer):
                source = VersionSource.FORWARDED_ANSWER
                self._versions.observe(answer.configuration, source)
            if answer is ForwardFailure.NOT_SENT or _is_unable(answer):
                self.peer_selector.record_failure(address, self._now())
                continue
            if isinstance(answer, ForwardFailure):
                self.peer_selector.record_failure(address, self._now())
                yield None
                continue
            self.peer_selector.record_success(address)
            yield answer

    def _log_forwarded(
        self,
        call: PassedCall,
        address: str,
        answer: PassedAnswer | ForwardFailure,
        took_s: float,
    ) -> None:
        failed = isinstance(answer, ForwardFailure)
        outcome = answer.value if isinstance(answer, ForwardFailure) else answer.outcome
        self.local.on_answer("passed-on", outcome, took_s)
        _LOG.info(
            "call passed on",
            job=call.job_id,
            kind=call.kind.value,
            queue=call.queue,
            to=address,
            outcome=outcome,
            failed=failed,
            configuration=self.local.routes.get_version(),
            known=0 if isinstance(answer, ForwardFailure) else answer.configuration,
            took_s=round(took_s, 4),
        )

    async def get_state(
        self, route: Route, job_id: str, caller: Caller = ANONYMOUS
    ) -> JobState | None | Unavailable | Denied:
        """Return the state of a job, ``None`` if there is no such job."""
        deadline = self._now() + CALL_TIMEOUT_S
        state = await self.local.get_state(route, job_id, caller)
        if state is not Unavailable.STORE:
            return state
        call = self._build_call(CallKind.STATE, route, job_id, caller)
        answer = await self._forward_idempotent(call, deadline)
        if answer is None:
            return state
        if answer.outcome == DENIED:
            return Denied.OTHER_TENANT
        return None if answer.outcome == NOT_FOUND else JobState(answer.outcome)

    async def cancel(
        self, route: Route, job_id: str, caller: Caller = ANONYMOUS
    ) -> bool | Unavailable | Denied:
        """Cancel a job; return false if there is no such job."""
        deadline = self._now() + CALL_TIMEOUT_S
        result = await self.local.cancel(route, job_id, caller)
        if result is not Unavailable.STORE:
            return result
        call = self._build_call(CallKind.CANCEL, route, job_id, caller)
        answer = await self._forward_idempotent(call, deadline)
        if answer is None:
            return result
        if answer.outcome == DENIED:
            return Denied.OTHER_TENANT
        return answer.outcome != NOT_FOUND

    def _build_call(
        self, kind: CallKind, route: Route, job_id: str, caller: Caller
    ) -> PassedCall:
        policy = route.policy
        return PassedCall(
            kind,
            job_id,
            caller.tenant,
            policy.queue,
            policy.service,
            configuration=self._versions.get_newest(),
            endpoint=route.endpoint,
        )

    async def _forward_idempotent(
        self, call: PassedCall, deadline: float
    ) -> PassedAnswer | None:
        """Forward a call that may be executed twice; ``None`` if no node answers."""
        async for answer in self._forward(call, deadline):
            if answer is not None:
                return answer
        return None

    async def answer(self, call: PassedCall) -> PassedAnswer:
        """Answer a call that another node forwarded, without forwarding it again.

        :param call: the forwarded call.
        """
        self._versions.observe(call.configuration, VersionSource.FORWARDED_CALL)
        answer = await self._answer(call)
        return attrs.evolve(answer, configuration=self._versions.get_newest())

    async def _answer(self, call: PassedCall) -> PassedAnswer:
        if self.health.is_suspect(self._now()) or self.local.stopping:
            return PassedAnswer(UNABLE, Unavailable.STORE.value)
        if call.kind is CallKind.SUBMIT:
            return await self._answer_submission(call)
        host, slash, prefix = call.endpoint.partition("/")
        policy = QueuePolicy(call.queue, call.service)
        route = Route(host, slash + prefix, policy)
        caller = Caller(call.tenant)
        if call.kind is CallKind.STATE:
            return _build_answer(await self.local.get_state(route, call.job_id, caller))
        return _build_answer(await self.local.cancel(route, call.job_id, caller))

    async def _answer_submission(self, call: PassedCall) -> PassedAnswer:
        try:
            source = VersionSource.FORWARDED_CALL
            submission = self.local.decoder.decode(call.submission, source)
        except DocumentError as error:
            return PassedAnswer(UNABLE, str(error))
        result = await self.local.submit(submission)
        return PassedAnswer(result.outcome.value, result.reason, result.retry_after_s)


def _is_unable(answer: PassedAnswer | ForwardFailure) -> bool:
    return isinstance(answer, PassedAnswer) and answer.outcome == UNABLE


def _merge_result(result: SubmitResult, answer: PassedAnswer | None) -> SubmitResult:
    """Merge the result so far with the answer of another node."""
    if answer is None:
        reason = "another node gave no answer"
        return SubmitResult(SubmitOutcome.UNKNOWN, reason)
    outcome = merge_outcomes(result.outcome, SubmitOutcome(answer.outcome))
    return SubmitResult(outcome, answer.reason, answer.retry_after_s)


_JobResult = JobState | bool | None | Unavailable | Denied


def _build_answer(result: _JobResult) -> PassedAnswer:
    """Build the answer to a forwarded call from its result."""
    if isinstance(result, Unavailable):
        return PassedAnswer(UNABLE, result.value)
    if isinstance(result, Denied):
        return PassedAnswer(DENIED, result.value)
    if isinstance(result, JobState):
        return PassedAnswer(result.value)
    return PassedAnswer("known" if result else NOT_FOUND)
