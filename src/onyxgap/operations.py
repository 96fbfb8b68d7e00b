"""Operations behind the operators' commands, without their output."""

import random
import time
import typing as t

import attrs

from .exceptions import ConflictError
from .exceptions import OnyxgapError
from .manifest import Manifest
from .manifest import split_manifest
from .ports import Platform
from .shared import events as ev
from .shared.events import Entry
from .shared.journal import Journal
from .shared.membership import ENTRY_ROLE
from .shared.membership import PREFIX as MEMBER_PREFIX
from .shared.records import VmState
from .shared.state import FleetState

APPLY_ATTEMPTS = 50
_DESCRIBED_FIELDS = ("vm", "pool", "purpose", "action", "reason", "task", "outcome")


async def load_state(platform: Platform) -> FleetState:
    """Load the replicated state: the newest snapshot and all later journal entries.

    :param platform: the platform.
    :raises PlatformUnavailableError: when the store does not answer.
    """
    journal = Journal(platform)
    state = await journal.load_state()
    while True:
        entries = await journal.read_after(state.sequence)
        if not entries:
            return state
        for entry in entries:
            state.apply(entry)


async def list_audit(platform: Platform, limit: int = 10_000) -> list[Entry]:
    """Read the audit trail: the newest entries of the journal, oldest first.

    :param platform: the platform.
    :param limit: maximum number of entries.
    :raises PlatformUnavailableError: when the store does not answer.
    """
    journal = Journal(platform)
    newest = (await load_state(platform)).sequence
    entries: list[Entry] = []
    sequence = max(0, newest - limit)
    while page := await journal.read_after(sequence):
        entries.extend(page)
        sequence = page[-1].sequence
    return entries


def diff_manifest(
    state: FleetState, manifest: Manifest
) -> tuple[dict[str, t.Any], list[str]]:
    """Compare a new manifest with the current one.

    :param state: the replicated state.
    :param manifest: the new manifest.
    :returns: changed and added chunks by name, and the names of removed ones.
    """
    wanted = split_manifest(manifest)
    changed = {
        name: value for name, value in wanted.items() if state.chunks.get(name) != value
    }
    return changed, sorted(set(state.chunks) - set(wanted))


async def apply_manifest(
    platform: Platform,
    manifest: Manifest,
    author: str,
    if_version: int | None = None,
    rng: random.Random | None = None,
) -> int:
    """Append a manifest to the journal, which makes it the current one.

    Without ``if_version`` the version read at the start must still be the current one
    when the entry is appended. Otherwise two operators who apply at the same time could
    overwrite each other's manifest without notice.

    :param platform: the platform.
    :param manifest: the validated manifest.
    :param author: name of the operator who applies it.
    :param if_version: version that must be the current one.
    :param rng: generator of the token that identifies the entry of this writer.
    :returns: the accepted version; the current one when nothing changes.
    :raises ConflictError: when another version is the current one.
    :raises UnknownOutcomeError: when the outcome of the write remains unknown.
    """
    journal = Journal(platform)
    rng = rng or random.SystemRandom()
    expected = if_version
    for _ in range(APPLY_ATTEMPTS):
        state = await load_state(platform)
        if expected is None:
            expected = state.version
        if state.version != expected:
            raise ConflictError(state.version, state.version_author)
        changed, removed = diff_manifest(state, manifest)
        if not changed and not removed:
            return state.version
        entry = Entry(
            sequence=state.sequence + 1,
            author=author,
            at=time.time(),
            why="apply manifest",
            token=f"{rng.getrandbits(128):032x}",
            events=(ev.ManifestAccepted(state.version + 1, changed, removed),),
        )
        if await journal.append(entry):
            return state.version + 1
    raise OnyxgapError(
        "manifest not applied: other writers kept appending to the journal; try again"
    )


@attrs.frozen
class MemberStatus:
    """Role, address and replication progress of one process.

    :param sequence: sequence of the last journal entry that it has applied.
    :param behind: number of journal entries that it has not applied yet.
    """

    name: str
    role: str
    zone: str
    http: str
    sequence: int
    behind: int
    stopping: bool


async def list_members(platform: Platform, sequence: int) -> list[MemberStatus]:
    """List the processes that have a member row, with their replication progress.

    :param platform: the platform.
    :param sequence: sequence of the journal entry that ``behind`` is relative to.
    """
    rows = await platform.scan(MEMBER_PREFIX, MEMBER_PREFIX, 1000)
    return [
        MemberStatus(
            name=row.value["name"],
            role=row.value["role"],
            zone=row.value.get("zone", ""),
            http=row.value.get("http", ""),
            sequence=row.value.get("sequence", 0),
            behind=max(0, sequence - row.value.get("sequence", 0)),
            stopping=row.value.get("stopping", False),
        )
        for row in rows
    ]


async def list_lagging(platform: Platform, sequence: int) -> list[MemberStatus]:
    """List the entry processes that have not yet applied the journal up to a sequence.

    :param platform: the platform.
    :param sequence: sequence of the journal entry.
    """
    members = await list_members(platform, sequence)
    return [item for item in members if item.role == ENTRY_ROLE and item.behind]


@attrs.frozen
class PoolStatus:
    """Declared and actual state of one pool.

    :param wanted: number of VMs that the manifest declares.
    :param out: number of declared VMs that are not serving.
    :param max_out: number of VMs that may be out of service at once.
    :param by_state: number of VMs by state.
    """

    pool: str
    wanted: int
    serving: int
    out: int
    max_out: int
    by_state: dict[str, int]


def summarize_pools(state: FleetState) -> list[PoolStatus]:
    """Compare each pool with the current manifest.

    :param state: the replicated state.
    """
    summaries = []
    manifest = state.manifest
    for pool in manifest.pools if manifest else []:
        by_state: dict[str, int] = {}
        for record in state.list_pool(pool.name):
            name = record.state.value
            by_state[name] = by_state.get(name, 0) + 1
        serving = by_state.get(VmState.SERVING.value, 0)
        summaries.append(
            PoolStatus(
                pool.name,
                pool.size,
                serving,
                max(0, pool.size - serving),
                pool.max_out,
                by_state,
            )
        )
    return summaries


def list_related_events(entry: Entry, subject: str) -> list[ev.Event]:
    """Find the events of a journal entry that concern a VM, task, attempt or pool.

    :param entry: the journal entry.
    :param subject: name of the VM, task, attempt or pool.
    """
    fields = ("vm", "task", "attempt", "pool")
    return [
        event
        for event in entry.events
        if any(getattr(event, field, None) == subject for field in fields)
    ]


def describe_event(event: ev.Event) -> str:
    """Describe an event in one line."""
    if isinstance(event, ev.ManifestAccepted):
        count = len(event.changed) + len(event.removed)
        return f"manifest version {event.version} accepted, {count} parts changed"
    fields = ", ".join(
        f"{field.name}={getattr(event, field.name)}"
        for field in attrs.fields(type(event))
        if field.name in _DESCRIBED_FIELDS
    )
    return f"{type(event).__name__}({fields})"
