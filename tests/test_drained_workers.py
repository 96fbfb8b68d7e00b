"""Reports of drained workers, whose VMs the fleet controller may move at once."""

import math
import typing as t

import anyio

from onyxgap.clocks import SystemClocks
from onyxgap.daemons.owner import ShardOwner
from onyxgap.jobs import tables
from onyxgap.jobs.job import Job
from onyxgap.jobs.messages import EndedTask
from onyxgap.jobs.messages import EndKind
from onyxgap.jobs.messages import JobState
from onyxgap.jobs.messages import QueuePolicy
from onyxgap.jobs.messages import Step
from onyxgap.jobs.messages import Submission
from onyxgap.jobs.messages import TaskId
from onyxgap.jobs.messages import WorkerEntry
from onyxgap.jobs.messages import WorkerState
from onyxgap.jobs.shard import Shard
from onyxgap.jobs.store import StoreLimits
from onyxgap.jobs.workers import HoldReport
from onyxgap.jobs.workers import Reply
from onyxgap.jobs.workers import ReplyKind
from onyxgap.jobs.workers import StartOrder
from onyxgap.pools.messages import decode_report
from tests.owners import build_owner
from tests.test_shard import ShardHarness

CLOCK_MS = 1000.0
WORKER = WorkerEntry(
    "w1", "shard", "host:1", "zone", WorkerState.READY, 1000, 1000, 0, (), CLOCK_MS
)
POLICY = QueuePolicy("queue", "shard")
MANY_JOBS = StoreLimits().call_entries
"""More jobs than one transaction stores."""


def build_owner_of_drained_worker() -> ShardOwner:
    """Build an owner that was told of the end of the last run on a cordoned worker."""
    nothing: t.Any = None
    owner = build_owner(nothing, SystemClocks())
    now = owner._now()
    add_job(owner, "first")
    owner.state.observe_worker(WORKER, now)
    owner.state.apply_report("w1", HoldReport(CLOCK_MS, (), ()), now, now)
    (order,) = owner.state.plan(now, 0.0)
    prepared = owner.state.prepare_start(order, now)
    assert prepared is not None
    owner.state.apply_start_reply(prepared, Reply(ReplyKind.DONE), now)
    owner.state.set_cordons({"w1": "move#1"})
    end = EndedTask(1, order.task, order.run, EndKind.DONE, "")
    owner.state.apply_report("w1", HoldReport(CLOCK_MS, (), (end,)), now, now)
    return owner


def add_job(owner: ShardOwner, job_id: str) -> None:
    step = Step(1, cpu=100, memory_mb=1, estimate_ms=100)
    job = Job(Submission(job_id, POLICY, "", (step,)))
    owner.state.add_job(job, owner._now(), 0.0)


async def read_emptied(other_jobs: t.Sequence[str]) -> t.Mapping[str, str]:
    """Return the drained workers in the report of an owner's next transaction.

    :param other_jobs: jobs with start orders, which are stored first.
    """
    owner = build_owner_of_drained_worker()
    orders = []
    for job_id in other_jobs:
        add_job(owner, job_id)
        task = TaskId(job_id, 0, 0, 0)
        orders.append(StartOrder("w2", "host:2", task, 1, "", 0.0, owner.epoch))
    commit = owner._build_commit(orders)
    assert commit is not None
    return decode_report(commit.puts[tables.get_report_row("shard")]).emptied


def test_worker_is_reported_drained_with_the_results_of_its_runs() -> None:
    assert anyio.run(read_emptied, ()) == {"w1": "move#1"}


def test_worker_is_not_reported_drained_before_its_results_are_stored() -> None:
    others = [f"job-{number}" for number in range(MANY_JOBS)]
    assert anyio.run(read_emptied, others) == {}


async def commit_beside_changes() -> t.Mapping[str, str]:
    """Store the end of a run in ten transactions, with new jobs before each."""
    owner = build_owner_of_drained_worker()
    emptied: t.Mapping[str, str] = {}
    for number in range(10):
        for other in range(MANY_JOBS):
            add_job(owner, f"job-{number}-{other}")
        owner._reported_at = -math.inf
        # the job of the end is stored with the first transaction
        owner.state.dirty -= {"first"} if number else set()
        wanted = [StartOrder("w2", "", TaskId("first", 0, 0, 0), 1, "", 0.0, 1)]
        commit = owner._build_commit([] if number else wanted)
        assert commit is not None
        row = tables.get_report_row("shard")
        if row in commit.puts:
            emptied = decode_report(commit.puts[row]).emptied
        for job_id, state in commit.states.items():
            owner.state.mark_stored(job_id, state, owner._now())
        owner._acknowledge_results(commit.processed)
    return emptied


def test_worker_is_reported_drained_although_other_jobs_change_all_the_time() -> None:
    assert anyio.run(commit_beside_changes) == {"w1": "move#1"}


def test_worker_is_drained_if_a_run_ends_while_its_cancelled_job_is_being_stored() -> (
    None
):
    harness = ShardHarness(Shard("s", epoch=3, claimed_at=50.0))
    harness.add_worker("w1")
    job = harness.add_job(Step(1, cpu=1000))
    (order,) = harness.start_all()
    harness.shard.cancel(job.submission.job_id)
    harness.shard.set_cordons({"w1": "upkeep#1"})
    harness.report("w1", (order, EndKind.STOPPED))
    assert harness.shard.list_drained_workers() == {}
    harness.shard.mark_stored(job.submission.job_id, JobState.CANCELLED, harness.now)
    assert harness.shard.list_drained_workers() == {"w1": "upkeep#1"}
    assert not harness.shard.workers["w1"].unstored_jobs
