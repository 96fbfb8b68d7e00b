"""Plays soaks with one seed after the other and prints what they broke."""

import argparse
import json
import logging
import pathlib
import signal
import sys
import tempfile

import structlog

from onyxgap.standins.emulator.fault_draws import draw_faults
from onyxgap.standins.emulator.fault_draws import draw_interface_faults
from onyxgap.standins.emulator.fault_draws import draw_rack_faults
from onyxgap.standins.emulator.fault_draws import draw_reboots
from onyxgap.standins.emulator.fault_draws import draw_renames
from onyxgap.standins.emulator.fault_draws import draw_worker_deaths
from onyxgap.standins.emulator.script import load_script

from .connection_faults import draw_connection_faults
from .cores import choose_core_share
from .day import play_soak

DAY = pathlib.Path(__file__).parent / "soak.day"


def main() -> int:
    """Play the soaks; the exit code tells whether any rule was broken."""
    parser = argparse.ArgumentParser(prog="python -m bench.soak", description=__doc__)
    parser.add_argument("--seeds", type=int, default=5, help="how many")
    parser.add_argument("--seed", type=int, default=1, help="the first")
    parser.add_argument("--faults", type=int, default=3, help="random faults of a day")
    parser.add_argument(
        "--connection-faults",
        type=int,
        default=2,
        help="random faults of connections of a day, drawn apart",
    )
    parser.add_argument(
        "--deaths",
        type=int,
        default=0,
        help="deaths of workers that the list of VMs does not tell of, drawn apart",
    )
    parser.add_argument(
        "--interface-faults",
        type=int,
        default=0,
        help="faults of the platform's interface for VMs, drawn apart",
    )
    parser.add_argument(
        "--rack-faults", type=int, default=0, help="faults of racks, drawn apart"
    )
    parser.add_argument(
        "--reboots",
        type=int,
        default=0,
        help="reboots of workers that leave start orders unanswered, drawn apart",
    )
    parser.add_argument(
        "--renames",
        type=int,
        default=0,
        help="versions that give queues other names, drawn apart",
    )
    parser.add_argument(
        "--node-cores",
        type=int,
        default=0,
        help="cores for the nodes, the others for the platform; 0: all share all",
    )
    parser.add_argument(
        "--busy", type=int, default=0, help="busy processes on the cores of the nodes"
    )
    parser.add_argument("--day", type=pathlib.Path, default=DAY, help="day file")
    parser.add_argument("--keep", type=pathlib.Path, help="folder for logs")
    parser.add_argument("--json", action="store_true", help="one JSON object a seed")
    arguments = parser.parse_args()
    logging.disable(logging.CRITICAL)
    # ended early, a soak ends its processes all the same
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    cores = choose_core_share(arguments.node_cores, arguments.busy)
    red = late = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        day = load_script(arguments.day)
        script = draw_faults(day, seed, arguments.faults, include_scripted=True)
        script = draw_connection_faults(script, seed, arguments.connection_faults)
        script = draw_worker_deaths(script, seed, arguments.deaths)
        script = draw_interface_faults(script, seed, arguments.interface_faults)
        script = draw_rack_faults(script, seed, arguments.rack_faults)
        script = draw_reboots(script, seed, arguments.reboots)
        script = draw_renames(script, seed, arguments.renames)
        with tempfile.TemporaryDirectory(prefix="soak-") as scratch:
            folder = pathlib.Path(scratch)
            if arguments.keep:
                folder = arguments.keep / str(seed)
                folder.mkdir(parents=True, exist_ok=True)
            result = play_soak(script, seed, folder, cores=cores)
        red += bool(result.breaches)
        late += result.platform.is_excessive()
        faults = [f"{item.at:.1f} {item.verb} {item.target}" for item in script.faults]
        found = {
            "seed": seed,
            "accepted": result.account.accepted,
            "in_time": result.account.in_time,
            "lowest_share_in_time": round(result.account.lowest_share, 3),
            "platform_lag_s": round(result.platform.highest_lag_s, 3),
            "platform_late_s": round(result.platform.late_s, 3),
            "platform_was_late": result.platform.is_excessive(),
            "platform_cpu_share": round(result.platform.cpu_share, 3),
            "platform_wait_s": round(result.platform.wait_s, 3),
            "node_lag_s": round(result.node_lag_s, 3),
            "nodes_started_s": round(result.nodes_started_s, 3),
            "slowest_steps_s": result.slowest_steps,
            "faults": faults,
            "breaches": [f"{item.rule}: {item.detail}" for item in result.breaches],
        }
        print(json.dumps(found) if arguments.json else found, flush=True)
    summary = f"{red} with broken rules, {late} with a late platform"
    print(f"{arguments.seeds} seeds, {summary}", file=sys.stderr)
    return 1 if red else 0


if __name__ == "__main__":
    sys.exit(main())
