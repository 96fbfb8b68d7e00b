"""A node's process stays within its memory and descriptors, whatever callers send."""

import fcntl
import logging
import pathlib
import socket
import tempfile
import typing as t

import orjson
import pytest

from onyxgap.jobs.routing import DEFAULT_BODY_BYTES
from tests.abusive_callers import ABUSES
from tests.abusive_callers import FILE_FDS
from tests.abusive_callers import HOST
from tests.abusive_callers import MAX_FDS
from tests.abusive_callers import MEMORY_MB
from tests.abusive_callers import OPENINGS
from tests.abusive_callers import Crowd
from tests.abusive_callers import NodeUnderTest
from tests.abusive_callers import read_usage
from tests.abusive_callers import run_node
from tests.abusive_callers import wait_until

LOCK = pathlib.Path(tempfile.gettempdir()) / "onyxgap-abusive-callers.lock"
MAX_SPEC = "s" * 4000
HEAD_FILL = [(f"x-caller-{number}", "v" * 200) for number in range(20)]
STEPS = [
    {"count": 2, "cpu": 500, "mem_mb": 64, "estimate_ms": 200, "checkpointing": True},
    {"count": 3, "cpu": 250, "mem_mb": 32, "after": [0], "anti_affinity": 2},
    {"count": 1, "cpu": 100, "affinity": "rack", "speculative": True, "after": [0, 1]},
]
JOB = orjson.dumps({"spec": MAX_SPEC, "steps": STEPS})
METRICS_ABUSES = ("header-lines", "trailer-lines", "requests-ahead")
READY_ABUSES = tuple(
    name
    for name in ABUSES
    if name not in ("chunk-extension", "chunks", "body-above-its-length")
)
ALL_LISTENERS = ("front", "ready", "metrics")
OPEN_LISTENERS = [("front",), ("ready",), ALL_LISTENERS]
CASES = [
    *(("front", name) for name in ABUSES),
    *(("ready", name) for name in READY_ABUSES),
    *(("metrics", name) for name in METRICS_ABUSES),
]


@pytest.fixture(scope="module", autouse=True)
def quiet_servers() -> t.Iterator[None]:
    """Keep what the platform's server says of calls that its end cuts off quiet."""
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


@pytest.fixture(autouse=True)
def one_at_a_time() -> t.Iterator[None]:
    """Hold a lock, so that only one process of pytest runs such a test at a time."""
    with LOCK.open("a") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


@pytest.fixture
def node(one_at_a_time: None, tmp_path: pathlib.Path) -> t.Iterator[NodeUnderTest]:
    """Return a node that no caller has abused yet."""
    with run_node(tmp_path) as node:
        yield node


@pytest.fixture(scope="module")
def calm_node(tmp_path_factory: pytest.TempPathFactory) -> t.Iterator[NodeUnderTest]:
    """Return a node that only meets ordinary requests."""
    with run_node(tmp_path_factory.mktemp("calm")) as node:
        yield node


def check_node(node: NodeUnderTest, crowd: Crowd) -> None:
    """Check that a node lives, is within its limits and answers ordinary requests."""
    assert node.is_alive(), f"ended with {node.process.returncode}"
    usage = read_usage(node.pid)
    print(
        f"peak {usage.peak_mb:.0f} MB, {crowd.sent / 2**20:.0f} MB sent,"
        f" {crowd.most_channels} channels, {crowd.most_descriptors} descriptors"
    )
    assert usage.peak_mb < MEMORY_MB
    assert crowd.most_channels <= MAX_FDS - FILE_FDS
    assert crowd.most_descriptors <= MAX_FDS
    for check in (node.submit, node.is_ready, node.reads_metrics):
        assert wait_until(node, check), f"{check.__name__}: no answer afterwards"
    assert node.is_alive()
    assert read_usage(node.pid).peak_mb < MEMORY_MB


@pytest.mark.parametrize(("listener", "kind"), CASES)
def test_memory_stays_bounded_when_callers_send_without_end(
    node: NodeUnderTest, listener: str, kind: str
) -> None:
    crowd = Crowd(node, (listener,))
    crowd.send(ABUSES[kind])
    check_node(node, crowd)


@pytest.mark.parametrize(
    ("listeners", "opening"),
    [*((listeners, "head") for listeners in OPEN_LISTENERS), (ALL_LISTENERS, "idle")],
    ids=lambda value: value if isinstance(value, str) else "-".join(value),
)
def test_descriptors_stay_bounded_when_callers_leave_connections_open(
    node: NodeUnderTest, listeners: tuple[str, ...], opening: str
) -> None:
    crowd = Crowd(node, listeners)
    crowd.leave_open(OPENINGS[opening])
    check_node(node, crowd)


