"""Best-effort notices between nodes, which reduce latency only.

The rows in the store are authoritative. If a notice is lost, nodes wait for the change
feed or for the time-out of an owner instead. A late or wrong notice does no harm, since
its receiver reads the store or makes a claim that the store fences.
"""

import typing as t

import attrs


@attrs.frozen(slots=True)
class JobNotice:
    """Tells an owner that a job or a cancellation was stored, in case its feed is late.

    :param shard: shard of the job.
    :param key: key of the stored row.
    """

    shard: str
    key: str


@attrs.frozen(slots=True)
class HandOver:
    """Allows other nodes to claim a shard before the time-out of its owner.

    Sent if the owner cannot reach the store, runs on a small VM or lags.

    :param shard: the shard.
    :param boot: unique id of the owner's process.
    :param epoch: fencing token of the owner.
    """

    shard: str
    boot: str
    epoch: int


@attrs.frozen(slots=True)
class ConfigurationQuestion:
    """Asks for the newest configuration; sent by a node that cannot reach the store.

    :param sender: address of the requesting node.
    :param asked: number of the query, unique within the requesting node.
    :param version: version in force on the requesting node.
    """

    sender: str
    asked: int
    version: int


@attrs.frozen(slots=True)
class ConfigurationPart:
    """Part of the answer to a :class:`ConfigurationQuestion`.

    :param asked: number of the query.
    :param version: version in force on the answering node.
    :param age_ms: milliseconds since it was last known to be the newest version.
    :param part: index of the part, from 0.
    :param parts: number of parts, 0 if the requesting node needs no content.
    :param content: encoded content of the part.
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
    """Sends and receives notices of nodes."""

    def get_address(self) -> str:
        """Return the address for notices to this node, or an empty string."""

    def send(self, address: str, notice: Notice) -> None:
        """Send a notice to a node without waiting; errors are not raised."""

    async def run(self, on_notice: OnNotice) -> None:
        """Receive notices until cancelled."""


@attrs.define
class NoPeers:
    """Null implementation of :class:`Peers` for nodes that exchange no notices."""

    def get_address(self) -> str:
        """Return an empty address."""
        return ""

    def send(self, address: str, notice: Notice) -> None:
        """Discard the notice."""

    async def run(self, on_notice: OnNotice) -> None:
        """Receive nothing."""
