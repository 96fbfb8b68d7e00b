"""Draws random faults for a day, each group of kinds apart from the others."""

import random

import attrs

from .interface_faults import CLOUD_PARTS
from .script import FAULTS
from .script import INTERFACE_FAULTS
from .script import RACK_FAULTS
from .script import ROUTE_FAULTS
from .script import SLOW_NODE
from .script import FaultLine
from .script import Script

_DEATHS = (("crash", "vm"), ("end", "worker"), ("halt", "vm"))
_LIST_FAULTS = (("down", "list"), ("old", "list"), ("refuse", "list"))
_NOT_DRAWN = frozenset(
    {
        ("halt", "vm"),
        ("end", "worker"),
        ("refuse", "vm"),
        ("restart", "vm"),
        ("reboot", "vm"),
        ("overwrite", "entry"),
        ("late", "holds"),
        ("split", "workers"),
        ("refuse", "writes"),
        *_LIST_FAULTS,
        *INTERFACE_FAULTS,
        *RACK_FAULTS,
        SLOW_NODE,
    }
)
"""Not drawn with the other faults, so that the draws of a seed stay the same."""
_TENANT_FAULTS = frozenset({("revoke", "keys"), ("cap", "tenant")})
"""Faults that require a day with tenants."""
_ONLY_SCRIPTED = (
    _TENANT_FAULTS
    | ROUTE_FAULTS
    | {
        ("deaf", "node"),
        ("shrink", "vm"),
        ("rebear", "vm"),
        ("malform", "rows"),
    }
)
"""Excluded from random draws by default, so that a seed keeps its faults."""


def draw_faults(
    script: Script, seed: int, count: int, include_scripted: bool = False
) -> Script:
    """Add random faults to a script, alone, in pairs and in a row.

    :param script: the day.
    :param seed: seed of the draw.
    :param count: number of faults.
    :param include_scripted: whether to also draw kinds otherwise only scripted.
    """
    rng = random.Random(f"faults/{seed}")
    excluded = _ONLY_SCRIPTED
    if include_scripted:
        excluded = ROUTE_FAULTS if script.tenants else ROUTE_FAULTS | _TENANT_FAULTS
    verbs = sorted(FAULTS - excluded - _NOT_DRAWN)
    pools = [line.name for line in script.pools]
    faults = []
    for _ in range(count):
        verb, target = rng.choice(verbs)
        at = rng.uniform(4.0, script.end_s - 8.0)
        strength = {"store": 20.0}.get(target if verb == "slow" else "", 0.3)
        pool, seconds = rng.choice(pools), rng.uniform(1.0, 6.0)
        name = "" if (verb, target) in _TENANT_FAULTS else pool
        faults.append(FaultLine(at, verb, target, name, seconds, strength))
    return attrs.evolve(script, faults=[*script.faults, *faults])


def draw_worker_deaths(script: Script, seed: int, count: int) -> Script:
    """Add deaths of workers that the list of VMs does not tell of.

    They are drawn apart from the other faults, which stay the same. Each comes a short
    time after a list fault has begun, which lasts longer than a lease.

    :param script: the day.
    :param seed: seed of the draw.
    :param count: number of deaths.
    """
    rng = random.Random(f"deaths/{seed}")
    faults = []
    for _ in range(count):
        at = rng.uniform(4.0, script.end_s - 8.0)
        list_verb, list_target = rng.choice(_LIST_FAULTS)
        faults.append(FaultLine(at, list_verb, list_target, seconds=16.0))
        verb, target = rng.choice(_DEATHS)
        pool = rng.choice(script.pools).name
        at += rng.uniform(0.0, 1.0)
        faults.append(FaultLine(at, verb, target, pool, rng.uniform(4.0, 20.0)))
    return attrs.evolve(script, faults=[*script.faults, *faults])


