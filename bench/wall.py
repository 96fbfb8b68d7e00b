"""Wall-clock measurements of real processes on loopback, apart from CI.

CPU per request against a bare relay, memory with 1,000 requests in flight, and
what an idle entry and control cost. Ratios hold across machines; other figures
are of the machine that ran them.
"""

import argparse
import asyncio
import contextlib
import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import time
import typing as t

import attrs
import httpcore

ROOT = pathlib.Path(__file__).parent.parent
EXAMPLE = ROOT / "examples" / "pampa-lance"
OUTPUT = ROOT / "build" / "wall.json"
TICKS = os.sysconf("SC_CLK_TCK")
REQUESTS = 2_000
CONCURRENCY = 32
IN_FLIGHT = 1_000
BODY_BYTES = 4_096
IDLE_S = 20.0
START_S = 4.0


def find_port() -> int:
    """Find a free port."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return t.cast(int, probe.getsockname()[1])


def read_cpu(pid: int) -> float:
    """Read the CPU seconds of a process."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def read_rss(pid: int) -> float:
    """Read the resident memory of a process, in MB."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(row for row in text.splitlines() if row.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


@attrs.define
class Processes:
    """Processes of one measurement, ended with it.

    :param folder: where settings and logs go.
    """

    folder: pathlib.Path
    stack: contextlib.ExitStack
    ports: dict[str, int] = attrs.field(factory=dict)
    pids: dict[str, int] = attrs.field(factory=dict)

    def run(self, name: str, *arguments: str) -> None:
        """Run a Python module as a process."""
        log = self.stack.enter_context((self.folder / f"{name}.log").open("wb"))
        process = subprocess.Popen(
            [sys.executable, "-m", *arguments], stderr=log, cwd=ROOT
        )
        self.pids[name] = process.pid
        self.stack.callback(process.wait, 20)
        self.stack.callback(process.terminate)

    def run_member(self, name: str, role: str) -> None:
        """Run an entry or control."""
        port = self.ports[name] = find_port()
        settings = {
            "member": name,
            "zone": "sur-a",
            "platform": {"host": "127.0.0.1", "port": self.ports["platform"]},
            "http": {"host": "127.0.0.1", "port": port},
            "log_level": "warning",
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.run(name, "onyxgap.cli.main", role, "--settings", str(path))

    def run_fleet(self, slots: int, work_ms: float) -> None:
        """Run the platform and all targets on free ports."""
        fleet = json.loads((EXAMPLE / "fleet.json").read_text())
        for vm in fleet:
            vm["address"] = f"127.0.0.1:{find_port()}"
        path = self.folder / "fleet.json"
        path.write_text(json.dumps(fleet))
        self.ports["platform"] = find_port()
        listen = f"127.0.0.1:{self.ports['platform']}"
        base = ("onyxgap.cli.main", "stand-in")
        self.run(
            "platform", *base, "platform", "--listen", listen, "--fleet", str(path)
        )
        self.run(
            "targets",
            *base,
            "target",
            "--fleet",
            str(path),
            "--slots",
            str(slots),
            "--work-ms",
            str(work_ms),
        )
        self.ports["target"] = int(fleet[0]["address"].rpartition(":")[2])

    def apply(self, manifest: pathlib.Path) -> None:
        """Apply a manifest and wait for it."""
        address = f"127.0.0.1:{self.ports['platform']}"
        command = [sys.executable, "-m", "onyxgap.cli.main", "apply", str(manifest)]
        subprocess.run([*command, "--platform", address], check=True, cwd=ROOT)


@contextlib.contextmanager
def start_processes() -> t.Iterator[Processes]:
    """Open a folder and end every process at the close."""
    with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as stack:
        yield Processes(pathlib.Path(folder), stack)


async def send_requests(
    port: int, path: str, count: int, concurrency: int, body: bytes
) -> dict[int, int]:
    """Send requests and count the statuses."""
    statuses: dict[int, int] = {}
    left = iter(range(count))
    pool = httpcore.AsyncConnectionPool(
        max_connections=concurrency, max_keepalive_connections=concurrency
    )

    async def work() -> None:
        for _ in left:
            url = f"http://127.0.0.1:{port}{path}"
            response = await pool.request("POST", url, content=body)
            statuses[response.status] = statuses.get(response.status, 0) + 1

    async with pool:
        await asyncio.gather(*(work() for _ in range(concurrency)))
    return statuses


def measure_cpu(processes: Processes, name: str, path: str) -> dict[str, t.Any]:
    """Measure the CPU of one process per request."""
    port, pid = processes.ports[name], processes.pids[name]
    body = b"x" * 512
    asyncio.run(send_requests(port, path, 200, CONCURRENCY, body))
    before = read_cpu(pid)
    statuses = asyncio.run(send_requests(port, path, REQUESTS, CONCURRENCY, body))
    return {"cpu_us": 1e6 * (read_cpu(pid) - before) / REQUESTS, "statuses": statuses}


def compare_with_relay() -> dict[str, t.Any]:
    """Measure entry and relay side by side, alone and as one of three."""
    results: dict[str, t.Any] = {}
    path = "/v1/live-bidding/show-lot"
    for entries in (1, 3):
        with start_processes() as processes:
            processes.run_fleet(slots=64, work_ms=1)
            time.sleep(START_S)
            processes.ports["relay"] = find_port()
            target = f"127.0.0.1:{processes.ports['target']}"
            port = str(processes.ports["relay"])
            processes.run("relay", "bench.relay", "--port", port, "--target", target)
            for number in range(1, entries + 1):
                processes.run_member(f"entry-{number}", "entry")
            processes.run_member("control-1", "control")
            time.sleep(START_S)
            processes.apply(EXAMPLE / "manifest.json")
            time.sleep(START_S)
            relay = measure_cpu(processes, "relay", path)
            rows = {
                f"entry-{number}": measure_cpu(processes, f"entry-{number}", path)
                for number in range(1, entries + 1)
            }
            for row in rows.values():
                row["ratio"] = row["cpu_us"] / relay["cpu_us"]
            results[f"{entries} entries"] = {"relay": relay, **rows}
    return results


def measure_in_flight() -> dict[str, t.Any]:
    """Measure an entry's memory with 1,000 requests of 4 KB in flight."""
    manifest = json.loads((EXAMPLE / "manifest.json").read_text())
    for pool in manifest["pools"]:
        pool["slots"] = 256
    for team in manifest["teams"]:
        team["quotas"] = {}
    with start_processes() as processes:
        processes.run_fleet(slots=256, work_ms=3000)
        time.sleep(START_S)
        processes.run_member("entry-1", "entry")
        processes.run_member("control-1", "control")
        time.sleep(START_S)
        path = processes.folder / "manifest.json"
        path.write_text(json.dumps(manifest))
        processes.apply(path)
        time.sleep(START_S)
        pid, port = processes.pids["entry-1"], processes.ports["entry-1"]
        idle = read_rss(pid)
        peak = asyncio.run(_watch_peak(port, pid))
    return {"idle_mb": idle, **peak}


