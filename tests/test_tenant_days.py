"""Emulated runs with tenants: isolation under faults, and tests of the safeguards.

Guards against calls served by revoked or unknown keys and against starts above a
tenant's cap. Each safeguard is also removed in turn, and then some seed must break the
rule that the safeguard protects.
"""

import math
import typing as t

import anyio
import pytest

from onyxgap.daemons.authentication import Authentication
from onyxgap.daemons.configuration_exchange import ConfigurationExchange
from onyxgap.jobs.amounts import Amount
from onyxgap.jobs.routing import Route
from onyxgap.jobs.shares import TenantShare
from onyxgap.jobs.tenants import Caller
from onyxgap.jobs.tenants import KeyRejection
from onyxgap.jobs.tenants import identify
from tests.emulated import assert_noticed
from tests.emulated import extend_day
from tests.emulated import load_day
from tests.emulated import play

FAULT_FREE_SEEDS = range(1, 7)
FAULTY_SEEDS = range(1, 16)
SAFEGUARD_SEEDS = range(1, 17)
"""Seeds tried in turn until one breaks a rule without a safeguard; each of them must
keep it with the safeguard."""

FAULT_SCRIPTS = {
    "turned away as keys are taken back": (
        "at 4 refuse node for 9 by 0.5\nat 5 revoke keys for 4 by 1"
    ),
    "cut off as keys are taken back": (
        "at 4.5 cut owner ring for 7\nat 5 revoke keys for 4 by 1"
    ),
    "in quick succession": "at 5 revoke keys for 30 by 0.2",
    "store down as keys are taken back": (
        "at 5 down store for 4\nat 4.9 revoke keys for 2 by 1"
    ),
    "owner killed at a cap": "at 6 kill owner ring for 2\nat 10 kill owner herd for 2",
    "owner frozen at a cap": "at 6 freeze owner ring for 4",
    "owner cut off at a cap": "at 6 cut owner herd for 5",
    "all killed at a cap": "at 7 kill all for 1",
    "writes late at a cap": "at 5 late store for 6 by 0.3\nat 7 kill owner ring for 2",
    "orders late at a cap": "at 5 late orders for 6 by 0.3",
    "cap of nothing": "at 6 cap tenant south for 4 by 0",
    "caps lowered in turns": (
        "at 5 cap tenant south for 2 by 0.2\nat 6 cap tenant isle for 6 by 0.4\n"
        "at 9 slow store for 4 by 30\nat 10 cap tenant south for 4 by 0.3"
    ),
}


@pytest.mark.parametrize("seed", FAULT_FREE_SEEDS)
def test_tenants_are_isolated_without_faults(seed: int) -> None:
    result = play(load_day("tenants"), seed)
    assert result.breaches == []
    assert result.account.in_time


@pytest.mark.parametrize("seed", FAULTY_SEEDS)
def test_tenants_are_isolated_under_random_faults(seed: int) -> None:
    assert play(load_day("tenants"), seed, faults=3).breaches == []


@pytest.mark.parametrize("name", FAULT_SCRIPTS)
def test_tenants_are_isolated_under_scripted_faults(name: str) -> None:
    for seed in (1, 2):
        assert play(extend_day("tenants", FAULT_SCRIPTS[name]), seed).breaches == []


def accept_unknown_keys(patch: pytest.MonkeyPatch) -> None:
    async def identify_any(
        self: Authentication, route: Route, keys: t.Sequence[bytes], job_id: str
    ) -> Caller | KeyRejection:
        found = identify(keys, self.routes.keys)
        return Caller("north") if isinstance(found, KeyRejection) else found

    patch.setattr(Authentication, "identify", identify_any)


def assume_configuration_current(patch: pytest.MonkeyPatch) -> None:
    async def send_no_queries(self: ConfigurationExchange) -> None:
        await anyio.sleep(math.inf)

    patch.setattr(ConfigurationExchange, "is_current", lambda self: True)
    patch.setattr(ConfigurationExchange, "run", send_no_queries)


def reject_without_reading(patch: pytest.MonkeyPatch) -> None:
    async def skip_read(self: ConfigurationExchange) -> bool:
        return True

    patch.setattr(ConfigurationExchange, "make_sure", skip_read)


def ignore_shares(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(TenantShare, "admits", lambda self, amount: True)


def use_unchecked_shares(patch: pytest.MonkeyPatch) -> None:
    def find_limit(self: TenantShare) -> Amount:
        return self.get_own_entry().share

    patch.setattr(TenantShare, "_find_limit", find_limit)


REMOVED_SAFEGUARDS = {
    "unknown keys are refused": (accept_unknown_keys, "", "route"),
    "the version in force is known": (
        assume_configuration_current,
        "at 4 refuse node for 9 by 0.5\nat 5 revoke keys for 6 by 1",
        "config",
    ),
    "the row is read before a refusal": (
        reject_without_reading,
        "at 4.5 deaf store for 6\nat 5 revoke keys for 6 by 1",
        "config",
    ),
    "starts stay within shares": (ignore_shares, "", "quota"),
    "shares under a higher cap are void": (
        use_unchecked_shares,
        "at 6 cap tenant north for 6 by 0.3",
        "quota",
    ),
}


@pytest.mark.parametrize("name", REMOVED_SAFEGUARDS)
def test_removed_tenant_safeguard_is_detected(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    mutate, statements, rule = REMOVED_SAFEGUARDS[name]
    script = extend_day("tenants", statements)
    assert_noticed(script, rule, SAFEGUARD_SEEDS, mutate, monkeypatch)
