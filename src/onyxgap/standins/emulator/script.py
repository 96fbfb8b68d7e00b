"""A small language for days of the emulator: pools, load, waves and faults.

One statement a line; ``#`` begins a comment. Times are in seconds::

    nodes 4
    pool ring vms 4 cores 64 memory 256
    spare 3
    serve ring tasks 4 cpu 5 memory 20 may-miss 1
    schedule ring times 20 every 1 from 3 width 30 work 0.2 cpu 0.01
    load ring every 0.2 from 2 to 20 width 6 work 0.6 cpu 3.5 memory 12
    turns 5
    tenant north cpu 90 memory 400 weight 3
    public ring
    advice ring decide 0.1 each 0.02 valid 3 share 0.5
    wave at 3 of 5 cap 2 within 15
    at 5 kill owner ring for 2
    at 6 late vm-orders for 8 by 0.5
    end 40

Faults of the platform's interface for VMs do not concern nodes, the store or orders to
workers, and excuse no job that stands still:

``down cloud``
    Neither lists of VMs nor orders about them get an answer; no order is carried out.
``refuse cloud``
    Lists and orders are refused at once.
``down vm-orders``
    Orders, or a share of them (``by``), get no answer and are not carried out.
``refuse vm-orders``
    Orders, or a share of them, are refused at once.
``late vm-orders``
    Orders, or a share of them, get no answer and are carried out 1 to 12 s later if
    they are valid by then.
``disown upkeep``
    Orders of maintenance are answered with "not due".
``hang upkeep``
    VMs whose maintenance begins meanwhile do not return before the fault ends.
``cut holder``
    The node with the fleet controller role does not reach the interface, or with
    ``cut holder list`` and ``cut holder vm-orders`` not that part of it.

The name in a fault of a VM is that of its pool, or that of the VM:

``rebear vm POOL``
    The worker crashes, and starts again under its ID after the given time (``for``).
    Its address refuses connections until then.
``restart vm POOL``
    The same, but its address does not answer at all until then: calls time out, or
    reach the next incarnation if it starts within their timeouts.
``reboot vm POOL``
    As ``rebear vm``, but the VM is listed as down until then, and the worker registers
    some seconds (``by``) after it takes calls again.
``overwrite entry POOL``
    Another writer puts an entry with a start time of its own, for a service that the
    configuration does not name, under the ID of a running worker.
``late orders`` and ``late holds``
    A share (``by``) of start orders, or of hold requests, gets no answer and is carried
    out 1 to 6 s later by the incarnation that then has the ID.

Faults of a rack affect all of its VMs that are up; VMs keep their rack when they move
between pools, and one of the racks is drawn that have VMs of the pool:

``crash rack POOL``
    The VMs refuse connections until they return with other workers.
``halt rack POOL``
    They do not answer at all until then.
``cut rack POOL``
    They cannot be reached; their tasks run on.

The work of nodes takes no time but with ``pass-cost``, the time of a core for each step
of a scheduling pass and of a report; with ``cores`` a node has that much of a core.
While a node computes, nothing of it goes on: it neither sends nor answers, and its
timers fire late.

``slow node NAME``
    A node, or with ``all`` each one, shares its core with busy processes: its work
    takes longer by the factor (``by``), and whenever it wakes up it waits for them.

The start of a process takes no time but with ``start-cost``, the processor time that it
takes; processes that start at once share ``host-cores`` processors.

With ``deaf holder`` and ``deaf owner POOL`` one node hears nothing of changed rows; it
counts as disturbed, as with ``deaf node``.
"""

import pathlib
import typing as t

import attrs

from ...exceptions import DocumentError
from ...exceptions import Fault
from ...jobs.store import StoreLimits


@attrs.frozen
class PoolLine:
    """A pool of VMs.

    :param name: name of its service.
    :param vms: number of VMs.
    :param cores: cores of each.
    :param memory: GB of each.
    :param guarded: whether its workers refuse what does not fit.
    """

    name: str
    vms: int
    cores: float = 64.0
    memory: float = 256.0
    guarded: int = 1


@attrs.frozen
class ServeLine:
    """A job whose tasks serve until it is cancelled.

    :param pool: where it runs.
    :param tasks: number of tasks.
    :param cpu: cores of each.
    :param memory: GB of each.
    :param may_miss: tasks that may be away by the system's own actions.
    :param per_vm: most tasks on one worker, 0 for no limit.
    """

    pool: str
    tasks: int
    cpu: float = 5.0
    memory: float = 20.0
    may_miss: int = 1
    per_vm: int = 0


