"""Tenants, and who a caller is by the key that it sends.

Only digests of keys are kept, compared and sent to other nodes. The time of a look-up
tells nothing of a key: it depends on the digest of what was sent.
"""

import enum
import hashlib
import typing as t

import attrs

from .amounts import UNLIMITED
from .amounts import Amount
from .amounts import measure_task
from .messages import Step

DIGEST_CHARACTERS = 32
"""Hexadecimal digits of a digest, 128 bits."""
MAX_KEY_BYTES = 512
"""Longer keys are refused unread, so that none costs much to digest."""


class KeyFault(enum.Enum):
    """Why a caller is refused by its key."""

    MISSING = "no key"
    REPEATED = "more than one key"
    TOO_LONG = "key too long"
    UNKNOWN = "unknown key"


@attrs.frozen(slots=True)
class Tenant:
    """A party whose jobs the fleet runs.

    :param name: its name.
    :param key_digests: digests of its keys.
    :param weight: its share when there is no room for all.
    :param cap: most that it may have running, over all workers of all services.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    weight: float = 1.0
    cap: Amount = UNLIMITED


class TenantBounds(t.Protocol):
    """What the configuration in force grants tenants."""

    def find_cap(self, tenant: str) -> Amount:
        """Find the most that a tenant may have running."""

    def find_weight(self, tenant: str) -> float:
        """Find a tenant's share of the room when there is none for all."""


@attrs.frozen(slots=True)
class Caller:
    """Who calls.

    :param tenant: its tenant; empty on a queue that is open to anyone.
    """

    tenant: str = ""

    def may_use(self, owner: str) -> bool:
        """Tell whether it may read and cancel a job.

        A job without a tenant was handed in while its queue was open to anyone.

        :param owner: tenant of the job, or empty.
        """
        return not self.tenant or owner in ("", self.tenant)


ANYONE = Caller()
"""A caller of an open queue, where keys are not looked at."""


def digest_key(key: bytes) -> str:
    """Give the digest by which a key is known.

    :param key: the key.
    """
    return hashlib.sha256(key).hexdigest()[:DIGEST_CHARACTERS]


def find_step_above(steps: t.Sequence[Step], cap: Amount) -> int | None:
    """Find a step that can never run within a cap: a task, or a gang as a whole.

    :param steps: steps of a job.
    :param cap: most that its tenant may have running.
    """
    for number, step in enumerate(steps):
        together = step.count if step.gang else 1
        if not (measure_task(step) * together).fits(cap):
            return number
    return None


def index_keys(tenants: t.Iterable[Tenant]) -> dict[str, str]:
    """Map digests of keys to the names of their tenants."""
    return {digest: tenant.name for tenant in tenants for digest in tenant.key_digests}


def identify(keys: t.Sequence[bytes], index: t.Mapping[str, str]) -> Caller | KeyFault:
    """Find out whose key a caller sent.

    :param keys: all that it sent.
    :param index: names of tenants by digest of key.
    """
    if not keys or keys == [b""]:
        return KeyFault.MISSING
    if len(keys) > 1:
        return KeyFault.REPEATED
    if len(keys[0]) > MAX_KEY_BYTES:
        return KeyFault.TOO_LONG
    tenant = index.get(digest_key(keys[0]))
    return KeyFault.UNKNOWN if tenant is None else Caller(tenant)
