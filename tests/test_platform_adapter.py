"""Decoding and encoding of the platform's formats, and rejection of malformed input."""

import base64
import typing as t

import anyio
import attrs
import orjson
import pytest
import structlog.testing
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from onyxgap.daemons.node_process import build_guard
from onyxgap.exceptions import DocumentError
from onyxgap.exceptions import HistoryTruncatedError
from onyxgap.exceptions import PlatformUnavailableError
from onyxgap.jobs.advice import Advice
from onyxgap.jobs.messages import EndKind
from onyxgap.jobs.messages import QueuePolicy
from onyxgap.jobs.messages import WorkerState
from onyxgap.jobs.routing import Route
from onyxgap.jobs.store import Applied
from onyxgap.jobs.store import Batch
from onyxgap.jobs.store import Conflict
from onyxgap.jobs.store import NotApplied
from onyxgap.jobs.store import OutcomeUnknown
from onyxgap.jobs.store import RowId
from onyxgap.jobs.workers import HoldReport
from onyxgap.jobs.workers import ReplyKind
from onyxgap.platform import registry
from onyxgap.platform import settings as platform_settings
from onyxgap.platform.advice import decode_advice
from onyxgap.platform.cloud import PlatformCloudClient
from onyxgap.platform.cloud import decode_vm
from onyxgap.platform.cloud import decode_vm_reply
from onyxgap.platform.http import Answer
from onyxgap.platform.http import CallFailure
from onyxgap.platform.http import Headers
from onyxgap.platform.job_api import JobApiApp
from onyxgap.platform.job_api import decode_submission
from onyxgap.platform.store import PlatformStore
from onyxgap.platform.store import _decode_page
from onyxgap.platform.store import decode_outcome
from onyxgap.platform.store import encode_batch
from onyxgap.platform.workers import decode_reply
from onyxgap.platform.workers import decode_report
from onyxgap.pools.messages import VmReply
from onyxgap.pools.messages import VmState

SETTINGS = """\
node=front-a-1
zone=a
listen.front=10.1.0.9:8624
listen.ready=10.1.0.9:8622
port_range=7060,7075
platform.address=10.200.1.7:8621
cloud.address=10.200.0.107:8621
bounds.max_hold_ms=10000
bounds.lease_ms=3000
bounds.move_s=1.5
control_mode=invoke
a.new.key=7
"""
ROUTE = Route("h", "/p/", QueuePolicy("q", "s"))
JOB_ID = "5c0e7a21d94b36f8"


def answer(status: int, body: t.Any = None) -> Answer:
    return Answer(status, orjson.dumps(body) if body is not None else b"")


@attrs.define
class ScriptedHttp:
    """HTTP client that gives the answers of a list, and the last one again."""

    answers: list[Answer]
    paths: list[str] = attrs.field(factory=list)

    async def call(
        self,
        method: str,
        path: str,
        body: t.Any = None,
        *,
        timeout_s: float,
        headers: Headers = (),
    ) -> Answer:
        await anyio.sleep(0)
        self.paths.append(path)
        return self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]

    async def close(self) -> None:
        pass


async def run_with_timeout(
    call: t.Callable[..., t.Awaitable[object]], *args: str
) -> None:
    with anyio.fail_after(5):
        await call(*args)


def test_settings_are_read_and_unknown_keys_ignored() -> None:
    read = platform_settings.read_settings(SETTINGS)
    assert (read.node, str(read.front)) == ("front-a-1", "10.1.0.9:8624")
    assert read.limits.max_lease_s == 10.0
    assert read.limits.holder_pause_s == 3.0
    assert read.peer_ports == (7060, 7075)


def test_limits_of_the_machine_bound_the_connections_of_a_node() -> None:
    unlimited = platform_settings.read_settings(SETTINGS)
    assert (unlimited.memory_mb, unlimited.max_fds) == (0, 0)
    text = f"{SETTINGS}\nlimits.memory_mb=300\nlimits.max_fds=4100\n"
    limits = build_guard(platform_settings.read_settings(text)).limits
    assert (limits.connections, limits.buffered_bytes) == (1_950, 39_321_600)


def test_negative_limit_of_the_machine_is_a_fault() -> None:
    with pytest.raises(DocumentError, match=r"limits\.max_fds"):
        platform_settings.read_settings(f"{SETTINGS}\nlimits.max_fds=-1\n")


