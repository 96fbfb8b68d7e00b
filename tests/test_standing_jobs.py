"""Log lines that tell why nothing of a job runs although a task could."""

import time
import typing as t

import anyio
import attrs
import pytest
import structlog.testing

from onyxgap.jobs import obstacles
from onyxgap.jobs.amounts import Amount
from onyxgap.jobs.job import Job
from onyxgap.jobs.messages import EndKind
from onyxgap.jobs.messages import QueuePolicy
from onyxgap.jobs.messages import Step
from onyxgap.jobs.messages import Submission
from onyxgap.jobs.messages import TaskId
from onyxgap.jobs.shard import Shard
from onyxgap.jobs.share_book import ShardShares
from onyxgap.jobs.standstill_causes import OwnerProgress
from onyxgap.jobs.standstill_causes import StandstillReason
from onyxgap.jobs.standstills import CHECK_INTERVAL_S
from onyxgap.jobs.standstills import MAX_LONGEST_JOBS
from onyxgap.jobs.standstills import MAX_NAMED_JOBS
from onyxgap.jobs.standstills import MAX_NEW_JOBS
from onyxgap.jobs.standstills import REPORT_AFTER_S
from onyxgap.jobs.standstills import StandstillReporter
from onyxgap.jobs.store import Batch
from onyxgap.jobs.workers import Reply
from onyxgap.jobs.workers import ReplyKind
from onyxgap.jobs.workers import WorkerClock
from onyxgap.standins.emulator.slots import EmulatedClocks
from onyxgap.standins.virtual import run_virtually
from tests.owners import build_owner
from tests.test_shard import ENTRY
from tests.test_shard import WALL_MS
from tests.test_shard import ShardHarness

LIMIT_S = 3.0
"""Standstill of a job within which its owner has to say why."""
MAX_CHECK_S = 0.005
"""Processor time allowed for a check of a shard with many open steps."""
MANY_JOBS = 3000
JOB = "a" * 16
NO_ANSWER = Reply(ReplyKind.NO_ANSWER)
NOTHING: t.Any = None


@attrs.define
class Watch:
    """A shard with a manual clock, and the reporter of its standing jobs."""

    harness: ShardHarness
    reporter: StandstillReporter
    lines: list[t.Any] = attrs.field(factory=list)

    @property
    def shard(self) -> Shard:
        return self.harness.shard

    def wait(self, seconds: float, progress: OwnerProgress | None = None) -> None:
        """Pass time, with a check each second and nothing else."""
        end = self.harness.now + seconds
        while self.harness.now < end - 1e-6:
            self.harness.now += CHECK_INTERVAL_S
            self.check(progress)

    def check(self, progress: OwnerProgress | None = None) -> list[t.Any]:
        with structlog.testing.capture_logs() as lines:
            now = self.harness.now
            self.reporter.check(progress or OwnerProgress(), now, WALL_MS)
        self.lines += lines
        return lines

    def select(self, event: str) -> list[t.Any]:
        return [line for line in self.lines if line["event"] == event]

    def read_reason(self, progress: OwnerProgress | None = None) -> StandstillReason:
        """Return the reason in the line of the job that has stood for long enough."""
        self.wait(LIMIT_S - CHECK_INTERVAL_S, progress)
        (line,) = self.select("job stands")
        assert line["job"] == JOB
        return StandstillReason(line["reason"])


@pytest.fixture
def watch() -> Watch:
    harness = ShardHarness(Shard("s", epoch=3, claimed_at=50.0))
    harness.add_worker("w1")
    return Watch(harness, StandstillReporter(harness.shard))


def close_workers(watch: Watch, **changes: t.Any) -> None:
    for record in watch.shard.workers.values():
        for name, value in changes.items():
            setattr(record, name, value)


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"registered": False}, StandstillReason.NO_WORKERS),
        ({"held": False}, StandstillReason.NOT_HELD),
        ({"failing_since": 100.0}, StandstillReason.SILENT),
        ({"cordoned": True}, StandstillReason.CORDONED),
        ({"blocked_until": 200.0}, StandstillReason.BLOCKED),
        ({"ejected_until": 200.0}, StandstillReason.EJECTED),
        ({"capacity_valid_until": 0.0}, StandstillReason.CAPACITY_OUTDATED),
        ({"reserved": True}, StandstillReason.RESERVED),
        ({"cpu_used": ENTRY.cpu}, StandstillReason.FULL),
        ({"present": {(JOB, 0, 0): 1}}, StandstillReason.PLACEMENT),
        ({"isolated": {TaskId("b" * 16, 0, 0, 0)}}, StandstillReason.ISOLATION),
        ({}, StandstillReason.NO_PASS),
    ],
)
def test_job_that_waits_is_logged_with_what_keeps_the_workers_from_it(
    watch: Watch, changes: dict[str, t.Any], reason: StandstillReason
) -> None:
    job = watch.harness.add_job(Step(1, cpu=1000, anti_affinity=1))
    job.open_due_occurrences(WALL_MS)
    close_workers(watch, **changes)
    assert watch.read_reason() is reason