@attrs.frozen
class ScheduleLine:
    """A job that runs many times.

    :param pool: where it runs.
    :param times: number of its occurrences.
    :param every: seconds between two of them.
    :param start: when the first one is due.
    :param width: tasks of each.
    :param work: seconds of a task.
    :param cpu: cores of a task.
    :param memory: GB of a task.
    """

    pool: str
    times: int
    every: float
    start: float
    width: int = 10
    work: float = 0.2
    cpu: float = 0.01
    memory: float = 0.01


@attrs.frozen
class LoadLine:
    """Jobs handed in at random moments.

    :param pool: where they run.
    :param every: mean seconds between two jobs.
    :param start: when the load begins.
    :param stop: when it ends.
    :param width: mean tasks of a step.
    :param work: mean seconds of a task.
    :param cpu: cores of a task.
    :param memory: GB of a task.
    :param steps: steps of a job.
    :param cancel: share that is cancelled a second later.
    :param poison: share that always fails.
    :param crashing: share of which the first task crashes each worker that starts it.
    :param resend: share that is handed in a second time, elsewhere.
    :param strangers: share whose IDs callers of public queues use as well.
    :param withdraw: share that is cancelled, in place of handed in again, if its
        submission got no definite answer.
    """

    pool: str
    every: float
    start: float
    stop: float
    width: float = 6.0
    work: float = 0.6
    cpu: float = 3.5
    memory: float = 12.0
    steps: int = 1
    cancel: float = 0.0
    poison: float = 0.0
    crashing: float = 0.0
    resend: float = 0.0
    strangers: float = 0.0
    withdraw: float = 0.0


@attrs.frozen
class AdviceLine:
    """A pool whose queue asks a policy service for tickets.

    :param pool: the pool.
    :param decide: seconds that each request takes.
    :param each: seconds more for each worker that it names.
    :param valid: seconds for which tickets are valid.
    :param share: share of the workers that may run a step.
    """

    pool: str
    decide: float = 0.05
    each: float = 0.01
    valid: float = 3.0
    share: float = 1.0


@attrs.frozen
class TenantLine:
    """A tenant; jobs belong to tenants by weight where there are any.

    :param name: its name.
    :param cpu: cores that it may have running.
    :param memory: GB that it may have running.
    :param weight: its share when there is no room for all.
    """

    name: str
    cpu: float = 1e6
    memory: float = 1e6
    weight: float = 1.0


@attrs.frozen
class WaveLine:
    """A wave of maintenance.

    :param at: when the operator asks for it.
    :param of: number of VMs.
    :param cap: most at once.
    :param within: time in which all should begin.
    """

    at: float
    of: int
    cap: int
    within: float


ALL = 1.0
"""Strength of a fault that affects everything."""
SHARE = 0.3
"""Strength of a fault of which the script gives none."""
_WHOLE_TARGETS = frozenset({"cloud", "vm-orders", "upkeep"})
"""Targets that a fault affects wholly where the script gives no strength."""


@attrs.frozen
class FaultLine:
    """Something that happens.

    :param at: when.
    :param verb: what.
    :param target: to what or whom.
    :param name: which one, or empty.
    :param seconds: for how long.
    :param strength: how strong.
    """

    at: float
    verb: str
    target: str
    name: str = ""
    seconds: float = 4.0
    strength: float = attrs.field()

    @strength.default
    def _choose_strength(self) -> float:
        return ALL if self.target in _WHOLE_TARGETS else SHARE


