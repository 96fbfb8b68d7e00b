"""Forwards API calls between nodes over TCP, with one connection per call.

The call and its answer are one frame each. Connections are not reused. Calls are
forwarded while the store fails, and a call over a connection that broke without a
reset would use up all the time that its caller has.
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

CONNECT_TIMEOUT_S = 0.3
"""Nodes are milliseconds apart; a dead or isolated node does not answer."""
MAX_CONCURRENT_CALLS = 32
"""Applies to each direction; a body has at most 256 KB, and a node has 64 MB."""
SERVE_TIMEOUT_S = 3.0
"""Time to receive a call and answer it; its caller does not wait longer."""
BUSY_REASON = "too many calls are passed on"

_LOG = structlog.get_logger()
CallHandler = t.Callable[[PassedCall], t.Awaitable[PassedAnswer]]


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
        configuration=call.configuration,
        endpoint=call.endpoint,
    )
    return encode_frame(ttypes.Frame(sender=sender, call=message))


def decode_call(frame: ttypes.Frame) -> PassedCall:
    """Decode the call of a frame.

    :param frame: the frame.
    :raises FrameError: when the frame has no call, or one of an unknown kind.
    """
    raw = frame.call
    if raw is None:
        raise FrameError("frame has no call")
    try:
        kind = CallKind(raw.kind)
    except ValueError:
        raise FrameError(f"unknown kind of call: {raw.kind!r}") from None
    return PassedCall(
        kind,
        raw.job_id,
        raw.tenant,
        raw.queue,
        raw.service_name,
        raw.submission,
        raw.configuration or 0,
        raw.endpoint or "",
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
    """Decode the answer of a frame.

    :param frame: the frame.
    :raises FrameError: when the frame has no answer.
    """
    raw = frame.answer
    if raw is None:
        raise FrameError("frame has no answer")
    return PassedAnswer(
        raw.outcome, raw.reason, raw.retry_after_s, raw.configuration or 0
    )


async def _receive_frame(stream: anyio.abc.SocketStream) -> ttypes.Frame:
    buffered = anyio.streams.buffered.BufferedByteReceiveStream(stream)
    prefix = await buffered.receive_exactly(LENGTH_BYTES)
    return decode_frame(await buffered.receive_exactly(decode_length(prefix)))


_CONNECTION_ERRORS = (
    OSError,
    anyio.IncompleteRead,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


@attrs.define(eq=False)
class StreamCallLink:
    """Sends calls to other nodes and answers theirs, over one connection per call.

    :param listen: address on which this node accepts forwarded calls.
    """

    listen: Address
    _sending: int = 0
    _answering: int = 0

    def get_address(self) -> str:
        """Return the address to which other nodes forward calls."""
        return str(self.listen)

    async def ask(
        self, address: str, call: PassedCall, timeout_s: float
    ) -> PassedAnswer | ForwardFailure:
        """Forward a call to one node; never raises for a failed call."""
        if self._sending >= MAX_CONCURRENT_CALLS:
            return ForwardFailure.NOT_SENT
        self._sending += 1
        try:
            return await self._ask(address, call, timeout_s)
        finally:
            self._sending -= 1

    async def _ask(
        self, address: str, call: PassedCall, timeout_s: float
    ) -> PassedAnswer | ForwardFailure:
        deadline = anyio.current_time() + timeout_s
        try:
            target = parse_address(address)
            with anyio.fail_after(min(CONNECT_TIMEOUT_S, timeout_s)):
                stream = await anyio.connect_tcp(target.host, target.port)
        except (OSError, TimeoutError):
            return ForwardFailure.NOT_SENT
        except ValueError as error:
            _LOG.warning("call not forwarded", address=address, reason=str(error))
            return ForwardFailure.NOT_SENT
        try:
            async with stream:
                with anyio.fail_after(deadline - anyio.current_time()):
                    await stream.send(encode_call(self.get_address(), call))
                    return decode_answer(await _receive_frame(stream))
        except (*_CONNECTION_ERRORS, TimeoutError):
            return ForwardFailure.NO_ANSWER
        except FrameError as error:
            _LOG.warning("invalid answer to a forwarded call", reason=str(error))
            return ForwardFailure.NO_ANSWER

    async def run(self, answer: CallHandler) -> None:
        """Answer calls of other nodes until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=self.listen.host, local_port=self.listen.port
        )

        async def serve(stream: anyio.abc.SocketStream) -> None:
            async with stream:
                await self._serve(stream, answer)

        await listener.serve(serve)

    async def _serve(self, stream: anyio.abc.SocketStream, answer: CallHandler) -> None:
        if self._answering >= MAX_CONCURRENT_CALLS:
            busy = encode_answer(self.get_address(), PassedAnswer(UNABLE, BUSY_REASON))
            with anyio.move_on_after(SERVE_TIMEOUT_S):
                await self._send(stream, busy)
            return
        self._answering += 1
        try:
            with anyio.move_on_after(SERVE_TIMEOUT_S):
                call = decode_call(await _receive_frame(stream))
                answered = await answer(call)
                frame = encode_answer(self.get_address(), answered)
                await self._send(stream, frame)
        except FrameError as error:
            _LOG.warning("invalid forwarded call", reason=str(error))
        except _CONNECTION_ERRORS:
            return
        finally:
            self._answering -= 1

    @staticmethod
    async def _send(stream: anyio.abc.SocketStream, frame: bytes) -> None:
        try:
            await stream.send(frame)
        except _CONNECTION_ERRORS:
            # the calling node tries another node, as after any lost answer
            return
