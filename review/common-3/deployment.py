"""Stand-ins of the platform, its workers and its consumers for the scripts of a review.

One process holds the store, the list of machines and all workers, each at a loopback
address of its own. The nodes are started as processes of their own, with the command
of the deploy file. Everything follows the users' pages; what a script does beyond that
is the disruption that it shows.
"""

import asyncio
import base64
import functools
import json
import os
import pathlib
import random
import re
import signal
import shutil
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
MEMBER_TABLE = "onyxgap-members"
"""Where the nodes register the addresses at which they reach each other."""
BEAT_S = 1.5
TX_S = 0.005
READ_S = 0.004
MAX_HOLD_MS = 6000
STOP_S = 0.2
MAX_LISTED_ENDS = 500
HISTORY_S = 20.0
MOVE_S = 1.5
UPKEEP_S = 2.0
SPARE_POOL = "spare"
LIMIT_S = 110.0


METRICS_PORT = 9464


def choose_network():
    """Choose a second number of loopback addresses that no other script has.

    :returns: the number, and a socket that keeps it until the process ends.
    """
    for number in random.sample(range(2, 250), 200):
        lock = socket.socket()
        try:
            lock.bind((f"127.{number}.0.1", METRICS_PORT))
        except OSError:
            lock.close()
            continue
        return number, lock
    raise RuntimeError("no free addresses")


NETWORK, _NETWORK_LOCK = choose_network()


