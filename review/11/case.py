"""Two workers crash, each just after it has started the same subtask.

No run of the subtask ends as failed, and the job is shown as failed.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

import deployment  # noqa: E402

WORKERS = 16
CRASHES = 2
CRASH_AFTER_S = 0.06
DOWN_S = 4.5
MAX_ATTEMPTS = 3
JOB = {
    "spec": "ms=2000",
    "steps": [{"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": 2000}],
}


class Place(deployment.Deployment):
    """A deployment in which workers crash after their first starts."""

    crashes_left = 0

    def note_start(self, worker, task, run):
        super().note_start(worker, task, run)
        if self.crashes_left:
            self.crashes_left -= 1
            self.later(CRASH_AFTER_S, self.spawn_crash, worker)

    def spawn_crash(self, worker):
        self.spawn(self.crash(worker))

    async def crash(self, worker):
        await worker.crash()
        self.record.note("worker crashes", worker=worker.id)
        await asyncio.sleep(DOWN_S)
        self.store.drop("servers", worker.id)
        await self.boot_worker(worker.machine)


async def play(record, troubled):
    place = Place(record, nodes=3, workers=WORKERS)
    job_id = deployment.new_job_id()
    state = ""
    try:
        await place.start()
        await asyncio.sleep(6)
        place.crashes_left = CRASHES if troubled else 0
        first, second = place.nodes[:2]
        status, _ = await place.ask(first, "POST", f"/alpha/{job_id}", JOB)
        if status != 200:
            raise RuntimeError("the job was not accepted")
        for _ in range(60):
            await asyncio.sleep(0.25)
            status, value = await place.ask(second, "GET", f"/alpha/{job_id}")
            state = value.get("state", "")
            if state in ("succeeded", "failed"):
                break
    finally:
        place.stop()
    failed = sum(how == "failed" for *_, how in place.ends)
    record.note("seen", state=state, ends_failed=failed, max_attempts=MAX_ATTEMPTS)
    if state == "failed" and failed < MAX_ATTEMPTS:
        return [f"shown as failed after {failed} ends failed, {CRASHES} crashes"]
    return [] if state == "succeeded" else [f"not ended in 15 s: {state}"]


deployment.run_case(play, FOLDER)
