"""Replicated state of a deployment, built by applying journal entries in order."""

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

MAX_SIZES = 20
# without a manifest there is in effect no maintenance cycle
DEFAULT_MAINTENANCE_DAYS = 3_650

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
    """The replicated state as of one sequence number.

    :param sequence: last applied entry.
    :param version: current manifest version.
    :param version_author: author of the current manifest version.
    :param chunks: JSON value of the current manifest by chunk name.
    :param vms: VMs of all pools by name.
    :param pool_vms: names of the VMs by pool.
    :param attempts: running attempts by ID.
    :param tasks: history by task name.
    :param rejected_events: events that were illegal when they were applied.
    :param pool_tasks: tasks of the current manifest by pool and name.
    :param pool_attempts: running attempts by pool and ID.
    """

    sequence: int = 0
    version: int = 0
    version_author: str = ""
    chunks: dict[str, t.Any] = attrs.field(factory=dict)
    vms: dict[str, VmRecord] = attrs.field(factory=dict)
    pool_vms: dict[str, set[str]] = attrs.field(
        factory=lambda: collections.defaultdict(set)
    )
    attempts: dict[str, Attempt] = attrs.field(factory=dict)
    tasks: dict[str, TaskHistory] = attrs.field(
        factory=lambda: collections.defaultdict(TaskHistory)
    )
    rejected_events: int = 0
    pool_tasks: dict[str, dict[str, Task]] = attrs.field(
        factory=lambda: collections.defaultdict(dict)
    )
    pool_attempts: dict[str, dict[str, Attempt]] = attrs.field(
        factory=lambda: collections.defaultdict(dict)
    )
    _structured_chunks: dict[str, t.Any] = attrs.field(factory=dict)
    _manifest: Manifest | None = None

    @property
    def manifest(self) -> Manifest | None:
        """The current manifest, or ``None`` before the first one."""
        if self._manifest is None and self.chunks:
            self._manifest = join_chunks(self._structured_chunks)
        return self._manifest

    @property
    def maintenance_days(self) -> int:
        """Length of the maintenance cycle, in days."""
        return (
            self.manifest.maintenance_days
            if self.manifest
            else DEFAULT_MAINTENANCE_DAYS
        )

    def find_pool(self, name: str) -> Pool | None:
        """Look up a pool of the current manifest, or return ``None``.

        :param name: name of the pool.
        """
        return t.cast(Pool | None, self._structured_chunks.get(f"pools/{name}"))

    def find_chunk(self, name: str) -> t.Any:
        """Look up a decoded chunk of the current manifest, or return ``None``.

        :param name: chunk name, such as ``services/ring``.
        """
        return self._structured_chunks.get(name)

    def list_pool(self, name: str) -> list[VmRecord]:
        """List the VMs of a pool, sorted by name.

        :param name: name of the pool.
        """
        return [self.vms[vm] for vm in sorted(self.pool_vms.get(name, ()))]

    def accepts(self, event: ev.Event) -> bool:
        """Tell whether an event is legal in this state.

        :param event: the event.
        """
        return _LEGALITY_CHECKS.get(type(event), _accept_always)(self, event)

    def apply(self, entry: ev.Entry) -> None:
        """Apply one entry; illegal events are counted and have no effect.

        :param entry: the entry that follows ``sequence``.
        """
        self.sequence = entry.sequence
        for event in entry.events:
            if self.accepts(event):
                _apply(event, self, entry)
            else:
                self.rejected_events += 1

    def update_chunks(self, chunks: t.Mapping[str, t.Any]) -> None:
        """Add or replace chunks of the manifest.

        :param chunks: JSON value by name.
        """
        self._manifest = None
        self.chunks.update(chunks)
        for name, value in chunks.items():
            self._remove_task(name)
            chunk = structure_chunk(name, value)
            self._structured_chunks[name] = chunk
            if isinstance(chunk, Task):
                self.pool_tasks[chunk.pool][chunk.name] = chunk

    def remove_chunk(self, name: str) -> None:
        """Remove a chunk of the manifest.

        :param name: its name.
        """
        self._manifest = None
        self._remove_task(name)
        self.chunks.pop(name, None)
        self._structured_chunks.pop(name, None)

    def _remove_task(self, name: str) -> None:
        chunk = self._structured_chunks.get(name)
        if isinstance(chunk, Task):
            self.pool_tasks[chunk.pool].pop(chunk.name, None)

    def add_attempt(self, attempt: Attempt) -> None:
        """Add a running attempt.

        :param attempt: the attempt.
        """
        self.attempts[attempt.attempt] = attempt
        self.pool_attempts[attempt.pool][attempt.attempt] = attempt

    def remove_attempt(self, name: str) -> Attempt:
        """Remove a running attempt and return it.

        :param name: ID of the attempt.
        """
        attempt = self.attempts.pop(name)
        self.pool_attempts[attempt.pool].pop(name, None)
        return attempt

    def count_attempts(self, pool: str) -> t.Callable[[str], int]:
        """Return a function that counts the running attempts on a VM of the pool.

        :param pool: the pool.
        """
        attempts = self.pool_attempts.get(pool, {}).values()
        counts = collections.Counter(attempt.vm for attempt in attempts)
        return lambda vm: counts[vm]

    def add_vm(self, record: VmRecord) -> None:
        """Add a VM to its pool.

        :param record: the VM.
        """
        self.vms[record.name] = record
        self.pool_vms[record.pool].add(record.name)


