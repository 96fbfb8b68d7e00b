"""Commands of a node on the users' platform, and of experiments with it."""

import argparse

import anyio.to_thread

from ..exceptions import DocumentError
from ..exceptions import Fault
from ..logs import configure_bounded_logs
from ..logs import configure_logs
from ..platform.settings import SETTINGS_PATH_VARIABLE


async def run_platform_node(arguments: argparse.Namespace) -> int:
    """Run a node on the users' platform."""
    from ..daemons.node_process import run_node_process  # experiments need none

    if not arguments.settings:
        raise DocumentError(
            [Fault("--settings", f"or {SETTINGS_PATH_VARIABLE} is required")]
        )
    lines = configure_bounded_logs(arguments.log_level)
    port = arguments.metrics_port
    return await run_node_process(arguments.settings, lines, port)


async def run_experiment_process(arguments: argparse.Namespace) -> int:
    """Play days of the emulated platform in virtual time."""
    # the virtual clock needs libraries of the development extra
    from ..standins.emulator.experiment import run_experiment

    configure_logs("error", member="experiment")
    return await anyio.to_thread.run_sync(run_experiment, arguments)
