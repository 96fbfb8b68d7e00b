"""TCP transport of frames between control and entry processes."""

import typing as t

import anyio
import anyio.abc
import anyio.streams.buffered
import attrs
import structlog

from .. import defaults
from ..exceptions import FrameError
from ..settings import Address
from ..settings import parse_address
from ..wire.frames import LENGTH_BYTES
from ..wire.frames import decode_frame
from ..wire.frames import decode_length
from ..wire.frames import encode_frame
from ..wire.peer import ttypes

MAX_QUEUED_FRAMES = 10_000
RECONNECT_DELAY_S = 0.3
_SLOT_FIELDS = ("asks", "grants", "refusals", "releases", "held")
_LOG = structlog.get_logger()

OnFrame = t.Callable[[ttypes.Frame], None]


def _has_only_slot_messages(frame: ttypes.Frame) -> bool:
    return not (frame.heartbeat or frame.pull or frame.page or frame.probe)


def merge_frames(frames: t.Sequence[ttypes.Frame]) -> list[ttypes.Frame]:
    """Merge consecutive frames that have only slot messages into one.

    :param frames: frames of one sender, in order.
    """
    merged: list[ttypes.Frame] = []
    for frame in frames:
        if (
            merged
            and _has_only_slot_messages(frame)
            and _has_only_slot_messages(merged[-1])
        ):
            _extend_frame(merged[-1], frame)
        elif _has_only_slot_messages(frame):
            copy = ttypes.Frame(sender=frame.sender)
            _extend_frame(copy, frame)
            merged.append(copy)
        else:
            merged.append(frame)
    return merged


def _extend_frame(frame: ttypes.Frame, more: ttypes.Frame) -> None:
    for field in _SLOT_FIELDS:
        items = getattr(more, field)
        if items:
            setattr(frame, field, [*(getattr(frame, field) or ()), *items])


@attrs.define
class _Outbox:
    frames: list[ttypes.Frame] = attrs.field(factory=list)
    wake: anyio.Event = attrs.field(factory=anyio.Event)


@attrs.define
class PeerTransport:
    """Accepts connections of peers and keeps one outgoing connection to each.

    Frames that cannot be sent are dropped: the layer above repeats every message or
    detects its loss.

    :param listen: address to listen on.
    :param on_frame: called for each received frame.
    :param bytes_out: bytes sent so far.
    :param bytes_in: bytes received so far.
    """

    listen: Address
    on_frame: OnFrame = lambda frame: None
    bytes_out: int = 0
    bytes_in: int = 0
    _outboxes: dict[str, _Outbox] = attrs.field(factory=dict)
    _group: anyio.abc.TaskGroup | None = None

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[Address] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept connections until cancelled; reports the bound address first."""
        listener = await anyio.create_tcp_listener(
            local_host=self.listen.host, local_port=self.listen.port
        )
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as group:
            self._group = group
            task_status.started(Address(self.listen.host, port))
            await listener.serve(self._receive, group)

    async def _receive(self, stream: anyio.abc.SocketStream) -> None:
        buffered = anyio.streams.buffered.BufferedByteReceiveStream(stream)
        async with stream:
            try:
                while True:
                    prefix = await buffered.receive_exactly(LENGTH_BYTES)
                    body = await buffered.receive_exactly(decode_length(prefix))
                    self.bytes_in += LENGTH_BYTES + len(body)
                    self.on_frame(decode_frame(body))
            except FrameError as error:
                _LOG.warning("bad-frame", reason=str(error))
            except (anyio.IncompleteRead, anyio.EndOfStream, OSError):
                return
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                return

    def send(self, address: str, frame: ttypes.Frame) -> None:
        """Queue a frame for a peer.

        Drops the frame when the queue is full, :meth:`run` has not started or the
        address is malformed.

        :param address: ``host:port`` of the peer.
        :param frame: the frame.
        """
        outbox = self._outboxes.get(address)
        if outbox is None:
            if self._group is None:
                return
            try:
                target = parse_address(address)
            except ValueError as error:
                _LOG.warning("frame not sent", address=address, reason=str(error))
                return
            outbox = self._outboxes[address] = _Outbox()
            self._group.start_soon(self._deliver, target, outbox)
        if len(outbox.frames) < MAX_QUEUED_FRAMES:
            outbox.frames.append(frame)
            outbox.wake.set()

    async def _deliver(self, target: Address, outbox: _Outbox) -> None:
        while True:
            await outbox.wake.wait()
            try:
                with anyio.fail_after(defaults.CONNECT_TIMEOUT_S):
                    stream = await anyio.connect_tcp(target.host, target.port)
            except (OSError, TimeoutError, UnicodeError):
                # UnicodeError: the host cannot be looked up
                outbox.frames.clear()
                outbox.wake = anyio.Event()
                await anyio.sleep(RECONNECT_DELAY_S)
                continue
            async with stream:
                await self._send_queued(stream, outbox)

    async def _send_queued(
        self, stream: anyio.abc.SocketStream, outbox: _Outbox
    ) -> None:
        while True:
            await outbox.wake.wait()
            frames, outbox.frames = outbox.frames, []
            outbox.wake = anyio.Event()
            body = b"".join(map(encode_frame, merge_frames(frames)))
            try:
                await stream.send(body)
            except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
                return
            self.bytes_out += len(body)