def test_each_obstacle_of_a_worker_is_a_reason() -> None:
    known = {reason.value for reason in StandstillReason}
    assert known >= obstacles._OBSTACLES.keys()


def test_job_that_no_pass_has_seen_is_logged(watch: Watch) -> None:
    watch.harness.add_job(Step(1, cpu=1000))
    assert watch.read_reason(OwnerProgress(2.5)) is StandstillReason.NO_PASS
    assert watch.lines[-1]["pass_age_s"] == 2.5


@pytest.mark.parametrize(
    ("pass_age_s", "reason"),
    [(0.01, StandstillReason.FULL), (2.0, StandstillReason.NO_PASS)],
)
def test_worker_that_is_free_since_the_last_pass_is_no_reason_in_a_full_pool(
    watch: Watch, pass_age_s: float, reason: StandstillReason
) -> None:
    close_workers(watch, cpu_used=ENTRY.cpu)
    watch.harness.add_worker("w2")
    job = watch.harness.add_job(Step(1, cpu=1000))
    job.open_due_occurrences(WALL_MS)
    assert watch.read_reason(OwnerProgress(pass_age_s)) is reason
    assert watch.lines[-1]["workers"] == {"full": 1, "free": 1}


def test_job_beyond_the_cap_of_its_tenant_is_logged(watch: Watch) -> None:
    watch.shard.shares = ShardShares("s", 3, lambda tenant: Amount(100, 100, 0))
    policy = QueuePolicy("q", "s")
    submission = Submission(JOB, policy, "", (Step(1, cpu=1000),), tenant="t1")
    watch.shard.add_job(Job(submission), watch.harness.now, WALL_MS)
    watch.harness.plan()
    assert watch.read_reason() is StandstillReason.TENANT_CAP
    assert watch.lines[-1]["tenant"] == "t1"


def test_job_that_is_not_tried_again_yet_is_logged(watch: Watch) -> None:
    job = watch.harness.add_job(Step(1, cpu=1000))
    (order,) = watch.harness.start_all()
    watch.harness.report("w1", (order, EndKind.FAILED))
    task = job.find_task(order.task)
    assert task is not None
    task.not_before = watch.harness.now + 10.0
    assert watch.read_reason() is StandstillReason.RETRY_DELAY
    assert watch.lines[-1]["retry_in_s"] == pytest.approx(8.0)


def test_job_whose_progress_the_store_refuses_is_logged(watch: Watch) -> None:
    watch.harness.add_job(Step(1, cpu=1000))
    (order,) = watch.harness.plan()
    watch.shard.withdraw_start(order, watch.harness.now + 5.0)
    refused = OwnerProgress(refused=[JOB])
    assert watch.read_reason(refused) is StandstillReason.WRITE_REFUSED


def test_job_whose_start_order_is_not_stored_is_logged(watch: Watch) -> None:
    watch.harness.add_job(Step(1, cpu=1000))
    (order,) = watch.harness.plan()
    storing = OwnerProgress(write_s=2.0, storing=[order.task])
    assert watch.read_reason(storing) is StandstillReason.ORDER_NOT_STORED
    assert watch.lines[-1]["write_s"] == 2.0


def test_job_whose_start_order_is_not_sent_is_logged(watch: Watch) -> None:
    watch.harness.add_job(Step(1, cpu=1000))
    watch.harness.plan()
    assert watch.read_reason() is StandstillReason.ORDER_NOT_SENT


def test_job_whose_start_order_is_not_confirmed_is_logged(watch: Watch) -> None:
    watch.harness.add_job(Step(2, cpu=1000))
    (order, _) = watch.harness.plan()
    assert watch.shard.prepare_start(order, watch.harness.now + 0.1) is not None
    assert watch.read_reason() is StandstillReason.ORDER_UNCONFIRMED
    (line,) = watch.lines
    assert (line["task"], line["worker"]) == (str(order.task), "w1")
    assert (line["placed"], line["waiting"]) == (2, 0)


