"""Timing of hold requests, the long polls that renew the leases of a worker's runs.

A worker answers a hold request when a run ends, or after the wait at the latest. If the
request is lost, the owner learns of no ended runs for the wait and a margin, and places
no new tasks on the worker. An owner that cannot keep up with the reports pauses between
the requests.
"""

from .placing import WorkerRecord

IDLE_WAIT_S = 1.0
"""Wait for a worker with no runs but long-running ones: each request is paid for."""
BUSY_WAIT_S = 0.3
"""Wait for a worker with runs that end by themselves. Such an end answers most of the
requests earlier."""
MIN_LAG_S = 0.02
"""Lag below which a process keeps up: a few iterations of the event loop."""
PAUSE_PER_LAG = 2.0
"""Seconds of pause for each second of event loop lag."""
MAX_PAUSE_S = 0.3
"""As long as :data:`BUSY_WAIT_S`; leases last 5 s."""


def choose_hold_pause(lag_s: float) -> float:
    """Choose the pause between a worker's report and the next hold request.

    Without a pause, each ended run causes a report of its own. An owner that cannot
    keep up then processes such reports seconds late. With a pause, each report brings
    several ended runs.

    :param lag_s: event loop lag of the process, in seconds.
    :returns: seconds; 0 for a process that keeps up.
    """
    if lag_s < MIN_LAG_S:
        return 0.0
    return min(lag_s * PAUSE_PER_LAG, MAX_PAUSE_S)


def choose_hold_wait(record: WorkerRecord) -> float:
    """Choose how long a worker may wait for a run to end before it answers.

    :param record: the worker.
    :returns: seconds; 0 for a worker whose runs are not known at present, or whose last
        answer did not arrive in time, so that it reports at once.
    """
    if not record.held or record.failing_since is not None or record.inconclusive:
        return 0.0
    return BUSY_WAIT_S if record.finite_runs else IDLE_WAIT_S
