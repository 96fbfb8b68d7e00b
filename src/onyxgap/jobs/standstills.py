"""Reports jobs of which nothing runs although a task could, and why.

Each such job is named in the log from its second second on, at least in a list, and
again when something of it runs.
"""

import collections
import itertools
import operator
import typing as t

import attrs
import structlog

from .job import Job
from .job import Task
from .job import TaskPhase
from .messages import JobState
from .obstacles import count_obstacles
from .shard import Shard
from .shard_jobs import get_step_key
from .standstill_causes import OwnerProgress
from .standstill_causes import ShardSurvey
from .standstill_causes import StandstillCause
from .standstill_causes import StandstillReason

CHECK_INTERVAL_S = 1.0
"""Time between two checks of all open jobs."""
REPORT_AFTER_S = 2.0
"""Standstill of a job before it is reported. A check later, callers may complain."""
REPEAT_INTERVAL_S = 2.0
"""Least time between two lines about one job."""
TOLERANCE_S = 0.01
"""By how much a check may come early for both."""
MAX_LONGEST_JOBS = 4
"""Most lines in a check about the jobs that stand longest."""
MAX_NEW_JOBS = 4
"""Most lines in a check about other jobs that had no line of their own yet."""
MAX_ENDED_JOBS = 10
"""Most lines in a check about jobs that run again."""
MAX_NAMED_JOBS = 30
"""Most jobs named in a line about several."""
MAX_EXAMINED_JOBS = 60
"""Most jobs whose reasons are looked for in a check for a line about several."""
NOT_EXAMINED = "not examined"
"""Counted instead of a reason for a job whose reason was not looked for yet."""

_LOG = structlog.get_logger()


@attrs.define(slots=True, eq=False)
class Standstill:
    """A job of which nothing runs.

    :param job: the job.
    :param since: monotonic seconds since when, at the earliest.
    :param due_at: monotonic seconds from which it may be given a line of its own.
    :param reported_at: monotonic seconds of the last such line, 0 before.
    :param named_at: monotonic seconds when a line last named it, 0 before.
    :param reason: the reason found last, ``None`` before.
    """

    job: Job
    since: float
    due_at: float = attrs.field(init=False)
    reported_at: float = 0.0
    named_at: float = 0.0
    reason: StandstillReason | None = None

    def __attrs_post_init__(self) -> None:
        self.due_at = self.since + REPORT_AFTER_S - TOLERANCE_S

    def note_line(self, now: float, reason: StandstillReason) -> None:
        """Record a line of its own.

        :param now: monotonic seconds.
        :param reason: the reason in the line.
        """
        self.reported_at = self.named_at = now
        self.due_at = now + REPEAT_INTERVAL_S - TOLERANCE_S
        self.reason = reason