def draw_renames(script: Script, seed: int, count: int) -> Script:
    """Add versions that give queues other names.

    They are drawn apart from the other faults, which stay the same.

    :param script: the day.
    :param seed: seed of the draw.
    :param count: number of versions.
    """
    rng = random.Random(f"renames/{seed}")
    faults = []
    for _ in range(count):
        at, pool = rng.uniform(4.0, script.end_s - 8.0), rng.choice(script.pools).name
        faults.append(FaultLine(at, "rename", "route", pool, 1.0, 0.1))
    return attrs.evolve(script, faults=[*script.faults, *faults])


def draw_reboots(script: Script, seed: int, count: int) -> Script:
    """Add reboots of VMs whose workers have left start orders unanswered.

    They are drawn apart from the other faults, which stay the same.

    :param script: the day.
    :param seed: seed of the draw.
    :param count: number of reboots.
    """
    rng = random.Random(f"reboots/{seed}")
    faults = []
    for _ in range(count):
        at = rng.uniform(4.0, script.end_s - 8.0)
        pool = rng.choice(script.pools).name
        faults.append(FaultLine(at, "late", "orders", "", 2.0, 0.2))
        at += rng.uniform(0.5, 2.0)
        down_s, first_beat_s = rng.uniform(0.5, 3.5), rng.uniform(0.5, 1.5)
        faults.append(FaultLine(at, "reboot", "vm", pool, down_s, first_beat_s))
    return attrs.evolve(script, faults=[*script.faults, *faults])


def draw_interface_faults(script: Script, seed: int, count: int) -> Script:
    """Add faults of the platform's interface for VMs.

    They are drawn apart from the other faults, which stay the same. Every other one
    begins about when a wave or a turn does, if the day has any; all end with the day,
    so that what they held up can be made up for.

    :param script: the day.
    :param seed: seed of the draw.
    :param count: number of faults.
    """
    rng = random.Random(f"interface/{seed}")
    kinds = sorted(INTERFACE_FAULTS)
    starts = _list_starts(script)
    last_s = script.end_s - 8.0
    faults = []
    for number in range(count):
        verb, target = rng.choice(kinds)
        at = rng.uniform(4.0, last_s)
        if starts and number % 2 == 0:
            at = rng.choice(starts) + rng.uniform(-1.0, 2.0)
        at = min(max(4.0, at), last_s)
        seconds = min(rng.uniform(4.0, 32.0), script.end_s - at)
        name = rng.choice(_list_names(script, verb, target))
        share = rng.choice((1.0, 0.5))
        faults.append(FaultLine(at, verb, target, name, seconds, share))
    return attrs.evolve(script, faults=[*script.faults, *faults])


def draw_rack_faults(script: Script, seed: int, count: int) -> Script:
    """Add faults of whole racks.

    They are drawn apart from the other faults, which stay the same, and end with the
    day.

    :param script: the day.
    :param seed: seed of the draw.
    :param count: number of faults.
    """
    rng = random.Random(f"racks/{seed}")
    kinds = sorted(RACK_FAULTS)
    faults = []
    for _ in range(count):
        verb, target = rng.choice(kinds)
        at = rng.uniform(4.0, script.end_s - 8.0)
        seconds = min(rng.uniform(2.0, 16.0), script.end_s - at)
        pool = rng.choice(script.pools).name
        faults.append(FaultLine(at, verb, target, pool, seconds))
    return attrs.evolve(script, faults=[*script.faults, *faults])


def _list_starts(script: Script) -> list[float]:
    """List when waves and turns begin."""
    turns = int(script.end_s // script.turn_s) if script.turn_s else 0
    starts = [script.turn_s * (number + 1) for number in range(turns)]
    starts += [wave.at for wave in script.waves]
    return [at for at in starts if at < script.end_s - 8.0]


def _list_names(script: Script, verb: str, target: str) -> list[str]:
    """List what the name of a fault may be."""
    names = {
        ("cut", "holder"): sorted(CLOUD_PARTS),
        ("deaf", "owner"): [line.name for line in script.pools],
    }
    return names.get((verb, target), [""])
