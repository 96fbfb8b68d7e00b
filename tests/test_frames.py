"""Tests of the frame codec: invalid input raises only FrameError."""

import contextlib

import hypothesis
import pytest
from hypothesis import strategies

from onyxgap.adapters.peer_link import merge_frames
from onyxgap.exceptions import FrameError
from onyxgap.wire.frames import MAX_FRAME_BYTES
from onyxgap.wire.frames import decode_frame
from onyxgap.wire.frames import decode_length
from onyxgap.wire.frames import encode_frame
from onyxgap.wire.peer import ttypes

SETTINGS = hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
NAMES = strategies.text(max_size=20)
ASKS = strategies.builds(
    ttypes.SlotAsk,
    ask=strategies.integers(0, 2**60),
    service_name=NAMES,
    priority=strategies.integers(0, 2),
    remaining_ms=strategies.integers(0, 2**30),
    team=strategies.none() | NAMES,
    avoid=strategies.none() | strategies.lists(NAMES, min_size=1, max_size=3),
)
FRAMES = strategies.builds(
    ttypes.Frame,
    sender=NAMES,
    asks=strategies.none() | strategies.lists(ASKS, min_size=1, max_size=4),
    probe=strategies.none() | strategies.booleans(),
)


@SETTINGS
@hypothesis.given(FRAMES)
def test_decoded_frame_equals_the_encoded_one(frame: ttypes.Frame) -> None:
    encoded = encode_frame(frame)
    assert decode_length(encoded[:4]) == len(encoded) - 4
    assert decode_frame(encoded[4:]) == frame


@SETTINGS
@hypothesis.given(strategies.binary(max_size=200))
def test_random_bytes_raise_only_frame_error(body: bytes) -> None:
    with contextlib.suppress(FrameError):
        decode_frame(body)


@SETTINGS
@hypothesis.given(FRAMES, strategies.data())
def test_corrupt_frame_raises_only_frame_error(
    frame: ttypes.Frame, data: strategies.DataObject
) -> None:
    body = bytearray(encode_frame(frame)[4:])
    index = data.draw(strategies.integers(0, len(body) - 1))
    body[index] = data.draw(strategies.integers(0, 255))
    with contextlib.suppress(FrameError):
        decode_frame(bytes(body))


@pytest.mark.parametrize("length", [0, MAX_FRAME_BYTES + 1, 2**32 - 1])
def test_length_out_of_range_is_rejected(length: int) -> None:
    with pytest.raises(FrameError):
        decode_length(length.to_bytes(4, "big"))


def test_slot_messages_are_merged_in_order() -> None:
    frames = [
        ttypes.Frame(sender="e", grants=[ttypes.SlotGrant(ask=n, vm="v")])
        for n in range(3)
    ]
    frames.insert(2, ttypes.Frame(sender="e", probe=True))
    merged = merge_frames(frames)
    asks = [[grant.ask for grant in frame.grants or ()] for frame in merged]
    assert asks == [[0, 1], [], [2]]
