"""A caller without a key cancels another tenant's job through a public queue.

A tenant has a job on its queue. The store leaves the calls of one node unanswered, so
that a caller of a public queue hands its job in there in vain. The caller asks another
node for the state of its job and cancels it. Callers number their jobs from 1 on, each
for itself. With TROUBLE=0 the store serves all nodes, and the caller's job is accepted.
"""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standin import case  # noqa: E402

BIDS, VISITS = "/bids/", "/visits/"
KEY = "key-of-north"
JOB_ID = f"{1:016x}"
CPU, WORK_MS = 1000, 8000
AWAY_S = 9.0


async def play(deployment):
    """Play the case; return its result."""
    record, (first, second, third) = deployment.record, deployment.nodes
    body = {
        "spec": case.build_spec(CPU, WORK_MS),
        "steps": [case.build_step(1, CPU, WORK_MS)],
    }
    status, _ = await deployment.ask("POST", BIDS, JOB_ID, body, third, KEY)
    if status != 200:
        raise case.UnableError("the tenant's job was not accepted")
    await asyncio.sleep(1.5)
    if deployment.trouble:
        record.write("node-turned-away", node=first.name, seconds=AWAY_S)
        deployment.platform.turned_away[first.name] = "silent"
    accepted, _ = await deployment.ask("POST", VISITS, JOB_ID, body, first)
    await asyncio.sleep(0.3)
    shown, _ = await deployment.ask("GET", VISITS, JOB_ID, None, second)
    cancelled, _ = await deployment.ask("DELETE", VISITS, JOB_ID, None, second)
    await asyncio.sleep(AWAY_S)
    deployment.platform.turned_away.clear()
    await asyncio.sleep(3.0)
    status, value = await deployment.ask("GET", BIDS, JOB_ID, None, third, KEY)
    ends = [
        fields["how"]
        for _, word, fields in record.events
        if word == "end" and fields["task"].startswith(JOB_ID)
    ]
    if deployment.trouble and accepted == 200:
        raise case.UnableError("the caller's job was accepted")
    print(
        f"the caller's job: handed in {accepted}, asked for {shown}, cancelled "
        f"{cancelled}; the tenant's job: {status} {value}; ends of runs: {ends}"
    )
    # the tenant has not cancelled its job, and no run of it has failed
    return case.BROKEN if value.get("state") in ("cancelled", "failed") else case.HELD


if __name__ == "__main__":
    case.run_case(
        play,
        HERE,
        queues={BIDS: "auctions", VISITS: "kiosks"},
        workers=2,
        nodes=3,
        tenants={"north": [KEY]},
        public=(VISITS,),
    )
