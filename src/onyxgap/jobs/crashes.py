"""Detects tasks that crash their workers.

A worker has about a dozen runs of several jobs when it crashes, and nothing reports
which of them is the cause. Such tasks crash their workers within milliseconds of their
start, so a run that a report still listed some time after its start is not the cause.
The other tasks are started again on separate workers, so that the next crash has only
one suspect. A task that was the only suspect in two crashes fails, with its job.
Without a limit, such a task crashes a worker at each start, and the other runs on that
worker are lost too.
"""

import collections
import enum
import typing as t

import attrs

from .messages import TaskId

START_CRASH_WINDOW_MS = 100.0
"""Time on a worker after which the start of a run is known not to have crashed it."""
CRASH_WINDOW_MS = 300.0
"""Time on a worker after which a run clears its task of earlier crashes. While a fully
isolated task is younger than this, no task of another job is started on its worker."""
START_CRASH_BLAME = 2
"""Blame if only one job had runs that had just started when the worker crashed."""
LATE_CRASH_BLAME = 1
"""Blame if no run had just started and only one job can be the cause. Such a crash is
weaker evidence. Tasks may crash a worker some time after their start, but workers with
the tasks of a single job also crash by themselves."""
BLAME_LIMIT = 4
"""Blame of two crashes with a single suspect. One crash is not enough: workers may also
crash by themselves just after a start, but seldom twice under the same task."""
YOUNG_LOSSES_LIMIT = 4
"""Number of runs lost just after their start for which :data:`START_CRASH_BLAME` is
enough. Otherwise a task would crash more workers where confirmations of starts get
lost too. Runs that survived their start don't count: a serving task may lose several
workers to other tasks and then one that crashed by itself."""
MAX_YOUNG_LOSSES = 5
"""Number of runs lost just after their start after which a task is not started again,
whatever is known of the cause: confirmations of starts may get lost, and without them
there is no blame. A serving task also needs :data:`BLAME_LIMIT`."""
FULL_ISOLATION_LOSSES = 3
"""Lost runs after which a task is fully isolated. A task that crashes its workers late
is then detected by its seventh start."""
CRASH_RETENTION_S = 12.0
"""Time for which crashes of workers by themselves count in favour of a task. A task
that crashes its workers fails well within this time."""
UNRELATED_CRASHES_PER_EXTRA = 2
"""Workers without a task that crashed by themselves, for each extra crash required
before the task fails."""
MAX_EXTRA_CRASHES = 2
"""Bounds how many workers a task crashes while other workers crash by themselves."""
SERVING_EXTRA_CRASHES = 1
"""Extra crashes required at least for a serving task: it is started again after each
loss, and its job would otherwise have run until it is cancelled."""


class IsolationLevel(enum.Enum):
    """Which runs a suspected task may share its worker with."""

    NONE = "none"
    PARTIAL = "apart"
    """All runs of other jobs there must have survived :data:`START_CRASH_WINDOW_MS`."""
    FULL = "alone"
    """All runs of other jobs there must have survived :data:`CRASH_WINDOW_MS`."""


@attrs.frozen(slots=True)
class LostRun:
    """A run that was lost with its worker.

    :param job_id: job of the run.
    :param confirmed: whether the worker is known to have started the run.
    :param survived_ms: time after its start for which the run is known not to have
        crashed the worker.
    """

    job_id: str
    confirmed: bool
    survived_ms: float

    @property
    def young(self) -> bool:
        """Whether the start of the run may have crashed the worker."""
        return self.survived_ms < START_CRASH_WINDOW_MS


