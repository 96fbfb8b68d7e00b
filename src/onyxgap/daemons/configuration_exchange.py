"""Tracks whether a node's configuration is current; exchanges it with other nodes.

The store may refuse a node's calls while the operator revokes keys and removes routes.
The node then gets the newest configuration from other nodes. Once none of them can
confirm it either, the node rejects calls that depend on it.

Change feeds of the store may also stall. Before a node rejects a key or route that a
newer configuration might contain, it reads the configuration's row. One read serves all
such calls within a second.

A node may also learn of a newer version before it has it, for example from a job that
another node accepted. It must not go on with an older one once workers have seen its
orders for such a job.
"""

import math
import random
import typing as t

import anyio
import attrs
import structlog

from ..clocks import Clocks
from ..exceptions import DocumentError
from ..exceptions import PlatformUnavailableError
from ..jobs.configuration_encoding import ConfigurationAssembler
from ..jobs.configuration_encoding import encode_configuration
from ..jobs.configuration_encoding import split_content
from ..jobs.members import Member
from ..jobs.notices import ConfigurationPart
from ..jobs.notices import ConfigurationQuestion
from ..jobs.notices import Peers
from ..jobs.routing import Configuration
from ..jobs.routing import RouteTable
from .version_observer import VersionObserver
from .version_observer import VersionSource

VALID_FRACTION = 0.65
"""Age up to which the configuration in force counts as current, as a fraction of
``propagation_limit_s``; the rest allows for feeds that report nothing for a second."""
QUERY_FRACTION = 0.75
"""Fraction of that age after which other nodes are queried."""
QUERY_INTERVAL_S = 0.2
"""Pause between two queries."""
QUERY_FANOUT = 3
"""Nodes queried at once; usually at least one of them can reach the store."""
READ_VALID_S = 1.0
"""Time for which the result of one read of the row is used for further rejections."""
MAX_OPEN_QUERIES = 50
"""Queries whose answers are still accepted: those of the last ten seconds."""

_LOG = structlog.get_logger()


@attrs.define(eq=False)
class ConfigurationExchange:
    """Knows whether a node's configuration is current and gets newer ones from peers.

    :param routes: the configuration in force.
    :param clocks: the process's clocks.
    :param rng: chooses the nodes to query.
    :param propagation_limit_s: time within which a new configuration must be in force.
    :param peers: sends queries and answers to other nodes.
    :param members: all nodes, with their addresses.
    :param read_newest: reads the configuration's row from the store and applies it.
    :param versions: the versions that are known to exist.
    """

    routes: RouteTable
    clocks: Clocks
    rng: random.Random
    propagation_limit_s: float
    peers: Peers
    members: t.Mapping[str, Member]
    read_newest: t.Callable[[], t.Awaitable[None]]
    versions: VersionObserver = attrs.field(init=False)
    _reading: anyio.Lock = attrs.field(factory=anyio.Lock)
    _read_at: float = -math.inf
    _read_done: bool = False
    _last_query_id: int = 0
    _queried_at: dict[int, float] = attrs.field(factory=dict)
    _assembly: ConfigurationAssembler = attrs.field(factory=ConfigurationAssembler)
    _encoded: tuple[int, list[bytes]] = (0, [])
    _read_for: int = 0

    def __attrs_post_init__(self) -> None:
        self.versions = VersionObserver(self.routes)

    def get_age(self) -> float:
        """Return the seconds since the configuration was last confirmed as newest."""
        return self.clocks.read_boot() - self.routes.confirmed_at

    def is_current(self) -> bool:
        """Return whether the configuration was confirmed recently enough to be used."""
        max_age_s = self.propagation_limit_s * VALID_FRACTION
        return not self.versions.is_outdated() and self.get_age() <= max_age_s

    async def make_sure(self) -> bool:
        """Read the configuration's row, unless it was read within ``READ_VALID_S``.

        A version that became known after that read is read at once.

        :returns: whether that read succeeded and the configuration is current.
        """
        async with self._reading:
            now = self.clocks.read_boot()
            newest = self.versions.newest
            unread = self.versions.is_outdated() and self._read_for < newest
            if unread or now - self._read_at > READ_VALID_S:
                self._read_at, self._read_done = now, False
                self._read_for = newest
                try:
                    await self.read_newest()
                except PlatformUnavailableError as error:
                    _LOG.info(
                        "configuration could not be read from the store",
                        reason=str(error),
                    )
                else:
                    self.routes.confirm(0, now)
                    self._read_done = True
        return self._read_done and self.is_current()

    async def run(self) -> t.NoReturn:
        """Query other nodes while the store does not confirm the configuration."""
        while True:
            await anyio.sleep(QUERY_INTERVAL_S)
            max_age_s = self.propagation_limit_s * VALID_FRACTION * QUERY_FRACTION
            if self.versions.is_outdated() or self.get_age() > max_age_s:
                self._send_query()

    def _send_query(self) -> None:
        own_address = self.peers.get_address()
        others = [
            member
            for member in self.members.values()
            if member.address not in ("", own_address)
        ]
        version = self.routes.get_version()
        self._last_query_id += 1
        self._queried_at[self._last_query_id] = self.clocks.read_boot()
        self._queried_at.pop(self._last_query_id - MAX_OPEN_QUERIES, None)
        query = ConfigurationQuestion(own_address, self._last_query_id, version)
        for member in self.rng.sample(others, min(QUERY_FANOUT, len(others))):
            self.peers.send(member.address, query)

    def answer(self, query: ConfigurationQuestion) -> None:
        """Answer another node's query, unless this node's configuration is not current.

        The answer contains the configuration if it is newer than that of the other
        node.

        :param query: the query.
        """
        self.versions.observe(query.version, VersionSource.PEER_QUERY)
        configuration = self.routes.configuration
        if configuration is None or not self.is_current():
            return
        age_ms = max(0, round(self.get_age() * 1000))
        parts: list[bytes] = []
        if configuration.version > query.version:
            parts = self._encode(configuration)
        head = ConfigurationPart(query.asked, configuration.version, age_ms)
        if not parts:
            self.peers.send(query.sender, head)
        for number, content in enumerate(parts):
            part = attrs.evolve(head, part=number, parts=len(parts), content=content)
            self.peers.send(query.sender, part)

    def _encode(self, configuration: Configuration) -> list[bytes]:
        if self._encoded[0] != configuration.version:
            parts = split_content(encode_configuration(configuration))
            self._encoded = (configuration.version, parts)
        return self._encoded[1]

    def handle_answer(self, part: ConfigurationPart) -> None:
        """Process an answer to a query, or one part of it.

        Answers to unknown or expired queries are ignored.

        :param part: the answer or part.
        """
        queried_at = self._queried_at.get(part.asked)
        if queried_at is None:
            return
        self.versions.observe(part.version, VersionSource.PEER_ANSWER)
        if part.parts:
            self._add_part(part)
        # the time at which the answer was sent is unknown, so its age counts from the
        # query: the configuration never seems to be confirmed later than it was
        self.routes.confirm(part.version, queried_at - part.age_ms / 1000)

    def _add_part(self, part: ConfigurationPart) -> None:
        try:
            configuration = self._assembly.add(part)
        except DocumentError as error:
            _LOG.warning(
                "configuration from another node could not be decoded",
                reason=str(error),
            )
            return
        if configuration is not None and self.routes.adopt(configuration):
            _LOG.info(
                "configuration in force",
                version=configuration.version,
                routes=len(configuration.routes),
                source="node",
            )
