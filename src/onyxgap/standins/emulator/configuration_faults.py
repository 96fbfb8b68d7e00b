"""Changes of the configuration: versions, routes, keys and caps."""

import anyio
import attrs

from .fault_targets import FaultPlayers
from .fault_targets import FaultTargets
from .route_history import build_prefix
from .script import FaultLine

WHOLE = 1.0
"""Strength from which all keys of a tenant are taken back at once."""
KEY_GAP_S = 0.1


async def configure(day: FaultTargets, fault: FaultLine) -> None:
    """Write new versions of the configuration in quick succession."""
    for _ in range(int(fault.seconds)):
        day.configure()
        await anyio.sleep(fault.strength)


async def move_routes(day: FaultTargets, fault: FaultLine) -> None:
    """Move a queue to other pools, one after the other."""
    for _ in range(int(fault.seconds)):
        pools = [line.name for line in day.script.pools]
        prefix = build_prefix(fault.name or day.routes_rng.choice(pools))
        present = day.routes.services[prefix]
        others = [pool for pool in pools if pool != present]
        day.routes.services[prefix] = day.routes_rng.choice(others)
        day.configure()
        await anyio.sleep(fault.strength)


async def rename_routes(day: FaultTargets, fault: FaultLine) -> None:
    """Replace the route of a queue by one of another name, several times."""
    for number in range(int(fault.seconds)):
        pools = [line.name for line in day.script.pools]
        name = fault.name or day.routes_rng.choice(pools)
        day.routes.names[build_prefix(name)] = f"{name}-{number}"
        day.configure()
        await anyio.sleep(fault.strength)


async def add_routes(day: FaultTargets, fault: FaultLine) -> None:
    """Add queues, one after the other, with callers that hand jobs in."""
    for _ in range(int(fault.seconds)):
        pool = fault.name or day.routes_rng.choice(day.script.pools).name
        day.added_routes += 1
        # every other one is below the prefix of another queue
        parent = f"{pool}/" if day.added_routes % 2 else ""
        prefix = build_prefix(f"{parent}added-{day.added_routes}")
        day.routes.services[prefix] = pool
        day.configure()
        day.start_load(prefix, pool)
        await anyio.sleep(fault.strength)


async def drop_routes(day: FaultTargets, fault: FaultLine) -> None:
    """Drop added queues, one after the other."""
    for _ in range(int(fault.seconds)):
        pools = {build_prefix(line.name) for line in day.script.pools}
        added = sorted(day.routes.services.keys() - pools)
        if added:
            del day.routes.services[day.routes_rng.choice(added)]
            day.configure()
        await anyio.sleep(fault.strength)


async def revoke_keys(day: FaultTargets, fault: FaultLine) -> None:
    """Take keys back in quick succession; all of a tenant's where it is strong."""
    for _ in range(int(fault.seconds)):
        name = fault.name or day.rng.choice(day.script.tenants).name
        day.tenancy.replace_keys(name, fault.strength >= WHOLE)
        day.configure()
        await anyio.sleep(KEY_GAP_S)


async def change_cap(day: FaultTargets, fault: FaultLine) -> None:
    """Change a tenant's cap to a share of what it is, and later back."""
    name = fault.name or day.rng.choice(day.script.tenants).name
    former = day.tenancy.get_cap(name)
    lower = attrs.evolve(
        former,
        cpu=int(former.cpu * fault.strength),
        memory_mb=int(former.memory_mb * fault.strength),
    )
    day.tenancy.set_cap(name, lower)
    day.configure()
    await anyio.sleep(fault.seconds)
    day.tenancy.set_cap(name, former)
    day.configure()


CONFIGURATION_FAULTS: FaultPlayers = {
    ("configure", "routes"): configure,
    ("revoke", "keys"): revoke_keys,
    ("cap", "tenant"): change_cap,
    ("add", "route"): add_routes,
    ("drop", "route"): drop_routes,
    ("move", "route"): move_routes,
    ("rename", "route"): rename_routes,
}
"""What plays each of these faults."""
