"""Finds and draws what the faults of a day affect."""

import random
import typing as t

import anyio
import attrs

from ...jobs import tables
from ...pools.messages import VmState
from .day import Day
from .malformed import list_malformed_registrations
from .route_history import build_route
from .script import FaultLine
from .script import LoadLine
from .slots import NodeSlot

ADDED_ROUTE_LOAD_S = 8.0
"""Time for which callers hand jobs in on an added route."""
NODE_START_S = 1.0
"""Time within which a node that runs as a process has started."""


class FaultedNode(t.Protocol):
    """What the faults of a day use of a running node."""

    @property
    def owners(self) -> t.Container[str]:
        """Shards that the node owns."""

    @property
    def fleet_controller(self) -> object:
        """True in a condition while the node has the fleet controller role."""

    async def release(self) -> None:
        """Stop the node as planned."""


@attrs.define(eq=False)
class FaultTargets(Day):
    """A day whose nodes, VMs and routes faults can affect.

    :param routes_rng: draws the routes to change; not shared, so that other draws stay
        the same.
    :param added_routes: number of routes that faults have added.
    """

    routes_rng: random.Random = attrs.field(init=False)
    added_routes: int = 0

    def __attrs_post_init__(self) -> None:
        super().__attrs_post_init__()
        self.routes_rng = random.Random(f"routes/{self.seed}")

    def find_slot(self, target: str, name: str) -> NodeSlot:
        """Find the place of the node with a role, else draw one.

        :param target: the role, ``owner`` or ``holder``.
        :param name: the shard of an owner.
        """
        shard = tables.FLEET_SHARD if target == "holder" else name
        for slot in self.slots:
            node: FaultedNode | None = slot.node
            if node is None:
                continue
            if shard in node.owners or (target == "holder" and node.fleet_controller):
                return slot
        return self.rng.choice(self.slots)

    def find_vm(self, pool: str) -> str | None:
        """Draw a VM of a pool that is up.

        :param pool: its name, that of the VM, or empty for any.
        """
        names = [
            name
            for name, vm in sorted(self.cloud.vms.items())
            if vm.state is VmState.UP
            and vm.worker_id
            and pool in ("", vm.pool, vm.name)
        ]
        return self.rng.choice(names) if names else None

    def find_rack(self, pool: str) -> list[str]:
        """Draw a rack with VMs of a pool, and list all of its VMs that are up.

        :param pool: its name, or empty for any.
        """
        up = {
            name: vm
            for name, vm in sorted(self.cloud.vms.items())
            if vm.state is VmState.UP
        }
        racks = sorted({vm.rack for vm in up.values() if pool in ("", vm.pool)})
        rack = self.rng.choice(racks) if racks else None
        return [name for name, vm in up.items() if vm.rack == rack]

    def draw_nodes(self, share: float) -> set[str]:
        """Draw a share of the nodes, at least one."""
        count = max(1, int(share * len(self.slots)))
        return {slot.name for slot in self.rng.sample(self.slots, count)}

    def record_disturbance(self, node: str, for_s: float) -> None:
        """Record a disturbance that begins now.

        :param node: name of the node, or :data:`.disturbances.ALL_NODES`.
        :param for_s: its length in seconds.
        """
        now = anyio.current_time()
        self.disturbances.record(node, now, now + for_s)

    async def restart(self, slots: t.Iterable[NodeSlot], after_s: float) -> None:
        """Kill nodes and start them again.

        :param slots: their places.
        :param after_s: seconds after which they start.
        """
        slots = list(slots)
        for slot in slots:
            self.record_disturbance(slot.name, after_s + NODE_START_S)
            slot.kill()
        await anyio.sleep(after_s)
        assert self._group is not None
        for slot in slots:
            self._group.start_soon(slot.run)

    def list_malformed_registrations(self, service: str) -> tuple[bytes, ...]:
        """List registrations of a service that cannot be read."""
        return list_malformed_registrations(service)

    def configure(self) -> None:
        """Write a new version of the configuration."""
        self._configure()

    def start_load(self, prefix: str, pool: str) -> None:
        """Have callers hand jobs in on an added route for some time.

        :param prefix: prefix of the route.
        :param pool: its pool.
        """
        stop_s = min(anyio.current_time() + ADDED_ROUTE_LOAD_S, self.script.end_s)
        load = LoadLine(prefix, 0.5, 0.0, stop_s, width=2.0, work=0.4)
        assert self._group is not None
        self._group.start_soon(
            self.callers.run_load, load, build_route(prefix, pool), lambda: 1.0
        )


FaultPlayers = t.Mapping[
    tuple[str, str],
    t.Callable[[FaultTargets, FaultLine], t.Coroutine[t.Any, t.Any, None]],
]
"""Functions that play the faults, by verb and target."""
