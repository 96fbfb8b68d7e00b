"""Workers are added to a pool whose queue asks for advice; nothing is started any more.

The call for advice names all workers of the pool. With the new ones it takes about as
long as its tickets are taken to last, counted from the call and not from the answer.
"""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

import deployment  # noqa: E402

WORKERS = 12
ADDED = 3
DECIDE_MS = 100
EACH_MS = 200
VALID_MS = 3000
JOBS = 5
WAIT_S = 30
JOB = {
    "spec": "ms=500",
    "steps": [{"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 500}],
}


class Place(deployment.Deployment):
    """A deployment with a service for advice, which allows every worker."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.tickets = {}
        self.turns = {}
        self.routes[0]["advice"] = {
            "decide_ms": DECIDE_MS,
            "each_ms": EACH_MS,
            "valid_ms": VALID_MS,
        }

    async def advise(self, method, path, query, headers, raw):
        await asyncio.sleep((DECIDE_MS + EACH_MS * len(raw["workers"])) / 1000)
        good = []
        for worker_id in raw["workers"]:
            ticket = f"{len(self.tickets):08x}"
            key = (raw["step"], worker_id, ticket)
            self.tickets[key] = time.monotonic() + VALID_MS / 1000
            good.append([worker_id, ticket])
        self.record.note("advice", step=raw["step"], workers=len(good))
        return 200, {"good": good, "valid_ms": VALID_MS}

    def has_ticket(self, worker, raw):
        step = raw["task"].rpartition(".")[0]
        key = (step, worker.id, raw.get("ticket", ""))
        return time.monotonic() < self.tickets.get(key, 0.0)


async def play(record, troubled):
    place = Place(record, nodes=3, workers=WORKERS)
    try:
        listener = deployment.HttpListener(place.advise)
        place.advice_port = await listener.listen("127.0.0.1")
        await place.start()
        await asyncio.sleep(6)
        if troubled:
            for number in range(ADDED):
                machine = deployment.Machine(
                    f"m-added-{number}", "alpha", "zone-a", "r1-8",
                    place.machines[0].capacity,
                )
                place.machines.append(machine)
                await place.boot_worker(machine)
        await asyncio.sleep(3)
        jobs = [deployment.new_job_id() for _ in range(JOBS)]
        for job_id in jobs:
            path = f"/alpha/{job_id}"
            status, _ = await place.ask(place.nodes[0], "POST", path, JOB)
            if status != 200:
                raise RuntimeError("a job was not accepted")
        await asyncio.sleep(WAIT_S)
        breaches = []
        for job_id in jobs:
            path = f"/alpha/{job_id}"
            _, value = await place.ask(place.nodes[1], "GET", path)
            started = any(task.startswith(job_id) for _, _, task, _ in place.starts)
            if not started:
                breaches.append(
                    f"{job_id} is {value.get('state')} with no start in {WAIT_S} s, "
                    f"beside {len(place.machines)} idle workers"
                )
    finally:
        place.stop()
    return breaches


# with TROUBLE=0 the case is played without its disruption
deployment.run_case(play, FOLDER, os.environ.get("TROUBLE", "1") != "0")
