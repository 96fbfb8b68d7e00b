"""What the scripts have in common: builds a small deployment and its clients."""

import asyncio
import json
import os
import pathlib
import secrets
import shutil
import sys
import tempfile
import traceback

from . import http
from .nodes import Node
from .nodes import choose_network
from .platform import Platform
from .record import Record
from .worker import Worker

HELD, BROKEN, UNABLE = 0, 1, 2
LIMIT_S = 112.0
HOST = "jobs.example"
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "outer_ms": 5000,
    "recovery_s": 12,
    "max_hold_ms": 6000,
    "stop_ms": 200,
    "gang_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "far_x": 3,
    "save_s": 1,
    "restore_ms": 600,
    "notice_ms": 4500,
    "move_s": 1.5,
    "upkeep_s": 2,
    "fencing": "false",
    "lease_ms": 3000,
    "thaw_ms": 300,
    "pace_ms": 100,
    "harm_ms": 4000,
}


class UnableError(Exception):
    """The case could not run."""


def build_step(count, cpu, estimate_ms, **fields):
    """Build a step of a job."""
    return {
        "count": count,
        "cpu": cpu,
        "mem_mb": 1,
        "estimate_ms": estimate_ms,
        **fields,
    }


def build_spec(cpu, work_ms):
    """Build the spec that tells the stand-in of a worker what a subtask takes."""
    return json.dumps({"cpu": cpu, "ms": work_ms})


