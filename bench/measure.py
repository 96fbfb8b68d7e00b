"""Measures ours beside the naive version on both deployments.

Everything runs in virtual time on seeded generators, so that the same seed
writes the same file, byte for byte.
"""

import argparse
import concurrent.futures
import json
import pathlib
import random
import typing as t

import attrs
import structlog

from onyxgap import defaults
from onyxgap.manifest import Priority
from onyxgap.shared import events as ev
from onyxgap.shared.events import decode_entry
from onyxgap.standins.deployment import CallRecord
from onyxgap.standins.deployment import Deployment
from onyxgap.standins.examples import load_example
from onyxgap.standins.scenario import parse_scenario
from onyxgap.standins.stage import Stage
from onyxgap.standins.virtual import run_virtually
from onyxgap.verdict import Verdict

from .naive import NAIVE_BUILDERS
from .naive import RESERVED_PER_ENTRY
from .naive import apply_naively
from .plots import draw_plots

ROOT = pathlib.Path(__file__).parent.parent
OUTPUT = ROOT / "build" / "measure.json"
WORKERS = 6
RECOVERY_LIMIT_S = 3.0
URGENT_MEAN_S = 0.1
NORMAL_MEAN_S = 0.4
BULK_MEAN_S = 3.0
MEANS_S = {
    Priority.URGENT: URGENT_MEAN_S,
    Priority.NORMAL: NORMAL_MEAN_S,
    Priority.BULK: BULK_MEAN_S,
}


@attrs.frozen
class Example:
    """Names that the scripts need of one example."""

    folder: str
    entries: int
    service: str
    urgent: str
    normal: str
    sale: str
    zone: str


EXAMPLES = {
    "pampa-lance": Example(
        "pampa-lance",
        9,
        "ring-scale",
        "live-bidding/show-lot",
        "ring-scale/class-animal",
        "ring-scale/record-weight",
        "sur-c",
    ),
    "leltar-pont": Example(
        "leltar-pont",
        8,
        "check-in",
        "disputes/assemble-evidence",
        "check-in/upload-photo",
        "check-in/sign-report",
        "kozep-3",
    ),
}

CALM = """
send {urgent} every 40ms from 0s to {end}s
send {normal} every 50ms from 0s to {end}s
send {sale} every 100ms from 0s to {end}s keyed
"""
DOUBLE = """
send {normal} every 3.5ms from 0s to {end}s
send {sale} every 16ms from 0s to {end}s keyed
"""
SCRIPTS: dict[str, tuple[float, str]] = {
    "calm": (20, CALM),
    "twice-the-load": (12, DOUBLE),
    "maintenance-wave": (90, CALM + "at 2s age 2\n"),
    "zone-lost": (30, CALM + "at 5s zone-lost {zone}\n"),
    "entry-frozen": (20, CALM + "at 5s freeze entry-2\nat 15s thaw entry-2\n"),
    "frozen-and-zone-lost": (
        20,
        CALM + "at 5s freeze entry-2\nat 5s zone-lost {zone}\n",
    ),
    "half-fail": (
        20,
        CALM + "".join(f"at 2s target {{vm{n}}} truncates\n" for n in (1, 2, 3, 4)),
    ),
    "platform-out": (
        640,
        "send {urgent} every 400ms from 0s to 630s\n"
        "send {sale} every 900ms from 0s to 630s keyed\n"
        "at 5s store down\nat 605s store up\n",
    ),
    "cancellation-wave": (20, CALM + "at 6s cancel-tasks\n"),
    "sizes-off": (20, CALM + "at 0s misjudge 10\n"),
    "faulty-workers": (
        30,
        CALM
        + "at 0s spoil {vm1}\nat 2s target {vm1} fails\nat 2s target {vm2} truncates\n",
    ),
    "racing-operators": (
        30,
        CALM + "at 4s race {service} {zone} 3\nat 12s resize {service} {zone} 2\n",
    ),
}


def build_script(script: str, example: Example) -> str:
    """Build the scenario text of one script.

    :param script: name of the script.
    :param example: the example.
    """
    end, body = SCRIPTS[script]
    text = body.format(
        urgent=example.urgent,
        normal=example.normal,
        sale=example.sale,
        zone=example.zone,
        service=example.service,
        **{f"vm{n}": f"{example.service}-nth-{n}" for n in range(1, 5)},
        end=end - 4,
    )
    return (
        f'scenario "{script}"\npromise none\n'
        f"deployment {example.folder} entries {example.entries} controls 3\n"
        f"{text}end {end}s\n"
    )


