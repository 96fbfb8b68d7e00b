"""Plays a scenario on a deployment and checks what the brief promises."""

import collections
import typing as t

import anyio
import anyio.abc
import attrs

from ..exceptions import ConflictError
from ..ports import StartTask
from ..ports import TaskStatus
from ..ports import VmStatus
from ..shared.membership import CONTROL_ROLE
from ..shared.membership import ENTRY_ROLE
from .deployment import Deployment
from .memory_platform import Faults
from .memory_targets import Fault
from .promises import Breach
from .promises import check_promises
from .scenario import Action
from .scenario import Load
from .scenario import Scenario

SETTLE_S = 8.0
SAMPLE_S = 0.25
IN_FORCE_LIMIT_S = 9.0
RESEND_AFTER_S = 0.08


@attrs.define
class Stage:
    """Plays one scenario.

    :param scenario: the scenario.
    :param deployment: entries, controls and stand-ins.
    """

    scenario: Scenario
    deployment: Deployment
    breaches: list[Breach] = attrs.field(factory=list)
    pool_of: dict[str, str] = attrs.field(factory=dict)
    started_at: float = 0.0
    on_settled: t.Callable[[], None] = lambda: None
    in_force: dict[int, float] = attrs.field(factory=dict)
    _leaving: dict[str, float] = attrs.field(factory=dict)
    _planned: dict[str, list[float]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    _versions: dict[str, int] = attrs.field(factory=dict)
    _group: anyio.abc.TaskGroup | None = None
    _turn: int = 0

    async def play(self) -> list[Breach]:
        """Play the scenario and return the promises it broke."""
        async with anyio.create_task_group() as group:
            self._group = group
            await self._set_up(group)
            self.started_at = anyio.current_time()
            group.start_soon(self._sample)
            for load in self.scenario.loads:
                group.start_soon(self._send_load, load)
            for action in self.scenario.actions:
                group.start_soon(self._take_action, action)
            await anyio.sleep(self.scenario.end_s)
            group.cancel_scope.cancel()
        self.breaches += check_promises(self.deployment, self._leaving, self._planned)
        return self.breaches

    async def _set_up(self, group: anyio.abc.TaskGroup) -> None:
        deployment = self.deployment
        group.start_soon(deployment.network.run)
        counts = {
            ENTRY_ROLE: self.scenario.entries,
            CONTROL_ROLE: self.scenario.controls,
        }
        for role, count in counts.items():
            for number in range(1, count + 1):
                group.start_soon(deployment.run_member, f"{role}-{number}", role)
        await anyio.sleep(1)
        await deployment.apply(deployment.manifest)
        await anyio.sleep(SETTLE_S)
        for running in deployment.running.values():
            if running.role == ENTRY_ROLE:
                self.pool_of.update(running.parts.list_targets())
        self._watch_power_actions()
        self.on_settled()

    def _watch_power_actions(self) -> None:
        limits = {pool.name: pool.max_out for pool in self.deployment.manifest.pools}

        def watch(vm: str, before: VmStatus, action_id: str) -> None:
            pool = self.pool_of.get(vm)
            if before is not VmStatus.LIVE or pool is None:
                return
            self._planned[vm].append(anyio.current_time())
            for attempt in self.deployment.platform.list_running(vm):
                self._breach("graceful", f"task {attempt} was cut off on {vm}")
            out = self._count_out(pool)
            if out > limits.get(pool, 0):
                self._breach("budget", f"{out} VMs of {pool} out after {action_id}")

        self.deployment.platform.on_action = watch

    def _count_out(self, pool: str) -> int:
        vms = self.deployment.platform.vms
        return sum(
            vms[name].status is not VmStatus.LIVE
            for name, owner in self.pool_of.items()
            if owner == pool and name in vms
        )

    def _breach(self, promise: str, detail: str) -> None:
        self.breaches.append(Breach(promise, detail))

    # load

    async def _send_load(self, load: Load) -> None:
        await anyio.sleep(load.start_s)
        assert self._group is not None
        number = 0
        while anyio.current_time() - self.started_at < load.end_s:
            number += 1
            key = f"{load.job}-{number}" if load.keyed else None
            self._group.start_soon(self._send_one, load, key)
            if load.resend:
                self._group.start_soon(self._send_again, load, key)
            await anyio.sleep(load.every_s)

    async def _send_one(self, load: Load, key: str | None) -> None:
        entries = self.deployment.list_entry_processes()
        if not entries:
            return
        self._turn += 1
        entry = entries[self._turn % len(entries)]
        await self.deployment.call(entry, load.service, load.job, key)

    async def _send_again(self, load: Load, key: str | None) -> None:
        await anyio.sleep(RESEND_AFTER_S)
        await self._send_one(load, key)

    # actions

    async def _take_action(self, action: Action) -> None:
        await anyio.sleep(action.at_s)
        await _VERBS[action.verb](self, *action.words)

    async def _kill(self, name: str) -> None:
        self.deployment.kill(name)

    async def _start(self, name: str, role: str) -> None:
        assert self._group is not None
        self._group.start_soon(self.deployment.run_member, name, role)

    async def _stop(self, name: str) -> None:
        await self.deployment.stop(name)

    async def _cut(self, name: str, *sides: str) -> None:
        self.deployment.cut(name, "store" in sides, "peers" in sides)

    async def _heal(self, name: str) -> None:
        self.deployment.heal(name)

    async def _freeze(self, name: str) -> None:
        self.deployment.freeze(name)

    async def _thaw(self, name: str) -> None:
        self.deployment.thaw(name)

    async def _set_store(self, kind: str, *value: str) -> None:
        faults: dict[str, t.Callable[[], Faults]] = {
            "down": lambda: Faults(down=True),
            "up": Faults,
            "slow": lambda: Faults(delay_s=float(value[0])),
            "loses": lambda: Faults(lose_answers=float(value[0])),
            "stale": lambda: Faults(stale_vms_s=float(value[0])),
        }
        self.deployment.platform.faults = faults[kind]()

    async def _set_vm(self, name: str, status: str) -> None:
        name = self._resolve(name)
        self.deployment.platform.set_status(name, VmStatus(status))
        if status == VmStatus.LEAVING.value:
            self._leaving[name] = anyio.current_time()

    async def _lose_zone(self, zone: str) -> None:
        for vm in list(self.deployment.platform.vms.values()):
            if vm.zone == zone:
                self.deployment.platform.set_status(vm.name, VmStatus.DOWN)

    def _resolve(self, name: str) -> str:
        """Turn ``pool-nth-2`` into the second VM of that pool."""
        pool, found, number = name.rpartition("-nth-")
        if not found:
            return name
        vms = sorted(vm for vm, owner in self.pool_of.items() if owner == pool)
        return vms[int(number) - 1]

    async def _set_target(self, name: str, *fault: str) -> None:
        name = self._resolve(name)
        self.deployment.targets.faults.pop(name, None)
        if fault:
            self.deployment.targets.faults[name] = Fault(fault[0])

    async def _age(self, days: str) -> None:
        """Let the maintenance cycle pass, by shortening it in the manifest."""
        manifest = attrs.evolve(self.deployment.manifest, maintenance_days=1)
        for running in self.deployment.running.values():
            _age_member(running.parts, float(days))
        await self.deployment.apply(manifest, "pipeline")

    async def _resize(self, pool: str, zone: str, count: str) -> None:
        await self._apply_change(pool, zone, int(count), "pipeline")

    async def _race(self, pool: str, zone: str, count: str) -> None:
        async with anyio.create_task_group() as group:
            for author in ("operator-1", "operator-2"):
                size = int(count) + (author == "operator-2")
                group.start_soon(self._apply_change, pool, zone, size, author)

    async def _cancel_tasks(self) -> None:
        tasks = [attrs.evolve(task, count=0) for task in self.deployment.manifest.tasks]
        changed = attrs.evolve(self.deployment.manifest, tasks=tasks)
        await self.deployment.apply(changed, "pipeline")

    async def _misjudge(self, factor: str) -> None:
        def judge(order: StartTask) -> tuple[TaskStatus, float]:
            return TaskStatus.DONE, order.run_time_s * float(factor)

        self.deployment.platform.judge = judge

    async def _spoil(self, name: str) -> None:
        vm = self._resolve(name)
        judge = self.deployment.platform.judge

        def spoiled(order: StartTask) -> tuple[TaskStatus, float]:
            return (TaskStatus.FAILED, 1.0) if order.vm == vm else judge(order)

        self.deployment.platform.judge = spoiled

    async def _apply_change(
        self, pool: str, zone: str, count: int, author: str
    ) -> None:
        pools = [
            attrs.evolve(item, zones={**item.zones, zone: count})
            if item.name == pool
            else item
            for item in self.deployment.manifest.pools
        ]
        changed = attrs.evolve(self.deployment.manifest, pools=pools)
        try:
            await self.deployment.apply(changed, author)
        except ConflictError:
            return
        self.deployment.manifest = changed

    # checks

    async def _sample(self) -> None:
        while True:
            self._check_one_pool()
            self._check_versions()
            await anyio.sleep(SAMPLE_S)

    def _list_serving(self) -> list[tuple[str, t.Any]]:
        running = self.deployment.running
        return [
            (name, running[name].parts)
            for name in self.deployment.list_entry_processes()
        ]

    def _check_one_pool(self) -> None:
        owners: dict[str, set[str]] = collections.defaultdict(set)
        for _, parts in self._list_serving():
            for vm, pool in parts.list_targets():
                owners[vm].add(pool)
        for vm, pools in owners.items():
            if len(pools) > 1:
                self._breach("one-pool", f"{vm} serves {', '.join(sorted(pools))}")

    def _check_versions(self) -> None:
        now = anyio.current_time()
        due = [v for at, v in self.deployment.accepted if now - at > IN_FORCE_LIMIT_S]
        wanted = max(due, default=0)
        serving = self._list_serving()
        for at, version in self.deployment.accepted:
            if all(parts.version >= version for _, parts in serving):
                self.in_force.setdefault(version, now - at)
        for name, parts in serving:
            if parts.version < self._versions.get(name, 0):
                self._breach("config", f"{name} went back to {parts.version}")
            if parts.version < wanted:
                self._breach("config", f"{name} serves {parts.version}, not {wanted}")
            self._versions[name] = max(parts.version, self._versions.get(name, 0))


def _age_member(parts: t.Any, days: float) -> None:
    for name in getattr(parts, "_maintained", {}):
        parts._maintained[name] -= days * 86_400
    node = getattr(parts, "node", None)
    state = getattr(node, "state", None)
    if state is not None:
        for record in state.vms.values():
            record.maintained_at -= days * 86_400


_VERBS: dict[str, t.Callable[..., t.Awaitable[None]]] = {
    "kill": Stage._kill,
    "start": Stage._start,
    "stop": Stage._stop,
    "cut": Stage._cut,
    "heal": Stage._heal,
    "freeze": Stage._freeze,
    "thaw": Stage._thaw,
    "store": Stage._set_store,
    "vm": Stage._set_vm,
    "zone-lost": Stage._lose_zone,
    "target": Stage._set_target,
    "age": Stage._age,
    "resize": Stage._resize,
    "race": Stage._race,
    "cancel-tasks": Stage._cancel_tasks,
    "misjudge": Stage._misjudge,
    "spoil": Stage._spoil,
}
