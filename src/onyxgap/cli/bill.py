"""Reports late jobs, rejected submissions and use of VM time from the logs of nodes."""

import argparse
import collections
import datetime
import pathlib
import sys
import typing as t

import attrs
import orjson

from ..logs import DROPPED_EVENT
from .tracing import LogLine
from .tracing import parse_lines

EXIT_USAGE = 2
RECOVERY_S = 2.5
"""A late job is attributed to a shard claim if it was open within this many seconds
before or after it. VMs requested for a new owner's backlog serve about 2 s later."""
_FAILURE_EVENTS = frozenset({"task ended", "straggler stopped"})


class Cause(t.NamedTuple):
    """Possible cause of a late job, with the check that recognizes it.

    :param name: name in the report.
    :param applies: returns whether it is the cause of a job.
    """

    name: str
    applies: t.Callable[["LateJob", "Evidence"], bool]


@attrs.frozen
class LateJob:
    """Job that succeeded after its objective had passed.

    :param job_id: its id.
    :param queue: its queue.
    :param service: its service.
    :param ended: Unix time of its end, in seconds.
    :param took_s: seconds from its acceptance to its end.
    :param waited_s: seconds from its acceptance to its first start; ``None`` if a
        previous owner started it.
    :param objective_s: seconds from its acceptance within which it should have ended.
    """

    job_id: str
    queue: str
    service: str
    ended: float
    took_s: float
    waited_s: float | None
    objective_s: float

    @property
    def began(self) -> float:
        """Unix time of its acceptance, in seconds."""
        return self.ended - self.took_s


class Interval(t.NamedTuple):
    """Interval between two Unix times in seconds."""

    start: float
    end: float

    def overlaps(self, job: LateJob) -> bool:
        """Return whether a job was open during part of the interval."""
        return self.start < job.ended and self.end > job.began