@pytest.mark.parametrize(
    ("old", "new", "path"),
    [
        ("node=front-a-1\n", "", "node"),
        ("listen.front=10.1.0.9:8624", "listen.front=there", "listen.front"),
        ("platform.address=10.200.1.7:8621\n", "", "platform.address"),
        ("bounds.lease_ms=3000", "bounds.lease_ms=soon", "bounds.lease_ms"),
        ("port_range=7060,7075", "port_range=7060", "port_range"),
        ("control_mode=invoke", "control_mode=heartbeat", "control_mode"),
    ],
)
def test_faulty_settings_name_their_key(old: str, new: str, path: str) -> None:
    with pytest.raises(DocumentError) as caught:
        platform_settings.read_settings(SETTINGS.replace(old, new))
    assert path in [fault.path for fault in caught.value.faults]


def test_batch_encodes_conditions_values_and_removals() -> None:
    row = RowId("my", "p7", "owner")
    encoded = encode_batch(Batch({row: 0}, {row: b"node-1"}, (row,)))
    name = {"table": "my", "part": "p7", "key": "owner"}
    assert encoded == {
        "expected": [{**name, "ver": 0}],
        "puts": [{**name, "value": base64.b64encode(b"node-1").decode()}],
        "remove": [name],
    }


@pytest.mark.parametrize(
    ("given_answer", "kind"),
    [
        (answer(200, {"ver": 412, "now_ms": 5}), Applied),
        (answer(412, {"rows": []}), Conflict),
        (answer(503), NotApplied),
        (answer(429), NotApplied),
        (Answer(0, b"", CallFailure.NOT_SENT, "ConnectError"), NotApplied),
        (Answer(0, b"", CallFailure.NO_ANSWER, "ReadTimeout"), OutcomeUnknown),
        (answer(500), OutcomeUnknown),
        (Answer(200, b"no json"), OutcomeUnknown),
    ],
)
def test_write_outcome_says_whether_it_may_be_applied(
    given_answer: Answer, kind: type
) -> None:
    assert isinstance(decode_outcome(given_answer), kind)


def test_failed_reads_raise_typed_errors() -> None:
    with pytest.raises(HistoryTruncatedError):
        _decode_page(answer(410))
    with pytest.raises(PlatformUnavailableError):
        _decode_page(answer(503))
    with pytest.raises(PlatformUnavailableError):
        _decode_page(answer(200, {"rows": [{"table": 1}]}))


@pytest.mark.parametrize(
    "given_answer",
    [
        Answer(200, b"no json"),
        answer(200, []),
        answer(200, {}),
        answer(200, {"parts": None}),
        answer(200, {"parts": "p7"}),
        answer(200, {"parts": [7]}),
        answer(200, {"parts": [None], "has_more": True}),
    ],
)
def test_malformed_list_of_partitions_raises_a_typed_error(
    given_answer: Answer,
) -> None:
    store = PlatformStore(t.cast(t.Any, ScriptedHttp([given_answer])))
    with pytest.raises(PlatformUnavailableError):
        anyio.run(run_with_timeout, store.list_parts, "my")


def test_list_of_partitions_has_those_of_all_pages() -> None:
    pages = [
        answer(200, {"parts": ["a", "b"], "has_more": True}),
        answer(200, {"parts": ["c"], "has_more": False}),
    ]
    http = ScriptedHttp(pages)
    store = PlatformStore(t.cast(t.Any, http))
    assert anyio.run(store.list_parts, "my") == ("a", "b", "c")
    assert http.paths == ["/rows-parts?table=my", "/rows-parts?table=my&after=b"]


@pytest.mark.parametrize(
    ("given_answer", "kind"),
    [
        (answer(200, {"clock_ms": 5}), ReplyKind.DONE),
        (answer(409, {"clock_ms": 5, "reason": "fence"}), ReplyKind.STALE_OWNER),
        (answer(409, {"clock_ms": 5, "reason": "old"}), ReplyKind.STALE_RUN),
        (answer(409, {"clock_ms": 5, "reason": "late"}), ReplyKind.TOO_LATE),
        (answer(409, {"clock_ms": 5, "reason": "room"}), ReplyKind.NO_ROOM),
        (answer(409, {"reason": "new one"}), ReplyKind.NO_ANSWER),
        (answer(421), ReplyKind.OTHER_WORKER),
        (answer(429), ReplyKind.UNHEALTHY),
        (answer(400), ReplyKind.INVALID),
        (answer(502), ReplyKind.NO_ANSWER),
        (Answer(0, b"", CallFailure.NOT_SENT, "x"), ReplyKind.NOT_SENT),
        (Answer(0, b"", CallFailure.NO_ANSWER, "x"), ReplyKind.NO_ANSWER),
    ],
)
def test_worker_replies_are_decoded(given_answer: Answer, kind: ReplyKind) -> None:
    assert decode_reply(given_answer).kind is kind


