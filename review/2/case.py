"""A scheduled job whose occurrences came due during an outage stops its whole service.

All nodes lose power for 9.5 s and come back. A scheduled job with small subtasks goes
on meanwhile, so that several of its occurrences are due at once afterwards. With
TROUBLE=0 the nodes keep running.
"""

import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standin import case  # noqa: E402

NIGHTLY, DRAFTS = "/nightly/", "/drafts/"
TIMES, INTERVAL_MS, SUBTASKS = 40, 1000, 300
SUBTASK_CPU, SUBTASK_MS = 10, 200
DOWN_S = 9.5
RECOVERY_S, FINISH_S, STILL_S = 12.0, 14.0, 3.0
DRAFT_CPU, DRAFT_MS = 1000, 500


async def send_drafts(deployment, until, accepted):
    """Hand in an ordinary job each second."""
    body = {
        "spec": case.build_spec(DRAFT_CPU, DRAFT_MS),
        "steps": [case.build_step(2, DRAFT_CPU, DRAFT_MS)],
    }
    while deployment.record.now() < until:
        job_id = await deployment.submit(DRAFTS, body)
        if job_id is not None:
            accepted.append(job_id)
        await asyncio.sleep(1.0)


async def lose_power(deployment):
    """End all processes at once and start them again after a while."""
    deployment.record.write("power-lost", seconds=DOWN_S)
    for node in deployment.nodes:
        node.signal(signal.SIGKILL)
    await asyncio.sleep(DOWN_S)
    for node in deployment.nodes:
        node.end()
        node.start()
    await deployment.wait_ready(15.0)


async def watch_standstill(deployment, waiting):
    """Return the jobs of which nothing runs, with much room, for the whole time."""
    still = set(waiting)
    until = deployment.record.now() + STILL_S
    room = sum(worker.cpu for worker in deployment.workers)
    while deployment.record.now() < until:
        if sum(worker.get_used() for worker in deployment.workers) * 2 >= room:
            return set()
        for worker in deployment.workers:
            still -= {task.split(".")[0] for task in worker.runs}
        await asyncio.sleep(0.05)
    return still


async def play(deployment):
    """Play the case; return its result."""
    record = deployment.record
    accepted = []
    warm = {
        "spec": case.build_spec(DRAFT_CPU, 100),
        "steps": [case.build_step(1, DRAFT_CPU, 100)],
    }
    first = await deployment.submit(DRAFTS, warm)
    if not first or not await deployment.wait_state(DRAFTS, first, "succeeded", 15.0):
        raise case.UnableError("no job succeeds before the disruption")
    nightly = {
        "spec": case.build_spec(SUBTASK_CPU, SUBTASK_MS),
        "steps": [case.build_step(SUBTASKS, SUBTASK_CPU, SUBTASK_MS)],
        "times": TIMES,
        "start_at_ms": int(time.time() * 1000) + 1000,
        "interval_ms": INTERVAL_MS,
    }
    nightly_id = await deployment.submit(NIGHTLY, nightly)
    if nightly_id is None:
        raise case.UnableError("the scheduled job was not accepted")
    traffic_ends = record.now() + TIMES * INTERVAL_MS / 1000 + 2.0
    traffic = asyncio.create_task(send_drafts(deployment, traffic_ends, accepted))
    await asyncio.sleep(5.0)
    if deployment.trouble:
        await lose_power(deployment)
    await traffic
    await asyncio.sleep(max(0.0, traffic_ends + FINISH_S - record.now()))
    jobs = {job_id: DRAFTS for job_id in accepted} | {nightly_id: NIGHTLY}
    states = {
        job_id: await deployment.get_state(prefix, job_id)
        for job_id, prefix in jobs.items()
    }
    waiting = {job_id for job_id, state in states.items() if state != "succeeded"}
    still = await watch_standstill(deployment, waiting)
    refused = dict(deployment.platform.refused)
    record.write("result", accepted=len(jobs), open=len(waiting), still=len(still))
    print(
        f"accepted {len(jobs)}, not succeeded {len(waiting)}, of these without a run "
        f"for {STILL_S:.0f} s beside free room: {len(still)}; "
        f"calls over a limit of the store: {refused}"
    )
    return case.BROKEN if still else case.HELD


if __name__ == "__main__":
    case.run_case(
        play,
        HERE,
        queues={NIGHTLY: "reports", DRAFTS: "reports"},
        workers=4,
        nodes=3,
    )
