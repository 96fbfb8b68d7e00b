"""Tests authentication by API key and the access of tenants to jobs."""

import typing as t

import anyio
import attrs
import orjson
import pytest
import structlog.testing

from onyxgap.daemons.authentication import MAX_LOGGED_PER_S
from onyxgap.daemons.authentication import Authentication
from onyxgap.daemons.configuration_exchange import VALID_FRACTION
from onyxgap.exceptions import PlatformUnavailableError
from onyxgap.jobs.amounts import NO_LIMIT
from onyxgap.jobs.amounts import Amount
from onyxgap.jobs.desk import Denied
from onyxgap.jobs.desk import SubmitOutcome
from onyxgap.jobs.desk import SubmitResult
from onyxgap.jobs.desk import Unavailable
from onyxgap.jobs.messages import JobState
from onyxgap.jobs.messages import QueuePolicy
from onyxgap.jobs.messages import Submission
from onyxgap.jobs.routing import Configuration
from onyxgap.jobs.routing import Route
from onyxgap.jobs.routing import RouteTable
from onyxgap.jobs.tenants import ANONYMOUS
from onyxgap.jobs.tenants import MAX_KEY_BYTES
from onyxgap.jobs.tenants import Caller
from onyxgap.jobs.tenants import KeyRejection
from onyxgap.jobs.tenants import Tenant
from onyxgap.jobs.tenants import digest_key
from onyxgap.jobs.tenants import identify
from onyxgap.jobs.tenants import index_keys
from onyxgap.platform import registry
from onyxgap.platform import settings as platform_settings
from onyxgap.platform.job_api import JobApiApp
from tests.exchanges import ManualClocks
from tests.exchanges import build_exchange

KEYED = Route("h", "/p/", QueuePolicy("q", "s"))
OPEN = attrs.evolve(KEYED, prefix="/o/", public=True)
TENANTS = (
    Tenant("north", (digest_key(b"n1"), digest_key(b"n2"))),
    Tenant("south", (digest_key(b"s1"),)),
)
JOB_ID = "5c0e7a21d94b36f8"
BODY = orjson.dumps({"spec": "s", "steps": [{"count": 1}]})


@pytest.mark.parametrize(
    ("keys", "found"),
    [
        ([b"n1"], Caller("north")),
        ([b"n2"], Caller("north")),
        ([b"s1"], Caller("south")),
        ([], KeyRejection.MISSING),
        ([b""], KeyRejection.MISSING),
        ([b"n1", b"n1"], KeyRejection.REPEATED),
        ([b"", b"n1"], KeyRejection.REPEATED),
        ([b"n"], KeyRejection.UNKNOWN),
        ([b"N1"], KeyRejection.UNKNOWN),
        ([b"north"], KeyRejection.UNKNOWN),
        ([b"\xff\x00"], KeyRejection.UNKNOWN),
        ([b"n" * MAX_KEY_BYTES], KeyRejection.UNKNOWN),
        ([b"n" * (MAX_KEY_BYTES + 1)], KeyRejection.TOO_LONG),
    ],
)
def test_caller_needs_exactly_one_complete_key(
    keys: list[bytes], found: Caller | KeyRejection
) -> None:
    assert identify(keys, index_keys(TENANTS)) == found


@pytest.mark.parametrize(
    ("caller", "owner", "may"),
    [
        ("north", "north", True),
        ("north", "south", False),
        ("north", "", True),
        ("", "south", True),
        ("", "", True),
    ],
)
def test_job_access_by_tenant(caller: str, owner: str, may: bool) -> None:
    assert Caller(caller).may_access(owner) is may


def build_routes(*, keyed: bool = True) -> RouteTable:
    routes = RouteTable(keyed=keyed)
    routes.adopt(Configuration(7, (KEYED, OPEN), {}, tenants=TENANTS))
    return routes


def build_authentication(
    *, age_s: float = 0.0, keyed: bool = True
) -> tuple[Authentication, list[str]]:
    exchange = build_exchange(build_routes(keyed=keyed), age_s=age_s)
    reasons: list[str] = []
    return Authentication(exchange.routes, exchange, reasons.append), reasons


def identify_caller(
    authentication: Authentication, route: Route, *keys: bytes
) -> t.Any:
    return anyio.run(authentication.identify, route, keys, JOB_ID)


