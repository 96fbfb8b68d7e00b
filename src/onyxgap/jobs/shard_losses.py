"""Records the runs that are lost with the workers of a shard, and their causes."""

import itertools
import typing as t

import attrs
import structlog

from .crashes import SERVING_EXTRA_CRASHES
from .crashes import LostRun
from .crashes import assign_blame
from .crashes import find_suspects
from .job import Job
from .job import Task
from .messages import JobState
from .messages import WorkerState
from .placing import Lapse
from .placing import WorkerRecord
from .shard_leases import ShardLeases

_LOG = structlog.get_logger()


def may_have_been_sent(task: Task) -> bool:
    """Return whether the start order of a run may have reached its worker.

    A run without a start time was ordered by a previous owner, or from a previous
    incarnation of the worker; its order may have been sent. See :class:`Task`.
    """
    return task.sent or task.started_at == 0.0


def _describe_run(task: Task) -> tuple[str, int, bool, float]:
    """Return a run's task, number, whether its start was confirmed, and listed time.

    The listed time is in ms. A task that crashes its worker at its start is never
    listed for long.
    """
    confirmed = task.confirmed_at is not None
    return str(task.task_id), task.run, confirmed, round(task.listed_ms)


def _describe_loss(task: Task, last_clock_ms: float) -> LostRun:
    """Describe the run of a task that was lost with its worker.

    :param task: the task.
    :param last_clock_ms: latest reading of the worker's clock. A run that was started
        before had not crashed the worker by then, even if no report listed it.
    """
    return LostRun(
        task.task_id.job_id,
        task.confirmed_at is not None,
        task.get_survived_ms(last_clock_ms),
    )


@attrs.define
class ShardLosses(ShardLeases):
    """The runs of one shard that are lost with their workers."""

    def _release_runs(self, record: WorkerRecord, crashed: bool, now: float) -> int:
        lost = self._list_runs_on(record)
        tasks = [task for _, task in lost]
        sent = [task for task in tasks if may_have_been_sent(task)]
        runs = [_describe_loss(task, record.last_clock_ms) for task in sent]
        blames = {}
        if record.entry.state is not WorkerState.DRAINING:
            blames = self._record_losses(sent, runs, crashed)
            if not crashed:
                record.lapses += [
                    Lapse(task, run.young) for task, run in zip(sent, runs, strict=True)
                ]
        if tasks:
            self._log_lost_runs(record, tasks, blames)
        if crashed and tasks:
            # A worker without runs is not recorded: it may have been drained, and then
            # it has moved or is in maintenance.
            job_ids = [task.task_id.job_id for task in tasks]
            suspects = itertools.compress(sent, find_suspects(runs))
            self.crashes.note(job_ids, [task.task_id for task in suspects], now)
        for job, task in lost:
            self._release(job, task)
        for job, task in lost:
            if job.state.final:
                continue
            extra_crashes = self._get_extra_crashes(job, task)
            serving = job.get_step(task).long_running
            if task.loss_history.causes_crashes(extra_crashes, serving=serving):
                self._fail_crashing_job(job, task, extra_crashes)
            elif task.loss_history.causes_crashes():
                self._log_extra_crashes(task, extra_crashes)
        return len(lost)

    def _forget_lapses(self, record: WorkerRecord) -> None:
        """Take back the losses of lapsed runs: the worker answers, none crashed it."""
        for lapse in record.lapses:
            task = lapse.task
            task.loss_history = task.loss_history.remove_loss(lapse.young)
            self.dirty.add(task.task_id.job_id)
        record.lapses.clear()

    def _get_extra_crashes(self, job: Job, task: Task) -> int:
        extra_crashes = self.crashes.get_extra_crashes(job.submission.job_id)
        if job.get_step(task).long_running:
            return max(extra_crashes, SERVING_EXTRA_CRASHES)
        return extra_crashes

    def _log_lost_runs(
        self,
        record: WorkerRecord,
        tasks: t.Sequence[Task],
        blames: t.Mapping[str, int],
    ) -> None:
        _LOG.info(
            "runs lost",
            worker=record.entry.worker_id,
            service=self.service,
            epoch=self.epoch,
            runs=[_describe_run(task) for task in tasks],
            blames=blames,
        )

    def _log_extra_crashes(self, task: Task, extra_crashes: int) -> None:
        _LOG.info(
            "more crashes required",
            task=str(task.task_id),
            extra_crashes=extra_crashes,
            losses=task.loss_history.losses,
            blame=task.loss_history.blame,
        )

    @staticmethod
    def _record_losses(
        tasks: t.Sequence[Task], runs: t.Sequence[LostRun], crashed: bool
    ) -> dict[str, int]:
        """Record the runs lost with a worker in the loss histories of their tasks.

        Otherwise a task that crashes its workers would be started again without end.

        :param tasks: the tasks.
        :param runs: their runs, in the same order.
        :param crashed: whether the worker crashed. A worker that is only out of reach
            ends its runs, too, but none of them is to blame.
        :returns: the blame of the runs that are blamed, by task.
        """
        blames = assign_blame(runs) if crashed else [0] * len(runs)
        for task, run, blame in zip(tasks, runs, blames, strict=True):
            history = task.loss_history
            task.loss_history = history.add_loss(run.young, blame, task.run)
        return {
            str(task.task_id): blame
            for task, blame in zip(tasks, blames, strict=True)
            if blame
        }

    def _fail_crashing_job(self, job: Job, task: Task, extra_crashes: int) -> None:
        _LOG.info(
            "job failed",
            job=job.submission.job_id,
            task=str(task.task_id),
            failures=task.failures,
            losses=task.loss_history.losses,
            blame=task.loss_history.blame,
            extra_crashes=extra_crashes,
        )
        self._end_job(job, JobState.FAILED)
