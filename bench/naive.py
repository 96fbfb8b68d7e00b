"""A naive version of the system, against which ours is tested and measured.

It does what a first version would: entries read the newest rows and route at
random within a static share, retry whatever fails and take what arrives for
an answer; controls act on what they see and write without conditions.
"""

import contextlib
import random
import typing as t

import anyio
import attrs

from onyxgap.exceptions import PlatformUnavailableError
from onyxgap.manifest import Manifest
from onyxgap.manifest import join_chunks
from onyxgap.manifest import split_manifest
from onyxgap.manifest import structure_chunk
from onyxgap.ports import Platform
from onyxgap.ports import Put
from onyxgap.ports import VmAction
from onyxgap.ports import VmStatus
from onyxgap.request.messages import Answer
from onyxgap.request.messages import CallerRequest
from onyxgap.request.messages import Exchange
from onyxgap.request.messages import IdentifiedRequest
from onyxgap.request.messages import Reason
from onyxgap.request.messages import TargetClient
from onyxgap.shared.membership import MemberRow
from onyxgap.standins.deployment import WALL_START_S
from onyxgap.standins.deployment import Deployment
from onyxgap.standins.deployment import GatedClient
from onyxgap.standins.gate import PlatformGate
from onyxgap.verdict import Verdict

HEAD_KEY = "naive/head"
POOL_PREFIX = "naive/pool/"
POLL_S = 1.0
RETRIES = 3
RESERVED_PER_ENTRY = 1
DRAIN_S = 1.0
DAY_S = 86_400.0


async def apply_naively(
    platform: t.Any,
    manifest: Manifest,
    author: str,
    if_version: int | None,
    rng: random.Random,
) -> int:
    """Overwrite the manifest, whoever else is about to."""
    row = await platform.get(HEAD_KEY)
    version = row.value["version"] + 1 if row else 1
    await anyio.sleep(0.01)
    value = {"version": version, "chunks": split_manifest(manifest)}
    await platform.transact([Put(HEAD_KEY, value)])
    return version


def _read_head(value: t.Any) -> Manifest:
    chunks = value["chunks"]
    return join_chunks({name: structure_chunk(name, chunks[name]) for name in chunks})


@attrs.define
class NaiveNode:
    """The little that a naive process shares with others."""

    row: MemberRow

    def mark_stopping(self) -> None:
        """Tell nobody."""


