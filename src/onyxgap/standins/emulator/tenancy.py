"""The emulated operator's tenants: keys and caps over time, and which keys are sent."""

import math
import random
import typing as t

import anyio
import attrs

from ...jobs.amounts import Amount
from ...jobs.desk import SubmitOutcome
from ...jobs.messages import JobState
from ...jobs.tenants import KeyRejection
from .script import TenantLine

FIRST_KEYS = 2
STALE_SHARE = 0.1
"""Share of the calls with a key that was taken back, if there is one."""
STRAY_SHARE = 0.03
"""Share of the calls with a key that no tenant ever had."""


@attrs.define
class KeyLife:
    """Time in which a key was one of its tenant's.

    :param tenant: the tenant.
    :param added_at: monotonic seconds of the version that added it.
    :param removed_at: of the version that took it back.
    """

    tenant: str
    added_at: float
    removed_at: float = math.inf


@attrs.frozen
class CapChange:
    """A tenant's cap from a moment on.

    :param at: monotonic seconds.
    :param cap: the cap.
    """

    at: float
    cap: Amount


@attrs.define
class Access:
    """A call with a key, and what came of it.

    :param key: the key.
    :param sent_at: monotonic seconds.
    :param answered_at: monotonic seconds, ``None`` before.
    :param served: whether it was answered with success.
    :param fault: why its key was refused, if it was.
    """

    key: str
    sent_at: float
    answered_at: float | None = None
    served: bool = False
    fault: KeyRejection | None = None

    def note(self, answer: t.Any) -> None:
        """Note the answer to a submission, a question for the state or a cancel."""
        self.answered_at = anyio.current_time()
        self.served = answer is SubmitOutcome.ACCEPTED or answer is True
        self.served = self.served or isinstance(answer, JobState)
        self.fault = answer if isinstance(answer, KeyRejection) else None


@attrs.define(eq=False)
class Tenancy:
    """All tenants of a day.

    :param lines: the tenants of the script.
    :param rng: draws whose key is sent; not used on a day without tenants.
    :param lives: keys by their text.
    :param caps: caps over time by tenant.
    :param accesses: calls with keys.
    :param deaf: spans in which feeds of the store heard nothing.
    """

    lines: t.Sequence[TenantLine]
    rng: random.Random
    lives: dict[str, KeyLife] = attrs.field(factory=dict)
    caps: dict[str, list[CapChange]] = attrs.field(factory=dict)
    accesses: list[Access] = attrs.field(factory=list)
    deaf: list[tuple[float, float]] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        for line in self.lines:
            cap = Amount(int(line.cpu * 1000), int(line.memory * 1000))
            self.caps[line.name] = [CapChange(0.0, cap)]
            for _ in range(FIRST_KEYS):
                self.add_key(line.name, 0.0)

    def add_key(self, tenant: str, at: float) -> None:
        """Give a tenant a new key."""
        key = f"{tenant}-{self.rng.getrandbits(64):016x}"
        self.lives[key] = KeyLife(tenant, at)

    def list_keys(self, tenant: str) -> list[str]:
        """List the present keys of a tenant."""
        return [
            key
            for key, life in self.lives.items()
            if life.tenant == tenant and life.removed_at == math.inf
        ]

    def replace_keys(self, tenant: str, whole: bool) -> None:
        """Take one key of a tenant back, or all, and give it a new one."""
        now = anyio.current_time()
        keys = self.list_keys(tenant)
        for key in keys if whole else keys[:1]:
            self.lives[key].removed_at = now
        self.add_key(tenant, now)

    def set_cap(self, tenant: str, cap: Amount) -> None:
        """Change a tenant's cap."""
        self.caps[tenant].append(CapChange(anyio.current_time(), cap))

    def get_cap(self, tenant: str) -> Amount:
        """Give a tenant's present cap."""
        return self.caps[tenant][-1].cap

    def find_highest_cap(self, tenant: str, since: float, until: float) -> Amount:
        """Give the highest cap that a tenant had in a span of time."""
        changes = self.caps[tenant]
        before = [change.cap for change in changes if change.at <= since]
        within = [change.cap for change in changes if since < change.at <= until]
        highest = before[-1] if before else changes[0].cap
        for cap in within:
            highest = highest.get_elementwise_max(cap)
        return highest

    def draw_tenant(self, rng: random.Random) -> str:
        """Draw the tenant of a job, empty on a day without tenants."""
        if not self.lines:
            return ""
        weights = [line.weight for line in self.lines]
        return rng.choices([line.name for line in self.lines], weights)[0]

    def list_former_keys(self, tenant: str) -> list[str]:
        """List the keys of a tenant that were taken back."""
        return [
            key
            for key, life in self.lives.items()
            if life.tenant == tenant and life.removed_at < math.inf
        ]

    def draw_key(self, tenant: str) -> str:
        """Draw the key that a call of a tenant is sent with."""
        drawn = self.rng.random()
        if drawn < STRAY_SHARE:
            return f"stray-{self.rng.getrandbits(64):016x}"
        former = self.list_former_keys(tenant)
        if former and drawn < STRAY_SHARE + STALE_SHARE:
            return self.rng.choice(former)
        return self.rng.choice(self.list_keys(tenant))

    def open_access(self, key: str) -> Access:
        """Note that a call with a key is sent."""
        access = Access(key, anyio.current_time())
        self.accesses.append(access)
        return access

    def encode(self) -> list[dict[str, t.Any]]:
        """Encode the present tenants for the operator's row."""
        return [
            {
                "name": line.name,
                "keys": self.list_keys(line.name),
                "weight": line.weight,
                "cap": attrs.asdict(self.get_cap(line.name)),
            }
            for line in self.lines
        ]
