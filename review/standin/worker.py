"""Stand-in of a worker, as PROTOCOL.md describes it."""

import asyncio
import json
import time

from .http import Server

BEAT_S = 1.5
MAX_ENDS = 500
STOP_S = 0.1


class Run:
    """A run that is present on a worker."""

    def __init__(self, task, run, cpu, work_s):
        self.task, self.run, self.cpu, self.work_s = task, run, cpu, work_s
        self.began = time.monotonic()
        self.timer = None


class Worker:
    """One life of a worker.

    The spec of a job is JSON and tells how much CPU a subtask takes and how long.
    """

    def __init__(self, platform, record, worker_id, service, address, cpu, max_hold_s):
        self.platform, self.record = platform, record
        self.id, self.service, self.address = worker_id, service, address
        self.cpu, self.max_hold_ms = cpu, max_hold_s * 1000
        self.began = time.monotonic() - 1.0
        self.runs, self.ended, self.highest = {}, [], {}
        self.last_end = self.fence = self.beats = 0
        self.lease_ms = 0.0
        self.lease_timer = self.beat_task = None
        self.changed = asyncio.Event()
        self.alive = True
        self.server = Server(self.handle)
        platform.machines.append(self.describe_machine)

    def clock_ms(self):
        """Read the worker's steady clock."""
        return int((time.monotonic() - self.began) * 1000)

    def describe_machine(self):
        """Describe the machine as the platform lists it."""
        return {
            "machine": f"m-{self.id}",
            "pool": self.service,
            "state": "up",
            "zone": "zone-a",
            "labels": ["a", "r1-1"],
            "capacity": {"cpu": self.cpu, "mem_mb": 65_536, "gpu": 0},
            "id": self.id,
        }

    async def start(self):
        """Listen, and register from now on."""
        await self.server.start(*self.address)
        self.beat_task = asyncio.create_task(self._beat())

    async def _beat(self):
        while self.alive:
            self.beats += 1
            self.platform.put(
                "servers",
                self.id,
                {
                    "service": self.service,
                    "address": f"{self.address[0]}:{self.address[1]}",
                    "zone": "zone-a",
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "cold_remaining_ms": 0,
                    "capacity": {"cpu": self.cpu, "mem_mb": 65_536, "gpu": 0},
                    "labels": ["a", "r1-1"],
                    "clock_ms": self.clock_ms(),
                    "seq": self.beats,
                },
            )
            await asyncio.sleep(BEAT_S)

    def get_used(self):
        """Return the CPU of what is present."""
        return sum(item.cpu for item in self.runs.values())

    async def handle(self, request):
        """Carry out a call of the system."""
        if request.headers.get("expected-instance", self.id) != self.id:
            return 421, {}
        raw = request.json()
        token = raw.get("fencing_token", 0)
        if token < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = token
        if request.path == "/run-start":
            return self._start_run(raw)
        if request.path == "/run-stop":
            return self._stop_run(raw)
        if request.path == "/hold":
            return await self._hold(raw)
        return 404, {}

    def _extend(self, deadline_ms):
        if deadline_ms is None:
            return
        longest = self.clock_ms() + self.max_hold_ms
        self.lease_ms = max(self.lease_ms, min(deadline_ms, longest))
        self._set_lease_timer()

    def _set_lease_timer(self):
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        left_s = max(0.0, self.lease_ms - self.clock_ms()) / 1000
        loop = asyncio.get_running_loop()
        self.lease_timer = loop.call_later(left_s + 0.001, self._check_lease)

    def _check_lease(self):
        if self.clock_ms() < self.lease_ms:
            self._set_lease_timer()
            return
        for item in list(self.runs.values()):
            self._end(item, "lapsed")

    def _start_run(self, raw):
        task, run = raw["task"], raw["run"]
        present = self.runs.get(task)
        if present is not None and present.run == run:
            return 200, {"clock_ms": self.clock_ms()}
        reason = ""
        spec = json.loads(raw["spec"])
        if run <= self.highest.get(task, 0) or present is not None:
            reason = "old"
        elif self.clock_ms() > raw["deadline_ms"]:
            reason = "late"
        elif self.get_used() + spec["cpu"] > self.cpu:
            reason = "room"
        if reason != "late":
            self._extend(raw["deadline_ms"])
        if reason:
            self.record.write(
                "start-refused", worker=self.id, task=task, run=run, reason=reason
            )
            return 409, {"clock_ms": self.clock_ms(), "reason": reason}
        item = Run(task, run, spec["cpu"], spec["ms"] / 1000)
        self.runs[task] = item
        self.highest[task] = run
        loop = asyncio.get_running_loop()
        item.timer = loop.call_later(item.work_s, self._end, item, "done")
        self.record.write(
            "start", worker=self.id, task=task, run=run, fence=raw["fencing_token"]
        )
        return 200, {"clock_ms": self.clock_ms()}

    def _stop_run(self, raw):
        task, run = raw["task"], raw["run"]
        self.record.write("stop", worker=self.id, task=task, run=run)
        self.highest[task] = max(self.highest.get(task, 0), run)
        item = self.runs.get(task)
        if item is not None and item.run == run:
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_S, self._end, item, "stopped")
        return 200, {"clock_ms": self.clock_ms()}

    def _end(self, item, how):
        if self.runs.get(item.task) is not item:
            return
        del self.runs[item.task]
        item.timer.cancel()
        self.last_end += 1
        self.ended.append([self.last_end, item.task, item.run, how, ""])
        self.record.write("end", worker=self.id, task=item.task, run=item.run, how=how)
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def _hold(self, raw):
        acked = raw.get("acked_upto", 0)
        for end in self.ended:
            if end[0] <= acked:
                self.record.write(
                    "acked", worker=self.id, task=end[1], run=end[2], how=end[3]
                )
        self.ended = [end for end in self.ended if end[0] > acked]
        self._extend(raw.get("deadline_ms"))
        deadline = time.monotonic() + min(raw.get("wait_ms", 0), 2000) / 1000
        while not self.ended and (left_s := deadline - time.monotonic()) > 0:
            changed = self.changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                break
        now = time.monotonic()
        running = [
            [
                item.task,
                item.run,
                "",
                min(99, int((now - item.began) / item.work_s * 100)),
            ]
            for item in self.runs.values()
        ]
        ended = self.ended[:MAX_ENDS]
        return 200, {"clock_ms": self.clock_ms(), "running": running, "ended": ended}
