"""ASGI helpers: types, reading of request bodies and sending of answers."""

import json
import typing as t

Scope = dict[str, t.Any]
Receive = t.Callable[[], t.Awaitable[dict[str, t.Any]]]
Send = t.Callable[[dict[str, t.Any]], t.Awaitable[None]]
HeaderList = t.Sequence[tuple[str, str]]


class BodyTooLargeError(Exception):
    """A request body exceeds the size limit."""


class CallerDisconnectedError(Exception):
    """The caller disconnected before its request body was complete."""


async def read_body(receive: Receive, limit: int) -> bytes:
    """Read a complete request body.

    :param receive: ASGI receive callable.
    :param limit: maximum size in bytes.
    :raises BodyTooLargeError: when the body is larger than ``limit``.
    :raises CallerDisconnectedError: when the caller disconnects.
    """
    parts = []
    size = 0
    more = True
    while more:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerDisconnectedError
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
    """Send a complete answer with its ``Content-Length``.

    :param send: ASGI send callable.
    :param status: HTTP status.
    :param body: the complete body.
    :param headers: additional headers.
    """
    raw = [(name.lower().encode(), value.encode("latin-1")) for name, value in headers]
    raw.append((b"content-length", str(len(body)).encode()))
    await send({"type": "http.response.start", "status": status, "headers": raw})
    await send({"type": "http.response.body", "body": body})


async def send_json(
    send: Send, status: int, value: t.Any, headers: HeaderList = ()
) -> None:
    """Send a JSON answer, as ``application/json`` unless a ``Content-Type`` is given.

    :param send: ASGI send callable.
    :param status: HTTP status.
    :param value: value to encode as JSON.
    :param headers: additional headers.
    """
    kinds = [name.lower() for name, _ in headers]
    if "content-type" not in kinds:
        headers = [*headers, ("Content-Type", "application/json")]
    await send_answer(send, status, json.dumps(value).encode(), headers)
