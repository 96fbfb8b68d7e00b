"""Removes expired claims, a page at a time, and rows of processes that are gone."""

import attrs
import structlog

from .. import defaults
from ..ports import Platform
from ..ports import Put
from ..ports import Row
from ..ports import WriteOutcome
from ..request.claims import PREFIX as CLAIM_PREFIX
from ..shared.membership import PREFIX as MEMBER_PREFIX
from ..shared.membership import Membership

OWNER_KEY = "retention"
"""Hashed to choose the control process that removes expired rows."""

_LOG = structlog.get_logger()


@attrs.define
class Sweeper:
    """Removes expired claims on idempotency keys and rows of forgotten members.

    A member is forgotten once it has been silent for longer than
    ``MEMBER_ROW_EXPIRY_S``. Each deletion is conditional on the version that was read,
    so a row that has changed since then is kept.

    :param platform: the platform's table.
    :param removed: number of rows removed so far.
    """

    platform: Platform
    removed: int = 0
    _cursor: str = CLAIM_PREFIX

    async def sweep_claims(self, wall: float) -> None:
        """Remove the expired claims of the next page of claims.

        A malformed claim is logged and kept: whether its request may have run is
        unknown.

        :param wall: current wall-clock time, in seconds.
        :raises PlatformUnavailableError: if the store does not answer.
        """
        rows = await self.platform.scan(
            CLAIM_PREFIX, self._cursor, defaults.SWEEP_PAGE_ROWS
        )
        self._cursor = rows[-1].key if rows else CLAIM_PREFIX
        expired_before = wall - defaults.CLAIM_RETENTION_S
        await self._remove(
            [
                Put(row.key, None, row.version)
                for row in rows
                if _is_expired(row, expired_before)
            ]
        )

    async def sweep_members(self, membership: Membership, now: float) -> None:
        """Remove the rows of members silent for longer than ``MEMBER_ROW_EXPIRY_S``.

        :param membership: the members as seen by this process.
        :param now: current monotonic time, in seconds.
        """
        forgotten = membership.list_expired_rows(now, defaults.MEMBER_ROW_EXPIRY_S)
        await self._remove(
            [
                Put(f"{MEMBER_PREFIX}{name}", None, version)
                for name, version in forgotten
            ]
        )

    async def _remove(self, puts: list[Put]) -> None:
        if not puts:
            return
        result = await self.platform.transact(puts)
        if result.outcome is WriteOutcome.APPLIED:
            self.removed += len(puts)
            _LOG.info("swept", rows=len(puts))


def _is_expired(row: Row, expired_before: float) -> bool:
    claimed_at = row.value.get("at") if isinstance(row.value, dict) else None
    if not isinstance(claimed_at, int | float):
        _LOG.warning("claim could not be decoded", row=row.key)
        return False
    return claimed_at < expired_before
