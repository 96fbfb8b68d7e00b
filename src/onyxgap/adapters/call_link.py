"""Calls passed on between nodes: a TCP connection each, a frame each way.

Connections are not kept: they are needed while the store fails, and one that went
silent without a reset would cost its first call the whole time that its caller has.
"""

import typing as t

import anyio
import anyio.abc
import anyio.streams.buffered
import attrs
import structlog

from ..exceptions import FrameError
from ..jobs.passing import UNABLE
from ..jobs.passing import CallKind
from ..jobs.passing import ForwardFailure
from ..jobs.passing import PassedAnswer
from ..jobs.passing import PassedCall
from ..settings import Address
from ..settings import parse_address
from ..wire.frames import LENGTH_BYTES
from ..wire.frames import decode_frame
from ..wire.frames import decode_length
from ..wire.frames import encode_frame
from ..wire.peer import ttypes

CONNECT_S = 0.3
"""Nodes are milliseconds apart; one that is dead or cut off does not answer."""
MOST_CALLS = 32
"""Calls under way in each direction; a body has 256 KB at most, a node 64 MB."""
READ_S = 3.0
"""Time in which a call must have arrived; its caller waits no longer."""
BUSY = "too many calls are passed on"

_LOG = structlog.get_logger()
Answer = t.Callable[[PassedCall], t.Awaitable[PassedAnswer]]


def encode_call(sender: str, call: PassedCall) -> bytes:
    """Encode a call as a frame.

    :param sender: address of this node.
    :param call: the call.
    """
    message = ttypes.PassedCall(
        kind=call.kind.value,
        job_id=call.job_id,
        tenant=call.tenant,
        queue=call.queue,
        service_name=call.service,
        submission=call.submission,
    )
    return encode_frame(ttypes.Frame(sender=sender, call=message))


def decode_call(frame: ttypes.Frame) -> PassedCall:
    """Read the call of a frame.

    :param frame: the frame.
    :raises FrameError: when it holds none.
    """
    raw = frame.call
    if raw is None:
        raise FrameError("no call in the frame")
    try:
        kind = CallKind(raw.kind)
    except ValueError:
        raise FrameError(f"unknown call {raw.kind!r}") from None
    return PassedCall(
        kind, raw.job_id, raw.tenant, raw.queue, raw.service_name, raw.submission
    )


def encode_answer(sender: str, answer: PassedAnswer) -> bytes:
    """Encode an answer as a frame.

    :param sender: address of this node.
    :param answer: the answer.
    """
    fields = attrs.asdict(answer)
    return encode_frame(
        ttypes.Frame(sender=sender, answer=ttypes.PassedAnswer(**fields))
    )


def decode_answer(frame: ttypes.Frame) -> PassedAnswer:
    """Read the answer of a frame.

    :param frame: the frame.
    :raises FrameError: when it holds none.
    """
    raw = frame.answer
    if raw is None:
        raise FrameError("no answer in the frame")
    return PassedAnswer(raw.outcome, raw.reason, raw.retry_after_s)


async def _receive_frame(stream: anyio.abc.SocketStream) -> ttypes.Frame:
    buffered = anyio.streams.buffered.BufferedByteReceiveStream(stream)
    prefix = await buffered.receive_exactly(LENGTH_BYTES)
    return decode_frame(await buffered.receive_exactly(decode_length(prefix)))


_BROKEN = (
    OSError,
    anyio.IncompleteRead,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


@attrs.define(eq=False)
class StreamCallLink:
    """Other nodes, reached by a connection for each call.

    :param listen: address of this node for the calls of others.
    """

    listen: Address
    _sending: int = 0
    _answering: int = 0

    def get_address(self) -> str:
        """Give the address under which others pass calls on."""
        return str(self.listen)

    async def ask(
        self, address: str, call: PassedCall, timeout_s: float
    ) -> PassedAnswer | ForwardFailure:
        """Pass a call on to one node; never raises for a failed call."""
        if self._sending >= MOST_CALLS:
            return ForwardFailure.NOT_SENT
        self._sending += 1
        try:
            return await self._ask(parse_address(address), call, timeout_s)
        finally:
            self._sending -= 1

    async def _ask(
        self, target: Address, call: PassedCall, timeout_s: float
    ) -> PassedAnswer | ForwardFailure:
        try:
            with anyio.fail_after(min(CONNECT_S, timeout_s)):
                stream = await anyio.connect_tcp(target.host, target.port)
        except (OSError, TimeoutError):
            return ForwardFailure.NOT_SENT
        try:
            async with stream:
                with anyio.fail_after(timeout_s):
                    await stream.send(encode_call(self.get_address(), call))
                    return decode_answer(await _receive_frame(stream))
        except (*_BROKEN, TimeoutError):
            return ForwardFailure.NO_ANSWER
        except FrameError as error:
            _LOG.warning("bad answer to a passed call", reason=str(error))
            return ForwardFailure.NO_ANSWER

    async def run(self, answer: Answer) -> None:
        """Answer the calls of others until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=self.listen.host, local_port=self.listen.port
        )

        async def serve(stream: anyio.abc.SocketStream) -> None:
            async with stream:
                await self._serve(stream, answer)

        await listener.serve(serve)

    async def _serve(self, stream: anyio.abc.SocketStream, answer: Answer) -> None:
        if self._answering >= MOST_CALLS:
            busy = encode_answer(self.get_address(), PassedAnswer(UNABLE, BUSY))
            with anyio.move_on_after(READ_S):
                await self._send(stream, busy)
            return
        self._answering += 1
        try:
            with anyio.move_on_after(READ_S):
                call = decode_call(await _receive_frame(stream))
                answered = await answer(call)
                frame = encode_answer(self.get_address(), answered)
                await self._send(stream, frame)
        except FrameError as error:
            _LOG.warning("bad passed call", reason=str(error))
        except _BROKEN:
            return
        finally:
            self._answering -= 1

    @staticmethod
    async def _send(stream: anyio.abc.SocketStream, frame: bytes) -> None:
        try:
            await stream.send(frame)
        except _BROKEN:
            # the other node asks a third one, as after any lost answer
            return
