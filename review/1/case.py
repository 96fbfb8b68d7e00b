"""Jobs that ended long ago run again after the store discarded its history while slow.

Clients hand in small jobs all the time. After a while the store is slow for some
seconds, and it discards its history as it turns slow. With TROUBLE=0 it does neither.
"""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standin import case  # noqa: E402
from standin import checks  # noqa: E402

DRAFTS = "/drafts/"
STATUS_S = 30
CPU, WORK_MS = 1000, 100
JOBS_PER_S = 3.0
DISTURBED_AT_S, GAP_S, TIMES = 55.0, 6.0, 3
SLOW_FACTOR, SLOW_S = 60.0, 4.5
AFTERWARDS_S = 6.0


async def send_jobs(deployment, until, accepted):
    """Hand in jobs at a steady rate."""
    body = {
        "spec": case.build_spec(CPU, WORK_MS),
        "steps": [case.build_step(1, CPU, WORK_MS)],
    }

    async def send():
        job_id = await deployment.submit(DRAFTS, body)
        if job_id is not None:
            accepted.append(job_id)

    async with asyncio.TaskGroup() as group:
        while deployment.record.now() < until:
            group.create_task(send())
            await asyncio.sleep(1 / JOBS_PER_S)


async def disturb(deployment):
    """Have the store discard its history, and be slow for a while from then on."""
    platform, record = deployment.platform, deployment.record
    record.write("feeds-deaf")
    await platform.compact()
    record.write("history-discarded")
    record.write("store-slow", factor=SLOW_FACTOR, seconds=SLOW_S)
    platform.slowness = SLOW_FACTOR
    await asyncio.sleep(SLOW_S)
    platform.slowness = 1.0
    record.write("store-fast")


async def play(deployment):
    """Play the case; return its result."""
    record, accepted = deployment.record, []
    ends = DISTURBED_AT_S + TIMES * (1.0 + SLOW_S + GAP_S) + AFTERWARDS_S
    traffic = asyncio.create_task(send_jobs(deployment, ends, accepted))
    await asyncio.sleep(DISTURBED_AT_S - record.now())
    if not any(word == "acked" for _, word, _ in record.events):
        raise case.UnableError("no job has run before the disruption")
    for _ in range(TIMES if deployment.trouble else 0):
        await disturb(deployment)
        await asyncio.sleep(GAP_S)
    await traffic
    twice = checks.find_twice(record.events)
    for at, task in twice:
        record.write("ran-twice", task=task, at=round(at, 3))
    print(f"accepted {len(accepted)}; started again after they were done: {len(twice)}")
    return case.BROKEN if twice else case.HELD


if __name__ == "__main__":
    case.run_case(
        play,
        HERE,
        queues={DRAFTS: "reports"},
        workers=3,
        nodes=3,
        bounds={"status_s": STATUS_S},
    )
