"""Starts the project's own program as the deploy file says, a process a node."""

import os
import pathlib
import random
import signal
import socket
import subprocess
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
PASSED_ON = ("PATH", "HOME", "LANG")
CONTRACTS = "base,drain,config,cost,recover,sched,platform,upkeep"


def choose_network():
    """Choose two bytes of a loopback network that nobody listens on."""
    for _ in range(50):
        prefix = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        try:
            for port in (9464, 8621, 8622, 8624):
                with socket.socket() as probe:
                    probe.bind((f"{prefix}.1", port))
        except OSError:
            continue
        return prefix
    raise OSError("no free loopback network")


class Node:
    """A place where the node program runs."""

    def __init__(
        self, number, network, folder, record, store, cloud, bounds, keyed=False
    ):
        self.store = store
        contracts = CONTRACTS + (",tenants" if keyed else "")
        self.name = f"front-a-{number}"
        self.ip = f"{network}.{10 + number}"
        self.record, self.folder = record, pathlib.Path(folder)
        self.front, self.ready = (self.ip, 8624), (self.ip, 8622)
        self.process = None
        lines = {
            "node": self.name,
            "role": "node",
            "machine_class": "front",
            "serves": "front",
            "ip": self.ip,
            "zone": "zone-a",
            "region": "region-a",
            "zones.zone-a": "region-a",
            "listen.front": f"{self.ip}:8624",
            "listen.ready": f"{self.ip}:8622",
            "port_range": "7060,7075",
            "seeds": "",
            "bootstrap": "true",
            "limits.cores": "1",
            "limits.memory_mb": "300",
            "limits.max_fds": "4100",
            "discovery": "platform",
            "entry": "virtual_ip",
            "heartbeat_ms": "1500",
            "contracts": contracts,
            "control_mode": "invoke",
            "platform.address": f"{store[0]}:{store[1]}",
            "platform.form": "table",
            "platform.writes_per_s": "800",
            "platform.reads_per_s": "2000",
            "platform.tx_ms": "5.0",
            "platform.partition_writes_s": "200",
            "platform.row_bytes": "65536",
            "platform.across": "false",
            "platform.history_s": "20",
            "cloud.address": f"{cloud[0]}:{cloud[1]}",
            "cloud.rate_per_s": "64.0",
            "cloud.duty_per_s": "64.0",
            **{f"bounds.{name}": str(value) for name, value in bounds.items()},
        }
        self.settings = self.folder / f"{self.name}.conf"
        self.settings.write_text("".join(f"{k}={v}\n" for k, v in lines.items()))

    def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["node"]["run"].split()
        environment = {n: os.environ[n] for n in PASSED_ON if n in os.environ}
        environment["ONYXGAP_CONFIG"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.write("node-start", node=self.name)

    def signal(self, number):
        """Send a signal to the process."""
        self.record.write("node-signal", node=self.name, signal=number.name)
        self.process.send_signal(number)

    def is_running(self):
        """Tell whether the process is there."""
        return self.process is not None and self.process.poll() is None

    def end(self):
        """End the process at once and wait for it."""
        if self.is_running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()
