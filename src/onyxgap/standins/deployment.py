"""A deployment of real entries and controls over stand-ins, in one event loop.

It drives the same code as the daemons, apart from sockets, and keeps what
really happened beside what callers were told.
"""

import contextlib
import random
import typing as t

import anyio
import anyio.abc
import attrs

from ..daemons.control import ControlProcess
from ..daemons.entry import EntryProcess
from ..manifest import Manifest
from ..operations import apply_manifest
from ..ports import ListedVm
from ..request.messages import Answer
from ..request.messages import CallerRequest
from ..request.messages import Exchange
from ..request.messages import IdentifiedRequest
from ..request.messages import Outcome
from ..request.messages import Reason
from ..shared.membership import CONTROL_ROLE
from ..shared.membership import ENTRY_ROLE
from ..shared.membership import MemberRow
from ..verdict import Verdict
from .gate import KilledError
from .gate import PlatformGate
from .memory_platform import MemoryPlatform
from .memory_targets import MemoryTargets
from .memory_targets import WorkTime
from .network import MemoryNetwork

WALL_START_S = 1_800_000_000.0
STOP_GRACE_S = 30.0
LAME_DUCK_S = 1.0
BALANCER_LAG_S = 2.0
"""How long the balancer sends on to an entry that no longer answers."""


class VirtualClocks:
    """Clocks of the event loop; the wall clock starts at a fixed time."""

    def read_monotonic(self) -> float:
        """Read monotonic seconds of the event loop."""
        return anyio.current_time()

    def read_wall(self) -> float:
        """Read the wall clock that goes with it."""
        return WALL_START_S + anyio.current_time()

    def read_boot(self) -> float:
        """Read the virtual clock, which is never suspended."""
        return anyio.current_time()


def _always(address: str) -> bool:
    return True


@attrs.frozen
class GatedClient:
    """A target client that waits while its member is frozen.

    :param recheck: what the member would look at after a pause, just before
        it sends.
    """

    gate: PlatformGate
    targets: MemoryTargets
    recheck: t.Callable[[str], bool] = _always

    async def exchange(
        self, request: IdentifiedRequest, address: str, timeout_s: float
    ) -> Exchange:
        """Carry out one attempt."""
        if self.gate.frozen:
            await self.gate.pass_freeze()
            if not self.recheck(address):
                return Exchange(
                    Verdict.NOT_RUN, Outcome.UNUSED, reason=Reason.NOT_FRESH
                )
        exchange = await self.targets.exchange(request, address, timeout_s)
        await self.gate.pass_freeze()
        return exchange


@attrs.define
class Running:
    """A running member.

    :param gate: its way to the platform.
    :param scope: cancelled to kill it.
    """

    parts: t.Any
    gate: PlatformGate
    scope: anyio.CancelScope
    role: str
    killed: anyio.Event = attrs.field(factory=anyio.Event)


@attrs.define
class CallRecord:
    """One caller's request and what it was told; ``None`` if cut off.

    :param entry: the entry it was sent to.
    """

    request: CallerRequest
    entry: str
    sent_at: float
    answer: Answer | None = None
    ended_at: float = 0.0
    urgent: bool = False


EntryFactory = t.Callable[["Deployment", MemberRow, PlatformGate], t.Any]
ApplyManifest = t.Callable[
    [MemoryPlatform, Manifest, str, int | None, random.Random], t.Awaitable[int]
]


def build_entry(deployment: "Deployment", row: MemberRow, gate: PlatformGate) -> t.Any:
    """Build the parts of a real entry."""
    parts = EntryProcess(
        row,
        gate,
        deployment.network.attach(row.name, lambda frame: parts.handle_frame(frame)),
        GatedClient(gate, deployment.targets, lambda _: parts.node.may_serve()),
        VirtualClocks(),
        random.Random(f"{deployment.seed}/{row.name}/{row.incarnation}"),
    )
    return parts


def build_control(
    deployment: "Deployment", row: MemberRow, gate: PlatformGate
) -> t.Any:
    """Build the parts of a real control."""
    parts = ControlProcess(
        row,
        gate,
        deployment.network.attach(row.name, lambda frame: parts.handle_frame(frame)),
        VirtualClocks(),
        random.Random(f"{deployment.seed}/{row.name}/{row.incarnation}"),
    )
    return parts


_BUILDERS: dict[str, EntryFactory] = {
    ENTRY_ROLE: build_entry,
    CONTROL_ROLE: build_control,
}


