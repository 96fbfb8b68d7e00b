"""A small HTTP/1.1 server and client on asyncio streams, for the stand-ins."""

import asyncio
import json
import urllib.parse


class Request:
    """A received request."""

    def __init__(self, method, target, headers, body):
        self.method = method
        path, _, query = target.partition("?")
        self.path = path
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.headers = headers
        self.raw = body

    def json(self):
        return json.loads(self.raw) if self.raw else {}


async def read_message(reader):
    """Read a start line, headers and body; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", 0) or 0)
    if length:
        try:
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                break
    return lines[0], headers, body


class Server:
    """Serves a handler; the handler returns (status, value), or None for no answer."""

    def __init__(self, handler):
        self.handler = handler
        self.writers = set()
        self.server = None

    async def listen(self, host, port):
        self.server = await asyncio.start_server(self._serve, host, port, backlog=512)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                answer = await self.handler(Request(method, target, headers, body))
                if answer is None:
                    await asyncio.sleep(30)
                    return
                status, value = answer
                content = json.dumps(value).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(content)) + content
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def crash(self):
        """Stop listening and reset all connections, as a killed process does."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def call(host, port, method, path, headers=(), body=None, timeout=3.0):
    """Make one call on a connection of its own; (0, {}) without an answer."""

    async def run():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            content = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            lines += [f"Content-Length: {len(content)}", "Connection: close", "", ""]
            writer.write("\r\n".join(lines).encode() + content)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return 0, {}
            line, _, raw = message
            try:
                value = json.loads(raw) if raw else {}
            except ValueError:
                value = {}
            return int(line.split(" ")[1]), value
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.TimeoutError):
        return 0, {}
