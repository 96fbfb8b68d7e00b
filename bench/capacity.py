"""Measures the slopes from which docs/CAPACITY.md is worked out.

Each figure is measured at three sizes or more on generated fleets; the slope
is the least-squares line through them. CPU is process time on one core.
"""

import argparse
import gc
import json
import pathlib
import random
import time
import tracemalloc
import typing as t

import anyio

from onyxgap.adapters.platform_client import CONVERTER
from onyxgap.adapters.slot_link import NodeSlotLink
from onyxgap.fleet.messages import PassInput
from onyxgap.fleet.observation import Observer
from onyxgap.fleet.pipe import PoolSelector
from onyxgap.fleet.pipe import list_owned
from onyxgap.fleet.pipe import plan_pass
from onyxgap.manifest import Job
from onyxgap.manifest import Manifest
from onyxgap.manifest import Pool
from onyxgap.manifest import Priority
from onyxgap.manifest import Service
from onyxgap.manifest import Task
from onyxgap.manifest import Team
from onyxgap.manifest import split_manifest
from onyxgap.ports import ListedVm
from onyxgap.ports import Put
from onyxgap.ports import VmList
from onyxgap.ports import VmStatus
from onyxgap.request.allocation import SlotBroker
from onyxgap.request.claims import BatchWriter
from onyxgap.request.link import SlotRequestMessage
from onyxgap.request.messages import Outcome
from onyxgap.request.queue import SlotRequest
from onyxgap.request.scheduling import SlotScheduler
from onyxgap.request.targets import TargetSet
from onyxgap.shared import events as ev
from onyxgap.shared.events import Entry
from onyxgap.shared.events import encode_entry
from onyxgap.shared.snapshots import decode_snapshot
from onyxgap.shared.snapshots import encode_snapshot
from onyxgap.shared.state import FleetState
from onyxgap.standins.memory_platform import MemoryPlatform
from onyxgap.standins.virtual import run_virtually
from onyxgap.wire.frames import decode_frame
from onyxgap.wire.frames import encode_frame
from onyxgap.wire.peer import ttypes

OUTPUT = pathlib.Path(__file__).parent.parent / "build" / "capacity.json"
FULL_WORKERS = 19_000
FULL_POOLS = 362
FULL_TEAMS = 970
WORKER_SIZES = (1_000, 5_000, 10_000, 19_000)
CONTROLS = tuple(f"control-{number}" for number in range(1, 10))
ZONES = tuple(f"zone-{number}" for number in range(1, 10))
REPEATS = 5