def test_public_queue_and_deployment_without_tenants_need_no_key() -> None:
    authentication, reasons = build_authentication(age_s=99.0)
    assert identify_caller(authentication, OPEN, b"stray") is ANONYMOUS
    authentication, reasons = build_authentication(age_s=99.0, keyed=False)
    assert identify_caller(authentication, KEYED) is ANONYMOUS
    assert reasons == []


def test_key_is_checked_only_while_configuration_is_known_to_be_current() -> None:
    authentication, _ = build_authentication(age_s=2.0 * VALID_FRACTION)
    assert identify_caller(authentication, KEYED, b"n1") == Caller("north")
    assert identify_caller(authentication, KEYED, b"x") is KeyRejection.UNKNOWN
    authentication, _ = build_authentication(age_s=2.0 * VALID_FRACTION + 0.01)
    for key in (b"n1", b"x"):
        found = identify_caller(authentication, KEYED, key)
        assert found is Unavailable.CONFIGURATION_AGE


def test_all_refusals_are_counted_but_their_log_rate_is_limited() -> None:
    authentication, reasons = build_authentication()
    with structlog.testing.capture_logs() as lines:
        for _ in range(MAX_LOGGED_PER_S + 30):
            identify_caller(authentication, KEYED, b"stray-key")
    assert len(reasons) == MAX_LOGGED_PER_S + 30
    assert set(reasons) == {"unknown key"}
    assert len(lines) == MAX_LOGGED_PER_S
    assert lines[0]["job"] == JOB_ID
    assert "stray-key" not in str(lines)


def build_rereading_authentication(
    *, fails: bool = False
) -> tuple[Authentication, ManualClocks, list[float]]:
    """Build an authentication whose reads of the row find a newer set of keys."""
    newer = Configuration(
        8, (KEYED, OPEN), {}, tenants=(Tenant("new", (digest_key(b"k"),)),)
    )
    reads: list[float] = []

    async def read() -> None:
        await anyio.sleep(0.01)
        reads.append(clocks.now)
        if fails:
            raise PlatformUnavailableError("silent")
        routes.adopt(newer)

    routes = build_routes()
    exchange = build_exchange(routes, read_newest=read)
    clocks = t.cast(ManualClocks, exchange.clocks)
    return Authentication(routes, exchange), clocks, reads


def test_key_of_a_version_that_the_feed_has_not_delivered_is_accepted() -> None:
    authentication, _, reads = build_rereading_authentication()
    assert identify_caller(authentication, KEYED, b"k") == Caller("new")
    assert len(reads) == 1


def test_unknown_keys_cause_few_reads_of_the_store() -> None:
    authentication, clocks, reads = build_rereading_authentication()

    async def send_unknown_keys() -> None:
        async with anyio.create_task_group() as group:
            for _ in range(200):
                group.start_soon(authentication.identify, KEYED, [b"x"], JOB_ID)

    for _ in range(4):
        anyio.run(send_unknown_keys)
        clocks.now += 0.4
    assert len(reads) == 2


def test_unknown_key_is_not_refused_while_the_row_cannot_be_read() -> None:
    authentication, _, reads = build_rereading_authentication(fails=True)
    for _ in range(3):
        assert (
            identify_caller(authentication, KEYED, b"x")
            is Unavailable.CONFIGURATION_AGE
        )
    assert identify_caller(authentication, KEYED, b"n1") == Caller("north")
    assert len(reads) == 1


@attrs.define
class TenantsJobApi:
    """Job API double in which every job belongs to tenant ``south``."""

    authentication: Authentication
    submitted: list[Submission] = attrs.field(factory=list)

    def get_max_body_bytes(self) -> int:
        return 1_000

    async def find_route(self, host: str, path: str) -> Route | None | Unavailable:
        return self.authentication.routes.find(host, path)

    async def identify(
        self, route: Route, keys: t.Sequence[bytes], job_id: str
    ) -> t.Any:
        return await self.authentication.identify(route, keys, job_id)

    async def submit(self, submission: Submission) -> SubmitResult:
        if not Caller(submission.tenant).may_access("south"):
            return SubmitResult(SubmitOutcome.OTHER_TENANT)
        self.submitted.append(submission)
        return SubmitResult(SubmitOutcome.ACCEPTED)

    async def get_state(self, route: Route, job_id: str, caller: Caller) -> t.Any:
        return JobState.RUNNING if caller.may_access("south") else Denied.OTHER_TENANT

    async def cancel(self, route: Route, job_id: str, caller: Caller) -> t.Any:
        return True if caller.may_access("south") else Denied.OTHER_TENANT

    def count_waiting(self, route: Route) -> int:
        return 3


