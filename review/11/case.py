"""A consumer cancels a job of which it could not learn whether it was accepted.

The node that it had handed the job in to is cut off. The consumer is told by another
node that there is no such job. Once the cut heals, the job is stored, and runs.
"""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

import deployment  # noqa: E402

CUT_S = 7.0
POST_AFTER_S = 0.1
CANCEL_S = 3.0
STOP_S = 0.2
SHORT_JOB = {
    "spec": "ms=200",
    "steps": [{"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": 200}],
}
STEP = {"count": 4, "cpu": 500, "mem_mb": 256, "estimate_ms": 800, "long_running": True}
JOB = {"spec": "lasts", "steps": [STEP]}


async def find_owner(place):
    """Find the node that starts the subtasks of the service."""
    path = f"/alpha/{deployment.new_job_id()}"
    status, _ = await place.ask(place.nodes[0], "POST", path, SHORT_JOB)
    if status != 200:
        raise RuntimeError("the first job was not accepted")
    await asyncio.sleep(2)
    return place.starter


async def play(record, troubled):
    place = deployment.Deployment(record, nodes=3, workers=4)
    job_id = deployment.new_job_id()
    try:
        await place.start()
        await asyncio.sleep(6)
        owner = await find_owner(place)
        other = next(node for node in place.nodes if node is not owner)
        record.note("nodes", owner=owner.name, cut_off=other.name)
        if troubled:
            record.note("cut off", node=other.name, for_s=CUT_S)
            other.begin_cut()
            place.later(CUT_S, other.heal)
            place.later(CUT_S, record.note, "cut heals")
        await asyncio.sleep(POST_AFTER_S)
        await place.ask(other, "POST", f"/alpha/{job_id}", JOB)
        status, _ = await place.ask(owner, "DELETE", f"/alpha/{job_id}")
        if status not in (200, 410):
            raise RuntimeError("the cancelling was not acknowledged")
        acked_at = time.monotonic()
        await asyncio.sleep(12)
        await place.ask(owner, "GET", f"/alpha/{job_id}")
        breaches = [
            f"{task} started {at - acked_at:.2f} s after its cancelling was acknowledged"
            for at, _, task, _ in place.starts
            if task.startswith(job_id) and at - acked_at > CANCEL_S
        ]
        age_s = time.monotonic() - acked_at
        breaches += [
            f"{task} runs on {age_s:.2f} s after its cancelling was acknowledged"
            for machine in place.machines
            for task in machine.worker.running
            if age_s > CANCEL_S + STOP_S
        ]
    finally:
        place.stop()
    return breaches


# with TROUBLE=0 the case is played without its disruption
deployment.run_case(play, FOLDER, os.environ.get("TROUBLE", "1") != "0")
