"""Demo: runs a complete deployment on loopback in one process and injects faults."""

import collections
import pathlib
import typing as t

import anyio
import anyio.abc
import attrs
import httpcore

from .clocks import SystemClocks
from .daemons.control import run_control
from .daemons.entry import run_entry
from .manifest import Manifest
from .operations import apply_manifest
from .operations import load_state
from .operations import summarize_pools
from .request.messages import REQUEST_ID_HEADER
from .request.messages import VERDICT_HEADER
from .settings import Address
from .settings import Settings
from .shared.records import VmState
from .shared.state import FleetState
from .standins.examples import load_example
from .standins.memory_platform import Faults
from .standins.memory_platform import MemoryPlatform
from .standins.platform_server import run_platform
from .standins.target_server import Worker
from .standins.target_server import run_target
from .verdict import Verdict

EXAMPLES = pathlib.Path(__file__).parent.parent.parent / "examples"
ENTRY_PROCESSES = 4
CONTROL_PROCESSES = 2
BOOT_S = 0.5
WORK_S = 0.02
SEND_INTERVAL_S = 0.05
CLOCK_ADVANCE_S = 36 * 86_400.0
"""Longer than the 35 days between maintenance of the examples: every VM becomes due."""
WAVE_TIMEOUT_S = 120.0
OUTAGE_S = 4.0
POLL_S = 0.2
START_TIMEOUT_S = 30.0


class AdjustableClocks(SystemClocks):
    """System clocks whose wall clock can be advanced, so that VMs become due."""

    def __init__(self) -> None:
        self.offset_s = 0.0

    def read_wall(self) -> float:
        """Read the wall clock with its offset."""
        return super().read_wall() + self.offset_s


@attrs.frozen
class CallResult:
    """Answer that one caller received; its verdict is empty if the connection broke."""

    request_id: str
    key: str
    status: int
    verdict: str
    body: bytes