@attrs.define
class Script:
    """A whole day.

    :param name: its name.
    :param nodes: number of nodes.
    :param call_cost_s: processor time that a call to a worker takes a node.
    :param cores: share of a core that each node has.
    :param pass_cost_s: time of a core that each step of a scheduling pass or a report
        takes a node.
    :param contended: whether nodes weigh callers against each other.
    :param start_cost_s: processor time that the start of a node's process takes.
    :param host_cores: processors that all starting processes share.
    :param small: number of nodes on small VMs, the first ones.
    :param retention_s: time for which the state of an ended job must stay readable.
    :param row_bytes: largest row of the store.
    :param public: pools that also run a queue that is open to callers without a key.
    """

    name: str
    nodes: int = 3
    call_cost_s: float = 0.0
    cores: float = 1.0
    pass_cost_s: float = 0.0
    start_cost_s: float = 0.0
    host_cores: float = 8.0
    contended: bool = False
    small: int = 0
    retention_s: float = 120.0
    row_bytes: int = StoreLimits().row_bytes
    spare: int = 0
    turn_s: float = 0.0
    end_s: float = 40.0
    pools: list[PoolLine] = attrs.field(factory=list)
    serves: list[ServeLine] = attrs.field(factory=list)
    schedules: list[ScheduleLine] = attrs.field(factory=list)
    loads: list[LoadLine] = attrs.field(factory=list)
    waves: list[WaveLine] = attrs.field(factory=list)
    tenants: list[TenantLine] = attrs.field(factory=list)
    advice: list[AdviceLine] = attrs.field(factory=list)
    faults: list[FaultLine] = attrs.field(factory=list)
    public: list[str] = attrs.field(factory=list)

    def has_costs(self) -> bool:
        """Return whether the work of nodes takes time."""
        slowed = any((item.verb, item.target) == SLOW_NODE for item in self.faults)
        return self.pass_cost_s > 0.0 or slowed

    def changes_routes(self) -> bool:
        """Return whether a fault adds, drops or moves routes."""
        return any((item.verb, item.target) in ROUTE_FAULTS for item in self.faults)


SLOW_NODE = ("slow", "node")
"""Fault of nodes whose work takes time."""

ROUTE_FAULTS = frozenset(
    {("add", "route"), ("drop", "route"), ("move", "route"), ("rename", "route")}
)
"""Faults that change the routes: ``seconds`` versions, each ``strength`` seconds after
the one before."""

INTERFACE_FAULTS = frozenset(
    {
        ("down", "cloud"),
        ("refuse", "cloud"),
        ("down", "vm-orders"),
        ("refuse", "vm-orders"),
        ("late", "vm-orders"),
        ("cut", "holder"),
        ("hang", "upkeep"),
        ("disown", "upkeep"),
        ("deaf", "holder"),
        ("deaf", "owner"),
    }
)
"""Faults of the platform's interface for VMs, and of the rows by which the fleet
controller and owners act on VMs."""

RACK_FAULTS = frozenset({("crash", "rack"), ("halt", "rack"), ("cut", "rack")})
"""Faults of all VMs of a rack."""

FAULTS = ROUTE_FAULTS | frozenset(
    {
        *INTERFACE_FAULTS,
        *RACK_FAULTS,
        SLOW_NODE,
        ("kill", "owner"),
        ("kill", "holder"),
        ("kill", "node"),
        ("kill", "all"),
        ("freeze", "owner"),
        ("freeze", "holder"),
        ("stop", "owner"),
        ("stop", "holder"),
        ("cut", "owner"),
        ("cut", "vm"),
        ("crash", "vm"),
        ("fail", "vm"),
        ("hang", "vm"),
        ("shrink", "vm"),
        ("slow", "store"),
        ("down", "store"),
        ("lose", "store"),
        ("late", "store"),
        ("forget", "store"),
        ("deaf", "store"),
        ("deaf", "node"),
        ("refuse", "node"),
        ("late", "orders"),
        ("late", "holds"),
        ("lose", "orders"),
        ("configure", "routes"),
        ("rebear", "vm"),
        ("restart", "vm"),
        ("reboot", "vm"),
        ("halt", "vm"),
        ("end", "worker"),
        ("refuse", "vm"),
        ("down", "list"),
        ("refuse", "list"),
        ("old", "list"),
        ("split", "workers"),
        ("refuse", "writes"),
        ("malform", "rows"),
        ("overwrite", "entry"),
        ("revoke", "keys"),
        ("cap", "tenant"),
    }
)


def _read_pairs(
    words: t.Sequence[str], kinds: t.Mapping[str, type]
) -> dict[str, t.Any]:
    if len(words) % 2:
        raise ValueError("expected pairs of a word and a value")
    pairs = {}
    for key, value in zip(words[::2], words[1::2], strict=True):
        name = {"from": "start", "to": "stop", "for": "seconds", "by": "strength"}.get(
            key, key.replace("-", "_")
        )
        if name not in kinds:
            raise ValueError(f"unknown word {key!r}")
        pairs[name] = kinds[name](value)
    return pairs


