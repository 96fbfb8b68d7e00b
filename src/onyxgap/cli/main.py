"""The ``onyxgap`` command: arguments, dispatch and exit codes."""

import argparse
import importlib
import os
import sys
import typing as t

import anyio

from ..exceptions import ConflictError
from ..exceptions import DocumentError
from ..exceptions import OnyxgapError
from ..exceptions import PlatformUnavailableError
from ..logs import LEVELS
from ..platform.settings import SETTINGS_PATH_VARIABLE
from ..settings import parse_address

EXIT_NOT_IN_LINE = 1
EXIT_BAD_INPUT = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4

EPILOG = """\
exit codes:
  0  done
  1  the fleet or the promise is not as wanted
  2  bad input; every fault is on a line with its JSON path
  3  another version is in force
  4  the platform gave no answer

examples:
  onyxgap check examples/pampa-lance/manifest.json
  onyxgap apply examples/pampa-lance/manifest.json --platform 127.0.0.1:7000 --wait
  onyxgap explain lance-vm-017 --platform 127.0.0.1:7000
"""


def build_parser() -> argparse.ArgumentParser:
    """Build the parser of the whole command line."""
    parser = argparse.ArgumentParser(
        prog="onyxgap",
        description="Fleet capacity and maintenance manager.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands_parser = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_processes(commands_parser)
    _add_operations(commands_parser)
    return parser


def _load_later(module: str, name: str) -> t.Callable[..., t.Awaitable[int]]:
    """Import a command's module only when it runs: a node must start quickly."""

    async def run(arguments: argparse.Namespace) -> int:
        loaded = importlib.import_module(f".{module}", __package__)
        return t.cast(int, await getattr(loaded, name)(arguments))

    return run


def _add_command(
    group: t.Any, name: str, help_text: str, run: t.Callable[..., t.Any]
) -> argparse.ArgumentParser:
    parser = t.cast(argparse.ArgumentParser, group.add_parser(name, help=help_text))
    parser.set_defaults(run=run)
    return parser


def _add_processes(group: t.Any) -> None:
    for name, run in (
        ("entry", _load_later("processes", "run_entry_process")),
        ("control", _load_later("processes", "run_control_process")),
    ):
        parser = _add_command(group, name, f"run an {name} process", run)
        parser.add_argument("--settings", required=True, metavar="FILE")
    node = _add_command(
        group,
        "node",
        "run a node on the users' platform",
        _load_later("nodes", "run_platform_node"),
    )
    node.add_argument(
        "--settings",
        default=os.environ.get(SETTINGS_PATH_VARIABLE),
        metavar="FILE",
        help=f"the platform's settings file, "
        f"by default that of ${SETTINGS_PATH_VARIABLE}",
    )
    node.add_argument(
        "--metrics-port",
        type=int,
        default=0,
        metavar="PORT",
        help="serve /metrics on this port, too",
    )
    node.add_argument("--log-level", choices=sorted(LEVELS), default="info")
    experiment = _add_command(
        group,
        "experiment",
        "play days of the emulated platform in virtual time",
        _load_later("nodes", "run_experiment_process"),
    )
    experiment.add_argument("script", help="a file of the day language")
    experiment.add_argument("--seeds", type=int, default=5, metavar="N")
    experiment.add_argument("--first-seed", type=int, default=1, metavar="N")
    experiment.add_argument(
        "--faults", type=int, default=0, metavar="N", help="random faults a day"
    )
    experiment.add_argument(
        "--against", choices=("fixed", "reactive"), help="play this, too"
    )
    experiment.add_argument("--json", action="store_true", help="for machines")
    experiment.add_argument("--plot", metavar="FILE", help="write a picture")
    stand_in = group.add_parser("stand-in", help="run a stand-in on loopback")
    kinds = stand_in.add_subparsers(required=True, metavar="KIND")
    platform = _add_command(
        kinds,
        "platform",
        "the platform's service",
        _load_later("processes", "run_platform_process"),
    )
    platform.add_argument("--listen", type=parse_address, default="127.0.0.1:7000")
    platform.add_argument("--fleet", required=True, metavar="FILE")
    platform.add_argument("--boot-s", type=float, default=5.0)
    target = _add_command(
        kinds,
        "target",
        "workers of a fleet file",
        _load_later("processes", "run_target_process"),
    )
    target.add_argument("--fleet", required=True, metavar="FILE")
    target.add_argument("--vm", action="append", help="only these VMs")
    target.add_argument("--slots", type=int, default=8)
    target.add_argument("--work-ms", type=float, default=20.0)
    demo = _add_command(
        group,
        "demo",
        "run a whole deployment under faults",
        _load_later("processes", "run_demo_process"),
    )
    demo.add_argument("--example", default="pampa-lance")
    demo.add_argument("--verbose", action="store_true", help="show the logs")


def _add_operations(group: t.Any) -> None:
    check = _add_command(
        group, "check", "check a manifest offline", _load_later("commands", "run_check")
    )
    check.add_argument("manifest")
    check.add_argument("--json", action="store_true")
    apply = _add_command(
        group, "apply", "have a manifest accepted", _load_later("commands", "run_apply")
    )
    apply.add_argument("manifest")
    apply.add_argument("--if-version", type=int, metavar="N")
    apply.add_argument("--author", default="operator")
    apply.add_argument("--wait", action="store_true", help="until it is in force")
    apply.add_argument("--timeout-s", type=float, default=30.0)
    _add_platform(apply)
    for name, help_text, run in (
        ("status", "what is in force where", _load_later("commands", "run_status")),
        (
            "report",
            "what cannot be brought in line, and why",
            _load_later("commands", "run_report"),
        ),
        ("audit", "who changed what", _load_later("commands", "run_audit")),
    ):
        _add_platform(_add_command(group, name, help_text, run))
    explain = _add_command(
        group, "explain", "the life of a VM, task or pool", _run_explain
    )
    explain.add_argument("subject")
    explain.add_argument(
        "--logs",
        nargs="+",
        metavar="FILE",
        help="read logs of nodes instead: the life of a job, task, worker or shard",
    )
    _add_platform(explain)
    bill = _add_command(
        group,
        "bill",
        "which jobs were late and why, and where VM seconds went",
        _load_later("bill", "run_bill"),
    )
    bill.add_argument("logs", nargs="+", metavar="LOG", help="logs of nodes")
    bill.add_argument("--json", action="store_true", help="print JSON")


async def _run_explain(arguments: argparse.Namespace) -> int:
    module, name = ("tracing", "run_trace") if arguments.logs else _EXPLAIN
    return await _load_later(module, name)(arguments)


_EXPLAIN = ("commands", "run_explain")


def _add_platform(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--platform", type=parse_address, default="127.0.0.1:7000", metavar="HOST:PORT"
    )
    parser.add_argument("--json", action="store_true", help="for machines")


def main(argv: t.Sequence[str] | None = None) -> int:
    """Run the command line.

    :param argv: arguments without the program's name.
    :returns: the exit code.
    """
    arguments = build_parser().parse_args(argv)
    try:
        return t.cast(int, anyio.run(arguments.run, arguments))
    except DocumentError as error:
        for fault in error.faults:
            print(fault, file=sys.stderr)
        return EXIT_BAD_INPUT
    except ConflictError as error:
        print(f"conflict: {error}", file=sys.stderr)
        return EXIT_CONFLICT
    except PlatformUnavailableError as error:
        print(f"platform unavailable: {error}", file=sys.stderr)
        return EXIT_UNAVAILABLE
    except OnyxgapError as error:
        print(error, file=sys.stderr)
        return EXIT_NOT_IN_LINE


if __name__ == "__main__":
    sys.exit(main())