def test_job_whose_run_is_barred_on_a_restarted_worker_is_logged(
    watch: Watch,
) -> None:
    watch.harness.add_job(Step(1, cpu=1000))
    (order,) = watch.harness.plan()
    assert watch.shard.prepare_start(order, watch.harness.now) is not None
    entry = attrs.evolve(ENTRY, born=1)
    watch.shard.workers["w1"].born = 0
    watch.shard.observe_worker(entry, watch.harness.now)
    watch.shard.observe_worker(attrs.evolve(entry, born=9000), watch.harness.now)
    watch.shard.workers["w1"].held = True
    assert watch.read_reason() is StandstillReason.STOP_UNCONFIRMED


def test_job_whose_only_run_is_in_doubt_is_logged_with_the_lease(watch: Watch) -> None:
    watch.harness.add_job(Step(1, cpu=1000))
    watch.harness.start_all()
    watch.harness.report("w1")
    record = watch.shard.workers["w1"]
    assert record.clock is not None
    record.lease_ms = record.clock.estimate(watch.harness.now) + 5000
    watch.shard.apply_failure("w1", NO_ANSWER, watch.harness.now)
    assert watch.read_reason() is StandstillReason.IN_DOUBT
    (line,) = watch.lines
    assert line["worker"] == "w1"
    assert line["silent_s"] == pytest.approx(2.0)
    assert line["lease_left_s"] == pytest.approx(3.0, abs=0.1)


def test_gang_whose_member_is_kept_on_a_silent_worker_is_logged(watch: Watch) -> None:
    watch.harness.add_worker("w2")
    job = watch.harness.add_job(Step(2, cpu=1000, gang=True, anti_affinity=1))
    first, second = watch.harness.start_all()
    watch.harness.report(first.worker_id, (first, EndKind.LAPSED))
    watch.harness.report(second.worker_id)
    watch.shard.apply_failure(second.worker_id, NO_ANSWER, watch.harness.now)
    watch.harness.plan()
    assert len(list(job.list_placed())) == 1
    assert watch.read_reason() is StandstillReason.IN_DOUBT
    assert watch.lines[-1]["task"] == str(second.task)


def test_gang_that_fits_in_part_is_logged(watch: Watch) -> None:
    watch.harness.add_job(Step(2, cpu=1000, gang=True, anti_affinity=1))
    watch.harness.plan()
    assert watch.read_reason() is StandstillReason.GANG_TOO_LARGE


def test_job_that_runs_or_has_nothing_due_is_not_logged(watch: Watch) -> None:
    watch.harness.add_job(Step(2, cpu=1000))
    watch.harness.start_all()
    due_later = Submission(
        "b" * 16,
        QueuePolicy("q", "s"),
        "",
        (Step(1),),
        times=2,
        start_at_ms=int(WALL_MS) + 10**6,
        interval_ms=1000,
    )
    watch.shard.add_job(Job(due_later), watch.harness.now, WALL_MS)
    watch.wait(10.0)
    assert watch.lines == []


def test_standing_job_is_named_within_three_seconds_and_last_in_the_log(
    watch: Watch,
) -> None:
    watch.wait(0.5)
    close_workers(watch, cordoned=True)
    watch.harness.now += 0.45 * CHECK_INTERVAL_S
    watch.harness.add_job(Step(1, cpu=1000))
    watch.harness.plan()
    began = watch.harness.now
    while watch.harness.now < began + 20.0 and not watch.lines:
        watch.wait(CHECK_INTERVAL_S)
    assert watch.harness.now - began <= LIMIT_S
    watch.wait(20.0)
    assert len(watch.select("job stands")) in (10, 11)
    close_workers(watch, cordoned=False)
    watch.harness.start_all()
    watch.wait(CHECK_INTERVAL_S)
    line = watch.lines[-1]
    assert (line["event"], line["job"]) == ("job runs again", JOB)
    assert line["reason"] == "cordoned"
    assert line["stood_s"] >= 20.0


def test_standstill_counts_from_the_last_check_that_saw_the_job_run(
    watch: Watch,
) -> None:
    watch.harness.add_job(Step(1, cpu=1000))
    watch.harness.start_all()
    watch.wait(10.0)
    watch.shard.apply_failure("w1", NO_ANSWER, watch.harness.now)
    watch.wait(REPORT_AFTER_S)
    assert [line["since_s"] for line in watch.lines] == [REPORT_AFTER_S]


def test_job_of_short_runs_that_ends_one_between_two_checks_does_not_stand(
    watch: Watch,
) -> None:
    watch.harness.add_job(Step(8, cpu=ENTRY.cpu))
    for _ in range(7):
        watch.wait(CHECK_INTERVAL_S)
        (order,) = watch.harness.start_all()
        watch.harness.report("w1", (order, EndKind.DONE))
    assert watch.lines == []


