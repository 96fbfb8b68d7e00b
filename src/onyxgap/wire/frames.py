"""Codec of frames between the system's own processes: thrift compact."""

import typing as t

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from ..exceptions import FrameError
from .peer import ttypes

MAX_FRAME_BYTES = 16 * 1_048_576
LENGTH_BYTES = 4
_FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_FRAME_BYTES, container_length_limit=1_000_000
)


def encode_frame(frame: ttypes.Frame) -> bytes:
    """Turn a frame into length-prefixed bytes.

    :param frame: the frame.
    """
    buffer = TMemoryBuffer()
    frame.write(_FACTORY.getProtocol(buffer))
    body = t.cast(bytes, buffer.getvalue())
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def decode_length(prefix: bytes) -> int:
    """Read the length prefix.

    :param prefix: four bytes.
    :raises FrameError: when the length is out of range.
    """
    length = int.from_bytes(prefix, "big")
    if not 0 < length <= MAX_FRAME_BYTES:
        raise FrameError(f"frame of {length} bytes")
    return length


def decode_frame(body: bytes) -> ttypes.Frame:
    """Turn the bytes after the prefix into a frame.

    :param body: the bytes.
    :raises FrameError: when they are not a valid frame.
    """
    frame = ttypes.Frame()
    try:
        frame.read(_FACTORY.getProtocol(TMemoryBuffer(body)))
        frame.validate()
    except (TException, EOFError, ValueError, TypeError, OverflowError) as error:
        raise FrameError(f"bad frame: {error}") from None
    except (MemoryError, RecursionError, AttributeError) as error:
        raise FrameError(f"bad frame: {error}") from None
    return frame
