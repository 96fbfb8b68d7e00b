"""Slopes of a shard's owner and of the fleet controller: python -m bench.shard."""

import random
import time
import typing as t

import structlog

from onyxgap.jobs.encoding import encode_progress
from onyxgap.jobs.job import Job
from onyxgap.jobs.messages import QueuePolicy
from onyxgap.jobs.messages import RunningTask
from onyxgap.jobs.messages import Step
from onyxgap.jobs.messages import Submission
from onyxgap.jobs.messages import WorkerEntry
from onyxgap.jobs.messages import WorkerState
from onyxgap.jobs.shard import Shard
from onyxgap.jobs.workers import HoldReport
from onyxgap.pools.messages import Vm
from onyxgap.pools.messages import VmState
from onyxgap.pools.planner import FleetPlanner

REPEATS = 5
WORKER_COUNTS = (8, 50, 100, 200, 400)
TASKS_PER_WORKER = 6
VM_COUNTS = (40, 1_000, 5_000, 19_000)
POLICY = QueuePolicy("q", "s", max_attempts=3, stretch=1.6, slo_ms=600)


def measure(run: t.Callable[[], object]) -> float:
    """Give milliseconds of processor time, the best of several runs."""
    best = float("inf")
    for _ in range(REPEATS):
        started = time.process_time()
        run()
        best = min(best, time.process_time() - started)
    return best * 1000


def build_shard(workers: int) -> Shard:
    """Build a shard whose workers have reported and are idle."""
    shard = Shard("s", 1, 0.0)
    for number in range(workers):
        entry = WorkerEntry(
            f"w{number}",
            "s",
            "a:1",
            "z",
            WorkerState.READY,
            64_000,
            262_144,
            0,
            ("a", f"r{number // 4}"),
            0.0,
        )
        shard.observe_worker(entry, 1.0)
        shard.apply_report(f"w{number}", HoldReport(1.0, (), ()), 1.0, 1.0)
    return shard


def add_jobs(shard: Shard, count: int) -> None:
    """Add jobs of six tasks each."""
    rng = random.Random(1)
    for _ in range(count):
        steps = (Step(6, cpu=4_000, memory_mb=16_000, estimate_ms=640),)
        job_id = f"{rng.getrandbits(64):016x}"
        shard.add_job(Job(Submission(job_id, POLICY, "", steps)), 1.0, 0.0)


def measure_shard(workers: int) -> dict[str, float]:
    """Measure planning and reports of a shard with this many workers."""
    jobs = workers * TASKS_PER_WORKER // 6
    shards = []
    for _ in range(REPEATS):
        shard = build_shard(workers)
        add_jobs(shard, jobs)
        shards.append(shard)
    shard = shards[0]
    placing = measure(lambda: shards.pop().plan(2.0, 0.0))
    shard.plan(2.0, 0.0)
    running = tuple(
        RunningTask(task.task_id, task.run, "", 10)
        for job in shard.jobs.values()
        for task in job.list_placed()
        if task.worker_id == "w0"
    )
    report = HoldReport(2_000.0, running, ())
    job = next(iter(shard.jobs.values()))
    return {
        "place all": placing,
        "a task": placing / (jobs * 6),
        "plan, nothing to do": measure(lambda: shard.plan(3.0, 0.0)),
        "take a report": measure(lambda: shard.apply_report("w0", report, 3.0, 3.0)),
        "build a report": measure(lambda: shard.build_report(3.0)),
        "encode a job": measure(lambda: encode_progress(job)),
    }


def measure_fleet(vms: int) -> float:
    """Measure one pass of the fleet controller that has nothing to do."""
    planner = FleetPlanner(2.0, 1, spare_pool="spare", shards=frozenset("s"))
    listed = [
        Vm(f"m{number}", "s", VmState.UP, worker_id=f"w{number}")
        for number in range(vms)
    ]

    def plan() -> None:
        planner.apply_vm_list(listed, 1.0)
        planner.sizes = {"s": vms}
        planner.plan(2.0)
        planner.get_row()

    return measure(plan)


def main() -> None:
    """Print the slopes as a table."""
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    for workers in WORKER_COUNTS:
        cells = measure_shard(workers)
        text = "  ".join(f"{name} {value:.3f}" for name, value in cells.items())
        print(f"{workers:>5} workers, ms: {text}")
    for vms in VM_COUNTS:
        print(f"{vms:>6} VMs, ms: list and plan {measure_fleet(vms):.2f}")


if __name__ == "__main__":
    main()