def _pick_percentile(delays: list[float], share: float) -> float:
    if not delays:
        return 0.0
    return round(1000 * delays[min(len(delays) - 1, int(share * len(delays)))], 1)


def _count_moves(stage: Stage, naive: bool, settled: int) -> int:
    deployment = stage.deployment
    if naive:
        total = sum(getattr(r.parts, "moves", 0) for r in deployment.running.values())
        # the first joins of 40 VMs are counted by every naive control
        return total - settled
    moves = 0
    for key in deployment.platform.list_keys("journal/"):
        row = deployment.platform.peek(key)
        entry = decode_entry(row.value)
        if entry is None or entry.sequence <= settled:
            continue
        moves += sum(_is_move(event) for event in entry.events)
    return moves


def _is_move(event: ev.Event) -> bool:
    if isinstance(event, ev.VmDraining):
        return event.purpose is not ev.Purpose.MAINTENANCE
    if isinstance(event, ev.TaskStopping):
        return event.reason != "no longer wanted"
    if isinstance(event, ev.TaskEnded):
        return event.outcome == "lost"
    return isinstance(event, ev.VmJoined)


def _measure_buffer(stage: Stage, naive: bool, entries: int) -> float:
    if naive:
        share = 64 // entries
        reserve = RESERVED_PER_ENTRY / share
    else:
        reserve = -(-64 * defaults.URGENT_RESERVE_SHARE // 1) / 64
    free = 1 - len(stage.pool_of) / len(stage.deployment.platform.vms)
    return round(reserve + free, 4)


def draw_work(service: str, job: str, rng: random.Random) -> float:
    """Draw a run time by the job's priority."""
    return rng.expovariate(1 / MEANS_S[_PRIORITIES[service, job]])


_PRIORITIES: dict[tuple[str, str], Priority] = {}


def run_one(example: str, script: str, naive: bool, seed: int) -> dict[str, t.Any]:
    """Run one script on one deployment and sum it up.

    :param example: name of the example.
    :param script: name of the script.
    :param naive: whether the naive version runs.
    :param seed: seed.
    """
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    setup = EXAMPLES[example]
    manifest, fleet = load_example(ROOT / "examples" / setup.folder)
    for service in manifest.services:
        for job in service.jobs:
            _PRIORITIES[service.name, job.name] = job.priority
    deployment = Deployment(manifest, fleet, draw_work, seed)
    if naive:
        deployment.builders = NAIVE_BUILDERS
        deployment.apply_with = apply_naively
    stage = Stage(parse_scenario(build_script(script, setup)), deployment)
    marks: dict[str, int] = {}
    stage.on_settled = lambda: marks.update(_read_marks(deployment, naive))
    breaches = run_virtually(stage.play)
    return _sum_up(stage, breaches, naive, marks, setup)


def _read_marks(deployment: Deployment, naive: bool) -> dict[str, int]:
    platform = deployment.platform
    if naive:
        settled = sum(getattr(r.parts, "moves", 0) for r in deployment.running.values())
    else:
        settled = max(r.parts.node.state.sequence for r in deployment.running.values())
    return {"settled": settled, "reads": platform.reads, "writes": platform.writes}


def _is_urgent(call: CallRecord) -> bool:
    key = call.request.service, call.request.job
    return _PRIORITIES[key] is Priority.URGENT


def _sum_up(
    stage: Stage,
    breaches: t.Sequence[t.Any],
    naive: bool,
    marks: t.Mapping[str, int],
    setup: Example,
) -> dict[str, t.Any]:
    calls = [call for call in stage.deployment.calls if call.answer is not None]
    ran = [call for call in calls if call.answer.verdict is Verdict.RAN]
    # what hangs in a paused entry waits for it, whatever the others do
    frozen = {a.words[0] for a in stage.scenario.actions if a.verb == "freeze"}
    delays = sorted(
        call.ended_at - call.sent_at
        for call in ran
        if _is_urgent(call) and call.entry not in frozen
    )
    fault_at = max((action.at_s for action in stage.scenario.actions), default=0.0)
    fault_at = min(fault_at, 5.0)
    recovered = sorted(
        call.ended_at - call.sent_at
        for call in ran
        if _is_urgent(call)
        and call.entry not in frozen
        and call.sent_at > stage.started_at + fault_at + RECOVERY_LIMIT_S
    )
    urgent = [call for call in calls if _is_urgent(call)]
    refused = [c for c in urgent if c.answer.verdict is Verdict.NOT_RUN]
    platform = stage.deployment.platform
    end_s = stage.scenario.end_s
    later = [after for version, after in stage.in_force.items() if version > 1]
    return {
        "urgent_p50_ms": _pick_percentile(delays, 0.5),
        "urgent_p99_ms": _pick_percentile(delays, 0.99),
        "recovered_p99_ms": _pick_percentile(recovered, 0.99),
        "refused_share": round((len(calls) - len(ran)) / max(1, len(calls)), 4),
        "urgent_refused_share": round(len(refused) / max(1, len(urgent)), 4),
        "retry_share": round(_count_retries(stage, naive) / max(1, len(calls)), 4),
        "slots_used": _measure_use(stage, setup),
        "buffer_share": _measure_buffer(stage, naive, setup.entries),
        "roll_out_s": round(max(later), 2) if later else None,
        "moves": _count_moves(stage, naive, marks["settled"]),
        "broken_promises": sorted({breach.promise for breach in breaches}),
        "store_writes_s": round((platform.writes - marks["writes"]) / end_s, 2),
        "store_reads_s": round((platform.reads - marks["reads"]) / end_s, 2),
        "calls": len(calls),
    }


def _count_retries(stage: Stage, naive: bool) -> int:
    if naive:
        # each call is sent once; what is sent beyond that is a retry
        return max(0, stage.deployment.targets.sent - len(stage.deployment.calls))
    running = stage.deployment.running.values()
    return sum(r.parts.pipeline.retries for r in running if r.role == "entry")


def _measure_use(stage: Stage, setup: Example) -> float:
    """Share of the loaded service's slots in use in the loaded middle."""
    loads = [load for load in stage.scenario.loads if load.service == setup.service]
    start = stage.started_at + 2
    end = stage.started_at + min(load.end_s for load in loads) if loads else start
    if end <= start:
        return 0.0
    busy = sum(
        max(0.0, min(run.ended_at or end, end) - max(run.started_at, start))
        for run in stage.deployment.targets.executions
        if run.service == setup.service
    )
    return round(busy / (end - start) / 64, 3)


def run_all(seed: int, scripts: t.Sequence[str]) -> dict[str, t.Any]:
    """Run every script, several at once.

    :param seed: seed.
    :param scripts: names of the scripts.
    """
    keys = [
        (example, script, naive)
        for example in EXAMPLES
        for script in scripts
        for naive in (True, False)
    ]
    results: dict[str, t.Any] = {}
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        futures = {key: pool.submit(run_one, *key, seed) for key in keys}
        for (example, script, naive), future in futures.items():
            name = "naive" if naive else "onyxgap"
            place = results.setdefault(example, {}).setdefault(script, {})
            place[name] = future.result()
    return results


COLUMNS = (
    "urgent_p50_ms",
    "urgent_p99_ms",
    "recovered_p99_ms",
    "refused_share",
    "retry_share",
    "slots_used",
    "buffer_share",
    "roll_out_s",
    "moves",
    "store_writes_s",
    "store_reads_s",
    "broken_promises",
)


def print_results(results: t.Mapping[str, t.Any]) -> None:
    """Print a table.

    :param results: what :func:`run_all` returned.
    """
    heading = "".join(name.removesuffix("_share").rjust(17) for name in COLUMNS[:-1])
    for example, scripts in results.items():
        print(f"\n{example}\n{'':34}{heading}  broken promises")
        for script, versions in scripts.items():
            for name, row in versions.items():
                cells = [row[column] for column in COLUMNS[:-1]]
                broken = ",".join(row["broken_promises"]) or "none"
                line = "".join(str(cell).rjust(17) for cell in cells)
                print(f"{script:22}{name:>12}{line}  {broken}")


def main() -> None:
    """Measure, print and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--script", action="append", choices=list(SCRIPTS))
    arguments = parser.parse_args()
    results = run_all(arguments.seed, arguments.script or list(SCRIPTS))
    print_results(results)
    if not arguments.script:
        OUTPUT.parent.mkdir(exist_ok=True)
        OUTPUT.write_text(json.dumps(results, indent=1, sort_keys=True) + "\n")
        draw_plots(results, OUTPUT.parent)


if __name__ == "__main__":
    main()
