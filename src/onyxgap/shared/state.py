"""The agreed state of a deployment: a fold over the journal's events."""

import collections
import functools
import typing as t

import attrs

from ..manifest import Manifest
from ..manifest import Pool
from ..manifest import Task
from ..manifest import join_chunks
from ..manifest import structure_chunk
from . import events as ev
from .records import Attempt
from .records import TaskHistory
from .records import VmRecord
from .records import VmState

SIZES_KEPT = 20
NO_CYCLE_DAYS = 3_650

_TRANSITIONS: dict[tuple[VmState, type], VmState] = {
    (VmState.SERVING, ev.VmDraining): VmState.DRAINING,
    (VmState.SERVING, ev.VmQuarantined): VmState.QUARANTINED,
    (VmState.SERVING, ev.VmFailed): VmState.FAILED,
    (VmState.DRAINING, ev.VmFailed): VmState.FAILED,
    (VmState.DOWN, ev.VmFailed): VmState.FAILED,
    (VmState.QUARANTINED, ev.VmFailed): VmState.FAILED,
    (VmState.DRAINING, ev.VmRestarting): VmState.DOWN,
    (VmState.FAILED, ev.VmRestarting): VmState.DOWN,
    (VmState.QUARANTINED, ev.VmRestarting): VmState.DOWN,
    (VmState.DRAINING, ev.VmReturned): VmState.SERVING,
    (VmState.DOWN, ev.VmReturned): VmState.SERVING,
    (VmState.FAILED, ev.VmReturned): VmState.SERVING,
    (VmState.FAILED, ev.VmRetired): VmState.RETIRED,
}
_RELEASABLE = (VmState.DRAINING, VmState.RETIRED)


@attrs.define
class FleetState:
    """Everything agreed on, as of one sequence number.

    :param sequence: last folded entry.
    :param version: manifest version in force.
    """

    sequence: int = 0
    version: int = 0
    version_author: str = ""
    chunks: dict[str, t.Any] = attrs.field(factory=dict)
    vms: dict[str, VmRecord] = attrs.field(factory=dict)
    members: dict[str, set[str]] = attrs.field(
        factory=lambda: collections.defaultdict(set)
    )
    attempts: dict[str, Attempt] = attrs.field(factory=dict)
    tasks: dict[str, TaskHistory] = attrs.field(
        factory=lambda: collections.defaultdict(TaskHistory)
    )
    refused: int = 0
    tasks_in: dict[str, dict[str, Task]] = attrs.field(
        factory=lambda: collections.defaultdict(dict)
    )
    attempts_in: dict[str, dict[str, Attempt]] = attrs.field(
        factory=lambda: collections.defaultdict(dict)
    )
    _structured: dict[str, t.Any] = attrs.field(factory=dict)
    _manifest: Manifest | None = None

    @property
    def manifest(self) -> Manifest | None:
        """The manifest in force, or ``None`` before the first one."""
        if self._manifest is None and self.chunks:
            self._manifest = join_chunks(self._structured)
        return self._manifest

    @property
    def maintenance_days(self) -> int:
        """Length of the maintenance cycle in days."""
        return self.manifest.maintenance_days if self.manifest else NO_CYCLE_DAYS

    def find_pool(self, name: str) -> Pool | None:
        """Look up a pool of the manifest in force.

        :param name: name of the pool.
        """
        return t.cast(Pool | None, self._structured.get(f"pools/{name}"))

    def find_chunk(self, name: str) -> t.Any:
        """Look up one structured chunk, or ``None``.

        :param name: chunk name, such as ``services/ring``.
        """
        return self._structured.get(name)

    def list_pool(self, name: str) -> list[VmRecord]:
        """List the VMs of a pool by name.

        :param name: name of the pool.
        """
        return [self.vms[vm] for vm in sorted(self.members.get(name, ()))]

    def accepts(self, event: ev.Event) -> bool:
        """Tell whether an event is legal in this state.

        :param event: the event.
        """
        return _ACCEPT.get(type(event), _always)(self, event)

    def apply(self, entry: ev.Entry) -> None:
        """Fold one entry; illegal events are counted and have no effect.

        :param entry: the entry that follows ``sequence``.
        """
        self.sequence = entry.sequence
        for event in entry.events:
            if self.accepts(event):
                _apply(event, self, entry)
            else:
                self.refused += 1

    def load_chunks(self, chunks: t.Mapping[str, t.Any]) -> None:
        """Take chunks over from a snapshot.

        :param chunks: JSON value by name.
        """
        self._manifest = None
        self.chunks.update(chunks)
        for name, value in chunks.items():
            self._forget_task(name)
            chunk = structure_chunk(name, value)
            self._structured[name] = chunk
            if isinstance(chunk, Task):
                self.tasks_in[chunk.pool][chunk.name] = chunk

    def drop_chunk(self, name: str) -> None:
        """Forget one chunk.

        :param name: its name.
        """
        self._manifest = None
        self._forget_task(name)
        self.chunks.pop(name, None)
        self._structured.pop(name, None)

    def _forget_task(self, name: str) -> None:
        chunk = self._structured.get(name)
        if isinstance(chunk, Task):
            self.tasks_in[chunk.pool].pop(chunk.name, None)

    def add_attempt(self, attempt: Attempt) -> None:
        """Put a running attempt on its VM.

        :param attempt: the attempt.
        """
        self.attempts[attempt.attempt] = attempt
        self.attempts_in[attempt.pool][attempt.attempt] = attempt

    def end_attempt(self, name: str) -> Attempt:
        """Take an attempt away and return it.

        :param name: id of the attempt.
        """
        attempt = self.attempts.pop(name)
        self.attempts_in[attempt.pool].pop(name, None)
        return attempt

    def count_attempts(self, pool: str) -> t.Callable[[str], int]:
        """Build a function that counts the running attempts of a pool's VM.

        :param pool: the pool.
        """
        attempts = self.attempts_in.get(pool, {}).values()
        counts = collections.Counter(attempt.vm for attempt in attempts)
        return lambda vm: counts[vm]

    def add_vm(self, record: VmRecord) -> None:
        """Put a VM into its pool.

        :param record: the VM.
        """
        self.vms[record.name] = record
        self.members[record.pool].add(record.name)


