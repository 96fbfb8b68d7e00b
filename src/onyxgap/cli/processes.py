"""Commands that run entry and control processes, stand-ins and the demo."""

import argparse
import pathlib
import signal
import typing as t

import anyio

from ..daemons.control import run_control
from ..daemons.entry import run_entry
from ..logs import configure_logs
from ..settings import load_settings
from ..settings import parse_address
from ..standins.platform_server import load_fleet
from ..standins.platform_server import run_platform
from ..standins.target_server import Worker
from ..standins.target_server import run_target


async def _run_until_signal(run: t.Callable[[anyio.Event], t.Awaitable[None]]) -> int:
    stop = anyio.Event()
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as group:

            async def set_stop_on_signal() -> None:
                async for _ in signals:
                    stop.set()

            group.start_soon(set_stop_on_signal)
            await run(stop)
            group.cancel_scope.cancel()
    return 0


async def run_entry_process(arguments: argparse.Namespace) -> int:
    """Run an entry process until SIGTERM or SIGINT.

    :param arguments: parsed arguments.
    :returns: the exit code.
    """
    settings = load_settings(arguments.settings)
    configure_logs(settings.log_level, member=settings.member)
    return await _run_until_signal(lambda stop: run_entry(settings, stop))


async def run_control_process(arguments: argparse.Namespace) -> int:
    """Run a control process until SIGTERM or SIGINT.

    :param arguments: parsed arguments.
    :returns: the exit code.
    """
    settings = load_settings(arguments.settings)
    configure_logs(settings.log_level, member=settings.member)
    return await _run_until_signal(lambda stop: run_control(settings, stop))


async def run_platform_process(arguments: argparse.Namespace) -> int:
    """Run the in-memory platform behind its HTTP interface.

    :param arguments: parsed arguments.
    :returns: the exit code.
    """
    configure_logs("info", member="platform")
    fleet = load_fleet(pathlib.Path(arguments.fleet).read_bytes())
    listen = arguments.listen
    if isinstance(listen, str):
        listen = parse_address(listen)
    return await _run_until_signal(
        lambda stop: run_platform(listen, fleet, stop, boot_s=arguments.boot_s)
    )


async def run_target_process(arguments: argparse.Namespace) -> int:
    """Run a stand-in target for each selected VM of the fleet file.

    :param arguments: parsed arguments.
    :returns: the exit code.
    """
    configure_logs("info", member="target")
    fleet = load_fleet(pathlib.Path(arguments.fleet).read_bytes())
    names = arguments.vm or list(fleet)

    async def run(stop: anyio.Event) -> None:
        async with anyio.create_task_group() as group:
            for name in names:
                worker = Worker(name, arguments.slots, arguments.work_ms / 1000)
                address = parse_address(fleet[name].address)
                group.start_soon(run_target, worker, address, stop)

    return await _run_until_signal(run)


async def run_demo_process(arguments: argparse.Namespace) -> int:
    """Run the demo.

    :param arguments: parsed arguments.
    :returns: the exit code.
    """
    from ..demo import run_demo  # not needed by other commands

    configure_logs("info" if arguments.verbose else "error", member="demo")
    return await run_demo(arguments.example)
