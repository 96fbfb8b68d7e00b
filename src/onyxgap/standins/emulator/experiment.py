"""Plays a script over many seeds and compares policies side by side."""

import argparse
import pathlib
import typing as t

import attrs
import orjson

from ..virtual import run_virtually
from .account import Account
from .day import DayResult
from .fault_draws import draw_faults
from .faults import play_day
from .hindsight import Plan
from .policies import POLICIES
from .script import Script
from .script import load_script

OWN_POLICY = "forecast"
HINDSIGHT = "hindsight"
"""Column of the plan that knew all jobs before; see :mod:`.hindsight`."""
EXIT_BROKEN = 1
COLUMNS = tuple(field.name for field in attrs.fields(Account))
PLAN_COLUMNS = tuple(field.name for field in attrs.fields(Plan))


def play_seeds(
    script: Script, seeds: t.Iterable[int], faults: int, policy: str
) -> dict[int, DayResult]:
    """Play a script with each seed.

    :param script: the day.
    :param seeds: the seeds.
    :param faults: random faults to add to each day.
    :param policy: name of the policy for the sizes of pools.
    """
    results = {}
    for seed in seeds:
        day = draw_faults(script, seed, faults) if faults else script
        results[seed] = run_virtually(play_day, day, seed, POLICIES[policy])
    return results


def sum_up(
    items: t.Sequence[Account | Plan], columns: t.Sequence[str]
) -> dict[str, float]:
    """Give the mean of each figure over all days.

    :param items: what came out, by day.
    :param columns: names of the figures.
    """
    count = max(1, len(items))
    return {
        name: round(sum(getattr(item, name) for item in items) / count, 1)
        for name in columns
    }


def _describe(policy: str, results: t.Mapping[int, DayResult]) -> dict[str, t.Any]:
    return {
        "policy": policy,
        "means": sum_up([item.account for item in results.values()], COLUMNS),
        "breaches": {
            seed: [attrs.asdict(breach) for breach in item.breaches]
            for seed, item in results.items()
            if item.breaches
        },
    }


def _describe_hindsight(results: t.Mapping[int, DayResult]) -> dict[str, t.Any]:
    plans = [item.hindsight for item in results.values()]
    means = sum_up(plans, PLAN_COLUMNS)
    return {"policy": HINDSIGHT, "means": means, "breaches": {}}


def render_table(described: t.Sequence[t.Mapping[str, t.Any]]) -> str:
    """Render the means of several policies as a table.

    :param described: what was played, by policy.
    """
    lines = ["mean a day".ljust(14) + "".join(f"{d['policy']:>14}" for d in described)]
    names = dict.fromkeys(name for item in described for name in item["means"])
    for name in names:
        values = (item["means"].get(name) for item in described)
        cells = ("-" if value is None else f"{value:g}" for value in values)
        lines.append(name.ljust(14) + "".join(cell.rjust(14) for cell in cells))
    broken = "".join(f"{len(d['breaches']):>14}" for d in described)
    lines.append("broken days".ljust(14) + broken)
    for item in described:
        for seed, breaches in item["breaches"].items():
            first = breaches[0]
            lines.append(
                f"{item['policy']} seed {seed}: {first['rule']} at {first['at']:.3f}:"
                f" {first['detail']} ({len(breaches)} in all)"
            )
    return "\n".join(lines)


def draw_plot(path: pathlib.Path, described: t.Sequence[t.Mapping[str, t.Any]]) -> None:
    """Draw what callers got beside what it took.

    :param path: where the picture goes.
    :param described: what was played, by policy.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = ("in_time", "late", "vm_s", "moves")
    figure, axes = pyplot.subplots(1, len(names), figsize=(3 * len(names), 3))
    for axis, name in zip(axes, names, strict=True):
        axis.bar(
            [item["policy"] for item in described],
            [item["means"][name] for item in described],
        )
        axis.set_title(name.replace("_", " "))
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def run_experiment(arguments: argparse.Namespace) -> int:
    """Play what the command line asks for and print it.

    :param arguments: of the ``experiment`` command.
    :returns: 1 when a rule was broken, else 0.
    """
    script = load_script(arguments.script)
    seeds = range(arguments.first_seed, arguments.first_seed + arguments.seeds)
    policies = [OWN_POLICY]
    if arguments.against and arguments.against != OWN_POLICY:
        policies.append(arguments.against)
    played = {
        policy: play_seeds(script, seeds, arguments.faults, policy)
        for policy in policies
    }
    described = [_describe(policy, results) for policy, results in played.items()]
    described.append(_describe_hindsight(played[OWN_POLICY]))
    if arguments.json:
        print(orjson.dumps(described, option=orjson.OPT_NON_STR_KEYS).decode())
    else:
        print(render_table(described))
    if arguments.plot:
        draw_plot(pathlib.Path(arguments.plot), described)
    return EXIT_BROKEN if described[0]["breaches"] else 0