def build_manifest(workers: int) -> Manifest:
    """Build a manifest whose parts shrink with the number of workers.

    :param workers: number of workers.
    """
    pools_count = max(1, FULL_POOLS * workers // FULL_WORKERS)
    teams_count = max(1, FULL_TEAMS * workers // FULL_WORKERS)
    teams = [
        Team(f"team-{n}", {f"service-{n % pools_count}": 40}, 2000)
        for n in range(teams_count)
    ]
    pools, services, tasks = [], [], []
    for number in range(pools_count):
        size = workers // pools_count + (number < workers % pools_count)
        zones = dict.fromkeys(ZONES, size // len(ZONES))
        for zone in ZONES[: size % len(ZONES)]:
            zones[zone] += 1
        team = f"team-{number % teams_count}"
        pools.append(Pool(f"pool-{number}", zones, max(1, size // 10)))
        jobs = [
            Job("urgent", Priority.URGENT, False, team),
            Job("normal", Priority.NORMAL, True, team),
        ]
        services.append(Service(f"service-{number}", f"pool-{number}", jobs))
        tasks.append(Task(f"task-{number}", f"pool-{number}", Priority.BULK, count=4))
    return Manifest(1, "size", list(ZONES), pools, services, tasks, teams)


def build_state(workers: int) -> FleetState:
    """Build the agreed state of a fleet by applying entries.

    :param workers: number of workers.
    """
    manifest = build_manifest(workers)
    state = FleetState()
    accepted = ev.ManifestAccepted(1, split_manifest(manifest))
    state.apply(Entry(1, "bench", 0.0, "apply", "t", (accepted,)))
    number = 0
    for sequence, pool in enumerate(manifest.pools, start=2):
        joins: list[ev.Event] = []
        for zone, count in pool.zones.items():
            for _ in range(count):
                number += 1
                joins.append(build_join(number, pool.name, zone))
        state.apply(Entry(sequence, "bench", 0.0, "join", "t", tuple(joins)))
    return state


def build_join(number: int, pool: str, zone: str) -> ev.VmJoined:
    """Build the event by which a generated VM joins."""
    address = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8080"
    return ev.VmJoined(
        f"vm-{number:05d}", pool, zone, f"{zone}-r{number % 97}", address, 1
    )


def build_list(state: FleetState) -> VmList:
    """Build the platform's list of a state's VMs."""
    vms = tuple(
        ListedVm(v.name, VmStatus.LIVE, v.zone, v.rack, v.address)
        for v in state.vms.values()
    )
    return VmList(0.0, vms)


def time_cpu(run: t.Callable[[], object], repeats: int = REPEATS) -> float:
    """Measure the CPU seconds of one run, the best of several.

    :param run: what to measure.
    :param repeats: how often.
    """
    best = float("inf")
    for _ in range(repeats):
        started = time.process_time()
        run()
        best = min(best, time.process_time() - started)
    return best


def fit_line(points: t.Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Fit a least-squares line; returns slope and intercept.

    :param points: x and y of each point.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return slope, mean_y - slope * mean_x


def measure_fleet(workers: int) -> dict[str, float]:
    """Measure what grows with the fleet.

    :param workers: number of workers.
    """
    gc.collect()
    tracemalloc.start()
    state = build_state(workers)
    gc.collect()
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    snapshot = encode_snapshot(state)
    pass_input = look(state)
    pools = [pool.name for pool in state.manifest.pools] if state.manifest else []
    selector = PoolSelector()
    manifest_s = time_cpu(lambda: split_manifest(build_manifest(workers)), 1)
    return {
        "state_mb": memory / 1e6,
        "snapshot_kb": len(snapshot) / 1e3,
        "snapshot_load_s": time_cpu(lambda: decode_snapshot(snapshot), 2),
        "full_pass_s": time_cpu(lambda: plan_pass(pools, pass_input, {}), 3),
        "steady_pass_ms": 1e3 * time_cpu(lambda: selector.choose(pools, pass_input)),
        "own_pools_ms": 1e3
        * time_cpu(lambda: list_owned(state, "control-1", CONTROLS)),
        "one_pool_ms": 1e3 * time_cpu(lambda: plan_pass(pools[:1], pass_input, {})),
        "observe_ms": 1e3 * time_cpu(lambda: observe(state)),
        "observe_same_ms": 1e3 * measure_same_list(state),
        "list_mb": measure_list(state),
        "fold_event_us": 1e6 * measure_fold(state),
        "refresh_ms": 1e3 * measure_refresh(state),
        "manifest_s": manifest_s,
    }


def look(state: FleetState) -> PassInput:
    """Build the input of a pass in which every VM is live."""
    return PassInput(state, observe(state).observe(0.0), 1.0, state.sequence, {})


def observe(state: FleetState) -> Observer:
    """Take in one list of the platform."""
    observer = Observer()
    observer.record_list(build_list(state), state.vms.keys(), 0.0)
    return observer


def measure_same_list(state: FleetState) -> float:
    """Measure taking in a list that has not changed, in seconds."""
    observer = observe(state)
    vms = observer._vms or ()
    now = iter(range(1, 1000))
    return time_cpu(
        lambda: observer.record_list(
            VmList(0.0, vms), state.vms.keys(), float(next(now))
        )
    )


def measure_list(state: FleetState) -> float:
    """Measure the memory of the platform's list, in MB."""
    tracemalloc.start()
    kept = CONVERTER.structure(CONVERTER.unstructure(build_list(state)), VmList)
    gc.collect()
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return memory / 1e6 if kept.vms else 0.0


def measure_fold(state: FleetState) -> float:
    """Measure the time to apply one event, in seconds."""
    names = list(state.vms)[:500]
    entries = []
    for index, name in enumerate(names):
        record = state.vms[name]
        events = (
            ev.VmFailed(name, "bench"),
            ev.VmReturned(name, record.boots, record.address),
        )
        entries.append(Entry(state.sequence + index, "b", 0.0, "w", "t", events))
    started = time.process_time()
    for entry in entries:
        state.apply(entry)
    return (time.process_time() - started) / (2 * len(names))


def measure_refresh(state: FleetState) -> float:
    """Measure what one journal entry costs an entry that owns 40 services."""
    broker = SlotBroker("entry-1", t.cast(t.Any, None), random.Random(1))
    broker.refresh(state, 0.0)
    for number in range(min(40, len(state.pool_vms))):
        broker._find_scheduler(f"service-{number}")
    return time_cpu(lambda: broker.refresh(state, 0.0))


def measure_scheduler(targets: int, teams: int) -> float:
    """Measure the CPU of one ask with its release, in microseconds.

    :param targets: targets of the service.
    :param teams: teams that take turns.
    """
    chosen = TargetSet(random.Random(1))
    chosen.replace((f"vm-{n}", ZONES[n % 9], "rack", 8) for n in range(targets))
    quotas = {f"team-{n}": 1000 for n in range(teams)}
    scheduler = SlotScheduler(chosen, quotas)
    count = 2_000
    in_use = 0.7 * targets * 8
    started = time.process_time()
    for number in range(count):
        ask = SlotRequest("entry-1", number, number % 3, 1e9, f"team-{number % teams}")
        scheduler.submit(ask, 0.0)
        if number >= in_use:
            old = number - int(in_use)
            scheduler.release("entry-1", old, Outcome.SERVED, 0.05, 0.0)
    return 1e6 * (time.process_time() - started) / count


class _CountingLink:
    """Counts the bytes of the frames that a slot needs."""

    def __init__(self) -> None:
        self.name = "entry-1"
        self.bytes = 0
        self.peers = self

    def find_address(self, name: str) -> str:
        """Any address will do."""
        return name

    def send(self, address: str, frame: ttypes.Frame) -> None:
        """Count a frame."""
        self.bytes += len(encode_frame(frame))


def measure_messages() -> dict[str, float]:
    """Measure the messages between processes."""
    counting = _CountingLink()
    link = NodeSlotLink(t.cast(t.Any, counting))
    message = SlotRequestMessage(123_456, "service-123", 0, 3.8, "team-1", ())
    link.send_request("entry-2", message)
    link.send_release("entry-2", 123_456, Outcome.SERVED, 0.05)
    frame = ttypes.Frame(
        sender="entry-2", grants=[ttypes.SlotGrant(ask=123_456, vm="vm-01234")]
    )
    beat = ttypes.Frame(
        sender="entry-2",
        heartbeat=ttypes.Heartbeat(sequence=123_456, fresh=True, stopping=False),
    )
    body = encode_frame(frame)[4:]
    return {
        "slot_bytes": float(counting.bytes + len(body) + 4),
        "heartbeat_bytes": float(len(encode_frame(beat))),
        "codec_us": 1e6 * time_cpu(lambda: _repeat_codec(frame), 3) / 1000,
    }


def _repeat_codec(frame: ttypes.Frame) -> None:
    for _ in range(1000):
        decode_frame(encode_frame(frame)[4:])


def measure_changes() -> dict[str, float]:
    """Measure one change of configuration and one VM event."""
    state = build_state(FULL_WORKERS)
    chunk = {"pools/pool-7": {**state.chunks["pools/pool-7"], "max_out": 2}}
    change = Entry(
        1, "pipeline", 0.0, "apply", "t" * 32, (ev.ManifestAccepted(2, chunk),)
    )
    move = Entry(
        1,
        "control-1",
        0.0,
        "bring in line: pool-7",
        "t" * 32,
        (ev.VmDraining("vm-00007", ev.Purpose.MAINTENANCE),),
    )
    state.version = 1

    def fold_change() -> None:
        state.version = 1
        state.apply(change)

    return {
        "change_bytes": float(len(json.dumps(encode_entry(change)))),
        "vm_entry_bytes": float(len(json.dumps(encode_entry(move)))),
        "change_fold_us": 1e6 * time_cpu(fold_change),
        "change_manifest_ms": 1e3 * time_cpu(lambda: (fold_change(), state.manifest)),
    }


def measure_claims(rate: float) -> float:
    """Measure the table's writes a second for a rate of claims.

    :param rate: claims a second at one entry.
    """

    async def run() -> float:
        platform = MemoryPlatform()
        platform.faults.delay_s = 0.005
        writer = BatchWriter(platform)
        rng = random.Random(1)
        async with anyio.create_task_group() as group:
            group.start_soon(writer.run)
            started = anyio.current_time()
            number = 0
            while anyio.current_time() - started < 10:
                number += 1
                group.start_soon(writer.write, Put(f"claim/{number}", {}, 0))
                await anyio.sleep(rng.expovariate(rate))
            group.cancel_scope.cancel()
        return writer.writes / 10

    return t.cast(float, run_virtually(run))


def main() -> None:
    """Measure everything, print it and write it down."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    fleet = {size: measure_fleet(size) for size in WORKER_SIZES}
    slopes = {}
    print(f"{'':18}" + "".join(f"{size:>12}" for size in WORKER_SIZES) + "   per 1,000")
    for name in next(iter(fleet.values())):
        points = [(float(size), row[name]) for size, row in fleet.items()]
        slope, base = fit_line(points)
        slopes[name] = {"per_worker": slope, "base": base}
        cells = "".join(f"{value:12.3f}" for _, value in points)
        print(f"{name:18}{cells}{1000 * slope:12.4f}")
    scheduler = {
        f"{targets} targets, {teams} teams": measure_scheduler(targets, teams)
        for targets, teams in ((8, 4), (52, 4), (200, 4), (52, 100), (52, 970))
    }
    claims = {rate: measure_claims(rate) for rate in (10, 50, 200, 800)}
    rest = {**measure_messages(), **measure_changes()}
    for title, part in (("ask and release, us", scheduler), ("claim writes/s", claims)):
        print(f"\n{title}")
        for key, value in part.items():
            print(f"  {key}: {value:.1f}")
    print()
    for key, value in rest.items():
        print(f"{key}: {value:.1f}")
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(
        json.dumps(
            {
                "fleet": fleet,
                "slopes": slopes,
                "scheduler_us": scheduler,
                "claim_writes_s": claims,
                "rest": rest,
            },
            indent=1,
        )
    )


if __name__ == "__main__":
    main()