@attrs.define
class Demo:
    """A deployment on loopback, its callers and what they observed.

    :param manifest: the example's manifest.
    :param group: task group of all processes and callers.
    :param results: answers that the callers received.
    :param broken: what broke a promise, by name of the promise.
    """

    manifest: Manifest
    group: anyio.abc.TaskGroup
    platform: MemoryPlatform
    platform_address: Address
    workers: dict[str, Worker]
    stop: anyio.Event = attrs.field(factory=anyio.Event)
    clocks: AdjustableClocks = attrs.field(factory=AdjustableClocks)
    entry_addresses: dict[str, Address] = attrs.field(factory=dict)
    stop_events: dict[str, anyio.Event] = attrs.field(factory=dict)
    cancel_scopes: dict[str, anyio.CancelScope] = attrs.field(factory=dict)
    results: list[CallResult] = attrs.field(factory=list)
    broken: dict[str, list[str]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    sent: int = 0

    # control and entry processes

    async def start_member(self, name: str, role: str) -> None:
        """Start a control process or an entry process on free ports.

        :param name: name of the member.
        :param role: ``control`` or ``entry``.
        """
        settings = Settings(
            member=name,
            zone=self.manifest.zones[0],
            platform=self.platform_address,
            lame_duck_s=0.5,
        )
        self.stop_events[name] = anyio.Event()
        address = await self.group.start(self._run_member, settings, role)
        if role == "entry":
            self.entry_addresses[name] = address

    async def _run_member(
        self,
        settings: Settings,
        role: str,
        *,
        task_status: anyio.abc.TaskStatus[t.Any],
    ) -> None:
        stop = self.stop_events[settings.member]
        with anyio.CancelScope() as scope:
            self.cancel_scopes[settings.member] = scope
            if role == "entry":
                await run_entry(settings, stop, task_status=task_status)
            else:
                await run_control(
                    settings, stop, clocks=self.clocks, task_status=task_status
                )

    def kill(self, name: str) -> None:
        """Cancel a member without a planned stop."""
        self.entry_addresses.pop(name, None)
        self.cancel_scopes[name].cancel()

    # callers

    async def send_load(self) -> None:
        """Send requests to all services in turn until cancelled."""
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                self.sent += 1
                self.group.start_soon(self._send_one, pool, self.sent)
                await anyio.sleep(SEND_INTERVAL_S)

    async def _send_one(self, pool: httpcore.AsyncConnectionPool, number: int) -> None:
        names = sorted(self.entry_addresses)
        address = self.entry_addresses[names[number % len(names)]]
        service = self.manifest.services[number % len(self.manifest.services)]
        job = service.jobs[number // len(self.manifest.services) % len(service.jobs)]
        key = "" if job.idempotent else f"{job.name}-{number}"
        headers = [("Idempotency-Key", key)] if key else []
        url = f"http://{address}/v1/{service.name}/{job.name}"
        body = f"lot {number}".encode()
        try:
            answer = await pool.request("POST", url, headers=headers, content=body)
        except (httpcore.NetworkError, httpcore.ProtocolError):
            self.results.append(CallResult("", key, 0, "", b""))
            return
        found = {
            name.decode().lower(): value.decode() for name, value in answer.headers
        }
        result = CallResult(
            found.get(REQUEST_ID_HEADER.lower(), ""),
            key,
            answer.status,
            found.get(VERDICT_HEADER.lower(), ""),
            answer.content,
        )
        self.results.append(result)
        if result.verdict == Verdict.RAN.value and not result.body.endswith(
            b": " + body
        ):
            self.broken["whole-answer"].append(result.request_id)

    # checks of the promises

    def watch_budget(self, pools: dict[str, str]) -> None:
        """Check the availability budget of the pool at each power action.

        :param pools: pool by VM.
        """
        limits = {pool.name: pool.max_out for pool in self.manifest.pools}

        def check_action(vm: str, before: t.Any, action_id: str) -> None:
            pool = pools[vm]
            out = sum(
                self.platform.vms[name].status.value != "live"
                for name, owner in pools.items()
                if owner == pool
            )
            if out > limits[pool]:
                self.broken["budget"].append(action_id)
            if self.workers[vm].running:
                self.broken["graceful"].append(action_id)

        self.platform.on_action = check_action

    def check_calls(self) -> None:
        """Compare the verdicts that callers received with what the workers ran."""
        ran: collections.Counter[str] = collections.Counter()
        for worker in self.workers.values():
            ran.update(worker.ran)
        for result in self.results:
            if result.key and ran[result.key] > 1:
                self.broken["at-most-once"].append(result.key)
            if (
                result.verdict == Verdict.NOT_RUN.value
                and ran[result.key or result.request_id]
            ):
                self.broken["not-run"].append(result.request_id)

    async def read_state(self) -> FleetState:
        """Read the replicated state."""
        return await load_state(self.platform)


async def wait_until(
    check: t.Callable[[], t.Awaitable[bool]], timeout_s: float
) -> bool:
    """Wait until a condition holds.

    :param check: returns whether it holds.
    :param timeout_s: time-out, in seconds.
    :returns: whether it held before the time-out.
    """
    with anyio.move_on_after(timeout_s):
        while not await check():
            await anyio.sleep(POLL_S)
        return True
    return False


def _print_line(text: str) -> None:
    print(text, flush=True)


async def run_demo(example: str) -> int:
    """Run the demo with one example.

    :param example: name of the example's folder.
    :returns: exit status: 0 when every promise was kept and the maintenance wave
        completed, else 1.
    """
    manifest, fleet = load_example(EXAMPLES / example)
    async with anyio.create_task_group() as group:
        workers = {name: Worker(name, work_s=WORK_S) for name in fleet}
        stop = anyio.Event()
        for name, worker in workers.items():
            address = await group.start(run_target, worker, Address(), stop)
            fleet[name] = attrs.evolve(fleet[name], address=str(address))
        started = await group.start(_run_platform, fleet, stop)
        demo = Demo(manifest, group, started[1], started[0], workers, stop)
        promises_kept = await _run_scenario(demo)
        group.cancel_scope.cancel()
    return 0 if promises_kept else 1


async def _run_platform(
    fleet: t.Any, stop: anyio.Event, *, task_status: anyio.abc.TaskStatus[t.Any]
) -> None:
    await run_platform(Address(), fleet, stop, boot_s=BOOT_S, task_status=task_status)


async def _run_scenario(demo: Demo) -> bool:
    for number in range(1, ENTRY_PROCESSES + 1):
        await demo.start_member(f"entry-{number}", "entry")
    for number in range(1, CONTROL_PROCESSES + 1):
        await demo.start_member(f"control-{number}", "control")
    version = await apply_manifest(demo.platform, demo.manifest, "demo")
    _print_line(f"{demo.manifest.deployment}: version {version} accepted")
    if not await wait_until(lambda: _is_reconciled(demo), START_TIMEOUT_S):
        _print_line("the pools did not reach their declared sizes in time")
        return False
    state = await demo.read_state()
    _print_line(f"{len(state.vms)} VMs in service in {len(demo.manifest.pools)} pools")
    demo.watch_budget({name: record.pool for name, record in state.vms.items()})
    demo.group.start_soon(demo.send_load)
    wave_completed = await _inject_faults(demo)
    demo.check_calls()
    return _print_promises(demo, wave_completed)


async def _is_reconciled(demo: Demo) -> bool:
    pools = summarize_pools(await demo.read_state())
    return bool(pools) and all(pool.serving == pool.wanted for pool in pools)


async def _inject_faults(demo: Demo) -> bool:
    await anyio.sleep(1)
    _print_line("the wall clock advances by 36 days: every VM is due for maintenance")
    demo.clocks.offset_s = CLOCK_ADVANCE_S
    await anyio.sleep(4)
    _print_line("control-1 and entry-2 are killed")
    demo.kill("control-1")
    demo.kill("entry-2")
    await anyio.sleep(4)
    _print_line(f"the platform is unavailable for {OUTAGE_S:.0f} s")
    demo.platform.faults = Faults(down=True)
    await anyio.sleep(OUTAGE_S)
    demo.platform.faults = Faults()
    _print_line("the platform is available again; planned stop of entry-3")
    demo.entry_addresses.pop("entry-3")
    demo.stop_events["entry-3"].set()
    wave_completed = await wait_until(lambda: _is_maintained(demo), WAVE_TIMEOUT_S)
    _print_line(
        "the maintenance wave completed"
        if wave_completed
        else "the maintenance wave did not complete in time"
    )
    return wave_completed


async def _is_maintained(demo: Demo) -> bool:
    state = await demo.read_state()
    limit = demo.clocks.read_wall() - CLOCK_ADVANCE_S / 2
    return all(
        record.maintained_at > limit and record.state is VmState.SERVING
        for record in state.vms.values()
    )


_PROMISES = {
    "budget": "no pool exceeded its availability budget during the maintenance wave",
    "whole-answer": "every answer was complete and belonged to its request",
    "not-run": "no request with the verdict not-run had run",
    "at-most-once": "no request with an idempotency key ran twice",
    "graceful": "no VM was restarted while it ran a request",
}


def _print_promises(demo: Demo, wave_completed: bool) -> bool:
    verdicts = collections.Counter(
        result.verdict or "connection broken" for result in demo.results
    )
    counts = ", ".join(f"{count} {name}" for name, count in sorted(verdicts.items()))
    _print_line(f"{len(demo.results)} requests: {counts}")
    for promise, text in _PROMISES.items():
        broken = demo.broken.get(promise, [])
        _print_line(
            f"  {'BROKEN' if broken else 'kept':7}{promise:14}{text} {broken[:3] or ''}"
        )
    return wave_completed and not any(demo.broken.values())