async def _watch_peak(port: int, pid: int) -> dict[str, t.Any]:
    body = b"x" * BODY_BYTES
    sending = asyncio.create_task(
        send_requests(port, "/v1/catalogue/value-lot", IN_FLIGHT, IN_FLIGHT, body)
    )
    peak = 0.0
    while not sending.done():
        peak = max(peak, read_rss(pid))
        await asyncio.sleep(0.05)
    return {"peak_mb": peak, "statuses": await sending}


def measure_idle() -> dict[str, t.Any]:
    """Measure what idle entries and controls cost at three sizes."""
    results: dict[str, t.Any] = {}
    for size in (1, 4, 9):
        with start_processes() as processes:
            processes.run_fleet(slots=8, work_ms=20)
            time.sleep(START_S)
            for number in range(1, size + 1):
                processes.run_member(f"entry-{number}", "entry")
                processes.run_member(f"control-{number}", "control")
            time.sleep(START_S)
            processes.apply(EXAMPLE / "manifest.json")
            time.sleep(2 * START_S)
            results[f"{size} nodes"] = _watch_idle(processes)
    return results


def _watch_idle(processes: Processes) -> dict[str, t.Any]:
    names = ("entry-1", "control-1")
    before = {name: read_cpu(processes.pids[name]) for name in names}
    bytes_before = {name: _read_bytes(processes.ports[name]) for name in names}
    time.sleep(IDLE_S)
    rows = {}
    for name in names:
        pid = processes.pids[name]
        moved = _read_bytes(processes.ports[name]) - bytes_before[name]
        rows[name] = {
            "cpu_share": (read_cpu(pid) - before[name]) / IDLE_S,
            "rss_mb": read_rss(pid),
            "bytes_s": moved / IDLE_S,
        }
    return rows


def _read_bytes(port: int) -> float:
    with httpcore.ConnectionPool() as pool:
        response = pool.request("GET", f"http://127.0.0.1:{port}/status")
    gauges = json.loads(response.content)["metrics"]["gauges"]
    return float(gauges["peer_bytes"] + gauges["platform_bytes"])


def main() -> None:
    """Measure everything, print it and write it down."""
    parts: dict[str, t.Callable[[], dict[str, t.Any]]] = {
        "relay": compare_with_relay,
        "in-flight": measure_in_flight,
        "idle": measure_idle,
    }
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--part", action="append", choices=list(parts))
    arguments = parser.parse_args()
    results = {}
    for name in arguments.part or list(parts):
        results[name] = parts[name]()
        print(name, json.dumps(results[name], indent=1), flush=True)
    if not arguments.part:
        OUTPUT.parent.mkdir(exist_ok=True)
        OUTPUT.write_text(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()
