"""Commands that run a node, and experiments on the emulated platform."""

import argparse
import gc

import anyio.to_thread

from ..exceptions import DocumentError
from ..exceptions import Fault
from ..logs import configure_bounded_logs
from ..logs import configure_logs
from ..platform.settings import SETTINGS_PATH_VARIABLE


async def run_platform_node(arguments: argparse.Namespace) -> int:
    """Run a node on the users' platform.

    :param arguments: parsed arguments.
    :returns: the exit code.
    :raises DocumentError: if no settings file is given or it is invalid.
    """
    # what is imported stays as long as the process: it is not searched for garbage
    gc.disable()
    from ..daemons.node_process import run_node_process  # not needed by experiments

    gc.freeze()
    gc.enable()
    if not arguments.settings:
        raise DocumentError(
            [Fault("--settings", f"or {SETTINGS_PATH_VARIABLE} is required")]
        )
    bounded_lines = configure_bounded_logs(arguments.log_level)
    metrics_port = arguments.metrics_port
    return await run_node_process(arguments.settings, bounded_lines, metrics_port)


async def run_experiment_process(arguments: argparse.Namespace) -> int:
    """Run a script on the emulated platform in virtual time.

    :param arguments: parsed arguments.
    :returns: 1 if a rule was broken under the default policy, else 0.
    """
    # Imported here: the virtual clock needs libraries of the development extra.
    from ..standins.emulator.experiment import run_experiment

    configure_logs("error", member="experiment")
    return await anyio.to_thread.run_sync(run_experiment, arguments)
