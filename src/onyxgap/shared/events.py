"""Event types of the journal; the replicated state is built by applying them."""

import enum
import typing as t

import attrs
from cattrs import Converter
from cattrs.strategies import configure_tagged_union


class Purpose(enum.Enum):
    """Why a VM is drained."""

    MAINTENANCE = "maintenance"
    MOVE = "move"
    SURPLUS = "surplus"
    PLATFORM = "platform"


@attrs.frozen(slots=True)
class ManifestAccepted:
    """A new manifest version, as the difference from the previous one.

    :param version: the new version.
    :param changed: added and changed chunks: JSON value by chunk name.
    :param removed: names of removed chunks.
    :param digest: digest of the object that holds ``changed`` when it is too
        large for a row.
    """

    version: int
    changed: dict[str, t.Any] = attrs.field(factory=dict)
    removed: list[str] = attrs.field(factory=list)
    digest: str | None = None


@attrs.frozen(slots=True)
class VmJoined:
    """A free VM joins a pool and is in service."""

    vm: str
    pool: str
    zone: str
    rack: str
    address: str
    boots: int
    cores: int = 64
    memory_gb: int = 256
    accelerators: int = 0


@attrs.frozen(slots=True)
class VmDraining:
    """A VM starts to drain: it accepts no new work."""

    vm: str
    purpose: Purpose


@attrs.frozen(slots=True)
class VmReleased:
    """A VM that has drained or is retired leaves its pool and is free."""

    vm: str


@attrs.frozen(slots=True)
class VmRestarting:
    """A power action on a VM is due; the platform ignores a repeated action ID."""

    vm: str
    action: str
    action_id: str
    boots: int


@attrs.frozen(slots=True)
class VmReturned:
    """A VM is back in service after a restart, a failure or a cancelled drain."""

    vm: str
    boots: int
    address: str
    maintained: bool = False


@attrs.frozen(slots=True)
class VmFailed:
    """A VM became unavailable through an involuntary disruption."""

    vm: str
    reason: str


@attrs.frozen(slots=True)
class VmQuarantined:
    """A VM is up, but the work placed on it fails."""

    vm: str
    reason: str


@attrs.frozen(slots=True)
class VmRetired:
    """Repair of a VM is given up; it stays out of service unless repaired outside."""

    vm: str
    reason: str


@attrs.frozen(slots=True)
class TaskStarted:
    """An attempt at a task starts and reserves capacity on a VM."""

    task: str
    attempt: str
    vm: str
    cores: float
    memory_gb: float


@attrs.frozen(slots=True)
class TaskEnded:
    """An attempt has ended; its capacity is released."""

    attempt: str
    outcome: str
    cores: float = 0.0
    memory_gb: float = 0.0
    run_time_s: float = 0.0


@attrs.frozen(slots=True)
class TaskStopping:
    """An attempt is being stopped, to free capacity or for a drain."""

    attempt: str
    reason: str


Event = (
    ManifestAccepted
    | VmJoined
    | VmDraining
    | VmReleased
    | VmRestarting
    | VmReturned
    | VmFailed
    | VmQuarantined
    | VmRetired
    | TaskStarted
    | TaskEnded
    | TaskStopping
)


@attrs.frozen(slots=True)
class Entry:
    """One journal entry: events that are committed together.

    :param sequence: position; entries are numbered from 1 without gaps.
    :param author: member or operator that wrote it.
    :param at: wall-clock time of the author, in seconds; maintenance cycles and
        the time limits of drains and reboots start from it.
    :param why: reason, as a short phrase.
    :param token: unique token; shows whether an append took effect when its
        answer was lost.
    :param events: the events, in order.
    """

    sequence: int
    author: str
    at: float
    why: str
    token: str
    events: tuple[Event, ...]


def _build_converter() -> Converter:
    converter = Converter(omit_if_default=True)
    configure_tagged_union(Event, converter, tag_name="kind")
    return converter


CONVERTER = _build_converter()


def encode_entry(entry: Entry) -> dict[str, t.Any]:
    """Encode an entry as a JSON value.

    :param entry: the entry.
    """
    return t.cast(dict[str, t.Any], CONVERTER.unstructure(entry, Entry))


def decode_entry(value: t.Any) -> Entry | None:
    """Decode an entry, or return ``None`` for a corrupt or foreign row.

    :param value: JSON value of the row.
    """
    try:
        return CONVERTER.structure(value, Entry)
    except Exception:  # a foreign row may hold any value; the caller reports it
        return None