@attrs.define
class Evidence:
    """Events in the logs that may have made jobs late.

    :param outages: intervals in which a node received no answer from the store.
    :param recoveries: intervals around claims after the first one, by shard.
    :param failures: ids of jobs with a task that failed, was lost with its worker or
        was stopped as a straggler.
    """

    outages: list[Interval] = attrs.field(factory=list)
    recoveries: dict[str, list[Interval]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    failures: set[str] = attrs.field(factory=set)


def _overlaps_outage(job: LateJob, evidence: Evidence) -> bool:
    return any(interval.overlaps(job) for interval in evidence.outages)


def _overlaps_recovery(job: LateJob, evidence: Evidence) -> bool:
    return any(interval.overlaps(job) for interval in evidence.recoveries[job.service])


def _had_failed_run(job: LateJob, evidence: Evidence) -> bool:
    return job.job_id in evidence.failures


def _waited_for_capacity(job: LateJob, evidence: Evidence) -> bool:
    excess_s = job.took_s - job.objective_s
    return job.waited_s is not None and job.waited_s >= excess_s


CAUSES = (
    Cause("store", _overlaps_outage),
    Cause("recovery", _overlaps_recovery),
    Cause("worker", _had_failed_run),
    Cause("pool too small", _waited_for_capacity),
    Cause("run time or order", lambda job, evidence: True),
)


def find_cause(job: LateJob, evidence: Evidence) -> str:
    """Return the name of the first cause that applies.

    :param job: the late job.
    :param evidence: events that may have made it late.
    """
    return next(cause.name for cause in CAUSES if cause.applies(job, evidence))


@attrs.define
class Bill:
    """Totals of the period that the logs cover.

    :param jobs: jobs that ended, by state.
    :param late: late jobs by cause and queue.
    :param refused: rejected submissions by reason.
    :param vm_s: VM seconds by how they were used.
    :param moves: moves of VMs between pools.
    :param lost_lines: log lines that nodes dropped; the totals lack their events.
    """

    jobs: collections.Counter[str] = attrs.field(factory=collections.Counter)
    late: collections.Counter[tuple[str, str]] = attrs.field(
        factory=collections.Counter
    )
    refused: collections.Counter[str] = attrs.field(factory=collections.Counter)
    vm_s: collections.Counter[str] = attrs.field(factory=collections.Counter)
    moves: int = 0
    lost_lines: int = 0


def parse_time(text: str) -> float:
    """Convert a timestamp to Unix time in seconds.

    :param text: timestamp in ISO 8601 format.
    :raises ValueError: if it is malformed.
    """
    return datetime.datetime.fromisoformat(text).timestamp()


def _parse_late_job(line: LogLine) -> LateJob | None:
    fields = line.fields
    objective_s = fields.get("objective_s")
    if fields.get("state") != "succeeded" or objective_s is None:
        return None
    if fields["took_s"] <= objective_s:
        return None
    return LateJob(
        str(fields["job"]),
        str(fields["queue"]),
        str(fields["service"]),
        parse_time(line.at),
        float(fields["took_s"]),
        fields["waited_s"],
        float(objective_s),
    )


def collect_evidence(lines: t.Iterable[LogLine]) -> Evidence:
    """Collect the events that may have made jobs late.

    :param lines: log lines of all nodes.
    """
    evidence = Evidence()
    for line in lines:
        if line.fields["event"] == DROPPED_EVENT:
            # Earlier versions wrote this event without a timestamp.
            continue
        event, at = line.fields["event"], parse_time(line.at)
        if event == "store regained":
            evidence.outages.append(Interval(at - line.fields["away_s"], at))
        elif event == "shard claimed" and line.fields["epoch"] > 1:
            interval = Interval(at - RECOVERY_S, at + RECOVERY_S)
            evidence.recoveries[line.fields["shard"]].append(interval)
        elif event in _FAILURE_EVENTS and line.fields.get("kind") != "stopped":
            evidence.failures.add(line.fields["task"].partition(".")[0])
    return evidence


def _add_vm_seconds(bill: Bill, lines: t.Sequence[LogLine]) -> None:
    """Add the VM seconds between each choice of pool sizes and the next one."""
    chosen = [line for line in lines if line.fields["event"] == "pool sizes chosen"]
    had_burst: set[str] = set()
    for line, later in zip(chosen, chosen[1:], strict=False):
        interval_s = parse_time(later.at) - parse_time(line.at)
        busy, needs = line.fields["busy"], line.fields["needs"]
        had_burst.update(busy)
        for pool, vms in line.fields["sizes"].items():
            needed = min(float(needs.get(pool, 0.0)), vms)
            idle = "in a turn" if pool in busy else "before the first turn"
            if pool not in busy and pool in had_burst:
                idle = "between turns"
            bill.vm_s["needed"] += needed * interval_s
            bill.vm_s[f"idle {idle}"] += (vms - needed) * interval_s


def make_bill(lines: t.Sequence[LogLine]) -> Bill:
    """Compute the totals of the logs.

    :param lines: log lines of all nodes, in order of time.
    :raises KeyError, TypeError, ValueError: if a line lacks a field or a field has
        the wrong type.
    """
    evidence = collect_evidence(lines)
    bill = Bill()
    for line in lines:
        event = line.fields["event"]
        if event == "job ended":
            bill.jobs[str(line.fields["state"])] += 1
            late = _parse_late_job(line)
            if late is not None:
                bill.late[find_cause(late, evidence), late.queue] += 1
        elif event == "submission answered":
            if line.fields["outcome"] != "accepted":
                reason = line.fields["reason"] or line.fields["outcome"]
                bill.refused[str(reason)] += 1
        elif event == "VM moves":
            bill.moves += 1
        elif event == DROPPED_EVENT:
            bill.lost_lines += int(line.fields["count"])
    _add_vm_seconds(bill, lines)
    return bill


def render_bill(bill: Bill) -> str:
    """Render a bill as text.

    :param bill: the totals.
    """
    lines = ["jobs ended"]
    lines += [f"  {state:32s}{count:8d}" for state, count in sorted(bill.jobs.items())]
    lines.append("late jobs, by cause and queue")
    lines += [
        f"  {cause:20s}{queue:12s}{count:8d}"
        for (cause, queue), count in bill.late.most_common()
    ]
    lines.append("submissions not accepted, by reason")
    lines += [f"  {reason:32s}{count:8d}" for reason, count in bill.refused.items()]
    lines.append("VM seconds in pools, by use")
    lines += [f"  {use:32s}{vm_s:8.0f}" for use, vm_s in sorted(bill.vm_s.items())]
    lines.append(f"moves of VMs{bill.moves:22d}")
    if bill.lost_lines:
        lines.append(f"not counted: {bill.lost_lines} log lines dropped by nodes")
    return "\n".join(lines)


def describe_bill(bill: Bill) -> dict[str, t.Any]:
    """Convert a bill to plain data for JSON.

    :param bill: the totals.
    """
    return {
        "jobs": dict(bill.jobs),
        "late": [
            {"cause": cause, "queue": queue, "jobs": count}
            for (cause, queue), count in bill.late.most_common()
        ],
        "refused": dict(bill.refused),
        "vm_s": {use: round(vm_s, 1) for use, vm_s in bill.vm_s.items()},
        "moves": bill.moves,
        "lost_lines": bill.lost_lines,
    }


def _read_logs(names: t.Iterable[str]) -> list[LogLine]:
    lines: list[LogLine] = []
    for name in names:
        path = pathlib.Path(name)
        lines += parse_lines(path.name, path.read_text(errors="replace"))
    return sorted(lines, key=lambda line: line.at)


async def run_bill(arguments: argparse.Namespace) -> int:
    """Print the bill of the log files given as arguments.

    :param arguments: parsed arguments.
    :returns: 0, or 2 after a one-line error if the logs cannot be used.
    """
    try:
        lines = _read_logs(arguments.logs)
        bill = make_bill(lines)
    except OSError as error:
        print(f"{error.filename}: {error.strerror}", file=sys.stderr)
        return EXIT_USAGE
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        print(f"log line lacks a field or is malformed: {error!r}", file=sys.stderr)
        return EXIT_USAGE
    if not lines:
        print("the files contain no log line of a node", file=sys.stderr)
        return EXIT_USAGE
    if arguments.json:
        print(orjson.dumps(describe_bill(bill)).decode())
    else:
        print(render_bill(bill))
    return 0
