"""ASGI application of an entry process: requests, health, metrics and status."""

import http
import json
import math
import typing as t

import anyio
import attrs
import structlog

from .. import defaults
from ..request.messages import KEY_HEADER
from ..request.messages import REASON_HEADER
from ..request.messages import REQUEST_ID_HEADER
from ..request.messages import TRACE_HEADER
from ..request.messages import VERDICT_HEADER
from ..request.messages import Answer
from ..request.messages import CallerRequest
from ..request.messages import Reason
from ..verdict import Verdict
from .asgi import BodyTooLargeError
from .asgi import CallerDisconnectedError
from .asgi import HeaderList
from .asgi import Receive
from .asgi import Scope
from .asgi import Send
from .asgi import read_body
from .asgi import send_answer
from .asgi import send_json

AT_MOST_ONCE_HEADER = "onyxgap-at-most-once"
PATH_PARTS = 3
API_VERSION = "v1"
PROBLEM_MEDIA_TYPE = "application/problem+json"
_LOG = structlog.get_logger()


_REFUSAL_REASONS: t.Mapping[int, Reason] = {
    400: Reason.BAD_REQUEST,
    408: Reason.BAD_REQUEST,
    413: Reason.TOO_LARGE,
    414: Reason.TOO_LARGE,
    431: Reason.TOO_LARGE,
    503: Reason.OVERLOADED,
}


class Handler(t.Protocol):
    """Answers requests of callers."""

    async def answer(self, request: CallerRequest) -> Answer:
        """Run one request and return its final answer."""


class Monitoring(t.Protocol):
    """Readiness, metrics and status of the process."""

    def is_ready(self) -> bool:
        """Tell whether the load balancer may route requests here."""

    def render_metrics(self) -> bytes:
        """Render metrics in the Prometheus text format."""

    def describe(self) -> dict[str, t.Any]:
        """Return the status of the process as a JSON object."""

    def count_answer(self, answer: Answer, service: str, job: str, took: float) -> None:
        """Record an answered request in the metrics.

        :param answer: its final answer.
        :param service: its service, or empty if the request could not be read.
        :param job: its job, or empty if the request could not be read.
        :param took: seconds from its arrival to its answer.
        """


@attrs.define
class HttpFront:
    """ASGI application of an entry process.

    :param handler: answers the requests.
    :param reports: readiness, metrics and status of the process.
    :param make_request_id: returns a new unique request ID.
    :param max_body_bytes: maximum size of a request body, in bytes.
    """

    handler: Handler
    reports: Monitoring
    make_request_id: t.Callable[[], str]
    max_body_bytes: int = defaults.MAX_BODY_BYTES

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        if scope["type"] != "http":
            return
        route = _ROUTES.get((scope["method"], scope["path"]))
        if route is not None:
            await route(self, send)
        else:
            await self._serve_request(scope, receive, send)

    async def _serve_request(self, scope: Scope, receive: Receive, send: Send) -> None:
        started = anyio.current_time()
        request_id = self.make_request_id()
        try:
            request = await self._read_request(scope, receive, request_id)
        except CallerDisconnectedError:
            return
        if isinstance(request, Answer):
            answer, service, job = request, "", ""
        else:
            service, job = request.service, request.job
            answered = await self._answer_unless_disconnected(request, receive)
            if answered is None:
                _LOG.info("caller-gone", request=request_id, service=service, job=job)
                return
            answer = answered
        took = anyio.current_time() - started
        self.reports.count_answer(answer, service, job, took)
        _log_answer(request_id, answer, service, job, took)
        await _send_final_answer(send, request_id, answer)

    async def _read_request(
        self, scope: Scope, receive: Receive, request_id: str
    ) -> CallerRequest | Answer:
        parts = scope["path"].strip("/").split("/")
        if len(parts) != PATH_PARTS or parts[0] != API_VERSION:
            return Answer(Verdict.NOT_RUN, 404, reason=Reason.UNKNOWN_SERVICE)
        if scope["method"] != "POST":
            return Answer(Verdict.NOT_RUN, 405, reason=Reason.BAD_REQUEST)
        if sum(len(name) + len(value) for name, value in scope["headers"]) > (
            defaults.MAX_HEADER_BYTES
        ):
            return Answer(Verdict.NOT_RUN, 431, reason=Reason.TOO_LARGE)
        try:
            body = await read_body(receive, self.max_body_bytes)
        except BodyTooLargeError:
            return Answer(Verdict.NOT_RUN, 413, reason=Reason.TOO_LARGE)
        headers = {
            name.decode(): text.decode("latin-1") for name, text in scope["headers"]
        }
        return CallerRequest(
            request_id=request_id,
            service=parts[1],
            job=parts[2],
            body=body,
            key=_unquote_key(headers.get(KEY_HEADER.lower())),
            content_type=headers.get("content-type", "application/octet-stream"),
            trace=headers.get(TRACE_HEADER.lower(), ""),
            strict=headers.get(AT_MOST_ONCE_HEADER, "").lower() == "yes",
        )

    async def _answer_unless_disconnected(
        self, request: CallerRequest, receive: Receive
    ) -> Answer | None:
        answers: list[Answer] = []
        async with anyio.create_task_group() as group:

            async def watch_for_disconnect() -> None:
                while (await receive())["type"] != "http.disconnect":
                    pass
                group.cancel_scope.cancel()

            group.start_soon(watch_for_disconnect)
            answers.append(await self.handler.answer(request))
            group.cancel_scope.cancel()
        return answers[0] if answers else None

    async def _serve_live(self, send: Send) -> None:
        await send_json(send, 200, {"live": True})

    async def _serve_ready(self, send: Send) -> None:
        ready = self.reports.is_ready()
        await send_json(send, 200 if ready else 503, {"ready": ready})

    async def _serve_metrics(self, send: Send) -> None:
        headers = [("Content-Type", "text/plain; version=0.0.4")]
        await send_answer(send, 200, self.reports.render_metrics(), headers)

    async def _serve_status(self, send: Send) -> None:
        await send_json(send, 200, self.reports.describe())


