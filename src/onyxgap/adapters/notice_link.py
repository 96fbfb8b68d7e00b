"""Notices between nodes as datagrams, one frame each."""

import typing as t

import anyio
import anyio.abc
import attrs
import structlog

from ..exceptions import FrameError
from ..jobs.notices import ConfigurationPart
from ..jobs.notices import ConfigurationQuestion
from ..jobs.notices import HandOver
from ..jobs.notices import JobNotice
from ..jobs.notices import Notice
from ..jobs.notices import OnNotice
from ..settings import Address
from ..settings import parse_address
from ..wire.frames import LENGTH_BYTES
from ..wire.frames import decode_frame
from ..wire.frames import encode_frame
from ..wire.peer import ttypes

MAX_QUEUED = 500
"""Notices that wait to be sent; some 200 jobs a second arrive at a busy node."""
REOPEN_S = 1.0
"""Pause before a socket that failed is opened again."""

# field of the frame, and what it lists; fields of both sides have the same names
_FIELDS: t.Mapping[type[Notice], tuple[str, t.Callable[..., t.Any]]] = {
    JobNotice: ("jobs", ttypes.JobNotice),
    HandOver: ("hand_overs", ttypes.HandOver),
    ConfigurationQuestion: ("questions", ttypes.ConfigurationQuestion),
    ConfigurationPart: ("parts", ttypes.ConfigurationPart),
}

_LOG = structlog.get_logger()


def encode_notice(sender: str, notice: Notice) -> bytes:
    """Encode a notice as a datagram.

    :param sender: address of this node.
    :param notice: the notice.
    """
    frame = ttypes.Frame(sender=sender)
    field, build = _FIELDS[type(notice)]
    values = attrs.asdict(notice)
    values.pop("sender", None)
    setattr(frame, field, [build(**values)])
    return encode_frame(frame)


def decode_notices(datagram: bytes) -> list[Notice]:
    """Read the notices of a datagram.

    :param datagram: its bytes.
    :raises FrameError: when they are no frame.
    """
    frame = decode_frame(datagram[LENGTH_BYTES:])
    notices: list[Notice] = [
        JobNotice(item.shard, item.key) for item in frame.jobs or ()
    ]
    notices += [
        HandOver(item.shard, item.boot, item.epoch) for item in frame.hand_overs or ()
    ]
    notices += [
        ConfigurationQuestion(frame.sender, item.asked, item.version)
        for item in frame.questions or ()
    ]
    notices += [
        ConfigurationPart(
            item.asked, item.version, item.age_ms, item.part, item.parts, item.content
        )
        for item in frame.parts or ()
    ]
    return notices


@attrs.define(eq=False)
class DatagramPeers:
    """Other nodes, reached by datagrams.

    :param listen: address of this node.
    """

    listen: Address
    dropped: int = 0
    _queue: list[tuple[Address, bytes]] = attrs.field(factory=list)
    _filled: anyio.Event = attrs.field(factory=anyio.Event)

    def get_address(self) -> str:
        """Give the address under which others reach this node."""
        return str(self.listen)

    def send(self, address: str, notice: Notice) -> None:
        """Send a notice to one node; never waits, never fails."""
        try:
            target = parse_address(address)
        except ValueError as error:
            _LOG.warning("notice not sent", address=address, reason=str(error))
            return
        if len(self._queue) >= MAX_QUEUED:
            self.dropped += 1
            return
        self._queue.append((target, encode_notice(self.get_address(), notice)))
        self._filled.set()

    async def run(self, on_notice: OnNotice) -> None:
        """Take in notices and send those that wait, until cancelled.

        A socket that fails is opened anew: the process goes on without notices.
        """
        while True:
            try:
                await self._exchange(on_notice)
            except* (OSError, anyio.BrokenResourceError) as errors:
                _LOG.warning("notices lost", reason=repr(errors.exceptions[0]))
            await anyio.sleep(REOPEN_S)

    async def _exchange(self, on_notice: OnNotice) -> None:
        async with (
            await anyio.create_udp_socket(
                local_host=self.listen.host, local_port=self.listen.port
            ) as socket,
            anyio.create_task_group() as group,
        ):
            group.start_soon(self._send_forever, socket)
            async for datagram, _ in socket:
                self._take(datagram, on_notice)

    @staticmethod
    def _take(datagram: bytes, on_notice: OnNotice) -> None:
        try:
            notices = decode_notices(datagram)
        except FrameError as error:
            _LOG.warning("datagram skipped", reason=str(error))
            return
        for notice in notices:
            on_notice(notice)

    async def _send_forever(self, socket: anyio.abc.UDPSocket) -> None:
        while True:
            await self._filled.wait()
            self._filled = anyio.Event()
            waiting, self._queue = self._queue, []
            for target, datagram in waiting:
                try:
                    await socket.sendto(datagram, target.host, target.port)
                except OSError as error:
                    # what a lost notice costs is time only
                    self.dropped += 1
                    _LOG.info("notice not sent", address=str(target), reason=str(error))