def test_job_that_was_cancelled_while_it_stood_does_not_run_again(
    watch: Watch,
) -> None:
    close_workers(watch, cordoned=True)
    watch.harness.add_job(Step(1, cpu=1000))
    watch.harness.plan()
    watch.wait(3.0)
    watch.shard.cancel(JOB)
    job = watch.shard.jobs[JOB]
    watch.shard.mark_stored(JOB, job.state, watch.harness.now)
    watch.wait(1.0)
    assert watch.lines[-1]["event"] == "job ended while it stood"
    assert watch.lines[-1]["state"] == "cancelled"


def test_lines_about_many_standing_jobs_are_bounded_and_name_each_job(
    watch: Watch,
) -> None:
    close_workers(watch, cordoned=True)
    job_ids = {f"{number:016x}" for number in range(200)}
    for job_id in sorted(job_ids):
        watch.harness.add_job(Step(1, cpu=1000), job_id=job_id)
    watch.harness.plan()
    watch.wait(REPORT_AFTER_S)
    (others,) = watch.select("more jobs stand")
    named = MAX_LONGEST_JOBS + MAX_NEW_JOBS
    assert others["count"] == len(job_ids) - named
    assert sum(others["reasons"].values()) == others["count"]
    assert others["reasons"]["cordoned"] > 0
    for _ in range(len(job_ids) // MAX_NAMED_JOBS):
        before = len(watch.lines)
        watch.wait(CHECK_INTERVAL_S)
        assert len(watch.lines) - before <= named + 1
    shown = {line["job"] for line in watch.select("job stands")}
    for line in watch.select("more jobs stand"):
        assert len(line["jobs"]) <= MAX_NAMED_JOBS
        shown |= set(line["jobs"])
    assert shown == job_ids


def test_jobs_that_stand_longest_do_not_hide_one_that_stands_since_now(
    watch: Watch,
) -> None:
    close_workers(watch, cordoned=True)
    for number in range(3 * MAX_LONGEST_JOBS):
        watch.harness.add_job(Step(1, cpu=1000), job_id=f"{number:016x}")
    watch.harness.plan()
    watch.wait(20.0)
    watch.harness.add_job(Step(1, cpu=1000))
    watch.harness.plan()
    watch.wait(REPORT_AFTER_S)
    assert JOB in {line["job"] for line in watch.select("job stands")}


def test_check_of_many_open_steps_costs_little(watch: Watch) -> None:
    for number in range(1, 48):
        watch.harness.add_worker(f"w{number}", cpu=4000)
    for number in range(MANY_JOBS):
        step = Step(1 + number % 8, cpu=500 + number % 7 * 500, memory_mb=1000)
        watch.harness.add_job(step, job_id=f"{number:016x}")
    watch.harness.start_all()
    watch.wait(REPORT_AFTER_S)
    times_s = []
    for _ in range(10):
        watch.harness.now += CHECK_INTERVAL_S
        began = time.process_time()
        watch.check()
        times_s.append(time.process_time() - began)
    assert len(watch.reporter.standing) > 0.9 * MANY_JOBS
    assert min(times_s) < MAX_CHECK_S


class StoreWithoutAnswers:
    """A store that answers no write."""

    async def write(self, batch: Batch) -> t.Any:
        await anyio.sleep_forever()


async def schedule_without_store() -> list[t.Any]:
    """Run an owner with a job for the time within which it has to say why."""
    store: t.Any = StoreWithoutAnswers()
    owner = build_owner(NOTHING, EmulatedClocks(), store)
    owner.context.is_guarded = lambda shard: True
    now = owner._now()
    entry = attrs.evolve(ENTRY, service="shard")
    owner.state.observe_worker(entry, now)
    owner.state.workers["w1"].clock = WorkerClock(0.0, now)
    owner.state.workers["w1"].held = True
    job = Job(Submission(JOB, QueuePolicy("q", "shard"), "", (Step(1, cpu=100),)))
    owner.state.add_job(job, now, owner._wall_ms())
    with structlog.testing.capture_logs() as lines:
        async with anyio.create_task_group() as group:
            owner._group = group
            group.start_soon(owner._report_changes)
            group.start_soon(owner._schedule_until_released)
            await anyio.sleep(LIMIT_S)
            group.cancel_scope.cancel()
    return [line for line in lines if line["event"] == "job stands"]


def test_owner_that_waits_for_the_store_says_so_of_its_jobs() -> None:
    lines = run_virtually(schedule_without_store)
    assert [line["reason"] for line in lines] == ["start order not stored"]
    assert lines[0]["write_s"] > 0.0
