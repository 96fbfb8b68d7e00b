"""Whether a job that comes now can still be of use; answers a line that is too long.

The owner of a shard tells in its row how long its line is. A node refuses at once what
cannot be in time and, behind all that stands before it, cannot be of use either: its
caller may come back when the line has become shorter, in place of waiting for nothing.
"""

import math
import typing as t

import attrs

from .job import TaskPhase
from .job import measure_tails
from .load import measure_share
from .messages import Submission
from .priorities import MS
from .priorities import USE_FACTOR
from .priorities import Standing
from .ready import Ready
from .run_times import RunTimes

GROW_S = 2.2
"""Time from the need of a VM until it serves: a move, and its worker's first hold."""
MOST_OVER = 20
"""Tenants that an outlook names; a row is read by each node each 0.7 s."""
LEAST_RETRY_S = 1
MOST_RETRY_S = 10
"""Bounds of what refused callers are told: an outlook does not reach further."""


@attrs.frozen(slots=True)
class Line:
    """How long a job waits that comes now, in seconds of the whole pool.

    :param in_time_s: behind those that can be in time.
    :param of_use_s: behind those that can be of use, too.
    """

    in_time_s: float = 0.0
    of_use_s: float = 0.0


@attrs.frozen(slots=True)
class Outlook:
    """The line of a shard, as its owner tells it.

    :param within: for tenants within their shares of the pool.
    :param beyond: for the others.
    :param over: names of the others, as many as are told.
    :param job_s: seconds of the whole pool that one waiting step takes.
    """

    within: Line = Line()
    beyond: Line = Line()
    over: tuple[str, ...] = ()
    job_s: float = 0.0

    def find_line(self, tenant: str) -> Line:
        """Find the line in which a tenant's jobs stand."""
        return self.beyond if tenant in self.over else self.within


@attrs.frozen(slots=True)
class PoolRoom:
    """The VMs of a pool, and the most that it can get.

    :param vms: workers that take tasks now.
    :param fleet: VMs of all pools, 0 where they are not known.
    """

    vms: int
    fleet: int = 0

    def measure_wait(self, work_s: float) -> float:
        """Measure for how long some work surely occupies the pool.

        Only what is certain counts against a job: all VMs may come to this pool.

        :param work_s: VM seconds.
        """
        if work_s <= self.vms * GROW_S:
            return round(work_s / self.vms, 3)
        left_s = work_s - self.vms * GROW_S
        return round(GROW_S + left_s / max(self.vms, self.fleet), 3)


def encode_outlook(outlook: Outlook) -> dict[str, t.Any]:
    """Give an outlook as JSON, empty where nothing waits."""
    return attrs.asdict(outlook) if outlook != Outlook() else {}


def decode_outlook(raw: t.Mapping[str, t.Any]) -> Outlook:
    """Read what :func:`encode_outlook` gave.

    :raises TypeError: when it has another form.
    """
    if not raw:
        return Outlook()
    return Outlook(
        Line(**raw["within"]), Line(**raw["beyond"]), tuple(raw["over"]), raw["job_s"]
    )


def measure_outlook(
    line: t.Iterable[Ready],
    capacity: tuple[int, int],
    room: PoolRoom,
    run_times: RunTimes,
) -> Outlook:
    """Measure the line of a shard.

    :param line: what waits, as the last plan ordered it.
    :param capacity: cores in thousandths and MB of a worker.
    :param room: the pool's VMs.
    :param run_times: what the shard's tasks took.
    """
    work: dict[tuple[Standing, bool], float] = {}
    over: dict[str, None] = {}
    steps = 0
    for item in line:
        waiting = sum(task.phase is TaskPhase.WAITING for task in item.tasks)
        step = item.job.submission.steps[item.step]
        if not waiting or step.long_running:
            continue
        steps += 1
        factor = run_times.get_factor(item.job.submission.policy.queue, 1)
        share_s = factor * measure_share(step, capacity) * step.estimate_ms / MS
        key = (item.urgency.standing, item.beyond)
        work[key] = work.get(key, 0.0) + waiting * share_s
        if item.beyond:
            over[item.job.submission.tenant] = None
    if not room.vms or not steps:
        return Outlook()
    in_within = work.get((Standing.IN_TIME, False), 0.0)
    in_all = in_within + work.get((Standing.IN_TIME, True), 0.0)
    use_within = in_all + work.get((Standing.OF_USE, False), 0.0)
    use_all = use_within + work.get((Standing.OF_USE, True), 0.0)
    return Outlook(
        Line(room.measure_wait(in_within), room.measure_wait(use_within)),
        Line(room.measure_wait(in_all), room.measure_wait(use_all)),
        tuple(over)[:MOST_OVER],
        round(use_all / max(room.vms, room.fleet) / steps, 5),
    )


@attrs.frozen(slots=True)
class Overload:
    """Why a job is refused, and when its caller should come back.

    :param line: the line that it would stand in.
    :param use_s: time within which it would have to start to be of use.
    :param retry_after_s: seconds.
    """

    line: Line
    use_s: float
    retry_after_s: int


@attrs.define
class Gate:
    """Judges the jobs that one node is asked to accept.

    Callers that are refused are told to come back one after the other, in the order in
    which they were refused, as fast as the line moves.
    """

    _told: dict[str, tuple[float, float]] = attrs.field(factory=dict)

    def judge(
        self, submission: Submission, outlook: Outlook, nodes: int, now: float
    ) -> Overload | None:
        """Judge a job; ``None`` where it may be of use.

        :param submission: the job.
        :param outlook: of its shard.
        :param nodes: nodes that take calls, which refuse alike.
        :param now: monotonic seconds.
        """
        if submission.times or any(step.long_running for step in submission.steps):
            return None
        objective_s, chain_s = _measure(submission)
        line = outlook.find_line(submission.tenant)
        use_s = USE_FACTOR * objective_s - chain_s
        if line.in_time_s <= objective_s - chain_s or line.of_use_s <= use_s:
            return None
        shard = submission.policy.service
        until, at = self._told.get(shard, (0.0, now))
        # the line moved on since the last refusal
        behind_s = max(0.0, until - (now - at)) + outlook.job_s * max(1, nodes)
        self._told[shard] = (behind_s, now)
        wait_s = line.of_use_s - use_s + behind_s
        retry_after_s = min(max(math.ceil(wait_s), LEAST_RETRY_S), MOST_RETRY_S)
        return Overload(line, use_s, retry_after_s)


def _measure(submission: Submission) -> tuple[float, float]:
    """Measure objective and longest chain of declared work, in seconds."""
    chain_s = max(measure_tails(submission.steps), default=0.0) / MS
    policy = submission.policy
    return policy.stretch * chain_s + policy.slo_ms / MS, chain_s
