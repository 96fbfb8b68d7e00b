"""How long a worker may wait before it answers; answers orders that get lost.

A worker answers a hold at the first end, or after the wait. A lost hold hides its
ends for the wait and a margin, while nothing new is placed there. An owner that cannot
keep up with the reports pauses between them.
"""

from .placing import WorkerRecord

IDLE_WAIT_S = 1.0
"""For a worker without runs that end by themselves: each look is paid for."""
BUSY_WAIT_S = 0.3
"""For a worker with such runs: ends answer most of its holds before."""
LEAST_LAG_S = 0.02
"""Lateness below which a process keeps up: some turns of the event loop."""
LAG_FACTOR = 2.0
"""Pause for each second of lateness."""
MOST_PAUSE_S = 0.3
"""As long as a busy worker may wait for an end; leases last 5 s."""


def choose_hold_pause(lag_s: float) -> float:
    """Choose the pause between a worker's report and its next hold.

    Without one, a worker is held again at each end. An owner that cannot keep up then
    reads reports of one end each, seconds late; with a pause each brings more.

    :param lag_s: how late the process is.
    :returns: seconds; 0 for a process that keeps up.
    """
    if lag_s < LEAST_LAG_S:
        return 0.0
    return min(lag_s * LAG_FACTOR, MOST_PAUSE_S)


def choose_hold_wait(record: WorkerRecord) -> float:
    """Choose how long a worker may wait for an end before it answers.

    :param record: the worker.
    :returns: seconds; 0 for one whose lists are not known at the moment.
    """
    if not record.held or record.failing_since is not None:
        return 0.0
    return BUSY_WAIT_S if record.ending else IDLE_WAIT_S
