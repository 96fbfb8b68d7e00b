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
def test_frame_survives_the_wire(frame: ttypes.Frame) -> None:
    body = encode_frame(frame)
    assert decode_length(body[:4]) == len(body) - 4
    assert decode_frame(body[4:]) == frame


@SETTINGS
@hypothesis.given(strategies.binary(max_size=200))
def test_nonsense_is_a_frame_error(body: bytes) -> None:
    with contextlib.suppress(FrameError):
        decode_frame(body)


@SETTINGS
@hypothesis.given(FRAMES, strategies.data())
def test_damaged_frame_is_a_frame_error(
    frame: ttypes.Frame, data: strategies.DataObject
) -> None:
    body = bytearray(encode_frame(frame)[4:])
    place = data.draw(strategies.integers(0, len(body) - 1))
    body[place] = data.draw(strategies.integers(0, 255))
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