def test_hold_report_lists_running_and_ended_runs() -> None:
    task = f"{JOB_ID}.0.1.17"
    body = {
        "clock_ms": 482113,
        "running": [[task, 2, "00ab", 41, 12.5]],
        "ended": [[58, f"{JOB_ID}.0.1.9", 1, "done", ""]],
    }
    report = decode_report(answer(200, body))
    assert isinstance(report, HoldReport)
    assert str(report.running[0].task) == task
    assert (report.running[0].percent, report.running[0].measurement) == (41, 12.5)
    assert report.ended[0].kind is EndKind.DONE


@pytest.mark.parametrize(
    "body",
    [
        {},
        {"clock_ms": 1, "running": [["x", 1]]},
        {"clock_ms": 1, "ended": [[1, f"{JOB_ID}.0.0.0", 1, "vanished", ""]]},
        [1, 2],
    ],
)
def test_malformed_report_counts_as_no_answer(body: t.Any) -> None:
    reply = decode_report(answer(200, body))
    assert not isinstance(reply, HoldReport)
    assert reply.kind is ReplyKind.NO_ANSWER


def test_worker_registration_is_decoded() -> None:
    value = orjson.dumps(
        {
            "service": "huvo11a",
            "address": "10.128.0.9:8080",
            "zone": "a",
            "state": "draining",
            "capacity": {"cpu": 16000, "mem_mb": 32768},
            "labels": ["a", "r1-3"],
            "clock_ms": 482113,
        }
    )
    entry = registry.decode_worker("i-7f", value)
    assert entry.state is WorkerState.DRAINING
    assert (entry.cpu, entry.memory_mb, entry.accelerators) == (16000, 32768, 0)


def test_configuration_and_wave_are_decoded() -> None:
    value = orjson.dumps(
        {
            "version": 7,
            "routes": [
                {
                    "name": "r-1",
                    "host": "h",
                    "path_prefix": "/a/",
                    "service": "s",
                    "max_attempts": 3,
                    "stretch": 1.6,
                    "slo_ms": 600,
                }
            ],
            "services": [{"name": "s"}, {"name": "z", "spare": True}],
            "limits": {"max_body_bytes": 1000},
        }
    )
    configuration = registry.decode_configuration(value)
    assert configuration.list_shards() == ("s",)
    assert configuration.find_spare_service() == "z"
    assert configuration.max_body_bytes == 1000
    wave_value = orjson.dumps({"machines": ["m-1"], "duration_s": 20, "cap": 1})
    wave = registry.decode_wave("wave/3", wave_value)
    assert (wave.number, wave.vms, wave.cap) == (3, ("m-1",), 1)
    row, status = registry.encode_wave_status(3, True)
    assert row == RowId("status", "", "wave/3")
    assert orjson.loads(status)["state"] == "succeeded"


@pytest.mark.parametrize("value", [b"", b"[]", b"{}", b'{"version":"x"}'])
def test_malformed_rows_are_rejected(value: bytes) -> None:
    with pytest.raises(DocumentError):
        registry.decode_configuration(value)
    with pytest.raises(DocumentError):
        registry.decode_worker("i-1", value)


def test_vm_and_order_replies_are_decoded() -> None:
    vm = decode_vm({"machine": "m-1", "pool": "s", "state": "moving", "id": None})
    assert (vm.state, vm.worker_id) == (VmState.MOVING, "")
    assert decode_vm_reply(answer(200)) is VmReply.DONE
    assert decode_vm_reply(answer(409, {"reason": "busy"})) is VmReply.BUSY
    assert decode_vm_reply(answer(409, {"reason": "fence"})) is VmReply.STALE_HOLDER
    assert decode_vm_reply(answer(429)) is VmReply.RETRY
    lost = Answer(0, b"", CallFailure.NO_ANSWER, "x")
    assert decode_vm_reply(lost) is VmReply.UNKNOWN


VM = {"machine": "m-1", "pool": "s", "state": "up"}


@pytest.mark.parametrize(
    "given_answer",
    [
        Answer(200),
        Answer(200, b"no json"),
        answer(200, []),
        answer(200, {}),
        answer(200, {"machines": None}),
        answer(200, {"machines": {}}),
        answer(200, {"machines": "m-1"}),
        answer(200, {"machines": [None]}),
    ],
)
def test_malformed_vm_list_is_not_taken_for_an_empty_one(given_answer: Answer) -> None:
    client = PlatformCloudClient(ScriptedHttp([given_answer]))
    with pytest.raises(PlatformUnavailableError):
        anyio.run(client.list_vms)


