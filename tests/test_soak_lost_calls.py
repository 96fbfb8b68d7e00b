"""Calls that a node leaves without a whole answer when it is asked to stop."""

import pathlib
import signal
import sys
import types
import typing as t

import anyio
import anyio.abc
import pytest

from bench.soak.processes import PausedGate
from bench.soak.processes import ProcessSlot
from bench.soak.processes import RunningNode
from onyxgap.jobs.routing import Route
from onyxgap.standins.emulator.callers import build_policy
from onyxgap.standins.emulator.script import Script

NODE = """
import signal, socket, sys, time
from threading import Event
asked = Event()
signal.signal(signal.SIGTERM, lambda *_: asked.set())
listener = socket.create_server(("127.0.0.1", int(sys.argv[1])))
print("listens", flush=True)
connection, _ = listener.accept()
connection.recv(65536)
ANSWER
asked.wait()
time.sleep(0.5)
"""
"""A process that takes one call, and some time after SIGTERM ends with it."""
WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{"waiting": 1}'
HALF = b"HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{'waitin"
ROUTE = Route("localhost", "/ring/", build_policy("ring"))


async def start_slot(answer: str) -> tuple[ProcessSlot, anyio.abc.Process]:
    """Start a process in a slot.

    :param answer: what the process does with the call.
    """
    day: t.Any = types.SimpleNamespace(script=Script("day"))
    slot = ProcessSlot("node-0", day, folder=pathlib.Path())
    port = slot._ports + 1
    program = NODE.replace("ANSWER", answer)
    process = await anyio.open_process(
        [sys.executable, "-c", program, str(port)], stderr=None
    )
    assert process.stdout is not None
    await process.stdout.receive()
    t.cast(PausedGate, slot.gate).process = process
    slot.node = t.cast(t.Any, RunningNode(slot))
    slot._open_pool()
    return slot, process


async def stop_during_call(
    answer: str, number: signal.Signals, sent_s: float = 0.3
) -> list[str]:
    """Stop a process during a call; return the calls that count as lost.

    :param answer: what the process does with the call.
    :param number: signal that ends it.
    :param sent_s: time from the start of the call to that signal.
    """
    slot, process = await start_slot(answer)
    async with anyio.create_task_group() as group:
        group.start_soon(slot.count_waiting, ROUTE, "")
        await anyio.sleep(sent_s)
        if number is signal.SIGTERM:
            await slot.stop()
        else:
            slot.kill()
        await process.wait()
    return [call.what for call in slot.lost_calls.list_lost()]


async def call_before_and_after_stop() -> list[t.Any]:
    """Call a process that takes one connection before and after SIGTERM."""
    answer = f"connection.sendall({WHOLE!r})"
    again = f"asked.wait(); connection.recv(65536); {answer}"
    slot, process = await start_slot(f"{answer}; {again}")
    counts = [await slot.count_waiting(ROUTE, "")]
    async with anyio.create_task_group() as group:
        group.start_soon(slot.stop)
        await anyio.sleep(0.1)
        counts.append(await slot.count_waiting(ROUTE, ""))
        process.kill()
        await process.wait()
    return counts


@pytest.mark.parametrize("answer", ["pass", f"connection.sendall({HALF!r})"])
def test_call_without_a_whole_answer_at_a_planned_stop_is_lost(answer: str) -> None:
    assert anyio.run(stop_during_call, answer, signal.SIGTERM) == ["GET /ring/"]


def test_call_without_an_answer_at_a_kill_is_not_lost() -> None:
    assert anyio.run(stop_during_call, "pass", signal.SIGKILL) == []


def test_call_that_breaks_soon_after_it_was_sent_is_not_lost() -> None:
    answer = "asked.wait(); connection.close()"
    assert anyio.run(stop_during_call, answer, signal.SIGTERM, 0.05) == []


def test_callers_keep_their_connections_to_a_process_that_was_asked_to_stop() -> None:
    assert anyio.run(call_before_and_after_stop) == [1, 1]
