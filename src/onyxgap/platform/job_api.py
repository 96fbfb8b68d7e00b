"""ASGI applications: the job API for callers, and readiness probes and metrics."""

import typing as t

import attrs
import orjson
import structlog

from ..adapters.asgi import BodyTooLargeError
from ..adapters.asgi import CallerDisconnectedError
from ..adapters.asgi import HeaderList
from ..adapters.asgi import Receive
from ..adapters.asgi import Scope
from ..adapters.asgi import Send
from ..adapters.asgi import read_body
from ..adapters.asgi import send_answer
from ..exceptions import DocumentError
from ..exceptions import Fault
from ..jobs.desk import Denied
from ..jobs.desk import JobApi
from ..jobs.desk import SubmitOutcome
from ..jobs.desk import SubmitResult
from ..jobs.desk import Unavailable
from ..jobs.messages import JOB_ID_PATTERN
from ..jobs.messages import Step
from ..jobs.messages import Submission
from ..jobs.routing import Route
from ..jobs.submissions import MAX_INTEGER
from ..jobs.submissions import check_submission
from ..jobs.tenants import ANONYMOUS
from ..jobs.tenants import Caller
from ..jobs.tenants import KeyRejection

READY_PATH = "/readyz"
_KEY_HEADER = b"key"
_CHALLENGE = ("WWW-Authenticate", "Key")
_JSON = ("Content-Type", "application/json")
_PROBLEM = ("Content-Type", "application/problem+json")
_LOG = structlog.get_logger()

# Key in the submitted JSON: field of Step and the type that the value must have.
_STEP_FIELDS: t.Mapping[str, tuple[str, type]] = {
    "count": ("count", int),
    "cpu": ("cpu", int),
    "mem_mb": ("memory_mb", int),
    "gpu": ("accelerators", int),
    "estimate_ms": ("estimate_ms", int),
    "checkpointing": ("checkpointing", bool),
    "gang": ("gang", bool),
    "same_rack": ("same_rack", bool),
    "requires": ("requires", str),
    "affinity": ("affinity", str),
    "anti_affinity": ("anti_affinity", int),
    "speculative": ("speculative", bool),
    "long_running": ("long_running", bool),
    "image": ("image", str),
    "target_ms": ("target_ms", int),
    "fills": ("fills", bool),
    "may_miss": ("may_miss", int),
}

_SUBMIT_STATUS: t.Mapping[SubmitOutcome, int] = {
    SubmitOutcome.ACCEPTED: 200,
    SubmitOutcome.OTHER_REQUEST: 409,
    SubmitOutcome.CANCELLED: 409,
    SubmitOutcome.OTHER_TENANT: 403,
    SubmitOutcome.ABOVE_CAP: 400,
    SubmitOutcome.TOO_LARGE: 400,
    SubmitOutcome.OVERLOADED: 429,
    SubmitOutcome.REFUSED: 503,
    SubmitOutcome.UNKNOWN: 504,
}


def _fail(path: str, reason: str) -> t.NoReturn:
    raise DocumentError([Fault(path, reason)])


def _check_type(path: str, value: t.Any, kind: type) -> t.Any:
    if kind is int:
        return _check_integer(path, value)
    if not isinstance(value, kind):
        _fail(path, f"expected {kind.__name__}")
    return value


def _check_integer(path: str, value: t.Any) -> int:
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if not isinstance(value, int) or isinstance(value, bool):
        _fail(path, "expected int")
    if abs(value) > MAX_INTEGER:
        _fail(path, f"beyond {MAX_INTEGER}")
    return value


def _decode_step(number: int, raw: t.Any) -> Step:
    path = f"$.steps[{number}]"
    if not isinstance(raw, dict):
        _fail(path, "expected an object")
    after = raw.get("after") or []
    if not isinstance(after, list):
        _fail(f"{path}.after", "expected an array")
    fields: dict[str, t.Any] = {
        "after": tuple(_check_type(f"{path}.after", item, int) for item in after)
    }
    for name, (field, kind) in _STEP_FIELDS.items():
        if name in raw:
            fields[field] = _check_type(f"{path}.{name}", raw[name], kind)
    if "count" not in fields:
        _fail(f"{path}.count", "required key is missing")
    return Step(**fields)


def decode_submission(
    body: bytes, job_id: str, route: Route, caller: Caller = ANONYMOUS
) -> Submission:
    """Decode and check a submitted job.

    :param body: body of the request, as JSON.
    :param job_id: job ID from the request's path.
    :param route: route of the queue.
    :param caller: the caller that submits the job.
    :raises DocumentError: when the job is malformed or invalid.
    """
    try:
        raw = orjson.loads(body)
    except ValueError as error:
        _fail("$", f"not JSON: {error}")
    if not isinstance(raw, dict):
        _fail("$", "expected an object")
    steps = raw.get("steps")
    if not isinstance(steps, list):
        _fail("$.steps", "expected an array")
    submission = Submission(
        job_id=job_id,
        policy=route.policy,
        spec=_check_type("$.spec", raw.get("spec", ""), str),
        steps=tuple(_decode_step(number, step) for number, step in enumerate(steps)),
        times=_check_type("$.times", raw.get("times", 0), int),
        start_at_ms=_check_type("$.start_at_ms", raw.get("start_at_ms", 0), int),
        interval_ms=_check_type("$.interval_ms", raw.get("interval_ms", 0), int),
        tenant=caller.tenant,
        endpoint=route.endpoint,
    )
    return check_submission(submission)


@attrs.frozen(slots=True)
class _Request:
    """A request to a queue; ``suffix`` is the path after the route's prefix."""

    method: str
    route: Route
    suffix: str
    body: bytes
    caller: Caller


