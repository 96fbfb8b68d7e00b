"""Job API of a node, served from the store and from the shards that the node owns."""

import typing as t

import attrs
import structlog

from ..clocks import Clocks
from ..exceptions import DocumentError
from ..exceptions import PlatformUnavailableError
from ..jobs.admission import AdmissionController
from ..jobs.admission import decode_delay_estimate
from ..jobs.desk import Denied
from ..jobs.desk import SubmitOutcome
from ..jobs.desk import SubmitResult
from ..jobs.desk import Unavailable
from ..jobs.health import StoreHealth
from ..jobs.messages import JobState
from ..jobs.messages import JobStatus
from ..jobs.messages import Submission
from ..jobs.ownership import OwnerView
from ..jobs.routing import DEFAULT_BODY_BYTES
from ..jobs.routing import Route
from ..jobs.routing import RouteTable
from ..jobs.store import Store
from ..jobs.store import StoreLimits
from ..jobs.submissions import MAX_INTEGER
from ..jobs.submissions import encode_submission
from ..jobs.tenants import ANONYMOUS
from ..jobs.tenants import Caller
from ..jobs.tenants import KeyRejection
from ..jobs.tenants import find_oversized_step
from .authentication import Authentication
from .cancellations import Cancellations
from .cancellations import CancelResult
from .owner import ShardOwner
from .queue_lengths import QueueLengths
from .queue_moves import QueueMoves
from .route_binder import RouteBinder
from .route_lookup import RouteLookup
from .stored_statuses import StoredStatuses
from .submission_decoder import SubmissionDecoder
from .submission_store import SubmissionStore
from .version_observer import VersionObserver

OUTAGE_RETRY_AFTER_S = 2
"""Outages last 4 to 9 s and callers try five times; other nodes may answer sooner."""

_LOG = structlog.get_logger()


