"""Shares with all nodes which services the queues had in earlier configurations.

A node that starts after a queue was moved to another service doesn't know the former
one, where it has to look for a job that is submitted again.
"""

import random
import typing as t

import anyio
import attrs
import orjson
import structlog

from ..documents import parse_json
from ..exceptions import DocumentError
from ..exceptions import Fault
from ..exceptions import PlatformUnavailableError
from ..jobs import tables
from ..jobs.routing import RouteTable
from ..jobs.store import ABSENT
from ..jobs.store import Applied
from ..jobs.store import Batch
from ..jobs.store import Store
from .rows import SkippedRows
from .rows import decode_rows

CHECK_INTERVAL_S = 0.05
"""Interval of checking for a new configuration."""
MAX_READ_PAUSE_S = 1.0
"""Longest pause between two reads of the row; calls are resent after a second or more.
Pauses are random, so that one node records a move before the others read the row."""
RETRY_S = 0.4
"""Longest pause after a failed read, so that a store that has become available again is
read within this time."""
READS = 6
"""Reads for each configuration, in 3 s on average: nodes adopt it within 2 s."""
MAX_ROW_BYTES = 65_536
"""Largest row that the store accepts."""

_LOG = structlog.get_logger()


def encode_moves(moves: t.Mapping[str, t.AbstractSet[str]]) -> bytes:
    """Encode all services of each queue that moved."""
    return orjson.dumps({queue: sorted(moves[queue]) for queue in sorted(moves)})


def decode_moves(value: bytes) -> dict[str, set[str]]:
    """Decode all services of each queue that moved.

    :raises DocumentError: if the row is malformed.
    """
    raw = parse_json(value)
    if not isinstance(raw, dict) or not all(map(_is_list_of_names, raw.values())):
        raise DocumentError([Fault("$", "expected lists of services by queue")])
    return {queue: set(names) for queue, names in raw.items()}


def _is_list_of_names(value: object) -> bool:
    return isinstance(value, list) and all(isinstance(name, str) for name in value)


@attrs.define(eq=False)
class QueueMoves:
    """Reads and extends the row that lists the services of moved queues.

    :param store: the store.
    :param routes: the configuration in force, and the services known so far.
    :param rng: source of the pauses between reads.
    :param skipped: number of rows that could not be decoded, by table.
    :param known: whether the row was read since this node has a configuration.
    """

    store: Store
    routes: RouteTable
    rng: random.Random
    skipped: SkippedRows
    known: bool = False

    async def run(self) -> t.NoReturn:
        """Read the row, and add moves to it, after each new configuration."""
        version, reads = 0, 0
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            active = self.routes.configuration
            if active is not None and active.version != version:
                version, reads = active.version, READS
            if not reads:
                continue
            if self.known:
                await anyio.sleep(self.rng.uniform(0.0, MAX_READ_PAUSE_S))
            try:
                reads -= await self._synchronize()
            except PlatformUnavailableError as error:
                _LOG.info("queue moves could not be read", reason=str(error))
                await anyio.sleep(RETRY_S * self.rng.uniform(0.5, 1.0))

    async def _synchronize(self) -> bool:
        """Read the row, and add moves; return whether the row has all known moves."""
        row = tables.get_queue_moves_row()
        page = await self.store.read(row.table, row.part, row.key)
        decoded = decode_rows(
            page.rows,
            lambda row: decode_moves(row.value),
            self.skipped,
            "queue moves skipped",
        )
        for _, moves in decoded:
            self.routes.add_previous_services(moves or {})
        self.known = True
        known = self.routes.list_moves()
        value = encode_moves(known)
        if not known or any(stored.value == value for stored in page.rows):
            return True
        if len(value) > MAX_ROW_BYTES:
            _LOG.error("too many queue moves to be recorded", size=len(value))
            return True
        version = max((stored.version for stored in page.rows), default=ABSENT)
        outcome = await self.store.write(Batch({row: version}, {row: value}))
        return isinstance(outcome, Applied)
