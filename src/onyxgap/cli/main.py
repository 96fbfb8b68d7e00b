"""Parses the arguments of the ``onyxgap`` command, runs it and sets the exit code."""

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

EXIT_FAILURE = 1
EXIT_BAD_INPUT = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4

EPILOG = """\
exit codes:
  0  success
  1  failure, nothing found, fleet not reconciled, or rule broken in an experiment
  2  invalid input; each problem is printed on its own line with its JSON path
  3  another manifest version is current
  4  the platform did not answer

examples:
  onyxgap check examples/pampa-lance/manifest.json
  onyxgap apply examples/pampa-lance/manifest.json --platform 127.0.0.1:7000 --wait
  onyxgap explain lance-vm-017 --platform 127.0.0.1:7000
"""


def build_parser() -> argparse.ArgumentParser:
    """Build the argument parser with all commands."""
    parser = argparse.ArgumentParser(
        prog="onyxgap",
        description="Fleet capacity and maintenance manager.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    subparsers = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_process_commands(subparsers)
    _add_operator_commands(subparsers)
    return parser


def _import_lazily(module: str, name: str) -> t.Callable[..., t.Awaitable[int]]:
    """Return a coroutine function that imports a command's module only when it runs.

    This keeps the start of a node quick.
    """

    async def run(arguments: argparse.Namespace) -> int:
        command_module = importlib.import_module(f".{module}", __package__)
        return t.cast(int, await getattr(command_module, name)(arguments))

    return run


def _add_command(
    group: t.Any, name: str, help_text: str, run: t.Callable[..., t.Any]
) -> argparse.ArgumentParser:
    parser = t.cast(argparse.ArgumentParser, group.add_parser(name, help=help_text))
    parser.set_defaults(run=run)
    return parser


def _add_process_commands(group: t.Any) -> None:
    for name, run in (
        ("entry", _import_lazily("processes", "run_entry_process")),
        ("control", _import_lazily("processes", "run_control_process")),
    ):
        parser = _add_command(group, name, f"run one {name} process", run)
        parser.add_argument("--settings", required=True, metavar="FILE")
    node = _add_command(
        group,
        "node",
        "run a node on the users' platform",
        _import_lazily("nodes", "run_platform_node"),
    )
    node.add_argument(
        "--settings",
        default=os.environ.get(SETTINGS_PATH_VARIABLE),
        metavar="FILE",
        help=f"settings file of the platform (default: ${SETTINGS_PATH_VARIABLE})",
    )
    node.add_argument(
        "--metrics-port",
        type=int,
        default=0,
        metavar="PORT",
        help="also serve /metrics on this port",
    )
    node.add_argument("--log-level", choices=sorted(LEVELS), default="info")
    experiment = _add_command(
        group,
        "experiment",
        "run a script on the emulated platform in virtual time",
        _import_lazily("nodes", "run_experiment_process"),
    )
    experiment.add_argument("script", help="script of an emulated day")
    experiment.add_argument("--seeds", type=int, default=5, metavar="N")
    experiment.add_argument("--first-seed", type=int, default=1, metavar="N")
    experiment.add_argument(
        "--faults",
        type=int,
        default=0,
        metavar="N",
        help="number of random faults to add to each run",
    )
    experiment.add_argument(
        "--against",
        choices=("fixed", "reactive"),
        help="also run this policy, for comparison",
    )
    experiment.add_argument("--json", action="store_true", help="print JSON")
    experiment.add_argument("--plot", metavar="FILE", help="write a plot to this file")
    stand_in = group.add_parser(
        "stand-in", help="run a stand-in for an external system on loopback"
    )
    kinds = stand_in.add_subparsers(required=True, metavar="KIND")
    platform = _add_command(
        kinds,
        "platform",
        "in-memory platform",
        _import_lazily("processes", "run_platform_process"),
    )
    platform.add_argument("--listen", type=parse_address, default="127.0.0.1:7000")
    platform.add_argument("--fleet", required=True, metavar="FILE")
    platform.add_argument("--boot-s", type=float, default=5.0)
    target = _add_command(
        kinds,
        "target",
        "targets for the VMs of a fleet file",
        _import_lazily("processes", "run_target_process"),
    )
    target.add_argument("--fleet", required=True, metavar="FILE")
    target.add_argument(
        "--vm", action="append", help="run only the targets of these VMs"
    )
    target.add_argument("--slots", type=int, default=8)
    target.add_argument("--work-ms", type=float, default=20.0)
    demo = _add_command(
        group,
        "demo",
        "run a complete deployment in one process and inject faults",
        _import_lazily("processes", "run_demo_process"),
    )
    demo.add_argument("--example", default="pampa-lance")
    demo.add_argument("--verbose", action="store_true", help="print the log lines")


def _add_operator_commands(group: t.Any) -> None:
    check = _add_command(
        group,
        "check",
        "check a manifest offline",
        _import_lazily("commands", "run_check"),
    )
    check.add_argument("manifest")
    check.add_argument("--json", action="store_true")
    apply = _add_command(
        group, "apply", "apply a manifest", _import_lazily("commands", "run_apply")
    )
    apply.add_argument("manifest")
    apply.add_argument("--if-version", type=int, metavar="N")
    apply.add_argument("--author", default="operator")
    apply.add_argument(
        "--wait",
        action="store_true",
        help="wait until all entry processes have applied it",
    )
    apply.add_argument("--timeout-s", type=float, default=30.0)
    _add_platform_options(apply)
    for name, help_text, run in (
        (
            "status",
            "show the current version, pools and processes",
            _import_lazily("commands", "run_status"),
        ),
        (
            "report",
            "show what cannot be reconciled, and why",
            _import_lazily("commands", "run_report"),
        ),
        (
            "audit",
            "list all changes with their authors",
            _import_lazily("commands", "run_audit"),
        ),
    ):
        _add_platform_options(_add_command(group, name, help_text, run))
    explain = _add_command(
        group,
        "explain",
        "show the history of a VM, task, attempt or pool",
        _run_explain,
    )
    explain.add_argument("subject")
    explain.add_argument(
        "--logs",
        nargs="+",
        metavar="FILE",
        help="read these logs of nodes instead; the subject is a job, task, worker, VM"
        " or shard",
    )
    explain.add_argument(
        "--queue",
        default="",
        help="with --logs: the queue of the job, if jobs of several have its id",
    )
    _add_platform_options(explain)
    bill = _add_command(
        group,
        "bill",
        "report late jobs with their causes, and use of VM seconds",
        _import_lazily("bill", "run_bill"),
    )
    bill.add_argument("logs", nargs="+", metavar="LOG", help="log file of a node")
    bill.add_argument("--json", action="store_true", help="print JSON")


async def _run_explain(arguments: argparse.Namespace) -> int:
    module, name = ("tracing", "run_trace") if arguments.logs else _EXPLAIN_COMMAND
    return await _import_lazily(module, name)(arguments)


_EXPLAIN_COMMAND = ("commands", "run_explain")


def _add_platform_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--platform", type=parse_address, default="127.0.0.1:7000", metavar="HOST:PORT"
    )
    parser.add_argument("--json", action="store_true", help="print JSON")


def main(argv: t.Sequence[str] | None = None) -> int:
    """Run the command line.

    :param argv: arguments without the program name; those of the process if ``None``.
    :returns: the exit code; the help text lists them.
    """
    arguments = build_parser().parse_args(argv)
    try:
        return t.cast(int, anyio.run(arguments.run, arguments))
    except DocumentError as error:
        for fault in error.faults:
            print(fault, file=sys.stderr)
        return EXIT_BAD_INPUT
    except ConflictError as error:
        print(f"version conflict: {error}", file=sys.stderr)
        return EXIT_CONFLICT
    except PlatformUnavailableError as error:
        print(f"platform unavailable: {error}", file=sys.stderr)
        return EXIT_UNAVAILABLE
    except OnyxgapError as error:
        print(error, file=sys.stderr)
        return EXIT_FAILURE


if __name__ == "__main__":
    sys.exit(main())
