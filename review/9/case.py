"""A worker carries out a late order of its former life; the subtask runs once more.

It leaves the order to start a subtask unanswered, crashes, and is back under its ID. The
subtask has run on another worker meanwhile, and its job has succeeded.
"""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

import deployment  # noqa: E402

LATE_S = 4.0
CRASH_AFTER_S = 0.3
DOWN_S = 3.4
FIRST_BEAT_S = 1.0
WORK_MS = 500
JOB = {
    "spec": f"ms={WORK_MS}",
    "steps": [{"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": WORK_MS}],
}


def find_breaches(place):
    """List starts beside another run, or after an end `done` that was taken note of."""
    breaches = []
    for started_at, worker_id, task, run in place.starts:
        for ended_at, other_id, other_task, other_run, how in place.ends:
            if other_task != task or (other_id, other_run) == (worker_id, run):
                continue
            began_at = min(
                at
                for at, *other in place.starts
                if other == [other_id, task, other_run]
            )
            if began_at < started_at < ended_at and how != "crashed":
                breaches.append(
                    f"{task}: run {run} starts on {worker_id} beside run {other_run} "
                    f"on {other_id}"
                )
            noted = (other_id, task, other_run) in place.noted
            if how == "done" and noted and ended_at < started_at:
                breaches.append(
                    f"{task}: run {run} starts on {worker_id} "
                    f"{started_at - ended_at:.2f} s after run {other_run} has ended "
                    f"done on {other_id}"
                )
    return breaches


class Place(deployment.Deployment):
    """A deployment that keeps which ends were taken note of."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.noted = set()

    def note_forgotten(self, worker, ends):
        self.noted.update((worker.id, task, run) for _, task, run, _, _ in ends)


async def play(record, troubled):
    place = Place(record, nodes=3, workers=8, born=True)
    late = []

    def leave_unanswered(worker):
        async def fault(path, raw):
            if not troubled or late or path != "/run-start":
                return None
            late.append(raw)
            record.note(
                "order without an answer", worker=worker.id, task=raw["task"],
                run=raw["run"], deadline_ms=raw["deadline_ms"],
                clock_ms=round(worker.clock_ms()),
            )
            place.spawn(carry_out_late(worker.machine, path, raw))
            place.spawn(restart(worker))
            await asyncio.sleep(30)
            raise deployment.Drop

        return fault

    async def carry_out_late(machine, path, raw):
        await asyncio.sleep(LATE_S)
        worker = machine.worker
        status, value = await worker.carry_out(path, raw)
        record.note(
            "order carried out late", worker=worker.id, born=worker.born,
            status=status, value=value, clock_ms=round(worker.clock_ms()),
        )

    async def restart(worker):
        await asyncio.sleep(CRASH_AFTER_S)
        await worker.crash()
        record.note("worker crashes", worker=worker.id, born=worker.born)
        await asyncio.sleep(DOWN_S)
        await place.boot_worker(
            worker.machine, worker.id, worker.port, first_beat_s=FIRST_BEAT_S
        )

    try:
        await place.start()
        await asyncio.sleep(6)
        for machine in place.machines:
            machine.worker.fault = leave_unanswered(machine.worker)
        path = f"/alpha/{deployment.new_job_id()}"
        status, _ = await place.ask(place.nodes[0], "POST", path, JOB)
        if status != 200:
            raise RuntimeError("the job was not accepted")
        await asyncio.sleep(14)
        await place.ask(place.nodes[0], "GET", path)
    finally:
        place.stop()
    return find_breaches(place)


# with TROUBLE=0 the case is played without its disruption
deployment.run_case(play, FOLDER, os.environ.get("TROUBLE", "1") != "0")
