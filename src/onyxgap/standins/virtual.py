"""Runs async code in virtual time, the same way every time."""

import typing as t

import anyio
import trio
import trio.testing

SCHEDULER_SEED = 20_261_202


def run_virtually(run: t.Callable[..., t.Awaitable[t.Any]], *args: t.Any) -> t.Any:
    """Run an async function in virtual time.

    Trio shuffles the tasks that are due at one moment; its generator is
    seeded here, or no two runs would be alike.

    :param run: the async function.
    :param args: its arguments.
    """
    scheduler: t.Any = trio._core._run
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(SCHEDULER_SEED)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return anyio.run(run, *args, backend="trio", backend_options={"clock": clock})
