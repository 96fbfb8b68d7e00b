"""The node that plans the fleet is cut off just as it sends orders about machines.

It closes their connections without a reset, so that they arrive when the cut heals. By
then another node has taken over, and has sent orders about the same machines.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

import deployment  # noqa: E402

CUT_S = 12.0
WORKERS = 4
CAP = 1
DURATION_S = 30


def find_breaches(orders):
    """List orders for a machine with a lower fence number after a higher one."""
    highest = {}
    breaches = []
    for order in orders:
        above = highest.get(order.machine)
        if above is not None and order.fence < above.fence:
            breaches.append(
                f"{order.machine}: to {order.pool} by {order.holder} with fence "
                f"{order.fence}, {order.at - above.at:.2f} s after to {above.pool} by "
                f"{above.holder} with fence {above.fence}"
            )
        if above is None or order.fence > above.fence:
            highest[order.machine] = order
    return breaches


async def play(record, troubled):
    place = deployment.Deployment(record, nodes=3, workers=WORKERS)
    cut = []

    def watch(node):
        def note_request(method, target):
            if target == "/machine-upkeep" and troubled and not cut:
                cut.append(node)
                node.begin_cut()
                record.note("cut off", node=node.name, for_s=CUT_S)
                place.later(CUT_S, heal, node)

        return note_request

    def heal(node):
        record.note("cut heals", node=node.name)
        node.heal()

    try:
        await place.start()
        for node in place.nodes:
            node.listener.note_request = watch(node)
        await asyncio.sleep(6)
        place.write_wave(1, place.machines, DURATION_S, CAP)
        await asyncio.sleep(DURATION_S)
    finally:
        place.stop()
    if troubled and not cut:
        raise RuntimeError("no order was sent")
    return find_breaches(place.orders)


deployment.run_case(play, FOLDER)
