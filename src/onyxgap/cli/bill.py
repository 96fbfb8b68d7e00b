"""Tells from the logs of nodes which jobs were not served, why, and what VMs cost."""

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
"""A job that was open this long before or after a claim is billed to it; VMs
that a new owner's backlog asks for serve some 2 s later."""
_FAILURES = frozenset({"task ended", "straggler stopped"})


class Cause(t.NamedTuple):
    """Why a job was late, and how that is recognized.

    :param name: for the report.
    :param applies: tells whether it is the cause.
    """

    name: str
    applies: t.Callable[["LateJob", "Evidence"], bool]


@attrs.frozen
class LateJob:
    """A job that ended after its objective.

    :param job_id: its id.
    :param queue: its queue.
    :param service: its service.
    :param ended: seconds since 1970.
    :param took_s: seconds from its acceptance to its end.
    :param waited_s: seconds to its first start; ``None`` where an earlier owner
        started it.
    :param objective_s: seconds in which it should have ended.
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
        """Seconds since 1970 when it was accepted."""
        return self.ended - self.took_s


class Span(t.NamedTuple):
    """A span of time in seconds since 1970."""

    start: float
    end: float

    def meets(self, job: LateJob) -> bool:
        """Tell whether a job was open within the span."""
        return self.start < job.ended and self.end > job.began


@attrs.define
class Evidence:
    """What the logs tell beside the jobs.

    :param outages: spans in which a node had no answer from the store.
    :param recoveries: spans after a claim, by shard.
    :param failures: jobs of which a task failed or was lost with its worker.
    """

    outages: list[Span] = attrs.field(factory=list)
    recoveries: dict[str, list[Span]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    failures: set[str] = attrs.field(factory=set)


def _met_outage(job: LateJob, evidence: Evidence) -> bool:
    return any(span.meets(job) for span in evidence.outages)


def _met_recovery(job: LateJob, evidence: Evidence) -> bool:
    return any(span.meets(job) for span in evidence.recoveries[job.service])


def _lost_a_run(job: LateJob, evidence: Evidence) -> bool:
    return job.job_id in evidence.failures


def _waited_for_room(job: LateJob, evidence: Evidence) -> bool:
    late_s = job.took_s - job.objective_s
    return job.waited_s is not None and job.waited_s >= late_s


CAUSES = (
    Cause("store", _met_outage),
    Cause("recovery", _met_recovery),
    Cause("worker", _lost_a_run),
    Cause("pool too small", _waited_for_room),
    Cause("run time or order", lambda job, evidence: True),
)


def find_cause(job: LateJob, evidence: Evidence) -> str:
    """Name the first cause that applies.

    :param job: the job.
    :param evidence: what else happened.
    """
    return next(cause.name for cause in CAUSES if cause.applies(job, evidence))


@attrs.define
class Bill:
    """What a day cost and what callers got.

    :param jobs: jobs that ended, by state.
    :param late: late jobs by cause and queue.
    :param refused: refused submissions by reason.
    :param vm_s: VM seconds by how they were used.
    :param moves: moves of VMs.
    :param lost_lines: lines that nodes dropped, of which nothing is billed.
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
    """Read a timestamp as seconds since 1970.

    :param text: ISO 8601.
    :raises ValueError: when it has another form.
    """
    return datetime.datetime.fromisoformat(text).timestamp()


def _read_late(line: LogLine) -> LateJob | None:
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
    """Collect what may have made jobs late.

    :param lines: lines of all nodes.
    """
    evidence = Evidence()
    for line in lines:
        if line.fields["event"] == DROPPED_EVENT:
            # earlier versions wrote it without a time
            continue
        event, at = line.fields["event"], parse_time(line.at)
        if event == "store regained":
            evidence.outages.append(Span(at - line.fields["away_s"], at))
        elif event == "shard claimed" and line.fields["epoch"] > 1:
            span = Span(at - RECOVERY_S, at + RECOVERY_S)
            evidence.recoveries[line.fields["shard"]].append(span)
        elif event in _FAILURES and line.fields.get("kind") != "stopped":
            evidence.failures.add(line.fields["task"].partition(".")[0])
    return evidence


def _bill_sizes(bill: Bill, lines: t.Sequence[LogLine]) -> None:
    """Bill the VM seconds between each choice of sizes and the next one."""
    chosen = [line for line in lines if line.fields["event"] == "pool sizes chosen"]
    had_turn: set[str] = set()
    for line, later in zip(chosen, chosen[1:], strict=False):
        span_s = parse_time(later.at) - parse_time(line.at)
        busy, needs = line.fields["busy"], line.fields["needs"]
        had_turn.update(busy)
        for pool, vms in line.fields["sizes"].items():
            needed = min(float(needs.get(pool, 0.0)), vms)
            idle = "in a turn" if pool in busy else "before the first turn"
            if pool not in busy and pool in had_turn:
                idle = "between turns"
            bill.vm_s["needed"] += needed * span_s
            bill.vm_s[f"idle {idle}"] += (vms - needed) * span_s


def make_bill(lines: t.Sequence[LogLine]) -> Bill:
    """Sum up what the logs tell.

    :param lines: lines of all nodes, in order of time.
    :raises KeyError, TypeError, ValueError: when a line lacks a field or has one of
        another type.
    """
    evidence = collect_evidence(lines)
    bill = Bill()
    for line in lines:
        event = line.fields["event"]
        if event == "job ended":
            bill.jobs[str(line.fields["state"])] += 1
            late = _read_late(line)
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
    _bill_sizes(bill, lines)
    return bill


def render_bill(bill: Bill) -> str:
    """Render a bill for people.

    :param bill: the bill.
    """
    lines = ["jobs ended"]
    lines += [f"  {state:32s}{count:8d}" for state, count in sorted(bill.jobs.items())]
    lines.append("late, by cause and queue")
    lines += [
        f"  {cause:20s}{queue:12s}{count:8d}"
        for (cause, queue), count in bill.late.most_common()
    ]
    lines.append("not accepted, by reason")
    lines += [f"  {reason:32s}{count:8d}" for reason, count in bill.refused.items()]
    lines.append("VM seconds in pools")
    lines += [f"  {use:32s}{vm_s:8.0f}" for use, vm_s in sorted(bill.vm_s.items())]
    lines.append(f"moves of VMs{bill.moves:22d}")
    if bill.lost_lines:
        lines.append(f"not billed: {bill.lost_lines} lines that nodes dropped")
    return "\n".join(lines)


def describe_bill(bill: Bill) -> dict[str, t.Any]:
    """Give a bill as plain data for JSON.

    :param bill: the bill.
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
    """Print the bill of the logs that the command line names.

    :returns: 0, or 2 with one line of reason where the logs cannot be used.
    """
    try:
        lines = _read_logs(arguments.logs)
        bill = make_bill(lines)
    except OSError as error:
        print(f"{error.filename}: {error.strerror}", file=sys.stderr)
        return EXIT_USAGE
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        print(f"a line of the logs cannot be read: {error!r}", file=sys.stderr)
        return EXIT_USAGE
    if not lines:
        print("no line of a node in these logs", file=sys.stderr)
        return EXIT_USAGE
    if arguments.json:
        print(orjson.dumps(describe_bill(bill)).decode())
    else:
        print(render_bill(bill))
    return 0