async def _send_problem(
    send: Send, status: int, reason: str, headers: HeaderList = ()
) -> None:
    body = orjson.dumps({"status": status, "title": reason})
    await send_answer(send, status, body, [_PROBLEM, *headers])


async def _send_unavailable(send: Send, reason: Unavailable) -> None:
    await _send_problem(send, 503, reason.value, [("Retry-After", "1")])


@attrs.define
class JobApiApp:
    """ASGI application of the job API.

    :param job_api: carries out the calls.
    :param closing: whether each answer tells the caller to close its connection.
    """

    job_api: JobApi
    closing: bool = False

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request; an exception is logged, and the server sends 500."""
        if scope["type"] != "http":
            return
        try:
            await self._handle(scope, receive, send)
        except Exception:
            _LOG.exception("request failed", method=scope["method"], path=scope["path"])
            raise

    async def _handle(self, scope: Scope, receive: Receive, send: Send) -> None:
        if self.closing:
            send = _add_connection_close(send)
        host = ""
        keys = []
        for name, value in scope["headers"]:
            if name == b"host":
                host = value.decode("latin-1")
            elif name == _KEY_HEADER:
                keys.append(value)
        path = scope["path"]
        try:
            body = await read_body(receive, self.job_api.get_max_body_bytes())
        except BodyTooLargeError:
            await _send_problem(send, 413, "body too large")
            return
        except CallerDisconnectedError:
            return
        route = await self.job_api.find_route(host, path)
        if isinstance(route, Unavailable):
            await _send_unavailable(send, route)
            return
        if route is None:
            await _send_problem(send, 404, "no such queue")
            return
        suffix = path[len(route.prefix) :]
        caller = await self.job_api.identify(route, keys, suffix)
        if isinstance(caller, KeyRejection):
            await _send_problem(send, 401, caller.value, [_CHALLENGE])
            return
        if isinstance(caller, Unavailable):
            await _send_unavailable(send, caller)
            return
        await self._dispatch(
            _Request(scope["method"], route, suffix, body, caller), send
        )

    async def _dispatch(self, request: _Request, send: Send) -> None:
        if not request.suffix and request.method == "GET":
            await self._get_waiting_count(request, send)
            return
        if not JOB_ID_PATTERN.fullmatch(request.suffix):
            await _send_problem(send, 404, "a job's id has 16 hexadecimal digits")
            return
        handler = {
            "POST": self._submit,
            "GET": self._get_state,
            "DELETE": self._cancel,
        }.get(request.method)
        if handler is None:
            await _send_problem(send, 405, "unknown method")
            return
        await handler(request, send)

    async def _submit(self, request: _Request, send: Send) -> None:
        try:
            submission = decode_submission(
                request.body, request.suffix, request.route, request.caller
            )
        except DocumentError as error:
            await _send_problem(send, 400, str(error))
            return
        result = await self.job_api.submit(submission)
        await self._send_result(result, send)

    @staticmethod
    async def _send_result(result: SubmitResult, send: Send) -> None:
        status = _SUBMIT_STATUS[result.outcome]
        if result.outcome is SubmitOutcome.ACCEPTED:
            await send_answer(send, status, b"{}", [_JSON])
            return
        headers = []
        if result.outcome in (SubmitOutcome.REFUSED, SubmitOutcome.OVERLOADED):
            headers.append(("Retry-After", str(result.retry_after_s)))
        await _send_problem(send, status, result.reason, headers)

    async def _get_state(self, request: _Request, send: Send) -> None:
        state = await self.job_api.get_state(
            request.route, request.suffix, request.caller
        )
        if isinstance(state, Unavailable):
            await _send_unavailable(send, state)
        elif isinstance(state, Denied):
            await _send_problem(send, 403, state.value)
        elif state is None:
            await _send_problem(send, 410, "no such job")
        else:
            body = orjson.dumps({"state": state.value})
            await send_answer(send, 200, body, [_JSON])

    async def _cancel(self, request: _Request, send: Send) -> None:
        cancelled = await self.job_api.cancel(
            request.route, request.suffix, request.caller
        )
        if isinstance(cancelled, Unavailable):
            await _send_unavailable(send, cancelled)
        elif isinstance(cancelled, Denied):
            await _send_problem(send, 403, cancelled.value)
        elif cancelled:
            await send_answer(send, 200, b"{}", [_JSON])
        else:
            await _send_problem(send, 410, "no such job")

    async def _get_waiting_count(self, request: _Request, send: Send) -> None:
        count = self.job_api.count_waiting(request.route)
        if isinstance(count, Unavailable):
            await _send_unavailable(send, count)
            return
        await send_answer(send, 200, orjson.dumps({"waiting": count}), [_JSON])


def _add_connection_close(send: Send) -> Send:
    async def send_with_close(message: dict[str, t.Any]) -> None:
        if message["type"] == "http.response.start":
            headers = [*message["headers"], (b"connection", b"close")]
            message = {**message, "headers": headers}
        await send(message)

    return send_with_close


@attrs.define
class ProbeApp:
    """ASGI application for readiness probes and metrics.

    :param job_api: tells whether the node is ready.
    :param render: renders the metrics as the body of an answer.
    """

    job_api: JobApi
    render: t.Callable[[], bytes]

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer a readiness probe or a request for the metrics."""
        if scope["type"] != "http":
            return
        if scope["path"] == READY_PATH:
            status = 200 if self.job_api.is_ready() else 503
            await send_answer(send, status, b"")
        elif scope["path"] == "/metrics":
            await send_answer(send, 200, self.render())
        else:
            await send_answer(send, 404, b"")