def _accept_always(state: FleetState, event: t.Any) -> bool:
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


_LEGALITY_CHECKS: dict[type, t.Callable[[FleetState, t.Any], bool]] = {
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
    raise TypeError(f"no handler for event type {type(event).__name__}")


@_apply.register
def _(event: ev.ManifestAccepted, state: FleetState, entry: ev.Entry) -> None:
    state.version = event.version
    state.version_author = entry.author
    for name in event.removed:
        state.remove_chunk(name)
    state.update_chunks(event.changed)


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
    state.pool_vms[record.pool].discard(event.vm)


def _transition_vm(state: FleetState, event: t.Any, entry: ev.Entry) -> VmRecord:
    record = state.vms[event.vm]
    record.state = _TRANSITIONS[record.state, type(event)]
    record.since = entry.sequence
    record.at = entry.at
    record.reason = getattr(event, "reason", entry.why)
    return record


@_apply.register
def _(event: ev.VmDraining, state: FleetState, entry: ev.Entry) -> None:
    _transition_vm(state, event, entry).purpose = event.purpose


@_apply.register(ev.VmFailed)
@_apply.register(ev.VmQuarantined)
@_apply.register(ev.VmRetired)
def _(event: t.Any, state: FleetState, entry: ev.Entry) -> None:
    _transition_vm(state, event, entry)


@_apply.register
def _(event: ev.VmRestarting, state: FleetState, entry: ev.Entry) -> None:
    record = _transition_vm(state, event, entry)
    record.action = event.action
    record.action_id = event.action_id
    record.boots = event.boots
    record.repairs += 1


@_apply.register
def _(event: ev.VmReturned, state: FleetState, entry: ev.Entry) -> None:
    record = _transition_vm(state, event, entry)
    record.boots = event.boots
    record.address = event.address
    record.repairs = 0
    record.purpose = None
    record.action = ""
    record.action_id = ""
    if event.maintained:
        record.maintained_at = entry.at
    # failures before the return of a VM no longer count against its worker
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
    attempt = state.remove_attempt(event.attempt)
    history = state.tasks[attempt.task]
    _OUTCOMES.get(event.outcome, _ignore_outcome)(history, attempt)
    if event.run_time_s:
        size = (event.cores, event.memory_gb, event.run_time_s)
        history.sizes = [*history.sizes[1 - MAX_SIZES :], size]


def _ignore_outcome(history: TaskHistory, attempt: Attempt) -> None:
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
