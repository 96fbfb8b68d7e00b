"""Starts the nodes of the system as the deploy file does, behind proxies of their own."""

import asyncio
import os
import pathlib
import random
import signal
import socket
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]


def choose_hosts(count, ports):
    """Choose loopback addresses on which all of the ports are free."""
    rng = random.Random()
    hosts = []
    while len(hosts) < count:
        host = f"127.{rng.randrange(10, 250)}.{rng.randrange(1, 250)}.{rng.randrange(1, 250)}"
        try:
            for port in ports:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((host, port))
        except OSError:
            continue
        hosts.append(host)
    return hosts


class Link:
    """A TCP proxy. While it is cut, it holds the bytes of both directions.

    When the cut has healed, it delivers them, as TCP does. A reset by the sender drops
    what is held.
    """

    def __init__(self, target, watch=None):
        self.target, self.watch = target, watch
        self.open = asyncio.Event()
        self.open.set()

    async def listen(self, host, port):
        await asyncio.start_server(self._serve, host, port, backlog=512)

    def cut(self):
        self.open.clear()

    def heal(self):
        self.open.set()

    async def _serve(self, reader, writer):
        await self.open.wait()
        try:
            there, back = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        try:
            await asyncio.gather(
                self._pump(reader, back, self.watch), self._pump(there, writer, None)
            )
        except asyncio.CancelledError:
            pass

    async def _pump(self, reader, writer, watch):
        try:
            while data := await reader.read(65536):
                if watch is not None:
                    watch(data)
                await self.open.wait()
                if reader.exception() is not None:
                    # the sender has reset the channel: what was held up is lost
                    raise reader.exception()
                writer.write(data)
                await writer.drain()
            await self.open.wait()
            if writer.can_write_eof():
                writer.write_eof()
        except (ConnectionError, OSError):
            writer.transport.abort()


class Node:
    """One node of the system: its settings, its links and its process."""

    def __init__(self, name, host, zone, folder, record, bounds=()):
        self.name, self.host, self.zone = name, host, zone
        self.folder, self.record, self.bounds = folder, record, dict(bounds)
        self.extra = {}
        self.process = None
        self.store_link = self.cloud_link = None

    async def connect(self, store, cloud, watch_cloud=None):
        """Listen for the node's calls to the store and the cloud."""
        self.store_link = Link(store)
        self.cloud_link = Link(cloud, watch_cloud)
        await self.store_link.listen(self.host, 8701)
        await self.cloud_link.listen(self.host, 8702)

    def _write_settings(self):
        values = {
            "node": self.name, "role": "node", "machine_class": "front",
            "serves": "front", "ip": self.host, "zone": self.zone, "region": "here",
            f"zones.{self.zone}": "here", "listen.front": f"{self.host}:8624",
            "listen.ready": f"{self.host}:8622", "port_range": "7060,7075",
            "bootstrap": "true", "limits.memory_mb": "300", "discovery": "platform",
            "entry": "virtual_ip", "heartbeat_ms": "1500",
            "contracts": "base,drain,config,cost,recover,sched,platform,advice,"
            "upkeep,sharing",
            "control_mode": "invoke", "platform.address": f"{self.host}:8701",
            "platform.form": "table", "platform.writes_per_s": "800",
            "platform.reads_per_s": "2000", "platform.tx_ms": "5.0",
            "platform.row_bytes": "65536", "platform.history_s": "20",
            "cloud.address": f"{self.host}:8702", "cloud.rate_per_s": "64.0",
            "cloud.duty_per_s": "64.0",
        }
        bounds = {
            "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
            "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
            "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000,
            "recovery_s": 12, "max_hold_ms": 6000, "stop_ms": 200, "gang_ms": 3000,
            "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
            "status_s": 120, "far_x": 3, "save_s": 1, "restore_ms": 600,
            "notice_ms": 4500, "move_s": 1.5, "upkeep_s": 2, "fencing": "false",
            "lease_ms": 3000, "thaw_ms": 300, "pace_ms": 100, "harm_ms": 4000,
            **self.bounds,
        }
        values |= {f"bounds.{key}": value for key, value in bounds.items()}
        values |= self.extra
        path = self.folder / f"{self.name}.conf"
        path.write_text("".join(f"{k}={v}\n" for k, v in values.items()))
        return path

    async def start(self):
        """Start the program with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["node"]["run"].split()
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["ONYXGAP_CONFIG"] = str(self._write_settings())
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log,
            )
        self.record(f"node {self.name}: started, pid {self.process.pid}")

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.record(f"node {self.name}: {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
