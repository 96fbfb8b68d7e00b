"""Finds tasks that crash their workers; answers runs that are lost with a worker.

A worker crashes with a dozen runs of several jobs on it, and nothing reports which of
them is the cause. A run that a report still listed a while after its start is not: such
tasks crash their workers within milliseconds. The others are started again apart, so
that a second crash has one suspect, and a task that stands alone in two crashes is
given up. Unbounded, one such task crashes a worker with each start, and the runs beside
it are lost with them.
"""

import collections
import enum
import typing as t

import attrs

PROOF_MS = 100.0
"""Time on a worker after which a start is known not to crash it."""
SETTLED_MS = 300.0
"""Time on a worker after which a run clears its task of earlier crashes. A task that is
alone keeps its worker that long."""
YOUNG_BLAME = 2
"""For the only job that had started something when the worker crashed."""
LATE_BLAME = 1
"""For the only job that was there at all: tasks may crash a worker later than at their
start, but workers with the tasks of one job also crash by themselves."""
MOST_BLAME = 4
"""Two crashes with nobody else to blame. One is not enough: workers crash by themselves
just after a start, too, but seldom twice under one task."""
MOST_YOUNG_LOSSES = 4
"""Runs lost just after their start after which :data:`YOUNG_BLAME` is enough: where
confirmations get lost, too, a task would else crash more workers. Runs that had proved
themselves don't count: a serving task may lose several workers to others and then one
that crashed by itself."""
ALONE_LOSSES = 3
"""Lost runs after which a task gets a worker for itself: what crashes its worker late
is then found by the seventh start."""


DOUBT_S = 12.0
"""Time for which crashes of workers without a task speak for it: a task that crashes
its workers is given up well within it."""
CRASHES_PER_DOUBT = 2
"""Crashes without a task for each further one that is asked for."""
MOST_DOUBT = 2
"""Bounds how many workers a task crashes while others crash by themselves."""


class Care(enum.Enum):
    """What a task may share its worker with."""

    NONE = "none"
    APART = "apart"
    """Nothing of another job that has not proved itself there."""
    ALONE = "alone"
    """Nothing of another job that has not settled there."""


@attrs.frozen(slots=True)
class LostRun:
    """A run that was lost with its worker.

    :param job_id: its job.
    :param confirmed: whether the worker is known to have started it.
    :param listed_ms: how long after its start a report last listed it.
    """

    job_id: str
    confirmed: bool
    listed_ms: float

    @property
    def young(self) -> bool:
        """Whether its start may have crashed the worker."""
        return self.listed_ms < PROOF_MS


@attrs.frozen(slots=True)
class Suspicion:
    """What is known of a task from workers that crashed under it.

    :param losses: runs that were lost with their workers.
    :param young_losses: those of them that were lost just after their start.
    :param blame: sum of the blame for them; see :func:`weigh_blame`.
    """

    losses: int = 0
    young_losses: int = 0
    blame: int = 0

    def add_loss(self, young: bool, blame: int = 0) -> t.Self:
        """Add a lost run.

        :param young: whether its start may have crashed the worker.
        :param blame: the blame for it.
        """
        return attrs.evolve(
            self,
            losses=self.losses + 1,
            young_losses=self.young_losses + young,
            blame=self.blame + blame,
        )

    @property
    def care(self) -> Care:
        """What the task may share its next worker with."""
        if self.losses >= ALONE_LOSSES:
            return Care.ALONE
        return Care.APART if self.losses else Care.NONE

    def is_proved(self, doubt: int = 0) -> bool:
        """Tell whether the task is to be given up as one that crashes its workers.

        :param doubt: crashes more that are asked for; see :meth:`CrashLog.get_doubt`.
        """
        if self.blame >= MOST_BLAME + doubt * YOUNG_BLAME:
            return True
        return (
            self.young_losses >= MOST_YOUNG_LOSSES + doubt
            and self.blame >= YOUNG_BLAME * (1 + doubt)
        )


NO_SUSPICION = Suspicion()
"""Of a task under which no worker has crashed."""


@attrs.define
class CrashLog:
    """Recent crashes of a shard's workers, with the jobs whose runs were there.

    Workers that crash by themselves one after the other hit the same task twice by
    chance; it then takes more crashes to tell that the task is the cause.
    """

    _crashes: collections.deque[tuple[float, frozenset[str]]] = attrs.field(
        factory=collections.deque
    )

    def note(self, job_ids: t.Iterable[str], now: float) -> None:
        """Note a crash.

        :param job_ids: jobs that had runs on the worker.
        :param now: monotonic seconds.
        """
        while self._crashes and now - self._crashes[0][0] > DOUBT_S:
            self._crashes.popleft()
        self._crashes.append((now, frozenset(job_ids)))

    def get_doubt(self, job_id: str) -> int:
        """Give how many crashes more are asked for before a job is given up.

        :param job_id: the job.
        """
        others = sum(job_id not in job_ids for _, job_ids in self._crashes)
        return min(others // CRASHES_PER_DOUBT, MOST_DOUBT)


def weigh_blame(runs: t.Sequence[LostRun]) -> list[int]:
    """Weigh for each run of a crashed worker how surely its task is the cause.

    Blame falls on the job of a run, since a job is given up whole: on the only one that
    had started something there, or, where all runs had proved themselves, on the only
    one that was there. A start without an answer may never have reached the worker; it
    keeps others from being blamed, but gets no blame itself.

    :param runs: the runs whose orders were sent.
    :returns: the blame, in the order of the runs.
    """
    young = [run for run in runs if run.young]
    suspects = young or [run for run in runs if run.listed_ms < SETTLED_MS]
    if len({run.job_id for run in suspects}) != 1:
        return [0] * len(runs)
    weight = YOUNG_BLAME if young else LATE_BLAME
    return [weight if run in suspects and run.confirmed else 0 for run in runs]
