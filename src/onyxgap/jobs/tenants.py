"""Defines tenants and authenticates callers by API key.

Only digests of keys are stored, compared and sent to other nodes. The time of a lookup
reveals nothing about a key, since it depends only on the digest of what was sent.
"""

import enum
import hashlib
import typing as t

import attrs

from .amounts import UNLIMITED
from .amounts import Amount
from .amounts import get_task_amount
from .messages import Step

DIGEST_HEX_DIGITS = 32
"""Length of a key digest in hexadecimal digits, which is 128 bits."""
MAX_KEY_BYTES = 512
"""Longer keys are refused without hashing, which limits the cost per call."""


class KeyRejection(enum.Enum):
    """Why a caller could not be authenticated by its key."""

    MISSING = "no key"
    REPEATED = "more than one key"
    TOO_LONG = "key too long"
    UNKNOWN = "unknown key"


@attrs.frozen(slots=True)
class Tenant:
    """A customer whose jobs the fleet runs.

    :param name: name of the tenant.
    :param key_digests: digests of its API keys.
    :param weight: fair-share weight, used when there is not enough capacity for all.
    :param cap: most that it may have running, over all workers of all services.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    weight: float = 1.0
    cap: Amount = UNLIMITED


class TenantLimits(t.Protocol):
    """Caps and weights of tenants in the configuration in force."""

    def find_cap(self, tenant: str) -> Amount:
        """Return the most that a tenant may have running."""

    def find_weight(self, tenant: str) -> float:
        """Return a tenant's weight, used when there is not enough capacity for all."""


@attrs.frozen(slots=True)
class Caller:
    """The identity of a caller.

    :param tenant: tenant of the caller; empty on a public queue.
    """

    tenant: str = ""

    def may_access(self, job_tenant: str) -> bool:
        """Tell whether the caller may read and cancel a job of the queue that it calls.

        A job without a tenant was submitted while its queue was public. A caller
        without a tenant calls a queue that is public now; its jobs may have tenants
        from the time before.

        :param job_tenant: tenant of the job, or empty.
        """
        return not self.tenant or job_tenant in ("", self.tenant)


ANONYMOUS = Caller()
"""The caller of a queue that needs no key; keys that it sends are ignored."""


def digest_key(key: bytes) -> str:
    """Return the digest under which a key is stored and looked up.

    :param key: the API key as sent.
    """
    return hashlib.sha256(key).hexdigest()[:DIGEST_HEX_DIGITS]


def find_oversized_step(steps: t.Sequence[Step], cap: Amount) -> int | None:
    """Find the first step that can never start within a cap.

    A single task must fit within the cap; a gang must fit as a whole.

    :param steps: steps of a job.
    :param cap: cap of the job's tenant.
    :returns: number of the step from 0, ``None`` if every step fits.
    """
    for number, step in enumerate(steps):
        task_count = step.count if step.gang else 1
        if not (get_task_amount(step) * task_count).fits(cap):
            return number
    return None


def index_keys(tenants: t.Iterable[Tenant]) -> dict[str, str]:
    """Map key digests to the names of their tenants."""
    return {digest: tenant.name for tenant in tenants for digest in tenant.key_digests}


def identify(
    keys: t.Sequence[bytes], index: t.Mapping[str, str]
) -> Caller | KeyRejection:
    """Authenticate a caller by its key.

    :param keys: all keys that the caller sent; exactly one is accepted.
    :param index: names of tenants by key digest.
    :returns: the caller, or the reason why it was refused.
    """
    if not keys or keys == [b""]:
        return KeyRejection.MISSING
    if len(keys) > 1:
        return KeyRejection.REPEATED
    if len(keys[0]) > MAX_KEY_BYTES:
        return KeyRejection.TOO_LONG
    tenant = index.get(digest_key(keys[0]))
    return KeyRejection.UNKNOWN if tenant is None else Caller(tenant)