def call(
    job_api: TenantsJobApi, method: str, path: str, keys: t.Sequence[bytes]
) -> tuple[int, dict[bytes, bytes]]:
    sent: list[dict[str, t.Any]] = []

    async def receive() -> dict[str, t.Any]:
        return {"type": "http.request", "body": BODY}

    async def send(message: dict[str, t.Any]) -> None:
        sent.append(message)

    headers = [(b"host", b"h"), *((b"key", key) for key in keys)]
    scope = {"type": "http", "method": method, "path": path, "headers": headers}
    anyio.run(JobApiApp(t.cast(t.Any, job_api)), scope, receive, send)
    return sent[0]["status"], dict(sent[0]["headers"])


@pytest.mark.parametrize("method", ["POST", "GET", "DELETE"])
@pytest.mark.parametrize(
    ("keys", "status"),
    [
        ([b"s1"], 200),
        ([b"n1"], 403),
        ([b"x"], 401),
        ([], 401),
        ([b""], 401),
        ([b"s1", b"s1"], 401),
        ([b"s" * 10_000], 401),
    ],
)
def test_status_by_key(method: str, keys: list[bytes], status: int) -> None:
    job_api = TenantsJobApi(build_authentication()[0])
    given, headers = call(job_api, method, f"/p/{JOB_ID}", keys)
    assert given == status
    assert (b"www-authenticate" in headers) == (status == 401)
    assert bool(job_api.submitted) == (method == "POST" and status == 200)


@pytest.mark.parametrize("keys", [[], [b""], [b"x"], [b"s1", b"n1"], [b"s" * 10_000]])
def test_public_queue_accepts_any_caller(keys: list[bytes]) -> None:
    job_api = TenantsJobApi(build_authentication()[0])
    assert call(job_api, "POST", f"/o/{JOB_ID}", keys)[0] == 200
    assert job_api.submitted[0].tenant == ""
    assert call(job_api, "GET", "/o/", keys)[0] == 200


def test_submission_holds_the_tenant_but_no_key() -> None:
    job_api = TenantsJobApi(build_authentication()[0])
    call(job_api, "POST", f"/p/{JOB_ID}", [b"s1"])
    assert job_api.submitted[0].tenant == "south"
    assert "s1" not in str(job_api.submitted[0])


def test_node_with_outdated_configuration_answers_with_retry_after() -> None:
    job_api = TenantsJobApi(build_authentication(age_s=9.0)[0])
    status, headers = call(job_api, "GET", f"/p/{JOB_ID}", [b"s1"])
    assert (status, headers[b"retry-after"]) == (503, b"1")


def test_tenants_are_decoded_from_the_configuration() -> None:
    value = orjson.dumps(
        {
            "version": 3,
            "routes": [
                {"name": "r", "host": "h", "path_prefix": "/a/", "service": "s"},
                {
                    "name": "o",
                    "host": "h",
                    "path_prefix": "/o/",
                    "service": "s",
                    "public": True,
                },
            ],
            "tenants": [
                {
                    "name": "north",
                    "api_keys": ["n1", "n2"],
                    "weight": 9,
                    "cap": {"cpu": 428803, "mem_mb": 696835, "gpu": 0},
                },
                {"name": "south"},
            ],
        }
    )
    configuration = registry.decode_configuration(value)
    assert [route.public for route in configuration.routes] == [False, True]
    north, south = configuration.tenants
    assert north.cap == Amount(428803, 696835, NO_LIMIT)
    assert (north.weight, north.key_digests) == (
        9.0,
        (digest_key(b"n1"), digest_key(b"n2")),
    )
    assert (south.key_digests, south.cap.cpu) == ((), NO_LIMIT)
    assert b"n1" not in repr(configuration).encode()


@pytest.mark.parametrize(
    ("contracts", "keyed"), [("base,tenants,quota", True), ("base,config", False)]
)
def test_settings_tell_whether_calls_need_a_key(contracts: str, keyed: bool) -> None:
    text = (
        "node=n\nlisten.front=1.2.3.4:5\nlisten.ready=1.2.3.4:6\n"
        f"platform.address=1.2.3.4:7\ncontracts={contracts}\n"
        "bounds.config_apply_ms=3000\n"
    )
    read = platform_settings.read_settings(text)
    assert (read.keyed, read.limits.configuration_s) == (keyed, 3.0)
