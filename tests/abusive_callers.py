"""Callers outside the limits, a node under test, and the resources that it uses."""

import contextlib
import itertools
import pathlib
import socket
import subprocess
import sys
import threading
import time
import typing as t

import anyio
import anyio.from_thread
import attrs
import httpcore
import orjson

from onyxgap.jobs.store import RowId
from onyxgap.standins.emulator.rows import OPERATOR_TABLE
from tests.ports import find_port
from tests.soak_platform import Platform

HOST = "emulator"
QUEUE_PREFIX = "/ring/"
PATHS = {"ready": b"/readyz", "metrics": b"/metrics"}
MEMORY_MB = 128
"""Memory of the machine in the settings: an idle node needs about 50 MB of it."""
MAX_FDS = 500
"""Descriptors of the machine in the settings."""
FILE_FDS = 200
"""Descriptors that are reserved for files; sockets and pipes share the others."""
CALLERS = 8
CALLER_BYTES = 32 * 2**20
"""Most that one caller sends."""
PIECE_BYTES = 64 * 2**10
SOCKETS_PER_CALLER = 50
SLOW_BYTES = 5
SLOW_BYTE_PAUSE_S = 0.25
BODY_BYTES = 250_000
"""Below the limit on a body of a configuration that names none."""
STALL_S = 3.0
"""Time without progress after which a caller ends."""
OPENING_S = 0.2
"""Time for the first bytes on one of many connections."""
CROWD_S = 30.0
"""Time after which callers end in any case."""
SAMPLE_S = 0.02
CALL_S = 5.0
WAIT_S = 60.0
"""Time after which a wait is given up that cannot succeed."""
MAX_TEST_RSS_MB = 2 * MEMORY_MB
"""Resident memory at which the callers end: the bound is long passed."""


