"""Job API of a node, served from the store and from the shards that the node owns."""

import typing as t

import anyio
import attrs
import structlog

from ..clocks import Clocks
from ..exceptions import DocumentError
from ..exceptions import PlatformUnavailableError
from ..jobs import tables
from ..jobs.admission import AdmissionController
from ..jobs.admission import decode_delay_estimate
from ..jobs.desk import Denied
from ..jobs.desk import SubmitOutcome
from ..jobs.desk import SubmitResult
from ..jobs.desk import Unavailable
from ..jobs.encoding import decode_status
from ..jobs.health import StoreHealth
from ..jobs.messages import JobState
from ..jobs.messages import JobStatus
from ..jobs.messages import QueuePolicy
from ..jobs.messages import Submission
from ..jobs.ownership import OwnerView
from ..jobs.routing import DEFAULT_BODY_BYTES
from ..jobs.routing import Route
from ..jobs.routing import RouteTable
from ..jobs.store import ABSENT
from ..jobs.store import Applied
from ..jobs.store import Batch
from ..jobs.store import Conflict
from ..jobs.store import NotApplied
from ..jobs.store import Store
from ..jobs.store import StoredRow
from ..jobs.store import WriteOutcome
from ..jobs.submissions import decode_submission
from ..jobs.submissions import encode_submission
from ..jobs.submissions import is_same_request
from ..jobs.tenants import ANONYMOUS
from ..jobs.tenants import Caller
from ..jobs.tenants import KeyRejection
from ..jobs.tenants import find_oversized_step
from ..jobs.waiting import CountSource
from ..jobs.waiting import WaitingCount
from .authentication import Authentication
from .owner import ShardOwner
from .queue_moves import QueueMoves
from .route_lookup import RouteLookup

WRITE_RETRY_LIMIT_S = 2.0
"""How long a write with unknown outcome is retried; callers time out after 3 s."""
WRITE_RETRY_PAUSE_S = 0.08
"""Pause between two attempts of such a write, in addition to the write's timeout."""
OUTAGE_RETRY_AFTER_S = 2
"""Outages last 4 to 9 s and callers try five times; other nodes may answer sooner."""
MAX_CACHED_STATUSES = 4_000
"""Statuses of ended jobs cached in memory; about 100 bytes each."""

