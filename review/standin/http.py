"""A small HTTP/1.1 server and client on asyncio streams."""

import asyncio
import json
import urllib.parse

RESET = object()
"""Answer of a handler that resets the channel."""
SILENT = object()
"""Answer of a handler that never answers."""
_REASONS = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}


class Request:
    """A request as a handler sees it."""

    def __init__(self, method, target, headers, body):
        path, _, query = target.partition("?")
        self.method, self.path, self.headers = method, path, headers
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.body = body

    def json(self):
        """Decode the body."""
        return json.loads(self.body) if self.body else {}


async def _read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


class Server:
    """Serves one handler on one address until it is closed."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()

    async def start(self, host, port):
        """Listen; raises OSError where the address is taken."""
        self.server = await asyncio.start_server(
            self._serve, host, port, limit=4 * 2**20, backlog=512
        )

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await _read_message(reader)
                method, target, _ = first.split(" ", 2)
                answer = await self.handler(Request(method, target, headers, body))
                if answer is RESET:
                    writer.transport.abort()
                    return
                if answer is SILENT:
                    await reader.read()
                    return
                status, value = answer
                content = json.dumps(value).encode()
                reason = _REASONS.get(status, "Status")
                writer.write(
                    f"HTTP/1.1 {status} {reason}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        """Stop listening and close all channels."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def call(address, method, path, body=None, headers=(), timeout_s=3.0):
    """Make one call over a new channel.

    Returns the status and the decoded body, or 0 and the reason of the failure.
    """
    host, port = address
    content = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body is not None:
        lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(content)}")
    raw = "\r\n".join([*lines, "", ""]).encode() + content
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(raw)
            first, _, answer = await _read_message(reader)
        status = int(first.split(" ")[1])
        return status, json.loads(answer) if answer else {}
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError) as error:
        return 0, type(error).__name__
    finally:
        if writer is not None:
            writer.close()
