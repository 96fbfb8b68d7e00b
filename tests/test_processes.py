"""End-to-end tests with separate processes: requests, planned stop, pause, outage."""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import typing as t

import httpcore
import pytest

from tests.conftest import EXAMPLES
from tests.ports import find_port

WAIT_TIMEOUT_S = 120.0


class Processes:
    """Starts processes on free ports and kills them at the end of the test."""

    def __init__(self, folder: pathlib.Path, stack: contextlib.ExitStack) -> None:
        self.folder = folder
        self.stack = stack
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.ports = {"platform": find_port()}

    def run(self, name: str, *arguments: str) -> None:
        log = self.stack.enter_context((self.folder / f"{name}.log").open("wb"))
        command = [sys.executable, "-m", "onyxgap.cli.main", *arguments]
        process = subprocess.Popen(command, stderr=log)
        self.running[name] = process
        self.stack.callback(process.wait)
        self.stack.callback(self._end, process)

    def _end(self, process: subprocess.Popen[bytes]) -> None:
        if process.poll() is None:
            process.kill()

    def run_member(self, name: str, role: str) -> None:
        self.ports[name] = find_port()
        settings = {
            "member": name,
            "zone": "sur-a",
            "platform": {"host": "127.0.0.1", "port": self.ports["platform"]},
            "http": {"host": "127.0.0.1", "port": self.ports[name]},
            "lame_duck_s": 0.3,
            "poll_interval_s": 0.3,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.run(name, role, "--settings", str(path))

    def run_fleet(self, work_ms: int) -> None:
        fleet = json.loads((EXAMPLES / "pampa-lance" / "fleet.json").read_text())
        for vm in fleet:
            vm["address"] = f"127.0.0.1:{find_port()}"
        path = self.folder / "fleet.json"
        path.write_text(json.dumps(fleet))
        listen = f"127.0.0.1:{self.ports['platform']}"
        self.run(
            "platform", "stand-in", "platform", "--listen", listen, "--fleet", str(path)
        )
        work = ("--work-ms", str(work_ms))
        self.run("target", "stand-in", "target", "--fleet", str(path), *work)

    def command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        platform = f"127.0.0.1:{self.ports['platform']}"
        command = [sys.executable, "-m", "onyxgap.cli.main", *arguments]
        return subprocess.run(
            [*command, "--platform", platform], capture_output=True, text=True
        )

    def call(self, entry: str, path: str, key: str = "") -> tuple[int, str, bytes]:
        url = f"http://127.0.0.1:{self.ports[entry]}{path}"
        headers = [("Idempotency-Key", key)] if key else []
        response = httpcore.request("POST", url, headers=headers, content=b"lot")
        found = dict(response.headers)
        verdict = found.get(b"onyxgap-verdict", b"").decode()
        return response.status, verdict, response.content

    def read_log(self, name: str) -> list[dict[str, t.Any]]:
        lines = (self.folder / f"{name}.log").read_text().splitlines()
        return [json.loads(line) for line in lines]


def wait_for(check: t.Callable[[], bool]) -> None:
    """Wait until a condition holds.

    The time-out only ends waits that cannot succeed.
    """
    end = time.monotonic() + WAIT_TIMEOUT_S
    while not _check(check):
        assert time.monotonic() < end, "condition did not hold in time"
        time.sleep(0.1)


def _check(check: t.Callable[[], bool]) -> bool:
    try:
        return check()
    except httpcore.NetworkError:
        return False


@pytest.fixture
def processes(tmp_path: pathlib.Path) -> t.Iterator[Processes]:
    """Platform, targets, two entry processes and a control process with a manifest."""
    with contextlib.ExitStack() as stack:
        processes = Processes(tmp_path, stack)
        processes.run_fleet(work_ms=600)
        for number in (1, 2):
            processes.run_member(f"entry-{number}", "entry")
        processes.run_member("control-1", "control")
        manifest = str(EXAMPLES / "pampa-lance" / "manifest.json")
        wait_for(lambda: processes.command("apply", manifest).returncode == 0)
        path = "/v1/live-bidding/show-lot"
        for entry in ("entry-1", "entry-2"):
            wait_for(lambda entry=entry: processes.call(entry, path)[0] == 200)
        yield processes


@pytest.mark.promise("graceful")
def test_requests_and_commands_with_separate_processes(processes: Processes) -> None:
    for entry in ("entry-1", "entry-2"):
        status, verdict, body = processes.call(entry, "/v1/buyer-app/browse")
        assert (status, verdict) == (200, "ran")
        assert body.endswith(b"ran /buyer-app/browse: lot")
    first = processes.call("entry-1", "/v1/buyer-app/sell", "sale-1")
    assert first[:2] == (200, "ran")

    def is_replayed() -> bool:
        again = processes.call("entry-2", "/v1/buyer-app/sell", "sale-1")
        assert again[1] in ("ran", "may-have-run")
        return again == first

    wait_for(is_replayed)
    status = processes.command("status", "--json")
    assert json.loads(status.stdout)["version"] == 1
    report = processes.command("report", "--json")
    assert json.loads(report.stdout)["plan"]["buffer_vms"] >= 4
    explained = processes.command("explain", "lance-vm-001")
    assert "VmJoined" in explained.stdout
    assert json.loads(processes.command("audit", "--json").stdout)[0]["sequence"] == 1

    # after a planned stop the request in flight completes, and the process exits with 0
    stopping = processes.running["entry-2"]
    url = f"http://127.0.0.1:{processes.ports['entry-2']}/v1/buyer-app/browse"
    with (
        httpcore.ConnectionPool() as pool,
        pool.stream("POST", url, content=_stop_while_sending(stopping.pid)) as response,
    ):
        assert response.status == 200
        assert b"ran /buyer-app/browse" in response.read()
    assert stopping.wait() == 0
    events = [line["event"] for line in processes.read_log("entry-2")]
    assert events[-1] == "stopped"
    wait_for(lambda: "entry-2" not in processes.command("status").stdout)

    # the other entry process serves alone, also after the control process is killed
    processes.running["control-1"].kill()
    assert processes.call("entry-1", "/v1/buyer-app/browse")[0] == 200


def _stop_while_sending(pid: int) -> t.Iterator[bytes]:
    yield b"l"
    os.kill(pid, signal.SIGTERM)
    yield b"ot"


@pytest.mark.promise("leaving")
def test_paused_process_serves_nothing_before_it_has_caught_up(
    processes: Processes,
) -> None:
    paused = processes.running["entry-1"]
    os.kill(paused.pid, signal.SIGSTOP)
    time.sleep(3)
    os.kill(paused.pid, signal.SIGCONT)
    # the first answers after the pause may be refusals, but no verdict is uncertain
    answers = [processes.call("entry-1", "/v1/buyer-app/browse") for _ in range(3)]
    assert all(answer[1] in ("ran", "not-run") for answer in answers)
    path = "/v1/buyer-app/browse"
    wait_for(lambda: processes.call("entry-1", path)[0] == 200)


def test_request_refused_before_its_end_says_that_it_was_not_run(
    processes: Processes,
) -> None:
    address = ("127.0.0.1", processes.ports["entry-1"])
    with socket.create_connection(address, 10) as caller:
        caller.sendall(b"POST /v1/buyer-app/" + b"a" * 40_000)
        answer = caller.makefile("rb").read().decode()
    head = answer.partition("\r\n\r\n")[0].split("\r\n")
    assert head[0].startswith("HTTP/1.1 414 ")
    assert "Onyxgap-Verdict: not-run" in head
    assert "Onyxgap-Reason: too-large" in head
    assert any(line.startswith("Onyxgap-Request-Id: ") for line in head)


def test_unavailable_platform_is_reported(processes: Processes) -> None:
    processes.running["platform"].kill()
    processes.running["platform"].wait()
    failed = processes.command("status")
    assert failed.returncode == 4
    assert "platform unavailable" in failed.stderr
    status, verdict, _ = processes.call("entry-1", "/v1/buyer-app/sell", "sale-2")
    assert (status, verdict) == (503, "not-run")
    # requests that need no claim are served during an outage of the store
    assert processes.call("entry-1", "/v1/buyer-app/browse")[:2] == (200, "ran")


def test_port_is_never_allocated_twice() -> None:
    ports = [find_port() for _ in range(500)]
    assert len(set(ports)) == len(ports)


def test_allocated_port_is_kept_until_its_process_listens() -> None:
    port = find_port()
    with socket.socket() as other, pytest.raises(OSError, match="in use"):
        other.bind(("127.0.0.1", port))
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", port))
        listener.listen()
        with socket.create_connection(("127.0.0.1", port)):
            pass


def test_connection_to_an_allocated_port_is_refused() -> None:
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.1", find_port()))