@attrs.define(eq=False)
class StandstillReporter:
    """Logs the jobs of one shard of which nothing runs.

    :param shard: the shard.
    :param standing: the jobs of which nothing runs, by ID.
    """

    shard: Shard
    standing: dict[str, Standstill] = attrs.field(factory=dict)
    _known: frozenset[str] = frozenset()
    _checked_at: float = 0.0

    def check(self, progress: OwnerProgress, now: float, wall_ms: float) -> None:
        """Find the jobs of which nothing runs, and log those that stand for long.

        :param progress: progress of the shard's owner.
        :param now: monotonic seconds.
        :param wall_ms: Unix milliseconds.
        """
        survey = ShardSurvey(self.shard, progress, now, wall_ms)
        ended = self._update(survey)
        self._log_ended([item for item in ended if item.named_at], now)
        due = [item for item in self.standing.values() if item.due_at <= now]
        if due:
            self._report(survey, due)

    def _update(self, survey: ShardSurvey) -> list[Standstill]:
        """Update which jobs stand still; return those that no longer do."""
        known, standing, jobs = self._known, self.standing, self.shard.jobs
        ended = []
        placed_jobs = survey.placed_jobs
        for job_id, job in jobs.items():
            item = standing.get(job_id)
            if item is not None and job.ran_at > item.since:
                ended.append(standing.pop(job_id))
                item = None
            if item is not None and job.occurrences and job_id not in placed_jobs:
                # most jobs of a long queue
                continue
            if survey.stands_still(job):
                if item is None:
                    begin = self._bound_begin(job, job_id in known)
                    standing[job_id] = Standstill(job, begin)
            elif item is not None:
                ended.append(standing.pop(job_id))
        ended += [standing.pop(job_id) for job_id in standing.keys() - jobs.keys()]
        self._known = frozenset(jobs)
        self._checked_at = survey.now
        return ended

    def _bound_begin(self, job: Job, known: bool) -> float:
        """Return since when, at the earliest, nothing of a job runs for this owner.

        :param job: a job that stands still.
        :param known: whether the last check saw it, when it did not stand still.
        """
        checked_at = self._checked_at if known else 0.0
        return max(job.accepted_at, job.ran_at, self.shard.claimed_at, checked_at)

    def _report(self, survey: ShardSurvey, due: list[Standstill]) -> None:
        due.sort(key=operator.attrgetter("since"))
        chosen = due[:MAX_LONGEST_JOBS]
        new = (item for item in due[MAX_LONGEST_JOBS:] if not item.reported_at)
        chosen += itertools.islice(new, MAX_NEW_JOBS)
        for item in chosen:
            self._log_standstill(survey, item)
        if len(due) > len(chosen):
            others = [item for item in due if item.reported_at != survey.now]
            self._log_others(survey, others)

    def _log_standstill(self, survey: ShardSurvey, item: Standstill) -> None:
        now, job = survey.now, item.job
        cause = survey.find_cause(job)
        item.note_line(now, cause.reason)
        _LOG.info(
            "job stands",
            job=job.submission.job_id,
            service=self.shard.service,
            tenant=job.submission.tenant,
            epoch=self.shard.epoch,
            since_s=round(now - item.since, 3),
            accepted_s=round(now - job.accepted_at, 3),
            task=str(cause.task.task_id) if cause.task is not None else None,
            reason=cause.reason.value,
            **self._describe_run(cause, now),
            **_count_tasks(job, now),
            pass_age_s=_round(survey.progress.pass_age_s),
            write_s=_round(survey.progress.write_s),
            workers=self._count_workers(cause.task, job, now),
        )

    def _describe_run(self, cause: StandstillCause, now: float) -> dict[str, t.Any]:
        """Describe the run of a task, or how long it is not tried again."""
        task = cause.task
        if task is None:
            return {}
        if not task.placed:
            wait_s = task.not_before - now
            return {"retry_in_s": round(wait_s, 3)} if wait_s > 0.0 else {}
        fields: dict[str, t.Any] = {"worker": task.worker_id, "run": task.run}
        if task.started_at:
            fields["order_age_s"] = round(now - task.started_at, 3)
        record = self.shard.workers.get(task.worker_id)
        if record is not None and cause.reason is StandstillReason.IN_DOUBT:
            silent_s = self.shard.get_silent_s(record, now)
            fields["silent_s"] = round(silent_s, 3)
            fields["lease_left_s"] = round(self.shard.get_lease_left_s(record, now), 3)
            fields["registered"] = record.registered
        return fields

    def _count_workers(self, task: Task | None, job: Job, now: float) -> dict[str, int]:
        if task is None:
            return {}
        return count_obstacles(
            self.shard.workers.values(),
            job.get_step(task),
            get_step_key(task),
            now,
            task.loss_history.isolation,
        )

    def _log_others(self, survey: ShardSurvey, others: list[Standstill]) -> None:
        # those that were named least recently; the sort keeps the order of age
        examined = sorted(others, key=operator.attrgetter("named_at"))[
            :MAX_EXAMINED_JOBS
        ]
        for item in examined:
            item.reason = survey.find_cause(item.job).reason
        reasons = collections.Counter(
            item.reason.value if item.reason is not None else NOT_EXAMINED
            for item in others
        )
        named = examined[:MAX_NAMED_JOBS]
        for item in named:
            item.named_at = survey.now
        _LOG.info(
            "more jobs stand",
            service=self.shard.service,
            epoch=self.shard.epoch,
            count=len(others),
            longest_s=round(survey.now - others[0].since, 3),
            reasons=dict(reasons),
            jobs=[item.job.submission.job_id for item in named],
        )

    def _log_ended(self, ended: list[Standstill], now: float) -> None:
        for item in ended[:MAX_ENDED_JOBS]:
            state = self._get_state(item.job)
            runs = not state.final or state is JobState.SUCCEEDED
            _LOG.info(
                "job runs again" if runs else "job ended while it stood",
                job=item.job.submission.job_id,
                service=self.shard.service,
                epoch=self.shard.epoch,
                stood_s=round(now - item.since, 3),
                state=state.value,
                reason=item.reason.value if item.reason is not None else None,
            )
        others = ended[MAX_ENDED_JOBS:]
        if others:
            _LOG.info(
                "more jobs run again",
                service=self.shard.service,
                epoch=self.shard.epoch,
                count=len(others),
                jobs=[item.job.submission.job_id for item in others[:MAX_NAMED_JOBS]],
            )

    def _get_state(self, job: Job) -> JobState:
        status = self.shard.final.get(job.submission.job_id)
        return status.state if status is not None else job.state


def _count_tasks(job: Job, now: float) -> dict[str, int]:
    """Count the tasks of the steps of a job that may start, by what they wait for."""
    tasks = [
        task
        for occurrence, number in job.list_ready()
        for task in occurrence.steps[number]
    ]
    waiting = [task for task in tasks if task.phase is TaskPhase.WAITING]
    return {
        "waiting": len(waiting),
        "delayed": sum(now < task.not_before for task in waiting),
        "placed": sum(task.placed for task in tasks),
    }


def _round(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)
