"""The demo: a whole deployment on loopback in one process, under faults."""

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
ENTRIES = 4
CONTROLS = 2
BOOT_S = 0.5
WORK_S = 0.02
SEND_EVERY_S = 0.05
CYCLE_S = 36 * 86_400.0
WAVE_LIMIT_S = 120.0
OUTAGE_S = 4.0
POLL_S = 0.2
SETTLE_LIMIT_S = 30.0


class LeapingClocks(SystemClocks):
    """System clocks whose wall clock can be moved on, to make VMs due."""

    def __init__(self) -> None:
        self.leap_s = 0.0

    def read_wall(self) -> float:
        """Read the moved wall clock."""
        return super().read_wall() + self.leap_s


@attrs.frozen
class Told:
    """What one caller was told; an empty verdict is a broken connection."""

    request_id: str
    key: str
    status: int
    verdict: str
    body: bytes


@attrs.define
class Demo:
    """A deployment on loopback.

    :param manifest: the example's manifest.
    :param group: runs everything.
    """

    manifest: Manifest
    group: anyio.abc.TaskGroup
    platform: MemoryPlatform
    platform_at: Address
    workers: dict[str, Worker]
    stop: anyio.Event = attrs.field(factory=anyio.Event)
    clocks: LeapingClocks = attrs.field(factory=LeapingClocks)
    entries: dict[str, Address] = attrs.field(factory=dict)
    stops: dict[str, anyio.Event] = attrs.field(factory=dict)
    scopes: dict[str, anyio.CancelScope] = attrs.field(factory=dict)
    told: list[Told] = attrs.field(factory=list)
    broken: dict[str, list[str]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    sent: int = 0

    # members

    async def start_member(self, name: str, role: str) -> None:
        """Start an entry or control on free ports."""
        settings = Settings(
            member=name,
            zone=self.manifest.zones[0],
            platform=self.platform_at,
            lame_duck_s=0.5,
        )
        self.stops[name] = anyio.Event()
        address = await self.group.start(self._run_member, settings, role)
        if role == "entry":
            self.entries[name] = address

    async def _run_member(
        self,
        settings: Settings,
        role: str,
        *,
        task_status: anyio.abc.TaskStatus[t.Any],
    ) -> None:
        stop = self.stops[settings.member]
        with anyio.CancelScope() as scope:
            self.scopes[settings.member] = scope
            if role == "entry":
                await run_entry(settings, stop, task_status=task_status)
            else:
                await run_control(
                    settings, stop, clocks=self.clocks, task_status=task_status
                )

    def kill(self, name: str) -> None:
        """End a member at once."""
        self.entries.pop(name, None)
        self.scopes[name].cancel()

    # callers

    async def send_load(self) -> None:
        """Send a browse and a sale in turn until cancelled."""
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                self.sent += 1
                self.group.start_soon(self._send_one, pool, self.sent)
                await anyio.sleep(SEND_EVERY_S)

    async def _send_one(self, pool: httpcore.AsyncConnectionPool, number: int) -> None:
        names = sorted(self.entries)
        address = self.entries[names[number % len(names)]]
        service = self.manifest.services[number % len(self.manifest.services)]
        job = service.jobs[number // len(self.manifest.services) % len(service.jobs)]
        key = "" if job.idempotent else f"{job.name}-{number}"
        headers = [("Idempotency-Key", key)] if key else []
        url = f"http://{address}/v1/{service.name}/{job.name}"
        body = f"lot {number}".encode()
        try:
            answer = await pool.request("POST", url, headers=headers, content=body)
        except (httpcore.NetworkError, httpcore.ProtocolError):
            self.told.append(Told("", key, 0, "", b""))
            return
        found = {
            name.decode().lower(): value.decode() for name, value in answer.headers
        }
        told = Told(
            found.get(REQUEST_ID_HEADER.lower(), ""),
            key,
            answer.status,
            found.get(VERDICT_HEADER.lower(), ""),
            answer.content,
        )
        self.told.append(told)
        if told.verdict == Verdict.RAN.value and not told.body.endswith(b": " + body):
            self.broken["whole-answer"].append(told.request_id)

    # what really happened

    def watch_budget(self, pools: dict[str, str]) -> None:
        """Count the VMs that are down at each power action.

        :param pools: pool by VM.
        """
        limits = {pool.name: pool.max_out for pool in self.manifest.pools}

        def watch(vm: str, before: t.Any, action_id: str) -> None:
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

        self.platform.on_action = watch

    def check_calls(self) -> None:
        """Compare what callers were told with what the workers ran."""
        ran: collections.Counter[str] = collections.Counter()
        for worker in self.workers.values():
            ran.update(worker.ran)
        for told in self.told:
            if told.key and ran[told.key] > 1:
                self.broken["at-most-once"].append(told.key)
            if (
                told.verdict == Verdict.NOT_RUN.value
                and ran[told.key or told.request_id]
            ):
                self.broken["not-run"].append(told.request_id)

    async def read_state(self) -> FleetState:
        """Read the agreed state."""
        return await load_state(self.platform)


async def wait_until(check: t.Callable[[], t.Awaitable[bool]], limit_s: float) -> bool:
    """Wait until something holds.

    :param check: tells whether it holds.
    :param limit_s: longest wait, in seconds.
    """
    with anyio.move_on_after(limit_s):
        while not await check():
            await anyio.sleep(POLL_S)
        return True
    return False


def _say(text: str) -> None:
    print(text, flush=True)


async def run_demo(example: str) -> int:
    """Run the demo of one example.

    :param example: name of the example's folder.
    :returns: 0 when every promise was kept, else 1.
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
        kept = await _play(demo)
        group.cancel_scope.cancel()
    return 0 if kept else 1


async def _run_platform(
    fleet: t.Any, stop: anyio.Event, *, task_status: anyio.abc.TaskStatus[t.Any]
) -> None:
    await run_platform(Address(), fleet, stop, boot_s=BOOT_S, task_status=task_status)


async def _play(demo: Demo) -> bool:
    for number in range(1, ENTRIES + 1):
        await demo.start_member(f"entry-{number}", "entry")
    for number in range(1, CONTROLS + 1):
        await demo.start_member(f"control-{number}", "control")
    version = await apply_manifest(demo.platform, demo.manifest, "demo")
    _say(f"{demo.manifest.deployment}: version {version} accepted")
    if not await wait_until(lambda: _is_in_line(demo), SETTLE_LIMIT_S):
        _say("the fleet did not come into line")
        return False
    state = await demo.read_state()
    _say(f"{len(state.vms)} VMs serve in {len(demo.manifest.pools)} pools")
    demo.watch_budget({name: record.pool for name, record in state.vms.items()})
    demo.group.start_soon(demo.send_load)
    waved = await _play_faults(demo)
    demo.check_calls()
    return _print_promises(demo, waved)


async def _is_in_line(demo: Demo) -> bool:
    pools = summarize_pools(await demo.read_state())
    return bool(pools) and all(pool.serving == pool.wanted for pool in pools)


async def _play_faults(demo: Demo) -> bool:
    await anyio.sleep(1)
    _say("36 days pass: every VM is due for maintenance")
    demo.clocks.leap_s = CYCLE_S
    await anyio.sleep(4)
    _say("control-1 and entry-2 are killed")
    demo.kill("control-1")
    demo.kill("entry-2")
    await anyio.sleep(4)
    _say(f"the platform is out for {OUTAGE_S:.0f} s")
    demo.platform.faults = Faults(down=True)
    await anyio.sleep(OUTAGE_S)
    demo.platform.faults = Faults()
    _say("the platform is back; entry-3 is stopped as planned")
    demo.entries.pop("entry-3")
    demo.stops["entry-3"].set()
    waved = await wait_until(lambda: _is_maintained(demo), WAVE_LIMIT_S)
    _say("the wave is over" if waved else "the wave did not end")
    return waved


async def _is_maintained(demo: Demo) -> bool:
    state = await demo.read_state()
    limit = demo.clocks.read_wall() - CYCLE_S / 2
    return all(
        record.maintained_at > limit and record.state is VmState.SERVING
        for record in state.vms.values()
    )


_PROMISES = {
    "budget": "every pool's availability budget held through the wave",
    "whole-answer": "every answer was whole and the caller's own",
    "not-run": "what was said not to have run did not run",
    "at-most-once": "no sale ran twice",
    "graceful": "no VM was restarted with a request in flight",
}


def _print_promises(demo: Demo, waved: bool) -> bool:
    verdicts = collections.Counter(told.verdict or "cut off" for told in demo.told)
    counts = ", ".join(f"{count} {name}" for name, count in sorted(verdicts.items()))
    _say(f"{len(demo.told)} requests answered: {counts}")
    for promise, text in _PROMISES.items():
        broken = demo.broken.get(promise, [])
        _say(
            f"  {'BROKEN' if broken else 'kept':7}{promise:14}{text} {broken[:3] or ''}"
        )
    return waved and not any(demo.broken.values())
