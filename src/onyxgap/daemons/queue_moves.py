"""Shares with all nodes which services the queues have had.

A node that starts after a queue was moved to another service, or that adopts a version
without the ones before it, doesn't know the former service, where it has to look for a
job that is submitted again. So a service is recorded before the first job of a queue is
accepted there; a move may be followed by the end of all nodes at once.
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
from ..jobs.messages import QueueRef
from ..jobs.routing import RouteTable
from ..jobs.store import ABSENT
from ..jobs.store import Applied
from ..jobs.store import Batch
from ..jobs.store import Store
from ..jobs.store import StoreLimits
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
RECORD_ATTEMPTS = 4
"""Attempts to record a service before a job is rejected. Other nodes that record it at
the same time make an attempt fail, and then it is mostly recorded by one of them."""

_LOG = structlog.get_logger()

Services = dict[str, set[str]]
"""Services by name and by endpoint of a queue."""


def encode_moves(moves: t.Mapping[str, t.AbstractSet[str]]) -> bytes:
    """Encode the services of each queue."""
    return orjson.dumps({queue: sorted(moves[queue]) for queue in sorted(moves)})


def decode_moves(value: bytes) -> Services:
    """Decode the services of each queue.

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
    """Reads and extends the row that lists the services of queues.

    :param store: the store.
    :param routes: the configuration in force, and the services known so far.
    :param rng: source of the pauses between reads.
    :param skipped: number of rows that could not be decoded, by table.
    :param known: whether the row was read since this node has a configuration.
    :param row_bytes: largest row of the store.
    """

    store: Store
    routes: RouteTable
    rng: random.Random
    skipped: SkippedRows
    known: bool = False
    row_bytes: int = StoreLimits().row_bytes
    _read_version: int = 0
    _recorded: Services = attrs.field(factory=dict)
    _synchronizing: anyio.Lock = attrs.field(factory=anyio.Lock)

    async def run(self) -> t.NoReturn:
        """Read the row, and add services to it, after each new configuration."""
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
            async with self._synchronizing:
                recorded = await self._try_to_synchronize()
            reads -= recorded
            if not recorded:
                await anyio.sleep(RETRY_S * self.rng.uniform(0.5, 1.0))

    async def update(self) -> bool:
        """Read the row, unless it was read under the configuration in force.

        :returns: whether it has been read.
        """
        if self._is_read():
            return True
        async with self._synchronizing:
            return self._is_read() or await self._try_to_synchronize()

    async def record(self, queue: QueueRef, service: str) -> bool:
        """Record the service of a queue, unless this node knows that it is recorded.

        :param queue: the queue.
        :param service: the service.
        :returns: whether the service is recorded, and the row has been read under the
            configuration in force.
        """
        if self._is_recorded(queue, service):
            return True
        needed = {key: {service} for key in _list_keys(queue)}
        async with self._synchronizing:
            for _ in range(RECORD_ATTEMPTS):
                if self._is_recorded(queue, service):
                    return True
                await self._try_to_synchronize(needed)
            return self._is_recorded(queue, service)

    def _is_read(self) -> bool:
        return self._read_version == self.routes.get_version()

    def _is_recorded(self, queue: QueueRef, service: str) -> bool:
        return self._is_read() and all(
            service in self._recorded.get(key, ()) for key in _list_keys(queue)
        )

    async def _try_to_synchronize(self, needed: Services | None = None) -> bool:
        try:
            return await self._synchronize(needed or {})
        except PlatformUnavailableError as error:
            _LOG.info("queue moves could not be read", reason=str(error))
            return False

    async def _synchronize(self, needed: Services) -> bool:
        """Read the row, and add services; return whether the row has all of them.

        All queues are added together, so that nodes that accept the first jobs of many
        queues at the same time don't wait for each other's writes.

        :param needed: services that are added even if not all fit into the row.
        """
        version = self.routes.get_version()
        row = tables.get_queue_moves_row()
        page = await self.store.read(row.table, row.part, row.key)
        decoded = decode_rows(
            page.rows,
            lambda row: decode_moves(row.value),
            self.skipped,
            "queue moves skipped",
        )
        recorded: Services = {}
        for _, moves in decoded:
            recorded = moves or {}
        self.routes.add_previous_services(recorded)
        self.known = True
        self._read_version, self._recorded = version, recorded
        wanted = _merge(recorded, _merge(needed, self.routes.list_services()))
        if len(encode_moves(wanted)) > self.row_bytes:
            wanted = _merge(recorded, _merge(needed, self.routes.list_moves()))
        if wanted == recorded:
            return True
        value = encode_moves(wanted)
        if len(value) > self.row_bytes:
            _LOG.error("too many queue moves to be recorded", size=len(value))
            self._recorded = wanted
            return True
        expected = max((stored.version for stored in page.rows), default=ABSENT)
        outcome = await self.store.write(Batch({row: expected}, {row: value}))
        if not isinstance(outcome, Applied):
            return False
        self._recorded = wanted
        return True


def _list_keys(queue: QueueRef) -> list[str]:
    return [key for key in (queue.name, queue.endpoint) if key]


def _merge(first: Services, second: Services) -> Services:
    return {
        queue: first.get(queue, set()) | second.get(queue, set())
        for queue in first.keys() | second.keys()
    }