@attrs.define
class LocalJobApi:
    """Answers API calls from the store and from the shards that the node owns.

    :param store: the store.
    :param health: whether the store answers.
    :param clocks: the process's clocks.
    :param routes: the configuration in force.
    :param views: newest owner row of each shard, as seen by this node.
    :param owners: owned shards by name.
    :param authentication: identifies callers.
    :param queue_moves: knows the services that queues had before this node started;
        ``None`` if there is no such record.
    :param on_stored: notifies the owner of a shard, given the shard and the key of the
        stored submission or cancellation.
    :param admission: rejects jobs that would start too late to be useful; ``None`` to
        accept all.
    :param should_forward: returns whether another node is more likely to answer than
        the store.
    :param count_nodes: returns the number of nodes that accept jobs.
    :param on_answer: called after each answer with the kind of call, its outcome and
        its duration in seconds.
    :param stopping: whether the node is shutting down.
    :param row_bytes: largest row of the store.
    :param versions: versions of the configuration that are known to exist.
    :param decoder: decodes submissions and statuses.
    :param binder: binds submissions to the routes in force.
    """

    store: Store
    health: StoreHealth
    clocks: Clocks
    routes: RouteTable
    views: dict[str, OwnerView]
    owners: dict[str, ShardOwner]
    authentication: Authentication
    queue_moves: QueueMoves | None = None
    on_stored: t.Callable[[str, str], None] = lambda *_: None
    admission: AdmissionController | None = None
    should_forward: t.Callable[[], bool] = lambda: False
    count_nodes: t.Callable[[], int] = lambda: 1
    on_answer: t.Callable[[str, str, float], None] = lambda *_: None
    stopping: bool = False
    row_bytes: int = StoreLimits().row_bytes
    versions: VersionObserver = attrs.field(init=False)
    decoder: SubmissionDecoder = attrs.field(init=False)
    binder: RouteBinder = attrs.field(init=False)
    _lookup: RouteLookup = attrs.field(init=False)
    _submissions: SubmissionStore = attrs.field(init=False)
    _cancellations: Cancellations = attrs.field(init=False)
    _statuses: StoredStatuses = attrs.field(init=False)
    _queue_lengths: QueueLengths = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        exchange = self.authentication.exchange
        self.versions = exchange.versions
        self.decoder = SubmissionDecoder(self.versions)
        self.binder = RouteBinder(self.routes)
        self._lookup = RouteLookup(self.routes, exchange, self._is_store_down)
        self._submissions = SubmissionStore(
            self.store,
            self.clocks,
            self.decoder,
            self.routes,
            lambda shard, key: self.on_stored(shard, key),
            lambda: self.should_forward(),
        )
        self._cancellations = Cancellations(self._submissions, self.routes)
        self._statuses = StoredStatuses(self.store, self._submissions)
        self._queue_lengths = QueueLengths(
            self.owners, self.views, self.health.store_clock, self.routes
        )

    async def find_route(self, host: str, path: str) -> Route | None | Unavailable:
        """Find the route of a request, ``None`` if there is none."""
        return await self._lookup.find(host, path)

    async def identify(
        self, route: Route, keys: t.Sequence[bytes], job_id: str
    ) -> Caller | KeyRejection | Unavailable:
        """Identify the caller of a queue."""
        return await self.authentication.identify(route, keys, job_id)

    def get_max_body_bytes(self) -> int:
        """Return the maximum size of a request body."""
        configuration = self.routes.configuration
        return configuration.max_body_bytes if configuration else DEFAULT_BODY_BYTES

    def is_configuration_current(self) -> bool:
        """Return whether the configuration in force is current."""
        return self.authentication.exchange.is_current()

    def is_ready(self) -> bool:
        """Return whether the node should get new connections."""
        return (
            not self.stopping
            and self.routes.configuration is not None
            and self._knows_queue_moves()
            and not self._is_store_down()
        )

    def _knows_queue_moves(self) -> bool:
        return self.queue_moves is None or self.queue_moves.known

    async def _update_queue_moves(self) -> bool:
        return self.queue_moves is None or await self.queue_moves.update()

    def _is_store_down(self) -> bool:
        return self.health.is_down(self.clocks.read_monotonic())

    async def submit(self, submission: Submission) -> SubmitResult:
        """Accept a job or return why it was not accepted."""
        started = self.clocks.read_monotonic()
        submission = self.binder.bind(submission)
        result = self.check_size(submission) or await self._submit(submission)
        took_s = self.clocks.read_monotonic() - started
        self.on_answer("submit", result.outcome.value, took_s)
        _LOG.info(
            "submission answered",
            job=submission.job_id,
            queue=submission.policy.queue,
            service=submission.policy.service,
            outcome=result.outcome.value,
            reason=result.reason,
            took_s=round(took_s, 4),
            **self._describe_version(),
        )
        return result

    def _describe_version(self) -> dict[str, float]:
        """Describe the configuration in force for the log."""
        age_s = round(self.authentication.exchange.get_age(), 2)
        return {
            "configuration": self.routes.get_version(),
            "configuration_age_s": age_s,
        }

    async def _record_service(self, submission: Submission) -> bool:
        if self.queue_moves is None:
            return True
        queue, service = submission.get_queue(), submission.policy.service
        return await self.queue_moves.record(queue, service)

    async def _submit(self, submission: Submission) -> SubmitResult:
        if self._is_store_down():
            reason = Unavailable.STORE.value
            return SubmitResult(SubmitOutcome.REFUSED, reason, OUTAGE_RETRY_AFTER_S)
        if not await self._record_service(submission):
            return SubmitResult(SubmitOutcome.REFUSED, Unavailable.QUEUE_MOVES.value)
        others = self.routes.list_other_services(
            submission.get_queue(), submission.policy.service
        )
        rejection = (
            self._check_queue(submission)
            or self._check_cap(submission)
            or self._check_load(submission)
        )
        if rejection is not None:
            services = (submission.policy.service, *others)
            known = await self._submissions.find_result(submission, services)
            return known or rejection
        accepted_ms = int(self.clocks.read_wall() * 1000)
        accepted = attrs.evolve(submission, accepted_ms=accepted_ms)
        return await self._submissions.insert(accepted, others)

    def check_size(self, submission: Submission) -> SubmitResult | None:
        """Reject a job that does not fit into a row of the store."""
        accepted = attrs.evolve(submission, accepted_ms=MAX_INTEGER)
        size = len(encode_submission(accepted))
        if size <= self.row_bytes:
            return None
        reason = f"takes {size} bytes as stored, {self.row_bytes} are allowed"
        return SubmitResult(SubmitOutcome.TOO_LARGE, reason)

    def _check_queue(self, submission: Submission) -> SubmitResult | None:
        """Reject a job whose queue was moved or removed since its route was found."""
        if self.binder.is_bound(submission):
            return None
        return SubmitResult(SubmitOutcome.REFUSED, Unavailable.QUEUE.value)

    def _check_cap(self, submission: Submission) -> SubmitResult | None:
        """Reject a job with a step that can never run within its tenant's cap."""
        if not submission.tenant:
            return None
        cap = self.routes.find_cap(submission.tenant)
        step = find_oversized_step(submission.steps, cap)
        if step is None:
            return None
        reason = f"$.steps[{step}]: asks for more than its tenant may have running"
        return SubmitResult(SubmitOutcome.ABOVE_CAP, reason)

    def _check_load(self, submission: Submission) -> SubmitResult | None:
        """Reject a job that would wait too long, as estimated by its shard's owner."""
        view = self.views.get(submission.policy.service)
        now = self.clocks.read_monotonic()
        store_ms = self.health.store_clock.get_latest_ms(self.clocks.read_boot())
        report = view.get_load_report(store_ms) if view is not None else None
        if self.admission is None or report is None:
            return None
        try:
            estimate = decode_delay_estimate(report.row.outlook)
        except DocumentError as error:
            _LOG.warning("delay estimate could not be decoded", reason=str(error))
            return None
        overload = self.admission.check(submission, estimate, self.count_nodes(), now)
        if overload is None:
            return None
        delay_s = overload.queue_delay.of_use_s
        reason = (
            f"{delay_s:.1f} s of work are waiting, {overload.slack_s:.1f} s are left"
        )
        return SubmitResult(SubmitOutcome.OVERLOADED, reason, overload.retry_after_s)

    def _list_shards(self, route: Route) -> list[str]:
        """List the shards that may have a job, the most likely first."""
        service = route.policy.service
        others = self.routes.list_shards()
        previous = self.routes.list_other_services(route.get_queue(), service)
        return list(dict.fromkeys([service, *previous, *others]))

    async def get_state(
        self, route: Route, job_id: str, caller: Caller = ANONYMOUS
    ) -> JobState | None | Unavailable | Denied:
        """Return the state of a job, ``None`` if there is no such job."""
        started = self.clocks.read_monotonic()
        state = self._authorize(
            await self._get_status(route, job_id), route, job_id, caller
        )
        took_s = self.clocks.read_monotonic() - started
        outcome = state.name.lower() if state is not None else "unknown-job"
        self.on_answer("state", outcome, took_s)
        if state is None or isinstance(state, Unavailable):
            _LOG.info(
                "no job state returned",
                job=job_id,
                queue=route.policy.queue,
                outcome=outcome,
                took_s=round(took_s, 4),
                **self._describe_version(),
            )
        return state

    def _authorize(
        self,
        status: JobStatus | None | Unavailable,
        route: Route,
        job_id: str,
        caller: Caller,
    ) -> JobState | None | Unavailable | Denied:
        if not isinstance(status, JobStatus):
            return status
        if not caller.may_access(status.tenant):
            return self._deny(route, job_id)
        return status.state

    def _deny(self, route: Route, job_id: str) -> Denied:
        denied = Denied.OTHER_TENANT
        self.authentication.record_rejection(denied.value, route, job_id)
        return denied

    async def _get_status(
        self, route: Route, job_id: str
    ) -> JobStatus | None | Unavailable:
        queue = route.get_queue()
        owner = self.owners.get(route.policy.service)
        if owner is not None and owner.loaded:
            status = owner.state.get_status(job_id)
            if status is not None and self.routes.is_same_queue(
                queue, status.get_queue()
            ):
                return status
        if self._is_store_down() or not await self._update_queue_moves():
            return Unavailable.STORE
        try:
            return await self._statuses.find(self._list_shards(route), queue, job_id)
        except PlatformUnavailableError:
            return Unavailable.STORE
        except DocumentError:
            return Unavailable.STORED_JOB

    async def cancel(
        self, route: Route, job_id: str, caller: Caller = ANONYMOUS
    ) -> bool | Unavailable | Denied:
        """Cancel a job; return false if there is no such job."""
        started = self.clocks.read_monotonic()
        result = await self._cancel(route, job_id, caller)
        took_s = self.clocks.read_monotonic() - started
        outcome = str(result) if isinstance(result, bool) else result.value
        self.on_answer("cancel", outcome, took_s)
        _LOG.info(
            "cancel answered",
            job=job_id,
            queue=route.policy.queue,
            outcome=outcome,
            took_s=round(took_s, 4),
            **self._describe_version(),
        )
        return result

    async def _cancel(self, route: Route, job_id: str, caller: Caller) -> CancelResult:
        if self._is_store_down() or not await self._update_queue_moves():
            return Unavailable.STORE
        shards = self._list_shards(route)
        result = await self._cancellations.cancel(route, shards, job_id, caller)
        return self._deny(route, job_id) if isinstance(result, Denied) else result

    def count_waiting(self, route: Route) -> int | Unavailable:
        """Return the number of jobs of a queue that have not started."""
        waiting = self._queue_lengths.count(route, self.clocks.read_boot())
        self.on_answer("count", waiting.source.value, 0.0)
        _LOG.info(
            "waiting jobs counted",
            queue=route.policy.queue,
            service=route.policy.service,
            count=waiting.count,
            source=waiting.source.value,
            age_s=round(waiting.age_s, 2),
            epoch=waiting.epoch,
            **self._describe_version(),
        )
        return Unavailable.COUNT if waiting.count is None else waiting.count
