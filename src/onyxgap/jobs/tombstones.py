"""Tombstones of jobs that were cancelled before they were stored.

A submission whose write got no answer may be stored seconds later. A caller that
cancels the job meanwhile is told that there is no such job, so that write must fail.
"""

import attrs
import orjson

from ..documents import parse_json
from ..exceptions import DocumentError
from ..exceptions import Fault
from .messages import QueueRef


@attrs.frozen(slots=True)
class Tombstone:
    """Stands for a job that must not be stored any more.

    Jobs of other queues of the service, and of other tenants, may have the same ID.

    :param queue: queue in which the job was cancelled.
    :param tenant: tenant of the caller that cancelled it, or empty.
    :param endpoint: endpoint of the queue.
    """

    queue: str
    tenant: str = ""
    endpoint: str = ""

    def get_queue(self) -> QueueRef:
        """Return the queue in which the job was cancelled."""
        return QueueRef(self.queue, self.endpoint)


def encode_tombstone(tombstone: Tombstone) -> bytes:
    """Encode a tombstone for its row in the store."""
    return orjson.dumps(attrs.asdict(tombstone))


def decode_tombstone(value: bytes) -> Tombstone:
    """Decode the row of a tombstone.

    :raises DocumentError: if the row is malformed.
    """
    raw = parse_json(value)
    if not isinstance(raw, dict):
        raise DocumentError([Fault("$", "no tombstone")])
    fields = [raw.get("queue"), raw.get("tenant", ""), raw.get("endpoint", "")]
    if not all(isinstance(field, str) for field in fields):
        raise DocumentError([Fault("$", "no tombstone")])
    return Tombstone(*fields)
