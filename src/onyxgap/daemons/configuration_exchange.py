"""Tells how current a node's configuration is, and gets newer ones from others.

Answers a store that turns a node away while the operator takes keys and routes back:
the node goes on by what others hear, and refuses once none of them knows either.
Answers feeds that hear nothing for a while, too: before a key or a route is refused
that a newer version might know, the row is read, by all such calls of a second at once.
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
from ..jobs.configurations import Assembly
from ..jobs.configurations import encode_configuration
from ..jobs.configurations import split_content
from ..jobs.members import Member
from ..jobs.notices import ConfigurationPart
from ..jobs.notices import ConfigurationQuestion
from ..jobs.notices import Peers
from ..jobs.routing import Configuration
from ..jobs.routing import RouteTable

VALID_SHARE = 0.65
"""Share of the time in which a version must be in force for which the one in force is
relied on unconfirmed; the rest is for feeds that hear nothing for a second."""
ASK_SHARE = 0.75
"""Share of that time after which others are asked."""
ASK_PAUSE_S = 0.2
"""Pause between two questions."""
ASKED_NODES = 3
"""Nodes that are asked at once: one of them mostly hears the store."""
READ_VALID_S = 1.0
"""Time for which one read of the row answers for all refusals."""
KEPT_QUESTIONS = 50
"""Questions whose answers are still taken, those of the last ten seconds."""

_LOG = structlog.get_logger()


@attrs.define(eq=False)
class ConfigurationExchange:
    """How current a node's configuration is, and how it hears of newer ones.

    :param routes: the configuration in force.
    :param clocks: the process's clocks.
    :param rng: draws who is asked.
    :param bound_s: time within which a new version must be in force.
    :param peers: other nodes.
    :param members: their addresses.
    :param read_newest: reads the operator's row and takes it in.
    """

    routes: RouteTable
    clocks: Clocks
    rng: random.Random
    bound_s: float
    peers: Peers
    members: t.Mapping[str, Member]
    read_newest: t.Callable[[], t.Awaitable[None]]
    _reading: anyio.Lock = attrs.field(factory=anyio.Lock)
    _read_at: float = -math.inf
    _read_done: bool = False
    _asked: int = 0
    _asked_at: dict[int, float] = attrs.field(factory=dict)
    _assembly: Assembly = attrs.field(factory=Assembly)
    _encoded: tuple[int, list[bytes]] = (0, [])

    def get_age(self) -> float:
        """Give seconds since the version in force was known to be the newest."""
        return self.clocks.read_boot() - self.routes.confirmed_at

    def is_current(self) -> bool:
        """Tell whether the version in force may be relied on."""
        return self.get_age() <= self.bound_s * VALID_SHARE

    async def make_sure(self) -> bool:
        """Make sure that the version in force is the newest, or nearly so.

        :returns: false where that cannot be found out now.
        """
        async with self._reading:
            now = self.clocks.read_boot()
            if now - self._read_at > READ_VALID_S:
                self._read_at, self._read_done = now, False
                try:
                    await self.read_newest()
                except PlatformUnavailableError as error:
                    _LOG.info("configuration not read", reason=str(error))
                else:
                    self.routes.confirm(0, now)
                    self._read_done = True
        return self._read_done and self.is_current()

    async def run(self) -> t.NoReturn:
        """Ask others whenever the store does not tell, for ever."""
        while True:
            await anyio.sleep(ASK_PAUSE_S)
            if self.get_age() > self.bound_s * VALID_SHARE * ASK_SHARE:
                self._ask()

    def _ask(self) -> None:
        own = self.peers.get_address()
        others = [
            item for item in self.members.values() if item.address not in ("", own)
        ]
        configuration = self.routes.configuration
        version = configuration.version if configuration else 0
        self._asked += 1
        self._asked_at[self._asked] = self.clocks.read_boot()
        self._asked_at.pop(self._asked - KEPT_QUESTIONS, None)
        question = ConfigurationQuestion(own, self._asked, version)
        for member in self.rng.sample(others, min(ASKED_NODES, len(others))):
            self.peers.send(member.address, question)

    def answer(self, question: ConfigurationQuestion) -> None:
        """Answer another node, unless this one does not know either.

        :param question: its question.
        """
        configuration = self.routes.configuration
        if configuration is None or not self.is_current():
            return
        age_ms = max(0, round(self.get_age() * 1000))
        parts: list[bytes] = []
        if configuration.version > question.version:
            parts = self._encode(configuration)
        head = ConfigurationPart(question.asked, configuration.version, age_ms)
        if not parts:
            self.peers.send(question.sender, head)
        for number, content in enumerate(parts):
            part = attrs.evolve(head, part=number, parts=len(parts), content=content)
            self.peers.send(question.sender, part)

    def _encode(self, configuration: Configuration) -> list[bytes]:
        if self._encoded[0] != configuration.version:
            parts = split_content(encode_configuration(configuration))
            self._encoded = (configuration.version, parts)
        return self._encoded[1]

    def take(self, part: ConfigurationPart) -> None:
        """Take in an answer, or a part of it.

        :param part: the part.
        """
        asked_at = self._asked_at.get(part.asked)
        if asked_at is None:
            return
        if part.parts:
            self._adopt(part)
        # what the other knew when it was asked, at the latest
        self.routes.confirm(part.version, asked_at - part.age_ms / 1000)

    def _adopt(self, part: ConfigurationPart) -> None:
        try:
            configuration = self._assembly.add(part)
        except DocumentError as error:
            _LOG.warning("configuration of a node skipped", reason=str(error))
            return
        if configuration is not None and self.routes.adopt(configuration):
            _LOG.info(
                "configuration in force",
                version=configuration.version,
                routes=len(configuration.routes),
                source="node",
            )