class Deployment:
    """A platform, workers, nodes and clients.

    :param queues: service by prefix of the queue.
    :param workers: number of workers of each service.
    :param tenants: keys by tenant; None where calls carry no keys.
    :param public: prefixes of the queues that need no key.
    """

    def __init__(
        self,
        folder,
        queues,
        workers,
        nodes,
        cpu=32_000,
        bounds=None,
        tenants=None,
        public=(),
    ):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.scratch = tempfile.mkdtemp(prefix="review-")
        self.network = choose_network()
        self.platform = Platform(self.record)
        self.queues, self.public = queues, public
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.cloud_address = (f"{self.network}.2", 8621)
        self.tenants = tenants
        bounds = {**BOUNDS, **(bounds or {})}
        self.nodes = [
            self._build_node(number, bounds) for number in range(1, nodes + 1)
        ]
        max_hold_s = bounds["max_hold_ms"] / 1000
        self.workers = []
        for service in sorted(set(queues.values())):
            for _ in range(workers):
                address = (f"{self.network}.{100 + len(self.workers)}", 8080)
                worker_id = f"i-{secrets.token_hex(4)}"
                self.workers.append(
                    Worker(
                        self.platform,
                        self.record,
                        worker_id,
                        service,
                        address,
                        cpu,
                        max_hold_s,
                    )
                )
        self.version = 0
        self.next_node = 0

    def _build_node(self, number, bounds):
        store = (f"{self.network}.{200 + number}", 8621)
        node = Node(
            number,
            self.network,
            self.scratch,
            self.record,
            store,
            self.cloud_address,
            bounds,
            keyed=self.tenants is not None,
        )
        self.platform.add_door(node.name)
        return node

    def put_config(self, **routes):
        """Write a config; the route fields apply to all queues."""
        keyed = self.tenants is not None
        tenants = [
            {"name": name, "api_keys": keys, "weight": 1.0, "cap": {}}
            for name, keys in (self.tenants or {}).items()
        ]
        self.version += 3
        self.platform.put(
            "op",
            "config",
            {
                "version": self.version,
                "routes": [
                    {
                        "name": f"r-{prefix.strip('/')}",
                        "host": HOST,
                        "path_prefix": prefix,
                        "kind": "unsafe",
                        "timeout_ms": 3000,
                        "slo_ms": 2500,
                        "priority": 0,
                        "service": service,
                        "max_attempts": 4,
                        "stretch": 2.2,
                        **({"public": prefix in self.public} if keyed else {}),
                        **routes,
                    }
                    for prefix, service in self.queues.items()
                ],
                "services": [
                    {
                        "name": service,
                        "health_path": "/healthz",
                        "max_conns": 64,
                        "protocol": "h1",
                        "tls": False,
                        "admission_check": True,
                        "spare": False,
                    }
                    for service in sorted(set(self.queues.values()))
                ],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144},
                **({"tenants": tenants} if keyed else {}),
            },
        )
        self.record.write("config", version=self.version)

    async def start(self):
        """Start all parts and wait until the nodes are ready."""
        for node in self.nodes:
            await self.platform.doors[node.name].start(*node.store)
        await self.platform.cloud_server.start(*self.cloud_address)
        self.put_config()
        for worker in self.workers:
            await worker.start()
        for node in self.nodes:
            node.start()
        await self.wait_ready(20.0)

    async def wait_ready(self, limit_s):
        """Wait until all nodes are ready."""
        until = self.record.now() + limit_s
        for node in self.nodes:
            while (await http.call(node.ready, "GET", "/readyz"))[0] != 200:
                if self.record.now() > until:
                    raise UnableError(f"{node.name} is not ready")
                await asyncio.sleep(0.1)
        self.record.write("nodes-ready")

    async def close(self):
        """End all processes and close all servers."""
        for node in self.nodes:
            node.end()
        for worker in self.workers:
            worker.alive = False
            worker.server.close()
        self.platform.close()
        self.record.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.scratch, keep, dirs_exist_ok=True)
        shutil.rmtree(self.scratch, ignore_errors=True)

    async def ask(
        self, method, prefix, job_id, body=None, node=None, key=None, timeout_s=3.0
    ):
        """Send one request of a client to a node, the next one in turn."""
        if node is None:
            self.next_node += 1
            node = self.nodes[self.next_node % len(self.nodes)]
        headers = [("Host", HOST), ("Timeout-Ms", str(int(timeout_s * 1000)))]
        if key is not None:
            headers.append(("Key", key))
        status, value = await http.call(
            node.front, method, prefix + job_id, body, headers, timeout_s
        )
        self.record.write(
            "client",
            call=method,
            job=prefix + job_id,
            node=node.name,
            status=status,
            answer=json.dumps(value).replace(" ", ""),
        )
        return status, value

    async def submit(self, prefix, body, attempts=5):
        """Hand a job in as a client does; return its ID once it was accepted."""
        job_id = secrets.token_hex(8)
        for _ in range(attempts):
            status, _ = await self.ask("POST", prefix, job_id, body)
            if 200 <= status < 300:
                return job_id
            if status == 404:
                return None
            await asyncio.sleep(0.5)
        return None

    async def get_state(self, prefix, job_id, attempts=5):
        """Ask for the state of a job until a node tells it."""
        for _ in range(attempts):
            status, value = await self.ask("GET", prefix, job_id)
            if status == 200:
                return value["state"]
            if status == 410:
                return "410"
            await asyncio.sleep(0.3)
        return "unknown"

    async def wait_state(self, prefix, job_id, state, limit_s):
        """Wait until a job has a state; return whether it has."""
        until = self.record.now() + limit_s
        while self.record.now() < until:
            if await self.get_state(prefix, job_id) == state:
                return True
            await asyncio.sleep(0.2)
        return False


def run_case(play, folder, **options):
    """Play a case and exit with its result."""

    async def main():
        deployment = Deployment(folder, **options)
        try:
            async with asyncio.timeout(LIMIT_S):
                await deployment.start()
                code = await play(deployment)
        except (UnableError, TimeoutError, OSError) as error:
            deployment.record.write("unable", reason=repr(error))
            print(f"the case could not run: {error!r}")
            code = UNABLE
        except Exception:
            deployment.record.write("unable", reason="error in the script")
            traceback.print_exc()
            code = UNABLE
        finally:
            await deployment.close()
        return code

    code = asyncio.run(main())
    sys.stdout.flush()
    os._exit(code)
