"""Removes rows that nobody needs any more, a page at a time."""

import attrs
import structlog

from .. import defaults
from ..ports import Platform
from ..ports import Put
from ..ports import WriteOutcome
from ..request.claims import PREFIX as CLAIM_PREFIX
from ..shared.membership import PREFIX as MEMBER_PREFIX
from ..shared.membership import Membership

OWNER_KEY = "retention"
_LOG = structlog.get_logger()


@attrs.define
class Sweeper:
    """Sweeps old claims and the rows of members that are long gone.

    Each deletion is conditional on the version that was read, so that a row
    which has changed meanwhile stays.

    :param platform: the platform's table.
    :param removed: rows removed so far.
    """

    platform: Platform
    removed: int = 0
    _cursor: str = CLAIM_PREFIX

    async def sweep_claims(self, wall: float) -> None:
        """Look at the next page of claims and remove those past retention.

        :param wall: wall-clock seconds.
        :raises PlatformUnavailableError: when the store does not answer.
        """
        rows = await self.platform.scan(
            CLAIM_PREFIX, self._cursor, defaults.SWEEP_PAGE_ROWS
        )
        self._cursor = rows[-1].key if rows else CLAIM_PREFIX
        limit = wall - defaults.CLAIM_RETENTION_S
        await self._remove(
            [Put(row.key, None, row.version) for row in rows if row.value["at"] < limit]
        )

    async def sweep_members(self, membership: Membership, now: float) -> None:
        """Remove the rows of members that lapsed long ago.

        :param membership: the members as this process sees them.
        :param now: monotonic seconds.
        """
        gone = membership.list_expired_rows(now, defaults.MEMBER_ROW_EXPIRY_S)
        await self._remove(
            [Put(f"{MEMBER_PREFIX}{name}", None, version) for name, version in gone]
        )

    async def _remove(self, puts: list[Put]) -> None:
        if not puts:
            return
        result = await self.platform.transact(puts)
        if result.outcome is WriteOutcome.APPLIED:
            self.removed += len(puts)
            _LOG.info("swept", rows=len(puts))
