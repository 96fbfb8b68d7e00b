"""A small deployment: nodes of the system, a platform, and calls of consumers."""

import asyncio
import os
import pathlib
import random
import shutil
import sys
import tempfile
import traceback

from httpd import Server, call
from nodes import Node, choose_hosts
from platform_standin import Machine, Record

NODE_PORTS = (7060, 7061, 7062, 8622, 8624, 8701, 8702, 9464)
WORKER_PORT, STORE_PORT, CLOUD_PORT = 8080, 8621, 8620


class Deployment:
    """Nodes, platform and consumers of one case."""

    def __init__(self, world, record, nodes, pools, cpu=32000, racks=4):
        self.world, self.record = world, record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="onyxgap-review-"))
        hosts = choose_hosts(nodes, NODE_PORTS)
        self.nodes = [
            Node(f"front-{n}", host, "zone-a", self.folder, record)
            for n, host in enumerate(hosts)
        ]
        (self.platform_host,) = choose_hosts(1, (STORE_PORT, CLOUD_PORT))
        names = [(pool, n) for pool, count in pools.items() for n in range(count)]
        for (pool, n), host in zip(names, choose_hosts(len(names), (WORKER_PORT,))):
            name = f"m-{pool}-{n}"
            rack = f"r-{len(world.machines) // racks}"
            machine = Machine(name, pool, rack, "zone-a", cpu, host, WORKER_PORT)
            world.machines[name] = machine
        self.rng = random.Random()

    async def start(self, config, watch_cloud=None):
        """Start the platform, the workers and the nodes."""
        world = self.world
        await Server(world.store.handle).listen(self.platform_host, STORE_PORT)
        await Server(world.handle_cloud).listen(self.platform_host, CLOUD_PORT)
        world.store.put("op", "config", config)
        for machine in world.machines.values():
            await world.boot(machine)
        for node in self.nodes:
            watch = watch_cloud(node) if watch_cloud is not None else None
            await node.connect(
                (self.platform_host, STORE_PORT), (self.platform_host, CLOUD_PORT),
                watch,
            )
            await node.start()

    async def wait_until_ready(self, timeout_s=25.0):
        """Wait until all nodes report themselves ready; False if they don't."""
        until = self.record.now() + timeout_s
        for node in self.nodes:
            while True:
                status, _ = await call(node.host, 8622, "GET", "/readyz", timeout=1.0)
                if status == 200:
                    break
                if self.record.now() > until:
                    return False
                await asyncio.sleep(0.1)
        return True

    def new_id(self):
        return f"{self.rng.getrandbits(64):016x}"

    async def request(self, node, method, path, body=None, timeout=3.0, log=True):
        headers = [
            ("Host", "jobs.example"), ("Content-Type", "application/json"),
            ("Timeout-Ms", "3000"),
        ]
        status, value = await call(
            node.host, 8624, method, path, headers, body, timeout
        )
        if log:
            self.record(f"consumer: {method} {path} at {node.name} -> {status} {value}")
        return status, value

    async def submit(self, queue, job_id, body, log=True):
        """Hand a job in as a consumer does: up to five attempts; True if accepted."""
        for _ in range(5):
            node = self.rng.choice(self.nodes)
            status, _ = await self.request(
                node, "POST", f"/{queue}/{job_id}", body, log=log
            )
            if status == 200:
                return True
            await asyncio.sleep(1.0)
        return False

    async def get_state(self, queue, job_id, log=True):
        """Ask for a job's state until a node answers."""
        for _ in range(10):
            node = self.rng.choice(self.nodes)
            path = f"/{queue}/{job_id}"
            status, value = await self.request(node, "GET", path, log=log)
            if status == 200:
                return value["state"]
            if status == 410:
                return "410"
            await asyncio.sleep(0.3)
        return "unknown"

    async def end(self):
        """End the nodes; their logs stay only where KEEP is set."""
        for node in self.nodes:
            await node.end()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def build_config(queues, services, spare):
    """Build the operator's config; queues: name to (service, max_attempts)."""
    routes = [
        {
            "name": name, "host": "jobs.example", "path_prefix": f"/{name}/",
            "kind": "unsafe", "timeout_ms": 3000, "slo_ms": 600, "priority": 0,
            "service": service, "max_attempts": attempts, "stretch": 1.6,
        }
        for name, (service, attempts) in queues.items()
    ]
    entries = [
        {"name": name, "admission_check": True, **({"spare": True} if name == spare else {})}
        for name in services
    ]
    return {"version": 7, "routes": routes, "services": entries, "limits": {}}


def run_case(play, folder, limit_s=110.0):
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")

    async def main():
        deployments = []
        try:
            async with asyncio.timeout(limit_s):
                return await play(record, trouble, deployments)
        except TimeoutError:
            record("case: time is up")
            return 2
        except Exception:
            record(f"case: could not run: {traceback.format_exc()}")
            return 2
        finally:
            for deployment in deployments:
                await deployment.end()

    code = asyncio.run(main())
    record(f"case: exit {code}")
    sys.stdout.flush()
    os._exit(code)