def test_vm_list_has_the_vms_of_all_pages() -> None:
    other = {**VM, "machine": "m-2"}
    pages = [
        answer(200, {"machines": [VM], "next_token": "a b"}),
        answer(200, {"machines": [other], "next_token": None}),
    ]
    http = ScriptedHttp(pages)
    vms = anyio.run(PlatformCloudClient(http).list_vms)
    assert [vm.name for vm in vms] == ["m-1", "m-2"]
    assert http.paths == ["/machines", "/machines?page_token=a+b"]


def test_repeated_page_token_does_not_list_vms_forever() -> None:
    page = answer(200, {"machines": [VM], "next_token": "t"})
    client = PlatformCloudClient(ScriptedHttp([page]))
    with pytest.raises(PlatformUnavailableError):
        anyio.run(run_with_timeout, client.list_vms)


@pytest.mark.parametrize(
    "given_answer",
    [
        answer(503),
        Answer(200, b"no json"),
        answer(200, []),
        answer(200, {"valid_ms": 3000}),
        answer(200, {"good": None, "valid_ms": 3000}),
        answer(200, {"good": {}, "valid_ms": 3000}),
        answer(200, {"good": [["i-1"]], "valid_ms": 3000}),
        answer(200, {"good": [["i-1", "ticket"]]}),
        answer(200, {"good": [["i-1", "ticket"]], "valid_ms": None}),
    ],
)
def test_malformed_advice_is_not_taken_for_one_without_tickets(
    given_answer: Answer,
) -> None:
    assert decode_advice(given_answer) is None


def test_advice_without_tickets_is_decoded() -> None:
    body = {"good": [], "valid_ms": 3000}
    assert decode_advice(answer(200, body)) == Advice({}, 3.0)


def test_submission_is_decoded() -> None:
    body = orjson.dumps(
        {
            "spec": "s",
            "steps": [
                {"count": 4, "cpu": 500, "mem_mb": 256, "affinity": "r1-3"},
                {"count": 2, "after": [0], "checkpointing": True, "may_miss": 1},
            ],
        }
    )
    submission = decode_submission(body, JOB_ID, ROUTE)
    assert submission.steps[0].memory_mb == 256
    assert submission.steps[1].after == (0,)
    assert submission.steps[1].checkpointing


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b'{"spec":"s"}',
        b'{"spec":"s","steps":[]}',
        b'{"spec":7,"steps":[{"count":1}]}',
        b'{"spec":"s","steps":[{"count":0}]}',
        b'{"spec":"s","steps":[{"count":100000}]}',
        b'{"spec":"s","steps":[{"count":true}]}',
        b'{"spec":"s","steps":[{"cpu":1}]}',
        b'{"spec":"s","steps":[{"count":1,"after":[0]}]}',
        b'{"spec":"s","steps":[{"count":1,"after":[1]},{"count":1}]}',
        b'{"spec":"s","steps":[{"count":1,"cpu":-1}]}',
        b'{"spec":"s","steps":[{"count":1,"after":7}]}',
    ],
)
def test_invalid_submissions_are_rejected(body: bytes) -> None:
    with pytest.raises(DocumentError):
        decode_submission(body, JOB_ID, ROUTE)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["spec", "steps", "count", "after", "times", "cpu"]),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(JSON)
def test_any_body_is_accepted_whole_or_refused(value: t.Any) -> None:
    try:
        body = orjson.dumps(value)
    except (TypeError, ValueError):
        return
    try:
        submission = decode_submission(body, JOB_ID, ROUTE)
    except DocumentError:
        return
    assert submission.steps
    assert all(step.count >= 1 for step in submission.steps)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=60))
def test_any_bytes_of_a_worker_are_survived(body: bytes) -> None:
    reply = decode_report(Answer(200, body))
    assert isinstance(reply, HoldReport) or reply.kind is ReplyKind.NO_ANSWER


class FailingJobApi:
    """A job API whose route look-up raises an error."""

    def get_max_body_bytes(self) -> int:
        return 100

    async def find_route(self, host: str, path: str) -> t.NoReturn:
        raise RuntimeError("fault of the job API")


def test_exception_during_a_request_is_logged_with_its_path() -> None:
    async def receive() -> dict[str, t.Any]:
        return {"type": "http.request", "body": b""}

    async def send(message: dict[str, t.Any]) -> None:
        raise AssertionError(message)

    app = JobApiApp(t.cast(t.Any, FailingJobApi()))
    scope = {"type": "http", "method": "GET", "path": "/q/1", "headers": []}
    with structlog.testing.capture_logs() as lines, pytest.raises(RuntimeError):
        anyio.run(app, scope, receive, send)
    assert [(line["event"], line["path"]) for line in lines] == [
        ("request failed", "/q/1")
    ]