_UNREADABLE_JOB = SubmitResult(SubmitOutcome.UNKNOWN, Unavailable.STORED_JOB.value)
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
    _final_statuses: dict[str, JobStatus] = attrs.field(factory=dict)
    _lookup: RouteLookup = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        exchange = self.authentication.exchange
        self._lookup = RouteLookup(self.routes, exchange, self._is_store_down)

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

    def _is_store_down(self) -> bool:
        return self.health.is_down(self.clocks.read_monotonic())

    async def submit(self, submission: Submission) -> SubmitResult:
        """Accept a job or return why it was not accepted."""
        started = self.clocks.read_monotonic()
        result = await self._submit(submission)
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

    async def _submit(self, submission: Submission) -> SubmitResult:
        if self._is_store_down():
            reason = Unavailable.STORE.value
            return SubmitResult(SubmitOutcome.REFUSED, reason, OUTAGE_RETRY_AFTER_S)
        if not self._knows_queue_moves():
            return SubmitResult(SubmitOutcome.REFUSED, Unavailable.QUEUE_MOVES.value)
        for shard in self.routes.list_previous_services(submission.policy):
            try:
                stored = await self._read_submission(shard, submission.job_id)
            except PlatformUnavailableError as error:
                return SubmitResult(SubmitOutcome.REFUSED, str(error))
            except DocumentError:
                # the job may have been accepted, so it must not be called rejected
                return _UNREADABLE_JOB
            if stored is not None:
                return _compare(stored, submission)
        rejection = self._check_cap(submission) or self._check_load(submission)
        if rejection is not None:
            return await self._reject_unless_stored(submission, rejection)
        accepted_ms = int(self.clocks.read_wall() * 1000)
        return await self._store(attrs.evolve(submission, accepted_ms=accepted_ms))

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
        report = view.get_load_report(now) if view is not None else None
        if self.admission is None or report is None:
            return None
        try:
            estimate = decode_delay_estimate(report.outlook)
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

    async def _reject_unless_stored(
        self, submission: Submission, rejection: SubmitResult
    ) -> SubmitResult:
        """Return a rejection unless the job has been accepted before."""
        try:
            stored = await self._read_submission(
                submission.policy.service, submission.job_id
            )
        except PlatformUnavailableError as error:
            return SubmitResult(SubmitOutcome.UNKNOWN, str(error))
        except DocumentError:
            return _UNREADABLE_JOB
        return rejection if stored is None else _compare(stored, submission)

    async def _store(self, submission: Submission) -> SubmitResult:
        row = tables.get_job_row(submission.policy.service, submission.job_id)
        batch = Batch({row: ABSENT}, {row: encode_submission(submission)})
        outcome = await self._write_until_certain(batch)
        if isinstance(outcome, Applied):
            self.on_stored(submission.policy.service, row.key)
            return SubmitResult(SubmitOutcome.ACCEPTED)
        if isinstance(outcome, NotApplied):
            return SubmitResult(SubmitOutcome.REFUSED, outcome.reason)
        if isinstance(outcome, Conflict):
            present = outcome.find(row)
            try:
                stored = _decode_submission_row(present) if present else None
            except DocumentError:
                return _UNREADABLE_JOB
            if stored is not None:
                return _compare(stored, submission)
        return SubmitResult(SubmitOutcome.UNKNOWN, "the write was not confirmed")

    async def _write_until_certain(self, batch: Batch) -> WriteOutcome:
        """Retry a conditional insert until its outcome is certain or time is up.

        After an attempt with unknown outcome, a later ``NotApplied`` is not certain:
        the earlier attempt may still be applied.
        """
        deadline = self.clocks.read_monotonic() + WRITE_RETRY_LIMIT_S
        unknown: WriteOutcome | None = None
        while True:
            outcome = await self.store.write(batch)
            if isinstance(outcome, Applied | Conflict):
                return outcome
            if isinstance(outcome, NotApplied):
                if unknown is None:
                    return outcome
            else:
                unknown = outcome
            if self.clocks.read_monotonic() >= deadline or self.should_forward():
                return unknown
            await anyio.sleep(WRITE_RETRY_PAUSE_S)

    async def _read_submission(self, shard: str, job_id: str) -> Submission | None:
        row = tables.get_job_row(shard, job_id)
        page = await self.store.read(row.table, row.part, row.key)
        return _decode_submission_row(page.rows[0]) if page.rows else None

    def _list_shards(self, route: Route) -> list[str]:
        """List the shards that may have a job, the most likely first."""
        policy = route.policy
        configuration = self.routes.configuration
        others = configuration.list_shards() if configuration else ()
        previous = self.routes.list_previous_services(policy)
        return list(dict.fromkeys([policy.service, *previous, *others]))

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
        if job_id in self._final_statuses:
            return self._final_statuses[job_id]
        owner = self.owners.get(route.policy.service)
        if owner is not None and owner.loaded:
            status = owner.state.get_status(job_id)
            if status is not None:
                return status
        if self._is_store_down():
            return Unavailable.STORE
        try:
            for shard in self._list_shards(route):
                status = await self._read_status(shard, job_id)
                if status is not None:
                    return status
        except PlatformUnavailableError:
            return Unavailable.STORE
        except DocumentError:
            return Unavailable.STORED_JOB
        return None

    async def _read_status(self, shard: str, job_id: str) -> JobStatus | None:
        row = tables.get_progress_row(shard, job_id)
        page = await self.store.read(row.table, row.part, row.key)
        if page.rows:
            status = _decode_status_row(page.rows[0])
            if status.state.final:
                self._cache(job_id, status)
            return status
        submission = await self._read_submission(shard, job_id)
        if submission is not None:
            return JobStatus(JobState.QUEUED, submission.tenant)
        return None

    def _cache(self, job_id: str, status: JobStatus) -> None:
        self._final_statuses[job_id] = status
        if len(self._final_statuses) > MAX_CACHED_STATUSES:
            del self._final_statuses[next(iter(self._final_statuses))]

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
        )
        return result

    async def _cancel(
        self, route: Route, job_id: str, caller: Caller
    ) -> bool | Unavailable | Denied:
        if self._is_store_down():
            return Unavailable.STORE
        try:
            for shard in self._list_shards(route):
                submission = await self._read_submission(shard, job_id)
                if submission is None:
                    continue
                if not caller.may_access(submission.tenant):
                    return self._deny(route, job_id)
                return await self._store_cancel(shard, job_id)
        except PlatformUnavailableError:
            return Unavailable.STORE
        except DocumentError:
            return Unavailable.STORED_JOB
        return False

    async def _store_cancel(self, shard: str, job_id: str) -> bool | Unavailable:
        row = tables.get_cancel_row(shard, job_id)
        outcome = await self._write_until_certain(Batch({row: ABSENT}, {row: b"1"}))
        if isinstance(outcome, Applied | Conflict):
            self.on_stored(shard, row.key)
            return True
        return Unavailable.STORE

    def count_waiting(self, route: Route) -> int | Unavailable:
        """Return the number of jobs of a queue that have not started."""
        waiting = self._find_waiting_count(route.policy)
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

    def _find_waiting_count(self, policy: QueuePolicy) -> WaitingCount:
        now = self.clocks.read_monotonic()
        current = self._count_in_shard(policy.service, policy.queue, now)
        if current.count is None:
            return current
        other = self._count_in_other_shards(policy)
        return attrs.evolve(current, count=current.count + other)

    def _count_in_shard(self, shard: str, queue: str, now: float) -> WaitingCount:
        owner = self.owners.get(shard)
        if owner is not None and owner.loaded:
            count = owner.state.count_waiting().get(queue, 0)
            return WaitingCount(count, CountSource.OWNER, epoch=owner.epoch)
        view = self.views.get(shard)
        report = view.get_load_report(now) if view is not None else None
        if view is None or report is None:
            return WaitingCount(None, CountSource.NONE)
        count = report.get_waiting_count(queue)
        age_s = now - view.load_reported_at
        return WaitingCount(count, CountSource.OWNER_ROW, age_s, report.epoch)

    def _count_in_other_shards(self, policy: QueuePolicy) -> int:
        """Count the waiting jobs in the shards of the queue's previous services.

        New jobs go to the current service, so reports of other shards are used at any
        age.
        """
        return sum(
            view.load_report.get_waiting_count(policy.queue)
            for shard, view in self.views.items()
            if shard != policy.service and view.load_report is not None
        )


def _decode_submission_row(row: StoredRow) -> Submission:
    """Decode a stored submission; a malformed one is logged.

    :raises DocumentError: if the row is malformed.
    """
    try:
        return decode_submission(row.value)
    except DocumentError as error:
        _LOG.warning(
            "stored submission could not be decoded",
            row=row.row_id.key,
            reason=str(error),
        )
        raise


def _decode_status_row(row: StoredRow) -> JobStatus:
    """Decode the status in a row of stored progress; a malformed one is logged.

    :raises DocumentError: if the row is malformed.
    """
    try:
        return decode_status(row.value)
    except DocumentError as error:
        _LOG.warning(
            "stored progress could not be decoded",
            row=row.row_id.key,
            reason=str(error),
        )
        raise


def _compare(stored: Submission, submission: Submission) -> SubmitResult:
    if not Caller(submission.tenant).may_access(stored.tenant):
        return SubmitResult(SubmitOutcome.OTHER_TENANT, Denied.OTHER_TENANT.value)
    if is_same_request(stored, submission):
        return SubmitResult(SubmitOutcome.ACCEPTED, "known")
    return SubmitResult(
        SubmitOutcome.OTHER_REQUEST, "the id stands for another request"
    )