def _always(state: FleetState, event: t.Any) -> bool:
    return True


def _accept_manifest(state: FleetState, event: ev.ManifestAccepted) -> bool:
    return event.version == state.version + 1


def _accept_join(state: FleetState, event: ev.VmJoined) -> bool:
    return event.vm not in state.vms


def _accept_release(state: FleetState, event: ev.VmReleased) -> bool:
    record = state.vms.get(event.vm)
    return record is not None and record.state in _RELEASABLE


def _accept_transition(state: FleetState, event: t.Any) -> bool:
    record = state.vms.get(event.vm)
    return record is not None and (record.state, type(event)) in _TRANSITIONS


def _accept_start(state: FleetState, event: ev.TaskStarted) -> bool:
    record = state.vms.get(event.vm)
    return (
        event.attempt not in state.attempts
        and record is not None
        and record.state is VmState.SERVING
    )


def _accept_attempt(state: FleetState, event: t.Any) -> bool:
    return event.attempt in state.attempts


_ACCEPT: dict[type, t.Callable[[FleetState, t.Any], bool]] = {
    ev.ManifestAccepted: _accept_manifest,
    ev.VmJoined: _accept_join,
    ev.VmReleased: _accept_release,
    ev.TaskStarted: _accept_start,
    ev.TaskEnded: _accept_attempt,
    ev.TaskStopping: _accept_attempt,
    **{kind: _accept_transition for _, kind in _TRANSITIONS},
}


@functools.singledispatch
def _apply(event: t.Any, state: FleetState, entry: ev.Entry) -> None:
    raise TypeError(f"no fold for {type(event).__name__}")


@_apply.register
def _(event: ev.ManifestAccepted, state: FleetState, entry: ev.Entry) -> None:
    state.version = event.version
    state.version_author = entry.author
    for name in event.removed:
        state.drop_chunk(name)
    state.load_chunks(event.changed)


