"""Tombstones of jobs that were cancelled before they were stored.

A submission whose write got no answer may be stored seconds later. A caller that
cancels the job meanwhile is told that there is no such job, so that write must fail.
"""

import attrs
import orjson

from ..documents import parse_json
from ..exceptions import DocumentError
from ..exceptions import Fault
from .messages import Submission
from .tenants import Caller


@attrs.frozen(slots=True)
class Tombstone:
    """Stands for a job that must not be stored any more.

    :param queue: queue in which the job was cancelled.
    :param tenant: tenant of the caller that cancelled it, or empty.
    """

    queue: str
    tenant: str = ""

    def covers(self, submission: Submission) -> bool:
        """Return whether the caller that cancelled could have cancelled a job.

        Jobs of other queues of the service, and of other tenants, may have the same ID.

        :param submission: the submission of the job.
        """
        if self.queue != submission.policy.queue:
            return False
        return Caller(self.tenant).may_access(submission.tenant)


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
    queue, tenant = raw.get("queue"), raw.get("tenant", "")
    if not isinstance(queue, str) or not isinstance(tenant, str):
        raise DocumentError([Fault("$", "no tombstone")])
    return Tombstone(queue, tenant)
