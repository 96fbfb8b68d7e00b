"""Notices between nodes: they save time and are never relied on.

The store's rows are the truth. A notice that is lost costs the time that the feed of
changes or the silence of an owner takes; one that is late or untrue changes nothing,
since what follows from it is read from the store, or fenced by it.
"""

import typing as t

import attrs


@attrs.frozen(slots=True)
class JobNotice:
    """A job or its cancelling was stored; tells the owner, in case the feed is late.

    :param shard: its shard.
    :param key: key of the row that was stored.
    """

    shard: str
    key: str


@attrs.frozen(slots=True)
class HandOver:
    """An owner cannot reach the store, or its VM is small; others may claim the shard.

    :param shard: the shard.
    :param boot: unique id of the owner's process.
    :param epoch: its fencing token.
    """

    shard: str
    boot: str
    epoch: int


@attrs.frozen(slots=True)
class ConfigurationQuestion:
    """A node that does not hear the store asks for the newest configuration.

    :param sender: address of the asking node.
    :param asked: number of the question, for the asking node.
    :param version: version that it has in force.
    """

    sender: str
    asked: int
    version: int


@attrs.frozen(slots=True)
class ConfigurationPart:
    """A part of the answer to such a question.

    :param asked: number of the question.
    :param version: version that the answering node has in force.
    :param age_ms: time since it was known to be the newest.
    :param part: number of the part, from 0.
    :param parts: how many there are; 0 where the asking node needs none.
    :param content: the part.
    """

    asked: int
    version: int
    age_ms: int
    part: int = 0
    parts: int = 0
    content: bytes = b""


Notice = JobNotice | HandOver | ConfigurationQuestion | ConfigurationPart
OnNotice = t.Callable[[Notice], None]


class Peers(t.Protocol):
    """Sends notices to other nodes and takes theirs in."""

    def get_address(self) -> str:
        """Give the address under which others reach this node, or an empty text."""

    def send(self, address: str, notice: Notice) -> None:
        """Send a notice to one node; never waits, never fails."""

    async def run(self, on_notice: OnNotice) -> None:
        """Take in notices until cancelled."""


@attrs.define
class NoPeers:
    """Stands where nodes cannot reach each other."""

    def get_address(self) -> str:
        """Give no address."""
        return ""

    def send(self, address: str, notice: Notice) -> None:
        """Send nothing."""

    async def run(self, on_notice: OnNotice) -> None:
        """Take in nothing."""
