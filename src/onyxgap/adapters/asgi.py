"""The little of ASGI that the HTTP programs share."""

import json
import typing as t

Scope = dict[str, t.Any]
Receive = t.Callable[[], t.Awaitable[dict[str, t.Any]]]
Send = t.Callable[[dict[str, t.Any]], t.Awaitable[None]]
HeaderList = t.Sequence[tuple[str, str]]


class BodyTooLargeError(Exception):
    """A request's body is over the limit."""


class CallerGoneError(Exception):
    """The caller left before its body was complete."""


async def read_body(receive: Receive, limit: int) -> bytes:
    """Read a request's whole body.

    :param receive: ASGI receive.
    :param limit: most bytes.
    :raises BodyTooLargeError: when it is longer.
    :raises CallerGoneError: when the caller left.
    """
    parts = []
    size = 0
    more = True
    while more:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerGoneError
        part = message.get("body", b"")
        size += len(part)
        if size > limit:
            raise BodyTooLargeError
        parts.append(part)
        more = message.get("more_body", False)
    return b"".join(parts)


async def send_answer(
    send: Send, status: int, body: bytes, headers: HeaderList = ()
) -> None:
    """Send a whole answer with its length.

    :param send: ASGI send.
    :param status: HTTP status.
    :param body: the body.
    :param headers: further headers.
    """
    raw = [(name.lower().encode(), value.encode("latin-1")) for name, value in headers]
    raw.append((b"content-length", str(len(body)).encode()))
    await send({"type": "http.response.start", "status": status, "headers": raw})
    await send({"type": "http.response.body", "body": body})


async def send_json(
    send: Send, status: int, value: t.Any, headers: HeaderList = ()
) -> None:
    """Send a JSON answer.

    :param send: ASGI send.
    :param status: HTTP status.
    :param value: JSON value.
    :param headers: further headers.
    """
    kinds = [name.lower() for name, _ in headers]
    if "content-type" not in kinds:
        headers = [*headers, ("Content-Type", "application/json")]
    await send_answer(send, status, json.dumps(value).encode(), headers)