@attrs.define
class Deployment:
    """Entries, controls, platform and targets in one event loop.

    :param manifest: applied once the members run.
    :param fleet: VMs of the platform.
    :param draw_work: draws run times of requests.
    :param seed: seed of every generator.
    :param builders: builds members by role; tests put naive ones here.
    """

    manifest: Manifest
    fleet: t.Mapping[str, ListedVm]
    draw_work: WorkTime
    seed: int = 1
    builders: t.Mapping[str, EntryFactory] = attrs.field(factory=lambda: _BUILDERS)
    apply_with: ApplyManifest = apply_manifest
    boot_s: float = 5.0
    platform: MemoryPlatform = attrs.field(init=False)
    targets: MemoryTargets = attrs.field(init=False)
    network: MemoryNetwork = attrs.field(factory=MemoryNetwork)
    running: dict[str, Running] = attrs.field(factory=dict)
    calls: list[CallRecord] = attrs.field(factory=list)
    accepted: list[tuple[float, int]] = attrs.field(factory=list)
    _starts: int = 0
    _requests: int = 0

    def __attrs_post_init__(self) -> None:
        rng = random.Random(f"{self.seed}/platform")
        self.platform = MemoryPlatform(rng, self.boot_s)
        self.platform.vms.update(self.fleet)
        rng = random.Random(f"{self.seed}/targets")
        self.targets = MemoryTargets(self.platform, rng, self.draw_work)

    # members

    async def run_member(self, name: str, role: str) -> None:
        """Run one member until it is killed or stopped.

        :param name: its name.
        :param role: ``entry`` or ``control``.
        """
        self._starts += 1
        gate = PlatformGate(self.platform)
        row = MemberRow(name, role, name, f"{self._starts}")
        parts = self.builders[role](self, row, gate)
        with anyio.CancelScope() as scope:
            self.running[name] = Running(parts, gate, scope, role)
            try:
                await parts.run()
            except* KilledError:
                scope.cancel()
        self.network.detach(name)

    def kill(self, name: str) -> None:
        """End a member at once; its callers see broken connections.

        :param name: the member.
        """
        running = self.running.pop(name)
        running.killed.set()
        # what it still had to write is never written
        running.gate.kill()
        running.scope.cancel()
        self.network.detach(name)

    async def stop(self, name: str) -> None:
        """Stop an entry as a planned stop does.

        :param name: the entry.
        """
        running = self.running[name]
        parts = running.parts
        parts.stopping = True
        parts.node.mark_stopping()
        await anyio.sleep(LAME_DUCK_S)
        del self.running[name]
        await parts.drain(STOP_GRACE_S)
        running.scope.cancel()
        self.network.detach(name)

    def cut(self, name: str, store: bool, peers: bool) -> None:
        """Cut a member off.

        :param name: the member.
        :param store: from the platform.
        :param peers: from its peers.
        """
        self.running[name].gate.cut = store
        if peers:
            self.network.cut.add(name)

    def heal(self, name: str) -> None:
        """End a cut.

        :param name: the member.
        """
        self.running[name].gate.cut = False
        self.network.cut.discard(name)

    def freeze(self, name: str) -> None:
        """Pause a member.

        :param name: the member.
        """
        self.network.frozen.add(name)
        self.running[name].gate.freeze()

    def thaw(self, name: str) -> None:
        """End a pause.

        :param name: the member.
        """
        self.running[name].gate.thaw()
        self.network.thaw(name)

    def list_entry_processes(self) -> list[str]:
        """List running entries that the balancer may use, by name."""
        return sorted(
            name
            for name, running in self.running.items()
            if running.role == ENTRY_ROLE
            and running.gate.count_frozen_s() < BALANCER_LAG_S
            and running.parts.is_ready()
        )

    async def apply(self, manifest: Manifest, author: str = "operator") -> int:
        """Have a manifest accepted.

        :param manifest: the manifest.
        :param author: who applies it.
        """
        rng = random.Random(f"{self.seed}/{author}/{len(self.calls)}")
        version = await self.apply_with(self.platform, manifest, author, None, rng)
        self.accepted.append((anyio.current_time(), version))
        return version

    # callers

    async def call(
        self, entry: str, service: str, job: str, key: str | None, urgent: bool = False
    ) -> Answer | None:
        """Send one request to an entry and record what the caller is told.

        :param entry: the entry.
        :param service: the service.
        :param job: the job.
        :param key: idempotency key, or ``None``.
        :param urgent: recorded with the call.
        """
        self._requests += 1
        request = CallerRequest(f"r{self._requests}", service, job, b"lot", key)
        record = CallRecord(request, entry, anyio.current_time(), urgent=urgent)
        self.calls.append(record)
        running = self.running.get(entry)
        if running is None:
            return None
        with anyio.CancelScope() as scope:
            async with anyio.create_task_group() as group:
                group.start_soon(_cancel_when_killed, running.killed, scope)
                with contextlib.suppress(KilledError):
                    await running.gate.pass_freeze()
                    answer = await running.parts.pipeline.answer(request)
                    if not running.killed.is_set():
                        record.answer = answer
                group.cancel_scope.cancel()
        record.ended_at = anyio.current_time()
        return record.answer


async def _cancel_when_killed(killed: anyio.Event, call: anyio.CancelScope) -> None:
    await killed.wait()
    call.cancel()