def reserve_port(host):
    """Return a free port of a loopback address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def reserve_ports(host, count):
    """Return the first of some consecutive free ports of a loopback address."""
    while True:
        first = reserve_port(host)
        try:
            for port in range(first, first + count):
                with socket.socket() as probe:
                    probe.bind((host, port))
        except OSError:
            continue
        return first


class Relay(asyncio.DatagramProtocol):
    """Passes the datagrams of one node to another, unless one of them is cut off."""

    def __init__(self, sender, receiver):
        self.sender, self.receiver = sender, receiver
        self.target = None
        self.transport = None

    async def listen(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=("127.0.0.1", 0)
        )

    def get_address(self):
        return "%s:%d" % self.transport.get_extra_info("sockname")

    def datagram_received(self, data, _):
        if self.target and not (self.sender.is_cut or self.receiver.is_cut):
            self.transport.sendto(data, self.target)


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def note(self, what, /, **values):
        text = " ".join(f"{key}={value}" for key, value in values.items())
        self.file.write(f"{self.now():8.3f} {what} {text}\n")
        self.file.flush()


class Drop(Exception):
    """The connection ends without an answer."""


class HttpListener:
    """HTTP/1.1 server that passes each request to a handler."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()
        self.cut = None
        """Set while the peers of this listener are cut off; done once the cut heals."""

    def begin_cut(self):
        """Cut the peers off: what they send from now on is held up."""
        self.cut = asyncio.get_running_loop().create_future()

    def heal(self):
        """End the cut: what was held up arrives, unless its sender has reset."""
        cut, self.cut = self.cut, None
        if cut is not None:
            cut.set_result(None)

    async def pass_cut(self, reader, began_in_cut):
        """Wait for the end of a cut, as the bytes of a request do.

        A connection that was made during the cut has not been made at all.

        :param reader: its stream; it has an exception once the sender has reset it.
        :param began_in_cut: whether the connection was made during a cut.
        """
        if self.cut is not None:
            await self.cut
            if reader.exception() is not None:
                raise Drop
        if began_in_cut:
            raise Drop

    async def listen(self, host, port=0):
        """Listen at an address, and return the port."""
        self.server = await asyncio.start_server(self._serve, host, port)
        return self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        began_in_cut = self.cut is not None
        try:
            while await self._exchange(reader, writer, began_in_cut):
                pass
        except (OSError, asyncio.IncompleteReadError, Drop):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def _exchange(self, reader, writer, began_in_cut):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        self.note_request(method, target)
        await self.pass_cut(reader, began_in_cut)
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        raw = json.loads(body) if body else {}
        status, value = await self.handler(method, url.path, query, headers, raw)
        content = json.dumps(value).encode()
        writer.write(
            b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n" % (status, len(content)) + content
        )
        await writer.drain()
        return True

    def note_request(self, method, target):
        """See a request before it arrives; a script may begin a cut here."""

    async def close(self):
        """Close the listener and reset its connections, as the end of a process does."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's store, in the form of tables."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.history = []
        self.changed = asyncio.Event()
        self.writes = 0
        self.fault = None
        """Called with a transaction and its node before it is done; see `transact`."""

    def put(self, table, key, value, part=""):
        """Write a row as the operator or a worker does."""
        self._apply([((table, part, key), json.dumps(value).encode())], [])

    def drop(self, table, key, part=""):
        self._apply([], [(table, part, key)])

    def get(self, table, key, part=""):
        row = self.rows.get((table, part, key))
        return None if row is None else row[0]

    def _apply(self, puts, removals):
        self.version += 1
        now = time.monotonic()
        for row_id, value in puts:
            self.rows[row_id] = (value, self.version)
            self.history.append((self.version, now, row_id, False))
        for row_id in removals:
            if self.rows.pop(row_id, None) is not None:
                self.history.append((self.version, now, row_id, True))
        while self.history and now - self.history[0][1] > HISTORY_S:
            self.history.pop(0)
        self.changed.set()
        self.changed = asyncio.Event()

    def _stamp(self, **value):
        return {**value, "ver": self.version, "now_ms": round(time.monotonic() * 1000)}

    @staticmethod
    def _read_id(raw):
        return raw["table"], raw.get("part", ""), raw["key"]

    def _describe(self, row_id, node=None):
        value, version = self.rows[row_id]
        if node is not None:
            value = node.rewrite(row_id, value)
        return {
            "table": row_id[0],
            "part": row_id[1],
            "key": row_id[2],
            "value": base64.b64encode(value).decode(),
            "ver": version,
        }

    def transact(self, raw):
        """Apply a transaction if its conditions hold."""
        expected = {self._read_id(item): item["ver"] for item in raw["expected"]}
        for row_id, version in expected.items():
            if self.rows.get(row_id, (b"", 0))[1] != version:
                found = [self._describe(item) for item in expected if item in self.rows]
                return 412, self._stamp(rows=found)
        puts = [
            (self._read_id(item), base64.b64decode(item["value"]))
            for item in raw["puts"]
        ]
        if any(row_id[0] in ("op", "servers") for row_id, _ in puts):
            return 403, {}
        self._apply(puts, [self._read_id(item) for item in raw.get("remove", ())])
        return 200, self._stamp()

    async def handle(self, node, method, path, query, raw):
        if path == "/rows-tx":
            self.writes += 1
            if self.fault is not None:
                answer = await self.fault(node, raw)
                if answer is not None:
                    return answer
            await asyncio.sleep(TX_S)
            return self.transact(raw)
        await asyncio.sleep(READ_S)
        if path == "/rows-get":
            return 200, self._read(query, node)
        if path == "/rows-parts":
            parts = sorted({row[1] for row in self.rows if row[0] == query["table"]})
            later = [part for part in parts if part > query.get("after", "")]
            return 200, self._stamp(parts=later[:1000], has_more=len(later) > 1000)
        if path == "/rows-feed":
            return await self._feed(query, node)
        return 404, {}

    def _read(self, query, node):
        limit = min(500, int(query.get("limit", 500)))
        table, part = query["table"], query.get("part", "")
        found = sorted(
            row
            for row in self.rows
            if row[:2] == (table, part)
            and row[2] >= query.get("from", "")
            and ("to" not in query or row[2] < query["to"])
        )
        rows = [self._describe(row, node) for row in found[:limit]]
        return self._stamp(rows=rows, has_more=len(found) > limit)

    async def _feed(self, query, node):
        after, table = int(query["after"]), query["table"]
        until = time.monotonic() + min(30_000, int(query.get("wait_ms", 0))) / 1000
        while True:
            if self.history and after < self.history[0][0] - 1:
                return 410, {}
            found = {}
            for version, _, row_id, deleted in self.history:
                if version > after and row_id[0] == table:
                    found.pop(row_id, None)
                    found[row_id] = (version, deleted)
            left_s = until - time.monotonic()
            if found or left_s <= 0:
                rows = []
                for row_id, (version, deleted) in found.items():
                    if deleted or row_id not in self.rows:
                        rows.append(
                            {
                                "table": row_id[0],
                                "part": row_id[1],
                                "key": row_id[2],
                                "ver": version,
                                "deleted": True,
                            }
                        )
                    else:
                        rows.append(self._describe(row_id, node))
                return 200, self._stamp(rows=rows)
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass


class Run:
    def __init__(self, number, spec, done_at):
        self.number = number
        self.spec = spec
        self.began = time.monotonic()
        self.done_at = done_at


class Worker:
    """One boot of a worker: it runs subtasks for the time that their spec tells."""

    def __init__(self, deployment, machine, worker_id, host, port, born=None):
        self.deployment = deployment
        self.machine = machine
        self.id = worker_id
        self.host, self.port = host, port
        self.addresses = {}
        self.born = born
        self.began = time.monotonic()
        self.fence = 0
        self.deadline_ms = 0.0
        self.running = {}
        self.highest = {}
        self.ended = []
        self.sequence = 0
        self.acked = 0
        self.news = asyncio.Event()
        self.up = True
        self.fault = None
        """Called with the path and body of each call before it is carried out."""
        self.listeners = {}

    def clock_ms(self):
        return (time.monotonic() - self.began) * 1000

    async def start(self, first_beat_s=0.0):
        """Listen, at an address of its own for each node, and report to the store.

        :param first_beat_s: seconds until the first liveness report.
        """
        for node in self.deployment.nodes:
            listener = HttpListener(self._handle)
            listener.note_request = functools.partial(self._note_request, node)
            port = self.port + len(self.listeners)
            await listener.listen(self.host, port)
            self.listeners[node.name] = listener
            self.addresses[node.name] = f"{self.host}:{port}"
            if node.is_cut:
                listener.begin_cut()
        self.deployment.later(first_beat_s, self._begin_beat)
        self.deployment.spawn(self._work())

    def _note_request(self, node, method, target):
        if target == "/run-start":
            self.deployment.starter = node

    def write_entry(self, state="ready"):
        self.seq = getattr(self, "seq", 0) + 1
        value = {
            "service": self.machine.pool,
            "address": f"{self.host}:{self.port}",
            "zone": self.machine.zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_remaining_ms": 0,
            "capacity": self.machine.capacity,
            "labels": ["a", self.machine.rack],
            "clock_ms": round(self.clock_ms()),
            "seq": self.seq,
        }
        if self.born is not None:
            value["born"] = self.born
        self.deployment.store.put("servers", self.id, value)

    def _begin_beat(self):
        self.deployment.spawn(self._beat())

    async def _beat(self):
        while self.up:
            self.write_entry()
            await asyncio.sleep(BEAT_S)

    async def _work(self):
        while self.up:
            now = time.monotonic()
            for task, run in list(self.running.items()):
                if run.done_at is not None and now >= run.done_at:
                    self.end(task, self._choose_end(run))
            if self.running and self.clock_ms() > self.deadline_ms:
                for task in list(self.running):
                    self.end(task, "lapsed")
            await asyncio.sleep(0.005)

    @staticmethod
    def _choose_end(run):
        return "failed" if "fails" in run.spec else "done"

    def end(self, task, how):
        run = self.running.pop(task)
        self.sequence += 1
        self.ended.append([self.sequence, task, run.number, how, ""])
        self.deployment.note_end(self, task, run.number, how)
        self.news.set()
        self.news = asyncio.Event()

    async def crash(self):
        """End at once; what ran is gone."""
        self.up = False
        for listener in self.listeners.values():
            await listener.close()
        for task, run in self.running.items():
            self.deployment.note_end(self, task, run.number, "crashed")
        self.running.clear()

    async def _handle(self, method, path, query, headers, raw):
        if not self.up:
            raise Drop
        if headers.get("expected-instance", self.id) != self.id:
            return 421, {}
        if path == "/healthz":
            return 200, {}
        if self.fault is not None:
            answer = await self.fault(path, raw)
            if answer is not None:
                return answer
        return await self.carry_out(path, raw)

    async def carry_out(self, path, raw):
        token = raw.get("fencing_token", 0)
        if token < self.fence:
            return 409, self._stamp(reason="fence")
        self.fence = token
        if path == "/run-start":
            return self._start_run(raw)
        if path == "/run-stop":
            return self._stop_run(raw)
        if path == "/hold":
            return await self._hold(raw)
        if path == "/pace":
            return 200, self._stamp()
        return 404, {}

    def _stamp(self, **value):
        stamped = {**value, "clock_ms": round(self.clock_ms())}
        if self.born is not None:
            stamped["born"] = self.born
        return stamped

    def _extend(self, raw):
        if "deadline_ms" in raw:
            longest = self.clock_ms() + MAX_HOLD_MS
            self.deadline_ms = max(self.deadline_ms, min(raw["deadline_ms"], longest))

    def _start_run(self, raw):
        task, number = raw["task"], raw["run"]
        if raw["deadline_ms"] < self.clock_ms():
            return 409, self._stamp(reason="late")
        self._extend(raw)
        current = self.running.get(task)
        if current is not None and current.number == number:
            return 200, self._stamp()
        if current is not None or number <= self.highest.get(task, 0):
            return 409, self._stamp(reason="old")
        if not self.deployment.has_ticket(self, raw):
            return 409, self._stamp(reason="ticket")
        if not self.deployment.has_room(self, task):
            return 409, self._stamp(reason="room")
        self.highest[task] = number
        seconds = re.search(r"ms=(\d+)", raw["spec"])
        done_at = None
        if seconds:
            done_at = time.monotonic() + int(seconds[1]) / 1000
        self.running[task] = Run(number, raw["spec"], done_at)
        self.deployment.note_start(self, task, number)
        return 200, self._stamp()

    def _stop_run(self, raw):
        task, number = raw["task"], raw["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        current = self.running.get(task)
        if current is not None and current.number <= number:
            self.deployment.later(STOP_S / 2, self._end_stopped, task, current)
        return 200, self._stamp()

    def _end_stopped(self, task, run):
        if self.running.get(task) is run:
            self.end(task, "stopped")

    async def _hold(self, raw):
        self.acked = max(self.acked, raw.get("acked_upto", 0))
        forgotten = [end for end in self.ended if end[0] <= self.acked]
        self.ended = [end for end in self.ended if end[0] > self.acked]
        self.deployment.note_forgotten(self, forgotten)
        self._extend(raw)
        if raw.get("wait_ms") and not self.ended:
            news = self.news
            try:
                await asyncio.wait_for(news.wait(), min(2000, raw["wait_ms"]) / 1000)
            except TimeoutError:
                pass
        now = time.monotonic()
        running = []
        for task, run in self.running.items():
            percent = 100
            if run.done_at is not None:
                share = (now - run.began) / max(0.001, run.done_at - run.began)
                percent = min(99, int(share * 100))
            running.append([task, run.number, "", percent, 0])
        ended = self.ended[:MAX_LISTED_ENDS]
        return 200, self._stamp(running=running, ended=ended)


class Order:
    """An order about a machine that has arrived at the platform."""

    def __init__(self, at, machine, pool, holder, fence, status):
        self.at, self.machine, self.pool = at, machine, pool
        self.holder, self.fence, self.status = holder, fence, status


class Machine:
    def __init__(self, name, pool, zone, rack, capacity):
        self.name, self.pool, self.zone, self.rack = name, pool, zone, rack
        self.capacity = capacity
        self.worker = None
        self.state = ""

    def get_state(self):
        if self.state:
            return self.state
        off = self.pool == SPARE_POOL
        return "up" if off or (self.worker is not None and self.worker.up) else "down"

    def describe(self):
        worker = self.worker
        up = worker is not None and worker.up
        return {
            "machine": self.name,
            "pool": self.pool,
            "state": self.get_state(),
            "zone": self.zone,
            "labels": ["a", self.rack],
            "capacity": self.capacity,
            "id": worker.id if up else "",
        }


class Node:
    """A node as a process of its own."""

    def __init__(self, deployment, number):
        self.deployment = deployment
        self.name = f"front-{number}"
        self.host = f"127.{NETWORK}.1.{number}"
        self.front = reserve_port(self.host)
        self.ready = reserve_port(self.host)
        self.store = 0
        self.process = None
        self.is_cut = False
        self.relays = {}

    def write_settings(self, folder):
        first = reserve_port(self.host)
        lines = {
            "node": self.name,
            "role": "node",
            "machine_class": "front",
            "serves": "front",
            "ip": self.host,
            "zone": f"zone-{'abcd'[hash(self.name) % 4]}",
            "listen.front": f"{self.host}:{self.front}",
            "listen.ready": f"{self.host}:{self.ready}",
            "port_range": f"{first},{first + 15}",
            "bootstrap": "true",
            "limits.cpu_share": "0.537",
            "limits.cores": "2",
            "limits.memory_mb": "300",
            "limits.max_fds": "4100",
            "heartbeat_ms": "1500",
            "contracts": "base,drain,config,cost,recover,sched,platform,upkeep,sharing",
            "bounds.contact_ms": "3000",
            "bounds.ack_ms": "4000",
            "bounds.drain_ms": "2000",
            "bounds.grace_s": "6",
            "bounds.config_apply_ms": "2000",
            "bounds.max_hold_ms": str(MAX_HOLD_MS),
            "bounds.stop_ms": "200",
            "bounds.cancel_ms": "3000",
            "bounds.visible_ms": "3000",
            "bounds.early_ms": "250",
            "bounds.status_s": "120",
            "bounds.far_x": "3",
            "bounds.notice_ms": "4500",
            "bounds.move_s": "1.5",
            "bounds.upkeep_s": "2",
            "bounds.fencing": "false",
            "bounds.lease_ms": "3000",
            "control_mode": "invoke",
            "platform.address": f"127.0.0.1:{self.store}",
            "platform.form": "table",
            "platform.row_bytes": "65536",
            "platform.across": "false",
            "cloud.address": f"127.0.0.1:{self.store}",
        }
        if self.deployment.advice_port:
            lines["advice"] = f"127.0.0.1:{self.deployment.advice_port}"
        path = folder / f"{self.name}.conf"
        path.write_text("".join(f"{key}={value}\n" for key, value in lines.items()))
        return path

    async def listen(self):
        self.listener = HttpListener(self._handle)
        self.store = await self.listener.listen("127.0.0.1")
        for other in self.deployment.nodes:
            self.relays[other.name] = Relay(self, other)
            await self.relays[other.name].listen()

    def rewrite(self, row_id, value):
        """Give the addresses in a row as this node reaches them."""
        table, _, key = row_id
        if table == "servers":
            worker = self.deployment.find_worker(key)
            if worker is None:
                return value
            address = worker.addresses[self.name]
            return json.dumps({**json.loads(value), "address": address}).encode()
        if table == MEMBER_TABLE and key in self.relays and key != self.name:
            raw, relay = json.loads(value), self.relays[key]
            if raw["address"]:
                host, _, port = raw["address"].rpartition(":")
                relay.target = (host, int(port))
                raw["address"] = relay.get_address()
            return json.dumps(raw).encode()
        return value

    def list_listeners(self):
        """List what this node reaches: the platform, and each worker."""
        workers = [machine.worker for machine in self.deployment.machines]
        return [self.listener] + [
            worker.listeners[self.name]
            for worker in workers
            if worker is not None and self.name in worker.listeners
        ]

    def begin_cut(self):
        """Cut this node off from the platform, the workers and the other nodes."""
        self.is_cut = True
        for listener in self.list_listeners():
            listener.begin_cut()

    def heal(self):
        """End the cut."""
        self.is_cut = False
        for listener in self.list_listeners():
            listener.heal()

    async def _handle(self, method, path, query, headers, raw):
        if path.startswith("/machine"):
            return await self.deployment.handle_machines(self, path, headers, raw)
        return await self.deployment.store.handle(self, method, path, query, raw)

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["node"]["run"].split()
        folder = self.deployment.folder
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "ONYXGAP_CONFIG": str(self.write_settings(folder)),
        }
        log = open(folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            words, cwd=ROOT, env=environment, stdout=log, stderr=log
        )

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class Deployment:
    """A small deployment: nodes, workers, the store and what was seen of them."""

    def __init__(
        self, record, nodes=3, workers=4, services=("alpha",), born=False, spares=0
    ):
        self.record = record
        self.tasks = set()
        self.store = Store(record)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.nodes = [Node(self, number + 1) for number in range(nodes)]
        self.machines = []
        self.services = services
        self.runs = {}
        self.starts = []
        self.ends = []
        self.born = born
        self.orders = []
        self.waves = {}
        self.advice_port = 0
        self.starter = None
        """Node that has last told a worker to start a subtask."""
        self.boots = 0
        capacity = {"cpu": 32000, "mem_mb": 65536, "gpu": 0}
        for service in services:
            for number in range(workers):
                self.machines.append(
                    Machine(
                        f"m-{service}-{number}",
                        service,
                        f"zone-{'abcd'[number % 4]}",
                        f"r1-{number // 4}",
                        capacity,
                    )
                )
        for number in range(spares):
            self.machines.append(
                Machine(f"m-spare-{number}", SPARE_POOL, "zone-a", "r1-9", capacity)
            )
        self.spares = spares
        self.routes = [
            {
                "name": f"q-{service}",
                "host": "jobs.example",
                "path_prefix": f"/{service}/",
                "kind": "unsafe",
                "timeout_ms": 3000,
                "slo_ms": 600,
                "priority": 0,
                "service": service,
                "max_attempts": 3,
                "stretch": 1.6,
            }
            for service in services
        ]
        self.version = 1

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def later(self, seconds, call, *args):
        asyncio.get_running_loop().call_later(seconds, call, *args)

    def write_config(self):
        services = [
            {
                "name": service,
                "health_path": "/healthz",
                "max_conns": 64,
                "protocol": "h1",
                "tls": False,
                "admission_check": True,
                "spare": service == SPARE_POOL,
            }
            for service in [*self.services, *[SPARE_POOL][: self.spares]]
        ]
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        self.store.put(
            "op",
            "config",
            {
                "version": self.version,
                "routes": self.routes,
                "services": services,
                "limits": limits,
            },
        )
        self.record.note("config acknowledged", version=self.version)

    async def boot_worker(self, machine, worker_id=None, port=None, first_beat_s=0.0):
        self.boots += 1
        number = self.machines.index(machine) + 1
        host = f"127.{NETWORK}.2.{number}"
        worker = Worker(
            self,
            machine,
            worker_id or f"i-{self.boots:04x}{random.randrange(65536):04x}",
            host,
            port or reserve_ports(host, len(self.nodes)),
            round(time.time() * 1000) if self.born else None,
        )
        machine.worker = worker
        await worker.start(first_beat_s)
        self.record.note("worker boots", worker=worker.id, machine=machine.name)
        return worker

    async def start(self):
        self.write_config()
        for machine in self.machines:
            if machine.pool != SPARE_POOL:
                await self.boot_worker(machine)
        for node in self.nodes:
            await node.listen()
            node.start()
        await self.wait_ready()

    def find_worker(self, worker_id):
        for machine in self.machines:
            if machine.worker is not None and machine.worker.id == worker_id:
                return machine.worker
        return None

    async def wait_ready(self, seconds=30):
        until = time.monotonic() + seconds
        for node in self.nodes:
            while time.monotonic() < until:
                status, _ = await self.call(node, "GET", "/readyz", ready=True)
                if status == 200:
                    break
                await asyncio.sleep(0.2)
            else:
                raise RuntimeError(f"{node.name} isn't ready")

    def stop(self):
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
        for node in self.nodes:
            if node.process is not None:
                node.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def has_ticket(self, worker, raw):
        """Tell whether a start has the ticket that its queue's policy asks for."""
        return True

    def has_room(self, worker, task):
        return len(worker.running) < 64

    def note_start(self, worker, task, run):
        self.starts.append((time.monotonic(), worker.id, task, run))
        self.record.note("start", worker=worker.id, task=task, run=run)

    def note_end(self, worker, task, run, how):
        self.ends.append((time.monotonic(), worker.id, task, run, how))
        self.record.note("end", worker=worker.id, task=task, run=run, how=how)

    def note_forgotten(self, worker, ends):
        """See ends that a node has taken note of."""

    async def handle_machines(self, node, path, headers, raw):
        await asyncio.sleep(READ_S)
        if path == "/machines":
            listed = [machine.describe() for machine in self.machines]
            return 200, {"machines": listed, "next_token": None}
        status, reason = await self.carry_out_order(path, raw)
        order = Order(
            time.monotonic(),
            raw["machine"],
            raw.get("pool", path),
            headers["lease-holder"],
            int(headers["fencing-token"]),
            status,
        )
        self.orders.append(order)
        self.record.note(
            "machine order",
            node=node.name,
            machine=order.machine,
            pool=order.pool,
            holder=order.holder,
            fence=order.fence,
            status=status,
            reason=reason,
        )
        return status, {"reason": reason}

    async def carry_out_order(self, path, raw):
        """Carry an order out, as the platform does where it does not check fences."""
        found = [item for item in self.machines if item.name == raw["machine"]]
        if not found:
            return 400, ""
        machine = found[0]
        upkeep = path == "/machine-upkeep"
        wave = self.waves.get(raw.get("wave"), {"machines": [], "done": set()})
        if upkeep and machine.name not in wave["machines"]:
            return 409, "wave"
        if upkeep and machine.name in wave["done"]:
            return 200, ""
        if not upkeep and machine.pool == raw["pool"]:
            return 200, ""
        if machine.get_state() != "up":
            return 409, "busy"
        if machine.worker is not None and machine.worker.up:
            self.store.drop("servers", machine.worker.id)
            await machine.worker.crash()
        machine.worker = None
        if upkeep:
            wave["done"].add(machine.name)
            machine.state = "upkeep"
        else:
            machine.pool, machine.state = raw["pool"], "moving"
        seconds = UPKEEP_S if upkeep else MOVE_S
        self.later(seconds, lambda: self.spawn(self._finish_order(machine)))
        return 200, ""

    async def _finish_order(self, machine):
        if machine.pool != SPARE_POOL:
            await self.boot_worker(machine)
        machine.state = ""

    def write_wave(self, number, machines, duration_s, cap):
        """Ask for the upkeep of machines, as the operator does."""
        names = [machine.name for machine in machines]
        self.waves[number] = {"machines": names, "done": set()}
        self.store.put(
            "op",
            f"wave/{number}",
            {"wave": number, "machines": names, "duration_s": duration_s, "cap": cap},
        )
        self.record.note("wave", number=number, machines=",".join(names), cap=cap)

    async def call(self, node, method, path, body=None, ready=False, timeout_s=3.0):
        """Make one call as a consumer; the status is 0 if there is no answer."""
        port = node.ready if ready else node.front
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(node.host, port)
                try:
                    content = b"" if body is None else json.dumps(body).encode()
                    head = (
                        f"{method} {path} HTTP/1.1\r\nHost: jobs.example\r\n"
                        f"Timeout-Ms: {int(timeout_s * 1000)}\r\nConnection: close\r\n"
                    )
                    if content:
                        head += "Content-Type: application/json\r\n"
                        head += f"Content-Length: {len(content)}\r\n"
                    writer.write(head.encode() + b"\r\n" + content)
                    await writer.drain()
                    data = await reader.read()
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError):
            return 0, {}
        if not data:
            return 0, {}
        head, _, content = data.partition(b"\r\n\r\n")
        try:
            value = json.loads(content)
        except ValueError:
            value = {}
        return int(head.split(b" ")[1]), value

    async def ask(self, node, method, path, body=None, timeout_s=3.0):
        """Make one call as a consumer, and record it."""
        self.record.note("call", node=node.name, method=method, path=path)
        status, value = await self.call(node, method, path, body, timeout_s=timeout_s)
        self.record.note(
            "answer",
            node=node.name,
            method=method,
            path=path,
            status=status or "none",
            value=json.dumps(value),
        )
        return status, value


def new_job_id():
    """Choose the ID of a job, as a consumer does."""
    return f"{random.getrandbits(64):016x}"


def run_case(play, folder, troubled):
    """Play a case, and end the process with its result.

    :param play: plays the case, given a record and whether the disruption is played;
        returns a text for each way in which the rule was broken.
    :param folder: folder of the case, where the record is written.
    :param troubled: whether the disruption is played.
    """
    record = Record(pathlib.Path(folder) / "record.txt")
    record.note("case", trouble=int(troubled))
    code = 2
    try:
        breaches = asyncio.run(_limit(play(record, troubled)))
    except BaseException as error:
        record.note("case could not run", error=repr(error))
    else:
        for breach in breaches:
            record.note("RULE BROKEN:", seen=breach)
        code = 1 if breaches else 0
    record.note("result", exit=code)
    print(f"exit {code}; see record.txt")
    sys.stdout.flush()
    # the stand-ins are abandoned at once, with connections that wait
    os._exit(code)


async def _limit(coroutine):
    # the connections of the stand-ins end with the process, not with an error each
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    async with asyncio.timeout(LIMIT_S):
        return await coroutine