_ROUTES: dict[tuple[str, str], t.Callable[[HttpFront, Send], t.Awaitable[None]]] = {
    ("GET", "/healthz"): HttpFront._serve_live,
    ("GET", "/readyz"): HttpFront._serve_ready,
    ("GET", "/metrics"): HttpFront._serve_metrics,
    ("GET", "/status"): HttpFront._serve_status,
}


def _unquote_key(key: str | None) -> str | None:
    # the Idempotency-Key draft defines the value as a quoted string; many
    # callers send it without quotes
    if key is not None and len(key) > 1 and key[0] == key[-1] == '"':
        return key[1:-1]
    return key


def _log_answer(
    request_id: str, answer: Answer, service: str, job: str, took: float
) -> None:
    _LOG.info(
        "answered",
        request=request_id,
        service=service,
        job=job,
        verdict=answer.verdict.value,
        status=answer.status,
        reason=answer.reason.value if answer.reason else None,
        vm=answer.vm or None,
        took_ms=round(took * 1000, 3),
    )


def list_refusal_headers(request_id: str, status: int) -> HeaderList:
    """List the headers of the answer to a request that the server refuses unread.

    :param request_id: a new unique request ID.
    :param status: status of the answer.
    """
    return [
        (REQUEST_ID_HEADER, request_id),
        (VERDICT_HEADER, Verdict.NOT_RUN.value),
        (REASON_HEADER, _REFUSAL_REASONS[status].value),
    ]


async def _send_final_answer(send: Send, request_id: str, answer: Answer) -> None:
    headers = [
        (REQUEST_ID_HEADER, request_id),
        (VERDICT_HEADER, answer.verdict.value),
    ]
    if answer.retry_after_s is not None:
        seconds = max(defaults.MIN_RETRY_AFTER_S, math.ceil(answer.retry_after_s))
        headers.append(("Retry-After", str(seconds)))
    if answer.reason is None:
        await send_answer(send, answer.status, answer.body, [*headers, *answer.headers])
        return
    headers.append((REASON_HEADER, answer.reason.value))
    headers.append(("Content-Type", PROBLEM_MEDIA_TYPE))
    problem = {
        "type": f"urn:onyxgap:{answer.reason.value}",
        "title": http.HTTPStatus(answer.status).phrase,
        "status": answer.status,
        "verdict": answer.verdict.value,
        "request_id": request_id,
    }
    await send_answer(send, answer.status, json.dumps(problem).encode(), headers)