@pytest.mark.parametrize("listeners", OPEN_LISTENERS, ids="-".join)
def test_memory_and_descriptors_stay_bounded_when_callers_leave_bodies_open(
    node: NodeUnderTest, listeners: tuple[str, ...]
) -> None:
    crowd = Crowd(node, listeners)
    crowd.leave_open(OPENINGS["body"])
    check_node(node, crowd)


def test_calm_node_is_within_its_limits(calm_node: NodeUnderTest) -> None:
    usage = read_usage(calm_node.pid)
    assert usage.peak_mb < MEMORY_MB
    assert usage.descriptors <= MAX_FDS


def test_job_with_a_head_of_some_kilobytes_and_the_longest_spec_is_accepted(
    calm_node: NodeUnderTest,
) -> None:
    path = calm_node.draw_job_path()
    answer = calm_node.call("front", "POST", path, HEAD_FILL, JOB)
    assert answer is not None
    assert answer.status == 200


def test_job_of_the_largest_body_is_accepted(calm_node: NodeUnderTest) -> None:
    path = calm_node.draw_job_path()
    body = JOB.ljust(DEFAULT_BODY_BYTES)
    answer = calm_node.call("front", "POST", path, HEAD_FILL, body)
    assert answer is not None
    assert answer.status == 200


def test_job_in_chunks_is_accepted(calm_node: NodeUnderTest) -> None:
    pieces = (JOB[start : start + 100] for start in range(0, len(JOB), 100))
    path = calm_node.draw_job_path()
    answer = calm_node.call("front", "POST", path, HEAD_FILL, pieces)
    assert answer is not None
    assert answer.status == 200


class RawConnection:
    """A connection to a listener that sends bytes as they are given."""

    def __init__(self, node: NodeUnderTest, listener: str) -> None:
        address = ("127.0.0.1", node.ports[listener])
        self.socket = socket.create_connection(address, 30)
        self.reader = self.socket.makefile("rb")

    def __enter__(self) -> "RawConnection":
        return self

    def __exit__(self, *exception: object) -> None:
        self.reader.close()
        self.socket.close()

    def read_status(self) -> int:
        """Read one answer with its body and return its status."""
        status = int(self.reader.readline().split()[1])
        length = 0
        while line := self.reader.readline().strip():
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                length = int(value)
        assert len(self.reader.read(length)) == length
        return status


def build_job_head(node: NodeUnderTest, *lines: str) -> bytes:
    """Build the head of the submission of a new job of :data:`JOB`."""
    head = [f"POST {node.draw_job_path()} HTTP/1.1", f"Host: {HOST}"]
    head += [f"Content-Length: {len(JOB)}", *lines]
    return "\r\n".join([*head, "", ""]).encode()


def test_jobs_on_a_kept_connection_are_accepted(calm_node: NodeUnderTest) -> None:
    with RawConnection(calm_node, "front") as connection:
        for _ in range(5):
            connection.socket.sendall(build_job_head(calm_node) + JOB)
            assert connection.read_status() == 200


def test_job_with_expect_continue_is_accepted(calm_node: NodeUnderTest) -> None:
    with RawConnection(calm_node, "front") as connection:
        head = build_job_head(calm_node, "Expect: 100-continue")
        connection.socket.sendall(head)
        assert connection.read_status() == 100
        connection.socket.sendall(JOB)
        assert connection.read_status() == 200


def test_two_jobs_sent_ahead_are_accepted(calm_node: NodeUnderTest) -> None:
    with RawConnection(calm_node, "front") as connection:
        requests = [build_job_head(calm_node) + JOB for _ in range(2)]
        connection.socket.sendall(b"".join(requests))
        assert [connection.read_status() for _ in requests] == [200, 200]


def test_two_probes_sent_ahead_are_answered(calm_node: NodeUnderTest) -> None:
    with RawConnection(calm_node, "ready") as connection:
        connection.socket.sendall(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n" * 2)
        assert [connection.read_status(), connection.read_status()] == [200, 200]


def test_job_with_a_trailer_line_is_accepted(calm_node: NodeUnderTest) -> None:
    head = f"POST {calm_node.draw_job_path()} HTTP/1.1\r\nHost: {HOST}\r\n"
    chunk = b"%x\r\n%s\r\n0\r\nx-digest: 12345678\r\n\r\n" % (len(JOB), JOB)
    with RawConnection(calm_node, "front") as connection:
        connection.socket.sendall(
            head.encode() + b"Transfer-Encoding: chunked\r\n\r\n" + chunk
        )
        assert connection.read_status() == 200