@_apply.register
def _(event: ev.VmJoined, state: FleetState, entry: ev.Entry) -> None:
    state.add_vm(
        VmRecord(
            name=event.vm,
            pool=event.pool,
            zone=event.zone,
            rack=event.rack,
            address=event.address,
            boots=event.boots,
            cores=event.cores,
            memory_gb=event.memory_gb,
            accelerators=event.accelerators,
            state=VmState.SERVING,
            since=entry.sequence,
            at=entry.at,
            maintained_at=entry.at,
        )
    )


@_apply.register
def _(event: ev.VmReleased, state: FleetState, entry: ev.Entry) -> None:
    record = state.vms.pop(event.vm)
    state.members[record.pool].discard(event.vm)


def _move_vm(state: FleetState, event: t.Any, entry: ev.Entry) -> VmRecord:
    record = state.vms[event.vm]
    record.state = _TRANSITIONS[record.state, type(event)]
    record.since = entry.sequence
    record.at = entry.at
    record.reason = getattr(event, "reason", entry.why)
    return record


@_apply.register
def _(event: ev.VmDraining, state: FleetState, entry: ev.Entry) -> None:
    _move_vm(state, event, entry).purpose = event.purpose


@_apply.register(ev.VmFailed)
@_apply.register(ev.VmQuarantined)
@_apply.register(ev.VmRetired)
def _(event: t.Any, state: FleetState, entry: ev.Entry) -> None:
    _move_vm(state, event, entry)


@_apply.register
def _(event: ev.VmRestarting, state: FleetState, entry: ev.Entry) -> None:
    record = _move_vm(state, event, entry)
    record.action = event.action
    record.action_id = event.action_id
    record.boots = event.boots
    record.repairs += 1


@_apply.register
def _(event: ev.VmReturned, state: FleetState, entry: ev.Entry) -> None:
    record = _move_vm(state, event, entry)
    record.boots = event.boots
    record.address = event.address
    record.repairs = 0
    record.purpose = None
    record.action = ""
    record.action_id = ""
    if event.maintained:
        record.maintained_at = entry.at
    # a restarted worker is judged anew
    for history in state.tasks.values():
        if event.vm in history.failed_on:
            history.failed_on.remove(event.vm)


@_apply.register
def _(event: ev.TaskStarted, state: FleetState, entry: ev.Entry) -> None:
    state.tasks[event.task].started += 1
    state.add_attempt(
        Attempt(
            attempt=event.attempt,
            task=event.task,
            vm=event.vm,
            pool=state.vms[event.vm].pool,
            cores=event.cores,
            memory_gb=event.memory_gb,
            at=entry.at,
        )
    )


@_apply.register
def _(event: ev.TaskStopping, state: FleetState, entry: ev.Entry) -> None:
    state.attempts[event.attempt].stopping = event.reason


@_apply.register
def _(event: ev.TaskEnded, state: FleetState, entry: ev.Entry) -> None:
    attempt = state.end_attempt(event.attempt)
    history = state.tasks[attempt.task]
    _OUTCOMES.get(event.outcome, _skip)(history, attempt)
    if event.run_time_s:
        size = (event.cores, event.memory_gb, event.run_time_s)
        history.sizes = [*history.sizes[1 - SIZES_KEPT :], size]


def _skip(history: TaskHistory, attempt: Attempt) -> None:
    return None


def _count_done(history: TaskHistory, attempt: Attempt) -> None:
    history.done += 1
    history.lost_in_a_row = 0


def _count_failed(history: TaskHistory, attempt: Attempt) -> None:
    if attempt.vm not in history.failed_on:
        history.failed_on.append(attempt.vm)


def _count_lost(history: TaskHistory, attempt: Attempt) -> None:
    history.lost += 1
    history.lost_in_a_row += 1
    history.lost_on = attempt.vm


_OUTCOMES: dict[str, t.Callable[[TaskHistory, Attempt], None]] = {
    "done": _count_done,
    "failed": _count_failed,
    "lost": _count_lost,
}
