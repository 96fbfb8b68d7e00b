"""A route is replaced by one of another name, with the same host, path and service.

The jobs that were handed in under its path go on, and their consumers are told that
there are no such jobs.
"""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

import deployment  # noqa: E402

VISIBLE_S = 3.0
CONFIG_APPLY_S = 2.0
STEP = {"count": 4, "cpu": 500, "mem_mb": 256, "estimate_ms": 800, "long_running": True}
JOB = {"spec": "lasts", "steps": [STEP]}


async def play(record, troubled):
    place = deployment.Deployment(record, nodes=3, workers=4)
    job_id = deployment.new_job_id()
    path = f"/alpha/{job_id}"
    try:
        await place.start()
        await asyncio.sleep(6)
        status, _ = await place.ask(place.nodes[0], "POST", path, JOB)
        if status != 200:
            raise RuntimeError("the job was not accepted")
        await asyncio.sleep(VISIBLE_S + 1)
        if troubled:
            place.routes = [{**place.routes[0], "name": "q-renamed"}]
        place.version += 3
        place.write_config()
        await asyncio.sleep(2 * CONFIG_APPLY_S)
        answers = [await place.ask(node, "GET", path) for node in place.nodes]
        running = sum(
            task.startswith(job_id)
            for machine in place.machines
            for task in machine.worker.running
        )
        record.note("seen", running=running)
    finally:
        place.stop()
    return [
        f"{node.name} answers 410 for an accepted job, of which {running} subtasks run"
        for node, (status, _) in zip(place.nodes, answers, strict=True)
        if status == 410
    ]


# with TROUBLE=0 the case is played without its disruption
deployment.run_case(play, FOLDER, os.environ.get("TROUBLE", "1") != "0")