@attrs.frozen
class Abuse:
    """What one caller sends on its connection: a start, then a piece again and again.

    :param start: first bytes, with ``{path}`` for the path of a listener.
    :param piece: bytes that are repeated.
    """

    start: bytes
    piece: bytes

    def build(self, path: bytes) -> tuple[bytes, bytes]:
        """Build the first bytes, and a piece of about :data:`PIECE_BYTES`."""
        piece = self.piece.replace(b"{path}", path)
        count = max(1, PIECE_BYTES // len(piece))
        return self.start.replace(b"{path}", path), piece * count


_POST = b"POST {path} HTTP/1.1\r\nHost: emulator\r\n"
_CHUNKED = _POST + b"Transfer-Encoding: chunked\r\n\r\n"
_TRAILERS = _CHUNKED + b"2\r\n{}\r\n0\r\n"

ABUSES: t.Mapping[str, Abuse] = {
    "header-lines": Abuse(b"GET {path} HTTP/1.1\r\n", b"x-head: 0123456789\r\n"),
    "header-line": Abuse(b"GET {path} HTTP/1.1\r\nx-head: ", b"0123456789abcdef"),
    "path": Abuse(b"GET {path}/", b"0123456789abcdef"),
    "trailer-lines": Abuse(_TRAILERS, b"x-tail: 0123456789\r\n"),
    "trailer-line": Abuse(_TRAILERS + b"x-tail: ", b"0123456789abcdef"),
    "empty-lines": Abuse(b"", b"\r\n"),
    "requests-ahead": Abuse(b"", b"GET {path} HTTP/1.1\r\nHost: emulator\r\n\r\n"),
    "chunk-extension": Abuse(_CHUNKED + b"2;name=", b"0123456789abcdef"),
    "body": Abuse(
        _POST + b"Content-Length: 1000000000000\r\n\r\n", b"0123456789abcdef"
    ),
    "chunks": Abuse(_CHUNKED, b"10\r\n0123456789abcdef\r\n"),
    "body-above-its-length": Abuse(
        _POST + b"Content-Length: 2\r\n\r\n{}", b"0123456789abcdef"
    ),
}

OPENINGS: t.Mapping[str, bytes] = {
    "idle": b"",
    "head": b"GET {path} HTTP/1.1\r\nx-slow: ",
    "body": b"".join(
        [
            _POST,
            b"Content-Length: %d\r\n\r\n" % (BODY_BYTES + SOCKETS_PER_CALLER),
            b"0" * BODY_BYTES,
        ]
    ),
}
"""What callers that leave many connections open send first on each of them."""


@attrs.frozen
class Usage:
    """Resources of a process.

    :param peak_mb: highest resident memory so far, in MB.
    :param rss_mb: resident memory, in MB.
    :param channels: open sockets and pipes.
    :param descriptors: open descriptors.
    """

    peak_mb: float
    rss_mb: float
    channels: int
    descriptors: int


def read_usage(pid: int) -> Usage:
    """Read the resources of a process that runs."""
    folder = pathlib.Path(f"/proc/{pid}")
    fields = {}
    for line in (folder / "status").read_text().splitlines():
        name, _, value = line.partition(":")
        fields[name] = value.split()
    kinds = []
    for entry in (folder / "fd").iterdir():
        with contextlib.suppress(FileNotFoundError):
            kinds.append(str(entry.readlink()).partition(":")[0])
    return Usage(
        int(fields["VmHWM"][0]) / 1024,
        int(fields["VmRSS"][0]) / 1024,
        sum(kind in ("socket", "pipe") for kind in kinds),
        len(kinds),
    )


class PlatformThread:
    """The platform of one node: a store, a VM and its worker, in a thread."""

    def __init__(self) -> None:
        self._portal_context = anyio.from_thread.start_blocking_portal()
        self._portal = self._portal_context.__enter__()
        self._stopped = threading.Event()
        self._future, self.address = self._portal.start_task(self._serve)

    async def _serve(self, *, task_status: t.Any) -> None:
        async with anyio.create_task_group() as group:
            platform = Platform(group)
            configuration = {
                "version": 1,
                "pools": {"ring": True},
                "routes": {QUEUE_PREFIX: "ring"},
                "tenants": [],
            }
            row = RowId(OPERATOR_TABLE, "", "configuration")
            platform.store.put(row, orjson.dumps(configuration))
            await platform.start(group)
            task_status.started(platform.address)
            await anyio.to_thread.run_sync(self._stopped.wait)
            group.cancel_scope.cancel()

    def close(self) -> None:
        """Stop the platform."""
        self._stopped.set()
        self._future.result()
        self._portal_context.__exit__(None, None, None)


@attrs.define
class NodeUnderTest:
    """A node in a process of its own.

    :param process: the process.
    :param ports: port of each listener: ``front``, ``ready`` and ``metrics``.
    """

    process: subprocess.Popen[bytes]
    ports: t.Mapping[str, int]
    _jobs: int = 0

    @property
    def pid(self) -> int:
        """Process ID."""
        return self.process.pid

    def is_alive(self) -> bool:
        """Return whether the process runs."""
        return self.process.poll() is None

    def call(
        self,
        listener: str,
        method: str,
        path: str,
        headers: t.Sequence[tuple[str, str]] = (),
        content: t.Any = None,
    ) -> httpcore.Response | None:
        """Send an ordinary request on its own connection; ``None`` if it breaks."""
        timeout = dict.fromkeys(("connect", "read", "write", "pool"), CALL_S)
        url = f"http://127.0.0.1:{self.ports[listener]}{path}"
        try:
            return httpcore.request(
                method,
                url,
                headers=[("Host", HOST), *headers],
                content=content,
                extensions={"timeout": timeout},
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            return None

    def draw_job_path(self) -> str:
        """Return the path of a job that was not submitted before."""
        self._jobs += 1
        return f"{QUEUE_PREFIX}{self._jobs:016x}"

    def submit(self) -> bool:
        """Submit a job; return whether it was accepted."""
        body = orjson.dumps({"spec": "x", "steps": [{"count": 1, "cpu": 100}]})
        answer = self.call("front", "POST", self.draw_job_path(), content=body)
        return answer is not None and answer.status == 200

    def is_ready(self) -> bool:
        """Return whether the readiness probe succeeds."""
        answer = self.call("ready", "GET", "/readyz")
        return answer is not None and answer.status == 200

    def reads_metrics(self) -> bool:
        """Return whether the metrics are served."""
        answer = self.call("metrics", "GET", "/metrics")
        return answer is not None and answer.status == 200


def wait_until(node: NodeUnderTest, check: t.Callable[[], bool]) -> bool:
    """Repeat a check until it holds; return whether it did before the node ended."""
    end = time.monotonic() + WAIT_S
    while node.is_alive() and time.monotonic() < end:
        if check():
            return True
        time.sleep(0.1)
    return False


def _write_settings(
    folder: pathlib.Path, ports: t.Mapping[str, int], store: str
) -> str:
    lines = {
        "node": "node-0",
        "zone": "zone",
        "listen.front": f"127.0.0.1:{ports['front']}",
        "listen.ready": f"127.0.0.1:{ports['ready']}",
        "limits.memory_mb": str(MEMORY_MB),
        "limits.max_fds": str(MAX_FDS),
        "platform.address": store,
        "cloud.address": store,
        "contracts": "base",
    }
    path = folder / "node.conf"
    path.write_text("".join(f"{key}={value}\n" for key, value in lines.items()))
    return str(path)


@contextlib.contextmanager
def run_node(folder: pathlib.Path) -> t.Iterator[NodeUnderTest]:
    """Run a node and its platform until the context ends."""
    platform = PlatformThread()
    ports = {name: find_port() for name in ("front", "ready", "metrics")}
    settings = _write_settings(folder, ports, str(platform.address))
    command = [sys.executable, "-m", "onyxgap", "node", "--settings", settings]
    command += ["--metrics-port", str(ports["metrics"])]
    with (folder / "node.log").open("wb") as log:
        process = subprocess.Popen(command, stdout=log, stderr=log)
    node = NodeUnderTest(process, ports)
    try:
        for check in (node.is_ready, node.submit, node.reads_metrics):
            assert wait_until(node, check), "the node did not start"
        yield node
    finally:
        process.kill()
        process.wait()
        platform.close()


@attrs.define
class Crowd:
    """Callers that each send one kind of abuse at the same time.

    :param node: the node.
    :param listeners: names of the listeners that they connect to, in turn.
    :param sent: bytes that all of them have sent.
    :param most_channels: most sockets and pipes that the node had open at once.
    :param most_descriptors: most descriptors that it had open at once.
    """

    node: NodeUnderTest
    listeners: tuple[str, ...]
    sent: int = 0
    most_channels: int = 0
    most_descriptors: int = 0
    _lock: threading.Lock = attrs.field(factory=threading.Lock)
    _ended: threading.Event = attrs.field(factory=threading.Event)
    _end: float = attrs.field(factory=lambda: time.monotonic() + CROWD_S)

    def send(self, abuse: Abuse) -> None:
        """Let all callers send one kind of abuse; return when all have ended."""
        self._run(lambda: self._flood(abuse))

    def leave_open(self, opening: bytes) -> None:
        """Let all callers open many connections, and go on byte by byte on each.

        :param opening: first bytes on each connection; callers stay idle without any.
        """
        self._run(lambda: self._send_slowly(opening))

    def _run(self, play: t.Callable[[], None]) -> None:
        sampler = threading.Thread(target=self._sample)
        sampler.start()
        callers = [threading.Thread(target=play) for _ in range(CALLERS)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        self._ended.set()
        sampler.join()

    def _sample(self) -> None:
        running = True
        while running and self.node.is_alive():
            # a process that has just ended has no such files
            with contextlib.suppress(OSError, KeyError):
                self._note(read_usage(self.node.pid))
            running = not self._ended.wait(SAMPLE_S)

    def _note(self, usage: Usage) -> None:
        self.most_channels = max(self.most_channels, usage.channels)
        self.most_descriptors = max(self.most_descriptors, usage.descriptors)
        if usage.rss_mb > MAX_TEST_RSS_MB:
            self._ended.set()

    def _is_over(self) -> bool:
        return self._ended.is_set() or time.monotonic() > self._end

    def _connect(self, listener: str) -> socket.socket:
        address = ("127.0.0.1", self.node.ports[listener])
        return socket.create_connection(address, STALL_S)

    def _draw_path(self, listener: str) -> bytes:
        if listener == "front":
            return self.node.draw_job_path().encode()
        return PATHS[listener]

    def _flood(self, abuse: Abuse) -> None:
        listener = self.listeners[0]
        start, piece = abuse.build(self._draw_path(listener))
        # a refusal, a reset and a reader that stops all end the caller
        with contextlib.suppress(OSError), self._connect(listener) as connection:
            connection.sendall(start)
            left = CALLER_BYTES
            while left > 0 and not self._is_over():
                connection.sendall(piece)
                left -= len(piece)
                with self._lock:
                    self.sent += len(piece)
            # the node reads what is under way before the connection is closed
            self._wait_for_reader(connection)

    def _wait_for_reader(self, connection: socket.socket) -> None:
        connection.shutdown(socket.SHUT_WR)
        while not self._is_over() and connection.recv(PIECE_BYTES):
            pass

    def _send_slowly(self, opening: bytes) -> None:
        with contextlib.ExitStack() as stack:
            connections = []
            listeners = itertools.cycle(self.listeners)
            with contextlib.suppress(OSError):
                for listener in itertools.islice(listeners, SOCKETS_PER_CALLER):
                    connections.append(stack.enter_context(self._connect(listener)))
                    path = self._draw_path(listener)
                    self._send_opening(connections[-1], opening, path)
            for _ in range(SLOW_BYTES):
                time.sleep(SLOW_BYTE_PAUSE_S)
                for connection in connections if opening else ():
                    with contextlib.suppress(OSError):
                        connection.send(b"0")

    def _send_opening(
        self, connection: socket.socket, opening: bytes, path: bytes
    ) -> None:
        # a connection that is refused or not read any more does not end the caller
        with contextlib.suppress(OSError):
            connection.settimeout(OPENING_S)
            connection.sendall(opening.replace(b"{path}", path))
