"""Typed events of the journal; all agreed state is a fold over them."""

import enum
import typing as t

import attrs
from cattrs import Converter
from cattrs.strategies import configure_tagged_union


class Purpose(enum.Enum):
    """Why a VM drains."""

    MAINTENANCE = "maintenance"
    MOVE = "move"
    SURPLUS = "surplus"
    PLATFORM = "platform"


@attrs.frozen(slots=True)
class ManifestAccepted:
    """A new manifest version, as the difference from the one before.

    :param version: the new version.
    :param changed: JSON value by chunk name.
    :param removed: names of chunks that are gone.
    :param digest: object that holds ``changed`` when it is too large for a row.
    """

    version: int
    changed: dict[str, t.Any] = attrs.field(factory=dict)
    removed: list[str] = attrs.field(factory=list)
    digest: str | None = None


@attrs.frozen(slots=True)
class VmJoined:
    """A free VM joins a pool and serves."""

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
    """A VM takes no new work from now on."""

    vm: str
    purpose: Purpose


@attrs.frozen(slots=True)
class VmReleased:
    """A drained or retired VM leaves its pool and is free."""

    vm: str


@attrs.frozen(slots=True)
class VmRestarting:
    """A power action is due; the platform ignores an action id it knows."""

    vm: str
    action: str
    action_id: str
    boots: int


@attrs.frozen(slots=True)
class VmReturned:
    """A VM serves again after a restart, a failure or a cancelled drain."""

    vm: str
    boots: int
    address: str
    maintained: bool = False


@attrs.frozen(slots=True)
class VmFailed:
    """A VM is not available and did not go by choice."""

    vm: str
    reason: str


@attrs.frozen(slots=True)
class VmQuarantined:
    """A VM is live but fails what it is given."""

    vm: str
    reason: str


@attrs.frozen(slots=True)
class VmRetired:
    """Repair of a VM has been given up."""

    vm: str
    reason: str


@attrs.frozen(slots=True)
class TaskStarted:
    """An attempt at a task holds room on a VM from now on."""

    task: str
    attempt: str
    vm: str
    cores: float
    memory_gb: float


@attrs.frozen(slots=True)
class TaskEnded:
    """An attempt has ended and its room is free."""

    attempt: str
    outcome: str
    cores: float = 0.0
    memory_gb: float = 0.0
    run_time_s: float = 0.0


@attrs.frozen(slots=True)
class TaskStopping:
    """An attempt is being stopped to make room or for a drain."""

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
    """One atomic step of the journal.

    :param sequence: position; entries are numbered from 1 without gaps.
    :param author: member or operator who wrote it.
    :param at: wall-clock time of the author in seconds, for people only.
    :param why: reason in a phrase.
    :param token: unique token of the writer, to settle lost answers.
    :param events: what happened, in order.
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
    """Turn an entry into its JSON value.

    :param entry: the entry.
    """
    return t.cast(dict[str, t.Any], CONVERTER.unstructure(entry, Entry))


def decode_entry(value: t.Any) -> Entry | None:
    """Turn a JSON value into an entry; ``None`` for a corrupt or foreign row.

    :param value: JSON value of the row.
    """
    try:
        return CONVERTER.structure(value, Entry)
    except Exception:  # foreign rows hold anything; the caller reports them
        return None
