"""Snapshots of the replicated state, which shorten the replay at start-up."""

import json
import typing as t
import zlib

import attrs
from cattrs import Converter

from .records import Attempt
from .records import TaskHistory
from .records import VmRecord
from .state import FleetState

_CONVERTER = Converter(omit_if_default=True)


@attrs.frozen
class Snapshot:
    """The fields of :class:`FleetState` that are not derived."""

    sequence: int
    version: int
    version_author: str
    chunks: dict[str, t.Any]
    vms: list[VmRecord]
    attempts: list[Attempt]
    tasks: dict[str, TaskHistory]


def encode_snapshot(state: FleetState) -> bytes:
    """Encode the state as compressed JSON.

    :param state: the state.
    """
    snapshot = Snapshot(
        sequence=state.sequence,
        version=state.version,
        version_author=state.version_author,
        chunks=state.chunks,
        vms=list(state.vms.values()),
        attempts=list(state.attempts.values()),
        tasks=dict(state.tasks),
    )
    text = json.dumps(_CONVERTER.unstructure(snapshot), separators=(",", ":"))
    return zlib.compress(text.encode())


def decode_snapshot(body: bytes) -> FleetState:
    """Restore the state from a snapshot.

    :param body: output of :func:`encode_snapshot`.
    :raises ValueError: when the snapshot is corrupt.
    """
    try:
        document = json.loads(zlib.decompress(body))
        snapshot = _CONVERTER.structure(document, Snapshot)
    except Exception as error:
        raise ValueError(f"corrupt snapshot: {error}") from None
    state = FleetState(
        sequence=snapshot.sequence,
        version=snapshot.version,
        version_author=snapshot.version_author,
    )
    state.update_chunks(snapshot.chunks)
    for record in snapshot.vms:
        state.add_vm(record)
    for attempt in snapshot.attempts:
        state.add_attempt(attempt)
    state.tasks.update(snapshot.tasks)
    return state