def _kinds_of(kind: type) -> dict[str, type]:
    return {field.name: t.cast(type, field.type) for field in attrs.fields(kind)}


def _read_pool(script: Script, words: list[str]) -> None:
    pairs = _read_pairs(words[1:], _kinds_of(PoolLine))
    script.pools.append(PoolLine(words[0], **pairs))


def _read_serve(script: Script, words: list[str]) -> None:
    pairs = _read_pairs(words[1:], _kinds_of(ServeLine))
    script.serves.append(ServeLine(words[0], **pairs))


def _read_schedule(script: Script, words: list[str]) -> None:
    pairs = _read_pairs(words[1:], _kinds_of(ScheduleLine))
    script.schedules.append(ScheduleLine(words[0], **pairs))


def _read_load(script: Script, words: list[str]) -> None:
    pairs = _read_pairs(words[1:], _kinds_of(LoadLine))
    script.loads.append(LoadLine(words[0], **pairs))


def _read_tenant(script: Script, words: list[str]) -> None:
    pairs = _read_pairs(words[1:], _kinds_of(TenantLine))
    script.tenants.append(TenantLine(words[0], **pairs))


def _read_advice(script: Script, words: list[str]) -> None:
    pairs = _read_pairs(words[1:], _kinds_of(AdviceLine))
    script.advice.append(AdviceLine(words[0], **pairs))


def _read_public(script: Script, words: list[str]) -> None:
    script.public += words


def _read_wave(script: Script, words: list[str]) -> None:
    script.waves.append(WaveLine(**_read_pairs(words, _kinds_of(WaveLine))))


def _read_fault(script: Script, words: list[str]) -> None:
    at, verb, target, *rest = words
    if (verb, target) not in FAULTS:
        raise ValueError(f"unknown fault {verb} {target}")
    name = rest.pop(0) if len(rest) % 2 else ""
    pairs = _read_pairs(rest, _kinds_of(FaultLine))
    script.faults.append(FaultLine(float(at), verb, target, name, **pairs))


def _read_number(field: str, kind: type) -> t.Callable[[Script, list[str]], None]:
    def read(script: Script, words: list[str]) -> None:
        setattr(script, field, kind(words[0]))

    return read


def _contend(script: Script, words: list[str]) -> None:
    if words:
        raise ValueError(f"unknown word {words[0]!r}")
    script.contended = True


_STATEMENTS: t.Mapping[str, t.Callable[[Script, list[str]], None]] = {
    "nodes": _read_number("nodes", int),
    "call-cost": _read_number("call_cost_s", float),
    "cores": _read_number("cores", float),
    "pass-cost": _read_number("pass_cost_s", float),
    "start-cost": _read_number("start_cost_s", float),
    "host-cores": _read_number("host_cores", float),
    "contended": _contend,
    "small": _read_number("small", int),
    "retention": _read_number("retention_s", float),
    "row-bytes": _read_number("row_bytes", int),
    "spare": _read_number("spare", int),
    "turns": _read_number("turn_s", float),
    "end": _read_number("end_s", float),
    "pool": _read_pool,
    "serve": _read_serve,
    "schedule": _read_schedule,
    "load": _read_load,
    "tenant": _read_tenant,
    "advice": _read_advice,
    "wave": _read_wave,
    "public": _read_public,
    "at": _read_fault,
}


def parse_script(name: str, text: str) -> Script:
    """Read a day.

    :param name: its name.
    :param text: its statements.
    :raises DocumentError: with every faulty line.
    """
    script = Script(name)
    faults = []
    for number, line in enumerate(text.splitlines(), 1):
        words = line.partition("#")[0].split()
        if not words:
            continue
        read = _STATEMENTS.get(words[0])
        try:
            if read is None:
                raise ValueError(f"unknown statement {words[0]!r}")
            read(script, words[1:])
        except (ValueError, TypeError, IndexError) as error:
            faults.append(Fault(f"line {number}", str(error)))
    if faults:
        raise DocumentError(faults)
    return script


def load_script(path: str | pathlib.Path) -> Script:
    """Read a day from a file.

    :param path: the file.
    :raises DocumentError: with every faulty line.
    """
    path = pathlib.Path(path)
    try:
        return parse_script(path.stem, path.read_text())
    except OSError as error:
        raise DocumentError(
            [Fault(str(path), error.strerror or "unreadable")]
        ) from None
