"""Stand-in of the platform: its store of rows in tables, and its list of machines.

It follows PROTOCOL.md. What the pages leave open is answered as a sound store would: a
call over a published limit is refused with 400 and does nothing.
"""

import asyncio
import base64
import collections
import json
import time

from .http import RESET
from .http import SILENT
from .http import Server

MAX_ENTRIES = 100
MAX_CALL_BYTES = 2**20
MAX_PAGE_ROWS = 500
MAX_PAGE_BYTES = 2**20
MAX_WAITING_S = 1.0


class Platform:
    """The store and the machines, on one address."""

    def __init__(self, record, row_bytes=65_536, history_s=20.0):
        self.record = record
        self.row_bytes, self.history_s = row_bytes, history_s
        self.tx_s, self.read_s = 0.005, 0.004
        self.writes_per_s, self.reads_per_s = 800, 2000
        self.slowness = 1.0
        self.deaf = False
        self.ver = 1
        self.tables = collections.defaultdict(dict)
        self.history = collections.deque()
        self.forgotten = 0
        self.changed = asyncio.Event()
        self.free_at = collections.defaultdict(float)
        self.calls = {"write": collections.deque(), "read": collections.deque()}
        self.refused = collections.Counter()
        self.machines = []
        self.began = time.monotonic()
        self.turned_away = {}
        self.doors = {}
        self.cloud_server = Server(self.handle_cloud)

    def add_door(self, node):
        """Return the server through which one node reaches the store."""

        async def handle(request):
            return await self.handle(request, self.turned_away.get(node))

        self.doors[node] = Server(handle)
        return self.doors[node]

    def close(self):
        """Close all channels."""
        for server in (*self.doors.values(), self.cloud_server):
            server.close()

    def now_ms(self):
        """Read the store's steady clock."""
        return int((time.monotonic() - self.began) * 1000) + 1000

    def get(self, table, part, key):
        """Return the value of a row, or None."""
        row = self.tables[table].get((part, key))
        return None if row is None else base64.b64decode(row[0])

    def put(self, table, key, value, part=""):
        """Write a row as the operator or a worker does."""
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        self._apply([(table, part, key, encoded)], [])

    def discard_history(self):
        """Discard the history: feeds have to begin anew."""
        self.forgotten = self.ver
        self.history.clear()
        self._wake()

    async def compact(self, deaf_s=1.0):
        """Have feeds hear nothing for a while, then discard the history."""
        self.deaf = True
        await asyncio.sleep(deaf_s)
        self.deaf = False
        self.discard_history()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _apply(self, puts, removals):
        self.ver += 1
        now = time.monotonic()
        for table, part, key, value in puts:
            self.tables[table][part, key] = (value, self.ver)
            self.history.append((self.ver, now, table, part, key, value, False))
        for table, part, key in removals:
            if self.tables[table].pop((part, key), None) is not None:
                self.history.append((self.ver, now, table, part, key, "", True))
        while self.history and self.history[0][1] < now - self.history_s:
            self.forgotten = max(self.forgotten, self.history.popleft()[0])
        self._wake()

    def _is_over_rate(self, kind, limit):
        calls, now = self.calls[kind], time.monotonic()
        while calls and calls[0] < now - 1.0:
            calls.popleft()
        if len(calls) >= limit:
            return True
        calls.append(now)
        return False

    async def handle(self, request, down=None):
        """Answer a call to the store, or not where it turns the node away."""
        if down is not None:
            return {"busy": (503, {}), "reset": RESET, "silent": SILENT}[down]
        if request.path == "/rows-tx":
            if self._is_over_rate("write", self.writes_per_s):
                return 429, {}
            return await self._transact(request)
        if self._is_over_rate("read", self.reads_per_s):
            return 429, {}
        if request.path == "/rows-get":
            return await self._read(request.query)
        if request.path == "/rows-feed":
            return await self._feed(request.query)
        if request.path == "/rows-parts":
            await asyncio.sleep(self.read_s * self.slowness)
            table = self.tables[request.query["table"]]
            return 200, {"parts": sorted({part for part, _ in table})}
        return 404, {}

    def _check(self, request, raw):
        """Return why a transaction is over a published limit, or an empty string."""
        entries = sum(len(raw.get(name, ())) for name in ("expected", "puts", "remove"))
        if entries > MAX_ENTRIES:
            return f"{entries} entries"
        if len(request.body) > MAX_CALL_BYTES:
            return f"call of {len(request.body)} bytes"
        for item in raw.get("puts", ()):
            size = len(base64.b64decode(item["value"]))
            if size > self.row_bytes:
                return f"row {item['table']}/{item['key']} of {size} bytes"
        return ""

    async def _transact(self, request):
        raw = request.json()
        reason = self._check(request, raw)
        if reason:
            self.refused[reason.split(" of ")[0]] += 1
            self.record.write("store-refused", reason=reason)
            return 400, {"error": reason}
        items = [*raw.get("expected", ()), *raw.get("puts", ()), *raw.get("remove", ())]
        parts = {item.get("part", "") for item in items}
        if len(parts) > 1 and not raw.get("across"):
            return 400, {"error": "several parts"}
        part = min(parts)
        now = time.monotonic()
        took_s = self.tx_s * self.slowness * len(parts)
        if self.free_at[part] - now > MAX_WAITING_S:
            return 429, {}
        self.free_at[part] = max(now, self.free_at[part]) + took_s
        await asyncio.sleep(self.free_at[part] - now)
        return self._try(raw)

    def _try(self, raw):
        conflict = False
        for item in raw.get("expected", ()):
            row = self.tables[item["table"]].get((item.get("part", ""), item["key"]))
            conflict |= (row[1] if row else 0) != item["ver"]
        if conflict:
            rows = []
            for item in raw["expected"]:
                table, part, key = item["table"], item.get("part", ""), item["key"]
                row = self.tables[table].get((part, key))
                if row:
                    rows.append(self._describe(table, part, key, *row))
            return 412, {"rows": rows, "ver": self.ver, "now_ms": self.now_ms()}
        puts = [
            (item["table"], item.get("part", ""), item["key"], item["value"])
            for item in raw.get("puts", ())
        ]
        removals = [
            (item["table"], item.get("part", ""), item["key"])
            for item in raw.get("remove", ())
        ]
        self._apply(puts, removals)
        return 200, {"ver": self.ver, "now_ms": self.now_ms()}

    @staticmethod
    def _describe(table, part, key, value, ver, deleted=False):
        row = {"table": table, "part": part, "key": key, "value": value, "ver": ver}
        return {**row, "deleted": True} if deleted else row

    async def _read(self, query):
        await asyncio.sleep(self.read_s * self.slowness)
        table, part = query["table"], query.get("part", "")
        first, last = query.get("from", ""), query.get("to")
        keys = sorted(
            key
            for row_part, key in self.tables[table]
            if row_part == part and key >= first and (last is None or key < last)
        )
        limit = min(int(query.get("limit", MAX_PAGE_ROWS)), MAX_PAGE_ROWS)
        rows, size = [], 0
        for key in keys[:limit]:
            row = self._describe(table, part, key, *self.tables[table][part, key])
            size += len(row["value"]) + 200
            if rows and size > MAX_PAGE_BYTES:
                break
            rows.append(row)
        return 200, {
            "rows": rows,
            "has_more": len(rows) < len(keys),
            "ver": self.ver,
            "now_ms": self.now_ms(),
        }

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        await asyncio.sleep(self.read_s * self.slowness)
        while True:
            if after < self.forgotten:
                return 410, {}
            rows = (
                []
                if self.deaf
                else [
                    self._describe(item[2], item[3], item[4], item[5], item[0], item[6])
                    for item in list_changes(self.history, after)
                    if item[2] == table
                ]
            )
            left_s = deadline - time.monotonic()
            if rows or left_s <= 0:
                ver = after if self.deaf else self.ver
                return 200, {"rows": rows, "ver": ver, "now_ms": self.now_ms()}
            changed = self.changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    async def handle_cloud(self, request):
        """Answer a call about machines."""
        await asyncio.sleep(self.read_s)
        if request.path == "/machines":
            machines = [machine() for machine in self.machines]
            return 200, {"machines": machines, "next_token": None}
        return 400, {}


def list_changes(history, after):
    """List the changes after a version, in order."""
    found = []
    for item in reversed(history):
        if item[0] <= after:
            break
        found.append(item)
    found.reverse()
    return found
