"""Tests the HTTP front end over TCP: bad requests, problem bodies and health."""

import json
import typing as t

import anyio
import attrs
import h11
import pytest

from onyxgap.adapters.http_front import HttpFront
from onyxgap.adapters.http_server import HttpServer
from onyxgap.request.messages import Answer
from onyxgap.request.messages import CallerRequest
from onyxgap.request.messages import Reason
from onyxgap.settings import Address
from onyxgap.verdict import Verdict


@attrs.define
class FakeHandler:
    """Records requests and returns a given answer after a delay."""

    reply: Answer = Answer(Verdict.RAN, 200, (("content-type", "text/x"),), b"whole")
    requests: list[CallerRequest] = attrs.field(factory=list)
    cancelled: int = 0
    wait_s: float = 0.0

    async def answer(self, request: CallerRequest) -> Answer:
        self.requests.append(request)
        try:
            await anyio.sleep(self.wait_s)
        except BaseException:
            self.cancelled += 1
            raise
        return self.reply

    def is_ready(self) -> bool:
        return False

    def render_metrics(self) -> bytes:
        return b"onyxgap_answers_total 1\n"

    def describe(self) -> dict[str, t.Any]:
        return {"member": "entry-1"}

    def count_answer(self, answer: Answer, service: str, job: str, took: float) -> None:
        """Ignore the answer."""


def build_request_bytes(
    method: str, path: str, body: bytes = b"", headers: t.Sequence[t.Any] = ()
) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", "Host: x", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, "", ""]).encode() + body


def call_front(handler: FakeHandler, data: bytes) -> tuple[int, dict[str, str], bytes]:
    """Send bytes to an HTTP front end and read one answer."""

    async def run() -> t.Any:
        front = HttpFront(handler, handler, lambda: "id-1", max_body_bytes=1000)
        server = HttpServer(front, Address())
        async with anyio.create_task_group() as group:
            address = await group.start(server.run)
            async with await anyio.connect_tcp(address.host, address.port) as stream:
                await stream.send(data)
                answer = await _read_answer(stream)
            group.cancel_scope.cancel()
        return answer

    return t.cast(tuple[int, dict[str, str], bytes], anyio.run(run))


async def _read_answer(stream: t.Any) -> tuple[int, dict[str, str], bytes]:
    reader = h11.Connection(h11.CLIENT)
    reader.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
    reader.send(h11.EndOfMessage())
    status, headers, body = 0, {}, b""
    while True:
        event = reader.next_event()
        if event is h11.NEED_DATA:
            try:
                reader.receive_data(await stream.receive())
            except anyio.EndOfStream:
                reader.receive_data(b"")
        elif isinstance(event, h11.Response):
            status = event.status_code
            headers = {n.decode().lower(): v.decode() for n, v in event.headers}
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        else:
            return status, headers, body


def test_answer_carries_verdict_and_id() -> None:
    handler = FakeHandler()
    headers = [
        ("Idempotency-Key", '"k-1"'),
        ("Traceparent", "00-1"),
        ("Onyxgap-At-Most-Once", "yes"),
    ]
    data = build_request_bytes("POST", "/v1/ring/sell", b"lot", headers)
    status, answer, body = call_front(handler, data)
    assert (status, body) == (200, b"whole")
    assert answer["onyxgap-verdict"] == "ran"
    assert answer["onyxgap-request-id"] == "id-1"
    (request,) = handler.requests
    assert (request.service, request.job, request.body) == ("ring", "sell", b"lot")
    assert (request.key, request.trace, request.strict) == ("k-1", "00-1", True)


def test_refusal_has_problem_body_and_retry_after() -> None:
    refusal = Answer(Verdict.NOT_RUN, 503, reason=Reason.OVERLOADED, retry_after_s=2.2)
    status, answer, body = call_front(
        FakeHandler(reply=refusal), build_request_bytes("POST", "/v1/ring/sell")
    )
    assert (status, answer["retry-after"]) == (503, "3")
    assert answer["content-type"] == "application/problem+json"
    problem = json.loads(body)
    assert problem["verdict"] == "not-run"
    assert problem["type"] == "urn:onyxgap:overloaded"


BAD_REQUESTS = {
    "unknown path": (build_request_bytes("POST", "/v2/ring/sell"), 404),
    "short path": (build_request_bytes("POST", "/v1/ring"), 404),
    "wrong method": (build_request_bytes("GET", "/v1/ring/sell"), 405),
    "large body": (build_request_bytes("POST", "/v1/ring/sell", b"x" * 1001), 413),
    "large headers": (
        build_request_bytes("POST", "/v1/r/s", headers=[("X", "y" * 17_000)]),
        431,
    ),
    "not HTTP": (b"\x16\x03\x01 nonsense\r\n\r\n", 400),
    "bad length": (
        b"POST /v1/r/s HTTP/1.1\r\nHost: x\r\nContent-Length: q\r\n\r\n",
        400,
    ),
}


@pytest.mark.promise("not-run")
@pytest.mark.parametrize(
    "data, expected_status", BAD_REQUESTS.values(), ids=BAD_REQUESTS.keys()
)
def test_bad_request_is_not_handled(data: bytes, expected_status: int) -> None:
    handler = FakeHandler()
    status, answer, _ = call_front(handler, data)
    assert status == expected_status
    assert handler.requests == []
    if expected_status != 400:
        assert answer["onyxgap-verdict"] == "not-run"


def test_health_metrics_and_status() -> None:
    handler = FakeHandler()
    assert call_front(handler, build_request_bytes("GET", "/healthz"))[0] == 200
    assert call_front(handler, build_request_bytes("GET", "/readyz"))[0] == 503
    assert (
        b"onyxgap_answers"
        in call_front(handler, build_request_bytes("GET", "/metrics"))[2]
    )
    body = call_front(handler, build_request_bytes("GET", "/status"))[2]
    assert json.loads(body)["member"] == "entry-1"


def test_disconnect_of_caller_cancels_its_request() -> None:
    async def run() -> int:
        handler = FakeHandler(wait_s=3600)
        front = HttpFront(handler, handler, lambda: "id-1")
        server = HttpServer(front, Address())
        async with anyio.create_task_group() as group:
            address = await group.start(server.run)
            stream = await anyio.connect_tcp(address.host, address.port)
            await stream.send(build_request_bytes("POST", "/v1/ring/sell"))
            while not handler.requests:
                await anyio.sleep(0.01)
            await stream.aclose()
            while not handler.cancelled:
                await anyio.sleep(0.01)
            group.cancel_scope.cancel()
        return handler.cancelled

    assert anyio.run(run) == 1