@attrs.frozen(slots=True)
class LossHistory:
    """A task's runs that were lost with their workers.

    :param losses: number of lost runs.
    :param young_losses: number of them that may have crashed the worker by their start.
    :param blame: total blame for the lost runs; see :func:`assign_blame`.
    :param last_run: number of the run that was lost last, 0 if it is not known.
    """

    losses: int = 0
    young_losses: int = 0
    blame: int = 0
    last_run: int = 0

    def add_loss(self, young: bool, blame: int = 0, run: int = 0) -> t.Self:
        """Return a copy with one more lost run.

        A run whose start was not confirmed stays placed while its worker starts again,
        and is lost again with each incarnation. It counts once.

        :param young: whether the start of the run may have crashed the worker.
        :param blame: blame for the crash.
        :param run: number of the run, 0 if it is not known.
        """
        if run and run == self.last_run:
            return self
        return attrs.evolve(
            self,
            losses=self.losses + 1,
            young_losses=self.young_losses + young,
            blame=self.blame + blame,
            last_run=run,
        )

    def remove_loss(self, young: bool) -> "LossHistory":
        """Return a copy without a run that did not crash its worker.

        :param young: whether the loss counts among the young ones.
        """
        if self.losses <= 1:
            # with blame, it is the loss of another run since this one was cleared
            return self if self.blame else NO_LOSSES
        return attrs.evolve(
            self,
            losses=self.losses - 1,
            young_losses=max(0, self.young_losses - young),
        )

    @property
    def isolation(self) -> IsolationLevel:
        """Isolation that the task needs on its next worker."""
        if self.losses >= FULL_ISOLATION_LOSSES:
            return IsolationLevel.FULL
        return IsolationLevel.PARTIAL if self.losses else IsolationLevel.NONE

    def causes_crashes(self, extra_crashes: int = 0, *, serving: bool = False) -> bool:
        """Return whether the task is considered the cause of its workers' crashes.

        :param extra_crashes: crashes required in addition; see
            :meth:`CrashLog.get_extra_crashes`.
        :param serving: whether the task serves, so that its job has no other end.
        """
        if self.blame >= BLAME_LIMIT + extra_crashes * START_CRASH_BLAME:
            return True
        blamed = not serving or self.blame >= BLAME_LIMIT
        if self.young_losses >= MAX_YOUNG_LOSSES and blamed:
            return True
        return (
            self.young_losses >= YOUNG_LOSSES_LIMIT + extra_crashes
            and self.blame >= START_CRASH_BLAME * (1 + extra_crashes)
        )


NO_LOSSES = LossHistory()
"""History of a task that has lost no runs since it was last cleared."""


@attrs.define(slots=True)
class _Crash:
    """The crash of a worker.

    :param at: monotonic seconds.
    :param job_ids: jobs that had runs on the worker.
    :param suspects: tasks that may have caused the crash.
    """

    at: float
    job_ids: frozenset[str]
    suspects: set[TaskId]


@attrs.define
class CrashLog:
    """Recent crashes of a shard's workers, with the tasks that may have caused them.

    When several workers crash by themselves, the same task may be on two of them by
    chance. More crashes are then required before the task is considered the cause. A
    worker is known to have crashed by itself only once no suspect of the crash is left:
    the tasks of several jobs may crash workers at the same time, and must not delay
    each other's detection.
    """

    _crashes: collections.deque[_Crash] = attrs.field(factory=collections.deque)

    def note(
        self, job_ids: t.Iterable[str], suspects: t.Iterable[TaskId], now: float
    ) -> None:
        """Record the crash of a worker.

        :param job_ids: jobs that had runs on the worker.
        :param suspects: tasks that may have caused the crash.
        :param now: monotonic seconds.
        """
        while self._crashes and now - self._crashes[0].at > CRASH_RETENTION_S:
            self._crashes.popleft()
        self._crashes.append(_Crash(now, frozenset(job_ids), set(suspects)))

    def clear_task(self, task_id: TaskId) -> None:
        """Record that a task ran without crashing its worker.

        :param task_id: the task.
        """
        for crash in self._crashes:
            crash.suspects.discard(task_id)

    def get_extra_crashes(self, job_id: str) -> int:
        """Return how many extra crashes are required before a job fails.

        :param job_id: the job.
        """
        unrelated = sum(
            not crash.suspects and job_id not in crash.job_ids
            for crash in self._crashes
        )
        return min(unrelated // UNRELATED_CRASHES_PER_EXTRA, MAX_EXTRA_CRASHES)


def find_suspects(runs: t.Sequence[LostRun]) -> list[bool]:
    """Find the runs that may have caused the crash of their worker.

    Suspects are the runs not known to have survived :data:`START_CRASH_WINDOW_MS`.
    If there are none, suspects are those not known to have survived
    :data:`CRASH_WINDOW_MS`.

    :param runs: the runs on the worker whose start orders were sent.
    :returns: whether each run is a suspect, in the order of the runs.
    """
    if any(run.young for run in runs):
        return [run.young for run in runs]
    return [run.survived_ms < CRASH_WINDOW_MS for run in runs]


def assign_blame(runs: t.Sequence[LostRun]) -> list[int]:
    """Assign blame for the crash of a worker to the runs on it.

    The suspects are blamed only if all of them belong to one job, each with the full
    amount, since a job fails as a whole. An unconfirmed run may never have reached the
    worker: as a suspect it keeps other jobs from being blamed, but it gets no blame
    itself.

    :param runs: the runs on the worker whose start orders were sent.
    :returns: the blame for each run, in the order of the runs.
    """
    suspected = find_suspects(runs)
    pairs = list(zip(runs, suspected, strict=True))
    if len({run.job_id for run, suspect in pairs if suspect}) != 1:
        return [0] * len(runs)
    young = any(run.young for run in runs)
    weight = START_CRASH_BLAME if young else LATE_CRASH_BLAME
    return [weight if suspect and run.confirmed else 0 for run, suspect in pairs]