@attrs.define
class NaiveEntry:
    """An entry that trusts what it last read."""

    row: MemberRow
    platform: Platform
    client: TargetClient
    rng: random.Random
    entries: int
    node: NaiveNode = attrs.field(init=False)
    stopping: bool = False
    version: int = 0
    manifest: Manifest | None = None
    pools: dict[str, dict[str, str]] = attrs.field(factory=dict)
    in_use: dict[str, int] = attrs.field(factory=dict)
    waiting: dict[str, list[anyio.Event]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.node = NaiveNode(self.row)

    @property
    def pipeline(self) -> "NaiveEntry":
        """The pipeline is the entry itself."""
        return self

    async def run(self) -> None:
        """Poll the head and the pools."""
        while True:
            with contextlib.suppress(PlatformUnavailableError):
                await self._poll()
            await anyio.sleep(POLL_S)

    async def _poll(self) -> None:
        row = await self.platform.get(HEAD_KEY)
        if row:
            self.version = row.value["version"]
            self.manifest = _read_head(row.value)
        for row in await self.platform.scan(POOL_PREFIX, POOL_PREFIX, 1000):
            self.pools[row.key.removeprefix(POOL_PREFIX)] = row.value

    def is_ready(self) -> bool:
        """Ready as soon as there is anything to serve."""
        return self.manifest is not None and not self.stopping

    def list_targets(self) -> list[tuple[str, str]]:
        """List each VM with each pool that lists it."""
        return [(vm, pool) for pool, vms in self.pools.items() for vm in vms]

    async def drain(self, grace_s: float) -> None:
        """Wait for nothing."""

    async def answer(self, request: CallerRequest) -> Answer:
        """Route at random and retry whatever fails."""
        if self.manifest is None:
            return Answer(Verdict.NOT_RUN, 503, reason=Reason.NOT_FRESH)
        service = next(s for s in self.manifest.services if s.name == request.service)
        job = next(job for job in service.jobs if job.name == request.job)
        deadline = anyio.current_time() + job.deadline_ms / 1000
        identified = IdentifiedRequest(request, job, service.pool, True, deadline)
        if not await self._wait_turn(identified):
            return Answer(Verdict.NOT_RUN, 503, reason=Reason.OVERLOADED)
        try:
            return await self._send(identified)
        finally:
            self._end_turn(service.name)

    async def _wait_turn(self, request: IdentifiedRequest) -> bool:
        service = request.caller.service
        pool = self.pools.get(request.pool, {})
        share = max(2, len(pool) * 8 // max(1, self.entries))
        if request.job.priority.rank:
            share -= RESERVED_PER_ENTRY
        while self.in_use.get(service, 0) >= share:
            turn = anyio.Event()
            self.waiting.setdefault(service, []).append(turn)
            with anyio.move_on_at(request.deadline):
                await turn.wait()
            if anyio.current_time() >= request.deadline:
                return False
        self.in_use[service] = self.in_use.get(service, 0) + 1
        return True

    def _end_turn(self, service: str) -> None:
        self.in_use[service] -= 1
        turns = self.waiting.get(service)
        if turns:
            turns.pop(0).set()

    async def _send(self, request: IdentifiedRequest) -> Answer:
        for _ in range(RETRIES):
            pool = self.pools.get(request.pool, {})
            if not pool:
                break
            vm = self.rng.choice(sorted(pool))
            left = max(0.1, request.deadline - anyio.current_time())
            exchange = await self.client.exchange(request, pool[vm], left)
            answer = self._take(exchange, vm)
            if answer is not None:
                return answer
        return Answer(Verdict.NOT_RUN, 503, reason=Reason.TIMEOUT)

    def _take(self, exchange: Exchange, vm: str) -> Answer | None:
        if exchange.reason is Reason.BROKEN_ANSWER and self.rng.random() < 0.5:
            # what has arrived so far is passed on
            return Answer(Verdict.RAN, 200, body=exchange.body, vm=vm)
        if exchange.verdict is Verdict.RAN and exchange.status < 500:
            return Answer(Verdict.RAN, exchange.status, body=exchange.body, vm=vm)
        return None


@attrs.define
class NaiveControl:
    """A control that acts on what it sees and writes without conditions."""

    row: MemberRow
    platform: Platform
    node: NaiveNode = attrs.field(init=False)
    moves: int = 0
    _maintained: dict[str, float] = attrs.field(factory=dict)
    _away: dict[str, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.node = NaiveNode(self.row)

    async def run(self) -> None:
        """Look at everything once a second."""
        while True:
            await anyio.sleep(POLL_S)
            with contextlib.suppress(PlatformUnavailableError):
                await self._pass()

    async def _pass(self) -> None:
        head = await self.platform.get(HEAD_KEY)
        if not head:
            return
        manifest = _read_head(head.value)
        vms = {vm.name: vm for vm in (await self.platform.list_vms()).vms}
        rows = await self.platform.scan(POOL_PREFIX, POOL_PREFIX, 1000)
        pools = {row.key.removeprefix(POOL_PREFIX): dict(row.value) for row in rows}
        taken = {vm for members in pools.values() for vm in members}
        for pool in sorted(manifest.pools, key=lambda pool: pool.name):
            members = pools.get(pool.name, {})
            for name in list(members):
                if name not in vms or vms[name].status is not VmStatus.LIVE:
                    del members[name]
                    self.moves += 1
            for zone, wanted in pool.zones.items():
                have = [name for name in members if vms[name].zone == zone]
                free = [
                    name
                    for name, vm in vms.items()
                    if vm.zone == zone
                    and vm.status is VmStatus.LIVE
                    and name not in taken
                ]
                for name in free[: max(0, wanted - len(have))]:
                    members[name] = vms[name].address
                    taken.add(name)
                    self.moves += 1
                for name in have[wanted:]:
                    del members[name]
                    self.moves += 1
            await self.platform.transact([Put(f"{POOL_PREFIX}{pool.name}", members)])
            await self._maintain(manifest, pool.max_out, members, vms)
        for vm in vms.values():
            if vm.status is VmStatus.DOWN:
                action_id = f"{self.row.name}/{vm.name}/{anyio.current_time()}"
                await self.platform.act_on_vm(vm.name, VmAction.REBOOT, action_id)

    async def _maintain(
        self,
        manifest: Manifest,
        max_out: int,
        members: dict[str, str],
        vms: dict[str, t.Any],
    ) -> None:
        wall = WALL_START_S + anyio.current_time()
        cycle = manifest.maintenance_days * DAY_S
        due = [
            name
            for name in sorted(members)
            if wall - self._maintained.setdefault(name, wall) >= cycle
        ]
        for name in due[:max_out]:
            self._maintained[name] = wall
            action_id = f"{self.row.name}/{name}/{wall}"
            await self.platform.act_on_vm(name, VmAction.REBOOT, action_id)


def build_naive_entry(
    deployment: Deployment, row: MemberRow, gate: PlatformGate
) -> NaiveEntry:
    """Build a naive entry."""
    rng = random.Random(f"{deployment.seed}/{row.name}")
    client = GatedClient(gate, deployment.targets)
    return NaiveEntry(row, gate, client, rng, 9)


def build_naive_control(
    deployment: Deployment, row: MemberRow, gate: PlatformGate
) -> NaiveControl:
    """Build a naive control."""
    return NaiveControl(row, gate)


NAIVE_BUILDERS: dict[str, t.Any] = {
    "entry": build_naive_entry,
    "control": build_naive_control,
}
