"""Stand-ins of the platform's store, its machines and their workers.

They follow PROTOCOL.md. Where a page is silent, they do what a sound platform does.
"""

import asyncio
import base64
import json
import time

from httpd import Server

ANSWER_S = 0.004
TX_S = 0.005


class Record:
    """Lines of record.txt, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


class Store:
    """Tables of rows, transactions and feeds."""

    def __init__(self):
        self.rows = {}
        self.ver = 1
        self.history = []
        self.changed = asyncio.Event()
        self.busy = {}
        self.started = time.monotonic()

    def now_ms(self):
        return round((time.monotonic() - self.started) * 1000) + 1000

    def put(self, table, key, value, part=""):
        self._apply([], [(table, part, key, json.dumps(value).encode())], [])

    def drop(self, table, key, part=""):
        self._apply([], [], [(table, part, key)])

    def _row(self, row_id, value, ver):
        table, part, key = row_id
        encoded = base64.b64encode(value).decode()
        return {"table": table, "part": part, "key": key, "value": encoded, "ver": ver}

    def _apply(self, expected, puts, removals):
        for row_id, ver in expected:
            if self.rows.get(row_id, (None, 0))[1] != ver:
                found = [item for item, _ in expected if item in self.rows]
                return 412, {"rows": [self._row(r, *self.rows[r]) for r in found]}
        self.ver += 1
        for table, part, key, value in puts:
            self.rows[(table, part, key)] = (value, self.ver)
            row = self._row((table, part, key), value, self.ver)
            self.history.append((self.ver, table, row))
        for row_id in removals:
            if self.rows.pop(row_id, None) is not None:
                row = {**self._row(row_id, b"", self.ver), "deleted": True}
                self.history.append((self.ver, row_id[0], row))
        self.changed.set()
        self.changed = asyncio.Event()
        return 200, {"ver": self.ver, "now_ms": self.now_ms()}

    async def transact(self, raw):
        def name(item):
            return item["table"], item.get("part", ""), item["key"]

        expected = [(name(e), e.get("ver", 0)) for e in raw.get("expected") or ()]
        puts = [
            (*name(e), base64.b64decode(e.get("value") or ""))
            for e in raw.get("puts") or ()
        ]
        removals = [name(e) for e in raw.get("remove") or ()]
        ids = [i for i, _ in expected] + [p[:3] for p in puts] + removals
        if any(i[0] in ("op", "servers") for i in [p[:3] for p in puts] + removals):
            return 403, {}
        parts = {i[1] for i in ids}
        if len(ids) > 100 or any(len(p[3]) > 65536 for p in puts):
            return 400, {}
        if len(parts) > 1 and not raw.get("across"):
            return 400, {}
        now = time.monotonic()
        begin = max([now, *(self.busy.get(p, 0.0) for p in parts)])
        if begin - now > 1.0:
            return 429, {}
        end = begin + TX_S * (1 if len(parts) == 1 else 2)
        self.busy.update(dict.fromkeys(parts, end))
        await asyncio.sleep(end - now)
        return self._apply(expected, puts, removals)

    def read(self, query):
        table, part = query["table"], query.get("part", "")
        low, high = query.get("from", ""), query.get("to")
        limit = min(int(query.get("limit", 500)), 500)
        keys = sorted(
            r[2]
            for r in self.rows
            if r[0] == table and r[1] == part and r[2] >= low
            and (high is None or r[2] < high)
        )
        rows = []
        for key in keys[:limit]:
            row_id = (table, part, key)
            rows.append(self._row(row_id, *self.rows[row_id]))
        more = len(keys) > limit
        return 200, {
            "rows": rows, "has_more": more, "ver": self.ver, "now_ms": self.now_ms()
        }

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            rows = [r for v, t, r in self.history if t == table and v > after]
            left = until - time.monotonic()
            if rows or left <= 0:
                value = {"rows": rows, "ver": self.ver, "now_ms": self.now_ms()}
                return 200, value
            event = self.changed
            try:
                await asyncio.wait_for(event.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def handle(self, request):
        await asyncio.sleep(ANSWER_S)
        if request.path == "/rows-tx":
            return await self.transact(request.json())
        if request.path == "/rows-get":
            return self.read(request.query)
        if request.path == "/rows-feed":
            return await self.feed(request.query)
        if request.path == "/rows-parts":
            parts = {r[1] for r in self.rows if r[0] == request.query["table"]}
            return 200, {"parts": sorted(parts), "has_more": False}
        return 404, {}


class Run:
    """A run on a worker."""

    def __init__(self, task, number, spec, work_s):
        self.task, self.number, self.spec, self.work_s = task, number, spec, work_s
        self.since = time.monotonic()
        self.timer = None

    def percent(self):
        done = (time.monotonic() - self.since) / self.work_s
        return min(99, int(100 * done))


class Worker:
    """One life of a machine. A spec is "WORK_MS ..." and tells how long a run works."""

    def __init__(self, world, machine, worker_id, service, host, port):
        self.world, self.machine, self.id = world, machine, worker_id
        self.service, self.host, self.port = service, host, port
        self.boot = time.monotonic()
        self.fence = 0
        self.lease = 0.0
        self.runs = {}
        self.closed = {}
        self.ended = []
        self.sequence = 0
        self.beat = 0
        self.alive = True
        self.end_noted = asyncio.Event()
        self.server = Server(self.handle)
        self.tasks = []

    async def start(self):
        await self.server.listen(self.host, self.port)
        self.tasks = [
            asyncio.create_task(self._beat()), asyncio.create_task(self._watch_lease())
        ]

    def clock(self):
        return (time.monotonic() - self.boot) * 1000 + 1

    async def _beat(self):
        while True:
            self.beat += 1
            entry = {
                "service": self.service, "address": f"{self.host}:{self.port}",
                "zone": self.machine.zone, "version": "v1", "slots": 8,
                "state": "ready", "cold_remaining_ms": 0,
                "capacity": {"cpu": self.machine.cpu, "mem_mb": 65536, "gpu": 0},
                "labels": ["a", self.machine.rack], "clock_ms": int(self.clock()),
                "seq": self.beat,
            }
            self.world.store.put("servers", self.id, entry)
            await asyncio.sleep(1.5)

    async def _watch_lease(self):
        while True:
            await asyncio.sleep(0.01)
            if self.runs and self.clock() > self.lease:
                for key in list(self.runs):
                    self._end(key, "lapsed")

    def _extend(self, deadline):
        if deadline is not None:
            limit = self.clock() + self.world.max_hold_ms
            self.lease = max(self.lease, min(deadline, limit))

    def _end(self, key, how):
        run = self.runs.pop(key, None)
        if run is None:
            return
        if run.timer is not None:
            run.timer.cancel()
        self.closed[run.task] = max(self.closed.get(run.task, 0), run.number)
        self.sequence += 1
        self.ended.append([self.sequence, run.task, run.number, how, ""])
        self.world.record(f"worker {self.id}: run {run.task} #{run.number} ended {how}")
        self.world.note_end(self, run, how)
        self.end_noted.set()
        self.end_noted = asyncio.Event()

    def crash(self):
        """End at once; all runs are gone and nothing is told to anybody."""
        self.alive = False
        for task in self.tasks:
            task.cancel()
        for run in self.runs.values():
            if run.timer is not None:
                run.timer.cancel()
        self.world.note_crash(self)
        self.server.crash()

    async def handle(self, request):
        raw = request.json()
        if request.headers.get("expected-instance", self.id) != self.id:
            return 421, {}
        token = raw.get("fencing_token", 0)
        answer = self._answer(request.path, raw, token)
        if request.path == "/hold" and answer[0] == 200:
            until = time.monotonic() + raw.get("wait_ms", 0) / 1000
            while not self.ended and time.monotonic() < until:
                event = self.end_noted
                try:
                    left = until - time.monotonic()
                    await asyncio.wait_for(event.wait(), max(0.0, left))
                except asyncio.TimeoutError:
                    pass
            running = [
                [r.task, r.number, "", r.percent(), 0] for r in self.runs.values()
            ]
            answer = 200, {"running": running, "ended": self.ended[:500]}
        return answer[0], {"clock_ms": int(self.clock()), **answer[1]}

    def _answer(self, path, raw, token):
        if token < self.fence:
            return 409, {"reason": "fence"}
        self.fence = token
        if path == "/hold":
            self._extend(raw.get("deadline_ms"))
            upto = raw.get("acked_upto", 0)
            for end in self.ended:
                if end[0] <= upto:
                    self.world.note_acknowledged(self, end)
            self.ended = [end for end in self.ended if end[0] > upto]
            return 200, {}
        key = (raw.get("task"), raw.get("run"))
        if path == "/run-stop":
            number = max(self.closed.get(key[0], 0), key[1])
            self.closed[key[0]] = number
            if key in self.runs:
                self.world.record(f"worker {self.id}: stop of {key[0]} #{key[1]}")
                asyncio.get_running_loop().call_later(0.1, self._end, key, "stopped")
            return 200, {}
        if path == "/run-start":
            return self._start(key, raw)
        if path == "/pace":
            return 200, {}
        return 404, {}

    def _start(self, key, raw):
        if key in self.runs:
            return 200, {}
        if raw["deadline_ms"] < self.clock():
            return 409, {"reason": "late"}
        self._extend(raw["deadline_ms"])
        if key[1] <= self.closed.get(key[0], 0):
            return 409, {"reason": "old"}
        used = sum(self.world.get_cpu(run.task) for run in self.runs.values())
        if used + self.world.get_cpu(key[0]) > self.machine.cpu:
            return 409, {"reason": "room"}
        if not self.world.has_ticket(self, key[0], raw.get("ticket")):
            return 409, {"reason": "ticket"}
        run = Run(*key, raw["spec"], int(raw["spec"].split()[0]) / 1000)
        self.runs[key] = run
        loop = asyncio.get_running_loop()
        run.timer = loop.call_later(run.work_s, self._end, key, "done")
        self.world.record(f"worker {self.id}: run {key[0]} #{key[1]} starts")
        self.world.note_start(self, run)
        return 200, {}


class Machine:
    """A machine of the platform."""

    def __init__(self, name, pool, rack, zone, cpu, host, port):
        self.name, self.pool, self.rack, self.zone = name, pool, rack, zone
        self.cpu, self.host, self.port = cpu, host, port
        self.state = "up"
        self.worker = None
        self.maintained = set()


class World:
    """The platform with its machines; subclasses override the note_ methods."""

    max_hold_ms = 6000
    move_s = 1.5
    upkeep_s = 2.0

    def __init__(self, record, spare_pool):
        self.record, self.spare_pool = record, spare_pool
        self.store = Store()
        self.machines = {}
        self.lives = 0
        self.waves = {}
        self.jobs_cpu = {}

    def get_cpu(self, task):
        return self.jobs_cpu.get(task.split(".")[0], 1000)

    def has_ticket(self, worker, task, ticket):
        return True

    def note_start(self, worker, run):
        pass

    def note_end(self, worker, run, how):
        pass

    def note_crash(self, worker):
        pass

    def note_acknowledged(self, worker, end):
        pass

    def note_order(self, machine, kind, holder, token, body):
        pass

    async def boot(self, machine):
        """Start a new life of a machine, unless it is in the spare pool."""
        machine.state = "up"
        machine.worker = None
        if machine.pool == self.spare_pool:
            return
        self.lives += 1
        worker = Worker(
            self, machine, f"i-{self.lives:08x}", machine.pool, machine.host,
            machine.port,
        )
        machine.worker = worker
        await worker.start()

    def crash(self, machine, down_s):
        """Crash the worker of a machine; a new life begins after some seconds."""
        worker = machine.worker
        machine.state, machine.worker = "down", None
        worker.crash()
        loop = asyncio.get_running_loop()
        loop.call_later(4.5, self.store.drop, "servers", worker.id)
        loop.call_later(down_s, lambda: asyncio.ensure_future(self.boot(machine)))

    def add_wave(self, number, machines, duration_s, cap):
        self.waves[number] = set(machines)
        value = {
            "wave": number, "machines": list(machines), "duration_s": duration_s,
            "cap": cap,
        }
        self.store.put("op", f"wave/{number}", value)

    async def handle_cloud(self, request):
        await asyncio.sleep(ANSWER_S)
        if request.path == "/machines":
            machines = [
                {
                    "machine": m.name, "pool": m.pool, "state": m.state,
                    "zone": m.zone, "labels": ["a", m.rack],
                    "capacity": {"cpu": m.cpu, "mem_mb": 65536, "gpu": 0},
                    "id": m.worker.id if m.worker is not None else "",
                }
                for m in self.machines.values()
            ]
            return 200, {"machines": machines, "next_token": None}
        body = request.json()
        machine = self.machines.get(body.get("machine"))
        if machine is None:
            return 400, {}
        kind = request.path.removeprefix("/machine-")
        holder = request.headers.get("lease-holder", "")
        token = int(request.headers.get("fencing-token", 0))
        status, reason = self._order(machine, kind, body)
        self.record(
            f"platform: order {kind} {json.dumps(body)} holder {holder} fence {token}"
            f" -> {status} {reason}"
        )
        self.note_order(machine, kind, holder, token, body)
        return status, {"reason": reason} if reason else {}

    def _order(self, machine, kind, body):
        if kind == "move" and machine.pool == body["pool"]:
            return 200, ""
        if kind == "upkeep" and body["wave"] in machine.maintained:
            return 200, ""
        if kind == "upkeep" and machine.name not in self.waves.get(body["wave"], ()):
            return 409, "wave"
        if machine.state != "up":
            return 409, "busy"
        worker = machine.worker
        if worker is not None:
            worker.crash()
            self.store.drop("servers", worker.id)
            machine.worker = None
        if kind == "move":
            machine.pool, machine.state, wait_s = body["pool"], "moving", self.move_s
        else:
            machine.maintained.add(body["wave"])
            machine.state, wait_s = "upkeep", self.upkeep_s
        loop = asyncio.get_running_loop()
        loop.call_later(wait_s, lambda: asyncio.ensure_future(self.boot(machine)))
        return 200, ""
