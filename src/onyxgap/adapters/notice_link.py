"""Sends and receives notices between nodes as UDP datagrams, one frame each."""

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
"""Limit of notices waiting to be sent; a busy node gets about 200 jobs a second."""
REOPEN_DELAY_S = 1.0
"""Delay before a failed socket is opened again."""

# field of the frame and type of its items; notices and items have the same field names
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
    """Decode the notices of a datagram.

    :param datagram: bytes of the datagram.
    :raises FrameError: when they are not a valid frame.
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
    """Exchanges notices with other nodes by datagrams.

    :param listen: address on which this node receives notices.
    :param dropped: number of notices that were dropped before they were sent.
    """

    listen: Address
    dropped: int = 0
    _queue: list[tuple[Address, bytes]] = attrs.field(factory=list)
    _queue_filled: anyio.Event = attrs.field(factory=anyio.Event)

    def get_address(self) -> str:
        """Return the address to which other nodes send notices."""
        return str(self.listen)

    def send(self, address: str, notice: Notice) -> None:
        """Queue a notice to one node; never blocks or raises."""
        try:
            target = parse_address(address)
        except ValueError as error:
            _LOG.warning("notice not sent", address=address, reason=str(error))
            return
        if len(self._queue) >= MAX_QUEUED:
            self.dropped += 1
            return
        self._queue.append((target, encode_notice(self.get_address(), notice)))
        self._queue_filled.set()

    async def run(self, on_notice: OnNotice) -> None:
        """Receive notices and send queued ones until cancelled.

        A failed socket is opened again; meanwhile the process runs without notices.
        """
        while True:
            try:
                await self._run_socket(on_notice)
            except* (OSError, anyio.BrokenResourceError) as errors:
                _LOG.warning("notice socket failed", reason=repr(errors.exceptions[0]))
            await anyio.sleep(REOPEN_DELAY_S)

    async def _run_socket(self, on_notice: OnNotice) -> None:
        async with (
            await anyio.create_udp_socket(
                local_host=self.listen.host, local_port=self.listen.port
            ) as socket,
            anyio.create_task_group() as group,
        ):
            group.start_soon(self._send_forever, socket)
            async for datagram, _ in socket:
                self._handle_datagram(datagram, on_notice)

    @staticmethod
    def _handle_datagram(datagram: bytes, on_notice: OnNotice) -> None:
        try:
            notices = decode_notices(datagram)
        except FrameError as error:
            _LOG.warning("invalid datagram ignored", reason=str(error))
            return
        for notice in notices:
            on_notice(notice)

    async def _send_forever(self, socket: anyio.abc.UDPSocket) -> None:
        while True:
            await self._queue_filled.wait()
            self._queue_filled = anyio.Event()
            waiting, self._queue = self._queue, []
            for target, datagram in waiting:
                try:
                    await socket.sendto(datagram, target.host, target.port)
                except OSError as error:
                    # a lost notice only causes a delay
                    self.dropped += 1
                    _LOG.info("notice not sent", address=str(target), reason=str(error))
