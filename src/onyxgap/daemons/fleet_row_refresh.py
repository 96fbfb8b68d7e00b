"""Reads the fleet controller's row again while it keeps workers closed.

A change feed that is cut or delivers nothing would keep them closed after the row no
longer does.
"""

import typing as t

import anyio
import attrs
import structlog

from ..exceptions import PlatformUnavailableError
from ..jobs import tables
from ..jobs.store import Store
from .follower import Follower
from .follower import OnRows

REFRESH_INTERVAL_S = 1.0
"""Time between two reads while a worker is cordoned."""

_LOG = structlog.get_logger()


@attrs.define(eq=False)
class FleetRowRefresher:
    """Reads the fleet controller's row at intervals while workers are cordoned.

    :param store: the store.
    :param follower: follows the row; what it has delivered is not read again.
    :param on_rows: called with the row.
    :param has_cordons: tells whether a worker is cordoned.
    """

    store: Store
    follower: Follower
    on_rows: OnRows
    has_cordons: t.Callable[[], bool]

    async def run(self) -> t.NoReturn:
        """Refresh until cancelled."""
        while True:
            await anyio.sleep(REFRESH_INTERVAL_S)
            if self.has_cordons():
                await self._refresh()

    async def _refresh(self) -> None:
        try:
            page = await self.store.read(tables.FLEET_TABLE, tables.FLEET_SHARD)
        except PlatformUnavailableError as error:
            _LOG.info("fleet row not refreshed", reason=str(error))
            return
        if page.version >= self.follower.delivered:
            self.on_rows(page.rows, False)
